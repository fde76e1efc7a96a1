//! Estimates the offsets between the managers' clocks from requests that clients retried at another manager.
//!
//! If a response of manager `a` preceded the client's next attempt at manager `b`, the true times are in that
//! order, so `offset(b) - offset(a) <= local(b) - local(a)`. These constraints are a weighted graph whose shortest
//! paths are the tightest bounds between any two managers (Floyd-Warshall, cubic in the number of managers).
//!
//! All offsets are relative to the manager whose name sorts first, so the order of the files does not matter. Each
//! estimate is the midpoint of its bounds, and the midpoints together satisfy every constraint.

use std::collections::BTreeMap;
use thiserror::Error;

/// A time on the clock of one manager.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalTime {
    /// Position of the manager in the sorted list of names.
    pub manager: usize,
    /// Time on that manager's clock (us).
    pub at_us: i64,
}

/// A pair of managers for which an event at `earlier` preceded an event at `later`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ManagerPair {
    earlier: usize,
    later: usize,
}

/// The constraints on the offsets between the managers' clocks.
#[derive(Debug, Clone, Default)]
pub struct ClockConstraints {
    /// Names of the managers, sorted and without duplicates.
    names: Vec<String>,
    /// The minimum of `local(later) - local(earlier)` over all constraints of a pair (us).
    min_differences_us: BTreeMap<ManagerPair, i64>,
    count: u64,
}

/// The estimated offset of one manager's clock.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Offset {
    /// Name of the manager, which is unique in a merged file.
    pub manager: String,
    /// Offset from the first manager's clock (us), positive if this clock is ahead.
    pub ahead_us: i64,
    /// Maximum error of the estimate, in either direction (us).
    #[serde(rename = "within_us")]
    pub error_bound_us: i64,
}

/// Why the offsets cannot be estimated.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClockError {
    /// The constraints do not bound the offset between these two managers in both directions.
    #[error(
        "clock offset between {0} and {1} is not bounded in both directions by retries, and is not guessed"
    )]
    Unbounded(String, String),
    /// No offsets satisfy all constraints. The clock of this manager drifted or was set, by at least this much (us).
    #[error(
        "no clock offsets satisfy all constraints: the clock of {0} drifted or was set, by at least {1} us"
    )]
    Inconsistent(String, i64),
}

impl ClockConstraints {
    /// Creates an empty set of constraints between the managers with these names, which may be in any order.
    pub fn new(names: impl IntoIterator<Item = String>) -> ClockConstraints {
        let mut names: Vec<String> = names.into_iter().collect();
        names.sort_unstable();
        names.dedup();
        ClockConstraints { names, ..ClockConstraints::default() }
    }

    /// Position of a manager in the sorted list of names; `None` if the name is unknown.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.names.binary_search_by(|known| known.as_str().cmp(name)).ok()
    }

    /// Adds the constraint that one event preceded another. Two events of the same manager are ignored.
    pub fn add(&mut self, earlier: LocalTime, later: LocalTime) {
        if earlier.manager == later.manager {
            return;
        }
        let pair = ManagerPair { earlier: earlier.manager, later: later.manager };
        let difference_us = later.at_us - earlier.at_us;
        let min_difference_us = self.min_differences_us.entry(pair).or_insert(difference_us);
        *min_difference_us = difference_us.min(*min_difference_us);
        self.count += 1;
    }

    /// The number of constraints added so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Estimates the offsets of all managers, in the order of their names.
    ///
    /// # Errors
    /// Fails if the constraints contradict each other, or do not bound the offset of a manager in both directions.
    pub fn offsets(&self) -> Result<Vec<Offset>, ClockError> {
        let bounds_us = self.tightest_bounds_us();
        // A negative cycle would require a clock to be ahead of itself.
        for (manager, name) in self.names.iter().enumerate() {
            if let Some(cycle_us) = bounds_us[manager][manager].filter(|cycle_us| *cycle_us < 0) {
                return Err(ClockError::Inconsistent(name.clone(), -cycle_us));
            }
        }
        let offset = |(manager, name): (usize, &String)| {
            let unbounded = || ClockError::Unbounded(self.names[0].clone(), name.clone());
            let max_us = bounds_us[0][manager].ok_or_else(unbounded)?;
            let min_us = -bounds_us[manager][0].ok_or_else(unbounded)?;
            let ahead_us = (max_us + min_us).div_euclid(2);
            Ok(Offset { manager: name.clone(), ahead_us, error_bound_us: (max_us - min_us + 1) / 2 })
        };
        self.names.iter().enumerate().map(offset).collect()
    }

    /// The upper bound of `offset(column) - offset(row)` (us) for each pair of managers; `None` if it is unbounded.
    fn tightest_bounds_us(&self) -> Vec<Vec<Option<i64>>> {
        let managers = self.names.len();
        let mut bounds_us: Vec<Vec<Option<i64>>> = vec![vec![None; managers]; managers];
        for (manager, row) in bounds_us.iter_mut().enumerate() {
            row[manager] = Some(0);
        }
        for (pair, difference_us) in &self.min_differences_us {
            bounds_us[pair.earlier][pair.later] = Some(*difference_us);
        }
        for via in 0..managers {
            for from in 0..managers {
                for to in 0..managers {
                    let (Some(first_us), Some(second_us)) = (bounds_us[from][via], bounds_us[via][to]) else {
                        continue;
                    };
                    let path_us = first_us + second_us;
                    let bound_us = bounds_us[from][to].map_or(path_us, |known_us| known_us.min(path_us));
                    bounds_us[from][to] = Some(bound_us);
                }
            }
        }
        bounds_us
    }
}

#[cfg(test)]
mod tests;
