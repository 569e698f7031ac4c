//! Rentals. A request is stored under a name of its own before the cloud is called, so that whoever leads can repeat it under
//! the same name while its answer is unknown: the cloud executes it once.

use super::{Handles, REQUEST_RATE_SHARE};
use crate::autoscaler::{RentalRequest, ScalingPolicy};
use crate::clients::authority_check::while_authorized;
use crate::clients::cloud::RentOutcome;
use crate::controller::state::ControllerState;
use crate::coordination::leadership::{Authority, Term};
use crate::protocol::RentRequest;
use crate::scheduler::{Offer, Origin};
use crate::store::{self, guard, RentalRecord, Revision, StoreError, TxnOutcome};
use crate::time::duration;

/// For so many calls of the cloud an offer rests after a request while others are wanted.
const REST_CALLS: f64 = 2.9;

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

/// A rental request in the store whose answer is unknown.
struct OpenRental {
    name: String,
    record: RentalRecord,
    version: Revision,
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
        if self
            .with_state(ControllerState::scaling_decision)
            .is_empty()
        {
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
            .read_state(ControllerState::term_to_rent)
            .ok_or(RentalError::NoAuthority)?;
        let machines = self.call_cloud(&rental, term).await?;
        self.with_state(|state| state.record_offer(&rental.record, machines.len()));
        rental.record.machines = Some(machines);
        let version = self.store_rental(&rental, term).await?;
        // Until the watch brings it, the request would be taken for one whose answer is unknown, and called again.
        self.with_state(|state| {
            let record = rental.record.clone();
            state.replica.put_rental(&rental.name, record, version);
        });
        self.add_machines(&rental.record, Origin::Rented);
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

impl ControllerState {
    fn open_rentals(&self) -> Vec<OpenRental> {
        let rentals = self.replica.rentals.iter();
        let open = rentals.filter(|(_, rental)| rental.record.machines.is_none());
        open.map(|(name, rental)| OpenRental {
            name: name.clone(),
            record: rental.record.clone(),
            version: rental.version,
        })
        .collect()
    }

    /// The term, if machines may be rented in it.
    fn term_to_rent(&self) -> Option<Term> {
        self.term().filter(|_| self.authority() == Authority::Full)
    }

    /// Decides what to rent and what to return.
    fn scaling_decision(&mut self) -> Vec<RentalRequest> {
        // The calls before this one may have taken seconds: a leader that was cut off meanwhile once gave up machines that
        // its successor was using.
        if self.authority() != Authority::Full {
            return Vec::new();
        }
        let now = self.now();
        let policy = ScalingPolicy::new(&self.settings);
        match self.scheduler.as_mut() {
            Some(scheduler) => self.autoscaler.decide(scheduler, &policy, now),
            None => Vec::new(),
        }
    }

    /// Decides what to rent, and chooses the request to carry out first.
    fn next_rental_request(&mut self) -> Option<RentalRequest> {
        let requests = self.scaling_decision();
        let now = self.now();
        let calls_per_s = self.settings.platform.deployment.cloud.rps * REQUEST_RATE_SHARE;
        let rest = duration(REST_CALLS / calls_per_s);
        self.autoscaler.next_request(requests, rest, now)
    }

    /// A rental with a name that was never used before, and the term in which to store it.
    fn new_rental(&mut self, request: &RentalRequest) -> Option<(OpenRental, Term)> {
        let RentalRequest { offer, count } = *request;
        self.rental_requests_made += 1;
        let term = self.term()?;
        let scheduler = self.scheduler.as_ref()?;
        let record = RentalRecord {
            machine_type: scheduler.machine_type(offer.machine_type).name.clone(),
            zone: scheduler.zone_name(offer.zone).to_string(),
            spot: offer.spot,
            count,
            machines: None,
        };
        let (node, incarnation) = (&self.identity().node, self.identity().incarnation);
        let rental = OpenRental {
            name: format!("{node}-{incarnation:x}-{}", self.rental_requests_made),
            record,
            version: Revision::ZERO,
        };
        Some((rental, term))
    }

    /// The cloud has answered a rental request with a number of machines.
    fn record_offer(&mut self, rental: &RentalRecord, rented: usize) {
        let now = self.now();
        let request = self.request_of(rental);
        if let Some(request) = request {
            self.autoscaler.record_rental(&request, rented, now);
        }
    }

    /// The request that a rental was made for. None if its machine type or zone is not known, or nobody leads.
    fn request_of(&self, rental: &RentalRecord) -> Option<RentalRequest> {
        let scheduler = self.scheduler.as_ref()?;
        let offer = Offer {
            machine_type: scheduler.machine_type_index(&rental.machine_type)?,
            zone: scheduler.zone_index(&rental.zone)?,
            spot: rental.spot,
        };
        Some(RentalRequest {
            offer,
            count: rental.count,
        })
    }
}
