//! Tests of resource arithmetic and rounding.

use super::*;

const TASK: Resources = Resources {
    cpu_milli: 2000,
    gpu_milli: 0,
    memory_mb: 3000,
};

#[test]
fn the_scarcest_resource_limits_how_many_tasks_fit() {
    let available = Resources::capacity(8.0, 0.0, 10.0);
    assert_eq!(TASK.count_fitting(available), 3);
    assert!(!Resources::requested(0.0, 1.0, 0.0).fits(available));
    assert_eq!(Resources::ZERO.count_fitting(available), u32::MAX);
    assert_eq!(TASK.quota().count_fitting(available.quota()), 4);
}

#[test]
fn requests_are_rounded_up_and_capacities_down() {
    assert_eq!(Resources::requested(0.0001, 0.0, 0.1 + 0.2).cpu_milli, 1);
    assert_eq!(Resources::requested(0.0, 0.0, 0.1 + 0.2).memory_mb, 300);
    assert_eq!(Resources::capacity(1.9999, -1.0, 0.0).cpu_milli, 1999);
    assert_eq!(Resources::capacity(1.9999, -1.0, 0.0).gpu_milli, 0);
}

#[test]
fn subtraction_saturates_at_zero() {
    assert_eq!(TASK.saturating_sub(TASK.saturating_mul(2)), Resources::ZERO);
    assert_eq!(TASK.saturating_sub(TASK).saturating_add(TASK), TASK);
}
