//! The simulated network between managers, which loses, delays, duplicates, replays and corrupts messages.

use super::fleet::{Event, SimulatedFleet, manager_at};
use crate::lease_holder::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Upper bound of the random probability that a message is lost, after a fault that changes it.
pub(super) const MAX_LOSS_PROBABILITY: f64 = 0.3;
/// Probability that a message is delivered twice.
const DUPLICATE_PROBABILITY: f64 = 0.02;
/// Probability that a message is delivered with a delay of up to [`MAX_LATE_DELAY_US`].
const LATE_PROBABILITY: f64 = 0.02;
/// Minimum delay of a message, in microseconds.
const MIN_DELAY_US: Micros = 100;
/// Maximum delay of a message that is not late, in microseconds.
const MAX_DELAY_US: Micros = 5_000;
/// Maximum delay of a late message, in microseconds.
const MAX_LATE_DELAY_US: Micros = 2_000_000;
/// Probability that a message is replayed: delivered once more, long after it was sent.
const REPLAY_PROBABILITY: f64 = 0.005;
/// Minimum delay of a replayed message, in microseconds.
const MIN_REPLAY_DELAY_US: Micros = 1_000_000;
/// Maximum delay of a replayed message, in microseconds.
const MAX_REPLAY_DELAY_US: Micros = 30_000_000;
/// Probability that a message is truncated or corrupted.
const CORRUPTION_PROBABILITY: f64 = 0.005;

/// State of the links.
pub(super) struct Network {
    /// Probability that a message is lost.
    pub(super) loss_probability: f64,
    /// Number of faults that currently cut each link, by sender and recipient. A link works again once all have ended.
    cuts: BTreeMap<(usize, usize), u32>,
}

impl Network {
    pub(super) fn new(loss_probability: f64) -> Network {
        Network { loss_probability, cuts: BTreeMap::new() }
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    pub(super) fn cut(&mut self, from: usize, to: usize) {
        *self.cuts.entry((from, to)).or_default() += 1;
    }

    /// Ends one of the cuts of a link.
    pub(super) fn repair(&mut self, from: usize, to: usize) {
        if let Some(count) = self.cuts.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.cuts.remove(&(from, to));
            }
        }
    }
}

impl SimulatedFleet {
    /// Sends a message over the network: schedules its delivery, unless the message is lost.
    pub(super) fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.summary.messages += 1;
        self.summary.message_bytes += bytes.len() as u64;
        let to = manager_at(to);
        let copies = if self.rng.rand_float() < DUPLICATE_PROBABILITY { 2 } else { 1 };
        self.replay(from, to, &bytes);
        let bytes = self.corrupt(bytes);
        for _ in 0..copies {
            let is_lost = self.rng.rand_float() < self.network.loss_probability;
            if !is_lost && to < self.managers.len() {
                let is_late = self.rng.rand_float() < LATE_PROBABILITY;
                let max_us = if is_late { MAX_LATE_DELAY_US } else { MAX_DELAY_US };
                let event = Event::Message { from, to, bytes: bytes.clone() };
                self.schedule_after(MIN_DELAY_US, max_us, event);
            }
        }
    }

    /// With [`REPLAY_PROBABILITY`], schedules another delivery of a message long after it was sent. The sending
    /// incarnation may have ended by then.
    fn replay(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if self.rng.rand_float() < REPLAY_PROBABILITY && to < self.managers.len() {
            let event = Event::Message { from, to, bytes: bytes.to_vec() };
            self.schedule_after(MIN_REPLAY_DELAY_US, MAX_REPLAY_DELAY_US, event);
        }
    }

    /// With [`CORRUPTION_PROBABILITY`], truncates a message or flips one of its bits.
    fn corrupt(&mut self, mut bytes: Vec<u8>) -> Vec<u8> {
        if self.rng.rand_float() < CORRUPTION_PROBABILITY {
            let position = self.rng.rand_range(0..bytes.len() as u64) as usize;
            if self.rng.rand_float() < 0.5 {
                bytes.truncate(position);
            } else {
                bytes[position] ^= 1 << self.rng.rand_range(0..8);
            }
        }
        bytes
    }
}
