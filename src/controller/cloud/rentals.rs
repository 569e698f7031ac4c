//! Rentals. A request is stored under a name of its own before the cloud is called, so that whoever leads can repeat it under
//! the same name while its answer is unknown: the cloud executes it once.

use super::Handles;
use crate::autoscaler::RentalRequest;
use crate::clients::authority_check::while_authorized;
use crate::clients::cloud::RentOutcome;
use crate::controller::state::{ControllerState, OpenRental};
use crate::coordination::leadership::Term;
use crate::protocol::RentRequest;
use crate::store::{self, guard, Revision, StoreError, TxnOutcome};

/// Why no machines were rented.
#[derive(Debug, thiserror::Error)]
pub(super) enum RentalError {
    /// No machines are needed.
    #[error("no machines are needed")]
    NothingToRent,
    /// This node may not rent.
    #[error("no authority to rent")]
    NoAuthority,
    /// The cloud refused the request, or has not answered it.
    #[error("the cloud has not executed the request for all that is known")]
    Unanswered,
    /// The store has not answered.
    #[error("rental request not stored: {0}")]
    Store(#[from] StoreError),
    /// The store holds other versions than the write was conditional on.
    #[error("rental request not stored: conflict at {0:?}")]
    Conflict(Vec<String>),
}

impl Handles {
    /// Repeats the rental requests whose answer is unknown. Returns how many are left without one.
    pub(super) async fn settle_rentals(&self) -> usize {
        let mut unsettled = 0;
        for rental in self.read_state(ControllerState::open_rentals) {
            self.await_cloud_call().await;
            if self.call_rental(rental).await.is_err() {
                unsettled += 1;
            }
        }
        unsettled
    }

    /// Decides what to rent and carries out the most urgent rental.
    ///
    /// The rest is decided anew after it. While jobs stream in and the cloud's request rate is scarce, a list of rentals that
    /// was carried out call by call was seconds old at its end, and spent whole calls on a few machines.
    pub(super) async fn rent_most_urgent(&self) -> Result<(), RentalError> {
        // Without a request no call is spent, and what the look ahead preempts for others is not delayed by the rate.
        if self.with_state(ControllerState::decide_scaling).is_empty() {
            return Err(RentalError::NothingToRent);
        }
        self.await_cloud_call().await;
        let request = self
            .with_state(ControllerState::next_rental_request)
            .ok_or(RentalError::NothingToRent)?;
        self.rent(&request).await
    }

    /// Rents machines: stores the request, then calls the cloud.
    async fn rent(&self, request: &RentalRequest) -> Result<(), RentalError> {
        let (mut rental, term) = self
            .with_state(|state| state.new_rental(request))
            .ok_or(RentalError::NoAuthority)?;
        rental.version = self.store_rental(&rental, term).await?;
        self.call_rental(rental).await
    }

    /// Calls the cloud for a stored request, and stores the machines that it brought.
    async fn call_rental(&self, mut rental: OpenRental) -> Result<(), RentalError> {
        let term = self
            .read_state(ControllerState::rental_term)
            .ok_or(RentalError::NoAuthority)?;
        let machines = self.call_cloud(&rental, term).await?;
        self.with_state(|state| state.record_rental_response(&rental.record, machines.len()));
        rental.record.machines = Some(machines);
        rental.version = self.store_rental(&rental, term).await?;
        self.with_state(|state| state.finish_rental(&rental));
        Ok(())
    }

    /// Calls the cloud for a rental. Returns the machines that it brought.
    async fn call_cloud(
        &self,
        rental: &OpenRental,
        term: Term,
    ) -> Result<Vec<String>, RentalError> {
        let OpenRental { name, record, .. } = rental;
        let request = RentRequest {
            request: name.clone(),
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            count: record.count,
        };
        let call = self.cloud.rent(&request);
        let outcome = while_authorized(|| self.may_call(Some(term)), call)
            .await
            .unwrap_or(RentOutcome::Unknown);
        tracing::info!(request = name, machine_type = %record.machine_type, zone = %record.zone, spot = record.spot, count = record.count, ?outcome, "rental");
        match outcome {
            RentOutcome::Rented(machines) => Ok(machines),
            RentOutcome::NoCapacity => Ok(Vec::new()),
            RentOutcome::Refused | RentOutcome::Unknown => Err(RentalError::Unanswered),
        }
    }

    /// Stores a rental over the version that is known of it, and returns its new version. After an error it may have been
    /// stored all the same: the watch brings whatever the store holds, and an open request is called again.
    async fn store_rental(&self, rental: &OpenRental, term: Term) -> Result<Revision, RentalError> {
        let epoch = guard(store::epoch_key(), term.epoch_version);
        let txn = store::rental_txn(&epoch, &rental.name, rental.version, &rental.record);
        match self.leader_transaction(&txn).await? {
            TxnOutcome::Applied(version) => Ok(version),
            TxnOutcome::Failed(keys) => Err(RentalError::Conflict(keys)),
        }
    }
}
