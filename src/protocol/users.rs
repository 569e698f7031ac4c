//! What users send and are told.

use super::decoding::{num, opt_num};
use super::{NAME_LIMIT, TASK_LIMIT};
use serde::{Deserialize, Serialize};

/// Whether a job's tasks end by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
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

/// Priority classes, the highest first.
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

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique job id.
    pub id: String,
    /// Class named in the objectives.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array or service.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "chores")]
    pub tasks: u32,
    /// CPUs a task takes.
    #[serde(rename = "cores", deserialize_with = "num")]
    pub cpus: f64,
    /// Accelerators a task takes.
    #[serde(rename = "cards", deserialize_with = "num")]
    pub gpus: f64,
    /// Memory a task takes.
    #[serde(rename = "memGb", deserialize_with = "num")]
    pub memory_gb: f64,
    /// Image a machine must hold.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "pullGb", deserialize_with = "num")]
    pub image_gb: f64,
    /// Allowed machine types; none: any.
    #[serde(rename = "breeds", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "together")]
    pub together: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "scatter")]
    pub scatter: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "reckonS", deserialize_with = "num")]
    pub estimate_s: f64,
    /// Progress between checkpoints; 0: never saves.
    #[serde(rename = "markEveryS", deserialize_with = "num")]
    pub checkpoint_s: f64,
    /// Time a task needs to save when stopped.
    #[serde(rename = "stowS", deserialize_with = "num")]
    pub save_s: f64,
    /// When the job should be complete, from its submission.
    #[serde(rename = "dueS", default, deserialize_with = "opt_num")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// The checks behind a 400: the message names the field.
    pub fn check(&self) -> Result<(), &'static str> {
        let amount = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        let name = |s: &str| !s.is_empty() && s.len() <= NAME_LIMIT;
        if !job_id(&self.id) {
            return Err("id");
        }
        if !name(&self.class) || !name(&self.team) || !name(&self.image) {
            return Err("lane, crew or bundle");
        }
        if self.tasks == 0 || self.tasks > TASK_LIMIT {
            return Err("chores");
        }
        if !amount(self.cpus) || self.cpus <= 0.0 {
            return Err("cores");
        }
        let amounts = [
            self.gpus,
            self.memory_gb,
            self.image_gb,
            self.estimate_s,
            self.checkpoint_s,
            self.save_s,
        ];
        if !amounts.into_iter().all(amount) {
            return Err("an amount");
        }
        if self.deadline_s.is_some_and(|d| !amount(d)) {
            return Err("dueS");
        }
        if self
            .types
            .as_ref()
            .is_some_and(|t| t.len() > 64 || !t.iter().all(|s| name(s)))
        {
            return Err("breeds");
        }
        if self.zone.as_ref().is_some_and(|z| !name(z)) {
            return Err("yard");
        }
        Ok(())
    }
}

/// Whether a job id has the form that all have.
#[must_use]
pub fn job_id(id: &str) -> bool {
    id.strip_prefix("wk-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// Every task is done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// An answer about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Job id.
    pub id: String,
    /// State.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Tasks done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
