//! The descriptions of jobs, which users upload and workers read.

use super::history::lock;
use hollowswitch::protocol::{split_task, JobKind, JobSpec};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A job and how its tasks behave.
#[derive(Debug, Clone)]
pub(crate) struct JobDescription {
    /// The submitted job.
    pub(crate) spec: JobSpec,
    /// Run time of a task of an array.
    pub(crate) run_time: Duration,
}

/// The uploaded jobs and the results of their tasks. Clones share the content.
#[derive(Clone, Default)]
pub(crate) struct JobRegistry {
    jobs: Arc<Mutex<HashMap<String, JobDescription>>>,
    /// Tasks that have completed once.
    results: Arc<Mutex<HashSet<String>>>,
}

impl JobRegistry {
    /// Uploads a job.
    pub(crate) fn upload(&self, description: JobDescription) {
        let id = description.spec.id.clone();
        lock(&self.jobs).insert(id, description);
    }

    /// Returns the job of a task.
    pub(crate) fn job_of(&self, task: &str) -> Option<JobDescription> {
        let (job, number) = split_task(task)?;
        let jobs = lock(&self.jobs);
        jobs.get(job)
            .filter(|description| number < description.spec.tasks)
            .cloned()
    }

    /// Returns a job.
    pub(crate) fn job(&self, id: &str) -> Option<JobDescription> {
        lock(&self.jobs).get(id).cloned()
    }

    /// Keeps the result of a task.
    pub(crate) fn record_result(&self, task: &str) {
        lock(&self.results).insert(task.to_string());
    }

    /// Reports whether a task has completed before, so that it ends as soon as it has its image.
    pub(crate) fn has_result(&self, task: &str) -> bool {
        lock(&self.results).contains(task)
    }
}

impl JobDescription {
    /// Returns the run time of a task, or `None` if it runs until it is stopped.
    pub(crate) fn task_run_time(&self) -> Option<Duration> {
        (self.spec.kind == JobKind::Array).then_some(self.run_time)
    }
}
