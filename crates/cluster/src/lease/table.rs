//! The replicated state machine of the voters. It applies the entries of the log to the table of leases.

use super::{
    Grant, LEASE_DURATION_RANGE_US, LeaseOutcome, LeaseRecord, LeaseRequest, MAX_CHECKPOINT_BYTES,
    MAX_LEASES, MAX_NAME_BYTES, Proposal,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The table of all leases and of the voters. The wire format depends on the order of fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    /// Log index of the last applied entry.
    pub index: u64,
    /// Leases by name. Leases that were never held are absent.
    pub leases: BTreeMap<String, LeaseRecord>,
    /// The voters of the group. Maps the id of a voter to the name of its manager.
    pub voters: BTreeMap<u64, String>,
}

impl LeaseTable {
    /// Applies the proposal at a log index. It is deterministic, so voters that have applied the same entries have the
    /// same table.
    ///
    /// The fencing token of a grant is the log index of its entry, so it grows across all leases, incarnations and
    /// terms.
    pub fn apply(&mut self, index: u64, proposal: &Proposal) -> LeaseOutcome {
        debug_assert!(index > self.index, "entry {index} must come after the last applied entry");
        self.index = index;
        let outcome = self.evaluate(index, proposal);
        match outcome {
            LeaseOutcome::Conflict | LeaseOutcome::NotHolder | LeaseOutcome::Invalid => {}
            LeaseOutcome::Granted { .. }
            | LeaseOutcome::Renewed
            | LeaseOutcome::Released
            | LeaseOutcome::CheckpointSaved => self.update_record(index, proposal),
        }
        outcome
    }

    /// Determines the outcome of a proposal without changing any record.
    fn evaluate(&self, index: u64, proposal: &Proposal) -> LeaseOutcome {
        let name = proposal.request.lease();
        let record = self.leases.get(name);
        let has_capacity = record.is_some() || self.leases.len() < MAX_LEASES;
        let is_valid_name = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        if !is_valid_name || !has_capacity || proposal.from.name.len() > MAX_NAME_BYTES {
            return LeaseOutcome::Invalid;
        }
        let grant = record.and_then(|record| record.grant.as_ref());
        let is_holder = |fencing_token: u64| {
            grant.is_some_and(|grant| grant.fencing_token == fencing_token && grant.holder == proposal.from)
        };
        match &proposal.request {
            LeaseRequest::Acquire { version, lease_us, .. } => {
                if !LEASE_DURATION_RANGE_US.contains(lease_us) {
                    LeaseOutcome::Invalid
                } else if record.map_or(0, |record| record.version) != *version {
                    LeaseOutcome::Conflict
                } else {
                    LeaseOutcome::Granted { fencing_token: index }
                }
            }
            LeaseRequest::Renew { fencing_token, .. } if is_holder(*fencing_token) => LeaseOutcome::Renewed,
            LeaseRequest::Release { fencing_token, .. } if is_holder(*fencing_token) => {
                LeaseOutcome::Released
            }
            LeaseRequest::Checkpoint { fencing_token, based_on, checkpoint, .. } => {
                if checkpoint.len() > MAX_CHECKPOINT_BYTES {
                    LeaseOutcome::Invalid
                } else if !is_holder(*fencing_token) {
                    LeaseOutcome::NotHolder
                } else if record.is_some_and(|record| record.checkpoint_index == *based_on) {
                    LeaseOutcome::CheckpointSaved
                } else {
                    LeaseOutcome::Conflict
                }
            }
            LeaseRequest::Renew { .. } | LeaseRequest::Release { .. } => LeaseOutcome::NotHolder,
        }
    }

    /// Applies a proposal that [`Self::evaluate`] accepted to the record of its lease.
    fn update_record(&mut self, index: u64, proposal: &Proposal) {
        let record = self.leases.entry(proposal.request.lease().to_owned()).or_default();
        match &proposal.request {
            LeaseRequest::Acquire { lease_us, .. } => {
                record.version = index;
                record.grant = Some(Grant {
                    holder: proposal.from.clone(),
                    fencing_token: index,
                    lease_us: *lease_us,
                    nonce: proposal.nonce,
                });
                record.successor = None;
            }
            LeaseRequest::Renew { .. } => record.version = index,
            LeaseRequest::Release { successor, .. } => {
                record.version = index;
                record.grant = None;
                record.successor = successor.clone().filter(|name| name.len() <= MAX_NAME_BYTES);
            }
            LeaseRequest::Checkpoint { checkpoint, .. } => {
                record.checkpoint.clone_from(checkpoint);
                record.checkpoint_index = index;
            }
        }
    }
}
