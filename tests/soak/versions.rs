//! Controllers of another version take over the records that are written under lowered limits, and hand them back.
//!
//! `SOAK_OTHER_PROGRAM=PATH cargo test --test soak -- --ignored versions` plays it with the program of that version.

use crate::cluster::{play, Cluster, EFFECT_TIMEOUT, RETRY_INTERVAL};
use crate::harness::history::Answer;
use crate::harness::topology::ControllerId;
use crate::options::{variable, Options};
use crate::run::MACHINE_TYPES;
use crate::schedule::Notice;
use crate::workload::draws::long_list_of_machine_types;
use hollowswitch::protocol::{JobSpec, JobState};
use hollowswitch::store::{live_key, stopping_key, JobRecord};
use std::path::{Path, PathBuf};
use tokio::time::{sleep, timeout};

/// Number of machines of a job. Their names take several rental records.
const MACHINES: u32 = 16;

/// Waits until the record of a job that is being stopped is deleted, for a limited time.
async fn wait_until_stopped(cluster: &Cluster, job: &JobSpec) {
    let store = &cluster.surroundings.store;
    let stopped = async {
        while store.read::<JobRecord>(&stopping_key(&job.id)).is_some() {
            sleep(RETRY_INTERVAL).await;
        }
    };
    assert!(timeout(EFFECT_TIMEOUT, stopped).await.is_ok());
}

/// Returns a service that takes a whole machine for each of its replicas.
fn service_of_machines(cluster: &Cluster, number: u32, tasks: u32) -> JobSpec {
    let job = JobSpec {
        cpus: 4.0,
        tasks,
        ..cluster.service(number, Some(vec![MACHINE_TYPES[0].into()]))
    };
    cluster.describe(&job);
    job
}

/// Cancels a job and ends all controllers at once, so that the next leader knows the job from its record only. Returns that record,
/// if it was not deleted before.
async fn cancel_and_hand_over(
    cluster: &Cluster,
    job: &JobSpec,
    program: &Path,
) -> Option<JobRecord> {
    cluster.cancel(ControllerId(1), job).await;
    let controllers = &cluster.surroundings.controllers;
    controllers.set_program(program);
    ControllerId::all().for_each(|controller| controllers.kill(controller));
    let record = cluster.surroundings.store.read(&stopping_key(&job.id));
    cluster.restart_controllers().await;
    record
}

/// Jobs whose records were written under lowered limits, or before.
struct Jobs {
    /// A job with a large record that goes on.
    kept: JobSpec,
    /// A job with a large record that is cancelled under the lowered limits.
    cancelled: JobSpec,
    /// A job on machines whose names take several rental records.
    wide: JobSpec,
}

/// Starts the jobs and lowers the limits meanwhile.
async fn start_jobs(cluster: &Cluster) -> Jobs {
    let large = || Some(long_list_of_machine_types());
    let kept = cluster.submit_accepted(1, large()).await;
    let cancelled = cluster.submit_accepted(2, large()).await;
    for job in [&kept, &cancelled] {
        cluster.wait_for_state(job, JobState::Running).await;
    }
    cluster.lower_limits();
    let wide = service_of_machines(cluster, 3, MACHINES);
    cluster.accept(&wide).await;
    cluster.wait_for_tasks(8 + MACHINES as usize).await;
    assert!(cluster.divided_rentals() > 0, "no rental was divided");
    Jobs {
        kept,
        cancelled,
        wide,
    }
}

async fn hand_over(other: PathBuf) {
    let options = Options {
        machine_name_digits: 90,
        ..Options::for_seed(9009)
    };
    let own = options.program.clone();
    let cluster = Cluster::start(options, Notice::InSettings).await;
    let present = cluster.limits();
    let Jobs {
        kept,
        cancelled,
        wide,
    } = start_jobs(&cluster).await;

    // The other version is not able to live with the lowered limits, but has to understand what was written under them.
    cluster.set_limits(present);
    let reduced = cancel_and_hand_over(&cluster, &cancelled, &other).await;
    let machine_types = reduced.map(|record| record.spec.machine_types);
    assert_eq!(machine_types, Some(None), "no reduced record was met");
    wait_until_stopped(&cluster, &cancelled).await;
    for job in [&kept, &wide] {
        cluster.wait_for_state(job, JobState::Running).await;
    }
    let by_other = cluster
        .submit_accepted(4, Some(long_list_of_machine_types()))
        .await;
    cluster.wait_for_state(&by_other, JobState::Running).await;
    let stored = cluster
        .surroundings
        .store
        .read::<JobRecord>(&live_key(&by_other.id));
    assert_eq!(stored.map(|record| record.spec), Some(by_other.clone()));

    take_over(&cluster, &own, &wide, &by_other).await;
    cluster.wait_for_state(&kept, JobState::Running).await;
    let repeated = cluster.submit(ControllerId(0), &cancelled).await;
    assert_eq!(repeated, Answer::State(JobState::Cancelled));
    let violations = cluster.violations();
    assert!(violations.is_empty(), "{violations:?}");
    let starts = cluster.starts();
    assert_eq!(starts, cluster.tasks_on_machines(), "a task ran again");
}

/// This version takes over what the other one has written, under the lowered limits.
async fn take_over(cluster: &Cluster, own: &Path, wide: &JobSpec, by_other: &JobSpec) {
    cluster.lower_limits();
    cancel_and_hand_over(cluster, wide, own).await;
    wait_until_stopped(cluster, wide).await;
    cluster.cancel(ControllerId(2), by_other).await;
    wait_until_stopped(cluster, by_other).await;
    let last = cluster.submit_accepted(5, None).await;
    cluster.wait_for_state(&last, JobState::Running).await;
}

/// An older version beside this one reads reduced records of cancelled jobs and divided rentals: it stops the tasks of the former,
/// uses the machines of the latter, and starts no task again.
#[test]
#[ignore = "needs the program of another version"]
fn versions_understand_the_records_that_are_written_under_lowered_limits() {
    let other = variable("SOAK_OTHER_PROGRAM").expect("SOAK_OTHER_PROGRAM names a program");
    play(hand_over(other));
}
