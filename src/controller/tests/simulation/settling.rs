//! The liveness check: after the end of all faults, every job settles within a limited time. A job has settled once it is stored
//! as done, it is stored as cancelled and none of its tasks runs, or it is a live service of which all tasks run.

use super::users::SubmittedJob;
use super::Simulation;
use crate::coordination::leadership::Role;
use crate::protocol::JobKind;
use crate::store;
use std::time::Duration;

/// Time for recovery after the end of all faults: twice a worker's lease, the silence before a machine is released, and the
/// waits that the protocol allows.
const RECOVERY_TIME: Duration = Duration::from_secs(200);

/// Time limit for all jobs to settle in [`Simulation::assert_settles`].
const SETTLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Number of tasks that fit on a machine.
const TASKS_PER_MACHINE: u32 = 4;

/// CPUs that each task uses.
const TASK_CPUS: f64 = 2.0;

impl Simulation {
    /// Returns the time within which all jobs have to settle after the end of all faults.
    ///
    /// The remaining run time of all tasks is divided by the number of tasks that can run beside the services, within the team's
    /// limit or, if there is none, on the machines. Twice the longest run time and [`RECOVERY_TIME`] are added for silent
    /// machines, leases, displaced tasks and waits.
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
        let usable_capacity = self.deployment.team_cpu_limit.map_or(capacity, |cpus| {
            let fits = |tasks: &u32| f64::from(*tasks) * TASK_CPUS <= cpus;
            (1..=capacity).take_while(fits).last().unwrap_or(0)
        });
        remaining / usable_capacity.saturating_sub(services).max(1)
            + 2 * longest_run_time
            + RECOVERY_TIME
    }

    /// Runs until all jobs have settled. Records a violation if they have not settled within the given time.
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

    /// Runs until all jobs have settled, and asserts that they did so in time and that no invariant was violated.
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

    /// Returns a description of a job that has not settled, none if it has.
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

    /// Records jobs that did not settle as a violation, and prints the state of the cluster for the diagnosis.
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
            "jobs did not settle: {unsettled:?}, leadership roles: {roles:?}, workers: {machines:#?}"
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
