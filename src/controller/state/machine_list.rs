//! Reconciliation of the scheduler's machines with the cloud's list.

use super::{ControllerState, UnregisteredMachine};
use crate::clients::cloud::MachinePage;
use crate::scheduler::MachineState;
use crate::time::duration;
use std::time::Duration;

/// Added to twice the lag of the list, after which it shows nothing that an earlier leader has released.
const LIST_LAG_MARGIN: Duration = Duration::from_secs(2);

impl ControllerState {
    /// Compares a page with the scheduler's machines. Returns where the next page begins.
    pub(in crate::controller) fn reconcile_machine_page(
        &mut self,
        page: MachinePage,
    ) -> Option<String> {
        let now = self.now();
        // The list may still show what an earlier leader has released: a new leader once adopted such machines and counted
        // on them for a minute. Machines whose workers report are adopted at once.
        let lag =
            duration(2.0 * self.settings.platform.deployment.cloud.list_lag_s) + LIST_LAG_MARGIN;
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
                        duration(machine.age_s),
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
