//! Whose clock is how far ahead: bounds from what must have come in order at two managers, and offsets that fit
//! all bounds.
//!
//! Where an answer at manager `a` came before the client's next try at manager `b`, the true times are in that
//! order, so `offset(b) - offset(a) <= local(b) - local(a)`. Such differences are a graph whose shortest paths are
//! the tightest bounds between any two managers (Floyd and Warshall). All offsets are told against the first
//! manager by name, so the order of the files does not matter; each is the middle of its bounds, and the middles
//! of all bounds together break none of them.

use std::collections::BTreeMap;
use thiserror::Error;

/// Bounds on the offsets of some managers' clocks.
#[derive(Debug, Clone, Default)]
pub struct Clocks {
    names: Vec<String>,
    /// The least `local(b) - local(a)` of what came at `a` first and then at `b` (us).
    least: BTreeMap<(usize, usize), i64>,
    ties: u64,
}

/// How far one manager's clock is ahead of the first one's.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Offset {
    /// The manager.
    pub manager: String,
    /// By how much (us).
    pub ahead_us: i64,
    /// The true value lies no further off than this (us).
    pub within_us: i64,
}

/// Why offsets can't be told.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Untold {
    /// Nothing ties two managers both ways.
    #[error("nothing ties the clocks of {0} and {1} both ways: they are not guessed")]
    Apart(String, String),
    /// What came in order did not, by any offsets: a clock has drifted or was set.
    #[error("no offsets fit: the clock of {0} has moved by {1} us at least")]
    Moved(String, i64),
}

impl Clocks {
    /// Clocks of these managers, by name; the same names give the same offsets in any order.
    pub fn new(names: impl IntoIterator<Item = String>) -> Clocks {
        let mut names: Vec<String> = names.into_iter().collect();
        names.sort_unstable();
        names.dedup();
        Clocks { names, ..Clocks::default() }
    }

    /// The number of a manager.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.names.binary_search_by(|known| known.as_str().cmp(name)).ok()
    }

    /// Something came at one manager, by its clock, and then at another, by that one's.
    pub fn tie(&mut self, first: (usize, i64), then: (usize, i64)) {
        if first.0 != then.0 {
            let slack = then.1 - first.1;
            let least = self.least.entry((first.0, then.0)).or_insert(slack);
            *least = (*least).min(slack);
            self.ties += 1;
        }
    }

    /// What tied two managers so far.
    pub fn ties(&self) -> u64 {
        self.ties
    }

    /// The offsets of all managers, in the order of their names.
    pub fn offsets(&self) -> Result<Vec<Offset>, Untold> {
        let many = self.names.len();
        let mut bound: Vec<Vec<Option<i64>>> = vec![vec![None; many]; many];
        for (one, row) in bound.iter_mut().enumerate() {
            row[one] = Some(0);
        }
        for (&(a, b), slack) in &self.least {
            bound[a][b] = Some(*slack);
        }
        for middle in 0..many {
            for a in 0..many {
                for b in 0..many {
                    let through = bound[a][middle].zip(bound[middle][b]).map(|(one, two)| one + two);
                    if let Some(through) = through {
                        bound[a][b] = Some(bound[a][b].map_or(through, |known| known.min(through)));
                    }
                }
            }
        }
        if let Some((at, loop_us)) =
            (0..many).filter_map(|at| Some((at, bound[at][at]?))).find(|(_, loop_us)| *loop_us < 0)
        {
            return Err(Untold::Moved(self.names[at].clone(), -loop_us));
        }
        let offset = |at: usize| {
            let apart = || Untold::Apart(self.names[0].clone(), self.names[at].clone());
            let (most, least) = (bound[0][at].ok_or_else(apart)?, -bound[at][0].ok_or_else(apart)?);
            let ahead_us = (most + least).div_euclid(2);
            Ok(Offset { manager: self.names[at].clone(), ahead_us, within_us: (most - least + 1) / 2 })
        };
        (0..many).map(offset).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever ties the managers: the true offsets lie within what is told, and what is told breaks no tie.
        #[test]
        fn what_is_told_holds(skews in prop::collection::vec(-5_000i64..5_000, 2..6),
                              ties in prop::collection::vec((0usize..6, 0usize..6, 0i64..3_000, 0i64..1_000_000), 0..80)) {
            let many = skews.len();
            let mut clocks = Clocks::new((0..many).map(|number| format!("m{number}")));
            let mut told = Vec::new();
            for (a, b, gap, at) in ties {
                let (a, b) = (a % many, b % many);
                let (first, then) = ((a, at + skews[a]), (b, at + gap + skews[b]));
                clocks.tie(first, then);
                told.push((first, then));
            }
            match clocks.offsets() {
                Err(Untold::Apart(..)) => {}
                Err(moved) => prop_assert!(false, "clocks that stood still: {}", moved),
                Ok(offsets) => {
                    for (number, offset) in offsets.iter().enumerate() {
                        let truth = skews[number] - skews[0];
                        prop_assert!((offset.ahead_us - truth).abs() <= offset.within_us, "{:?} {}", offset, truth);
                    }
                    for (first, then) in told {
                        let (a, b) = (first.1 - offsets[first.0].ahead_us, then.1 - offsets[then.0].ahead_us);
                        // Middles are whole microseconds.
                        prop_assert!(a <= b + 1, "{:?} then {:?}", first, then);
                    }
                }
            }
        }
    }

    #[test]
    fn one_way_ties_are_not_enough_and_a_clock_that_moved_is_told() {
        let mut clocks = Clocks::new(["b".to_owned(), "a".to_owned()]);
        clocks.tie((0, 100), (1, 150));
        assert_eq!(clocks.offsets().unwrap_err(), Untold::Apart("a".to_owned(), "b".to_owned()));
        clocks.tie((1, 200), (0, 170));
        let offsets = clocks.offsets().unwrap();
        assert_eq!((offsets[1].ahead_us, offsets[1].within_us), (40, 10));
        clocks.tie((0, 300), (1, 320));
        assert!(matches!(clocks.offsets().unwrap_err(), Untold::Moved(_, 10)));
    }
}
