//! The permit to write an attempt to its engine.
//!
//! Time passes between the start of an attempt and its first byte on the wire, and the attempt may become invalid
//! in the meantime. The permit carries the conditions to the connection, which checks them last.

use crate::clock::Micros;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The permit to write an attempt to its engine. The connection checks it immediately before it writes the first
/// byte, because the attempt may have waited for the connection to be established. A cancel command waits in the
/// same queue, whereas a revocation of the permit takes effect immediately. Clones share the revocation.
///
/// The default permit has its deadline at 0, so it permits nothing.
#[derive(Debug, Clone, Default)]
pub struct SendPermit {
    revoked: Arc<AtomicBool>,
    /// From this time on the attempt must not be written, because the client no longer waits for its result.
    deadline: Micros,
    /// From this time on engines might not recognise the attempt as a repetition of a possibly executed one.
    /// `None` if no earlier attempt was possibly executed, or if a repetition does no harm.
    deduplicated_until: Option<Micros>,
}

impl SendPermit {
    /// Returns a permit that is valid until the earlier of the two times.
    pub fn new(deadline: Micros, deduplicated_until: Option<Micros>) -> SendPermit {
        SendPermit { revoked: Arc::default(), deadline, deduplicated_until }
    }

    /// Revokes the permit: the attempt is not written from now on. Has no effect if it was written already.
    pub fn revoke(&self) {
        self.revoked.store(true, Ordering::Relaxed);
    }

    /// Returns the time until the deadline if the attempt may be written now, `None` otherwise.
    pub fn remaining(&self, now: Micros) -> Option<Micros> {
        let remaining = self.deadline - now;
        let is_too_late = remaining.0 <= 0 || self.deduplicated_until.is_some_and(|until| now >= until);
        let is_allowed = !is_too_late && !self.revoked.load(Ordering::Relaxed);
        is_allowed.then_some(remaining)
    }
}
