//! A queue that is fair to tenants: start-time fair queueing (Goyal, Vin and Cheng, 1996) over two levels, in
//! bands.
//!
//! Each member stands in a group; one that names none is a group of its own. A group's turn moves on by the
//! work that is sent over the group's share, a member's by the same work over its own, and the least turn goes
//! first: groups first, then members within. One that has been idle starts at the virtual time, so it saves up
//! nothing, and what idle members leave goes to their group before it goes to others.
//!
//! Bands rank before turns: all of band 0 goes before any of band 1, whoever's turn it is. A member's band is
//! that of the first of what it has waiting. Finding the next member, putting in, taking out and charging cost
//! the logarithm of what waits.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// How many bands there are.
pub const BANDS: usize = 4;
/// The least share that is reckoned with, so that a tenant without one is served when others leave room.
const LEAST_SHARE: f64 = 1e-7;

/// A request's place in its tenant's line: its band, then its rank, the least first.
pub type Rank = (u8, i64);

/// A turn, in work over share; ordered as floats are.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Turn(f64);

impl Turn {
    /// As far ahead of the virtual time as before, in other units; one that is behind stays where it is.
    fn scaled(self, served: Turn, factor: f64) -> Turn {
        if self > served { Turn(served.0 + (self.0 - served.0) * factor) } else { self }
    }
}

impl Eq for Turn {}
impl PartialOrd for Turn {
    fn partial_cmp(&self, other: &Turn) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Turn {
    fn cmp(&self, other: &Turn) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Debug, Default)]
struct Member {
    group: u64,
    share: f64,
    turn: Turn,
    waiting: BTreeSet<(Rank, u64)>,
}

impl Member {
    fn band(&self) -> Option<usize> {
        self.waiting.first().map(|((band, _), _)| usize::from(*band).min(BANDS - 1))
    }
}

#[derive(Debug, Default)]
struct Group {
    share: f64,
    members: usize,
    turn: Turn,
    served: Turn,
    waiting: [BTreeSet<(Turn, usize)>; BANDS],
}

impl Group {
    fn is_idle(&self) -> bool {
        self.waiting.iter().all(BTreeSet::is_empty)
    }
}

/// The place of a member in the order, from which [`FairQueue::next`] goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    band: usize,
    group: (Turn, u64),
    member: (Turn, usize),
}

impl Cursor {
    /// The member.
    pub fn member(&self) -> usize {
        self.member.1
    }
}

/// What waits, by member.
#[derive(Debug, Default)]
pub struct FairQueue {
    members: Vec<Option<Member>>,
    groups: BTreeMap<u64, Group>,
    order: [BTreeSet<(Turn, u64)>; BANDS],
    served: Turn,
}

impl FairQueue {
    /// Adds a member, or gives it another share or group; `share` is its part of the whole, `group` the
    /// number of its group. What waits goes on waiting. Under another share the work by which the member, and
    /// its group, are ahead of others stays the same, and so does not weigh for ever once a share has been tiny.
    pub fn set(&mut self, member: usize, group: Option<u64>, share: f64) {
        let group = group.map_or(2 * member as u64, |number| 2 * number + 1);
        let share = share.max(LEAST_SHARE);
        if let Some(old) = self.members.get_mut(member).and_then(Option::as_mut)
            && old.group == group
        {
            return self.reshare(member, share);
        }
        let waiting = self.remove(member);
        self.members.resize_with(self.members.len().max(member + 1), || None);
        let into = self.groups.entry(group).or_default();
        into.members += 1;
        // In another group it starts as one that has been idle there.
        let turn = into.served;
        self.grow(group, share);
        self.members[member] = Some(Member { group, share, turn, waiting: BTreeSet::new() });
        for (rank, id) in waiting {
            self.push(member, rank, id);
        }
    }

    /// Forgets a member; gives what it had waiting.
    pub fn remove(&mut self, member: usize) -> BTreeSet<(Rank, u64)> {
        let Some(mut old) = self.members.get_mut(member).and_then(Option::take) else {
            return BTreeSet::new();
        };
        self.place(member, &old, old.band(), None);
        self.grow(old.group, -old.share);
        if let Some(group) = self.groups.get_mut(&old.group) {
            group.members -= 1;
            if group.members == 0 {
                self.groups.remove(&old.group);
            }
        }
        std::mem::take(&mut old.waiting)
    }

    fn reshare(&mut self, number: usize, share: f64) {
        let Some(mut member) = self.members.get_mut(number).and_then(Option::take) else { return };
        let band = member.band();
        self.place(number, &member, band, None);
        let old = std::mem::replace(&mut member.share, share);
        if let Some(group) = self.groups.get(&member.group) {
            member.turn = member.turn.scaled(group.served, old / share);
        }
        self.grow(member.group, share - old);
        self.place(number, &member, None, band);
        self.members[number] = Some(member);
    }

    /// Adds to a group's share.
    fn grow(&mut self, id: u64, by: f64) {
        let served = self.served;
        self.rekey(id, |group| {
            let old = group.share;
            group.share = (old + by).max(0.0);
            if old >= LEAST_SHARE && group.share >= LEAST_SHARE {
                group.turn = group.turn.scaled(served, old / group.share);
            }
        });
    }

    /// Changes a group, and its places in the order with it.
    fn rekey(&mut self, id: u64, change: impl FnOnce(&mut Group)) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        let before = group.turn;
        change(group);
        for (band, _) in group.waiting.iter().enumerate().filter(|(_, waiting)| !waiting.is_empty()) {
            self.order[band].remove(&(before, id));
            self.order[band].insert((group.turn, id));
        }
    }

    /// Puts in what a member has waiting; false where it waits already, or there is no such member.
    pub fn push(&mut self, member: usize, rank: Rank, id: u64) -> bool {
        self.change(member, |waiting| waiting.insert((rank, id)))
    }

    /// Takes out what a member had waiting; false where it had no such thing.
    pub fn take(&mut self, member: usize, rank: Rank, id: u64) -> bool {
        self.change(member, |waiting| waiting.remove(&(rank, id)))
    }

    fn change(&mut self, number: usize, make: impl FnOnce(&mut BTreeSet<(Rank, u64)>) -> bool) -> bool {
        // It is out of the table while its place among the others changes.
        let Some(mut member) = self.members.get_mut(number).and_then(Option::take) else { return false };
        let before = member.band();
        let made = make(&mut member.waiting);
        if before.is_none()
            && let Some(group) = self.groups.get_mut(&member.group)
        {
            member.turn = member.turn.max(group.served);
            if group.is_idle() {
                group.turn = group.turn.max(self.served);
            }
        }
        self.place(number, &member, before, member.band());
        self.members[number] = Some(member);
        made
    }

    /// Moves a member from one band to another.
    fn place(&mut self, number: usize, member: &Member, from: Option<usize>, to: Option<usize>) {
        let Some(group) = self.groups.get_mut(&member.group).filter(|_| from != to) else { return };
        if let Some(from) = from {
            group.waiting[from].remove(&(member.turn, number));
            if group.waiting[from].is_empty() {
                self.order[from].remove(&(group.turn, member.group));
            }
        }
        if let Some(to) = to {
            if group.waiting[to].is_empty() {
                self.order[to].insert((group.turn, member.group));
            }
            group.waiting[to].insert((member.turn, number));
        }
    }

    /// The member whose turn comes after a place, or the first of all.
    pub fn next(&self, after: Option<Cursor>) -> Option<Cursor> {
        let first = |band: usize, group: (Turn, u64)| {
            let member = *self.groups.get(&group.1)?.waiting[band].first()?;
            Some(Cursor { band, group, member })
        };
        let mut from = 0;
        if let Some(place) = after {
            let group = self.groups.get(&place.group.1).map(|group| &group.waiting[place.band]);
            let inside = group.and_then(|group| group.range((Excluded(place.member), Unbounded)).next());
            if let Some(member) = inside {
                return Some(Cursor { member: *member, ..place });
            }
            let others = &self.order[place.band];
            if let Some(group) = others.range((Excluded(place.group), Unbounded)).next() {
                return first(place.band, *group);
            }
            from = place.band + 1;
        }
        (from..BANDS).find_map(|band| first(band, *self.order[band].first()?))
    }

    /// What a member has waiting, in order.
    pub fn waiting(&self, member: usize) -> impl Iterator<Item = u64> {
        let member = self.members.get(member).and_then(Option::as_ref);
        member.into_iter().flat_map(|member| member.waiting.iter().map(|(_, id)| *id))
    }

    /// All that waits, in the order of its ranks, whosever it is. Costs a sort of it; idle members cost nothing.
    pub fn sorted(&self) -> Vec<u64> {
        // Each member that waits stands in one band of its group: that of the first of what it has.
        let groups = self.order.iter().enumerate().flat_map(|(band, order)| {
            order.iter().filter_map(move |(_, id)| Some(&self.groups.get(id)?.waiting[band]))
        });
        let members = groups.flatten().filter_map(|(_, number)| self.members.get(*number)?.as_ref());
        let mut all: Vec<(Rank, u64)> = members.flat_map(|member| member.waiting.iter().copied()).collect();
        all.sort_unstable();
        all.into_iter().map(|(_, id)| id).collect()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.iter().all(BTreeSet::is_empty)
    }

    /// Charges work that was sent for a member to it and its group.
    pub fn charge(&mut self, number: usize, work: f64) {
        let Some(member) = self.members.get_mut(number).and_then(Option::as_mut) else { return };
        let Some(group) = self.groups.get_mut(&member.group) else { return };
        (self.served, group.served) = (self.served.max(group.turn), group.served.max(member.turn));
        let (id, before) = (member.group, member.turn);
        member.turn.0 += work / member.share;
        if let Some(band) = member.band() {
            group.waiting[band].remove(&(before, number));
            group.waiting[band].insert((member.turn, number));
        }
        self.rekey(id, |group| group.turn.0 += work / group.share.max(LEAST_SHARE));
    }
}
