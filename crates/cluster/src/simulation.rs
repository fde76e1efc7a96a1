//! Deterministic simulation of a fleet on virtual time. The state machines are the real ones, their environment is
//! simulated, and a seed determines all random choices. Faults:
//!
//! - Messages are lost, delayed, duplicated, reordered, truncated, corrupted, and delivered again from incarnations that
//!   have ended.
//! - Links are cut in one direction or both.
//! - Managers are suspended, crash, and restart with their files.
//! - Disks are full.
//! - Clocks drift up to [`CLOCK_DRIFT_BOUND`](crate::lease_holder::CLOCK_DRIFT_BOUND) and start at any value.
//!
//! Invariants that are checked throughout the simulation:
//!
//! - At no moment of true time do two managers hold one lease, each by its own clock.
//! - A resource never accepts an operation whose fencing token is lower than that of an operation accepted before.
//! - Leaders have the same table at the same log index.
//! - Within [`RECOVERY_TIMEOUT_US`] after the last fault each lease has a holder, and all managers see each other.
//!
//! ```text
//!   manager  a manager with its clock and disk     network  loss, delay and corruption of messages
//!   fleet    events in order of virtual time       faults   random faults
//!   checks   lease holders and the invariants      effects  inputs of the nodes, effects of their outputs
//! ```

mod checks;
mod effects;
mod faults;
mod fleet;
mod manager;
mod network;

use crate::lease_holder::Micros;
use fleet::SimulatedFleet;
use thiserror::Error;

/// Maximum time from the last fault until each lease has a holder and all managers see each other, in microseconds. It
/// covers the expiry of a lease (3 s), the discovery of other members (one seed is contacted every 5 s), and an
/// election of the voters (1 s). The slowest of 10,000 seeds took 5.0 s.
pub const RECOVERY_TIMEOUT_US: Micros = 10_000_000;
/// Duration of each lease, in microseconds.
const LEASE_US: u64 = 3_000_000;
/// Names of the leases. The simulation refers to a lease by its index in this list.
const LEASES: [&str; 2] = ["backup", "keeper"];
/// Time during which faults occur, in microseconds, from the start of the simulation.
const FAULT_PERIOD_US: Micros = 60_000_000;

/// A safeguard that is disabled deliberately, to verify that the resulting violation is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledSafeguard {
    /// No safeguard is disabled.
    None,
    /// The margin of the lease holders: a holder counts its lease from the response instead of from the request, and
    /// others wait for exactly the lease duration.
    Margin,
    /// The check of the fencing token by the resource.
    Fencing,
    /// Durability of the disk: a crash reverts the last write.
    Disk,
}

/// Parameters of one simulation.
#[derive(Debug, Clone, Copy)]
pub struct SimulationPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of managers in the fleet.
    pub managers: usize,
    /// Number of voters. The managers with the lowest indexes are voters.
    pub voters: usize,
    /// Time during which faults occur, in microseconds, from the start of the simulation.
    pub fault_period_us: Micros,
    /// The safeguard that is deliberately missing.
    pub disabled: DisabledSafeguard,
}

impl SimulationPlan {
    /// Derives the plan from a seed: 3 to 7 managers, of which 3 or 5 are voters, and one minute of faults.
    pub fn from_seed(seed: u64, disabled: DisabledSafeguard) -> SimulationPlan {
        let managers = 3 + (seed % 5) as usize;
        let voters = if managers >= 5 && seed.is_multiple_of(2) { 5 } else { 3 };
        SimulationPlan { seed, managers, voters, fault_period_us: FAULT_PERIOD_US, disabled }
    }
}

/// Results of a simulation that violated no invariant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SimulationSummary {
    /// Number of operations that the resources accepted.
    pub operations: u64,
    /// Number of operations of former holders that the resources rejected because of their fencing token.
    pub fenced_operations: u64,
    /// Number of times that a manager acquired a lease.
    pub grants: u64,
    /// Total time without a holder, over all leases, in microseconds of true time.
    pub without_holder_us: Micros,
    /// Longest time during which one lease had no holder, in microseconds of true time.
    pub longest_without_holder_us: Micros,
    /// Number of messages that the managers sent, including lost ones.
    pub messages: u64,
    /// Total size of these messages, in bytes.
    pub message_bytes: u64,
    /// Time from the end of the faults until each lease had a holder and all managers saw each other, in microseconds.
    pub recovery_time_us: Micros,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two managers hold one lease at the same time.
    #[error("{lease}: m{manager} holds it, and m{other} does under {other_token} for {remaining_us} us more")]
    TwoHolders {
        /// Name of the lease.
        lease: &'static str,
        /// Index of the manager that acquired or extended the lease.
        manager: usize,
        /// Index of the other holder.
        other: usize,
        /// Fencing token of the other holder.
        other_token: u64,
        /// Time until the lease of the other holder expires, in microseconds of true time.
        remaining_us: Micros,
    },
    /// The resource accepted an operation whose fencing token is lower than that of an earlier one.
    #[error("{lease}: act {fencing_token} was accepted after {highest}")]
    StaleOperation {
        /// Name of the lease.
        lease: &'static str,
        /// Fencing token of the accepted operation.
        fencing_token: u64,
        /// The highest fencing token that the resource had accepted before.
        highest: u64,
    },
    /// Two leaders have different tables at the same log index.
    #[error("two tables at log index {index}")]
    DivergentTables {
        /// Log index of the tables.
        index: u64,
    },
}

/// Why a simulation failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SimulationError {
    /// An invariant was violated.
    #[error("at {:.3} s: {violation}", *at_us as f64 / 1e6)]
    Violation {
        /// Time of the violation, in microseconds of true time since the start.
        at_us: Micros,
        /// The violated invariant.
        violation: Violation,
    },
    /// The fleet did not recover within [`RECOVERY_TIMEOUT_US`] after the last fault.
    #[error(
        "{} s after the last fault a lease has no holder, or a manager does not see all others",
        RECOVERY_TIMEOUT_US / 1_000_000
    )]
    NotRecovered,
    /// The event queue became empty before the fleet recovered.
    #[error("no event is left")]
    NoEvents,
}

/// Runs a simulation until the fleet has recovered from all faults.
///
/// # Errors
/// If an invariant is violated, or the fleet does not recover in time.
pub fn run(plan: SimulationPlan) -> Result<SimulationSummary, SimulationError> {
    let mut fleet = SimulatedFleet::new(plan);
    let end_us = plan.fault_period_us + RECOVERY_TIMEOUT_US;
    while let Some(event) = fleet.next_event() {
        let at_us = fleet.now;
        if at_us > end_us {
            return Err(SimulationError::NotRecovered);
        }
        fleet.handle(event).map_err(|violation| SimulationError::Violation { at_us, violation })?;
        if at_us > plan.fault_period_us && fleet.has_recovered() {
            fleet.summary.recovery_time_us = at_us - plan.fault_period_us;
            return Ok(fleet.summary);
        }
    }
    Err(SimulationError::NoEvents)
}
