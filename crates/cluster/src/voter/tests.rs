use super::*;
use std::collections::BTreeMap;

/// A disk that holds its state in memory.
struct MemoryDisk(PersistedState);

impl Disk for MemoryDisk {
    fn persist(&mut self, batch: &PersistBatch) -> Result<(), String> {
        self.0.apply(batch).map_err(|error| error.to_string())
    }
}

/// Voters that tick at the same time. A message is delivered one tick after it was sent.
#[derive(Default)]
struct Group {
    voters: BTreeMap<u64, (Voter, MemoryDisk)>,
    in_flight: Vec<VoterMessage>,
}

impl Group {
    fn join(&mut self, id: u64, group: &[u64]) {
        let voters = group.iter().map(|id| (*id, format!("m{id}"))).collect();
        let state = PersistedState::initial(&LeaseTable { voters, ..LeaseTable::default() }).unwrap();
        self.voters.insert(id, (Voter::start(id, &state).unwrap(), MemoryDisk(state)));
    }

    fn tick(&mut self) {
        for message in std::mem::take(&mut self.in_flight) {
            if let Some((voter, _)) = self.voters.get_mut(&message.to) {
                let _rejected = voter.step(&message.bytes);
            }
        }
        for (voter, disk) in self.voters.values_mut() {
            voter.tick();
            self.in_flight.extend(voter.process_ready(disk).unwrap().messages);
        }
    }

    /// Ticks until the condition holds, at most 1000 times. Returns the number of ticks before the last one.
    fn tick_until(&mut self, condition: &str, holds: impl Fn(&Group) -> bool) -> usize {
        let ticks = (0..1000).find(|_| {
            self.tick();
            holds(self)
        });
        ticks.unwrap_or_else(|| panic!("not within 1000 ticks: {condition}"))
    }

    fn voter(&mut self, id: u64) -> &mut Voter {
        &mut self.voters.get_mut(&id).unwrap().0
    }

    fn leader(&self) -> Option<u64> {
        self.voters.iter().find(|(_, (voter, _))| voter.is_leader()).map(|(id, _)| *id)
    }
}

/// Guards against two voters with equal election timeouts, which would split the vote in every election. This happens
/// if a voter derives its timeout from its position in the group at its own start, and another voter is admitted later.
#[test]
fn a_newly_admitted_voter_and_an_older_one_have_different_election_timeouts() {
    let mut group = Group::default();
    let (lost, leader, other, new) = (10, 20, 30, 5);
    [lost, leader, other].into_iter().for_each(|id| group.join(id, &[lost, leader, other]));
    group.tick_until("there is a leader", |group| group.leader().is_some());
    let first_leader = group.leader().unwrap();
    group.voter(first_leader).transfer_leadership(leader);
    group.tick_until("the voter that will be removed is the leader", |group| group.leader() == Some(leader));
    group.voters.remove(&lost);
    group.voter(leader).remove_voter(lost).unwrap();
    group.tick_until("the lost voter is removed", |group| {
        !group.voters[&other].0.table().voters.contains_key(&lost)
    });
    group.voter(leader).add_voter(new, "m0").unwrap();
    group.join(new, &[leader, other]);
    assert!(!group.voters[&new].0.is_member(), "it has not received the log entry of its admission yet");
    group.tick_until("all voters have applied the admission", |group| {
        group.voters.values().all(|(voter, _)| voter.table().voters.contains_key(&new))
    });
    assert!(group.voters[&new].0.is_member());
    group.voters.remove(&leader);
    let ticks = group.tick_until("one of the remaining two is the leader", |group| group.leader().is_some());
    assert!(
        ticks <= ELECTION_TIMEOUT_TICKS + 3 * ELECTION_STAGGER_TICKS + 4,
        "{ticks} ticks, more than one election takes"
    );
}
