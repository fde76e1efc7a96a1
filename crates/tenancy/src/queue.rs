//! A queue that is fair among tenants: start-time fair queueing (Goyal, Vin and Cheng, 1996) on two levels, with priority
//! bands.
//!
//! Each member belongs to a group; a member without a group forms a group of its own. Work sent for a member advances the
//! group's start tag by the work divided by the group's share, and the member's start tag by the work divided by the
//! member's share. The group with the smallest tag is served first, and within it the member with the smallest tag. A
//! member that was idle resumes at the virtual time, so that it accumulates no credit while idle. The capacity that idle
//! members don't use goes to the other members of their group before it goes to other groups.
//!
//! Bands take precedence over tags: all requests of band 0 are served before any of band 1. A member's band is the band of
//! its first request. Finding the next member, pushing, taking and charging take time logarithmic in the number of queued
//! requests.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// The number of priority bands. A request with a higher band number is in the last band.
pub const BANDS: usize = 4;
/// The smallest share used for tags. It avoids a division by zero; a tenant without a share is served only when others
/// leave capacity.
const MIN_SHARE: f64 = 1e-7;

/// A request's rank in its tenant's queue: its band, then its order within the band. The smallest rank is first.
pub type Rank = (u8, i64);

/// A start tag: work divided by share, ordered by [`f64::total_cmp`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct StartTag(f64);

impl StartTag {
    /// The tag with its distance ahead of the virtual time multiplied by a factor. A tag that is not ahead is unchanged.
    fn scaled(self, virtual_time: StartTag, factor: f64) -> StartTag {
        if self > virtual_time { StartTag(virtual_time.0 + (self.0 - virtual_time.0) * factor) } else { self }
    }
}

impl Eq for StartTag {}
impl PartialOrd for StartTag {
    fn partial_cmp(&self, other: &StartTag) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for StartTag {
    fn cmp(&self, other: &StartTag) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Debug, Default)]
struct Member {
    group: u64,
    share: f64,
    tag: StartTag,
    queued: BTreeSet<(Rank, u64)>,
}

impl Member {
    fn band(&self) -> Option<usize> {
        self.queued.first().map(|((band, _), _)| usize::from(*band).min(BANDS - 1))
    }
}

#[derive(Debug, Default)]
struct Group {
    share: f64,
    members: usize,
    tag: StartTag,
    virtual_time: StartTag,
    queued: [BTreeSet<(StartTag, usize)>; BANDS],
}

impl Group {
    fn is_idle(&self) -> bool {
        self.queued.iter().all(BTreeSet::is_empty)
    }
}

/// The position of a member in the order of service, from which [`FairQueue::next`] continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    band: usize,
    group: (StartTag, u64),
    member: (StartTag, usize),
}

impl Cursor {
    /// The number of the member at this position, as passed to [`FairQueue::set`].
    pub fn member(&self) -> usize {
        self.member.1
    }
}

/// Queued requests by member, with the order in which members are served.
#[derive(Debug, Default)]
pub struct FairQueue {
    members: Vec<Option<Member>>,
    groups: BTreeMap<u64, Group>,
    order: [BTreeSet<(StartTag, u64)>; BANDS],
    virtual_time: StartTag,
}

impl FairQueue {
    /// Adds a member, or changes its share or group. `share` is its fraction of the whole, `group` the number of its
    /// group. Queued requests stay queued. When the share changes, the tags are rescaled so that the member and its group
    /// are ahead of others by the same amount of work as before. Otherwise work charged during a tiny share would delay
    /// the member indefinitely.
    pub fn set(&mut self, member: usize, group: Option<u64>, share: f64) {
        let group = group.map_or(2 * member as u64, |number| 2 * number + 1);
        let share = share.max(MIN_SHARE);
        if let Some(old) = self.members.get_mut(member).and_then(Option::as_mut)
            && old.group == group
        {
            return self.set_share(member, share);
        }
        let queued = self.remove(member);
        self.members.resize_with(self.members.len().max(member + 1), || None);
        let into = self.groups.entry(group).or_default();
        into.members += 1;
        // In a new group the member starts like one that was idle there.
        let tag = into.virtual_time;
        self.add_share(group, share);
        self.members[member] = Some(Member { group, share, tag, queued: BTreeSet::new() });
        for (rank, id) in queued {
            self.push(member, rank, id);
        }
    }

    /// Removes a member and returns its queued requests.
    pub fn remove(&mut self, member: usize) -> BTreeSet<(Rank, u64)> {
        let Some(mut old) = self.members.get_mut(member).and_then(Option::take) else {
            return BTreeSet::new();
        };
        self.move_band(member, &old, old.band(), None);
        self.add_share(old.group, -old.share);
        if let Some(group) = self.groups.get_mut(&old.group) {
            group.members -= 1;
            if group.members == 0 {
                self.groups.remove(&old.group);
            }
        }
        std::mem::take(&mut old.queued)
    }

    fn set_share(&mut self, number: usize, share: f64) {
        let Some(mut member) = self.members.get_mut(number).and_then(Option::take) else { return };
        let band = member.band();
        self.move_band(number, &member, band, None);
        let old = std::mem::replace(&mut member.share, share);
        if let Some(group) = self.groups.get(&member.group) {
            member.tag = member.tag.scaled(group.virtual_time, old / share);
        }
        self.add_share(member.group, share - old);
        self.move_band(number, &member, None, band);
        self.members[number] = Some(member);
    }

    /// Adds `by`, which may be negative, to a group's share, and rescales the group's tag.
    fn add_share(&mut self, id: u64, by: f64) {
        let virtual_time = self.virtual_time;
        self.rekey(id, |group| {
            let old = group.share;
            group.share = (old + by).max(0.0);
            if old >= MIN_SHARE && group.share >= MIN_SHARE {
                group.tag = group.tag.scaled(virtual_time, old / group.share);
            }
        });
    }

    /// Applies a change to a group and updates the group's position in the order.
    fn rekey(&mut self, id: u64, change: impl FnOnce(&mut Group)) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        let before = group.tag;
        change(group);
        for (band, _) in group.queued.iter().enumerate().filter(|(_, queued)| !queued.is_empty()) {
            self.order[band].remove(&(before, id));
            self.order[band].insert((group.tag, id));
        }
    }

    /// Queues a request of a member. Returns false if it is queued already or the member does not exist.
    pub fn push(&mut self, member: usize, rank: Rank, id: u64) -> bool {
        self.change(member, |queued| queued.insert((rank, id)))
    }

    /// Removes a request from the queue. Returns false if it is not queued.
    pub fn take(&mut self, member: usize, rank: Rank, id: u64) -> bool {
        self.change(member, |queued| queued.remove(&(rank, id)))
    }

    fn change(&mut self, number: usize, make: impl FnOnce(&mut BTreeSet<(Rank, u64)>) -> bool) -> bool {
        // The member is taken out of the table while its position in the order changes.
        let Some(mut member) = self.members.get_mut(number).and_then(Option::take) else { return false };
        let before = member.band();
        let changed = make(&mut member.queued);
        if before.is_none()
            && let Some(group) = self.groups.get_mut(&member.group)
        {
            member.tag = member.tag.max(group.virtual_time);
            if group.is_idle() {
                group.tag = group.tag.max(self.virtual_time);
            }
        }
        self.move_band(number, &member, before, member.band());
        self.members[number] = Some(member);
        changed
    }

    /// Moves a member from one band of its group to another; `None` is no band, for a member with an empty queue.
    fn move_band(&mut self, number: usize, member: &Member, from: Option<usize>, to: Option<usize>) {
        let Some(group) = self.groups.get_mut(&member.group).filter(|_| from != to) else { return };
        if let Some(from) = from {
            group.queued[from].remove(&(member.tag, number));
            if group.queued[from].is_empty() {
                self.order[from].remove(&(group.tag, member.group));
            }
        }
        if let Some(to) = to {
            if group.queued[to].is_empty() {
                self.order[to].insert((group.tag, member.group));
            }
            group.queued[to].insert((member.tag, number));
        }
    }

    /// The next member after a position, or the first member if there is no position. `None` at the end of the order.
    pub fn next(&self, after: Option<Cursor>) -> Option<Cursor> {
        let first = |band: usize, group: (StartTag, u64)| {
            let member = *self.groups.get(&group.1)?.queued[band].first()?;
            Some(Cursor { band, group, member })
        };
        let mut from = 0;
        if let Some(cursor) = after {
            let group = self.groups.get(&cursor.group.1).map(|group| &group.queued[cursor.band]);
            let inside = group.and_then(|group| group.range((Excluded(cursor.member), Unbounded)).next());
            if let Some(member) = inside {
                return Some(Cursor { member: *member, ..cursor });
            }
            let others = &self.order[cursor.band];
            if let Some(group) = others.range((Excluded(cursor.group), Unbounded)).next() {
                return first(cursor.band, *group);
            }
            from = cursor.band + 1;
        }
        (from..BANDS).find_map(|band| first(band, *self.order[band].first()?))
    }

    /// The queued requests of a member in the order of their ranks.
    pub fn waiting(&self, member: usize) -> impl Iterator<Item = u64> {
        let member = self.members.get(member).and_then(Option::as_ref);
        member.into_iter().flat_map(|member| member.queued.iter().map(|(_, id)| *id))
    }

    /// All queued requests in the order of their ranks. Sorts the queued requests; idle members cost no time.
    pub fn sorted(&self) -> Vec<u64> {
        // Each member with queued requests is in exactly one band of its group, that of its first request.
        let groups = self.order.iter().enumerate().flat_map(|(band, order)| {
            order.iter().filter_map(move |(_, id)| Some(&self.groups.get(id)?.queued[band]))
        });
        let members = groups.flatten().filter_map(|(_, number)| self.members.get(*number)?.as_ref());
        let mut all: Vec<(Rank, u64)> = members.flat_map(|member| member.queued.iter().copied()).collect();
        all.sort_unstable();
        all.into_iter().map(|(_, id)| id).collect()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.order.iter().all(BTreeSet::is_empty)
    }

    /// Charges work that was sent for a member to the member and its group, and advances the virtual times.
    pub fn charge(&mut self, number: usize, work: f64) {
        let Some(member) = self.members.get_mut(number).and_then(Option::as_mut) else { return };
        let Some(group) = self.groups.get_mut(&member.group) else { return };
        self.virtual_time = self.virtual_time.max(group.tag);
        group.virtual_time = group.virtual_time.max(member.tag);
        let id = member.group;
        let before = member.tag;
        member.tag.0 += work / member.share;
        if let Some(band) = member.band() {
            group.queued[band].remove(&(before, number));
            group.queued[band].insert((member.tag, number));
        }
        self.rekey(id, |group| group.tag.0 += work / group.share.max(MIN_SHARE));
    }
}
