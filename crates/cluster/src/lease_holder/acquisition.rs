//! Decides when a manager requests a lease. The waiting times follow from the proof in [`super`].

use super::{CLOCK_DRIFT_BOUND, DesiredLease, LeaseHolder, Micros, RESPONSE_TIMEOUT_US};
use crate::lease::{LeaseRecord, LeaseRequest};

/// Delay between the acquisition requests of managers of successive rank, in microseconds. It covers a few round trips
/// between voters, so that the first manager holds the lease before the second one requests it.
const RANK_DELAY_US: Micros = 200_000;
/// Managers of higher rank wait as long as the manager of this rank.
const MAX_RANK: u64 = 20;
/// For this long after a release only the designated successor requests the lease, in microseconds.
const SUCCESSOR_HEAD_START_US: Micros = 1_000_000;

/// How long the version of a lease's record must stay unchanged before another manager may consider the lease expired,
/// in microseconds. The factor is derived in the module's proof.
pub fn expiry_wait_us(lease_us: u64) -> Micros {
    (lease_us as f64 * (1.0 + CLOCK_DRIFT_BOUND) / (1.0 - CLOCK_DRIFT_BOUND)).ceil() as Micros
}

impl LeaseHolder {
    /// Returns the request to acquire a desired lease; `None` if this manager holds the lease, has requested it within
    /// the response timeout, or may not acquire it yet.
    pub(super) fn acquire_request(
        &self,
        now: Micros,
        lease: &str,
        desired: &DesiredLease,
    ) -> Option<LeaseRequest> {
        if self.held.contains_key(lease) || self.has_recent_acquire(now, lease) {
            return None;
        }
        let rank_delay_us = desired.rank.min(MAX_RANK) * RANK_DELAY_US;
        let (version, acquire_at_us) = match (self.table.leases.get(lease), self.observed.get(lease)) {
            (Some(record), Some(observed)) => {
                let wait_us = self.wait_before_acquire_us(record, rank_delay_us);
                (observed.version, observed.first_seen_us + wait_us)
            }
            // The lease was never held. The rank delay counts from time 0 of the clock, so it orders managers only if
            // they start together.
            _ => (0, rank_delay_us),
        };
        let request =
            || LeaseRequest::Acquire { lease: lease.to_owned(), version, lease_us: desired.lease_us };
        (now >= acquire_at_us).then(request)
    }

    fn has_recent_acquire(&self, now: Micros, lease: &str) -> bool {
        self.pending.values().any(|pending| {
            matches!(pending.request, LeaseRequest::Acquire { .. })
                && pending.request.lease() == lease
                && now < pending.sent_at_us + RESPONSE_TIMEOUT_US
        })
    }

    /// How long the version of a record must stay unchanged before this manager requests the lease.
    fn wait_before_acquire_us(&self, record: &LeaseRecord, rank_delay_us: Micros) -> Micros {
        match (&record.grant, &record.successor) {
            (Some(grant), _) if self.has_safety_margin => expiry_wait_us(grant.lease_us) + rank_delay_us,
            (Some(grant), _) => grant.lease_us + rank_delay_us,
            (None, Some(successor)) if *successor == self.local.name => 0,
            (None, Some(_)) => SUCCESSOR_HEAD_START_US + rank_delay_us,
            (None, None) => rank_delay_us,
        }
    }
}
