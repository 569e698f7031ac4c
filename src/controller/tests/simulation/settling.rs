//! Liveness: once all faults are over, every job is done, runs, or was cancelled, and that is known.

use super::users::SubmittedJob;
use super::Simulation;
use crate::coordination::leadership::Role;
use crate::protocol::JobKind;
use crate::store;
use std::time::Duration;

/// What faults may still cost once they are over: twice a lease, the silence before a release, and the waits that the protocol
/// allows.
const RECOVERY_TIME: Duration = Duration::from_secs(200);

/// How long the tests of chosen faults wait for everything to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Tasks for which a machine has room.
const TASKS_PER_MACHINE: u32 = 4;

/// CPUs of a task.
const TASK_CPUS: f64 = 2.0;

impl Simulation {
    /// How long the remaining of all work may take once all faults are over: what is left of it, on the capacity that the team's limit
    /// or the machines give beside services, and as long as silence, leases, displaced work and waits may cost.
    pub(crate) fn time_to_settle(&self) -> Duration {
        let (mut remaining, mut longest_run_time) = (Duration::ZERO, Duration::ZERO);
        let mut services = 0;
        let not_cancelled = |job: &&SubmittedJob| !job.cancellation_requested;
        for job in self.jobs.values().filter(not_cancelled) {
            if job.spec.kind == JobKind::Service {
                services += job.spec.tasks;
                continue;
            }
            for task in (0..job.spec.tasks).filter(|task| !job.done.contains(task)) {
                let run_time = job.run_time_of(task) + self.image_fetch_time;
                remaining += run_time;
                longest_run_time = longest_run_time.max(run_time);
            }
        }
        let capacity = self.cloud.target_machines() * TASKS_PER_MACHINE;
        let usable_capacity = self.team_cpu_limit.map_or(capacity, |cpus| {
            let fits = |tasks: &u32| f64::from(*tasks) * TASK_CPUS <= cpus;
            (1..=capacity).take_while(fits).last().unwrap_or(0)
        });
        remaining / usable_capacity.saturating_sub(services).max(1)
            + 2 * longest_run_time
            + RECOVERY_TIME
    }

    /// Runs until everything is settled; it is a violation if that takes longer.
    pub(crate) fn settle(&mut self, within: Duration) {
        let until = self.now() + within;
        loop {
            let unsettled = self.unsettled_jobs();
            if unsettled.is_empty() {
                return;
            }
            if self.now() > until {
                self.record_unsettled(&unsettled);
                return;
            }
            self.step();
        }
    }

    /// After all faults: everything is settled, and no rule was violated.
    pub(crate) fn assert_settles(mut self) {
        self.settle(SETTLE_TIMEOUT);
        self.assert_no_violations();
    }

    fn unsettled_jobs(&self) -> Vec<String> {
        self.jobs
            .iter()
            .filter_map(|(id, job)| self.describe_unsettled(id, job))
            .collect()
    }

    /// What is left to do for a job.
    fn describe_unsettled(&self, id: &str, job: &SubmittedJob) -> Option<String> {
        let live = self.store.contains(&store::live_key(id));
        let running = self.running_task_count(id);
        let settled = match (self.final_state(id), job.spec.kind) {
            (Some(state), _) => !state.cancelled || running == 0,
            (None, JobKind::Service) => live && running == job.spec.tasks as usize,
            _ => false,
        };
        let done = job.done.len();
        (!settled).then(|| format!("{id} live={live} running={running} done={done}"))
    }

    /// Records what did not settle, with all that may tell why.
    fn record_unsettled(&mut self, unsettled: &[String]) {
        let roles: Vec<Option<Role>> = self
            .nodes
            .iter()
            .map(|node| {
                node.controller
                    .as_ref()
                    .map(|c| c.leadership().role().clone())
            })
            .collect();
        let machines = self.describe_workers();
        self.record_violation(format!(
            "not settled: {unsettled:?}, {roles:?}, {machines:#?}"
        ));
        if let Some(leader) = self.leader() {
            let scheduler = self.nodes[leader].running_controller().scheduler();
            eprintln!("{}", scheduler.unwrap().describe());
        }
    }

    fn describe_workers(&self) -> Vec<String> {
        self.workers
            .iter()
            .map(|(machine, worker)| {
                let tasks: Vec<_> = worker
                    .attempts
                    .iter()
                    .map(|((task, attempt), a)| (task.as_str(), attempt, a.state, a.reason))
                    .collect();
                format!(
                    "{machine} {} session {} token {:x} node {} {tasks:?}",
                    worker.zone, worker.session, worker.token, worker.node
                )
            })
            .collect()
    }
}
