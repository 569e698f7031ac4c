//! The start log: no start is sent before its log entry is durable.

use super::*;
use crate::store::Revision;

#[test]
fn the_latest_entry_of_a_task_counts_and_a_released_machine_has_no_tasks() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.inherit_machine("n-2");
    cluster.submit(spec("wk-1", 2), 50);
    // Task 0 was on n-1 and, after that attempt was proven gone, on n-2. Task 1 was last on n-9, which has no rental record any
    // more. Its older entry names n-1, from which it is known to be gone.
    cluster.replay(&[
        ("n-1", "wk-1/0", 7),
        ("n-2", "wk-1/0", 9),
        ("n-1", "wk-1/1", 7),
        ("n-9", "wk-1/1", 8),
    ]);
    cluster.heartbeat("n-1", &[]);
    let started = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(
        started
            .iter()
            .map(|start| start.0.as_str())
            .collect::<Vec<_>>(),
        vec!["wk-1/1"]
    );
    // Task 0 may still be on n-2. If the new leader did not know that, the task would be started on n-1 a second time.
    let running = [("wk-1/1", started[0].1, TaskState::Running, None)];
    assert!(starts(&cluster.heartbeat("n-1", &running)).is_empty());
    cluster.scheduler.machine_gone("n-2");
    assert_eq!(starts(&cluster.heartbeat("n-1", &running)).len(), 1);
}

#[test]
fn no_start_is_sent_before_its_log_entry_is_durable() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 2), 101);
    cluster.scheduler.place();
    let first = cluster
        .scheduler
        .next_log_write(8000, 60)
        .expect("two starts are waiting");
    assert!(
        cluster.scheduler.next_log_write(8000, 60).is_none(),
        "their entries are being written"
    );
    assert_eq!(
        cluster.reply_without_pass("n-1"),
        HeartbeatDecision::Reply(HeartbeatReply {
            token: first_token(EPOCH),
            commands: vec![]
        })
    );
    assert!(cluster.scheduler.direct_commands(9).is_empty());
    // The write failed because the slot had changed: an earlier write whose outcome was unknown had been applied after all.
    cluster
        .scheduler
        .log_write_failed(first, Some((Revision::new(150), "n-1 - /wk-1 0.1")));
    let second = cluster
        .scheduler
        .next_log_write(8000, 60)
        .expect("the starts are waiting again");
    assert_eq!((second.slot, second.version), (0, Revision::new(150)));
    let text = second.text.clone();
    cluster
        .scheduler
        .log_write_applied(second, Revision::new(151));
    let sent = cluster.scheduler.direct_commands(9);
    let started = starts(&sent[0].commands);
    assert_eq!(started.len(), 2);
    for (task, attempt) in &started {
        let number = task.split_once('/').unwrap().1;
        assert!(text.contains(&format!("{number}.{attempt:x}")), "{text}");
    }
    // The entry of an attempt that has ended is left out when its slot is rewritten.
    cluster.respond(&sent[0], &as_running(&started[1..]));
    let third = cluster.scheduler.next_log_write(8000, 60).or_else(|| {
        cluster.scheduler.place();
        cluster.scheduler.next_log_write(8000, 60)
    });
    let third = third.expect("the lost task is started again");
    assert_eq!((third.slot, third.version), (0, Revision::new(151)));
    assert!(
        !third.text.contains(&format!("{:x}", started[0].1))
            && third.text.contains(&format!("{:x}", started[1].1))
    );
}

#[test]
fn starts_of_a_job_that_has_ended_in_the_store_are_neither_logged_nor_sent() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.submit(spec("wk-2", 1), 102);
    cluster.scheduler.place();
    let first_write = cluster.scheduler.next_log_write(8000, 60).unwrap();
    assert_eq!(
        first_write.jobs,
        vec![logged_job("wk-1", 101), logged_job("wk-2", 102)]
    );
    // Another controller has confirmed the cancellation of wk-1, which the replica of this one does not show yet. The store
    // refuses the write and names the reason.
    cluster.scheduler.stop_job("wk-1");
    cluster.scheduler.log_write_failed(first_write, None);
    let second_write = cluster.scheduler.next_log_write(8000, 60).unwrap();
    assert_eq!(second_write.jobs, vec![logged_job("wk-2", 102)]);
    assert!(!second_write.text.contains("wk-1"));
    cluster
        .scheduler
        .log_write_applied(second_write, Revision::new(200));
    let sent = cluster.scheduler.direct_commands(9);
    assert_eq!(starts(&sent[0].commands).len(), 1);
    assert_eq!(starts(&sent[0].commands)[0].0, "wk-2/0");
}

#[test]
fn a_log_write_has_no_more_jobs_than_the_store_accepts_conditions() {
    let mut cluster = Cluster::new();
    (0..5).for_each(|n| cluster.add_machine(&format!("n-{n}"), "a"));
    (0..5).for_each(|n| cluster.submit(spec(&format!("wk-{n}"), 2), 100 + n));
    cluster.scheduler.place();
    let mut written = Vec::new();
    while let Some(write) = cluster.scheduler.next_log_write(8000, 2) {
        assert!(write.jobs.len() <= 2);
        written.extend(write.jobs.iter().map(|job| job.id.clone()));
        cluster
            .scheduler
            .log_write_applied(write, Revision::new(200 + written.len() as u64));
    }
    written.sort();
    written.dedup();
    assert_eq!(written.len(), 5);
}

/// Returns a cluster with this many machines whose names are as long as the log allows, with one placed task on each.
fn cluster_with_long_names(machines: u32) -> Cluster {
    let mut cluster = Cluster::new();
    for number in 0..machines {
        cluster.add_machine(&format!("{number:0100}"), "a");
    }
    for number in 0..machines {
        let full_machine = JobSpec {
            cpus: 8.0,
            ..spec(&format!("wk-{number:020}"), 1)
        };
        cluster.submit(full_machine, 100 + u64::from(number));
    }
    cluster.scheduler.place();
    cluster
}

/// Writes the log until no entry is left, and returns the texts of the writes.
fn write_all(cluster: &mut Cluster, max_bytes: usize, revision: &mut u64) -> Vec<String> {
    let mut texts = Vec::new();
    while let Some(write) = cluster.scheduler.next_log_write(max_bytes, 60) {
        *revision += 1;
        texts.push(write.text.clone());
        cluster
            .scheduler
            .log_write_applied(write, Revision::new(*revision));
    }
    texts
}

/// The space that entries take was once estimated. With long names, a slot was chosen that had no space for any further entry, and
/// the starts waited without end; or a slot exceeded the limit.
#[test]
fn a_slot_holds_no_more_than_the_limit_however_long_the_names_are() {
    for max_bytes in [500, 1000, 1984, 8000] {
        let mut cluster = cluster_with_long_names(40);
        let mut revision = 500;
        let texts = write_all(&mut cluster, max_bytes, &mut revision);
        assert!(texts.iter().all(|text| text.len() <= max_bytes));
        // The starts of all jobs are durable.
        assert_eq!(cluster.scheduler.direct_commands(99).len(), 40);
    }
}

/// A slot that was written under a higher limit can't be rewritten with what it holds. The leader once chose it for every write.
#[test]
fn a_slot_beyond_a_lowered_limit_is_left_alone_and_starts_go_into_other_slots() {
    let mut cluster = cluster_with_long_names(20);
    let mut revision = 500;
    assert_eq!(write_all(&mut cluster, 8000, &mut revision).len(), 1);
    (20..40).for_each(|number| cluster.add_machine(&format!("{number:0100}"), "a"));
    (20..40).for_each(|number| cluster.submit(spec(&format!("wk-{number:020}"), 4), 700));
    cluster.scheduler.place();
    let write = cluster.scheduler.next_log_write(1984, 60).unwrap();
    assert_eq!((write.slot, write.version), (1, Revision::ZERO));
    cluster
        .scheduler
        .log_write_applied(write, Revision::new(900));
    let texts = write_all(&mut cluster, 1984, &mut revision);
    assert!(!texts.is_empty() && texts.iter().all(|text| text.len() <= 1984));
    assert_eq!(cluster.scheduler.direct_commands(99).len(), 40);
}

/// An entry that alone exceeds the limit is written alone, so that the service's refusal is logged; its job is still checked.
#[test]
fn an_entry_larger_than_the_limit_is_written_alone() {
    let mut cluster = cluster_with_long_names(2);
    let write = cluster.scheduler.next_log_write(50, 60).unwrap();
    assert_eq!(write.jobs.len(), 1);
    assert!(!write.text.contains(';'));
}
