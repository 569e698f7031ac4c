//! The scheduler under a fake clock, with scripted workers.

mod booting;
mod cluster;
mod describe;
mod direct_commands;
mod health;
mod image_holders;
mod large_fleets;
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
use crate::store::{LiveRecord, LoggedJob, Revision};
use cluster::Cluster;
use std::collections::HashMap;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// The epoch of the scheduler.
const EPOCH: Epoch = Epoch::new(5);

const LEASE: u64 = 12_000;

const GRACE: u64 = 10_000;

/// A job like many.
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

/// A scheduler with one start of `wk-1` that waits for its line, and the machine it is for.
pub(crate) fn with_a_start_to_log(version: Revision) -> (Scheduler, &'static str) {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), version.as_u64());
    cluster.scheduler.place();
    (cluster.scheduler, "n-1")
}

/// A task in a heartbeat: its name, attempt and state, and why it has ended.
type TaskLine<'a> = (&'a str, u64, TaskState, Option<ExitReason>);

/// Started tasks as their worker reports them while they run.
fn as_running(starts: &[(String, u64)]) -> Vec<TaskLine<'_>> {
    starts
        .iter()
        .map(|(task, attempt)| (task.as_str(), *attempt, TaskState::Running, None))
        .collect()
}

/// Started tasks as their worker reports them when they have ended.
fn as_exited(starts: &[(String, u64)], reason: ExitReason) -> Vec<TaskLine<'_>> {
    starts
        .iter()
        .map(|(task, attempt)| (task.as_str(), *attempt, TaskState::Exited, Some(reason)))
        .collect()
}

fn counts(done: u32, running: u32) -> TaskCounts {
    TaskCounts { done, running }
}

/// A job with starts in a write of the log.
fn logged(id: &str, version: u64) -> LoggedJob {
    LoggedJob {
        id: id.into(),
        version: Revision::new(version),
    }
}

/// The starts among commands.
fn starts(commands: &[Command]) -> Vec<(String, u64)> {
    let start = |o: &Command| match o {
        Command::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

fn stops(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|o| matches!(o, Command::Stop { .. }))
        .count()
}
