//! Reconstructs the history of a fleet's leases from its managers' logs and checks invariants on it. Each log line
//! about a lease contains the Unix time in microseconds. The times are comparable because all managers run on one machine.

use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Number of a manager in the fleet.
pub type Manager = usize;

/// An event in a manager's history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The manager acquired or extended a lease.
    Held {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
        /// Expiry of the lease as the manager computes it, in microseconds of Unix time.
        expires_at_us: u64,
    },
    /// The manager's lease ended.
    Ended {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
    },
    /// An operation under a lease took effect.
    OperationApplied {
        /// Lease and period, which identify the operation independently of the manager.
        operation: String,
        /// Fencing token with which it was applied.
        fencing_token: u64,
    },
    /// The manager was killed, which ends all its leases.
    Killed,
}

/// An event with its manager and its time, in microseconds of Unix time.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    at_us: u64,
    manager: Manager,
    event: Event,
}

/// A period during which a manager held a lease under one fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Name of the lease.
    pub lease: String,
    /// The holder.
    pub manager: Manager,
    /// Fencing token of the grant.
    pub fencing_token: u64,
    /// Start, in microseconds of Unix time.
    pub from_us: u64,
    /// End, in microseconds of Unix time.
    pub until_us: u64,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HistoryViolation {
    /// Two managers held a lease at the same time.
    #[error(
        "lease {}: m{} with fencing token {} held it for another {} us after m{} acquired it with fencing token {}",
        first.lease, first.manager, first.fencing_token, first.until_us - second.from_us,
        second.manager, second.fencing_token
    )]
    TwoHolders {
        /// The earlier holder.
        first: LeaseTerm,
        /// The later holder.
        second: LeaseTerm,
    },
    /// A lease holder's fencing token is not greater than the previous one.
    #[error(
        "lease {}: m{} acquired it with fencing token {}, which is not greater than the previous one, {previous}",
        lease_term.lease, lease_term.manager, lease_term.fencing_token
    )]
    TokenNotIncreasing {
        /// The lease term with this fencing token.
        lease_term: LeaseTerm,
        /// Fencing token of the previous lease term.
        previous: u64,
    },
    /// An operation took effect twice.
    #[error("operation {operation} was applied again by m{manager} with fencing token {fencing_token}")]
    OperationAppliedTwice {
        /// Lease and period, as in [`Event::OperationApplied`].
        operation: String,
        /// The manager that applied it again.
        manager: Manager,
        /// Fencing token with which it was applied again.
        fencing_token: u64,
    },
}

/// The events of a fleet, in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History(Vec<Entry>);

/// The value of a structured field of a log line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Parses a line of a manager's log into the Unix time in microseconds and the event; `None` if it is not a lease
/// event.
pub fn parse_line(line: &str) -> Option<(u64, Event)> {
    let number = |key: &str| field(line, key)?.parse::<u64>().ok();
    let lease = || field(line, "lease").map(str::to_owned);
    let has_message = |message: &str| line.contains(message);
    let at_us = number("at_us")?;
    let fencing_token = number("fencing_token")?;
    let event = if has_message("lease acquired ") || has_message("lease extended ") {
        Event::Held { lease: lease()?, fencing_token, expires_at_us: at_us + number("for_us")? }
    } else if has_message("lease ended ") {
        Event::Ended { lease: lease()?, fencing_token }
    } else if has_message("backup written ") {
        Event::OperationApplied { operation: format!("{} {}", lease()?, number("period")?), fencing_token }
    } else {
        return None;
    };
    Some((at_us, event))
}

impl History {
    /// Adds an event.
    pub fn add(&mut self, at_us: u64, manager: Manager, event: Event) {
        self.0.push(Entry { at_us, manager, event });
    }

    /// Adds the events of a manager's log.
    pub fn add_log(&mut self, manager: Manager, log: &str) {
        for (at_us, event) in log.lines().filter_map(parse_line) {
            self.add(at_us, manager, event);
        }
    }

    fn sorted_entries(&self) -> Vec<Entry> {
        let mut entries = self.0.clone();
        entries.sort_by_key(|entry| (entry.at_us, entry.manager));
        entries
    }

    /// All lease terms, in order of their start.
    pub fn lease_terms(&self) -> Vec<LeaseTerm> {
        let mut current: BTreeMap<(String, Manager), LeaseTerm> = BTreeMap::new();
        let mut lease_terms = Vec::new();
        for Entry { at_us, manager, event } in self.sorted_entries() {
            let end =
                |lease_term: LeaseTerm| LeaseTerm { until_us: lease_term.until_us.min(at_us), ..lease_term };
            match event {
                Event::Held { lease, fencing_token, expires_at_us } => {
                    let new = LeaseTerm {
                        lease: lease.clone(),
                        manager,
                        fencing_token,
                        from_us: at_us,
                        until_us: expires_at_us,
                    };
                    let lease_term = current.entry((lease, manager)).or_insert_with(|| new.clone());
                    // A lease that is acquired again after its expiry starts a new lease term.
                    if fencing_token != lease_term.fencing_token || at_us > lease_term.until_us {
                        lease_terms.push(std::mem::replace(lease_term, new));
                    }
                    lease_term.until_us = lease_term.until_us.max(expires_at_us);
                }
                Event::Ended { lease, .. } => lease_terms.extend(current.remove(&(lease, manager)).map(end)),
                Event::Killed => current.retain(|(_, holder), lease_term| {
                    let is_killed = *holder == manager;
                    if is_killed {
                        lease_terms.push(end(lease_term.clone()));
                    }
                    !is_killed
                }),
                Event::OperationApplied { .. } => {}
            }
        }
        lease_terms.extend(current.into_values());
        lease_terms.sort_by_key(|lease_term| lease_term.from_us);
        lease_terms
    }

    /// Checks that no two managers held a lease at the same time.
    pub fn check_single_holder(&self) -> Result<(), HistoryViolation> {
        let lease_terms = self.lease_terms();
        for (position, first) in lease_terms.iter().enumerate() {
            let second = lease_terms[position + 1..].iter().find(|second| {
                second.lease == first.lease
                    && second.manager != first.manager
                    && (first.from_us..first.until_us).contains(&second.from_us)
            });
            if let Some(second) = second {
                return Err(HistoryViolation::TwoHolders { first: first.clone(), second: second.clone() });
            }
        }
        Ok(())
    }

    /// Checks that the fencing tokens of each lease increase strictly from one lease term to the next.
    pub fn check_tokens_increase(&self) -> Result<(), HistoryViolation> {
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for lease_term in self.lease_terms() {
            let previous = last.get(&lease_term.lease).copied().unwrap_or(0);
            if lease_term.fencing_token <= previous {
                return Err(HistoryViolation::TokenNotIncreasing { lease_term, previous });
            }
            last.insert(lease_term.lease, lease_term.fencing_token);
        }
        Ok(())
    }

    /// Checks that no operation took effect twice.
    pub fn check_operations_applied_once(&self) -> Result<(), HistoryViolation> {
        let mut applied_operations = BTreeSet::new();
        for Entry { manager, event, .. } in self.sorted_entries() {
            if let Event::OperationApplied { operation, fencing_token } = event
                && !applied_operations.insert(operation.clone())
            {
                return Err(HistoryViolation::OperationAppliedTwice { operation, manager, fencing_token });
            }
        }
        Ok(())
    }

    /// All operations that took effect.
    pub fn applied_operations(&self) -> BTreeSet<String> {
        let operation = |entry: &Entry| match &entry.event {
            Event::OperationApplied { operation, .. } => Some(operation.clone()),
            _ => None,
        };
        self.0.iter().filter_map(operation).collect()
    }

    /// Checks all invariants and returns the first violation.
    pub fn check(&self) -> Result<(), HistoryViolation> {
        self.check_single_holder()?;
        self.check_tokens_increase()?;
        self.check_operations_applied_once()
    }

    /// Times without a holder between successive terms of a lease, in microseconds; 0 if the terms adjoin or overlap.
    pub fn gaps_us(&self, lease: &str) -> Vec<u64> {
        let lease_terms = self.lease_terms();
        let of_lease: Vec<&LeaseTerm> =
            lease_terms.iter().filter(|lease_term| lease_term.lease == lease).collect();
        of_lease.windows(2).map(|pair| pair[1].from_us.saturating_sub(pair[0].until_us)).collect()
    }
}

#[cfg(test)]
mod tests;
