//! Names mapped to dense indices.

use super::index::{DenseIndex, Table};
use std::collections::HashMap;

/// Names mapped to dense indices of one type. A name keeps its index for good.
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
    /// The index of a name, which is added if it is new.
    pub(super) fn intern(&mut self, name: &str) -> I {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.push(name.to_string());
        self.indices.insert(name.to_string(), index);
        index
    }

    /// The index of a known name.
    pub(super) fn get(&self, name: &str) -> Option<I> {
        self.indices.get(name).copied()
    }

    /// The indices of all names, in the order in which they were added.
    pub(super) fn indices(&self) -> impl Iterator<Item = I> {
        self.names.indices()
    }

    /// The name with an index.
    pub(super) fn name(&self, index: I) -> &str {
        &self.names[index]
    }
}
