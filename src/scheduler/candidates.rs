//! Selects the machines on which a job's tasks may run, as candidates for [`crate::placement`].

use super::attempt::{Phase, TaskId};
use super::index::MachineIndex;
use super::job::Job;
use super::machines::Machine;
use super::scheduling_pass::Pass;
use super::Scheduler;
use crate::placement::{Candidate, Preference};
use crate::time::whole_millis;
use std::time::Duration;

/// A job that has waited for this long no longer waits for a holder of its image and takes any machine that fits. This is
/// 40 % of the 90 s for which a job may wait while a machine fits (PROTOCOL, additions).
const HOLDER_WAIT_LIMIT: Duration = Duration::from_secs(36);
/// Lower limit of a task's expected remaining time, as a fraction of its expected or elapsed run time, whichever is longer.
const OVERTIME_REMAINING_FRACTION: f64 = 0.25;

impl Job {
    /// Reports whether the job's specification allows a machine by its type, its zone and whether it is a spot machine.
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
    /// Returns the allowed machines with free resources for a task of the job. Full machines that hold its image are added if
    /// tasks may wait for them: the transfer test applies and some machine with free resources would have to fetch the image.
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
            || self.exceeds_holder_wait_limit(job)
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
                    next_slots_s: self.next_slots_s(index, job),
                    ..self.candidate(index, job, pass)
                });
            }
        }
        candidates
    }

    /// Returns a machine as a candidate that holds the image and has no free slots; callers override these fields.
    fn candidate(&self, index: MachineIndex, job: &Job, pass: &Pass) -> Candidate<MachineIndex> {
        let machine = self.machine(index);
        // Services are packed together, since only they keep a machine from being released; other tasks go to the fullest
        // machine.
        let spare_cpu_milli = if job.is_service() {
            self.cpu_milli_without_services(machine)
        } else {
            machine.load.free().cpu_milli
        };
        Candidate {
            machine: index,
            capability: machine
                .capability
                .get(job.resource_class)
                .unwrap_or_else(|| pass.mean_capability.get(job.resource_class)),
            holds_image: true,
            free_slots: 0,
            next_slots_s: Vec::new(),
            preference: Preference {
                has_failed: job.failures.includes_machine(index),
                // Spot machines are preferred where they are allowed.
                on_demand: !machine.is_spot(),
                spare_cpu_milli,
            },
        }
    }

    /// Reports whether a job has waited so long that it takes any free machine. Slots on image holders are expected to become
    /// free again and again, and over a slow link waiting for one can look better for longer than a job may be kept waiting.
    pub(super) fn exceeds_holder_wait_limit(&self, job: &Job) -> bool {
        self.elapsed_since(job.last_placed_at) > HOLDER_WAIT_LIMIT
    }

    /// Returns the CPUs of a machine that are not used by services, in thousandths.
    fn cpu_milli_without_services(&self, machine: &Machine) -> u64 {
        self.machine_types
            .capacity(machine.machine_type())
            .cpu_milli
            .saturating_sub(machine.load.service_cpu_milli())
    }

    /// Returns when the tasks of a machine are expected to end, in seconds from now in ascending order, without the slots for
    /// which other tasks wait already.
    fn next_slots_s(&self, index: MachineIndex, job: &Job) -> Vec<f64> {
        let machine = self.machine(index);
        let capability = machine.capability.get(job.resource_class).unwrap_or(1.0);
        let mut ends_s: Vec<f64> = machine
            .load
            .tasks()
            .iter()
            .filter_map(|task| self.expected_remaining_s(*task, capability))
            .collect();
        ends_s.sort_by(f64::total_cmp);
        let awaited = self.sweep.awaited_slots.get(&index).copied().unwrap_or(0) as usize;
        ends_s.split_off(ends_s.len().min(awaited))
    }

    /// Returns the expected remaining run time of a task in seconds, or `None` for a replica, which does not end by itself.
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
        // A task that has run for longer than expected need not end soon. When such tasks were expected to end within a second,
        // other tasks waited for their slots again and again.
        let min_remaining_s = expected_s.max(elapsed_s) * OVERTIME_REMAINING_FRACTION;
        Some((expected_s - elapsed_s).max(min_remaining_s))
    }
}
