//! The permit to write an attempt to its engine.

use crate::clock::Micros;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The permit to write an attempt to its engine. The connection checks it right before the first byte: the attempt may
/// have waited behind a connection that was established late, and a command to cancel it waits there too, while what
/// is revoked here is seen at once.
#[derive(Debug, Clone, Default)]
pub struct SendPermit {
    revoked: Arc<AtomicBool>,
    /// When the client no longer waits.
    deadline: Micros,
    /// From then on engines would no longer recognise the attempt as a repetition of one that was possibly executed.
    deduplicated_until: Option<Micros>,
}

impl SendPermit {
    /// A permit for a request with this deadline.
    pub fn new(deadline: Micros, deduplicated_until: Option<Micros>) -> SendPermit {
        SendPermit { revoked: Arc::default(), deadline, deduplicated_until }
    }

    /// Nothing of the attempt is to be written from now on.
    pub fn revoke(&self) {
        self.revoked.store(true, Ordering::Relaxed);
    }

    /// How long the client still waits, where the attempt may be written now.
    pub fn remaining(&self, now: Micros) -> Option<Micros> {
        let remaining = self.deadline - now;
        let is_too_late = remaining.0 <= 0 || self.deduplicated_until.is_some_and(|until| now >= until);
        let is_allowed = !is_too_late && !self.revoked.load(Ordering::Relaxed);
        is_allowed.then_some(remaining)
    }
}
