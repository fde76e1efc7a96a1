use super::*;
use std::collections::BTreeMap;

/// A disk that is memory alone.
struct Memory(Kept);

impl Disk for Memory {
    fn keep(&mut self, batch: &Batch) -> Result<(), String> {
        self.0.take(batch).map_err(|error| error.to_string())
    }
}

/// Voters whose ticks fall together, and whose messages take one tick.
#[derive(Default)]
struct Group {
    voters: BTreeMap<u64, (Voter, Memory)>,
    on_the_way: Vec<(u64, Vec<u8>)>,
}

impl Group {
    fn join(&mut self, id: u64, of: &[u64]) {
        let voters = of.iter().map(|id| (*id, format!("m{id}"))).collect();
        let kept = Kept::first(&Table { voters, ..Table::default() }).unwrap();
        self.voters.insert(id, (Voter::start(id, &kept, true).unwrap(), Memory(kept)));
    }

    fn tick(&mut self) {
        for (to, message) in std::mem::take(&mut self.on_the_way) {
            if let Some((voter, _)) = self.voters.get_mut(&to) {
                let _refused = voter.step(&message);
            }
        }
        for (voter, disk) in self.voters.values_mut() {
            voter.tick();
            self.on_the_way.extend(voter.turn(disk).unwrap().messages);
        }
    }

    /// Ticks until it holds; how many there were.
    fn until(&mut self, what: &str, holds: impl Fn(&Group) -> bool) -> usize {
        let ticks = (0..1000).find(|_| {
            self.tick();
            holds(self)
        });
        ticks.unwrap_or_else(|| panic!("1000 ticks, and not: {what}"))
    }

    fn voter(&mut self, id: u64) -> &mut Voter {
        &mut self.voters.get_mut(&id).unwrap().0
    }

    fn leader(&self) -> Option<u64> {
        self.voters.iter().find(|(_, (voter, _))| voter.leads()).map(|(id, _)| *id)
    }
}

/// Guards against two voters that stand for election at the same tick for ever: one waits by the place that it had in
/// the group of its start, the other was let in since.
#[test]
fn one_that_was_let_in_and_another_do_not_stand_for_election_at_once() {
    let mut group = Group::default();
    let (lost, leader, other, new) = (10, 20, 30, 5);
    [lost, leader, other].into_iter().for_each(|id| group.join(id, &[lost, leader, other]));
    group.until("somebody leads", |group| group.leader().is_some());
    let first = group.leader().unwrap();
    group.voter(first).hand_lead_to(leader);
    group.until("the one that is to go leads", |group| group.leader() == Some(leader));
    group.voters.remove(&lost);
    group.voter(leader).change_voters(lost, None).unwrap();
    group.until("the lost one is out", |group| !group.voters[&other].0.table().voters.contains_key(&lost));
    group.voter(leader).change_voters(new, Some("m0")).unwrap();
    group.join(new, &[leader, other]);
    assert!(!group.voters[&new].0.is_member(), "it knows nothing of the group that let it in");
    group.until("all know the new one", |group| {
        group.voters.values().all(|(voter, _)| voter.table().voters.contains_key(&new))
    });
    assert!(group.voters[&new].0.is_member());
    group.voters.remove(&leader);
    let ticks = group.until("one of two leads", |group| group.leader().is_some());
    assert!(ticks <= TICKS.0 + 3 * APART + 4, "{ticks} ticks: one election");
}
