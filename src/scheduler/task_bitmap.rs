//! A set of a job's tasks, one bit per task, in the layout of the chunks that are stored in the state service.

use crate::store::TASKS_PER_CHUNK;
use std::ops::Range;

/// Reports whether a bit is set. Bits beyond the end count as unset.
fn is_set(bytes: &[u8], number: u32) -> bool {
    bytes
        .get(number as usize / 8)
        .is_some_and(|byte| byte >> (number % 8) & 1 == 1)
}

/// A set of task numbers of a job.
#[derive(Debug, Clone)]
pub(super) struct TaskBitmap {
    bytes: Vec<u8>,
    tasks: u32,
    count: u32,
}

impl TaskBitmap {
    /// Creates an empty set for a job with this number of tasks.
    pub(super) fn new(tasks: u32) -> TaskBitmap {
        TaskBitmap {
            bytes: vec![0; (tasks as usize).div_ceil(8)],
            tasks,
            count: 0,
        }
    }

    /// Returns the number of tasks in the set.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Reports whether a task is in the set.
    pub(super) fn contains(&self, number: u32) -> bool {
        is_set(&self.bytes, number)
    }

    /// Adds a task, whose number must be below the job's number of tasks.
    pub(super) fn insert(&mut self, number: u32) {
        let byte = &mut self.bytes[number as usize / 8];
        let bit = 1 << (number % 8);
        self.count += u32::from(*byte & bit == 0);
        *byte |= bit;
    }

    /// Adds the tasks of a stored chunk. Bits beyond the job's number of tasks are ignored.
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

    /// Returns the bits of a chunk of the job's tasks.
    pub(super) fn chunk(&self, chunk: u32) -> &[u8] {
        &self.bytes[self.chunk_byte_range(chunk)]
    }

    /// Returns the range of bytes that hold a chunk. The last chunk may be shorter.
    fn chunk_byte_range(&self, chunk: u32) -> Range<usize> {
        let first = (chunk * TASKS_PER_CHUNK) as usize / 8;
        let end = (first + TASKS_PER_CHUNK as usize / 8).min(self.bytes.len());
        first..end
    }
}
