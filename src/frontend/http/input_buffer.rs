//! The receive buffer of an HTTP connection. Its memory counts against the memory budget.

use crate::memory::{BudgetExceeded, MemoryBudget, MemoryReservation};
use bytes::BytesMut;

/// The capacity that every connection gets, whatever the budget. A usual request fits.
const SMALL_CAPACITY: usize = 4096;

/// Input that was received but not parsed yet. An empty buffer holds no memory.
#[derive(Debug)]
pub struct InputBuffer {
    pub(super) bytes: BytesMut,
    memory: MemoryReservation,
}

impl InputBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: &MemoryBudget) -> InputBuffer {
        InputBuffer { bytes: BytesMut::new(), memory: budget.reservation() }
    }

    /// Makes room for further input. The buffer grows in proportion to what was received, up to `max_bytes`; up to
    /// [`SMALL_CAPACITY`] it grows whatever the budget. `other_bytes` is what else is held because of this input.
    ///
    /// # Errors
    /// The memory budget does not allow it.
    pub(super) fn reserve(&mut self, max_bytes: usize, other_bytes: usize) -> Result<(), BudgetExceeded> {
        let mut capacity = self.bytes.capacity();
        if self.bytes.len() == capacity {
            capacity = (2 * capacity).min(max_bytes.max(capacity + 1)).max(SMALL_CAPACITY);
        }
        if capacity <= SMALL_CAPACITY && other_bytes <= SMALL_CAPACITY {
            self.memory.resize(capacity + other_bytes);
        } else {
            self.memory.try_resize(capacity + other_bytes)?;
        }
        if capacity > self.bytes.capacity() {
            // Growing in place could allocate more than is reserved.
            let mut bytes = BytesMut::with_capacity(capacity);
            bytes.extend_from_slice(&self.bytes);
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Frees the memory that the remaining input does not need, for example because a request was removed from its
    /// front.
    pub fn shrink(&mut self) {
        self.bytes = match self.bytes.is_empty() {
            true => BytesMut::new(),
            false => BytesMut::from(&self.bytes[..]),
        };
        self.memory.resize(self.bytes.capacity());
    }

    /// Drops all input.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        self.shrink();
    }
}

#[cfg(test)]
mod tests;
