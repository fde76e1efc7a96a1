//! Periodic work of a node.

use super::message::PeerMessage;
use super::{Node, Output, VoterState};
use crate::lease_holder::Micros;
use crate::voter::TICK_US;
use std::net::SocketAddr;

/// Interval at which a node without a running voter polls a voter for a newer table, in microseconds.
const TABLE_POLL_INTERVAL_US: Micros = 250_000;
/// Interval at which a node that knows no other member contacts all seeds, in microseconds.
const JOIN_INTERVAL_US: Micros = 1_000_000;
/// Interval at which a node that knows other members contacts the next seed, in microseconds.
const REJOIN_INTERVAL_US: Micros = 5_000_000;
/// Interval at which a voter that has not joined a group sends its id to the other voters, in microseconds.
const DISCOVERY_INTERVAL_US: Micros = 250_000;

/// Times at which periodic work is due next, by this manager's clock.
pub(super) struct Schedule {
    pub(super) admission_at_us: Micros,
    discovery_at_us: Micros,
    join_at_us: Micros,
    table_poll_at_us: Micros,
    /// Time at which the last tick of the voter was due.
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
    /// Does the periodic work that is due at this time.
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
        // Seeds are contacted even if other members are known, because these may all be old incarnations, which do not
        // respond.
        self.next_seed_index = self.next_seed_index.wrapping_add(1);
        if !is_alone {
            let next = seeds.get(self.next_seed_index % seeds.len().max(1)).copied();
            seeds.retain(|seed| Some(*seed) == next);
        }
        for seed in seeds {
            self.membership.join(now, seed, &mut self.membership_events);
        }
    }

    /// Ticks the voter at most once per call. A voter that was suspended for long does not catch up on missed ticks, so
    /// its election timeout does not elapse at once.
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
