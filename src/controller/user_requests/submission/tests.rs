//! Tests of the rejection of jobs that can never run.

use super::*;
use crate::controller::clock::Clock;
use crate::protocol::MachineType;
use crate::scheduler::tests::spec;
use std::cell::Cell;
use std::rc::Rc;

/// Returns a controller with one machine type of 8 CPUs in zone `a`, and a team `t` with a limit of 16 CPUs.
fn controller() -> ControllerState {
    let clock = Clock::Scripted(Rc::new(Cell::new(1000)));
    let mut state = ControllerState::new(crate::config::tests::settings(), 1, clock);
    state.set_machine_types(&[MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 5.0,
        zones: vec!["a".into()],
    }]);
    state
}

fn check(change: impl FnOnce(&mut JobSpec)) -> Result<(), JobRejection> {
    let mut spec = spec("wk-1", 2);
    change(&mut spec);
    controller().check_runnable(&spec)
}

#[test]
fn a_job_that_can_never_run_is_rejected_with_its_reason() {
    assert_eq!(check(|_| {}), Ok(()));
    let unknown_team = check(|spec| spec.team = "u".into());
    assert_eq!(unknown_team, Err(JobRejection::UnknownTeam));
    let no_type_fits = Err(JobRejection::NoMachineTypeFits);
    assert_eq!(check(|spec| spec.cpus = 8.5), no_type_fits);
    assert_eq!(check(|spec| spec.gpus = 1.0), no_type_fits);
    assert_eq!(check(|spec| spec.memory_gb = 33.0), no_type_fits);
    assert_eq!(check(|spec| spec.zone = Some("b".into())), no_type_fits);
    assert_eq!(
        check(|spec| spec.machine_types = Some(vec!["m9".into()])),
        no_type_fits
    );
    let allowed = check(|spec| {
        spec.machine_types = Some(vec!["m9".into(), "m8".into()]);
        spec.zone = Some("a".into());
    });
    assert_eq!(allowed, Ok(()));
}

#[test]
fn a_teams_limit_counts_the_tasks_that_run_together() {
    let job = |kind, tasks| {
        check(|spec| {
            (spec.kind, spec.tasks, spec.cpus) = (kind, tasks, 8.0);
        })
    };
    assert_eq!(job(JobKind::Gang, 2), Ok(()));
    assert_eq!(job(JobKind::Gang, 3), Err(JobRejection::ExceedsTeamLimit));
    assert_eq!(
        job(JobKind::Service, 3),
        Err(JobRejection::ExceedsTeamLimit)
    );
    assert_eq!(job(JobKind::Array, 100), Ok(()));
}
