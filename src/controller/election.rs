//! Campaigns for leadership, renews it and gives it up.

use super::handles::{pause, Handles};
use super::state::ControllerState;
use crate::coordination::leadership::{Authority, LeadershipEvent, Term};
use crate::protocol::Txn;
use crate::scheduler::{Origin, Params, Scheduler};
use crate::store;
use crate::store::{Decided, LeaderRecord, Mirror, StoreError};
use crate::time::{millis, Timestamp};
use rand::Rng;
use std::time::Duration;

impl Handles {
    pub(super) async fn leadership(self) {
        let ttl = millis(self.state.borrow().settings.operator.hold_s);
        loop {
            let interval_ms = (ttl / 5).min(500);
            let _ = tokio::time::timeout(
                Duration::from_millis(interval_ms),
                self.campaign_requested.notified(),
            )
            .await;
            let (term, sent, free) = {
                let controller = self.state.borrow();
                let now = controller.now();
                let free = controller.replica.loaded
                    && controller.free_to_claim()
                    && now >= controller.campaign_backoff_until;
                (controller.term(), now, free)
            };
            if let Some(Term { lease, .. }) = term {
                // Authority needs both: the leader lease, and a mirror that has caught up with a read of now.
                self.read_requested.notify_one();
                let within = Duration::from_millis((ttl / 2).min(1000));
                let renewed = self.record_store_answer(self.store.renew(lease, within).await);
                let mut controller = self.state.borrow_mut();
                match renewed {
                    Ok(()) => {
                        controller.lead_event(LeadershipEvent::LeaseRenewed {
                            requested_at: Timestamp::from_millis(sent),
                        });
                        if controller.scheduler.is_some()
                            && controller.authority() == Authority::None
                        {
                            tracing::info!("does not catch up with the store, gives leadership up");
                            drop(controller);
                            self.give_up();
                        }
                    }
                    Err(StoreError::Gone) => controller.lead_event(LeadershipEvent::TermEnded),
                    Err(_) if controller.authority() == Authority::None => {
                        controller.lead_event(LeadershipEvent::TermEnded);
                    }
                    Err(_) => {}
                }
            } else if free {
                pause(rand::thread_rng().gen_range(0..60)).await;
                if self.state.borrow().free_to_claim() {
                    self.run_for_leader(ttl).await;
                }
            }
        }
    }

    pub(super) async fn run_for_leader(&self, ttl: u64) {
        let sent = {
            let mut controller = self.state.borrow_mut();
            controller.lead_event(LeadershipEvent::CampaignStarted);
            controller.now()
        };
        let won = match self.record_store_answer(self.store.open_lease(ttl).await) {
            Ok(lease) => self.claim(lease).await,
            Err(_) => None,
        };
        let Some(term) = won else {
            self.state
                .borrow_mut()
                .lead_event(LeadershipEvent::CampaignLost);
            pause(100).await;
            return;
        };
        self.state
            .borrow_mut()
            .lead_event(LeadershipEvent::CampaignWon {
                term,
                lease_requested_at: Timestamp::from_millis(sent),
            });
        let Term {
            epoch,
            epoch_version,
            ..
        } = term;
        // The mirror must have reached the epoch before anything is built on it.
        let mut seen = self.replica_revision.subscribe();
        let wait = tokio::time::timeout(
            Duration::from_millis(ttl * 3 / 4),
            seen.wait_for(|r| *r >= epoch_version),
        )
        .await;
        let mut controller = self.state.borrow_mut();
        controller.lead_event(LeadershipEvent::RevisionRead {
            requested_at: Timestamp::from_millis(sent),
            revision: epoch_version,
        });
        match wait {
            Ok(Ok(_)) if controller.term().is_some() => {
                controller.rebuild(epoch);
                self.leadership_acquired.notify_waiters();
                self.round_requested.notify_one();
            }
            _ => controller.lead_event(LeadershipEvent::TermEnded),
        }
    }

    /// Claims leadership under a leader lease.
    pub(super) async fn claim(&self, lease: u64) -> Option<Term> {
        let claim = self.state.borrow_mut().claim(lease);
        let Some((txn, record)) = claim else {
            self.store.close_lease(lease).await;
            return None;
        };
        let epoch = record.number;
        match self.leader_transaction(&txn).await {
            Ok(Decided::Applied(revision)) => {
                return Some(Term {
                    epoch,
                    epoch_version: revision,
                    lease,
                })
            }
            Err(StoreError::Unknown) => {
                let read = self.record_store_answer(
                    self.store
                        .get::<store::EpochRecord>(&store::epoch_key())
                        .await,
                );
                let held = self.record_store_answer(
                    self.store.get::<LeaderRecord>(&store::leader_key()).await,
                );
                if let (Ok(e), Ok(l)) = (read, held) {
                    if e.record == record && l.record == record.leader && l.version == e.version {
                        return Some(Term {
                            epoch,
                            epoch_version: e.version,
                            lease,
                        });
                    }
                }
            }
            _ => {}
        }
        self.store.close_lease(lease).await;
        None
    }

    /// Gives leadership up, so that a node that hears the workers may take it at once.
    pub(super) fn give_up(&self) {
        let mut controller = self.state.borrow_mut();
        if let Some(Term { lease, .. }) = controller.term() {
            let store = self.store.clone();
            actix::spawn(async move { store.close_lease(lease).await });
        }
        // Long enough for another to claim, and for the next where that one is cut off as well.
        controller.campaign_backoff_until =
            controller.now() + (controller.settings.operator.hold_s * 4000.0) as u64;
        controller.lead_event(LeadershipEvent::TermEnded);
    }
}

impl ControllerState {
    /// The transaction that claims the next epoch, and its record; none if somebody leads.
    pub(super) fn claim(&mut self, lease: u64) -> Option<(Txn, store::EpochRecord)> {
        self.previous_epoch_without_start_log = self
            .replica
            .epoch
            .as_ref()
            .is_some_and(|e| !e.record.logs_starts);
        store::claim_txn(&self.replica, &self.identity, lease)
    }

    /// Builds the scheduler of a new epoch from the store.
    pub(super) fn rebuild(&mut self, epoch: u64) {
        let (now, wall) = (self.now(), self.wall());
        let mut scheduler = Scheduler::new(Params::new(&self.settings), epoch, now);
        scheduler.set_types(&self.machine_types);
        for h in self.replica.rentals.values() {
            let h = &h.record;
            for machine in h.machines.iter().flatten() {
                scheduler.add_machine(machine, h.hardware(), Origin::Inherited);
            }
        }
        for (id, v) in &self.replica.live {
            let ended = self.replica.over(id).is_some();
            scheduler.add_job(
                v.record.clone(),
                v.version,
                &done_rows(&self.replica, id),
                wall,
                ended,
            );
        }
        for (id, v) in &self.replica.stopping {
            scheduler.add_job(
                v.record.clone(),
                v.version,
                &done_rows(&self.replica, id),
                wall,
                true,
            );
        }
        scheduler.inherit(
            self.replica
                .starts
                .iter()
                .map(|(slot, v)| (*slot, v.version, v.record.as_str())),
        );
        if self.previous_epoch_without_start_log {
            scheduler.wait_for_lease_expiry();
        }
        self.leading_since = now;
        let (jobs, rentals) = (self.replica.live.len(), self.replica.rentals.len());
        tracing::info!(
            epoch,
            jobs,
            rentals,
            unsettled = scheduler.unsettled(),
            "epoch begins"
        );
        self.scheduler = Some(scheduler);
    }
}

pub(super) fn done_rows(mirror: &Mirror, job: &str) -> Vec<(u32, Vec<u8>)> {
    let from = (job.to_string(), 0);
    let rows = mirror.done.range(from..).take_while(|((j, _), _)| j == job);
    rows.map(|((_, chunk), v)| (*chunk, v.record.clone()))
        .collect()
}
