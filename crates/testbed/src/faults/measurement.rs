//! Measures how long a lease has no holder after each kind of fault of its holder.

use super::{FaultKind, LEASE};
use crate::TestbedError;
use crate::fleet::{Fleet, Plan};
use crate::report::{BarGroup, bars};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// The times without a holder for one kind of fault.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultGaps {
    /// The kind of fault.
    pub kind: FaultKind,
    /// Times without a holder (ms), ascending.
    pub gaps_ms: Vec<f64>,
}

impl FaultGaps {
    /// The shortest time (ms); NaN without any.
    pub fn shortest_ms(&self) -> f64 {
        self.gaps_ms.first().copied().unwrap_or(f64::NAN)
    }

    /// The median time (ms), the upper one of two; NaN without any.
    pub fn median_ms(&self) -> f64 {
        self.gaps_ms.get(self.gaps_ms.len() / 2).copied().unwrap_or(f64::NAN)
    }

    /// The longest time (ms); NaN without any.
    pub fn longest_ms(&self) -> f64 {
        self.gaps_ms.last().copied().unwrap_or(f64::NAN)
    }
}

/// Injects each kind of fault `repetitions` times into the lease holder of a fleet of three managers, and measures the
/// times without a holder.
///
/// # Errors
/// Fails if an invariant is violated, or the fleet cannot be started or called.
pub async fn measure(
    binary: &Path,
    repetitions: usize,
    lease_ms: u64,
) -> Result<Vec<FaultGaps>, TestbedError> {
    let plan = Plan { lease_ms, ..Plan::default() };
    let mut fleet = Fleet::start(binary, plan).await?;
    let mut rows = Vec::new();
    for kind in FaultKind::ALL {
        let mut gaps_ms = Vec::new();
        for _ in 0..repetitions {
            gaps_ms.extend(measure_fault(&mut fleet, kind, lease_ms).await?);
        }
        gaps_ms.sort_by(f64::total_cmp);
        rows.push(FaultGaps { kind, gaps_ms });
    }
    let violation = fleet.history()?.check();
    violation.map_err(|violation| TestbedError::step("measure", violation.to_string()))?;
    Ok(rows)
}

/// Injects one fault, waits for another holder, and returns the times without a holder (ms).
async fn measure_fault(fleet: &mut Fleet, kind: FaultKind, lease_ms: u64) -> Result<Vec<f64>, TestbedError> {
    let holder = fleet.wait_for_holder(LEASE, None).await?;
    // The holder extends its lease during this wait, so that the fault occurs at an arbitrary time within a lease.
    tokio::time::sleep(Duration::from_millis(lease_ms)).await;
    let gaps_before = fleet.history()?.gaps_us(LEASE).len();
    kind.inject(fleet, holder).await?;
    fleet.wait_for_holder(LEASE, Some(holder)).await?;
    let gaps_us = fleet.history()?.gaps_us(LEASE);
    kind.remove(fleet, holder).await?;
    tokio::time::sleep(Duration::from_millis(lease_ms)).await;
    Ok(gaps_us[gaps_before..].iter().map(|gap_us| *gap_us as f64 / 1000.0).collect())
}

/// Formats the measurement as CSV.
pub fn csv(rows: &[FaultGaps], lease_ms: u64) -> String {
    let mut text = "fault,lease_ms,times,middle_ms,longest_ms\n".to_owned();
    for row in rows {
        let times = row.gaps_ms.len();
        let median_ms = row.median_ms();
        let longest_ms = row.longest_ms();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{},{lease_ms},{times},{median_ms:.0},{longest_ms:.0}", row.kind);
    }
    text
}

/// Draws the measurement as an SVG chart.
pub fn chart(rows: &[FaultGaps], lease_ms: u64, path: &Path) -> Result<(), TestbedError> {
    let title = format!("Time without a holder (ms), leases of {lease_ms} ms");
    let group = |row: &FaultGaps| BarGroup {
        name: row.kind.to_string(),
        values: [row.shortest_ms(), row.median_ms(), row.longest_ms()],
    };
    let groups: Vec<BarGroup> = rows.iter().map(group).collect();
    bars(&title, ["shortest", "middle", "longest"], &groups, path)
}
