//! Store transactions that race with each other or are committed late.

use super::super::simulation::{Simulation, MILLISECOND, NODES, SECOND};
use super::job_id;
use crate::protocol::{Change, Txn};
use crate::scheduler::tests::spec;
use crate::store;
use crate::store::Revision;

#[test]
fn a_job_has_one_final_state_when_a_cancellation_and_a_resubmission_race_with_its_last_result() {
    for (round, offset) in (0..30).enumerate() {
        let mut simulation = Simulation::new(5, 2);
        simulation.submit(spec("wk-1", 2), 5 * SECOND);
        simulation.run(5500 * MILLISECOND + 100 * offset * MILLISECOND);
        let node = round % NODES;
        // A late submission of the same job and its cancellation both race with its last results.
        let record = store::JobRecord {
            spec: spec("wk-1", 2),
            at_ms: 1,
        };
        let resubmission = store::submit_txn("wk-1", &record);
        simulation.commit_late(50 * (offset % 7) * MILLISECOND, resubmission.clone());
        let cancelled = simulation.cancel(node, "wk-1");
        simulation.run(2 * SECOND);
        simulation.commit_late(10 * MILLISECOND, resubmission);
        simulation.settle(30 * SECOND);
        assert_eq!(simulation.final_state("wk-1").unwrap().cancelled, cancelled);
        // The late submissions do not create the job's record again.
        simulation.run(2 * SECOND);
        assert!(!simulation.store.contains(&store::live_key("wk-1")));
        simulation.assert_no_violations();
    }
}

#[test]
fn jobs_settle_when_transactions_are_committed_after_newer_ones() {
    let mut simulation = Simulation::new(17, 4);
    simulation.faults.late_write_probability = 0.5;
    for round in 0..8 {
        simulation.submit(spec(&job_id(round), 3), 3 * SECOND);
        simulation.run(4 * SECOND);
        if round % 3 == 1 {
            simulation.cancel(round % NODES, &job_id(round));
        }
        if round == 5 {
            let leader = simulation.leader().unwrap_or(0);
            simulation.crash(leader, 500 * MILLISECOND);
        }
    }
    simulation.faults.late_write_probability = 0.0;
    simulation.run(13 * SECOND);
    simulation.assert_settles();
}

#[test]
fn late_writes_of_an_earlier_term_or_of_a_finished_job_create_no_key() {
    let mut simulation = Simulation::new(18, 3);
    simulation.submit(spec("wk-1", 3), SECOND);
    simulation.job_mut("wk-1").stagger = 8 * SECOND;
    simulation.run(4 * SECOND);
    // A chunk of results is written again after the job has finished and its chunks were deleted. The guard on the chunk holds,
    // since a missing key has version 0; the guard on the job's record does not.
    let epoch = simulation.epoch_guard();
    let live = store::guard(
        store::live_key("wk-1"),
        simulation.store.version(&store::live_key("wk-1")),
    );
    let chunk_key = store::done_key("wk-1", 0);
    let late_txn = |guards| Txn {
        guards,
        apply: vec![store::put(chunk_key.clone(), &"07", None)],
    };
    simulation.commit_late(
        40 * SECOND,
        late_txn(vec![
            epoch.clone(),
            live,
            store::guard(chunk_key.clone(), Revision::ZERO),
        ]),
    );
    let record = store::RentalRecord {
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: false,
        count: 1,
        machines: None,
    };
    simulation.commit_late(
        41 * SECOND,
        store::rental_txn(&epoch, "r-late", Revision::ZERO, &record),
    );
    simulation.run(SECOND);
    let leader = simulation.leader().unwrap();
    simulation.crash(leader, 100 * MILLISECOND);
    simulation.run(45 * SECOND);
    assert!(simulation.final_state("wk-1").is_some());
    assert!(
        !simulation.store.contains(&chunk_key)
            && !simulation.store.contains(&store::rental_key("r-late"))
    );
    assert!(matches!(late_txn(Vec::new()).apply[0], Change::Put { .. }));
    simulation.assert_no_violations();
}
