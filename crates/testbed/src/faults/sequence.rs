//! A random sequence of faults from a seed.

use super::{FaultKind, LEASE};
use crate::TestbedError;
use crate::fleet::{Fleet, Plan};
use crate::links::LinkFault;
use oorandom::Rand64;
use std::ops::Range;
use std::path::Path;
use std::time::{Duration, Instant};

/// Probability that a fault is that of the lease holder, not that of a random manager.
const HOLDER_PROBABILITY: f64 = 0.7;
/// Probability that all links lose, duplicate and delay messages during a fault, and the maximum fractions.
const LINK_FAULT_PROBABILITY: f64 = 0.4;
const MAX_LOSS: f64 = 0.2;
const MAX_DUPLICATION: f64 = 0.2;
/// Probability that all connections are closed at the start of a fault.
const RESET_PROBABILITY: f64 = 0.3;
/// How long a fault lasts, and the time to the next one (ms).
const FAULT_MS: Range<u64> = 50..4000;
const PAUSE_MS: Range<u64> = 50..2000;

/// What a sequence of faults showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequenceSummary {
    /// Number of managers.
    pub managers: usize,
    /// Number of faults.
    pub faults: usize,
    /// Number of grants of the lease.
    pub grants: usize,
    /// Number of acts that took effect.
    pub acts: usize,
    /// The longest time without a holder (ms).
    pub longest_gap_ms: u64,
}

/// Injects faults from a seed into a fleet of processes for a duration, then removes all and checks the invariants.
///
/// # Errors
/// The invariant that does not hold, or what could not be run.
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

/// Injects and removes one fault.
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

/// Checks the history of the fleet, and that there is a backup for each that was logged.
fn check(fleet: &Fleet, seed: u64, faults: usize) -> Result<SequenceSummary, TestbedError> {
    let step = format!("seed {seed}");
    let history = fleet.history()?;
    history.check().map_err(|violation| TestbedError::step(&step, violation.to_string()))?;
    let applied_operations = history.applied_operations();
    let backups = fleet.backups()?;
    // A manager that was killed between an act and its log line has made a backup that is not in its log.
    if backups.len() < applied_operations.len() {
        let reason = format!("{} backups of {} are there", backups.len(), applied_operations.len());
        return Err(TestbedError::step(&step, reason));
    }
    Ok(SequenceSummary {
        managers: fleet.size(),
        faults,
        grants: history.lease_terms().len(),
        acts: applied_operations.len(),
        longest_gap_ms: history.gaps_us(LEASE).into_iter().max().unwrap_or(0) / 1000,
    })
}
