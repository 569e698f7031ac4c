//! Typed dense indices and the tables that they index.
//!
//! Each kind of index is a distinct type, so that a machine's index can't be confused with a zone's. Neither the indices nor
//! the tables have any overhead at run time.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// An index into a dense table.
pub trait DenseIndex: Copy + Eq {
    /// Returns the index of a table position.
    fn from_position(position: usize) -> Self;
    /// Returns the table position of this index.
    fn position(self) -> usize;
}

/// Defines an index type.
macro_rules! dense_index {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(usize);

        impl DenseIndex for $name {
            fn from_position(position: usize) -> Self {
                $name(position)
            }

            fn position(self) -> usize {
                self.0
            }
        }
    };
}

dense_index! {
    /// Index of a machine, valid while the machine is present. It may be reused for a later machine.
    MachineIndex
}

dense_index! {
    /// Index of a zone.
    ZoneIndex
}

dense_index! {
    /// Index of a machine type.
    MachineTypeIndex
}

impl MachineTypeIndex {
    /// Index shared by all types that the cloud's catalogue does not list.
    pub(super) const UNKNOWN: MachineTypeIndex = MachineTypeIndex(usize::MAX);
}

dense_index! {
    /// Index of a job, valid while the job is present. It may be reused for a later job.
    JobIndex
}

dense_index! {
    /// Index of an image.
    ImageIndex
}

/// A vector that is indexed by one index type.
#[derive(Debug)]
pub(super) struct Table<I, T> {
    rows: Vec<T>,
    index: PhantomData<I>,
}

impl<I, T> Default for Table<I, T> {
    fn default() -> Self {
        Table {
            rows: Vec::new(),
            index: PhantomData,
        }
    }
}

impl<I: DenseIndex, T> Table<I, T> {
    /// Creates a table with `len` rows that all hold `value`.
    pub(super) fn filled(value: T, len: usize) -> Self
    where
        T: Clone,
    {
        Table {
            rows: vec![value; len],
            index: PhantomData,
        }
    }

    /// Returns the number of rows.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Appends a row and returns its index.
    pub(super) fn push(&mut self, row: T) -> I {
        self.rows.push(row);
        I::from_position(self.rows.len() - 1)
    }

    /// Returns the row of an index, if there is one.
    pub(super) fn get(&self, index: I) -> Option<&T> {
        self.rows.get(index.position())
    }

    /// Returns all indices in ascending order. The iterator does not borrow the table, which may change during the iteration.
    pub(super) fn indices(&self) -> impl Iterator<Item = I> {
        (0..self.rows.len()).map(I::from_position)
    }

    /// Returns all rows with their indices, in ascending order of the indices.
    pub(super) fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.rows
            .iter()
            .enumerate()
            .map(|(position, row)| (I::from_position(position), row))
    }

    /// Returns all rows in ascending order of their indices.
    pub(super) fn values(&self) -> impl Iterator<Item = &T> {
        self.rows.iter()
    }

    /// Returns mutable references to all rows in ascending order of their indices.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.rows.iter_mut()
    }
}

impl<I: DenseIndex, T> Index<I> for Table<I, T> {
    type Output = T;

    fn index(&self, index: I) -> &T {
        &self.rows[index.position()]
    }
}

impl<I: DenseIndex, T> IndexMut<I> for Table<I, T> {
    fn index_mut(&mut self, index: I) -> &mut T {
        &mut self.rows[index.position()]
    }
}
