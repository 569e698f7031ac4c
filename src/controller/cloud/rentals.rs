//! Rentals. Each request is stored under a unique name before the cloud is called. While its outcome is unknown, any leader can
//! repeat it under the same name, and the cloud executes it only once.

use super::Handles;
use crate::autoscaler::RentalRequest;
use crate::clients::authority_check::while_authorized;
use crate::clients::cloud::RentOutcome;
use crate::controller::state::{ControllerState, OpenRental};
use crate::coordination::leadership::Term;
use crate::protocol::{RentRequest, Txn};
use crate::store::{self, guard, Revision, StoreError, TxnOutcome};

/// The reason why a rental was not carried out or not recorded.
#[derive(Debug, thiserror::Error)]
pub(super) enum RentalError {
    /// The autoscaler requests no machines.
    #[error("no machines are needed")]
    NothingToRent,
    /// This controller has no authority to rent.
    #[error("no authority to rent")]
    NoAuthority,
    /// The cloud refused the request, or did not answer and may have executed it.
    #[error("rental request refused or not answered by the cloud")]
    Unconfirmed,
    /// The store refused the write or did not answer.
    #[error("rental request not stored: {0}")]
    Store(#[from] StoreError),
    /// The keys had other versions in the store than the write was conditional on.
    #[error("rental request not stored: conflict at {0:?}")]
    Conflict(Vec<String>),
}

impl Handles {
    /// Repeats the rental requests whose outcome is unknown. Returns the number of those that remain open.
    pub(super) async fn retry_open_rentals(&self) -> usize {
        let mut still_open = 0;
        for rental in self.read_state(ControllerState::open_rentals) {
            self.wait_for_cloud_rate_limit().await;
            if self.execute_rental(rental).await.is_err() {
                still_open += 1;
            }
        }
        still_open
    }

    /// Decides what to rent and carries out only the most urgent rental.
    ///
    /// The rest is decided anew afterwards. If a whole list of rentals were carried out while jobs keep arriving and the cloud's
    /// request rate is low, the list would be seconds old at its end, and whole calls would be spent on a few machines.
    pub(super) async fn rent_most_urgent(&self) -> Result<(), RentalError> {
        // Deciding before the wait avoids spending a call when nothing is to be rented. It also preempts lower-priority tasks
        // without waiting for the rate limit.
        if self
            .update_state(ControllerState::decide_scaling)
            .is_empty()
        {
            return Err(RentalError::NothingToRent);
        }
        self.wait_for_cloud_rate_limit().await;
        let request = self
            .update_state(ControllerState::next_rental_request)
            .ok_or(RentalError::NothingToRent)?;
        self.rent(&request).await
    }

    /// Carries out a rental request: stores it, then calls the cloud.
    async fn rent(&self, request: &RentalRequest) -> Result<(), RentalError> {
        let (mut rental, term) = self
            .update_state(|state| state.new_rental(request))
            .ok_or(RentalError::NoAuthority)?;
        rental.version = self
            .store_rentals(std::slice::from_ref(&rental), term)
            .await?;
        self.execute_rental(rental).await
    }

    /// Calls the cloud for a stored request, and stores the machines that were rented.
    async fn execute_rental(&self, mut rental: OpenRental) -> Result<(), RentalError> {
        let term = self
            .read_state(ControllerState::rental_term)
            .ok_or(RentalError::NoAuthority)?;
        let machines = self.request_machines(&rental, term).await?;
        self.update_state(|state| state.record_rental_response(&rental.record, machines.len()));
        rental.record.machines = Some(machines);
        let mut parts = self.read_state(|state| state.rental_parts(&rental));
        let version = self.store_rentals(&parts, term).await?;
        for part in &mut parts {
            part.version = version;
            self.update_state(|state| state.finish_rental(part));
        }
        Ok(())
    }

    /// Sends a rental request to the cloud. Returns the rented machines, none if there is no capacity.
    async fn request_machines(
        &self,
        rental: &OpenRental,
        term: Term,
    ) -> Result<Vec<String>, RentalError> {
        let OpenRental { name, record, .. } = rental;
        let request = RentRequest {
            name: name.clone(),
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            count: record.count,
        };
        let call = self.cloud.rent(&request);
        let outcome = while_authorized(|| self.may_call(Some(term)), call)
            .await
            .unwrap_or(RentOutcome::Unknown);
        tracing::info!(request = name, machine_type = %record.machine_type, zone = %record.zone, spot = record.spot, count = record.count, ?outcome, "rental request to the cloud ended");
        match outcome {
            RentOutcome::Rented(machines) => Ok(machines),
            RentOutcome::NoCapacity => Ok(Vec::new()),
            RentOutcome::Refused | RentOutcome::Unknown => Err(RentalError::Unconfirmed),
        }
    }

    /// Stores rentals on the condition that their versions in the store are the known ones, and returns the new version. After an
    /// error the rentals may have been stored all the same: the watch delivers the stored records, and an open request is sent
    /// to the cloud again.
    async fn store_rentals(
        &self,
        rentals: &[OpenRental],
        term: Term,
    ) -> Result<Revision, RentalError> {
        let epoch = guard(store::epoch_key(), term.epoch_version);
        let guards = rentals.iter().map(OpenRental::guard);
        let txn = Txn {
            guards: std::iter::once(epoch).chain(guards).collect(),
            apply: rentals.iter().map(OpenRental::change).collect(),
        };
        match self.leader_transaction(&txn).await? {
            TxnOutcome::Applied(version) => Ok(version),
            TxnOutcome::Failed(keys) => Err(RentalError::Conflict(keys)),
        }
    }
}
