//! The memory budget of the process: the bytes that clients, operators and engines make it hold.
//!
//! Whoever stores received bytes, or what is built from them, holds a [`MemoryReservation`] for them. What would exceed
//! the budget is rejected, except for small amounts whose number is bounded elsewhere, such as a short request on each
//! connection: these are counted, so that larger amounts are rejected earlier, and never rejected.
//!
//! ```
//! use sanddyke::memory::MemoryBudget;
//!
//! let budget = MemoryBudget::new(1000);
//! let mut body = budget.reservation();
//! assert!(body.try_resize(800).is_ok());
//! assert!(budget.reservation().try_resize(300).is_err());
//! drop(body);
//! assert_eq!(budget.reserved_bytes(), 0);
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Interval at which [`MemoryBudget::wait_for`] looks at the budget.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The budget is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the memory budget is used up")]
pub struct BudgetExceeded;

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
    rejections: AtomicU64,
}

/// The memory budget of the process. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Shared>);

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(max_bytes: usize) -> MemoryBudget {
        let shared = Shared { max_bytes, reserved_bytes: AtomicUsize::new(0), rejections: AtomicU64::new(0) };
        MemoryBudget(Arc::new(shared))
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Waits until this many further bytes can be reserved, or until `timeout` has passed.
    pub async fn wait_for(&self, bytes: usize, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.reserved_bytes() + bytes > self.0.max_bytes && Instant::now() < deadline {
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    /// The number of bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.0.reserved_bytes.load(Ordering::Relaxed)
    }

    /// The number of reservations that were rejected.
    pub fn rejections(&self) -> u64 {
        self.0.rejections.load(Ordering::Relaxed)
    }
}

/// The budgets of the process. Requests and results have a budget each, so that clients that send much and take nothing
/// leave the others the memory for their results.
#[derive(Debug, Clone)]
pub struct MemoryBudgets {
    /// What clients and operators send, until their requests are answered.
    pub requests: MemoryBudget,
    /// What engines send, until clients have it.
    pub results: MemoryBudget,
}

impl MemoryBudgets {
    /// Creates budgets of this many bytes together.
    pub fn new(max_bytes: usize) -> MemoryBudgets {
        let requests = max_bytes / 2;
        MemoryBudgets {
            requests: MemoryBudget::new(requests),
            results: MemoryBudget::new(max_bytes - requests),
        }
    }
}

/// Bytes of the budget that are in use until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Changes the size of the reservation.
    ///
    /// # Errors
    /// The reservation would grow and the budget does not allow it. The size is then unchanged.
    pub fn try_resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let Shared { max_bytes, reserved_bytes, rejections } = &*self.budget.0;
        if bytes > self.bytes {
            let growth = bytes - self.bytes;
            let total = reserved_bytes.fetch_add(growth, Ordering::Relaxed) + growth;
            if total > *max_bytes {
                reserved_bytes.fetch_sub(growth, Ordering::Relaxed);
                rejections.fetch_add(1, Ordering::Relaxed);
                return Err(BudgetExceeded);
            }
            self.bytes = bytes;
            return Ok(());
        }
        self.resize(bytes);
        Ok(())
    }

    /// Changes the size of the reservation, whatever the budget. Meant for amounts whose number is bounded.
    pub fn resize(&mut self, bytes: usize) {
        let reserved_bytes = &self.budget.0.reserved_bytes;
        if bytes > self.bytes {
            reserved_bytes.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            reserved_bytes.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    /// The size of the reservation.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
