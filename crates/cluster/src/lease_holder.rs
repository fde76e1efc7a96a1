//! The lease holder of one manager. It decides when the manager requests a lease, and until when it may use a grant.
//!
//! No two managers hold one lease at the same moment. The proof assumes that each manager's clock is monotonic and that
//! its rate is off true time by at most d, which is [`CLOCK_DRIFT_BOUND`]. L is the duration of the lease.
//!
//! - A holder counts L on its own clock from *before* it sends the request, and starts no operation after L has passed.
//!   In true time the lease therefore ends at most L / (1 - d) after sending.
//! - A manager that acquires a held lease has seen one version of its record unchanged for [`expiry_wait_us`], which is
//!   L (1 + d) / (1 - d) on its own clock. In true time this is at least L / (1 - d), counted from *after* it first saw
//!   that version. Its request contains that version.
//! - If the voters apply a renewal before the acquisition, the version has changed and they reject the acquisition. If
//!   they apply it after the acquisition, they reject the renewal. The last valid renewal was therefore sent before its
//!   version could be seen, and its lease has expired by the time at which the acquisition is requested.
//!
//! The proof depends neither on the voters' clocks nor on message delays. A holder may still be suspended between its
//! check of the clock and its operation. The fencing token covers this case. Each operation carries the token, and the
//! resource rejects a token below the highest one that it has seen.

mod acquisition;
mod effect;
mod response;

pub use acquisition::expiry_wait_us;
pub use effect::{LeaseEffect, LeaseEndReason};

use crate::lease::{Incarnation, LeaseOutcome, LeaseRequest, LeaseTable};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// A time in microseconds, by a manager's own monotonic clock.
pub type Micros = u64;

/// Clock drift bound: the assumed maximum rate error of a clock, as a fraction (1 %). Quartz oscillators stay within
/// 0.02 %. Wall clocks are not used, because they may jump.
pub const CLOCK_DRIFT_BOUND: f64 = 0.01;
/// An acquisition or a renewal without a response within this time is sent again, in microseconds.
const RESPONSE_TIMEOUT_US: Micros = 500_000;
/// Pending requests other than acquisitions expire after this many response timeouts.
const PENDING_EXPIRY_TIMEOUTS: Micros = 4;
/// An unanswered renewal of a short lease is sent this many times per lease duration, which is more often than every
/// [`RESPONSE_TIMEOUT_US`].
const RENEW_RETRIES_PER_LEASE: u64 = 6;
/// Maximum number of pending requests. Further requests are not sent.
const MAX_PENDING_REQUESTS: usize = 256;

/// A lease that this manager wants to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DesiredLease {
    /// Duration of the lease, in microseconds. The lease expires this long after the acquisition or the last renewal
    /// was sent.
    pub lease_us: u64,
    /// Position of this manager in the order in which managers request the lease. Rank 0 is first.
    pub rank: u64,
}

/// A lease that this manager holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease<'a> {
    /// Name of the lease.
    pub lease: &'a str,
    /// Fencing token of the grant.
    pub fencing_token: u64,
    /// When the lease expires, by this manager's clock.
    pub expires_at_us: Micros,
}

#[derive(Debug)]
struct HeldState {
    fencing_token: u64,
    lease_us: u64,
    expires_at_us: Micros,
    renew_at_us: Micros,
    /// The lease is being handed over, and no further operation may begin under it.
    is_finishing: bool,
}

#[derive(Debug)]
struct PendingRequest {
    request: LeaseRequest,
    /// When the request was sent. A lease that it acquires or renews counts from this time.
    sent_at_us: Micros,
}

/// The current version of a lease's record, and when this manager first saw it.
#[derive(Debug, Clone, Copy)]
struct ObservedVersion {
    version: u64,
    first_seen_us: Micros,
}

/// State machine of the leases that one manager wants and holds.
#[derive(Debug)]
pub struct LeaseHolder {
    local: Incarnation,
    rng: Rand64,
    desired: BTreeMap<String, DesiredLease>,
    observed: BTreeMap<String, ObservedVersion>,
    table: LeaseTable,
    held: BTreeMap<String, HeldState>,
    /// Requests that were sent and not responded to, by nonce.
    pending: BTreeMap<u64, PendingRequest>,
    is_draining: bool,
    /// Whether leases are counted as the proof requires. Simulations clear it to verify that the resulting violation is
    /// detected.
    has_safety_margin: bool,
}

impl LeaseHolder {
    /// Creates the state of a manager that holds no lease. The seed determines the nonces of its requests.
    pub fn new(local: Incarnation, seed: u64) -> LeaseHolder {
        LeaseHolder {
            local,
            rng: Rand64::new(u128::from(seed)),
            desired: BTreeMap::new(),
            observed: BTreeMap::new(),
            table: LeaseTable::default(),
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            is_draining: false,
            has_safety_margin: true,
        }
    }

    /// Creates a deliberately incorrect holder for simulations. It counts its leases from the response, and waits for
    /// exactly the lease duration before it acquires another manager's lease. Simulations must detect the violations,
    /// otherwise they prove nothing about the correct holder.
    #[doc(hidden)]
    pub fn without_safety_margin(local: Incarnation, seed: u64) -> LeaseHolder {
        LeaseHolder { has_safety_margin: false, ..LeaseHolder::new(local, seed) }
    }

    /// Sets the leases that this manager wants to hold, by name. It keeps the leases that it already holds, whatever
    /// their rank.
    pub fn set_desired(&mut self, desired: BTreeMap<String, DesiredLease>) {
        self.desired = desired;
    }

    /// The latest table of leases that this manager has received.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// The leases that this manager holds at this time, also those that are being handed over.
    pub fn held(&self, now: Micros) -> impl Iterator<Item = HeldLease<'_>> {
        let unexpired = self.held.iter().filter(move |(_, held)| now < held.expires_at_us);
        unexpired.map(|(lease, held)| HeldLease {
            lease,
            fencing_token: held.fencing_token,
            expires_at_us: held.expires_at_us,
        })
    }

    /// Returns the fencing token for an operation under the lease; `None` if no operation may begin at this time,
    /// because the lease is not held, has expired, or is being handed over. To be called right before each operation.
    pub fn fencing_token_for_operation(&self, lease: &str, now: Micros) -> Option<u64> {
        let held = self.held.get(lease)?;
        (now < held.expires_at_us && !held.is_finishing).then_some(held.fencing_token)
    }

    /// Replaces the known table of leases, unless the new one is older. Grants and losses of leases follow from it.
    pub fn update_table(&mut self, now: Micros, table: LeaseTable, out: &mut Vec<LeaseEffect>) {
        if table.index < self.table.index {
            return;
        }
        self.observe_versions(now, &table);
        self.table = table;
        self.apply_local_grants(now, out);
        self.end_lost_leases(out);
    }

    fn observe_versions(&mut self, now: Micros, table: &LeaseTable) {
        for (lease, record) in &table.leases {
            let current = ObservedVersion { version: record.version, first_seen_us: now };
            let observed = self.observed.entry(lease.clone()).or_insert(current);
            if observed.version != record.version {
                *observed = current;
            }
        }
        self.observed.retain(|lease, _| table.leases.contains_key(lease));
    }

    /// Acquires leases whose grant is in the table although the response was lost. The nonce of the grant identifies
    /// the pending request.
    fn apply_local_grants(&mut self, now: Micros, out: &mut Vec<LeaseEffect>) {
        let grants = self.table.leases.values().filter_map(|record| record.grant.as_ref());
        let local_grants: Vec<(u64, u64)> = grants
            .filter(|grant| grant.holder == self.local)
            .map(|grant| (grant.nonce, grant.fencing_token))
            .collect();
        for (nonce, fencing_token) in local_grants {
            self.handle_outcome(now, nonce, LeaseOutcome::Granted { fencing_token }, out);
        }
    }

    fn end_lost_leases(&mut self, out: &mut Vec<LeaseEffect>) {
        let table = &self.table;
        let is_lost = |lease: &String, held: &HeldState| {
            // The table is older than the grant and can't contain it.
            if held.fencing_token > table.index {
                return false;
            }
            let grant = table.leases.get(lease).and_then(|record| record.grant.as_ref());
            grant.is_none_or(|grant| grant.fencing_token != held.fencing_token)
        };
        let lost: Vec<String> = self
            .held
            .iter()
            .filter(|(lease, held)| is_lost(lease, held))
            .map(|(lease, _)| lease.clone())
            .collect();
        for lease in lost {
            self.end_lease(&lease, LeaseEndReason::Lost, out);
        }
    }

    /// Ends expired leases, renews leases whose renewal is due, and requests desired leases that may be acquired. To be
    /// called periodically.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<LeaseEffect>) {
        self.end_expired_leases(now, out);
        self.expire_pending_requests(now);
        let mut requests = self.due_renewals(now);
        if !self.is_draining {
            let acquisitions =
                self.desired.iter().filter_map(|(lease, desired)| self.acquire_request(now, lease, desired));
            requests.extend(acquisitions);
        }
        for request in requests {
            self.submit(now, request, out);
        }
    }

    fn end_expired_leases(&mut self, now: Micros, out: &mut Vec<LeaseEffect>) {
        let expired: Vec<String> = self
            .held
            .iter()
            .filter(|(_, held)| now >= held.expires_at_us)
            .map(|(lease, _)| lease.clone())
            .collect();
        for lease in expired {
            self.end_lease(&lease, LeaseEndReason::Expired, out);
        }
    }

    /// Removes pending requests whose response would no longer have an effect.
    fn expire_pending_requests(&mut self, now: Micros) {
        self.pending.retain(|_, pending| {
            let retention_us = match &pending.request {
                LeaseRequest::Acquire { lease_us, .. } => *lease_us,
                _ => PENDING_EXPIRY_TIMEOUTS * RESPONSE_TIMEOUT_US,
            };
            now < pending.sent_at_us + retention_us
        });
    }

    fn due_renewals(&mut self, now: Micros) -> Vec<LeaseRequest> {
        let mut requests = Vec::new();
        for (lease, held) in &mut self.held {
            if now >= held.renew_at_us {
                held.renew_at_us = now + RESPONSE_TIMEOUT_US.min(held.lease_us / RENEW_RETRIES_PER_LEASE);
                let fencing_token = held.fencing_token;
                requests.push(LeaseRequest::Renew { lease: lease.clone(), fencing_token });
            }
        }
        requests
    }

    /// Releases a lease that is being handed over, because the work under it is finished. The successor may acquire the
    /// lease before all others.
    pub fn work_finished(
        &mut self,
        now: Micros,
        lease: &str,
        successor: Option<String>,
        out: &mut Vec<LeaseEffect>,
    ) {
        if let Some(fencing_token) = self.held.get(lease).map(|held| held.fencing_token) {
            self.end_lease(lease, LeaseEndReason::HandedOver, out);
            self.submit(
                now,
                LeaseRequest::Release { lease: lease.to_owned(), fencing_token, successor },
                out,
            );
        }
    }

    /// Requests that a checkpoint be saved, derived from the one at log index `based_on`. Does nothing if the lease is
    /// not held. [`LeaseEffect::CheckpointSaved`] follows once the checkpoint is saved. The request is not resent, so
    /// the caller has to retry.
    pub fn save_checkpoint(
        &mut self,
        now: Micros,
        lease: &str,
        based_on: u64,
        checkpoint: String,
        out: &mut Vec<LeaseEffect>,
    ) {
        if let Some(fencing_token) = self.held.get(lease).map(|held| held.fencing_token) {
            let lease = lease.to_owned();
            self.submit(now, LeaseRequest::Checkpoint { lease, fencing_token, based_on, checkpoint }, out);
        }
    }

    /// Starts the handover of a lease. The lease is released once the work that was begun under it is finished.
    pub fn hand_over(&mut self, lease: &str, out: &mut Vec<LeaseEffect>) {
        if let Some(held) = self.held.get_mut(lease)
            && !held.is_finishing
        {
            held.is_finishing = true;
            let fencing_token = held.fencing_token;
            out.push(LeaseEffect::FinishWork { lease: lease.to_owned(), fencing_token });
        }
    }

    /// Starts (`true`) or ends (`false`) draining. A draining manager hands over all its leases and acquires none.
    pub fn set_draining(&mut self, is_draining: bool, out: &mut Vec<LeaseEffect>) {
        self.is_draining = is_draining;
        if is_draining {
            let held: Vec<String> = self.held.keys().cloned().collect();
            for lease in held {
                self.hand_over(&lease, out);
            }
        }
    }

    fn end_lease(&mut self, lease: &str, reason: LeaseEndReason, out: &mut Vec<LeaseEffect>) {
        if let Some(held) = self.held.remove(lease) {
            let fencing_token = held.fencing_token;
            out.push(LeaseEffect::Ended { lease: lease.to_owned(), fencing_token, reason });
        }
    }

    fn submit(&mut self, now: Micros, request: LeaseRequest, out: &mut Vec<LeaseEffect>) {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return;
        }
        let nonce = self.rng.rand_u64();
        self.pending.insert(nonce, PendingRequest { request: request.clone(), sent_at_us: now });
        out.push(LeaseEffect::Submit { nonce, request });
    }
}
