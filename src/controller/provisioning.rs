//! The leader's dealings with the cloud.

use super::handles::{pause, Handles};
use super::state::{UnregisteredMachine, WorkerContact, CLOUD_SHARE};
use crate::autoscaler::{RentalRequest, ScalingPolicy};
use crate::clients::cloud::{MachinePage, RentOutcome, MAX_RELEASE_COUNT};
use crate::clients::permit::while_permitted;
use crate::clients::worker;
use crate::coordination::leadership::{Authority, Term};
use crate::protocol::{MachineType, RentRequest, Txn};
use crate::scheduler::{Direct, MachineState, Offer, Origin};
use crate::store;
use crate::store::{guard, put, Decided, RentalRecord};
use crate::time::{duration, millis};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Time between two rounds of the fleet's decisions.
const FLEET_MS: u64 = 200;
/// Time between two looks at whether a leader has the authority to rent again.
const AUTHORITY_CHECK_MS: u64 = 1000;
/// For so many calls an offer rests while others are wanted.
const REST_CALLS: f64 = 2.9;
/// Unexpected machines that are asked at a time.
const CONCURRENT_ADOPTIONS: usize = 16;

impl Handles {
    pub(super) async fn fleet(self) {
        let list_ms = {
            let cloud = &self.state.borrow().settings.platform.deployment.cloud;
            millis(cloud.list_lag_s).max(4000)
        };
        let (mut types_at, mut list_at) = (None::<u64>, 0);
        let mut page = None;
        let adopting = Rc::new(Cell::new(0usize));
        let mut rented = false;
        loop {
            // While the cloud's request rate is all that holds rentals up, the next one is decided at once.
            if !rented {
                pause(FLEET_MS).await;
            }
            rented = false;
            let now = self.state.borrow().now().as_millis();
            let (leads, typeless) = {
                let controller = self.state.borrow();
                (
                    controller.term().is_some()
                        && controller.authority() == Authority::Full
                        && controller.scheduler.is_some(),
                    controller.machine_types.is_empty(),
                )
            };
            if (leads || typeless)
                && types_at.is_none_or(|t| now > t + if typeless { 1000 } else { 20_000 })
            {
                types_at = Some(now);
                self.await_cloud_call().await;
                if let Ok(types) = self.cloud.machine_types().await {
                    self.state.borrow_mut().set_machine_types(&types);
                    self.store_types(types).await;
                }
            }
            if !leads {
                self.follow(typeless).await;
                continue;
            }
            self.adopt(&adopting);
            self.release().await;
            // A page a round: a list of thousands takes seconds, in which what fell together would wait for its release.
            if now > list_at + list_ms && page.is_none() {
                list_at = now;
                page = Some(String::new());
            }
            if let Some(after) = page.take() {
                page = self.list(&after).await;
            }
            // While the answer to a request is unknown, its machines may be on their way.
            if self.settle_rentals().await {
                continue;
            }
            rented = self.rent_most_urgent().await;
        }
    }

    /// Waits until this node leads, or has to ask for the machine types again, without which it takes no jobs.
    async fn follow(&self, typeless: bool) {
        if typeless {
            pause(FLEET_MS).await;
        } else {
            let _ = tokio::time::timeout(
                Duration::from_millis(AUTHORITY_CHECK_MS),
                self.wait_until_leading(),
            )
            .await;
        }
    }

    /// Waits until the cloud may be called again.
    async fn await_cloud_call(&self) {
        loop {
            let slot = {
                let mut controller = self.state.borrow_mut();
                let now = controller.now().as_millis();
                controller.cloud_calls.take(now)
            };
            match slot {
                Ok(()) => return,
                Err(wait_ms) => pause(wait_ms).await,
            }
        }
    }

    /// Decides what to rent and carries out the most urgent rental; true if it was answered.
    ///
    /// The rest is decided anew after it. While jobs stream in and the cloud's request rate is scarce, a list of rentals that
    /// was carried out call by call was seconds old at its end, and spent whole calls on a few machines.
    async fn rent_most_urgent(&self) -> bool {
        // Without a wish no call is spent, and what the look ahead stops for others is not held up by the rate.
        if self.decide().is_empty() {
            return false;
        }
        self.await_cloud_call().await;
        let rental_requests = self.decide();
        let next = {
            let mut controller = self.state.borrow_mut();
            let now = controller.now();
            let calls_per_s = controller.settings.platform.deployment.cloud.rps * CLOUD_SHARE;
            let rest = duration(REST_CALLS / calls_per_s);
            controller
                .autoscaler
                .next_request(rental_requests, rest, now)
        };
        match next {
            Some(request) => self.rent(&request).await,
            None => false,
        }
    }

    /// Keeps the machine types in the store, so that a node that starts while the cloud is down knows them.
    pub(super) async fn store_types(&self, types: Vec<MachineType>) {
        let (guards, same) = {
            let controller = self.state.borrow();
            let Some(Term {
                epoch_version: epoch,
                ..
            }) = controller.term()
            else {
                return;
            };
            let old = controller.replica.catalogue.as_ref();
            let shape = |l: &[MachineType]| {
                l.iter()
                    .map(|t| (t.name.clone(), t.cpus as u64, t.zones.clone()))
                    .collect::<Vec<_>>()
            };
            let same = old.is_some_and(|c| shape(&c.record) == shape(&types));
            let version = old.map_or(0, |c| c.version);
            (
                vec![
                    guard(store::epoch_key(), epoch),
                    guard(store::catalogue_key(), version),
                ],
                same,
            )
        };
        if !same {
            let _ = self
                .leader_transaction(&Txn {
                    guards,
                    apply: vec![put(store::catalogue_key(), &types, None)],
                })
                .await;
        }
    }

    /// What to rent and what to return.
    pub(super) fn decide(&self) -> Vec<RentalRequest> {
        let mut controller = self.state.borrow_mut();
        // The calls before this one may have taken seconds: a leader cut off meanwhile once gave up machines that its
        // new leader was using.
        if controller.authority() != Authority::Full {
            return Vec::new();
        }
        let now = controller.now();
        let controller = &mut *controller;
        let policy = ScalingPolicy::new(&controller.settings);
        match controller.scheduler.as_mut() {
            Some(scheduler) => controller.autoscaler.decide(scheduler, &policy, now),
            None => Vec::new(),
        }
    }

    pub(super) async fn release(&self) {
        if self.leaving().is_empty() {
            return;
        }
        self.await_cloud_call().await;
        // Asked again, since the authority to release may have ended during the wait.
        let names = self.leaving();
        if names.is_empty() {
            return;
        }
        let term = self.state.borrow().term();
        let permitted = || self.state.borrow().may_send(term);
        let released = while_permitted(permitted, self.cloud.release(&names)).await;
        let mut controller = self.state.borrow_mut();
        if matches!(released, Some(Ok(()))) {
            tracing::info!(machines = ?names, "released");
            let now = controller.now();
            controller.rental_reconciliation.expire_releases(now);
            for n in names {
                if let Some(scheduler) = controller.scheduler.as_mut() {
                    scheduler.machine_gone(&n);
                }
                controller.rental_reconciliation.record_release(n, now);
            }
            self.round_requested.notify_one();
        } else {
            tracing::info!(machines = ?names, "release not confirmed");
        }
    }

    /// Machines that this node may release now.
    fn leaving(&self) -> Vec<String> {
        let controller = self.state.borrow();
        match controller.scheduler.as_ref() {
            Some(scheduler) if controller.authority() == Authority::Full => {
                scheduler.leaving(MAX_RELEASE_COUNT)
            }
            _ => Vec::new(),
        }
    }

    /// Takes machines that nobody expected into the store, so that they are used or returned. A few at a time and beside
    /// the dealings with the cloud: late copies of the reports of machines that an earlier leader has released name workers
    /// that never answer, and asked one after the other they would hold up every release and rental.
    pub(super) fn adopt(&self, flying: &Rc<Cell<usize>>) {
        let room = CONCURRENT_ADOPTIONS.saturating_sub(flying.get());
        let mut some = Vec::new();
        {
            let mut controller = self.state.borrow_mut();
            while some.len() < room {
                let Some(next) = controller.rental_reconciliation.pop_unregistered() else {
                    break;
                };
                some.push(next);
            }
        }
        for (machine, unknown) in some {
            let (me, flying) = (self.clone(), flying.clone());
            flying.set(flying.get() + 1);
            actix::spawn(async move {
                me.take_in(machine, unknown).await;
                flying.set(flying.get() - 1);
            });
        }
    }

    async fn take_in(
        &self,
        machine: String,
        UnregisteredMachine {
            machine_type,
            zone,
            spot,
            worker,
        }: UnregisteredMachine,
    ) {
        let (token, epoch) = {
            let controller = self.state.borrow();
            let Some(Term {
                epoch: number,
                epoch_version: version,
                ..
            }) = controller.term()
            else {
                return;
            };
            let open = controller.replica.rentals.values().any(|h| {
                h.record.machines.is_none()
                    && h.record.machine_type == machine_type
                    && h.record.zone == zone
            });
            if open
                || controller
                    .scheduler
                    .as_ref()
                    .is_none_or(|p| p.knows(&machine))
            {
                return;
            }
            (crate::scheduler::first_token(number), version)
        };
        if let Some(WorkerContact { address, session }) = worker {
            let probe = Direct {
                machine: machine.clone(),
                address,
                token,
                session,
                orders: Vec::new(),
            };
            if worker::send_commands(&self.http, &probe).await.is_err() {
                return;
            }
        }
        let name = format!("found-{machine}");
        let record = RentalRecord {
            machine_type,
            zone,
            spot,
            count: 1,
            machines: Some(vec![machine.clone()]),
        };
        let txn = store::rental_txn(&guard(store::epoch_key(), epoch), &name, 0, &record);
        let known = match self.leader_transaction(&txn).await {
            Ok(Decided::Applied(_)) => true,
            // An earlier try that was not answered went through after all: without this the machine was never used, nor
            // returned, until the next change of leader.
            Ok(Decided::Failed(keys)) if keys == [store::rental_key(&name)] => {
                let controller = self.state.borrow();
                controller
                    .replica
                    .rentals
                    .get(&name)
                    .is_some_and(|h| h.record == record)
            }
            _ => false,
        };
        if known {
            tracing::info!(%machine, "unexpected machine taken in");
            // Of another epoch this one knows from the store.
            if self
                .state
                .borrow()
                .term()
                .is_some_and(|term| term.epoch_version == epoch)
            {
                self.add_machines(&record, Origin::Found);
            }
        }
    }

    pub(super) fn add_machines(&self, r: &RentalRecord, origin: Origin) {
        let mut controller = self.state.borrow_mut();
        let now = controller.now().as_millis();
        let Some(scheduler) = controller.scheduler.as_mut() else {
            return;
        };
        scheduler.at(now);
        for m in r.machines.iter().flatten() {
            scheduler.add_machine(m, r.hardware(), origin);
        }
    }

    /// Takes in one page of the list; returns where the next one begins.
    pub(super) async fn list(&self, after: &str) -> Option<String> {
        self.await_cloud_call().await;
        let MachinePage { machines, next } = self.cloud.list_page(after).await.ok()?;
        let mut controller = self.state.borrow_mut();
        let now = controller.now().as_millis();
        let controller = &mut *controller;
        // The list may still show what an earlier leader has released: a new leader once took such machines in and counted
        // on them for a minute. Workers that report are taken in at once.
        let lag_ms =
            (controller.settings.platform.deployment.cloud.list_lag_s * 2000.0) as u64 + 2000;
        let settled = now > controller.leading_since().as_millis() + lag_ms;
        let scheduler = controller.scheduler.as_mut()?;
        for m in machines {
            match scheduler.index(&m.id) {
                Some(i) if m.state == "failed" => {
                    scheduler.enter(i, MachineState::Releasing, "failed");
                }
                Some(i) => scheduler.listed(i, m.state == "running", &m.address, millis(m.age_s)),
                None if !settled => {}
                None => controller
                    .rental_reconciliation
                    .add_unregistered(&m.id, || UnregisteredMachine {
                        machine_type: m.machine_type,
                        zone: m.zone,
                        spot: m.spot,
                        worker: None,
                    }),
            }
        }
        next
    }

    /// Repeats rental requests whose answer is not known; true while some remain.
    pub(super) async fn settle_rentals(&self) -> bool {
        let open: Vec<(String, RentalRecord, u64)> = {
            let controller = self.state.borrow();
            let unknown = controller
                .replica
                .rentals
                .iter()
                .filter(|(_, h)| h.record.machines.is_none());
            unknown
                .map(|(n, h)| (n.clone(), h.record.clone(), h.version))
                .collect()
        };
        let mut left = false;
        for (name, record, version) in open {
            self.await_cloud_call().await;
            left |= !self.call_rental(&name, record, version).await;
        }
        left
    }

    /// Rents: the request's name is stored before the call.
    pub(super) async fn rent(&self, request: &RentalRequest) -> bool {
        let RentalRequest { offer, count } = *request;
        let (name, record, epoch) = {
            let mut controller = self.state.borrow_mut();
            controller.rental_requests_made += 1;
            let Some(Term {
                epoch_version: epoch,
                ..
            }) = controller.term()
            else {
                return false;
            };
            let Some(scheduler) = controller.scheduler.as_ref() else {
                return false;
            };
            let record = RentalRecord {
                machine_type: scheduler.machine_type(offer.machine_type).name.clone(),
                zone: scheduler.zone_name(offer.zone).to_string(),
                spot: offer.spot,
                count,
                machines: None,
            };
            (
                format!(
                    "{}-{:x}-{}",
                    controller.identity().node,
                    controller.identity().incarnation,
                    controller.rental_requests_made
                ),
                record,
                epoch,
            )
        };
        match self
            .leader_transaction(&store::rental_txn(
                &guard(store::epoch_key(), epoch),
                &name,
                0,
                &record,
            ))
            .await
        {
            Ok(Decided::Applied(version)) => self.call_rental(&name, record, version).await,
            _ => false,
        }
    }

    /// Calls the cloud for a stored request. True if its fate is known and stored.
    pub(super) async fn call_rental(
        &self,
        name: &str,
        mut record: RentalRecord,
        version: u64,
    ) -> bool {
        let Some(Term {
            epoch_version: epoch,
            ..
        }) = self.state.borrow().term()
        else {
            return false;
        };
        if self.state.borrow().authority() != Authority::Full {
            return false;
        }
        let request = RentRequest {
            request: name.to_string(),
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            count: record.count,
        };
        let term = self.state.borrow().term();
        let permitted = || self.state.borrow().may_send(term);
        let outcome = while_permitted(permitted, self.cloud.rent(&request))
            .await
            .unwrap_or(RentOutcome::Unknown);
        tracing::info!(request = name, kind = %record.machine_type, zone = %record.zone, spot = record.spot, count = record.count, ?outcome, "rental");
        let got = match outcome {
            RentOutcome::Rented(m) => m,
            RentOutcome::NoCapacity => Vec::new(),
            RentOutcome::Refused | RentOutcome::Unknown => return false,
        };
        self.note_offer(&record, got.len());
        record.machines = Some(got);
        match self
            .leader_transaction(&store::rental_txn(
                &guard(store::epoch_key(), epoch),
                name,
                version,
                &record,
            ))
            .await
        {
            Ok(Decided::Applied(version)) => {
                // Until the watch brings it, the request would be taken for one whose answer is unknown, and called again.
                self.state
                    .borrow_mut()
                    .replica
                    .put_rental(name, record.clone(), version);
                self.add_machines(&record, Origin::Rented);
                true
            }
            _ => false,
        }
    }

    pub(super) fn note_offer(&self, r: &RentalRecord, got: usize) {
        let mut controller = self.state.borrow_mut();
        let now = controller.now();
        let controller = &mut *controller;
        let Some(scheduler) = controller.scheduler.as_ref() else {
            return;
        };
        let (Some(machine_type), Some(zone)) = (
            scheduler.machine_type_index(&r.machine_type),
            scheduler.zone_index(&r.zone),
        ) else {
            return;
        };
        let request = RentalRequest {
            offer: Offer {
                machine_type,
                zone,
                spot: r.spot,
            },
            count: r.count,
        };
        controller.autoscaler.record_rental(&request, got, now);
    }
}
