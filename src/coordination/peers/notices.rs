//! Notices of cancellations: what a node has to tell the others, and which of them know.

use super::CancelledJob;
use std::collections::{HashMap, VecDeque};

/// Most notices kept for peers that have not been told: more than users may cancel in the time for which one that is told
/// nothing can still start tasks. The rest they learn from the store.
pub(super) const NOTICE_LIMIT: usize = 10_000;
/// Most notices in one message.
pub(super) const MESSAGE_LIMIT: usize = 1000;

/// Identifies a notice.
///
/// The order of notices is not that of the cancellations' revisions: of two transactions under way at once, the earlier
/// one's answer may come later. A peer that had been told of the later one was once taken to know of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Notice {
    /// Position among all notices of this node.
    sequence: u64,
    revision: u64,
}

impl Notice {
    /// Revision at which the cancellation became durable.
    #[must_use]
    pub fn revision(&self) -> u64 {
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
struct Knowledge {
    /// It was told of every notice that is still kept up to this position.
    told: u64,
    /// Its mirror of the store holds every change up to this revision.
    mirrored: u64,
}

/// What this node has to tell of its users' cancellations, and which of the others know.
#[derive(Debug, Default)]
pub struct CancellationNotices {
    /// The oldest first.
    entries: VecDeque<Entry>,
    /// Position of the newest notice.
    newest: u64,
    /// Position of the newest notice that is no longer kept: whether a peer was told of it is forgotten.
    dropped: u64,
    peers: HashMap<String, Knowledge>,
}

impl CancellationNotices {
    /// A cancellation is durable.
    pub fn add(&mut self, cancelled: CancelledJob) -> Notice {
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
    pub fn find(&self, job: &str) -> Option<Notice> {
        self.entries
            .iter()
            .rev()
            .find(|entry| entry.cancelled.job == job)
            .map(Entry::notice)
    }

    /// What a peer has yet to be told, the oldest first, and the last notice among it.
    #[must_use]
    pub fn unknown_to(&self, peer: &str) -> Option<(Vec<CancelledJob>, Notice)> {
        let knowledge = self.knowledge(peer);
        let from = self
            .entries
            .partition_point(|entry| entry.sequence <= knowledge.told);
        let unknown = self
            .entries
            .range(from..)
            .filter(|entry| entry.cancelled.revision > knowledge.mirrored);
        let message: Vec<&Entry> = unknown.take(MESSAGE_LIMIT).collect();
        let last = message.last()?.notice();
        Some((
            message
                .into_iter()
                .map(|entry| entry.cancelled.clone())
                .collect(),
            last,
        ))
    }

    /// A peer was told of everything up to a notice.
    pub fn told(&mut self, peer: &str, last: Notice) {
        let told = &mut self.peers.entry(peer.to_string()).or_default().told;
        *told = last.sequence.max(*told);
    }

    /// A peer's mirror holds every change up to a revision.
    pub fn mirrored(&mut self, peer: &str, revision: u64) {
        let mirrored = &mut self.peers.entry(peer.to_string()).or_default().mirrored;
        *mirrored = revision.max(*mirrored);
    }

    /// Whether a peer was told of a cancellation.
    #[must_use]
    pub fn was_told(&self, peer: &str, notice: Notice) -> bool {
        notice.sequence > self.dropped && notice.sequence <= self.knowledge(peer).told
    }

    /// Up to which revision a peer's mirror is known to hold every change.
    #[must_use]
    pub fn mirrored_by(&self, peer: &str) -> u64 {
        self.knowledge(peer).mirrored
    }

    /// Whether a peer knows of a cancellation, by a word or through the store.
    #[cfg(test)]
    pub(super) fn is_known_by(&self, peer: &str, notice: Notice) -> bool {
        self.was_told(peer, notice) || notice.revision <= self.mirrored_by(peer)
    }

    fn knowledge(&self, peer: &str) -> Knowledge {
        self.peers.get(peer).copied().unwrap_or_default()
    }
}
