//! A manager's side of the leases: when it requests a lease, and for how long it may act on a grant.
//!
//! Why no two managers hold one lease at the same moment, given clocks that each run at most [`CLOCK_DRIFT`] off true
//! time and are never set back (monotonic clocks are not):
//!
//! - A holder counts its lease L from *before* it sent the request, on its own clock, and stops acting once L is over.
//!   In true time that is at most L / (1 - d) after sending.
//! - A manager that acquires a held lease has seen one version of its record unchanged for [`expiry_wait_us`] =
//!   L (1 + d) / (1 - d) on its own clock; in true time at least L / (1 - d), counted from *after* it saw that version.
//!   Its request names that version.
//! - A renewal that the voters applied before the acquisition has changed the version, so the acquisition is rejected;
//!   one that is applied after it is rejected. So the last renewal that counts was sent before its version could be
//!   seen, and its lease is over by the time that the acquisition is requested.
//!
//! Neither the voters' clocks nor transmission times enter into this. If a holder is suspended between its check of the
//! clock and its act, the fencing token decides: each act carries it, and the resource rejects a token below the highest
//! that it has seen.

mod acquisition;
mod effect;
mod response;

pub use acquisition::expiry_wait_us;
pub use effect::{LeaseEffect, LeaseEndReason};

use crate::lease::{Incarnation, LeaseOutcome, LeaseRequest, LeaseTable};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Microseconds of a manager's own monotonic clock.
pub type Micros = u64;

/// Assumed bound of a clock's rate error: 1 %. Crystals stay within 0.02 %; wall clocks, which may jump, are not read.
pub const CLOCK_DRIFT: f64 = 0.01;
/// A request without a response by then is sent again.
const RESPONSE_TIMEOUT_US: Micros = 500_000;
/// Requests other than an acquisition are forgotten after this many response timeouts.
const FORGET_AFTER_TIMEOUTS: Micros = 4;
/// A renewal is sent again after this fraction of the lease, where that is shorter than [`RESPONSE_TIMEOUT_US`].
const RENEW_RETRIES_PER_LEASE: u64 = 6;
/// Maximum number of requests without a response.
const MAX_PENDING_REQUESTS: usize = 256;

/// A lease that this manager wants to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DesiredLease {
    /// Duration of each renewal, in microseconds.
    pub lease_us: u64,
    /// Position among the managers that want to hold it: rank 0 requests it first.
    pub rank: u64,
}

/// A lease that this manager holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease<'a> {
    /// Name of the lease.
    pub lease: &'a str,
    /// Fencing token of the grant.
    pub fencing_token: u64,
    /// When it expires, by this manager's clock.
    pub expires_at_us: Micros,
}

#[derive(Debug)]
struct HeldState {
    fencing_token: u64,
    lease_us: u64,
    expires_at_us: Micros,
    renew_at_us: Micros,
    /// It is being handed over: no further act may begin.
    is_finishing: bool,
}

#[derive(Debug)]
struct PendingRequest {
    request: LeaseRequest,
    /// When it was sent: the lease counts from here.
    sent_at_us: Micros,
}

/// A version of a lease's record, and when this manager first saw it.
#[derive(Debug, Clone, Copy)]
struct ObservedVersion {
    version: u64,
    first_seen_us: Micros,
}

/// The leases of one manager.
#[derive(Debug)]
pub struct LeaseHolder {
    local: Incarnation,
    rng: Rand64,
    desired: BTreeMap<String, DesiredLease>,
    observed: BTreeMap<String, ObservedVersion>,
    table: LeaseTable,
    held: BTreeMap<String, HeldState>,
    /// Requests without a response, by nonce.
    pending: BTreeMap<u64, PendingRequest>,
    is_draining: bool,
    /// Whether leases are counted as the proof demands. Simulations clear it to see that the mistake is found.
    has_safety_margin: bool,
}

impl LeaseHolder {
    /// A manager that holds no lease.
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

    /// A holder that is wrong on purpose: it counts its leases from the response, and waits no longer than the lease of
    /// another. A simulation that does not detect it proves nothing about the correct one.
    #[doc(hidden)]
    pub fn without_safety_margin(local: Incarnation, seed: u64) -> LeaseHolder {
        LeaseHolder { has_safety_margin: false, ..LeaseHolder::new(local, seed) }
    }

    /// Sets the leases that this manager wants to hold. Leases that it holds stay, whatever their rank.
    pub fn set_desired(&mut self, desired: BTreeMap<String, DesiredLease>) {
        self.desired = desired;
    }

    /// The latest table that this manager has seen.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// The leases that are held now.
    pub fn held(&self, now: Micros) -> impl Iterator<Item = HeldLease<'_>> {
        let unexpired = self.held.iter().filter(move |(_, held)| now < held.expires_at_us);
        unexpired.map(|(lease, held)| HeldLease {
            lease,
            fencing_token: held.fencing_token,
            expires_at_us: held.expires_at_us,
        })
    }

    /// The fencing token to act under, if an act of the lease may begin now. To be checked right before each act.
    pub fn may_act(&self, lease: &str, now: Micros) -> Option<u64> {
        let held = self.held.get(lease)?;
        (now < held.expires_at_us && !held.is_finishing).then_some(held.fencing_token)
    }

    /// Takes a table of the voters over, unless it is older than the known one.
    pub fn update_table(&mut self, now: Micros, table: LeaseTable, out: &mut Vec<LeaseEffect>) {
        if table.index < self.table.index {
            return;
        }
        self.observe_versions(now, &table);
        self.table = table;
        self.adopt_local_grants(now, out);
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

    /// The response to a request may be lost while its grant is in the table: the nonce identifies the request.
    fn adopt_local_grants(&mut self, now: Micros, out: &mut Vec<LeaseEffect>) {
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
            // A grant that is newer than the table is not in it yet.
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
            self.end(&lease, LeaseEndReason::Lost, out);
        }
    }

    /// Time has passed: ends expired leases, renews, and requests desired leases that may be acquired.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<LeaseEffect>) {
        self.end_expired_leases(now, out);
        self.forget_stale_requests(now);
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
            self.end(&lease, LeaseEndReason::Expired, out);
        }
    }

    /// Forgets requests whose response would no longer count.
    fn forget_stale_requests(&mut self, now: Micros) {
        self.pending.retain(|_, pending| {
            let relevant_us = match &pending.request {
                LeaseRequest::Acquire { lease_us, .. } => *lease_us,
                _ => FORGET_AFTER_TIMEOUTS * RESPONSE_TIMEOUT_US,
            };
            now < pending.sent_at_us + relevant_us
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

    /// The work of a lease that is being handed over is finished: releases it.
    pub fn work_finished(
        &mut self,
        now: Micros,
        lease: &str,
        successor: Option<String>,
        out: &mut Vec<LeaseEffect>,
    ) {
        if let Some(fencing_token) = self.held.get(lease).map(|held| held.fencing_token) {
            self.end(lease, LeaseEndReason::HandedOver, out);
            self.submit(
                now,
                LeaseRequest::Release { lease: lease.to_owned(), fencing_token, successor },
                out,
            );
        }
    }

    /// Requests that a checkpoint be saved. [`LeaseEffect::CheckpointSaved`] follows once it is; the caller retries.
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

    /// Begins to hand a lease over: its work is finished first.
    pub fn hand_over(&mut self, lease: &str, out: &mut Vec<LeaseEffect>) {
        if let Some(held) = self.held.get_mut(lease)
            && !held.is_finishing
        {
            held.is_finishing = true;
            let fencing_token = held.fencing_token;
            out.push(LeaseEffect::FinishWork { lease: lease.to_owned(), fencing_token });
        }
    }

    /// Hands all leases over and requests none (`true`), or requests leases again (`false`).
    pub fn set_draining(&mut self, is_draining: bool, out: &mut Vec<LeaseEffect>) {
        self.is_draining = is_draining;
        if is_draining {
            let held: Vec<String> = self.held.keys().cloned().collect();
            for lease in held {
                self.hand_over(&lease, out);
            }
        }
    }

    fn end(&mut self, lease: &str, reason: LeaseEndReason, out: &mut Vec<LeaseEffect>) {
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
