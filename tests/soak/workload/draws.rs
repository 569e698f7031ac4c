//! Random jobs and random ways to hang up.

use super::{Workload, TEAMS};
use crate::harness::jobs::JobDescription;
use crate::harness::user::HangUp;
use crate::run::MACHINE_TYPES;
use hollowswitch::protocol::{JobKind, JobSpec, Priority};
use rand::rngs::StdRng;
use rand::Rng;
use std::time::Duration;

/// Number of CPUs of each task.
const TASK_CPUS: f64 = 1.0;
/// One of so many jobs has a large record.
const JOBS_PER_LARGE_RECORD: u32 = 12;
/// Number of machine types with long names that the cloud does not offer.
const OTHER_MACHINE_TYPES: u32 = 20;

impl Workload {
    /// Draws a job and uploads its description.
    pub(super) fn draw_job(&self, random: &mut StdRng) -> JobSpec {
        let number = self.0.last_job.get() + 1;
        self.0.last_job.set(number);
        let is_service = random.gen_bool(0.3);
        let tasks = match random.gen_range(0..10) {
            0 => random.gen_range(10..30),
            _ => random.gen_range(1..6),
        };
        let team = TEAMS[usize::from(random.gen_bool(0.2))].0;
        let spec = JobSpec {
            id: format!("wk-{number:06}"),
            class: if is_service { "service" } else { "array" }.into(),
            team: team.into(),
            kind: if is_service {
                JobKind::Service
            } else {
                JobKind::Array
            },
            priority: if is_service {
                Priority::Production
            } else {
                Priority::Normal
            },
            tasks: if is_service { tasks.min(6) } else { tasks },
            cpus: TASK_CPUS,
            gpus: 0.0,
            memory_gb: 1.0,
            image: format!("image-{}", number % 5),
            image_gb: 0.1,
            machine_types: number
                .is_multiple_of(JOBS_PER_LARGE_RECORD)
                .then(long_list_of_machine_types),
            zone: random.gen_bool(0.2).then(|| crate::run::ZONES[0].into()),
            single_zone: false,
            spread_zones: false,
            spot: false,
            run_time_estimate_s: 2.0,
            checkpoint_interval_s: 0.0,
            checkpoint_save_s: 0.0,
            deadline_s: None,
        };
        self.0.registry.upload(JobDescription {
            spec: spec.clone(),
            run_time: Duration::from_millis(random.gen_range(200..6000)),
        });
        spec
    }
}

/// Returns machine types that make the record of a job larger than the lowered limit on values: those of the cloud among others that
/// it does not offer.
pub(crate) fn long_list_of_machine_types() -> Vec<String> {
    let offered = MACHINE_TYPES.map(String::from);
    let others = (0..OTHER_MACHINE_TYPES).map(|number| format!("type-{number:0100}"));
    offered.into_iter().chain(others).collect()
}

/// Draws a way to hang up.
pub(super) fn draw_hang_up(random: &mut StdRng) -> HangUp {
    if random.gen_bool(0.2) {
        HangUp::WhileSending(random.gen_range(0.0..1.0))
    } else {
        HangUp::WhileWaiting(Duration::from_millis(random.gen_range(0..60)))
    }
}
