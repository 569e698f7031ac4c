//! Messages to and from users: submitted jobs and job states.

use super::decoding::{finite_number, optional_finite_number};
use serde::{Deserialize, Serialize};

/// The kind of a job: whether its tasks depend on each other, and whether they run to completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[serde(rename = "array")]
    Array,
    /// Independent replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
    /// Tasks that run to completion and at the same time: all of them are started, or none.
    #[serde(rename = "gang")]
    Gang,
}

/// The priority of a job, from highest to lowest. A job may preempt jobs of lower priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Production: the highest priority.
    #[serde(rename = "prod")]
    Production,
    /// High priority.
    #[serde(rename = "urgent")]
    High,
    /// Normal priority.
    #[serde(rename = "standard")]
    Normal,
    /// Low priority.
    #[serde(rename = "idle")]
    Low,
}

/// The specification of a job, as submitted by a user. Resources are per task, durations in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique job id, chosen by the user. A repeated submission carries the same id.
    pub id: String,
    /// Class of the job. The settings define service-level objectives per class.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose quota, a guarantee and a limit, applies.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks. Tasks are numbered from 0.
    #[serde(rename = "chores")]
    pub tasks: u32,
    /// Number of CPUs.
    #[serde(rename = "cores", deserialize_with = "finite_number")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "cards", deserialize_with = "finite_number")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "memGb", deserialize_with = "finite_number")]
    pub memory_gb: f64,
    /// Image that a machine must hold before a task can start there.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pullGb", deserialize_with = "finite_number")]
    pub image_gb: f64,
    /// Allowed machine types. `None` allows any type.
    #[serde(rename = "breeds", default)]
    pub machine_types: Option<Vec<String>>,
    /// Allowed zone. `None` allows any zone.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "together")]
    pub single_zone: bool,
    /// Whether the tasks must be spread: at most half of them, rounded up, may run in one zone.
    #[serde(rename = "scatter")]
    pub spread_zones: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of the run time of a task. 0 for services.
    #[serde(rename = "reckonS", deserialize_with = "finite_number")]
    pub run_time_estimate_s: f64,
    /// Progress of a task between two checkpoints. 0 if the tasks cannot be checkpointed.
    #[serde(rename = "markEveryS", deserialize_with = "finite_number")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stowS", deserialize_with = "finite_number")]
    pub checkpoint_save_s: f64,
    /// Deadline for the completion of all tasks, counted from the submission of the job.
    #[serde(rename = "dueS", default, deserialize_with = "optional_finite_number")]
    pub deadline_s: Option<f64>,
}

/// The state of a job, as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// The job is not finished, and none of its tasks is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks have completed.
    Done,
    /// The user has cancelled the job.
    Cancelled,
}

/// The status of a job, as shown to users.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Job id.
    pub id: String,
    /// State of the job.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Number of completed tasks, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of running tasks, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
