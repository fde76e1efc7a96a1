//! The state of the simulated fleet, and its events in order of virtual time.

use super::checks::HolderTracker;
use super::manager::{LocalClock, Manager, MemoryDisk, PermittedOperation};
use super::network::Network;
use super::{DisabledSafeguard, LEASE_US, LEASES, SimulationPlan, SimulationSummary, Violation};
use crate::lease::{Incarnation, LeaseTable};
use crate::lease_holder::{CLOCK_DRIFT_BOUND, Micros};
use crate::membership::Member;
use crate::node::{Input, Node, NodeConfig, VoterDisk};
use crate::voter::TICK_US;
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

/// Each manager starts at a random time below this value, in microseconds.
const START_WITHIN_US: Micros = 500_000;
/// Each clock starts at a random value below this one, in microseconds (about 13 days).
const MAX_CLOCK_OFFSET_US: u64 = 1 << 40;
/// Upper bound of the random probability that a message is lost, until the first fault that changes it.
const MAX_INITIAL_LOSS_PROBABILITY: f64 = 0.05;
/// Port of the manager with index 0. The port identifies a manager in the simulated network.
const FIRST_PORT: u16 = 20_000;
/// Number of zones, over which the managers are distributed in turn.
const ZONES: usize = 3;
/// Probability that a manager is suspended between its check of the clock and the operation.
const SLOW_OPERATION_PROBABILITY: f64 = 0.01;
/// Maximum time from the check of the clock until an operation reaches its resource, in microseconds, unless the
/// manager is suspended in between.
const MAX_OPERATION_US: Micros = 20_000;

/// An event of the simulation. Managers and leases are identified by their index.
#[derive(Debug, Clone)]
pub(super) enum Event {
    Tick { manager: usize },
    Message { from: usize, to: usize, bytes: Vec<u8> },
    Operation { lease: usize, fencing_token: u64 },
    Fault,
    Resume { manager: usize },
    Restart { manager: usize },
    RepairLink { from: usize, to: usize },
}

/// Events in order of their time. Events of the same time keep the order in which they were scheduled.
#[derive(Default)]
struct EventQueue {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    last_id: u64,
}

impl EventQueue {
    fn push(&mut self, at: Micros, event: Event) {
        self.last_id += 1;
        self.order.push(Reverse((at, self.last_id)));
        self.events.insert(self.last_id, event);
    }

    fn pop(&mut self) -> Option<(Micros, Event)> {
        let Reverse((at, id)) = self.order.pop()?;
        Some((at, self.events.remove(&id)?))
    }
}

/// State of the simulation.
pub(super) struct SimulatedFleet {
    pub(super) plan: SimulationPlan,
    pub(super) rng: Rand64,
    /// Current true time.
    pub(super) now: Micros,
    queue: EventQueue,
    pub(super) managers: Vec<Manager>,
    pub(super) network: Network,
    pub(super) holders: HolderTracker,
    /// The highest fencing token that the resource of each lease has accepted, by index of the lease.
    pub(super) highest_tokens: Vec<u64>,
    /// Recent tables of leaders, by log index.
    pub(super) tables: BTreeMap<u64, LeaseTable>,
    pub(super) summary: SimulationSummary,
}

fn address(manager: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + manager as u16))
}

/// Index of the manager at an address.
pub(super) fn manager_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

impl SimulatedFleet {
    pub(super) fn new(plan: SimulationPlan) -> SimulatedFleet {
        let mut rng = Rand64::new(u128::from(plan.seed));
        let network = Network::new(rng.rand_float() * MAX_INITIAL_LOSS_PROBABILITY);
        let mut fleet = SimulatedFleet {
            plan,
            rng,
            now: 0,
            queue: EventQueue::default(),
            managers: Vec::new(),
            network,
            holders: HolderTracker::new(),
            highest_tokens: vec![0; LEASES.len()],
            tables: BTreeMap::new(),
            summary: SimulationSummary::default(),
        };
        for index in 0..plan.managers {
            fleet.add_manager(index);
        }
        fleet.schedule_first_fault();
        fleet
    }

    fn add_manager(&mut self, index: usize) {
        // The id is sampled for each manager, so that the number of voters does not change the later random numbers.
        let voter_id = self.rng.rand_u64() | 1;
        let disk = (index < self.plan.voters).then(|| MemoryDisk::new(voter_id));
        let rate = 1.0 + CLOCK_DRIFT_BOUND * (2.0 * self.rng.rand_float() - 1.0);
        let offset_us = self.rng.rand_range(0..MAX_CLOCK_OFFSET_US);
        self.managers.push(Manager::new(disk, LocalClock { rate, offset_us }));
        let start_at = self.rng.rand_range(0..START_WITHIN_US);
        self.schedule_at(start_at, Event::Restart { manager: index });
    }

    /// Advances the time to the next event and returns it; `None` if no event is scheduled.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        let (at, event) = self.queue.pop()?;
        self.now = at;
        Some(event)
    }

    pub(super) fn schedule_at(&mut self, at: Micros, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    /// Schedules an event after a random delay in `min..max`, in microseconds.
    pub(super) fn schedule_after(&mut self, min: Micros, max: Micros, event: Event) {
        let after = self.rng.rand_range(min..max.max(min + 1));
        self.schedule_at(self.now + after, event);
    }

    /// Handles an event. Events of a suspended manager are deferred until it resumes.
    pub(super) fn handle(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Tick { manager } | Event::Message { to: manager, .. }
                if self.now < self.managers[manager].suspended_until =>
            {
                self.managers[manager].deferred_events.push(event);
            }
            Event::Tick { manager } => self.tick(manager)?,
            Event::Message { from, to, bytes } => {
                if !self.network.is_cut(from, to) {
                    self.input(to, Input::Message(&bytes))?;
                }
            }
            Event::Operation { lease, fencing_token } => self.accept_operation(lease, fencing_token)?,
            Event::Resume { manager } => self.resume(manager)?,
            Event::Restart { manager } => {
                if self.managers[manager].node.is_some() {
                    self.crash(manager);
                }
                self.restart(manager);
            }
            Event::RepairLink { from, to } => self.network.repair(from, to),
            Event::Fault => self.inject_fault(),
        }
        Ok(())
    }

    fn tick(&mut self, manager: usize) -> Result<(), Violation> {
        if self.managers[manager].node.is_none() {
            return Ok(());
        }
        self.input(manager, Input::Tick)?;
        self.begin_operations(manager);
        self.schedule_after(TICK_US * 9 / 10, TICK_US, Event::Tick { manager });
        Ok(())
    }

    /// Begins the operations that the leases of a manager permit now. Each operation reaches its resource after a
    /// delay, in which the lease may expire and another manager may acquire it.
    fn begin_operations(&mut self, manager: usize) {
        for PermittedOperation { lease, fencing_token } in
            self.managers[manager].permitted_operations(self.now)
        {
            let is_slow = self.rng.rand_float() < SLOW_OPERATION_PROBABILITY;
            let max_us = if is_slow { 4 * LEASE_US } else { MAX_OPERATION_US };
            self.schedule_after(0, max_us, Event::Operation { lease, fencing_token });
        }
    }

    fn resume(&mut self, manager: usize) -> Result<(), Violation> {
        if self.now >= self.managers[manager].suspended_until {
            for event in std::mem::take(&mut self.managers[manager].deferred_events) {
                self.handle(event)?;
            }
        }
        Ok(())
    }

    fn restart(&mut self, index: usize) {
        let seed = self.rng.rand_u64();
        let manager = &mut self.managers[index];
        manager.incarnation += 1;
        if let Some(disk) = &mut manager.disk {
            disk.set_full(false);
        }
        let local = Member {
            incarnation: Incarnation { name: format!("m{index}"), number: manager.incarnation },
            address: address(index),
            zone: format!("z{}", index % ZONES),
            rejoin_count: 0,
        };
        let config = NodeConfig {
            cluster: "simulated".to_owned(),
            local,
            seeds: (0..self.plan.voters).map(address).collect(),
            voters: (0..self.plan.voters).map(|voter| format!("m{voter}")).collect(),
            leases: LEASES.iter().map(|lease| ((*lease).to_owned(), LEASE_US)).collect(),
            seed,
        };
        let disk = manager.disk.as_ref().map(|disk| disk as &dyn VoterDisk);
        let node = Node::start(config, manager.clock.local_time(self.now), disk);
        manager.node = Some(match self.plan.disabled {
            DisabledSafeguard::Margin => node.without_safety_margin(),
            _ => node,
        });
        manager.suspended_until = 0;
        manager.deferred_events.clear();
        self.schedule_after(0, TICK_US, Event::Tick { manager: index });
    }

    pub(super) fn crash(&mut self, index: usize) {
        let manager = &mut self.managers[index];
        manager.node = None;
        manager.deferred_events.clear();
        if self.plan.disabled == DisabledSafeguard::Disk
            && let Some(disk) = &mut manager.disk
        {
            disk.revert_last_write();
        }
        // The leases of a manager that is down no longer count as held, because it begins no operation.
        self.holders.remove_manager(index);
        self.update_holder_gaps();
    }
}
