//! The safety invariants, checked after each step and at each event that could violate one.

use super::Simulation;
use crate::protocol::{split_task, Change, Command, Txn};
use crate::store::{final_key, FinalRecord, TxnOutcome};
use std::collections::HashMap;
use std::time::Duration;

/// Time after the confirmation of a cancellation within which all tasks of the job must end: `cancel_s` of the tests' settings.
pub(crate) const CANCELLATION_DEADLINE: Duration = Duration::from_secs(42);

/// Tolerance for rounding errors in a sum of CPUs.
const CPUS_TOLERANCE: f64 = 1e-9;

/// A task whose program runs on a machine.
pub(super) struct RunningTask<'a> {
    pub machine: &'a str,
    pub zone: &'a str,
    pub task: &'a str,
}

impl RunningTask<'_> {
    fn job(&self) -> &str {
        split_task(self.task).unwrap().0
    }
}

/// A final state that a transaction writes.
struct FinalState<'a> {
    key: &'a str,
    job: &'a str,
    record: FinalRecord,
}

impl FinalState<'_> {
    fn written_by(change: &Change) -> Option<FinalState<'_>> {
        let Change::Put { put, value, .. } = change else {
            return None;
        };
        let job = put.strip_prefix(&final_key(""))?;
        Some(FinalState {
            key: put,
            job,
            record: value.deserialized().unwrap(),
        })
    }
}

impl Simulation {
    /// Records the violation of an invariant.
    pub(super) fn record_violation(&mut self, description: impl std::fmt::Display) {
        let violation = format!("{}: {description}", self.now().as_millis());
        self.violations.push(violation);
    }

    /// Asserts that no invariant was violated so far.
    pub(crate) fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }

    /// Returns the tasks whose program runs.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = RunningTask<'_>> {
        self.workers.iter().flat_map(|(machine, worker)| {
            let running = worker.attempts.iter().filter(|(_, a)| a.is_running());
            running.map(move |((task, _), _)| RunningTask {
                machine,
                zone: &worker.zone,
                task,
            })
        })
    }

    fn running_tasks_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = RunningTask<'a>> {
        self.running_tasks().filter(move |task| task.job() == id)
    }

    /// Returns the number of running tasks of a job.
    pub(crate) fn running_task_count(&self, id: &str) -> usize {
        self.running_tasks_of(id).count()
    }

    /// Returns the machines on which tasks of a job run.
    pub(crate) fn machines_of(&self, id: &str) -> Vec<String> {
        let mut machines: Vec<String> = self
            .running_tasks_of(id)
            .map(|task| task.machine.to_string())
            .collect();
        machines.dedup();
        machines
    }

    /// Checks that no task runs beyond the deadline of its cancellation and that the team stays within its CPU limit.
    pub(super) fn check_invariants(&mut self) {
        let now = self.now();
        let mut cpus_in_use = 0.0;
        let mut late = Vec::new();
        for running in self.running_tasks() {
            let job = &self.jobs[running.job()];
            cpus_in_use += job.spec.cpus;
            let confirmed_at = job.cancellation_confirmed_at;
            if confirmed_at.is_some_and(|at| now > at + CANCELLATION_DEADLINE) {
                late.push(format!(
                    "task still runs after its cancellation deadline: {} on {}",
                    running.task, running.machine
                ));
            }
        }
        for violation in late {
            self.record_violation(violation);
        }
        let over_limit = |limit| cpus_in_use > limit + CPUS_TOLERANCE;
        if self.deployment.team_cpu_limit.is_some_and(over_limit) {
            self.record_violation(format!(
                "team CPU limit exceeded: {cpus_in_use} CPUs in use"
            ));
        }
    }

    /// Checks that a started task runs on no other machine, and where its job's constraints on zones permit.
    pub(super) fn check_started_task(&mut self, machine: &str, task: &str) {
        let elsewhere: Vec<String> = self
            .running_tasks()
            .filter(|other| other.task == task && other.machine != machine)
            .map(|other| other.machine.to_string())
            .collect();
        if !elsewhere.is_empty() {
            self.record_violation(format!(
                "task runs twice: {task} started on {machine}, still runs on {elsewhere:?}"
            ));
        }
        let (id, _) = split_task(task).unwrap();
        let required_zone = self.jobs[id].spec.zone.as_ref();
        if required_zone.is_some_and(|zone| *zone != self.workers[machine].zone) {
            self.record_violation(format!(
                "task runs outside its job's zone: {task} on {machine}"
            ));
        }
        self.check_spread(id, task);
    }

    /// Checks the distribution over zones: at most half of the tasks of a spread job run in one zone, and all tasks of a
    /// single-zone job run in the same zone.
    fn check_spread(&mut self, id: &str, task: &str) {
        let spec = &self.jobs[id].spec;
        if !spec.spread_zones && !spec.single_zone {
            return;
        }
        let mut by_zone: HashMap<&str, u32> = HashMap::new();
        for running in self.running_tasks_of(id) {
            *by_zone.entry(running.zone).or_default() += 1;
        }
        let zone_limit = spec.tasks.div_ceil(2);
        let is_spread = by_zone.values().all(|tasks| *tasks <= zone_limit);
        if (spec.spread_zones && !is_spread) || (spec.single_zone && by_zone.len() > 1) {
            let violation = format!("zone distribution violated by {task}: {by_zone:?}");
            self.record_violation(violation);
        }
    }

    /// Checks commands that a controller sends: none may start a task of a job whose cancellation was confirmed to its user.
    pub(super) fn check_sent_commands(&mut self, commands: &[Command]) {
        let now = self.now();
        for command in commands {
            let Command::Start { task, .. } = command else {
                continue;
            };
            let (id, _) = split_task(task).unwrap();
            let confirmed_at = self.jobs[id].cancellation_confirmed_at;
            if confirmed_at.is_some_and(|at| at < now) {
                self.record_violation(format!(
                    "start of {task} sent after the cancellation of its job was confirmed"
                ));
            }
        }
    }

    /// Commits a transaction to the store, and checks the final states that it writes: they must be correct and never change.
    pub(super) fn commit(&mut self, txn: &Txn) -> TxnOutcome {
        let written: Vec<FinalState> = txn
            .apply
            .iter()
            .filter_map(FinalState::written_by)
            .collect();
        let rewritten: Vec<&str> = written
            .iter()
            .filter(|state| self.store.contains(state.key))
            .map(|state| state.job)
            .collect();
        let outcome = self.store.commit(txn);
        if let TxnOutcome::Applied(_) = outcome {
            for job in rewritten {
                self.record_violation(format!("final state written again: {job}"));
            }
            for state in &written {
                self.check_final_state(state.job, state.record);
            }
        }
        outcome
    }

    /// Checks that a job becomes cancelled only at the request of its user, and done only if all of its tasks are done.
    fn check_final_state(&mut self, id: &str, record: FinalRecord) {
        let job = &self.jobs[id];
        let all_done = job.done.len() >= job.spec.tasks as usize;
        if record.cancelled && !job.cancellation_requested {
            self.record_violation(format!("job cancelled without a request: {id}"));
        }
        if !record.cancelled && !all_done {
            self.record_violation(format!(
                "job completed before all of its tasks were done: {id}"
            ));
        }
    }
}
