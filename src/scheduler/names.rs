//! Names mapped to dense indices.

use std::collections::HashMap;

/// Names mapped to dense indices.
#[derive(Default)]
pub struct Names {
    index: HashMap<String, usize>,
    names: Vec<String>,
}

impl Names {
    /// The index of a name, new or not.
    pub fn add(&mut self, name: &str) -> usize {
        if let Some(i) = self.index.get(name) {
            return *i;
        }
        self.names.push(name.to_string());
        self.index.insert(name.to_string(), self.names.len() - 1);
        self.names.len() - 1
    }
    /// The index of a known name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }
    /// How many names there are; their indices are below it.
    #[must_use]
    pub fn count(&self) -> usize {
        self.names.len()
    }
    /// The name.
    #[must_use]
    pub fn name(&self, i: usize) -> &str {
        &self.names[i]
    }
}
