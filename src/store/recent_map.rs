//! A map of bounded size, used to cache the final states of jobs and which jobs do not exist.

use std::collections::{HashMap, VecDeque};

/// Maximum number of entries of a [`RecentMap`].
pub(super) const MAX_RECENT_ENTRIES: usize = 20_000;

/// A map that evicts the oldest entries when it is full, so that requests of users take bounded memory only.
#[derive(Debug)]
pub(super) struct RecentMap<V> {
    pub(super) entries: HashMap<String, V>,
    /// Keys in the order of their insertion, oldest first. May contain keys that were removed since.
    pub(super) insertion_order: VecDeque<String>,
}

impl<V> Default for RecentMap<V> {
    fn default() -> Self {
        RecentMap {
            entries: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }
}

impl<V> RecentMap<V> {
    /// Inserts or replaces an entry, and evicts the oldest one if the map is full.
    pub(super) fn insert(&mut self, key: &str, value: V) {
        if self.entries.insert(key.to_string(), value).is_some() {
            return;
        }
        self.insertion_order.push_back(key.to_string());
        if self.insertion_order.len() > MAX_RECENT_ENTRIES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.entries.remove(&oldest);
            }
        }
    }

    pub(super) fn get(&self, key: &str) -> Option<&V> {
        self.entries.get(key)
    }

    pub(super) fn contains(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    pub(super) fn remove(&mut self, key: &str) {
        self.entries.remove(key);
    }

    /// Removes and returns all entries, oldest first.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = (String, V)> + '_ {
        let insertion_order = std::mem::take(&mut self.insertion_order);
        insertion_order
            .into_iter()
            .filter_map(|key| self.entries.remove(&key).map(|value| (key, value)))
    }
}
