//! Adoption of unregistered machines: rented machines that no rental record names.

use super::{ControllerState, UnregisteredMachine};
use crate::coordination::leadership::Term;
use crate::scheduler::Origin;
use crate::store::RentalRecord;

impl ControllerState {
    /// Removes and returns the next unregistered machine.
    pub(in crate::controller) fn pop_unregistered_machine(
        &mut self,
    ) -> Option<(String, UnregisteredMachine)> {
        self.rental_reconciliation.pop_unregistered()
    }

    /// Returns the number of unregistered machines that wait for adoption.
    #[cfg(test)]
    pub(in crate::controller) fn unregistered_machine_count(&self) -> usize {
        self.rental_reconciliation.unregistered_count()
    }

    /// Returns the term in which a machine may be adopted. There is none if the scheduler knows the machine by now, or if an
    /// open rental request for the same machine type and zone may have rented it.
    pub(in crate::controller) fn adoption_term(
        &self,
        name: &str,
        machine: &UnregisteredMachine,
    ) -> Option<Term> {
        let term = self.term()?;
        let mut rentals = self.replica.rentals.values().map(|rental| &rental.record);
        let may_belong_to_open_rental = rentals.any(|rental| {
            rental.machines.is_none()
                && rental.machine_type == machine.machine_type
                && rental.zone == machine.zone
        });
        let is_unknown = !self.scheduler.as_ref()?.is_known(name);
        (is_unknown && !may_belong_to_open_rental).then_some(term)
    }

    /// Reports whether the replica holds a rental with this name and record.
    pub(in crate::controller) fn has_rental(&self, name: &str, record: &RentalRecord) -> bool {
        let rental = self.replica.rentals.get(name);
        rental.is_some_and(|rental| rental.record == *record)
    }

    /// Adds an adopted machine, whose rental record is now in the store, to the scheduler.
    ///
    /// Nothing is added after the epoch in which the adoption began: the leader of a later epoch reads the machine from the
    /// store.
    pub(in crate::controller) fn finish_adoption(&mut self, record: &RentalRecord, term: Term) {
        let same_epoch = |current: Term| current.epoch_version == term.epoch_version;
        if self.term().is_some_and(same_epoch) {
            self.add_machines(record, Origin::Adopted);
        }
    }
}
