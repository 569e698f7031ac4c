//! Cancellations that the other controllers have to know of: who is still to be notified, and who knows.
//!
//! Users are answered once no leader can start a task of their job any more. So a controller that makes a cancellation durable,
//! hears of one from a peer, or reads one from the store keeps a notice of it and repeats the notice to every peer until the
//! peer knows of the cancellation: because it acknowledged the notice, or because its replica of the store has reached the
//! cancellation's revision.
//!
//! A notice can only stop tasks, never start any, and losing one costs nothing but time.

#[cfg(test)]
mod tests;

use super::peers::{Cancelled, CancelledJob};
use crate::store::Revision;
use std::collections::{HashMap, VecDeque};

/// The largest number of notices kept for peers that do not acknowledge them: more than users may cancel in the time for which
/// a leader that learns nothing can still start tasks. Of the rest peers learn from the store.
const NOTICE_LIMIT: usize = 10_000;
/// The largest number of notices in one message.
const MESSAGE_LIMIT: usize = 1000;

/// Identifies a notice.
///
/// The order of notices is not that of the cancellations' revisions: of two concurrent transactions, the earlier one's answer
/// may arrive later. A peer that had acknowledged the later cancellation was once taken to know of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Notice {
    /// Position among all notices of this controller.
    sequence: u64,
    revision: Revision,
}

impl Notice {
    /// Revision at which the cancellation became durable.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }
}

/// A notice that is kept.
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

/// What a peer knows.
#[derive(Debug, Default, Clone, Copy)]
struct PeerKnowledge {
    /// It acknowledged every notice that is still kept, up to this position.
    acknowledged: u64,
    /// Its replica of the store holds every change up to this revision.
    replica_revision: Revision,
}

/// What the replica of this controller says of the leader.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaView<'a> {
    /// The revision that the replica has reached.
    pub revision: Revision,
    /// The leader, if it is another controller.
    pub other_leader: Option<OtherLeader<'a>>,
}

/// Another controller that leads.
#[derive(Debug, Clone, Copy)]
pub struct OtherLeader<'a> {
    /// Its name.
    pub node: &'a str,
    /// The revision at which it became the leader.
    pub elected_at: Revision,
}

/// The notices of this controller, and what its peers know.
#[derive(Debug, Default)]
pub struct Cancellations {
    /// The oldest first.
    entries: VecDeque<Entry>,
    /// Position of the newest notice.
    newest: u64,
    /// Position of the newest notice that is no longer kept. Whether a peer acknowledged it is not known any more.
    dropped: u64,
    peers: HashMap<String, PeerKnowledge>,
}

impl Cancellations {
    /// Records a durable cancellation, of which the peers have to be notified. If there is a notice of it, that one is
    /// returned.
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
        if self.entries.len() > NOTICE_LIMIT {
            self.dropped = self
                .entries
                .pop_front()
                .map_or(self.dropped, |entry| entry.sequence);
        }
        notice
    }

    /// The notice of a job's cancellation, while it is kept.
    fn find(&self, job: &str) -> Option<Notice> {
        self.entries
            .iter()
            .rev()
            .find(|entry| entry.cancelled.job == job)
            .map(Entry::notice)
    }

    /// The next message to a peer: what it does not know yet, the oldest first, and the last notice in it.
    #[must_use]
    pub fn message_for(&self, peer: &str) -> Option<(Cancelled, Notice)> {
        let knowledge = self.knowledge(peer);
        let first = self
            .entries
            .partition_point(|entry| entry.sequence <= knowledge.acknowledged);
        let unknown: Vec<&Entry> = self
            .entries
            .range(first..)
            .filter(|entry| entry.cancelled.revision > knowledge.replica_revision)
            .take(MESSAGE_LIMIT)
            .collect();
        let last = unknown.last()?.notice();
        let jobs = unknown
            .into_iter()
            .map(|entry| entry.cancelled.clone())
            .collect();
        Some((Cancelled { jobs }, last))
    }

    /// A peer acknowledged a message that ended with a notice.
    pub fn acknowledged(&mut self, peer: &str, last: Notice) {
        let knowledge = self.knowledge_mut(peer);
        knowledge.acknowledged = knowledge.acknowledged.max(last.sequence);
    }

    /// A peer's replica holds every change up to a revision.
    pub fn peer_replica_reached(&mut self, peer: &str, revision: Revision) {
        let knowledge = self.knowledge_mut(peer);
        knowledge.replica_revision = knowledge.replica_revision.max(revision);
    }

    /// Whether a leader may start tasks of a job whose cancellation became durable at a revision, as far as is known from the
    /// replicas: the leader of that time may not know of it. A later leader has read the store since.
    #[must_use]
    pub fn leader_may_not_know(&self, view: ReplicaView, revision: Revision) -> bool {
        let leader_lags = view.other_leader.is_some_and(|leader| {
            leader.elected_at <= revision && self.knowledge(leader.node).replica_revision < revision
        });
        view.revision < revision || leader_lags
    }

    /// Whether no leader can start a task of a job any more whose cancellation is durable: the leader of that time knows of the
    /// cancellation, or its leader lease has ended.
    #[must_use]
    pub fn is_settled(&self, view: ReplicaView, notice: Notice) -> bool {
        let acknowledged_by_leader = || {
            view.other_leader
                .is_some_and(|leader| self.was_acknowledged(leader.node, notice))
        };
        // Who leads is only known from a replica that has reached the cancellation.
        view.revision >= notice.revision
            && (!self.leader_may_not_know(view, notice.revision) || acknowledged_by_leader())
    }

    /// The notice of a job's cancellation that is not settled yet.
    #[must_use]
    pub fn unsettled(&self, view: ReplicaView, job: &str) -> Option<Notice> {
        self.find(job)
            .filter(|notice| !self.is_settled(view, *notice))
    }

    /// Whether a peer acknowledged a notice.
    fn was_acknowledged(&self, peer: &str, notice: Notice) -> bool {
        notice.sequence > self.dropped && notice.sequence <= self.knowledge(peer).acknowledged
    }

    /// Whether a peer knows of a cancellation, by a notice or through the store.
    #[cfg(test)]
    fn is_known_by(&self, peer: &str, notice: Notice) -> bool {
        self.was_acknowledged(peer, notice)
            || notice.revision <= self.knowledge(peer).replica_revision
    }

    fn knowledge(&self, peer: &str) -> PeerKnowledge {
        self.peers.get(peer).copied().unwrap_or_default()
    }

    fn knowledge_mut(&mut self, peer: &str) -> &mut PeerKnowledge {
        self.peers.entry(peer.to_string()).or_default()
    }
}
