//! Interning of names as dense indices.

use super::index::{DenseIndex, Table};
use std::collections::HashMap;

/// Maps names to dense indices of one type. Names are never removed, so a name keeps its index.
pub(super) struct NameInterner<I> {
    indices: HashMap<String, I>,
    names: Table<I, String>,
}

impl<I> Default for NameInterner<I> {
    fn default() -> Self {
        NameInterner {
            indices: HashMap::new(),
            names: Table::default(),
        }
    }
}

impl<I: DenseIndex> NameInterner<I> {
    /// Returns the index of a name and adds the name if it is new.
    pub(super) fn intern(&mut self, name: &str) -> I {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.push(name.to_string());
        self.indices.insert(name.to_string(), index);
        index
    }

    /// Returns the index of a name, if the name is known.
    pub(super) fn get(&self, name: &str) -> Option<I> {
        self.indices.get(name).copied()
    }

    /// Returns the indices of all names, in the order in which the names were added.
    pub(super) fn indices(&self) -> impl Iterator<Item = I> {
        self.names.indices()
    }

    /// Returns the name with an index.
    pub(super) fn name(&self, index: I) -> &str {
        &self.names[index]
    }
}
