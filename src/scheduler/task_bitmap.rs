//! A set of a job's tasks, stored as it is in the state service: a bit a task.

use crate::store::TASKS_PER_CHUNK;
use std::ops::Range;

/// Whether a bit is set; what is beyond the end is not.
fn is_set(bytes: &[u8], number: u32) -> bool {
    bytes
        .get(number as usize / 8)
        .is_some_and(|byte| byte >> (number % 8) & 1 == 1)
}

/// A set of a job's tasks.
#[derive(Debug, Clone)]
pub(super) struct TaskBitmap {
    bytes: Vec<u8>,
    tasks: u32,
    count: u32,
}

impl TaskBitmap {
    /// An empty set for a job with a number of tasks.
    pub(super) fn new(tasks: u32) -> TaskBitmap {
        TaskBitmap {
            bytes: vec![0; (tasks as usize).div_ceil(8)],
            tasks,
            count: 0,
        }
    }

    /// How many tasks are in the set.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Whether a task is in the set.
    pub(super) fn contains(&self, number: u32) -> bool {
        is_set(&self.bytes, number)
    }

    /// Adds a task of the job.
    pub(super) fn insert(&mut self, number: u32) {
        let byte = &mut self.bytes[number as usize / 8];
        let bit = 1 << (number % 8);
        self.count += u32::from(*byte & bit == 0);
        *byte |= bit;
    }

    /// Adds the tasks of a stored chunk. Bits beyond the job's tasks are ignored.
    pub(super) fn insert_chunk(&mut self, chunk: u32, bits: &[u8]) {
        let first = chunk.saturating_mul(TASKS_PER_CHUNK);
        let bit_count = u32::try_from(bits.len() * 8)
            .map_or(TASKS_PER_CHUNK, |count| count.min(TASKS_PER_CHUNK));
        for offset in (0..bit_count).filter(|offset| is_set(bits, *offset)) {
            let number = first.saturating_add(offset);
            if number < self.tasks {
                self.insert(number);
            }
        }
    }

    /// The bits of a chunk of the job.
    pub(super) fn chunk(&self, chunk: u32) -> &[u8] {
        &self.bytes[self.chunk_bytes(chunk)]
    }

    fn chunk_bytes(&self, chunk: u32) -> Range<usize> {
        let first = (chunk * TASKS_PER_CHUNK) as usize / 8;
        let end = (first + TASKS_PER_CHUNK as usize / 8).min(self.bytes.len());
        first..end
    }
}
