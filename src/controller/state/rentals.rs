//! Rentals of machines: the decision what to rent, the rental requests in the store, and the machines that were rented.

use super::request_limits::CLOUD_REQUEST_SHARE;
use super::ControllerState;
use crate::autoscaler::{RentalRequest, ScalingPolicy};
use crate::coordination::leadership::{Authority, Term};
use crate::protocol::{Change, Guard};
use crate::scheduler::{Hardware, Offer, Origin};
use crate::store::{self, guard, RentalRecord, Revision};
use crate::time::duration_from_secs;

/// Cooldown of an offer after a request for it, in intervals between cloud calls: requests for other offers go first.
const OFFER_COOLDOWN_CALLS: f64 = 2.9;

/// A rental request that is stored before the cloud is called, and whose outcome is not stored yet, or a part of its outcome.
pub(in crate::controller) struct OpenRental {
    pub(in crate::controller) name: String,
    pub(in crate::controller) record: RentalRecord,
    /// Version of the record in the store, or 0 before it is stored.
    pub(in crate::controller) version: Revision,
}

impl OpenRental {
    /// Returns the guard on the version of the record.
    pub(in crate::controller) fn guard(&self) -> Guard {
        guard(store::rental_key(&self.name), self.version)
    }

    /// Returns the change that stores the record.
    pub(in crate::controller) fn change(&self) -> Change {
        store::rental_change(&self.name, &self.record)
    }

    fn machine_count(&self) -> usize {
        self.record.machines.as_ref().map_or(0, Vec::len)
    }
}

impl ControllerState {
    /// Returns the rental requests in the store whose outcome is unknown.
    pub(in crate::controller) fn open_rentals(&self) -> Vec<OpenRental> {
        let rentals = self.replica.rentals.iter();
        let open = rentals.filter(|(_, rental)| rental.record.machines.is_none());
        open.map(|(name, rental)| OpenRental {
            name: name.clone(),
            record: rental.record.clone(),
            version: rental.version,
        })
        .collect()
    }

    /// Returns the current term, if machines may be rented in it.
    pub(in crate::controller) fn rental_term(&self) -> Option<Term> {
        self.term().filter(|_| self.authority() == Authority::Full)
    }

    /// Lets the autoscaler decide on rentals and releases. Returns the rentals; the releases are recorded in the scheduler.
    pub(in crate::controller) fn decide_scaling(&mut self) -> Vec<RentalRequest> {
        // Earlier calls to the cloud may have taken seconds. Without this check, a leader that became isolated during them
        // chose machines for release that its successor was using.
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

    /// Decides on rentals and releases like [`Self::decide_scaling`], and selects the rental to request next.
    pub(in crate::controller) fn next_rental_request(&mut self) -> Option<RentalRequest> {
        let requests = self.decide_scaling();
        let now = self.now();
        let calls_per_s = self.settings.platform.deployment.cloud.rps * CLOUD_REQUEST_SHARE;
        let offer_cooldown = duration_from_secs(OFFER_COOLDOWN_CALLS / calls_per_s);
        self.autoscaler.next_request(requests, offer_cooldown, now)
    }

    /// Creates a rental request with a unique name. Returns it with the term in which to store it.
    pub(in crate::controller) fn new_rental(
        &mut self,
        request: &RentalRequest,
    ) -> Option<(OpenRental, Term)> {
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

    /// Returns the records in which a rental is stored, within the limits of the store. The first one replaces the record of the
    /// request. If there are too many for one transaction, the machines in the others are left out: without a record, they are
    /// adopted one by one.
    pub(in crate::controller) fn rental_parts(&self, rental: &OpenRental) -> Vec<OpenRental> {
        let mut parts = self.divide_rental(&rental.name, rental.version, &rental.record);
        let max_parts = self.write_limits.changes();
        if parts.len() > max_parts {
            let left_out: usize = parts[max_parts..]
                .iter()
                .map(OpenRental::machine_count)
                .sum();
            tracing::error!(
                request = rental.name,
                left_out,
                "rented machines exceed the limits of a transaction, the remaining ones will be adopted"
            );
            parts.truncate(max_parts);
        }
        parts
    }

    /// Divides a rental among records that keep to the limit on values. The first one has the name and version of the rental,
    /// the others have names that no other rental has.
    pub(super) fn divide_rental(
        &self,
        name: &str,
        version: Revision,
        record: &RentalRecord,
    ) -> Vec<OpenRental> {
        let unused_names = (1..)
            .map(|number: u32| format!("{name}.{number}"))
            .filter(|name| !self.replica.rentals.contains_key(name));
        let names = std::iter::once(name.to_string()).chain(unused_names);
        let parts = record.divide(self.write_limits.value_bytes());
        names
            .zip(parts)
            .map(|(part_name, record)| OpenRental {
                version: if part_name == name {
                    version
                } else {
                    Revision::ZERO
                },
                name: part_name,
                record,
            })
            .collect()
    }

    /// Records that the cloud has answered a rental request with `rented` machines.
    pub(in crate::controller) fn record_rental_response(
        &mut self,
        rental: &RentalRecord,
        rented: usize,
    ) {
        let now = self.now();
        let request = self.request_for(rental);
        if let Some(request) = request {
            self.autoscaler.record_rental(&request, rented, now);
        }
    }

    /// Adds the machines of a rental, whose record is now in the store, to the replica and the scheduler.
    pub(in crate::controller) fn finish_rental(&mut self, rental: &OpenRental) {
        // Until the watch delivers the record, the request would still seem open and be sent to the cloud again.
        self.replica
            .put_rental(&rental.name, rental.record.clone(), rental.version);
        self.add_machines(&rental.record, Origin::Rented);
    }

    /// Adds the machines of a rental record to the scheduler.
    pub(super) fn add_machines(&mut self, rental: &RentalRecord, origin: Origin) {
        let Some(scheduler) = self.scheduler_at_now() else {
            return;
        };
        for machine in rental.machines.iter().flatten() {
            scheduler.add_machine(machine, Hardware::from(rental), origin);
        }
    }

    /// Returns the request that a rental was made for, or `None` if its machine type or zone is unknown or this controller does
    /// not schedule.
    fn request_for(&self, rental: &RentalRecord) -> Option<RentalRequest> {
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
