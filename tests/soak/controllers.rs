//! The controller processes of a run.

use crate::harness::history::{Observation, Recorder};
use crate::harness::process::{ControllerProcess, Launch};
use crate::harness::topology::ControllerId;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of checks whether a controller has ended by itself.
const PROCESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The controllers of a run. Clones share the processes.
#[derive(Clone)]
pub(crate) struct Controllers {
    slots: Rc<RefCell<Vec<Slot>>>,
    recorder: Recorder,
}

struct Slot {
    launch: Launch,
    /// The process, unless it was killed.
    process: Option<ControllerProcess>,
}

impl Controllers {
    /// Starts the controllers.
    pub(crate) fn start(
        launches: Vec<Launch>,
        recorder: &Recorder,
    ) -> std::io::Result<Controllers> {
        let start = |launch: Launch| {
            let process = ControllerProcess::start(&launch)?;
            Ok(Slot {
                launch,
                process: Some(process),
            })
        };
        let slots: std::io::Result<Vec<Slot>> = launches.into_iter().map(start).collect();
        Ok(Controllers {
            slots: Rc::new(RefCell::new(slots?)),
            recorder: recorder.clone(),
        })
    }

    /// Kills a controller.
    pub(crate) fn kill(&self, controller: ControllerId) {
        self.slots.borrow_mut()[controller.0].process = None;
    }

    /// Sets the program that controllers run when they are started the next time.
    pub(crate) fn set_program(&self, program: &Path) {
        for slot in self.slots.borrow_mut().iter_mut() {
            slot.launch.program = program.to_path_buf();
        }
    }

    /// Starts a controller that was killed.
    pub(crate) fn start_if_killed(&self, controller: ControllerId) {
        let slot = &mut self.slots.borrow_mut()[controller.0];
        if slot.process.is_none() {
            slot.process = ControllerProcess::start(&slot.launch).ok();
        }
    }

    /// Does something with a process that runs.
    pub(crate) fn with_process(
        &self,
        controller: ControllerId,
        action: impl FnOnce(&ControllerProcess),
    ) {
        if let Some(process) = &self.slots.borrow()[controller.0].process {
            action(process);
        }
    }

    /// Waits until every controller that was killed has been started again.
    pub(crate) async fn wait_until_all_run(&self) {
        while self
            .slots
            .borrow()
            .iter()
            .any(|slot| slot.process.is_none())
        {
            sleep(PROCESS_CHECK_INTERVAL).await;
        }
    }

    /// Records controllers that end by themselves, and starts them again. Does not return.
    pub(crate) async fn watch(self) {
        loop {
            sleep(PROCESS_CHECK_INTERVAL).await;
            for controller in ControllerId::all() {
                let slot = &mut self.slots.borrow_mut()[controller.0];
                let process = slot.process.as_mut();
                if let Some(status) = process.and_then(ControllerProcess::exit_status) {
                    self.recorder.record(Observation::ProcessEnded {
                        controller,
                        status: status.to_string(),
                    });
                    slot.process = ControllerProcess::start(&slot.launch).ok();
                }
            }
        }
    }
}
