//! The state service lowers its limits while jobs run, without any other trouble.

use crate::cluster::{play, Cluster, EFFECT_TIMEOUT};
use crate::harness::history::Answer;
use crate::harness::store::Limits;
use crate::harness::topology::{ControllerId, CONTROLLER_COUNT};
use crate::options::Options;
use crate::run::{LOWERED_LIMITS, MACHINE_TYPES};
use crate::schedule::Notice;
use crate::workload::draws::long_list_of_machine_types;
use hollowswitch::protocol::{JobSpec, JobState, MachineType};
use hollowswitch::store::catalogue_key;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Number of services of four replicas that run when the limits are lowered. The log of their starts exceeds the lowered limit.
const SERVICES: u32 = 25;

/// Starts the services, and lowers the limits once they run.
async fn run_services_and_lower_limits(cluster: &Cluster) {
    let mut services = Vec::new();
    for number in 0..SERVICES {
        services.push(cluster.submit_accepted(number, None).await);
    }
    for service in &services {
        cluster.wait_for_state(service, JobState::Running).await;
    }
    cluster.lower_limits();
}

async fn check_that_later_jobs_start(seed: u64, notice: Notice) {
    let cluster = Cluster::start(Options::for_seed(seed), notice).await;
    run_services_and_lower_limits(&cluster).await;
    for number in 100..103 {
        let job = cluster.submit_accepted(number, None).await;
        cluster.wait_for_state(&job, JobState::Running).await;
    }
    assert!(
        cluster.violations().is_empty(),
        "{:?}",
        cluster.violations()
    );
    let refused = cluster.surroundings.store.refused_for_size();
    match notice {
        Notice::InSettings => assert_eq!(refused, 0),
        Notice::None => assert!((1..50).contains(&refused), "{refused} refusals"),
    }
}

/// The leader once repeated a write of the start log that was refused for its size, and no accepted job started any more.
#[test]
fn accepted_jobs_start_after_announced_limits_have_come_into_force() {
    play(check_that_later_jobs_start(9001, Notice::InSettings));
}

/// Like the test above. Limits that are not announced have to be learned from the refusals.
#[test]
fn accepted_jobs_start_after_the_limits_were_lowered_without_an_announcement() {
    play(check_that_later_jobs_start(9002, Notice::None));
}

async fn check_jobs_with_large_records(seed: u64, notice: Notice) {
    let cluster = Cluster::start(Options::for_seed(seed), notice).await;
    let large = || Some(long_list_of_machine_types());
    let kept = cluster.submit_accepted(1, large()).await;
    let cancelled = cluster.submit_accepted(2, large()).await;
    for job in [&kept, &cancelled] {
        cluster.wait_for_state(job, JobState::Running).await;
    }
    cluster.lower_limits();
    // A submission that can't be stored is neither accepted nor put off, at any controller.
    let too_large = cluster.service(3, large());
    for controller in ControllerId::all() {
        let answer = timeout(EFFECT_TIMEOUT, cluster.submit(controller, &too_large)).await;
        assert_eq!(answer.ok(), Some(Answer::Rejected));
        let poll = cluster.user.poll(controller, &too_large.id).await;
        assert_eq!(poll, Answer::Unknown);
        // What was accepted stays accepted.
        let repeated = cluster.submit(controller, &kept).await;
        assert_eq!(repeated, Answer::State(JobState::Running));
    }
    // What is stored above the limit can be cancelled: its record moves.
    cluster.cancel(ControllerId(1), &cancelled).await;
    cluster
        .wait_for_state(&cancelled, JobState::Cancelled)
        .await;
    let repeated = cluster.submit(ControllerId(2), &cancelled).await;
    assert_eq!(repeated, Answer::State(JobState::Cancelled));
}

/// Submissions that were too large to be stored were once put off without end, and jobs with such records could not be cancelled.
#[test]
fn large_jobs_are_rejected_or_cancelled_after_announced_limits_have_come_into_force() {
    play(check_jobs_with_large_records(9003, Notice::InSettings));
}

/// Like the test above, with limits that are not announced.
#[test]
fn large_jobs_are_rejected_or_cancelled_after_the_limits_were_lowered() {
    play(check_jobs_with_large_records(9004, Notice::None));
}

/// Number of machines that one job needs. Their names don't fit into one record under the lowered limit.
const MACHINES: u32 = 20;

/// Submits a job that takes [`MACHINES`] machines, and waits until it runs.
async fn run_job_on_many_machines(cluster: &Cluster) {
    let job = JobSpec {
        cpus: 4.0,
        tasks: MACHINES,
        ..cluster.service(1, Some(vec![MACHINE_TYPES[0].into()]))
    };
    cluster.describe(&job);
    cluster.accept(&job).await;
    cluster.wait_for_tasks(MACHINES as usize).await;
}

async fn check_rental_of_many_machines(seed: u64, notice: Notice) {
    let options = Options {
        machine_name_digits: 90,
        ..Options::for_seed(seed)
    };
    let cluster = Cluster::start(options, notice).await;
    cluster.lower_limits();
    run_job_on_many_machines(&cluster).await;
}

/// The names of rented machines were once stored in one record. If it was refused for its size, the machines were neither used nor
/// returned, and no others were rented.
#[test]
fn machines_are_used_although_their_names_exceed_the_announced_limit() {
    play(check_rental_of_many_machines(9005, Notice::InSettings));
}

/// Like the test above, with limits that are not announced.
#[test]
fn machines_are_used_although_their_names_exceed_the_lowered_limit() {
    play(check_rental_of_many_machines(9006, Notice::None));
}

/// If the records of one transaction don't hold the names of all rented machines, the others are adopted. Announced limits hold for
/// that, too.
#[test]
fn machines_left_out_of_the_records_of_a_rental_are_adopted() {
    play(async {
        let options = Options {
            machine_name_digits: 90,
            lowered_limits: Limits {
                value_kb: 0.5,
                txn_ops: 3,
                ..LOWERED_LIMITS
            },
            ..Options::for_seed(9010)
        };
        let cluster = Cluster::start(options, Notice::InSettings).await;
        cluster.lower_limits();
        run_job_on_many_machines(&cluster).await;
        assert!(cluster.adopted_machines() > 0, "no machine was left out");
        assert_eq!(cluster.surroundings.store.refused_for_size(), 0);
    });
}

/// Limits under which a batch of the leader has more changes than the service admits in a second.
const LOW_RATE: Limits = Limits {
    rps: 200.0,
    write_rps: 4.0,
    value_kb: 32.0,
    txn_ops: 16,
};

/// Time for which the machines hang while jobs on them are cancelled, shorter than their lease.
const HANG_TIME: Duration = Duration::from_secs(5);

/// Changes beyond the burst of a second are never admitted. Nobody announces here how far the rate falls: the records of cancelled
/// jobs, which all wait for the same machines, once stayed for good, since their deletion was tried in one batch.
#[test]
fn batches_are_admitted_and_jobs_start_after_the_rate_of_changes_has_fallen() {
    play(async {
        let options = Options {
            lowered_limits: LOW_RATE,
            ..Options::for_seed(9011)
        };
        let cluster = Cluster::start(options, Notice::None).await;
        let mut cancelled = Vec::new();
        for number in 0..SERVICES / 2 {
            cancelled.push(cluster.submit_accepted(number, None).await);
        }
        for job in &cancelled {
            cluster.wait_for_state(job, JobState::Running).await;
        }
        for worker in cluster.surroundings.cloud.workers() {
            worker.hang(HANG_TIME);
        }
        let cancellations = cancelled
            .iter()
            .zip((0..CONTROLLER_COUNT).cycle().map(ControllerId))
            .map(|(job, controller)| cluster.cancel(controller, job));
        futures_util::future::join_all(cancellations).await;
        cluster.lower_limits();
        assert!(cluster.stopping_jobs() as f64 > LOW_RATE.write_rps);
        cluster.wait_until_all_stopped().await;
        for number in 100..103 {
            let job = cluster.submit_accepted(number, None).await;
            cluster.wait_for_state(&job, JobState::Running).await;
        }
        assert!(cluster.violations().is_empty());
    });
}

/// Number of machine types that make the catalogue larger than the lowered limit on values.
const OTHER_MACHINE_TYPES: usize = 12;
/// More than the time between two refreshes of the catalogue.
const REFRESH_TIME: Duration = Duration::from_secs(23);

/// The lower limits are in force from the beginning, so that the catalogue is never stored.
async fn check_catalogue_that_cannot_be_stored(seed: u64, notice: Notice) {
    let options = Options {
        other_machine_types: OTHER_MACHINE_TYPES,
        ..Options::for_seed(seed)
    };
    let cluster = Cluster::launch(options, notice).await;
    cluster.lower_limits();
    cluster.wait_until_healthy().await;
    let first = cluster.submit_accepted(1, None).await;
    cluster.wait_for_state(&first, JobState::Running).await;
    let store = &cluster.surroundings.store;
    assert!(store.read::<Vec<MachineType>>(&catalogue_key()).is_none());
    let refused = store.refused_for_size();
    sleep(REFRESH_TIME).await;
    assert_eq!(
        store.refused_for_size(),
        refused,
        "a refused write is repeated"
    );
    if notice == Notice::InSettings {
        assert_eq!(refused, 0);
    }
    cluster.restart_controllers().await;
    let second = cluster.submit_accepted(2, None).await;
    cluster.wait_for_state(&second, JobState::Running).await;
}

/// A catalogue that exceeds the limit was once sent at each refresh. Controllers get the machine types from the cloud instead.
#[test]
fn a_catalogue_that_exceeds_the_announced_limit_is_not_sent() {
    play(check_catalogue_that_cannot_be_stored(
        9007,
        Notice::InSettings,
    ));
}

/// Like the test above, with limits that are not announced: the first refusal is the last one.
#[test]
fn a_catalogue_that_was_refused_is_not_sent_again() {
    play(check_catalogue_that_cannot_be_stored(9008, Notice::None));
}
