//! The history of a fleet, reconstructed from its managers' logs, and the invariants on it. Each line of a lease has the
//! Unix time in microseconds; all managers run on one machine, so the times are of one clock.

use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A manager by its number in the fleet.
pub type Manager = usize;

/// An event of a manager.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It acquired or extended a lease.
    Held {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
        /// When the lease expires by the manager's own count, in microseconds of Unix time.
        expires_at_us: u64,
    },
    /// Its lease ended.
    Ended {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        fencing_token: u64,
    },
    /// An act under a lease took effect.
    Acted {
        /// What was made, by a name that is the same whichever manager makes it.
        product: String,
        /// Fencing token that it was made under.
        fencing_token: u64,
    },
    /// It was killed: it holds no lease from here on.
    Killed,
}

/// An event with its time and manager.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    at_us: u64,
    manager: Manager,
    event: Event,
}

/// A time in which a manager held a lease under one fencing token.
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

/// An invariant that does not hold.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HistoryViolation {
    /// Two managers held a lease at the same moment.
    #[error(
        "{}: m{} held it under {} for {} us more as m{} acquired it under {}",
        first.lease, first.manager, first.fencing_token, first.until_us - second.from_us,
        second.manager, second.fencing_token
    )]
    TwoHolders {
        /// The earlier holder.
        first: LeaseTerm,
        /// The later holder.
        second: LeaseTerm,
    },
    /// A holder's fencing token is not above those before.
    #[error("{}: m{} acquired it under {} after {previous}", lease_term.lease, lease_term.manager, lease_term.fencing_token)]
    TokenNotIncreasing {
        /// The holder.
        lease_term: LeaseTerm,
        /// The fencing token before.
        previous: u64,
    },
    /// Something was made twice.
    #[error("{product} was made again by m{manager} under {fencing_token}")]
    MadeTwice {
        /// What was made.
        product: String,
        /// The manager that made it again.
        manager: Manager,
        /// Fencing token that it was made again under.
        fencing_token: u64,
    },
}

/// The events of a fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History(Vec<Entry>);

/// The value of a structured field of a log line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Parses a line of a manager's log. Gives the time in microseconds and the event, if it is one of a lease.
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
        Event::Acted { product: format!("{} {}", lease()?, number("period")?), fencing_token }
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

    fn in_order_of_time(&self) -> Vec<Entry> {
        let mut entries = self.0.clone();
        entries.sort_by_key(|entry| (entry.at_us, entry.manager));
        entries
    }

    /// When each lease was held, by which manager and under which fencing token, in order of the start.
    pub fn lease_terms(&self) -> Vec<LeaseTerm> {
        let mut current: BTreeMap<(String, Manager), LeaseTerm> = BTreeMap::new();
        let mut lease_terms = Vec::new();
        for Entry { at_us, manager, event } in self.in_order_of_time() {
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
                    // A lease that expired and is acquired anew is held twice.
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
                Event::Acted { .. } => {}
            }
        }
        lease_terms.extend(current.into_values());
        lease_terms.sort_by_key(|lease_term| lease_term.from_us);
        lease_terms
    }

    /// Two managers never held a lease at the same moment.
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

    /// Each holder's fencing token is above those of all before.
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

    /// Nothing was made twice.
    pub fn check_made_once(&self) -> Result<(), HistoryViolation> {
        let mut applied_operations = BTreeSet::new();
        for Entry { manager, event, .. } in self.in_order_of_time() {
            if let Event::Acted { product, fencing_token } = event
                && !applied_operations.insert(product.clone())
            {
                return Err(HistoryViolation::MadeTwice { product, manager, fencing_token });
            }
        }
        Ok(())
    }

    /// What was made.
    pub fn applied_operations(&self) -> BTreeSet<String> {
        let product = |entry: &Entry| match &entry.event {
            Event::Acted { product, .. } => Some(product.clone()),
            _ => None,
        };
        self.0.iter().filter_map(product).collect()
    }

    /// All invariants.
    pub fn check(&self) -> Result<(), HistoryViolation> {
        self.check_single_holder()?;
        self.check_tokens_increase()?;
        self.check_made_once()
    }

    /// How long a lease had no holder between two that held it, in microseconds.
    pub fn gaps_us(&self, lease: &str) -> Vec<u64> {
        let lease_terms = self.lease_terms();
        let of_lease: Vec<&LeaseTerm> =
            lease_terms.iter().filter(|lease_term| lease_term.lease == lease).collect();
        of_lease.windows(2).map(|pair| pair[1].from_us.saturating_sub(pair[0].until_us)).collect()
    }
}

#[cfg(test)]
mod tests;
