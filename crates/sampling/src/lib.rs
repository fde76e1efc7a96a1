//! Two-choice sampling: draws two random items that are suitable, without looking at all of them.
//!
//! There is one list for each kind of draw. Items are drawn from it without replacement until two are suitable, so
//! each pair of suitable items is as likely as any other (rejection sampling), at the cost of a few looks where most
//! are suitable. An item that is found unsuitable for the kind leaves that list until it is
//! [restored](TwoChoiceSampler::restore), so that many items that are all full are looked at once, and not for every
//! draw.
//!
//! ```
//! use sanddyke_sampling::{Suitability, TwoChoiceSampler};
//!
//! let mut sampler = TwoChoiceSampler::new(1);
//! sampler.reset([10, 11, 12, 13]);
//! let is_odd = |item: &u32| match item % 2 {
//!     1 => Suitability::Suitable,
//!     _ => Suitability::UnsuitableForKind,
//! };
//! let two = sampler.sample_two(0, |limit| limit - 1, is_odd);
//! assert_eq!(two.into_iter().flatten().count(), 2);
//! assert_eq!(sampler.remaining(0), 3, "two are suitable, and one is left that was not looked at");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeMap;

/// Maximum of kinds: a bitmap of 64 bits names those whose list an item has left.
pub const MAX_KINDS: usize = 64;

/// Whether an item can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suitability {
    /// It can.
    Suitable,
    /// Not in this draw, for a reason of its own.
    Unsuitable,
    /// In no draw of this kind, until it is restored.
    UnsuitableForKind,
}

/// Lists of items to draw from, one for each kind.
#[derive(Debug, Clone)]
pub struct TwoChoiceSampler<T> {
    lists: Vec<Vec<T>>,
    /// The lists that an item has left, a bit for each kind.
    removed_from: BTreeMap<T, u64>,
}

impl<T> Default for TwoChoiceSampler<T> {
    fn default() -> TwoChoiceSampler<T> {
        TwoChoiceSampler { lists: Vec::new(), removed_from: BTreeMap::new() }
    }
}

impl<T: Copy + Ord> TwoChoiceSampler<T> {
    /// Empty lists for this many kinds.
    ///
    /// # Panics
    /// Where there are more than [`MAX_KINDS`].
    pub fn new(kinds: usize) -> TwoChoiceSampler<T> {
        assert!(kinds <= MAX_KINDS, "at most {MAX_KINDS} kinds");
        TwoChoiceSampler { lists: vec![Vec::new(); kinds], removed_from: BTreeMap::new() }
    }

    /// Lists these items, and no others, for every kind. Costs their number times that of the kinds.
    pub fn reset(&mut self, items: impl IntoIterator<Item = T>) {
        let items: Vec<T> = items.into_iter().collect();
        for list in &mut self.lists {
            list.clone_from(&items);
        }
        self.removed_from.clear();
    }

    /// Puts an item back into the lists that it has left. One that is in all of them, or in none, stays so.
    pub fn restore(&mut self, item: T) {
        let Some(kinds) = self.removed_from.remove(&item) else { return };
        for (kind, list) in self.lists.iter_mut().enumerate() {
            if kinds & (1 << kind) != 0 {
                list.push(item);
            }
        }
    }

    /// How many items may be suitable for a kind: those in its list.
    pub fn remaining(&self, kind: usize) -> usize {
        self.lists.get(kind).map_or(0, Vec::len)
    }

    /// Draws items for a kind until two are suitable, or all are drawn. `random_below` gives a random number below
    /// its argument; it is not called where only one item is left.
    pub fn sample_two(
        &mut self,
        kind: usize,
        mut random_below: impl FnMut(usize) -> usize,
        mut judge: impl FnMut(&T) -> Suitability,
    ) -> [Option<T>; 2] {
        let mut found = [None; 2];
        let mut found_count = 0;
        let Some(list) = self.lists.get_mut(kind) else { return found };
        // Items that were drawn stand behind the others.
        let mut undrawn = list.len();
        while undrawn > 0 && found_count < found.len() {
            let index = if undrawn == 1 { 0 } else { random_below(undrawn) };
            undrawn -= 1;
            list.swap(index, undrawn);
            let item = list[undrawn];
            match judge(&item) {
                Suitability::Suitable => {
                    found[found_count] = Some(item);
                    found_count += 1;
                }
                Suitability::Unsuitable => {}
                Suitability::UnsuitableForKind => {
                    list.swap_remove(undrawn);
                    *self.removed_from.entry(item).or_default() |= 1 << kind;
                }
            }
        }
        found
    }
}

#[cfg(test)]
mod tests;
