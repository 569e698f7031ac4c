//! Leader election: renews the leadership of this controller, or campaigns when leadership is vacant.

use super::handles::Handles;
use super::state::{ControllerState, EpochClaim, StepDownReason};
use crate::coordination::leadership::{LeadershipEvent, Term};
use crate::store::{self, EpochRecord, LeaderRecord, Revision, StoreError, TxnOutcome};
use crate::time::{duration_from_millis, Timestamp};
use rand::Rng;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Maximum time between two renewals of the leader lease, or between two checks for vacant leadership.
const MAX_ELECTION_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time to wait for the response to a renewal.
const MAX_RENEWAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of the random delay before a campaign, in milliseconds, which makes simultaneous campaigns rare.
const CAMPAIGN_JITTER_MS: Range<u64> = 0..60;
/// Pause after a lost campaign.
const LOST_CAMPAIGN_DELAY: Duration = Duration::from_millis(100);
/// Time for which a leader that stepped down does not campaign, in multiples of the leader lease's time to live. It is long
/// enough for another controller to claim leadership, and for a third one if that one is isolated from the workers as well.
const STEP_DOWN_BACKOFF_LEASES: f64 = 4.0;

impl Handles {
    /// Renews the leadership of this controller, or campaigns when leadership is vacant.
    pub(super) async fn run_election_loop(self) {
        let lease_ttl = self.read_state(|state| state.settings().operator.leader_lease());
        let interval = (lease_ttl / 5).min(MAX_ELECTION_INTERVAL);
        loop {
            // A requested campaign and the end of the interval are handled alike.
            let _ = timeout(interval, self.campaign_requested.notified()).await;
            let (term, may_campaign) =
                self.read_state(|state| (state.term(), state.may_campaign()));
            if let Some(term) = term {
                self.renew_leadership(term, lease_ttl).await;
            } else if may_campaign {
                let jitter_ms = rand::thread_rng().gen_range(CAMPAIGN_JITTER_MS);
                sleep(Duration::from_millis(jitter_ms)).await;
                if self.read_state(ControllerState::may_claim_leadership) {
                    self.campaign(lease_ttl).await;
                }
            }
        }
    }

    async fn renew_leadership(&self, term: Term, lease_ttl: Duration) {
        let requested_at = self.read_state(ControllerState::now);
        // Authority requires both the renewed leader lease and a replica that has caught up with a read sent now.
        self.read_requested.notify_one();
        let limit = (lease_ttl / 2).min(MAX_RENEWAL_TIMEOUT);
        let renewed = self.record_store_response(self.store.renew(term.lease_id, limit).await);
        let step_down =
            self.update_state(|state| state.handle_lease_renewal(requested_at, renewed));
        if let Some(reason) = step_down {
            self.step_down(reason);
        }
    }

    async fn campaign(&self, lease_ttl: Duration) {
        let requested_at = self.update_state(|state| {
            state.apply_leadership_event(LeadershipEvent::CampaignStarted);
            state.now()
        });
        let lease = self.record_store_response(self.store.open_lease(lease_ttl).await);
        let term = match lease {
            Ok(lease_id) => self.claim_leadership(lease_id).await,
            Err(_) => None,
        };
        let Some(term) = term else {
            self.update_state(|state| state.apply_leadership_event(LeadershipEvent::CampaignLost));
            sleep(LOST_CAMPAIGN_DELAY).await;
            return;
        };
        self.update_state(|state| {
            state.apply_leadership_event(LeadershipEvent::CampaignWon {
                term,
                lease_requested_at: requested_at,
            });
        });
        let caught_up = self.wait_for_replica(term, lease_ttl * 3 / 4).await;
        self.start_term(term, requested_at, caught_up);
    }

    /// Waits until the replica has reached the revision of the term's epoch, since no scheduler may be built from an older one.
    /// Returns whether that happened within the limit.
    async fn wait_for_replica(&self, term: Term, limit: Duration) -> bool {
        let mut replica_revision = self.replica_revision.subscribe();
        let reached = replica_revision.wait_for(|revision| *revision >= term.epoch_version);
        timeout(limit, reached)
            .await
            .is_ok_and(|reached| reached.is_ok())
    }

    fn start_term(&self, term: Term, requested_at: Timestamp, replica_caught_up: bool) {
        let started = self.update_state(|state| {
            state.apply_leadership_event(LeadershipEvent::RevisionRead {
                requested_at,
                revision: term.epoch_version,
            });
            let started = replica_caught_up && state.term().is_some();
            if started {
                state.start_epoch(term.epoch);
            } else {
                state.apply_leadership_event(LeadershipEvent::TermEnded);
            }
            started
        });
        if started {
            self.leadership_acquired.notify_waiters();
            self.round_requested.notify_one();
        }
    }

    /// Claims leadership under a leader lease. Closes the lease if the claim fails.
    async fn claim_leadership(&self, lease_id: u64) -> Option<Term> {
        let claim = self.update_state(|state| state.claim_epoch(lease_id));
        let epoch_version = match &claim {
            Some(claim) => self.commit_claim(claim).await,
            None => None,
        };
        let (Some(claim), Some(epoch_version)) = (claim, epoch_version) else {
            self.store.close_lease(lease_id).await;
            return None;
        };
        Some(Term {
            epoch: claim.record.number,
            epoch_version,
            lease_id,
        })
    }

    /// Runs the transaction of a claim. Returns the version of the epoch key if the claim succeeded.
    async fn commit_claim(&self, claim: &EpochClaim) -> Option<Revision> {
        match self.leader_transaction(&claim.txn).await {
            Ok(TxnOutcome::Applied(revision)) => Some(revision),
            // The transaction may have been applied although no response arrived: read the outcome from the store.
            Err(StoreError::OutcomeUnknown(_)) => self.read_claimed_epoch(&claim.record).await,
            _ => None,
        }
    }

    /// Reads back a claim. Returns the version of the epoch key if the store holds the claimed epoch and its leader.
    async fn read_claimed_epoch(&self, claimed: &EpochRecord) -> Option<Revision> {
        let epoch = self.store.get::<EpochRecord>(&store::epoch_key()).await;
        let epoch = self.record_store_response(epoch);
        let leader = self.store.get::<LeaderRecord>(&store::leader_key()).await;
        let leader = self.record_store_response(leader);
        let (Ok(epoch), Ok(leader)) = (epoch, leader) else {
            return None;
        };
        let is_stored = epoch.record == *claimed
            && leader.record == claimed.leader
            && leader.version == epoch.version;
        is_stored.then_some(epoch.version)
    }

    /// Ends the leadership of this controller, so that one that can serve the workers can take over immediately.
    pub(super) fn step_down(&self, reason: StepDownReason) {
        tracing::info!(%reason, "stepping down as leader");
        if let Some(term) = self.read_state(ControllerState::term) {
            let store = self.store.clone();
            // If this request is lost, the leader lease expires by itself.
            actix::spawn(async move { store.close_lease(term.lease_id).await });
        }
        self.update_state(|state| {
            let lease_ttl_ms = state.settings().operator.leader_lease_s * 1000.0;
            let backoff = duration_from_millis(lease_ttl_ms * STEP_DOWN_BACKOFF_LEASES);
            state.step_down(backoff);
        });
    }
}
