//! The start log: no start is sent before its line is durable.

use super::*;
use crate::store::Revision;

#[test]
fn the_last_line_of_a_task_counts_and_what_was_released_counts_no_more() {
    let mut cluster = Cluster::new();
    cluster.inherit_machine("n-1");
    cluster.inherit_machine("n-2");
    cluster.submit(spec("wk-1", 2), 50);
    // Task 0 was first on n-1 and then, once that was proven gone, on n-2. Task 1 was last on n-9, which no rental names
    // any more; its older line names a machine on which it is known to be no longer.
    cluster.replay(&[
        ("n-1", "wk-1/0", 7),
        ("n-2", "wk-1/0", 9),
        ("n-1", "wk-1/1", 7),
        ("n-9", "wk-1/1", 8),
    ]);
    cluster.heartbeat("n-1", &[]);
    let got = starts(&cluster.heartbeat("n-1", &[]));
    assert_eq!(
        got.iter().map(|g| g.0.as_str()).collect::<Vec<_>>(),
        vec!["wk-1/1"]
    );
    // Without a new leader's knowledge of n-2 the task would be started here a second time.
    let line = [("wk-1/1", got[0].1, TaskState::Running, None)];
    assert!(starts(&cluster.heartbeat("n-1", &line)).is_empty());
    cluster.scheduler.machine_gone("n-2");
    assert_eq!(starts(&cluster.heartbeat("n-1", &line)).len(), 1);
}

#[test]
fn nothing_is_sent_before_its_line_in_the_log_is_durable() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 2), 101);
    cluster.scheduler.place();
    let first = cluster
        .scheduler
        .next_log_write(8000, 60)
        .expect("two starts wait");
    assert!(
        cluster.scheduler.next_log_write(8000, 60).is_none(),
        "their lines are being written"
    );
    assert_eq!(
        cluster.reply_without_pass("n-1"),
        HeartbeatDecision::Reply(HeartbeatReply {
            token: first_token(EPOCH),
            commands: vec![]
        })
    );
    assert!(cluster.scheduler.direct_commands(9).is_empty());
    // The write failed since the slot had changed: an earlier write without an answer had gone through after all.
    cluster
        .scheduler
        .log_write_failed(first, Some((Revision::new(150), "n-1 - /wk-1 0.1")));
    let again = cluster
        .scheduler
        .next_log_write(8000, 60)
        .expect("they wait again");
    assert_eq!((again.slot, again.version), (0, Revision::new(150)));
    let text = again.text.clone();
    cluster
        .scheduler
        .log_write_applied(again, Revision::new(151));
    let sent = cluster.scheduler.direct_commands(9);
    let got = starts(&sent[0].commands);
    assert_eq!(got.len(), 2);
    for (task, attempt) in &got {
        let t = task.split_once('/').unwrap().1;
        assert!(text.contains(&format!("{t}.{attempt:x}")), "{text}");
    }
    // What has ended is not carried over when its slot is taken again.
    cluster.respond(&sent[0], &as_running(&got[1..]));
    let third = cluster.scheduler.next_log_write(8000, 60).or_else(|| {
        cluster.scheduler.place();
        cluster.scheduler.next_log_write(8000, 60)
    });
    let third = third.expect("the lost task is started again");
    assert_eq!((third.slot, third.version), (0, Revision::new(151)));
    assert!(
        !third.text.contains(&format!("{:x}", got[0].1))
            && third.text.contains(&format!("{:x}", got[1].1))
    );
}

#[test]
fn of_a_job_that_is_over_in_the_store_nothing_is_logged_and_so_nothing_sent() {
    let mut cluster = Cluster::new();
    cluster.add_machine("n-1", "a");
    cluster.submit(spec("wk-1", 1), 101);
    cluster.submit(spec("wk-2", 1), 102);
    cluster.scheduler.place();
    let append = cluster.scheduler.next_log_write(8000, 60).unwrap();
    assert_eq!(
        append.jobs,
        vec![logged_job("wk-1", 101), logged_job("wk-2", 102)]
    );
    // Another node has confirmed the cancellation of one, which this one's replica does not show yet: the write is refused,
    // and says why.
    cluster.scheduler.stop_job("wk-1");
    cluster.scheduler.log_write_failed(append, None);
    let again = cluster.scheduler.next_log_write(8000, 60).unwrap();
    assert_eq!(again.jobs, vec![logged_job("wk-2", 102)]);
    assert!(!again.text.contains("wk-1"));
    cluster
        .scheduler
        .log_write_applied(again, Revision::new(200));
    let sent = cluster.scheduler.direct_commands(9);
    assert_eq!(starts(&sent[0].commands).len(), 1);
    assert_eq!(starts(&sent[0].commands)[0].0, "wk-2/0");
}

#[test]
fn a_write_of_the_log_names_no_more_jobs_than_the_store_takes_conditions() {
    let mut cluster = Cluster::new();
    (0..5).for_each(|n| cluster.add_machine(&format!("n-{n}"), "a"));
    (0..5).for_each(|n| cluster.submit(spec(&format!("wk-{n}"), 2), 100 + n));
    cluster.scheduler.place();
    let mut written = Vec::new();
    while let Some(a) = cluster.scheduler.next_log_write(8000, 2) {
        assert!(a.jobs.len() <= 2);
        written.extend(a.jobs.iter().map(|job| job.id.clone()));
        cluster
            .scheduler
            .log_write_applied(a, Revision::new(200 + written.len() as u64));
    }
    written.sort();
    written.dedup();
    assert_eq!(written.len(), 5);
}
