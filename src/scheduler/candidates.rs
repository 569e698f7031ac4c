//! The machines that a job's tasks may go to, as candidates for `placement`.

use super::attempt::{Phase, TaskId};
use super::index::MachineIndex;
use super::job::Job;
use super::machines::Machine;
use super::scheduling_pass::Pass;
use super::Scheduler;
use crate::placement::{Candidate, Preference};
use crate::time::whole_millis;
use std::time::Duration;

/// A job that has waited for this long takes any machine that fits: 40 % of the 90 s for which a job may wait while there is
/// one (PROTOCOL, additions).
const HOLDER_WAIT_LIMIT: Duration = Duration::from_secs(36);
/// A task that has run for longer than expected is expected to run for this part of its time more.
const OVERTIME_REMAINING_FRACTION: f64 = 0.25;

impl Job {
    /// Whether its tasks may run on a machine, as far as type, zone and price are concerned.
    pub(super) fn allows_machine(&self, machine: &Machine) -> bool {
        (self.spec().spot || !machine.is_spot())
            && self
                .machine_types
                .as_ref()
                .is_none_or(|types| types.contains(&machine.machine_type()))
            && self.zone.is_none_or(|zone| zone == machine.zone())
    }
}

impl Scheduler {
    /// Machines with free resources for a job's tasks, and full ones that hold its image.
    pub(super) fn candidates(&self, job: &Job, pass: &Pass) -> Vec<Candidate<MachineIndex>> {
        let holders = self.image_holders.get(job.image);
        let mut candidates = Vec::new();
        for &index in &pass.machines {
            let machine = self.machine(index);
            let free_slots = job.task_resources.count_fitting(machine.load.free());
            if free_slots > 0 && job.allows_machine(machine) {
                let holds_image = holders.is_some_and(|holders| holders.contains(&index));
                candidates.push(Candidate {
                    holds_image,
                    free_slots,
                    ..self.candidate(index, job, pass)
                });
            }
        }
        if candidates.is_empty()
            || !self.params.transfer_test
            || self.has_waited_long(job)
            || candidates.iter().all(|candidate| candidate.holds_image)
        {
            return candidates;
        }
        for &index in holders.into_iter().flatten() {
            let machine = self.machine(index);
            if !job.task_resources.fits(machine.load.free())
                && self.accepts_tasks(machine)
                && job.allows_machine(machine)
            {
                candidates.push(Candidate {
                    next_slots_s: self.next_slots_s(index, job, pass),
                    ..self.candidate(index, job, pass)
                });
            }
        }
        candidates
    }

    /// A machine as a candidate that holds the image and has no free slots.
    fn candidate(&self, index: MachineIndex, job: &Job, pass: &Pass) -> Candidate<MachineIndex> {
        let machine = self.machine(index);
        // Services go together, since only they keep a machine from being returned; other tasks fill the fullest machine.
        let spare_cpu_milli = if job.is_service() {
            self.cpu_milli_without_services(machine)
        } else {
            machine.load.free().cpu_milli
        };
        Candidate {
            machine: index,
            capability: machine
                .capability
                .get(job.class)
                .unwrap_or_else(|| pass.mean_capability.get(job.class)),
            holds_image: true,
            free_slots: 0,
            next_slots_s: Vec::new(),
            preference: Preference {
                has_failed: job.failures.includes_machine(index),
                // Spot machines first where they are allowed.
                ordinary: !machine.is_spot(),
                spare_cpu_milli,
            },
        }
    }

    /// Whether a job has waited so long that it takes what is free. Slots on holders are expected to come free again and
    /// again, and over a slow link the wait for one may seem worth while for longer than a job may be left waiting.
    pub(super) fn has_waited_long(&self, job: &Job) -> bool {
        self.elapsed_since(job.last_placed_at) > HOLDER_WAIT_LIMIT
    }

    /// CPUs of a machine that no service uses.
    fn cpu_milli_without_services(&self, machine: &Machine) -> u64 {
        self.machine_types
            .capacity(machine.machine_type())
            .cpu_milli
            .saturating_sub(machine.load.service_cpu_milli())
    }

    /// When a machine's tasks are expected to end, in seconds from now, without the slots that others wait for already.
    fn next_slots_s(&self, index: MachineIndex, job: &Job, pass: &Pass) -> Vec<f64> {
        let machine = self.machine(index);
        let capability = machine.capability.get(job.class).unwrap_or(1.0);
        let mut ends_s: Vec<f64> = machine
            .load
            .tasks()
            .iter()
            .filter_map(|task| self.expected_remaining_s(*task, capability))
            .collect();
        ends_s.sort_by(f64::total_cmp);
        let awaited = pass.awaited_slots.get(&index).copied().unwrap_or(0) as usize;
        ends_s.split_off(ends_s.len().min(awaited))
    }

    /// For how long a task is expected to run on; none for a replica.
    fn expected_remaining_s(&self, task: TaskId, capability: f64) -> Option<f64> {
        let job = self.jobs.get(task.job)?;
        let attempt = job.active.get(&task.number)?;
        if job.is_service() {
            return None;
        }
        let elapsed_s = if attempt.phase == Phase::Running {
            whole_millis(self.elapsed_since(attempt.since)) as f64 / 1000.0
        } else {
            0.0
        };
        let expected_s = job.expected_run_s() / capability;
        // Of what has run for longer than expected nothing says that it will end now: believed to end within a second, such
        // slots kept others waiting for them again and again.
        let min_remaining_s = expected_s.max(elapsed_s) * OVERTIME_REMAINING_FRACTION;
        Some((expected_s - elapsed_s).max(min_remaining_s))
    }
}
