//! Tests of `placement`.

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

/// Shares of machines, from pairs of a machine and a number of tasks.
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
fn a_non_holder_runs_only_if_it_beats_waiting_for_a_holder() {
    let with = |end: f64| {
        vec![
            machine(0, 1.0, true, 0, &[end]),
            machine(1, 1.0, false, 4, &[]),
        ]
    };
    assert_eq!(
        plan(with(5.0), request(1)),
        Plan {
            start_now: vec![],
            wait_for: shares(&[(0, 1)])
        }
    );
    assert_eq!(plan(with(50.0), request(1)).start_now, shares(&[(1, 1)]));
    assert_eq!(
        plan(
            with(5.0),
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
    // A replica has no task time: only the transfer counts.
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
    // A long task is worth the transfer to the faster machine.
    assert_eq!(plan(600.0, 3), shares(&[(1, 3)]));
}

#[test]
fn a_place_is_waited_for_once() {
    // All of a queue once waited for the same place while other machines stood idle.
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
    let (cpu, accelerator) = (ResourceClass::Cpu, ResourceClass::Accelerator);
    let mut c = Capability::default();
    assert_eq!(c.get(cpu), None);
    c.record(cpu, 2.0);
    assert_eq!(c.get(cpu), Some(0.5));
    c.record(cpu, 1.0);
    assert!(c.get(cpu).unwrap() > 0.5 && c.get(accelerator).is_none());
    assert_eq!(
        ResourceClass::of(
            Resources {
                cpu_milli: 4000,
                accelerator_milli: 0,
                memory_mb: 13
            },
            Resources {
                cpu_milli: 64000,
                accelerator_milli: 1,
                memory_mb: 256
            }
        ),
        cpu
    );
}
