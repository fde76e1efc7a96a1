//! A fleet on virtual time, determined by a seed: real state machines with a simulated environment. Messages are lost,
//! delayed, duplicated, reordered, truncated, corrupted, and delivered again from incarnations that have ended; links
//! are cut in one direction or both; managers are suspended, crash, and restart with their files; disks are full; clocks
//! drift up to [`CLOCK_DRIFT_BOUND`](crate::lease_holder::CLOCK_DRIFT_BOUND) and start at any value.
//!
//! Checked all the time:
//!
//! - at no moment of true time do two managers hold one lease, each by its own clock;
//! - an act that a resource accepts never has a lower fencing token than one that it accepted before;
//! - voters that have applied the same entries have the same table;
//! - once all faults are over, each lease has a holder and all managers see each other within [`RECOVERY_TIMEOUT_US`].
//!
//! ```text
//!   manager  a manager with its clock and disk     network  loss, delay, corruption of messages
//!   fleet    events in order of virtual time       faults   what fails, and when
//!   checks   the invariants                        effects  what the managers do
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

/// How long after the last fault each lease has a holder again, and all managers see each other: the longest lease that
/// may have to expire (3 s), the time to find other members (a seed is asked each 5 s), and an election of the voters
/// (1 s). Of 10,000 seeds the slowest took 5.0 s.
pub const RECOVERY_TIMEOUT_US: Micros = 10_000_000;
/// Duration of the leases, in microseconds.
const LEASE_US: u64 = 3_000_000;
/// Names of the leases.
const LEASES: [&str; 2] = ["backup", "keeper"];
/// How long faults occur, in microseconds.
const FAULT_PERIOD_US: Micros = 60_000_000;

/// A safeguard that is disabled on purpose, to see that its absence is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledSafeguard {
    /// None: all safeguards are in place.
    None,
    /// The margin between the time that a holder counts and the time that others wait, and counting from before the
    /// request.
    Margin,
    /// The resource's check of the fencing token.
    Fencing,
    /// Durability: the last write is lost in a crash.
    Disk,
}

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub struct SimulationPlan {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of managers.
    pub managers: usize,
    /// Number of voters: the first managers.
    pub voters: usize,
    /// How long faults occur, in microseconds.
    pub fault_period_us: Micros,
    /// The safeguard that is disabled.
    pub disabled: DisabledSafeguard,
}

impl SimulationPlan {
    /// The fleet of a seed: 3 to 7 managers, of which 3 or 5 vote, and a minute of faults.
    pub fn from_seed(seed: u64, disabled: DisabledSafeguard) -> SimulationPlan {
        let managers = 3 + (seed % 5) as usize;
        let voters = if managers >= 5 && seed.is_multiple_of(2) { 5 } else { 3 };
        SimulationPlan { seed, managers, voters, fault_period_us: FAULT_PERIOD_US, disabled }
    }
}

/// Figures of a simulation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SimulationSummary {
    /// Acts that the resource accepted.
    pub operations: u64,
    /// Acts of a former holder that the resource rejected by their fencing token.
    pub fenced_operations: u64,
    /// Number of grants.
    pub grants: u64,
    /// Total time without a holder, over all leases, in microseconds of true time.
    pub without_holder_us: Micros,
    /// Longest time without a holder, in microseconds of true time.
    pub longest_without_holder_us: Micros,
    /// Number of sent messages.
    pub messages: u64,
    /// Their size, in bytes.
    pub message_bytes: u64,
    /// Time from the last fault until each lease had a holder, in microseconds.
    pub recovery_time_us: Micros,
}

/// An invariant that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two managers hold a lease.
    #[error("{lease}: m{manager} holds it, and m{other} does under {other_token} for {remaining_us} us more")]
    TwoHolders {
        /// Name of the lease.
        lease: &'static str,
        /// The manager that acquired or extended it.
        manager: usize,
        /// The other holder.
        other: usize,
        /// Fencing token of the other holder.
        other_token: u64,
        /// Remaining time of the other holder's lease, in microseconds.
        remaining_us: Micros,
    },
    /// The resource accepted an act with a lower fencing token than one before.
    #[error("{lease}: act {fencing_token} was accepted after {highest}")]
    StaleOperation {
        /// Name of the lease.
        lease: &'static str,
        /// Fencing token of the act.
        fencing_token: u64,
        /// The highest fencing token before.
        highest: u64,
    },
    /// Two leaders have different tables at one log index.
    #[error("two tables at log index {index}")]
    DivergentTables {
        /// The log index.
        index: u64,
    },
}

/// Why a simulation failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SimulationError {
    /// An invariant did not hold.
    #[error("at {:.3} s: {violation}", *at_us as f64 / 1e6)]
    Violation {
        /// When, in microseconds of true time.
        at_us: Micros,
        /// The invariant.
        violation: Violation,
    },
    /// The fleet did not recover from the faults in time.
    #[error(
        "{} s after the last fault a lease has no holder, or a manager does not see all others",
        RECOVERY_TIMEOUT_US / 1_000_000
    )]
    NotRecovered,
    /// No event was left.
    #[error("no event is left")]
    NoEvents,
}

/// Runs a simulation to its end.
///
/// # Errors
/// The invariant that did not hold, and when.
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
