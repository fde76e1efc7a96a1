//! Random draws of two items that fit, without looking at all of them.
//!
//! There is one list a kind. Items are drawn from it without replacement until two fit, so the two are as
//! likely as any others that fit (rejection sampling), at the cost of a few looks where most fit. An item that
//! is found not to fit its kind at all leaves that list until it is [restored](Draws::restore), so a crowd of
//! items that are all full is looked at once, not for every draw.
//!
//! ```
//! use sanddyke_sampling::{Draws, Fit};
//!
//! let mut draws = Draws::new(1);
//! draws.reset([10, 11, 12, 13]);
//! let odd = |item: &u32| if item % 2 == 1 { Fit::Yes } else { Fit::NotItsKind };
//! let two = draws.two(0, |below| below - 1, odd);
//! assert_eq!(two.into_iter().flatten().count(), 2);
//! assert_eq!(draws.listed(0), 3, "two fit, and one is left that was not looked at");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeMap;

/// Maximum of kinds: a bitmap of 64 bits names those that an item has left.
pub const MAX_KINDS: usize = 64;

/// How an item fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// It does.
    Yes,
    /// Not this time, for a reason of this draw's own.
    NotNow,
    /// Nothing of this kind, until it is restored.
    NotItsKind,
}

/// Lists of items, one a kind.
#[derive(Debug, Clone)]
pub struct Draws<T> {
    lists: Vec<Vec<T>>,
    /// The lists that an item has left, as bits.
    left: BTreeMap<T, u64>,
}

impl<T> Default for Draws<T> {
    fn default() -> Draws<T> {
        Draws { lists: Vec::new(), left: BTreeMap::new() }
    }
}

impl<T: Copy + Ord> Draws<T> {
    /// Empty lists of so many kinds.
    ///
    /// # Panics
    /// Where there are more than [`MAX_KINDS`].
    pub fn new(kinds: usize) -> Draws<T> {
        assert!(kinds <= MAX_KINDS, "at most {MAX_KINDS} kinds");
        Draws { lists: vec![Vec::new(); kinds], left: BTreeMap::new() }
    }

    /// Lists these items, no others, under every kind. Costs their number times that of the kinds.
    pub fn reset(&mut self, items: impl IntoIterator<Item = T>) {
        let items: Vec<T> = items.into_iter().collect();
        self.lists.iter_mut().for_each(|list| list.clone_from(&items));
        self.left.clear();
    }

    /// Puts an item back in the lists that it has left. One that is in all of them, or in none, stays so.
    pub fn restore(&mut self, item: T) {
        let Some(left) = self.left.remove(&item) else { return };
        let lists = self.lists.iter_mut().enumerate();
        lists.filter(|(kind, _)| left & (1 << kind) != 0).for_each(|(_, list)| list.push(item));
    }

    /// How many items a kind's list holds.
    pub fn listed(&self, kind: usize) -> usize {
        self.lists.get(kind).map_or(0, Vec::len)
    }

    /// Draws items of a kind until two fit. `random` gives a number from 0 to below what it is told.
    pub fn two(
        &mut self,
        kind: usize,
        mut random: impl FnMut(usize) -> usize,
        mut judge: impl FnMut(&T) -> Fit,
    ) -> [Option<T>; 2] {
        let (mut found, mut many) = ([None; 2], 0);
        let Some(list) = self.lists.get_mut(kind) else { return found };
        // What was drawn stands behind the others.
        let mut undrawn = list.len();
        while undrawn > 0 && many < 2 {
            let at = if undrawn == 1 { 0 } else { random(undrawn) };
            undrawn -= 1;
            list.swap(at, undrawn);
            let item = list[undrawn];
            match judge(&item) {
                Fit::Yes => {
                    found[many] = Some(item);
                    many += 1;
                }
                Fit::NotNow => {}
                Fit::NotItsKind => {
                    list.swap_remove(undrawn);
                    *self.left.entry(item).or_default() |= 1 << kind;
                }
            }
        }
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Against a model: what fits is found wherever it stands, what left a list is out of it until it is
        /// restored, and no item is ever in a list twice.
        #[test]
        fn draws_agree_with_a_set(seed: u64, fits in prop::collection::vec(0u8..3, 0..20),
                                  back in prop::collection::vec(0usize..20, 0..40)) {
            let mut rng = oorandom::Rand64::new(seed.into());
            let mut draws = Draws::new(2);
            draws.reset(0..fits.len());
            let mut out = std::collections::BTreeSet::new();
            for item in back {
                let judge = |item: &usize| match fits[*item] {
                    0 => Fit::Yes,
                    1 => Fit::NotNow,
                    _ => { out.insert(*item); Fit::NotItsKind }
                };
                let two = draws.two(1, |below| rng.rand_range(0..below as u64) as usize, judge);
                let good = fits.iter().filter(|fit| **fit == 0).count();
                prop_assert_eq!(two.iter().flatten().count(), good.min(2));
                prop_assert!(two[0].is_none() || two[0] != two[1]);
                prop_assert_eq!(draws.listed(1), fits.len() - out.len());
                prop_assert_eq!(draws.listed(0), fits.len());
                draws.restore(item);
                out.remove(&item);
            }
        }
    }

    /// Each pair of what fits comes as often as any other, whatever else is in the list.
    #[test]
    fn every_pair_is_as_likely() {
        let mut rng = oorandom::Rand64::new(7);
        let mut draws = Draws::new(1);
        draws.reset(0..40);
        let mut counts = BTreeMap::new();
        let rounds = 60_000;
        for _ in 0..rounds {
            let judge = |item: &i32| if item % 10 == 0 { Fit::Yes } else { Fit::NotNow };
            let two = draws.two(0, |below| rng.rand_range(0..below as u64) as usize, judge);
            *counts.entry((two[0].min(two[1]), two[0].max(two[1]))).or_insert(0) += 1;
        }
        assert_eq!(counts.len(), 6, "of four items");
        for (pair, count) in counts {
            // Ten thousand of each, by six standard deviations.
            assert!((9_450..10_550).contains(&count), "{pair:?}: {count} of {rounds}");
        }
    }
}
