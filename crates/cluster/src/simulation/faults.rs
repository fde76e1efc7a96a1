//! Random faults: cut links, partitions, suspensions, crashes, full disks and message loss.

use super::fleet::{Event, SimulatedFleet};
use super::network::MAX_LOSS_PROBABILITY;
use crate::lease_holder::Micros;

/// Time of the first fault, in microseconds since the start.
const FIRST_FAULT_US: std::ops::Range<u64> = 2_000_000..8_000_000;
/// Time between two faults, in microseconds.
const FAULT_INTERVAL_US: std::ops::Range<u64> = 200_000..4_000_000;
/// Minimum duration of a cut of a link, in microseconds.
const MIN_CUT_US: Micros = 100_000;
/// Maximum duration of the cut of one link or the isolation of one manager, in microseconds.
const MAX_CUT_US: Micros = 10_000_000;
/// Maximum duration of a partition of the fleet, in microseconds.
const MAX_PARTITION_US: Micros = 6_000_000;
/// Maximum duration of a suspension, in microseconds.
const MAX_SUSPENSION_US: Micros = 10_000_000;
/// Maximum time from a crash until the manager restarts, in microseconds.
const MAX_DOWNTIME_US: Micros = 5_000_000;
/// Maximum time from the moment that a disk is full until its manager restarts, in microseconds.
const MAX_DISK_FULL_US: Micros = 8_000_000;
/// Probability that a suspension affects a manager that holds a lease, if there is one, instead of a random manager.
const SUSPEND_HOLDER_PROBABILITY: f64 = 0.7;
/// Bits of the directions in which a manager is isolated.
const OUTBOUND: u64 = 1;
const INBOUND: u64 = 2;

impl SimulatedFleet {
    pub(super) fn schedule_first_fault(&mut self) {
        let at = self.rng.rand_range(FIRST_FAULT_US);
        self.schedule_at(at, Event::Fault);
    }

    /// Injects a random fault, and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let count = self.managers.len() as u64;
        let manager = self.rng.rand_range(0..count) as usize;
        let other = self.rng.rand_range(0..count) as usize;
        let kind = self.rng.rand_range(0..9);
        let is_up = self.managers[manager].node.is_some();
        let has_state = self.managers[manager].disk.as_ref().is_some_and(|disk| disk.is_initialized());
        match kind {
            0 if manager != other => self.cut_link(manager, other, MAX_CUT_US),
            1 => self.isolate(manager),
            2 => self.partition(),
            3 | 4 => self.suspend(manager),
            5 | 6 if is_up => {
                self.crash(manager);
                let max_us = MAX_DOWNTIME_US.min(self.remaining_us());
                self.schedule_after(0, max_us, Event::Restart { manager });
            }
            7 if has_state => self.fill_disk(manager),
            _ => self.network.loss_probability = self.rng.rand_float() * MAX_LOSS_PROBABILITY,
        }
        let next = self.now + self.rng.rand_range(FAULT_INTERVAL_US);
        if next < self.plan.fault_period_us {
            self.schedule_at(next, Event::Fault);
        } else {
            self.network.loss_probability = 0.0;
        }
    }

    /// Remaining time during which faults occur, in microseconds, at least 1. No fault lasts longer.
    fn remaining_us(&self) -> Micros {
        self.plan.fault_period_us.saturating_sub(self.now).max(1)
    }

    fn cut_link(&mut self, from: usize, to: usize, max_us: Micros) {
        self.network.cut(from, to);
        let remaining_us = self.remaining_us();
        let min_us = MIN_CUT_US.min(remaining_us - 1);
        self.schedule_after(min_us, max_us.min(remaining_us), Event::RepairLink { from, to });
    }

    /// Cuts the links between one manager and all others, in one direction or both.
    fn isolate(&mut self, manager: usize) {
        let directions = self.rng.rand_range(OUTBOUND..(OUTBOUND | INBOUND) + 1);
        for peer in (0..self.managers.len()).filter(|peer| *peer != manager) {
            if directions & OUTBOUND != 0 {
                self.cut_link(manager, peer, MAX_CUT_US);
            }
            if directions & INBOUND != 0 {
                self.cut_link(peer, manager, MAX_CUT_US);
            }
        }
    }

    /// Partitions the fleet into two parts.
    fn partition(&mut self) {
        let count = self.managers.len();
        let parts: Vec<bool> = (0..count).map(|_| self.rng.rand_float() < 0.5).collect();
        for from in 0..count {
            for to in 0..count {
                if parts[from] != parts[to] {
                    self.cut_link(from, to, MAX_PARTITION_US);
                }
            }
        }
    }

    /// Suspends a manager, with [`SUSPEND_HOLDER_PROBABILITY`] one that holds a lease.
    fn suspend(&mut self, manager: usize) {
        let holder = self.holders.first_holder();
        let manager =
            holder.filter(|_| self.rng.rand_float() < SUSPEND_HOLDER_PROBABILITY).unwrap_or(manager);
        let max_us = MAX_SUSPENSION_US.min(self.remaining_us());
        let until = self.now + self.rng.rand_range(0..max_us);
        self.managers[manager].suspended_until = until;
        self.schedule_at(until, Event::Resume { manager });
    }

    /// Fills the disk of a manager. The restart stands for an operator who frees space and restarts the manager.
    fn fill_disk(&mut self, manager: usize) {
        if let Some(disk) = &mut self.managers[manager].disk {
            disk.set_full(true);
        }
        let max_us = MAX_DISK_FULL_US.min(self.remaining_us());
        self.schedule_after(0, max_us, Event::Restart { manager });
    }
}
