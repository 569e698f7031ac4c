//! The tasks on a machine and its free resources.

use crate::resources::Resources;
use crate::scheduler::attempt::TaskId;
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// The tasks that are or may be on a machine, and the resources that they leave free.
#[derive(Debug)]
pub(in crate::scheduler) struct Load {
    free: Resources,
    tasks: BTreeSet<TaskId>,
    /// CPUs that tasks of services use, in thousandths.
    service_cpu_milli: u64,
    /// Number of tasks that are being stopped.
    stopping: u32,
    /// Since when the machine has no task; `None` while it has tasks or has not come up.
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

    /// Returns the resources that no task uses.
    pub(in crate::scheduler) fn free(&self) -> Resources {
        self.free
    }

    /// Returns the tasks that are or may be on the machine.
    pub(in crate::scheduler) fn tasks(&self) -> &BTreeSet<TaskId> {
        &self.tasks
    }

    /// Returns the CPUs that tasks of services use, in thousandths.
    pub(in crate::scheduler) fn service_cpu_milli(&self) -> u64 {
        self.service_cpu_milli
    }

    /// Reports whether tasks are being stopped.
    pub(in crate::scheduler) fn has_stopping_tasks(&self) -> bool {
        self.stopping > 0
    }

    /// Returns since when the machine has no task, or `None` if it has tasks or has not come up.
    pub(in crate::scheduler) fn idle_since(&self) -> Option<Timestamp> {
        self.idle_since
    }

    /// Adds a task and takes its resources from the free ones.
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

    /// Removes a task. The caller then sets the free resources with [`Load::set_free`].
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

    /// Sets the free resources.
    pub(in crate::scheduler) fn set_free(&mut self, free: Resources) {
        self.free = free;
    }

    /// Updates the number of tasks that are being stopped after the change of one task.
    pub(in crate::scheduler) fn update_stopping(&mut self, was_stopping: bool, is_stopping: bool) {
        self.stopping = self.stopping + u32::from(is_stopping) - u32::from(was_stopping);
    }

    /// Records that the machine has come up: it is idle from `now` on unless it has tasks.
    pub(in crate::scheduler) fn mark_up(&mut self, now: Timestamp) {
        self.idle_since = self.tasks.is_empty().then_some(now);
    }
}
