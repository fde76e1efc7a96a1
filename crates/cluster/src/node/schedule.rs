//! What a node does as time passes.

use super::message::PeerMessage;
use super::{Node, Output, VoterState};
use crate::lease_holder::Micros;
use crate::voter::TICK_US;
use std::net::SocketAddr;

/// A node without a voter asks one for a newer table this often, in microseconds.
const TABLE_POLL_INTERVAL_US: Micros = 250_000;
/// A node that knows no other member asks all seeds for admission this often, in microseconds.
const JOIN_INTERVAL_US: Micros = 1_000_000;
/// A node that knows other members asks one seed after another this often, in microseconds.
const REJOIN_INTERVAL_US: Micros = 5_000_000;
/// A voter of a group that is not founded sends its id to the others this often, in microseconds.
const DISCOVERY_INTERVAL_US: Micros = 250_000;

/// When something is to be done next, by this manager's clock.
pub(super) struct Schedule {
    pub(super) admission_at_us: Micros,
    discovery_at_us: Micros,
    join_at_us: Micros,
    table_poll_at_us: Micros,
    /// When the voter's last tick was due.
    voter_ticked_at_us: Micros,
}

impl Schedule {
    pub(super) fn new(now: Micros) -> Schedule {
        Schedule {
            admission_at_us: now,
            discovery_at_us: now,
            join_at_us: now,
            table_poll_at_us: now,
            voter_ticked_at_us: now,
        }
    }
}

impl Node {
    /// Time has passed.
    pub(super) fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.membership.tick(now, &mut self.membership_events);
        if now >= self.schedule.join_at_us {
            self.join_seeds(now);
        }
        self.tick_voter(now);
        if now >= self.schedule.discovery_at_us {
            self.send_discovery(now, out);
        }
        if now >= self.schedule.table_poll_at_us && self.voter_state.active().is_none() {
            self.poll_table(now, out);
        }
        self.advance_admission(now);
        self.holder.tick(now, &mut self.lease_effects);
    }

    fn join_seeds(&mut self, now: Micros) {
        let is_alone = self.membership.others().next().is_none();
        self.schedule.join_at_us = now + if is_alone { JOIN_INTERVAL_US } else { REJOIN_INTERVAL_US };
        let local = self.config.local.address;
        let mut seeds: Vec<SocketAddr> =
            self.config.seeds.iter().copied().filter(|seed| *seed != local).collect();
        // Also with other members: it may be that only old incarnations are known, which do not respond.
        self.next_seed_index = self.next_seed_index.wrapping_add(1);
        if !is_alone {
            let next = seeds.get(self.next_seed_index % seeds.len().max(1)).copied();
            seeds.retain(|seed| Some(*seed) == next);
        }
        for seed in seeds {
            self.membership.join(now, seed, &mut self.membership_events);
        }
    }

    /// A voter that was suspended for long does not make up for missed ticks: its election timeout starts anew.
    fn tick_voter(&mut self, now: Micros) {
        let VoterState::Active(voter) = &mut self.voter_state else { return };
        let ticked_at_us = self.schedule.voter_ticked_at_us;
        let elapsed_us = now - ticked_at_us;
        if elapsed_us >= TICK_US {
            voter.tick();
            self.schedule.voter_ticked_at_us = now.max(ticked_at_us + TICK_US) - elapsed_us % TICK_US;
        }
    }

    fn send_discovery(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_waiting = matches!(self.voter_state, VoterState::Forming(_) | VoterState::Disabled { .. });
        let Some(identity) = &self.voter_identity else { return };
        if !is_waiting || identity.founded {
            return;
        }
        self.schedule.discovery_at_us = now + DISCOVERY_INTERVAL_US;
        let id = identity.id;
        let local_name = &self.local_incarnation().name;
        let others: Vec<SocketAddr> = self
            .config
            .voters
            .iter()
            .filter(|name| *name != local_name)
            .filter_map(|name| self.membership.address_of(name))
            .collect();
        for other in others {
            self.send(other, PeerMessage::Discovery { id, voters: None }, out);
        }
    }

    fn poll_table(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.schedule.table_poll_at_us = now + TABLE_POLL_INTERVAL_US;
        if let Some(voter) = self.next_voter() {
            self.send(voter, PeerMessage::TablePoll { index: self.holder.table().index }, out);
        }
    }
}
