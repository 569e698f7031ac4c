//! Tests of the placement algorithm.

use super::*;

fn machine(
    machine: usize,
    capability: f64,
    holds_image: bool,
    free_slots: u32,
    next_slots_s: &[f64],
) -> Candidate<usize> {
    Candidate {
        machine,
        capability,
        holds_image,
        free_slots,
        next_slots_s: next_slots_s.to_vec(),
        preference: Preference {
            has_failed: false,
            on_demand: false,
            spare_cpu_milli: machine as u64,
        },
    }
}

fn request(tasks: u32) -> Request {
    Request {
        slots: tasks,
        tasks,
        run_s: 60.0,
        transfer_s: 20.0,
        group_factor: 1.25,
        transfer_test: true,
    }
}

/// Builds shares from pairs of a machine and a number of tasks.
fn shares(pairs: &[(usize, u32)]) -> Vec<Share<usize>> {
    pairs
        .iter()
        .map(|(machine, tasks)| Share {
            machine: *machine,
            tasks: *tasks,
        })
        .collect()
}

#[test]
fn fastest_group_first_and_holders_first_within_it() {
    let all = vec![
        machine(0, 0.5, true, 9, &[]),
        machine(1, 1.0, false, 2, &[]),
        machine(2, 0.95, true, 2, &[]),
    ];
    assert_eq!(
        plan(all, request(6)).start_now,
        shares(&[(2, 2), (1, 2), (0, 2)])
    );
}

#[test]
fn a_non_holder_gets_a_task_only_if_that_beats_waiting_for_a_holder() {
    let candidates_with_holder_end = |end: f64| {
        vec![
            machine(0, 1.0, true, 0, &[end]),
            machine(1, 1.0, false, 4, &[]),
        ]
    };
    assert_eq!(
        plan(candidates_with_holder_end(5.0), request(1)),
        Plan {
            start_now: vec![],
            wait_for: shares(&[(0, 1)])
        }
    );
    assert_eq!(
        plan(candidates_with_holder_end(50.0), request(1)).start_now,
        shares(&[(1, 1)])
    );
    assert_eq!(
        plan(
            candidates_with_holder_end(5.0),
            Request {
                transfer_test: false,
                ..request(1)
            }
        )
        .start_now,
        shares(&[(1, 1)])
    );
}

#[test]
fn a_free_holder_of_a_slower_group_beats_a_transfer() {
    // A replica of a service has an expected run time of 0, so that only the transfer time matters.
    let all = vec![
        machine(0, 0.7, true, 2, &[]),
        machine(1, 1.0, false, 9, &[]),
    ];
    let plan = |run_s, tasks| {
        plan(
            all.clone(),
            Request {
                run_s,
                ..request(tasks)
            },
        )
        .start_now
    };
    assert_eq!(plan(0.0, 3), shares(&[(0, 1), (0, 1), (1, 1)]));
    // A long task finishes sooner on the faster machine despite the transfer.
    assert_eq!(plan(600.0, 3), shares(&[(1, 3)]));
}

#[test]
fn only_one_task_waits_for_an_occupied_slot() {
    // Guards against a whole queue waiting for the same occupied slot while other machines are idle.
    let all = vec![
        machine(0, 1.0, true, 0, &[5.0, 70.0]),
        machine(1, 1.0, false, 4, &[]),
    ];
    assert_eq!(
        plan(all, request(3)),
        Plan {
            start_now: shares(&[(1, 2)]),
            wait_for: shares(&[(0, 1)])
        }
    );
}

#[test]
fn capability_is_the_inverse_of_the_mean_ratio() {
    let (cpu, gpu) = (ResourceClass::Cpu, ResourceClass::Gpu);
    let mut capability = Capability::default();
    assert_eq!(capability.get(cpu), None);
    capability.record(cpu, 2.0);
    assert_eq!(capability.get(cpu), Some(0.5));
    capability.record(cpu, 1.0);
    assert!(capability.get(cpu).unwrap() > 0.5 && capability.get(gpu).is_none());
    assert_eq!(
        ResourceClass::of(
            Resources {
                cpu_milli: 4000,
                gpu_milli: 0,
                memory_mb: 13
            },
            Resources {
                cpu_milli: 64000,
                gpu_milli: 1,
                memory_mb: 256
            }
        ),
        cpu
    );
}
