//! Handles the voters' responses to the requests of a lease holder.

use super::{HeldState, LeaseEffect, LeaseEndReason, LeaseHolder, Micros};
use crate::lease::{LeaseOutcome, LeaseRequest};

/// A holder renews after this fraction of the lease duration, so that two successive renewals may be lost.
const RENEW_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// When to renew a lease that was acquired or renewed by a request sent at `requested_at_us`.
fn renewal_time_us(requested_at_us: Micros, lease_us: u64) -> Micros {
    requested_at_us + (lease_us as f64 * RENEW_AFTER_FRACTION) as Micros
}

impl LeaseHolder {
    /// Handles the outcome of a request. Ignored if no request with this nonce is pending.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        nonce: u64,
        outcome: LeaseOutcome,
        out: &mut Vec<LeaseEffect>,
    ) {
        let Some(pending) = self.pending.remove(&nonce) else { return };
        match (pending.request, outcome) {
            (LeaseRequest::Acquire { lease, lease_us, .. }, LeaseOutcome::Granted { fencing_token }) => {
                self.handle_grant(now, pending.sent_at_us, lease, lease_us, fencing_token, out);
            }
            (LeaseRequest::Renew { lease, fencing_token }, LeaseOutcome::Renewed) => {
                self.handle_renewal(now, pending.sent_at_us, &lease, fencing_token, out);
            }
            (LeaseRequest::Checkpoint { lease, fencing_token, .. }, LeaseOutcome::CheckpointSaved) => {
                out.push(LeaseEffect::CheckpointSaved { lease, fencing_token });
            }
            (
                LeaseRequest::Renew { lease, fencing_token }
                | LeaseRequest::Checkpoint { lease, fencing_token, .. },
                LeaseOutcome::NotHolder,
            ) if self.held.get(&lease).is_some_and(|held| held.fencing_token == fencing_token) => {
                self.end_lease(&lease, LeaseEndReason::Lost, out);
            }
            _ => {}
        }
    }

    /// The start of a lease: when its request was sent.
    fn lease_start_us(&self, now: Micros, sent_at_us: Micros) -> Micros {
        if self.has_safety_margin { sent_at_us } else { now }
    }

    fn handle_grant(
        &mut self,
        now: Micros,
        sent_at_us: Micros,
        lease: String,
        lease_us: u64,
        fencing_token: u64,
        out: &mut Vec<LeaseEffect>,
    ) {
        let expires_at_us = self.lease_start_us(now, sent_at_us) + lease_us;
        // A grant can't be used if its response arrives after its expiry or while draining. It is released, because
        // other managers may already be waiting for its expiry.
        if now >= expires_at_us || self.is_draining {
            let release = LeaseRequest::Release { lease, fencing_token, successor: None };
            return self.submit(now, release, out);
        }
        let held = HeldState {
            fencing_token,
            lease_us,
            expires_at_us,
            renew_at_us: renewal_time_us(sent_at_us, lease_us),
            is_finishing: false,
        };
        self.held.insert(lease.clone(), held);
        out.push(LeaseEffect::Acquired { lease, fencing_token, expires_at_us });
    }

    fn handle_renewal(
        &mut self,
        now: Micros,
        sent_at_us: Micros,
        lease: &str,
        fencing_token: u64,
        out: &mut Vec<LeaseEffect>,
    ) {
        let lease_start_us = self.lease_start_us(now, sent_at_us);
        let Some(held) = self.held.get_mut(lease) else { return };
        if held.fencing_token != fencing_token {
            return;
        }
        // An expired lease stays ended, even if the voters applied the renewal in time.
        if now >= held.expires_at_us {
            return self.end_lease(lease, LeaseEndReason::Expired, out);
        }
        let expires_at_us = lease_start_us + held.lease_us;
        if expires_at_us > held.expires_at_us {
            held.expires_at_us = expires_at_us;
            held.renew_at_us = renewal_time_us(sent_at_us, held.lease_us);
            out.push(LeaseEffect::Extended { lease: lease.to_owned(), fencing_token, expires_at_us });
        }
    }
}
