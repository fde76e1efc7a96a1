//! Compares the sampler with a model, and checks that all pairs are equally likely.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Suitable items are found at every position of the list, an item removed from a list stays removed until it is
    /// restored, and no list contains an item twice.
    #[test]
    fn samples_agree_with_a_model(seed: u64, suitability in prop::collection::vec(0u8..3, 0..20),
                                  restored in prop::collection::vec(0usize..20, 0..40)) {
        let mut rng = oorandom::Rand64::new(seed.into());
        let mut sampler = TwoChoiceSampler::new(2);
        sampler.reset(0..suitability.len());
        let mut removed = std::collections::BTreeSet::new();
        for item in restored {
            let judge = |item: &usize| match suitability[*item] {
                0 => Suitability::Suitable,
                1 => Suitability::Unsuitable,
                _ => { removed.insert(*item); Suitability::UnsuitableForKind }
            };
            let two = sampler.sample_two(1, |below| rng.rand_range(0..below as u64) as usize, judge);
            let suitable = suitability.iter().filter(|value| **value == 0).count();
            prop_assert_eq!(two.iter().flatten().count(), suitable.min(2));
            prop_assert!(two[0].is_none() || two[0] != two[1]);
            prop_assert_eq!(sampler.remaining(1), suitability.len() - removed.len());
            prop_assert_eq!(sampler.remaining(0), suitability.len());
            sampler.restore(item);
            removed.remove(&item);
        }
    }
}

/// Each pair of suitable items is sampled equally often, although most items of the list are unsuitable.
#[test]
fn all_pairs_are_equally_likely() {
    let mut rng = oorandom::Rand64::new(7);
    let mut sampler = TwoChoiceSampler::new(1);
    sampler.reset(0..40);
    let mut counts = BTreeMap::new();
    let rounds = 60_000;
    for _ in 0..rounds {
        let judge = |item: &i32| if item % 10 == 0 { Suitability::Suitable } else { Suitability::Unsuitable };
        let two = sampler.sample_two(0, |below| rng.rand_range(0..below as u64) as usize, judge);
        *counts.entry((two[0].min(two[1]), two[0].max(two[1]))).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 6, "four suitable items have six pairs");
    for (pair, count) in counts {
        // 10,000 of each pair are expected; the bounds are six standard deviations away.
        assert!((9_450..10_550).contains(&count), "{pair:?}: {count} of {rounds}");
    }
}
