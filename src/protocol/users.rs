//! Users: jobs that they submit, and the states that they are told.

use super::decoding::{finite_number, optional_finite_number};
use serde::{Deserialize, Serialize};

/// How the tasks of a job relate, and whether they end by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
    /// Tasks that run together and to completion: started whole or not at all.
    #[serde(rename = "gang")]
    Gang,
}

/// Priority, the highest first. A job may preempt jobs of a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Production.
    #[serde(rename = "prod")]
    Production,
    /// High.
    #[serde(rename = "urgent")]
    High,
    /// Normal.
    #[serde(rename = "standard")]
    Normal,
    /// Low.
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user describes it. Resources are per task, durations in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique job id, chosen by the user; a repeated submission has the same one.
    pub id: String,
    /// Class of jobs for which the settings state service-level objectives.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose quota (guarantee and limit) applies.
    #[serde(rename = "crew")]
    pub team: String,
    /// Job array, service or gang.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks; they are numbered from 0.
    #[serde(rename = "chores")]
    pub tasks: u32,
    /// CPUs of a task.
    #[serde(rename = "cores", deserialize_with = "finite_number")]
    pub cpus: f64,
    /// Accelerators of a task.
    #[serde(rename = "cards", deserialize_with = "finite_number")]
    pub gpus: f64,
    /// Memory of a task, in GB.
    #[serde(rename = "memGb", deserialize_with = "finite_number")]
    pub memory_gb: f64,
    /// Image that a machine must have before a task starts there.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pullGb", deserialize_with = "finite_number")]
    pub image_gb: f64,
    /// Allowed machine types, or any.
    #[serde(rename = "breeds", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone, or any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "together")]
    pub single_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread_zones: bool,
    /// Whether spot machines may be used.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of the run time of a task; 0 for services.
    #[serde(rename = "reckonS", deserialize_with = "finite_number")]
    pub run_time_estimate_s: f64,
    /// Progress between two checkpoints; 0 if the task cannot be checkpointed.
    #[serde(rename = "markEveryS", deserialize_with = "finite_number")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "stowS", deserialize_with = "finite_number")]
    pub checkpoint_save_s: f64,
    /// Deadline of the whole job, counted from its submission.
    #[serde(rename = "dueS", default, deserialize_with = "optional_finite_number")]
    pub deadline_s: Option<f64>,
}

/// The state of a job as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// Every task has completed.
    Done,
    /// Its user has cancelled it.
    Cancelled,
}

/// What a user is told of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Job id.
    pub id: String,
    /// State.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Completed tasks, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Running tasks, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
