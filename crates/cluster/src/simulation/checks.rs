//! Tracks the holders of the leases in true time, and checks the invariants on them.

use super::fleet::SimulatedFleet;
use super::{LEASES, Violation};
use crate::lease_holder::Micros;
use std::collections::HashMap;

/// A lease of one holder, with its expiry by the holder's clock converted to true time.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    fencing_token: u64,
    /// When the lease expires, in true time.
    until: Micros,
}

/// The holders of one lease. More than one unexpired holder is a violation.
#[derive(Debug)]
struct Holders {
    /// By index of the manager.
    held_by_manager: HashMap<usize, HeldLease>,
    /// Time since which the lease has no holder; `None` while it has one.
    without_holder_since: Option<Micros>,
}

impl Holders {
    fn is_held(&self, now: Micros) -> bool {
        self.held_by_manager.values().any(|held| held.until > now)
    }
}

/// The holders of all leases, by index of the lease.
#[derive(Debug)]
pub(super) struct HolderTracker(Vec<Holders>);

impl HolderTracker {
    pub(super) fn new() -> HolderTracker {
        let free = || Holders { held_by_manager: HashMap::new(), without_holder_since: Some(0) };
        HolderTracker(LEASES.iter().map(|_| free()).collect())
    }

    pub(super) fn acquire(&mut self, lease: usize, manager: usize, fencing_token: u64, until: Micros) {
        self.0[lease].held_by_manager.insert(manager, HeldLease { fencing_token, until });
    }

    pub(super) fn extend(&mut self, lease: usize, manager: usize, until: Micros) {
        if let Some(held) = self.0[lease].held_by_manager.get_mut(&manager) {
            held.until = until;
        }
    }

    pub(super) fn end(&mut self, lease: usize, manager: usize) {
        self.0[lease].held_by_manager.remove(&manager);
    }

    pub(super) fn remove_manager(&mut self, manager: usize) {
        for lease in &mut self.0 {
            lease.held_by_manager.remove(&manager);
        }
    }

    /// The lowest index of a manager that holds a lease, by the manager's own account.
    pub(super) fn first_holder(&self) -> Option<usize> {
        self.0.iter().flat_map(|lease| lease.held_by_manager.keys()).min().copied()
    }

    fn all_held(&self, now: Micros) -> bool {
        self.0.iter().all(|lease| lease.is_held(now))
    }
}

impl SimulatedFleet {
    /// Returns a violation if another manager than this one holds the lease.
    pub(super) fn check_single_holder(&self, lease: usize, manager: usize) -> Result<(), Violation> {
        let held_by_manager = &self.holders.0[lease].held_by_manager;
        let other = held_by_manager.iter().find(|(other, held)| **other != manager && held.until > self.now);
        match other {
            Some((other, held)) => Err(Violation::TwoHolders {
                lease: LEASES[lease],
                manager,
                other: *other,
                other_token: held.fencing_token,
                remaining_us: held.until - self.now,
            }),
            None => Ok(()),
        }
    }

    /// Updates the times without a holder, for leases that have become free or held.
    pub(super) fn update_holder_gaps(&mut self) {
        for lease in &mut self.holders.0 {
            match (lease.is_held(self.now), lease.without_holder_since) {
                (true, Some(since)) => {
                    let gap_us = self.now - since;
                    let summary = &mut self.summary;
                    summary.without_holder_us += gap_us;
                    summary.longest_without_holder_us = summary.longest_without_holder_us.max(gap_us);
                    lease.without_holder_since = None;
                }
                (false, None) => lease.without_holder_since = Some(self.now),
                _ => {}
            }
        }
    }

    /// Returns whether each lease has a holder and all managers see each other.
    pub(super) fn has_recovered(&self) -> bool {
        let sees_all = |other_count: usize| other_count + 1 == self.managers.len();
        self.holders.all_held(self.now)
            && self.managers.iter().all(|manager| {
                manager.node.as_ref().is_some_and(|node| sees_all(node.membership().others().count()))
            })
    }
}
