//! Notices of cancellations: delivery to the other controllers, and the record of which controller knows of which one.
//!
//! A user's cancellation is confirmed once no leader can start a task of the job any more. A controller that makes a
//! cancellation durable, or learns from a peer or the store of one that the leader may not know of, therefore keeps a notice
//! of it. It resends the notice to every peer until that peer knows of the cancellation: because it acknowledged the notice,
//! or because its replica of the store has reached the revision of the cancellation.
//!
//! A notice can only stop tasks, never start any, and a lost notice costs nothing but time.

#[cfg(test)]
mod tests;

use super::peers::{Cancelled, CancelledJob};
use crate::store::Revision;
use std::collections::{HashMap, VecDeque};

/// Maximum number of notices kept for peers that do not acknowledge them. It exceeds the number of jobs that users can cancel
/// while a leader that receives no updates can still start tasks. Peers learn of dropped ones from the store.
const MAX_NOTICES: usize = 10_000;
/// Maximum number of notices in one message.
const MAX_NOTICES_PER_MESSAGE: usize = 1000;

/// Identifies a notice by its sequence number and the revision of its cancellation.
///
/// Notices are not ordered by revision: of two concurrent transactions, the earlier one may be answered later. Ordering
/// acknowledgements by revision would take a peer that acknowledged only the later cancellation to know of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Notice {
    /// Sequence number among all notices of this controller.
    sequence: u64,
    revision: Revision,
}

impl Notice {
    /// Returns the revision at which the cancellation became durable.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }
}

/// A kept notice with the cancellation that it carries.
#[derive(Debug)]
struct Entry {
    cancelled: CancelledJob,
    sequence: u64,
}

impl Entry {
    fn notice(&self) -> Notice {
        Notice {
            sequence: self.sequence,
            revision: self.cancelled.revision,
        }
    }
}

/// How far a peer is known to have received cancellations.
#[derive(Debug, Default, Clone, Copy)]
struct PeerProgress {
    /// Sequence number up to which the peer knows of every notice that is still kept.
    acknowledged: u64,
    /// Revision up to which the peer's replica of the store holds every change.
    replica_revision: Revision,
}

/// The revision and the leader that this controller's replica shows.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaView<'a> {
    /// Revision that the replica has reached.
    pub revision: Revision,
    /// The leader, if it is another controller.
    pub other_leader: Option<OtherLeader<'a>>,
}

/// A leader that is not this controller.
#[derive(Debug, Clone, Copy)]
pub struct OtherLeader<'a> {
    /// Name of the controller.
    pub node: &'a str,
    /// Revision at which it became the leader.
    pub elected_at: Revision,
}

/// The notices of this controller, and the progress of its peers.
#[derive(Debug, Default)]
pub struct Cancellations {
    /// Kept notices, oldest first.
    entries: VecDeque<Entry>,
    /// Sequence number of the newest notice.
    newest: u64,
    /// Sequence number of the newest dropped notice. Whether a peer acknowledged it or an older one is no longer known.
    dropped: u64,
    peers: HashMap<String, PeerProgress>,
}

impl Cancellations {
    /// Records a durable cancellation that the peers have to be notified of. Returns the existing notice if the job already
    /// has one.
    pub fn record(&mut self, cancelled: CancelledJob) -> Notice {
        self.find(&cancelled.job)
            .unwrap_or_else(|| self.add(cancelled))
    }

    fn add(&mut self, cancelled: CancelledJob) -> Notice {
        self.newest += 1;
        let entry = Entry {
            cancelled,
            sequence: self.newest,
        };
        let notice = entry.notice();
        self.entries.push_back(entry);
        if self.entries.len() > MAX_NOTICES {
            self.dropped = self
                .entries
                .pop_front()
                .map_or(self.dropped, |entry| entry.sequence);
        }
        notice
    }

    /// Returns the notice of a job's cancellation, while it is kept.
    fn find(&self, job: &str) -> Option<Notice> {
        self.entries
            .iter()
            .rev()
            .find(|entry| entry.cancelled.job == job)
            .map(Entry::notice)
    }

    /// Returns the next message to a peer, with the oldest cancellations that it does not know of, and the last notice in it.
    #[must_use]
    pub fn message_for(&self, peer: &str) -> Option<(Cancelled, Notice)> {
        let progress = self.progress(peer);
        let first = self
            .entries
            .partition_point(|entry| entry.sequence <= progress.acknowledged);
        let unknown: Vec<&Entry> = self
            .entries
            .range(first..)
            .filter(|entry| entry.cancelled.revision > progress.replica_revision)
            .take(MAX_NOTICES_PER_MESSAGE)
            .collect();
        let last = unknown.last()?.notice();
        let jobs = unknown
            .into_iter()
            .map(|entry| entry.cancelled.clone())
            .collect();
        Some((Cancelled { jobs }, last))
    }

    /// Records that a peer acknowledged a message whose last notice is `last`.
    pub fn record_acknowledgement(&mut self, peer: &str, last: Notice) {
        let progress = self.progress_mut(peer);
        progress.acknowledged = progress.acknowledged.max(last.sequence);
    }

    /// Records that a peer's replica holds every change up to a revision. A lower revision than before has no effect.
    pub fn record_peer_revision(&mut self, peer: &str, revision: Revision) {
        let progress = self.progress_mut(peer);
        progress.replica_revision = progress.replica_revision.max(revision);
    }

    /// Reports whether, judging by the replicas alone, a leader may still start tasks of a job whose cancellation became durable
    /// at a revision: this controller's replica has not reached that revision, or the leader was elected before the
    /// cancellation and its replica is not known to have reached it. A leader elected later has read the store since.
    #[must_use]
    pub fn leader_may_be_behind(&self, view: ReplicaView, revision: Revision) -> bool {
        let leader_lags = view.other_leader.is_some_and(|leader| {
            leader.elected_at <= revision && self.progress(leader.node).replica_revision < revision
        });
        view.revision < revision || leader_lags
    }

    /// Reports whether a cancellation is settled: no leader can start a task of the job any more, because the leader at the time
    /// of the cancellation knows of it or its leader lease has ended.
    #[must_use]
    pub fn is_settled(&self, view: ReplicaView, notice: Notice) -> bool {
        let acknowledged_by_leader = || {
            view.other_leader
                .is_some_and(|leader| self.was_acknowledged(leader.node, notice))
        };
        // Only a replica that has reached the cancellation shows the leader of that time or a later one.
        view.revision >= notice.revision
            && (!self.leader_may_be_behind(view, notice.revision) || acknowledged_by_leader())
    }

    /// Returns the notice of a job's cancellation, unless it is settled or no longer kept.
    #[must_use]
    pub fn unsettled(&self, view: ReplicaView, job: &str) -> Option<Notice> {
        self.find(job)
            .filter(|notice| !self.is_settled(view, *notice))
    }

    /// Reports whether a peer is known to have acknowledged a notice; false for dropped notices.
    fn was_acknowledged(&self, peer: &str, notice: Notice) -> bool {
        notice.sequence > self.dropped && notice.sequence <= self.progress(peer).acknowledged
    }

    /// Reports whether a peer knows of a cancellation, from a notice or from the store.
    #[cfg(test)]
    fn is_known_by(&self, peer: &str, notice: Notice) -> bool {
        self.was_acknowledged(peer, notice)
            || notice.revision <= self.progress(peer).replica_revision
    }

    fn progress(&self, peer: &str) -> PeerProgress {
        self.peers.get(peer).copied().unwrap_or_default()
    }

    fn progress_mut(&mut self, peer: &str) -> &mut PeerProgress {
        self.peers.entry(peer.to_string()).or_default()
    }
}
