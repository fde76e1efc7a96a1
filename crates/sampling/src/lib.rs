//! Two-choice sampling: samples two random suitable items without checking all items.
//!
//! There is one list for each kind of sample. Items are sampled from it without replacement until two are suitable
//! (rejection sampling). Each pair of suitable items is therefore equally likely, and only a few items are checked if
//! most are suitable. An item that is unsuitable for the kind is removed from that list until it is
//! [restored](TwoChoiceSampler::restore). If many items are full, each of them is therefore checked once, not for
//! every sample.
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
//! assert_eq!(sampler.remaining(0), 3, "two are suitable, and one was not checked");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeMap;

/// Maximum number of kinds. A bitmap of 64 bits stores the kinds from whose lists an item was removed.
pub const MAX_KINDS: usize = 64;

/// Whether an item can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suitability {
    /// The item can be chosen.
    Suitable,
    /// The item cannot be chosen in this sample, for a reason that applies to this sample alone.
    Unsuitable,
    /// The item cannot be chosen in any sample of this kind until it is restored.
    UnsuitableForKind,
}

/// Lists of items to sample from, one for each kind.
#[derive(Debug, Clone)]
pub struct TwoChoiceSampler<T> {
    lists: Vec<Vec<T>>,
    /// The lists from which each item was removed, as one bit for each kind.
    removed_from: BTreeMap<T, u64>,
}

impl<T> Default for TwoChoiceSampler<T> {
    fn default() -> TwoChoiceSampler<T> {
        TwoChoiceSampler { lists: Vec::new(), removed_from: BTreeMap::new() }
    }
}

impl<T: Copy + Ord> TwoChoiceSampler<T> {
    /// Creates empty lists for this many kinds.
    ///
    /// # Panics
    /// If there are more than [`MAX_KINDS`].
    pub fn new(kinds: usize) -> TwoChoiceSampler<T> {
        assert!(kinds <= MAX_KINDS, "a sampler has at most {MAX_KINDS} kinds: got {kinds}");
        TwoChoiceSampler { lists: vec![Vec::new(); kinds], removed_from: BTreeMap::new() }
    }

    /// Replaces the list of every kind by these items. The cost is O(items x kinds).
    pub fn reset(&mut self, items: impl IntoIterator<Item = T>) {
        let items: Vec<T> = items.into_iter().collect();
        for list in &mut self.lists {
            list.clone_from(&items);
        }
        self.removed_from.clear();
    }

    /// Adds an item to the lists from which it was removed. Nothing changes if it is in all lists, or was not among
    /// the items of the last [`reset`](Self::reset).
    pub fn restore(&mut self, item: T) {
        let Some(kinds) = self.removed_from.remove(&item) else { return };
        for (kind, list) in self.lists.iter_mut().enumerate() {
            if kinds & (1 << kind) != 0 {
                list.push(item);
            }
        }
    }

    /// Returns the number of items in the list of a kind, which are those that may be suitable.
    pub fn remaining(&self, kind: usize) -> usize {
        self.lists.get(kind).map_or(0, Vec::len)
    }

    /// Samples items for a kind until two are suitable or none is left. `random_below` returns a random number below
    /// its argument; it is not called if only one item is left.
    pub fn sample_two(
        &mut self,
        kind: usize,
        mut random_below: impl FnMut(usize) -> usize,
        mut judge: impl FnMut(&T) -> Suitability,
    ) -> [Option<T>; 2] {
        let mut found = [None; 2];
        let mut found_count = 0;
        let Some(list) = self.lists.get_mut(kind) else { return found };
        // Sampled items are at the end of the list, behind those not sampled yet.
        let mut unsampled = list.len();
        while unsampled > 0 && found_count < found.len() {
            let index = if unsampled == 1 { 0 } else { random_below(unsampled) };
            unsampled -= 1;
            list.swap(index, unsampled);
            let item = list[unsampled];
            match judge(&item) {
                Suitability::Suitable => {
                    found[found_count] = Some(item);
                    found_count += 1;
                }
                Suitability::Unsuitable => {}
                Suitability::UnsuitableForKind => {
                    list.swap_remove(unsampled);
                    *self.removed_from.entry(item).or_default() |= 1 << kind;
                }
            }
        }
        found
    }
}

#[cfg(test)]
mod tests;
