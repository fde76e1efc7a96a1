//! Runs a random sequence of faults that a seed determines.

use super::{FaultKind, LEASE};
use crate::TestbedError;
use crate::fleet::{Fleet, Plan};
use crate::links::LinkFault;
use oorandom::Rand64;
use std::ops::Range;
use std::path::Path;
use std::time::{Duration, Instant};

/// Probability that a fault is injected into the lease holder, not into a random manager.
const HOLDER_PROBABILITY: f64 = 0.7;
/// Probability that all links lose, duplicate and delay messages during a fault, and the maximum fractions of lost and
/// duplicated messages.
const LINK_FAULT_PROBABILITY: f64 = 0.4;
const MAX_LOSS: f64 = 0.2;
const MAX_DUPLICATION: f64 = 0.2;
/// Probability that all connections are closed at the start of a fault.
const RESET_PROBABILITY: f64 = 0.3;
/// Duration of a fault, and time from its removal to the next fault (ms).
const FAULT_MS: Range<u64> = 50..4000;
const PAUSE_MS: Range<u64> = 50..2000;

/// The results of a sequence of faults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequenceSummary {
    /// Number of managers.
    pub managers: usize,
    /// Number of faults.
    pub faults: usize,
    /// Number of lease terms.
    pub grants: usize,
    /// Number of operations (backups) that took effect.
    pub operations: usize,
    /// The longest time without a holder (ms).
    pub longest_gap_ms: u64,
}

/// Injects and removes random faults in a fleet of processes for a duration, then checks the invariants. The seed
/// determines the faults and the number of managers.
///
/// # Errors
/// Fails if an invariant is violated, or the fleet cannot be started or called.
pub async fn run_sequence(
    binary: &Path,
    seed: u64,
    duration: Duration,
) -> Result<SequenceSummary, TestbedError> {
    let mut rng = Rand64::new(u128::from(seed));
    let managers = 3 + rng.rand_range(0..3) as usize;
    let plan = Plan { managers, seed, ..Plan::default() };
    let mut fleet = Fleet::start(binary, plan).await?;
    fleet.wait_for_holder(LEASE, None).await?;
    let start = Instant::now();
    let mut faults = 0;
    while start.elapsed() < duration {
        faults += 1;
        run_fault(&mut fleet, &mut rng).await?;
    }
    fleet.wait_for_holder(LEASE, None).await?;
    check(&fleet, seed, faults)
}

/// Injects one fault, removes it after a random time, and pauses.
async fn run_fault(fleet: &mut Fleet, rng: &mut Rand64) -> Result<(), TestbedError> {
    let kind = FaultKind::ALL[rng.rand_range(0..FaultKind::ALL.len() as u64) as usize];
    let is_of_holder = rng.rand_float() < HOLDER_PROBABILITY;
    let random_manager = rng.rand_range(0..fleet.size() as u64) as usize;
    let holder = fleet.holder(LEASE).await.filter(|_| is_of_holder);
    let manager = holder.unwrap_or(random_manager);
    if rng.rand_float() < LINK_FAULT_PROBABILITY {
        let loss = MAX_LOSS * rng.rand_float();
        let duplication = MAX_DUPLICATION * rng.rand_float();
        let jitter_ms = rng.rand_range(1..100);
        fleet.set_all_links(LinkFault { delay_ms: 1, jitter_ms, loss, duplication, ..LinkFault::default() });
    }
    if rng.rand_float() < RESET_PROBABILITY {
        fleet.links.reset();
    }
    kind.inject(fleet, manager).await?;
    tokio::time::sleep(Duration::from_millis(rng.rand_range(FAULT_MS))).await;
    kind.remove(fleet, manager).await?;
    fleet.links.clear_faults();
    tokio::time::sleep(Duration::from_millis(rng.rand_range(PAUSE_MS))).await;
    Ok(())
}

/// Checks the history of the fleet, and that there are at least as many backups as were logged.
fn check(fleet: &Fleet, seed: u64, faults: usize) -> Result<SequenceSummary, TestbedError> {
    let step = format!("seed {seed}");
    let history = fleet.history()?;
    history.check().map_err(|violation| TestbedError::step(&step, violation.to_string()))?;
    let applied_operations = history.applied_operations();
    let backups = fleet.backups()?;
    // A manager that was killed between a backup and its log line leaves a backup that is not in its log.
    if backups.len() < applied_operations.len() {
        let reason = format!("found {} backups, but {} were logged", backups.len(), applied_operations.len());
        return Err(TestbedError::step(&step, reason));
    }
    Ok(SequenceSummary {
        managers: fleet.size(),
        faults,
        grants: history.lease_terms().len(),
        operations: applied_operations.len(),
        longest_gap_ms: history.gaps_us(LEASE).into_iter().max().unwrap_or(0) / 1000,
    })
}
