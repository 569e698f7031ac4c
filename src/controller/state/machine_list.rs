//! Reconciliation of the scheduler's machines with the cloud's list of rented machines.

use super::{ControllerState, UnregisteredMachine};
use crate::clients::cloud::MachinePage;
use crate::scheduler::MachineState;
use crate::time::duration_from_secs;
use std::time::Duration;

/// Margin on top of twice the list's lag. After that time the list contains no machine that an earlier leader has released.
const LIST_LAG_MARGIN: Duration = Duration::from_secs(2);

impl ControllerState {
    /// Reconciles the scheduler's machines with a page of the list. Returns the start of the next page, if there is one.
    pub(in crate::controller) fn reconcile_machine_page(
        &mut self,
        page: MachinePage,
    ) -> Option<String> {
        let now = self.now();
        // The list may still contain machines that an earlier leader has released. A new leader that adopted such machines
        // relied on them for a minute. Machines whose workers send heartbeats are adopted without this delay.
        let lag = duration_from_secs(2.0 * self.settings.platform.deployment.cloud.list_lag_s)
            + LIST_LAG_MARGIN;
        let list_is_current = now > self.leading_since() + lag;
        let scheduler = self.scheduler.as_mut()?;
        for machine in page.machines {
            match scheduler.machine_index(&machine.id) {
                Some(index) if machine.state == "failed" => {
                    scheduler.set_machine_state(index, MachineState::Releasing, "failed");
                }
                Some(index) => {
                    let running = machine.state == "running";
                    scheduler.record_listing(
                        index,
                        running,
                        &machine.address,
                        duration_from_secs(machine.age_s),
                    );
                }
                None if list_is_current => {
                    self.rental_reconciliation
                        .add_unregistered(&machine.id, || UnregisteredMachine {
                            machine_type: machine.machine_type,
                            zone: machine.zone,
                            spot: machine.spot,
                            worker: None,
                        });
                }
                None => {}
            }
        }
        page.next
    }
}
