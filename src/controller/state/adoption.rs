//! Adoption of unregistered machines.

use super::{ControllerState, UnregisteredMachine};
use crate::coordination::leadership::Term;
use crate::scheduler::Origin;
use crate::store::RentalRecord;

impl ControllerState {
    /// The next unregistered machine, which is no longer remembered then.
    pub(in crate::controller) fn pop_unregistered_machine(
        &mut self,
    ) -> Option<(String, UnregisteredMachine)> {
        self.rental_reconciliation.pop_unregistered()
    }

    /// The number of unregistered machines that are remembered.
    #[cfg(test)]
    pub(in crate::controller) fn unregistered_machine_count(&self) -> usize {
        self.rental_reconciliation.unregistered_count()
    }

    /// The term in which a machine may be adopted, if it may: it is not known by now, and no rental without an answer can
    /// have brought it.
    pub(in crate::controller) fn term_to_adopt(
        &self,
        name: &str,
        machine: &UnregisteredMachine,
    ) -> Option<Term> {
        let term = self.term()?;
        let mut rentals = self.replica.rentals.values().map(|rental| &rental.record);
        let may_be_rented = rentals.any(|rental| {
            rental.machines.is_none()
                && rental.machine_type == machine.machine_type
                && rental.zone == machine.zone
        });
        let is_unknown = !self.scheduler.as_ref()?.is_known(name);
        (is_unknown && !may_be_rented).then_some(term)
    }

    /// Whether the replica holds a rental with this record.
    pub(in crate::controller) fn has_rental(&self, name: &str, record: &RentalRecord) -> bool {
        let rental = self.replica.rentals.get(name);
        rental.is_some_and(|rental| rental.record == *record)
    }

    /// The rental record of an unregistered machine is in the store. The leader of a later epoch knows the machine from there.
    pub(in crate::controller) fn finish_adoption(&mut self, record: &RentalRecord, term: Term) {
        let same_epoch = |present: Term| present.epoch_version == term.epoch_version;
        if self.term().is_some_and(same_epoch) {
            self.add_machines(record, Origin::Found);
        }
    }
}
