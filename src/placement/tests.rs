//! Tests of `placement`.

use super::*;

fn m(machine: usize, c: f64, holder: bool, room: u32, ends_s: &[f64]) -> Candidate {
    Candidate {
        machine,
        c,
        holder,
        room,
        ends_s: ends_s.to_vec(),
        order: machine as u64,
    }
}
fn ask(tasks: u32) -> Ask {
    Ask {
        tasks,
        waiting: tasks,
        time_s: 60.0,
        transfer_s: 20.0,
        group_factor: 1.25,
        transfer_test: true,
    }
}

#[test]
fn fastest_group_first_and_holders_first_within_it() {
    let all = vec![
        m(0, 0.5, true, 9, &[]),
        m(1, 1.0, false, 2, &[]),
        m(2, 0.95, true, 2, &[]),
    ];
    assert_eq!(plan(all, ask(6)).now, vec![(2, 2), (1, 2), (0, 2)]);
}

#[test]
fn a_non_holder_runs_only_if_it_beats_waiting_for_a_holder() {
    let with = |end: f64| vec![m(0, 1.0, true, 0, &[end]), m(1, 1.0, false, 4, &[])];
    assert_eq!(
        plan(with(5.0), ask(1)),
        Plan {
            now: vec![],
            later: vec![(0, 1)]
        }
    );
    assert_eq!(plan(with(50.0), ask(1)).now, vec![(1, 1)]);
    assert_eq!(
        plan(
            with(5.0),
            Ask {
                transfer_test: false,
                ..ask(1)
            }
        )
        .now,
        vec![(1, 1)]
    );
}

#[test]
fn a_free_holder_of_a_slower_group_beats_a_transfer() {
    // A replica has no task time: only the transfer counts.
    let all = vec![m(0, 0.7, true, 2, &[]), m(1, 1.0, false, 9, &[])];
    let plan = |time_s, tasks| {
        plan(
            all.clone(),
            Ask {
                time_s,
                ..ask(tasks)
            },
        )
        .now
    };
    assert_eq!(plan(0.0, 3), vec![(0, 1), (0, 1), (1, 1)]);
    // A long task is worth the transfer to the faster machine.
    assert_eq!(plan(600.0, 3), vec![(1, 3)]);
}

#[test]
fn a_place_is_waited_for_once() {
    // All of a queue once waited for the same place while other machines stood idle.
    let all = vec![m(0, 1.0, true, 0, &[5.0, 70.0]), m(1, 1.0, false, 4, &[])];
    assert_eq!(
        plan(all, ask(3)),
        Plan {
            now: vec![(1, 2)],
            later: vec![(0, 1)]
        }
    );
}

#[test]
fn capability_is_the_inverse_of_the_mean_ratio() {
    let mut c = Capability::default();
    assert_eq!(c.get(0), None);
    c.measure(0, 2.0);
    assert_eq!(c.get(0), Some(0.5));
    c.measure(0, 1.0);
    assert!(c.get(0).unwrap() > 0.5 && c.get(1).is_none());
    assert_eq!(
        class_of(
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
        0
    );
}
