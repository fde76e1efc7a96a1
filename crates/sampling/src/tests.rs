//! The sampler against a model, and the likelihood of each pair.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Against a model: what fits is found wherever it stands, what left a list is out of it until it is
    /// restored, and no item is ever in a list twice.
    #[test]
    fn draws_agree_with_a_set(seed: u64, fits in prop::collection::vec(0u8..3, 0..20),
                              back in prop::collection::vec(0usize..20, 0..40)) {
        let mut rng = oorandom::Rand64::new(seed.into());
        let mut sampler = TwoChoiceSampler::new(2);
        sampler.reset(0..fits.len());
        let mut out = std::collections::BTreeSet::new();
        for item in back {
            let judge = |item: &usize| match fits[*item] {
                0 => Suitability::Suitable,
                1 => Suitability::Unsuitable,
                _ => { out.insert(*item); Suitability::UnsuitableForKind }
            };
            let two = sampler.sample_two(1, |below| rng.rand_range(0..below as u64) as usize, judge);
            let good = fits.iter().filter(|fit| **fit == 0).count();
            prop_assert_eq!(two.iter().flatten().count(), good.min(2));
            prop_assert!(two[0].is_none() || two[0] != two[1]);
            prop_assert_eq!(sampler.remaining(1), fits.len() - out.len());
            prop_assert_eq!(sampler.remaining(0), fits.len());
            sampler.restore(item);
            out.remove(&item);
        }
    }
}

/// Each pair of what fits comes as often as any other, whatever else is in the list.
#[test]
fn every_pair_is_as_likely() {
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
    assert_eq!(counts.len(), 6, "of four items");
    for (pair, count) in counts {
        // Ten thousand of each, by six standard deviations.
        assert!((9_450..10_550).contains(&count), "{pair:?}: {count} of {rounds}");
    }
}
