//! What runs on a machine, and what is free.

use crate::resources::Resources;
use crate::scheduler::attempt::TaskId;
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// The tasks that are or may be on a machine, and the resources that they leave.
#[derive(Debug)]
pub(in crate::scheduler) struct Load {
    free: Resources,
    tasks: BTreeSet<TaskId>,
    /// CPUs that services use, in thousandths.
    service_cpu_milli: u64,
    /// Number of tasks that are being stopped.
    stopping: u32,
    /// Since when there is no task; none before the machine has come up.
    idle_since: Option<Timestamp>,
}

impl Load {
    pub(super) fn new(capacity: Resources) -> Self {
        Load {
            free: capacity,
            tasks: BTreeSet::new(),
            service_cpu_milli: 0,
            stopping: 0,
            idle_since: None,
        }
    }

    /// The resources that no task uses.
    pub(in crate::scheduler) fn free(&self) -> Resources {
        self.free
    }

    /// The tasks that are or may be there.
    pub(in crate::scheduler) fn tasks(&self) -> &BTreeSet<TaskId> {
        &self.tasks
    }

    /// CPUs that services use, in thousandths.
    pub(in crate::scheduler) fn service_cpu_milli(&self) -> u64 {
        self.service_cpu_milli
    }

    /// Whether tasks are being stopped.
    pub(in crate::scheduler) fn has_stopping_tasks(&self) -> bool {
        self.stopping > 0
    }

    /// Since when there is no task; none before the machine has come up.
    pub(in crate::scheduler) fn idle_since(&self) -> Option<Timestamp> {
        self.idle_since
    }

    /// Adds a task.
    pub(in crate::scheduler) fn add(
        &mut self,
        task: TaskId,
        resources: Resources,
        service_cpu_milli: u64,
    ) {
        self.tasks.insert(task);
        self.service_cpu_milli += service_cpu_milli;
        self.free = self.free.saturating_sub(resources);
        self.idle_since = None;
    }

    /// Removes a task. What is free then has to be set by [`Load::set_free`].
    pub(in crate::scheduler) fn remove(
        &mut self,
        task: TaskId,
        service_cpu_milli: u64,
        now: Timestamp,
    ) {
        self.tasks.remove(&task);
        self.service_cpu_milli -= service_cpu_milli;
        if self.tasks.is_empty() {
            self.idle_since = Some(now);
        }
    }

    /// Sets what is free.
    pub(in crate::scheduler) fn set_free(&mut self, free: Resources) {
        self.free = free;
    }

    /// Changes the number of tasks that are being stopped.
    pub(in crate::scheduler) fn count_stopping(&mut self, stopped_before: bool, stops: bool) {
        self.stopping = self.stopping + u32::from(stops) - u32::from(stopped_before);
    }

    /// The machine has come up: from now on it is idle unless it has tasks.
    pub(in crate::scheduler) fn come_up(&mut self, now: Timestamp) {
        self.idle_since = self.tasks.is_empty().then_some(now);
    }
}
