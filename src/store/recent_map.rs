//! A map of bounded size.

use std::collections::{HashMap, VecDeque};

/// Most entries of a [`RecentMap`].
pub(super) const RECENT_LIMIT: usize = 20_000;

/// A map that keeps the entries that were added last: what users ask for costs bounded memory.
#[derive(Debug)]
pub(super) struct RecentMap<V> {
    pub(super) entries: HashMap<String, V>,
    /// Keys in the order in which they were added, the oldest first; some may have been removed since.
    pub(super) order: VecDeque<String>,
}

impl<V> Default for RecentMap<V> {
    fn default() -> Self {
        RecentMap {
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<V> RecentMap<V> {
    /// Adds an entry, and removes the oldest one when there are too many.
    pub(super) fn insert(&mut self, key: &str, value: V) {
        if self.entries.insert(key.to_string(), value).is_some() {
            return;
        }
        self.order.push_back(key.to_string());
        if self.order.len() > RECENT_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
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

    /// Takes all entries out, the oldest first.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = (String, V)> + '_ {
        let order = std::mem::take(&mut self.order);
        order
            .into_iter()
            .filter_map(|key| self.entries.remove(&key).map(|value| (key, value)))
    }
}
