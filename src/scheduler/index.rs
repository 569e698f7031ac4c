//! Dense indices as types of their own, and the tables they index.
//!
//! Each kind of index is a type, so that a machine's index can't be taken for a zone's. Neither the indices nor the tables
//! cost anything at run time.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// An index into a dense table.
pub trait DenseIndex: Copy + Eq {
    /// The index of a position.
    fn from_position(position: usize) -> Self;
    /// The position in the table.
    fn position(self) -> usize;
}

/// Defines a type of index.
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
    /// Index of a machine, valid while the machine is present; a later machine may get the same one.
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
    /// Stands for a type that the cloud's catalogue does not list.
    pub(super) const UNKNOWN: MachineTypeIndex = MachineTypeIndex(usize::MAX);
}

dense_index! {
    /// Index of a job, valid while the job is present; a later job may get the same one.
    JobIndex
}

dense_index! {
    /// Index of an image.
    ImageIndex
}

/// A vector that is read by one type of index.
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
    /// A table with a value for each index below a number.
    pub(super) fn filled(value: T, len: usize) -> Self
    where
        T: Clone,
    {
        Table {
            rows: vec![value; len],
            index: PhantomData,
        }
    }

    /// The number of rows.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Adds a row and returns its index.
    pub(super) fn push(&mut self, row: T) -> I {
        self.rows.push(row);
        I::from_position(self.rows.len() - 1)
    }

    /// A row, if there is one.
    pub(super) fn get(&self, index: I) -> Option<&T> {
        self.rows.get(index.position())
    }

    /// All indices in ascending order. The table may be changed meanwhile.
    pub(super) fn indices(&self) -> impl Iterator<Item = I> {
        (0..self.rows.len()).map(I::from_position)
    }

    /// All rows with their indices, in ascending order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.rows
            .iter()
            .enumerate()
            .map(|(position, row)| (I::from_position(position), row))
    }

    /// All rows in ascending order of their indices.
    pub(super) fn values(&self) -> impl Iterator<Item = &T> {
        self.rows.iter()
    }

    /// All rows, to be changed, in ascending order of their indices.
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
