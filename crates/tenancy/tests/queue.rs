//! The fair queue against its promises, and against a model that walks everything.

use proptest::prelude::*;
use sanddyke_tenancy::{FairQueue, Rank};
use std::collections::{BTreeMap, BTreeSet};

/// Serves so many times, each of some work, with every member that is named always waiting; gives the work
/// that each got.
fn serve(
    queue: &mut FairQueue,
    busy: &[usize],
    rounds: usize,
    work: impl Fn(usize) -> f64,
) -> BTreeMap<usize, f64> {
    let mut got = BTreeMap::new();
    for member in busy {
        queue.push(*member, (0, 0), 0);
    }
    for round in 0..rounds {
        let member = queue.next(None).expect("some wait").member();
        queue.take(member, (0, 0), 0);
        queue.charge(member, work(round));
        queue.push(member, (0, 0), 0);
        *got.entry(member).or_insert(0.0) += work(round);
    }
    for member in busy {
        queue.take(*member, (0, 0), 0);
    }
    got
}

proptest! {
    /// Whoever is always waiting gets its share of the work, to within one request's.
    #[test]
    fn service_is_by_share(weights in prop::collection::vec(1u32..50, 2..12), spread in 1u32..20) {
        let whole: u32 = weights.iter().sum();
        let share = |member: usize| f64::from(weights[member]) / f64::from(whole);
        let mut queue = FairQueue::default();
        (0..weights.len()).for_each(|member| queue.set(member, None, share(member)));
        let busy: Vec<usize> = (0..weights.len()).collect();
        let work = |round: usize| 1.0 + (round * 7 % spread as usize) as f64;
        let got = serve(&mut queue, &busy, 2000, work);
        let total: f64 = got.values().sum();
        for member in busy {
            let missed = got.get(&member).copied().unwrap_or(0.0) - share(member) * total;
            prop_assert!(missed.abs() <= 2.0 * f64::from(spread), "{member}: {missed} of {total}");
        }
    }

    /// Against a model: what is put in comes out, each member that waits comes once in a round of all, none of a
    /// later band comes before one of an earlier, and `sorted` is in the order of ranks.
    #[test]
    fn the_queue_agrees_with_a_model(ops in prop::collection::vec((0u8..6, 0usize..6, 0u8..4, 0u64..8), 1..200)) {
        let mut queue = FairQueue::default();
        let mut model: BTreeMap<usize, BTreeSet<(Rank, u64)>> = BTreeMap::new();
        for (op, member, band, id) in ops {
            let rank = (band, id as i64 % 3);
            match op {
                0 => {
                    queue.set(member, [None, Some(1), Some(2)][id as usize % 3], 0.1 + f64::from(band));
                    model.entry(member).or_default();
                }
                1 if id == 0 => {
                    prop_assert_eq!(queue.remove(member), model.remove(&member).unwrap_or_default());
                }
                2 | 3 => {
                    let new = model.get_mut(&member).is_some_and(|waiting| waiting.insert((rank, id)));
                    prop_assert_eq!(queue.push(member, rank, id), new);
                }
                4 => {
                    let there = model.get_mut(&member).is_some_and(|waiting| waiting.remove(&(rank, id)));
                    prop_assert_eq!(queue.take(member, rank, id), there);
                }
                _ => queue.charge(member, 1.0 + id as f64),
            }
            let waiting: Vec<usize> =
                model.iter().filter(|(_, all)| !all.is_empty()).map(|(member, _)| *member).collect();
            let (mut place, mut seen) = (None, Vec::new());
            while let Some(next) = queue.next(place) {
                seen.push(next.member());
                place = Some(next);
                prop_assert!(seen.len() <= waiting.len());
            }
            let bands: Vec<u8> = seen.iter().map(|member| model[member].first().unwrap().0.0).collect();
            prop_assert!(bands.is_sorted(), "{:?}", bands);
            seen.sort_unstable();
            prop_assert_eq!(&seen, &waiting);
            let mut all: Vec<(Rank, u64)> = model.values().flatten().copied().collect();
            all.sort_unstable();
            prop_assert_eq!(queue.sorted(), all.into_iter().map(|(_, id)| id).collect::<Vec<_>>());
            prop_assert_eq!(queue.is_empty(), waiting.is_empty());
        }
    }
}

/// An organisation with many tenants takes no more than its own.
#[test]
fn a_group_of_a_thousand_small_ones_has_as_much_as_a_large_one_of_equal_weight() {
    let mut queue = FairQueue::default();
    (0..1000).for_each(|member| queue.set(member, Some(7), 0.5 / 1000.0));
    queue.set(1000, None, 0.5);
    let busy: Vec<usize> = (0..=1000).collect();
    let got = serve(&mut queue, &busy, 20_000, |_| 1.0);
    assert!((got[&1000] - 10_000.0).abs() <= 1.0, "{}", got[&1000]);
    assert!((0..1000).all(|member| got[&member] == 10.0), "and each of the small ones as much as another");
}

/// What idle members leave goes to their group first.
#[test]
fn an_idle_members_part_is_lent_within_its_group() {
    let mut queue = FairQueue::default();
    [(0, 0.25), (1, 0.25)].into_iter().for_each(|(member, share)| queue.set(member, Some(1), share));
    queue.set(2, None, 0.5);
    let got = serve(&mut queue, &[0, 2], 1000, |_| 1.0);
    assert!((got[&0] - 500.0).abs() <= 1.0, "the whole of the group's: {got:?}");
}

/// A tenant with no work saves up nothing: after a long rest it gets its share and no more.
#[test]
fn who_rests_saves_up_nothing() {
    let mut queue = FairQueue::default();
    (0..3).for_each(|member| queue.set(member, None, 1.0 / 3.0));
    serve(&mut queue, &[0, 1], 10_000, |_| 1.0);
    let got = serve(&mut queue, &[0, 1, 2], 300, |_| 1.0);
    assert!((got[&2] - 100.0).abs() <= 2.0, "{got:?}");
}

/// Nor does one that was served far beyond its share while others rested pay for it for ever.
#[test]
fn what_was_lent_is_not_paid_back() {
    let mut queue = FairQueue::default();
    (0..2).for_each(|member| queue.set(member, None, 0.5));
    serve(&mut queue, &[0], 10_000, |_| 1.0);
    let got = serve(&mut queue, &[0, 1], 100, |_| 1.0);
    assert!((got[&0] - 50.0).abs() <= 2.0, "{got:?}");
}

/// A changed share counts from the next turn on, and what waits goes on waiting.
#[test]
fn a_share_is_changed_while_work_waits() {
    let mut queue = FairQueue::default();
    (0..2).for_each(|member| queue.set(member, None, 0.5));
    queue.push(0, (0, 5), 50);
    serve(&mut queue, &[0, 1], 1000, |_| 1.0);
    queue.set(0, None, 0.9);
    queue.set(1, None, 0.1);
    assert_eq!(queue.sorted(), [50]);
    let got = serve(&mut queue, &[0, 1], 100, |_| 1.0);
    assert!((got[&0] - 90.0).abs() <= 2.0, "{got:?}");
    queue.set(0, Some(3), 0.9);
    assert_eq!(queue.sorted(), [50], "also in another group");
}

/// Guards against a tenant that was suspended with work waiting and got no turn for minutes after: what was
/// charged while its share was next to nothing weighed for ever.
#[test]
fn a_time_without_a_share_is_not_paid_for_afterwards() {
    for group in [None, Some(4)] {
        let mut queue = FairQueue::default();
        queue.set(0, None, 0.5);
        queue.set(1, group, 0.5);
        serve(&mut queue, &[0, 1], 100, |_| 1.0);
        queue.set(1, group, 0.0);
        serve(&mut queue, &[1], 10, |_| 1.0);
        queue.set(1, group, 0.5);
        let got = serve(&mut queue, &[0, 1], 100, |_| 1.0);
        assert!(got.get(&1).is_some_and(|got| (got - 45.0).abs() <= 8.0), "{group:?}: {got:?}");
    }
}
