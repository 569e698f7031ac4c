//! Tests of the scheduler with a fake clock and scripted workers.

mod booting;
mod cluster;
mod delayed_replies;
mod describe;
mod direct_commands;
mod gone_proof;
mod health;
mod image_holders;
mod large_fleets;
mod message_orders;
mod new_leader;
mod placement;
mod preemption;
mod proofs;
mod responsiveness;
mod start_log;

use super::*;
use crate::protocol::{
    Command, ExitReason, HeartbeatReply, JobKind, JobSpec, Priority, TaskState, TaskStatus,
    WorkerStatus,
};
use crate::resources::QuotaResources;
use crate::store::{JobRecord, LoggedJob, Revision};
use cluster::Cluster;
use std::collections::HashMap;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Epoch of the scheduler under test.
const EPOCH: Epoch = Epoch::new(5);

/// Duration of a worker's lease in milliseconds.
const LEASE_MS: u64 = 12_000;

/// How long an earlier leader may have gone on renewing worker leases after its authority to start tasks ended, in milliseconds.
const GRACE_PERIOD_MS: u64 = 10_000;

/// Returns the specification of an array job whose tasks each request 2 CPUs and 2 GB of memory.
pub(crate) fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 2.0,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread_zones: false,
        spot: true,
        run_time_estimate_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    }
}

/// Returns a scheduler with one start of `wk-1` that is not logged yet, and the name of the machine to which it is assigned.
pub(crate) fn scheduler_with_unlogged_start(version: Revision) -> (Scheduler, &'static str) {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), version.as_u64());
    cluster.scheduler.place();
    (cluster.scheduler, "n-1")
}

/// A task in a heartbeat: its name, attempt number and state, and the reason of its end.
type ReportedTask<'a> = (&'a str, u64, TaskState, Option<ExitReason>);

/// Returns started tasks, given as pairs of name and attempt number, as their worker reports them while they run.
fn as_running(starts: &[(String, u64)]) -> Vec<ReportedTask<'_>> {
    starts
        .iter()
        .map(|(task, attempt)| (task.as_str(), *attempt, TaskState::Running, None))
        .collect()
}

/// Returns started tasks as their worker reports them after they have ended.
fn as_exited(starts: &[(String, u64)], reason: ExitReason) -> Vec<ReportedTask<'_>> {
    starts
        .iter()
        .map(|(task, attempt)| (task.as_str(), *attempt, TaskState::Exited, Some(reason)))
        .collect()
}

fn counts(done: u32, running: u32) -> TaskCounts {
    TaskCounts { done, running }
}

/// Returns a job as named by a write of the start log.
fn logged_job(id: &str, version: u64) -> LoggedJob {
    LoggedJob {
        id: id.into(),
        version: Revision::new(version),
    }
}

/// Returns the name and the attempt number of each task that the commands start.
fn starts(commands: &[Command]) -> Vec<(String, u64)> {
    let start = |command: &Command| match command {
        Command::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

/// Returns the number of tasks that the commands stop.
fn count_stops(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|command| matches!(command, Command::Stop { .. }))
        .count()
}
