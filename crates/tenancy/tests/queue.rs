//! Fairness properties of the queue, and a comparison with a reference model.

use proptest::prelude::*;
use sanddyke_tenancy::{FairQueue, Rank};
use std::collections::{BTreeMap, BTreeSet};

/// Serves `rounds` requests while each busy member always has one queued; `work` is the work of a round. Returns the work
/// served for each member.
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
        let member = queue.next(None).expect("a member has a queued request").member();
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
    /// Members that always have a request queued receive work in proportion to their shares, within two of the largest
    /// requests.
    #[test]
    fn busy_members_receive_work_in_proportion_to_their_shares(weights in prop::collection::vec(1u32..50, 2..12), spread in 1u32..20) {
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

    /// Compares the queue with a reference model under random operations: the same requests are queued, iteration visits
    /// each member with queued requests exactly once and in the order of bands, and `sorted` follows the ranks.
    #[test]
    fn the_queue_agrees_with_a_reference_model(ops in prop::collection::vec((0u8..6, 0usize..6, 0u8..4, 0u64..8), 1..200)) {
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
                    let new = model.get_mut(&member).is_some_and(|queued| queued.insert((rank, id)));
                    prop_assert_eq!(queue.push(member, rank, id), new);
                }
                4 => {
                    let removed = model.get_mut(&member).is_some_and(|queued| queued.remove(&(rank, id)));
                    prop_assert_eq!(queue.take(member, rank, id), removed);
                }
                _ => queue.charge(member, 1.0 + id as f64),
            }
            let busy: Vec<usize> =
                model.iter().filter(|(_, all)| !all.is_empty()).map(|(member, _)| *member).collect();
            let (mut position, mut visited) = (None, Vec::new());
            while let Some(next) = queue.next(position) {
                visited.push(next.member());
                position = Some(next);
                prop_assert!(visited.len() <= busy.len());
            }
            let bands: Vec<u8> = visited.iter().map(|member| model[member].first().unwrap().0.0).collect();
            prop_assert!(bands.is_sorted(), "{:?}", bands);
            visited.sort_unstable();
            prop_assert_eq!(&visited, &busy);
            let mut all: Vec<(Rank, u64)> = model.values().flatten().copied().collect();
            all.sort_unstable();
            prop_assert_eq!(queue.sorted(), all.into_iter().map(|(_, id)| id).collect::<Vec<_>>());
            prop_assert_eq!(queue.is_empty(), busy.is_empty());
        }
    }
}

/// Guards against a group that receives more than its share because it has many members.
#[test]
fn a_group_of_a_thousand_members_receives_as_much_as_one_member_of_equal_share() {
    let mut queue = FairQueue::default();
    (0..1000).for_each(|member| queue.set(member, Some(7), 0.5 / 1000.0));
    queue.set(1000, None, 0.5);
    let busy: Vec<usize> = (0..=1000).collect();
    let got = serve(&mut queue, &busy, 20_000, |_| 1.0);
    assert!((got[&1000] - 10_000.0).abs() <= 1.0, "{}", got[&1000]);
    assert!((0..1000).all(|member| got[&member] == 10.0), "each member of the group receives the same");
}

/// Guards against capacity of an idle member that goes to other groups while its own group is busy.
#[test]
fn an_idle_members_share_goes_to_its_group() {
    let mut queue = FairQueue::default();
    [(0, 0.25), (1, 0.25)].into_iter().for_each(|(member, share)| queue.set(member, Some(1), share));
    queue.set(2, None, 0.5);
    let got = serve(&mut queue, &[0, 2], 1000, |_| 1.0);
    assert!((got[&0] - 500.0).abs() <= 1.0, "the busy member receives the share of its group: {got:?}");
}

/// Guards against credit that accumulates while a member is idle: afterwards it receives its share and no more.
#[test]
fn an_idle_member_accumulates_no_credit() {
    let mut queue = FairQueue::default();
    (0..3).for_each(|member| queue.set(member, None, 1.0 / 3.0));
    serve(&mut queue, &[0, 1], 10_000, |_| 1.0);
    let got = serve(&mut queue, &[0, 1, 2], 300, |_| 1.0);
    assert!((got[&2] - 100.0).abs() <= 2.0, "{got:?}");
}

/// Guards against debt: a member that was served beyond its share while others were idle receives its share afterwards.
#[test]
fn work_beyond_the_share_while_others_are_idle_is_not_charged_later() {
    let mut queue = FairQueue::default();
    (0..2).for_each(|member| queue.set(member, None, 0.5));
    serve(&mut queue, &[0], 10_000, |_| 1.0);
    let got = serve(&mut queue, &[0, 1], 100, |_| 1.0);
    assert!((got[&0] - 50.0).abs() <= 2.0, "{got:?}");
}

/// A changed share takes effect from the next request on, and a change of share or group loses no queued request.
#[test]
fn a_share_or_group_is_changed_while_requests_are_queued() {
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
    assert_eq!(queue.sorted(), [50], "the request stays queued in another group");
}

/// Guards against a tenant that is not served for minutes after a suspension with queued requests. The cause was work
/// charged while its share was nearly 0, which put its tag far ahead of the others.
#[test]
fn work_charged_without_a_share_does_not_delay_a_member_afterwards() {
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
