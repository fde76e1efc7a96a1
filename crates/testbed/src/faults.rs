//! Faults between the processes of a fleet: one after another from a seed, or one kind at a time to see how long a lease
//! is without a holder.

use crate::TestbedError;
use crate::fleet::{Fleet, Plan};
use crate::links::LinkFault;
use crate::report;
use oorandom::Rand64;
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// The lease that is observed.
const LEASE: &str = "backup";

/// A kind of fault of the manager that holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It is killed.
    Killed,
    /// It stands still for longer than its lease, and goes on.
    Stopped,
    /// What it says reaches nobody.
    Mute,
    /// It is told nothing.
    Deaf,
    /// Both.
    CutOff,
    /// It is told to end.
    Terminated,
    /// It is drained, and resumed.
    Drained,
    /// An operator hands its lease over.
    HandedOver,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 8] = [
        Kind::Killed,
        Kind::Stopped,
        Kind::Mute,
        Kind::Deaf,
        Kind::CutOff,
        Kind::Terminated,
        Kind::Drained,
        Kind::HandedOver,
    ];

    /// In words.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Killed => "killed",
            Kind::Stopped => "stopped",
            Kind::Mute => "mute",
            Kind::Deaf => "deaf",
            Kind::CutOff => "cut off",
            Kind::Terminated => "told to end",
            Kind::Drained => "drained",
            Kind::HandedOver => "handed over",
        }
    }

    /// Whether the holder can hand its lease over itself.
    pub fn is_planned(self) -> bool {
        matches!(self, Kind::Terminated | Kind::Drained | Kind::HandedOver)
    }

    async fn strike(self, fleet: &mut Fleet, holder: usize) -> Result<(), TestbedError> {
        let all: Vec<usize> = (0..fleet.size()).collect();
        match self {
            Kind::Killed => fleet.kill(holder).await?,
            Kind::Stopped => fleet.stop(holder, true).await?,
            Kind::Mute => fleet.cut(holder, &all, true, false),
            Kind::Deaf => fleet.cut(holder, &all, false, true),
            Kind::CutOff => fleet.cut(holder, &all, true, true),
            Kind::Terminated => fleet.terminate(holder).await?,
            Kind::Drained => drop(fleet.ops(holder, "POST", "/admin/quiesce").await?),
            // Another may hold it by now.
            Kind::HandedOver => drop(fleet.call(holder, "POST", "/v1/fleet/duties/backup/hand-over").await),
        }
        Ok(())
    }

    async fn mend(self, fleet: &mut Fleet, holder: usize) -> Result<(), TestbedError> {
        match self {
            Kind::Killed | Kind::Terminated => fleet.run(holder)?,
            Kind::Stopped => fleet.stop(holder, false).await?,
            Kind::Mute | Kind::Deaf | Kind::CutOff => fleet.links.clear_faults(),
            Kind::Drained => drop(fleet.ops(holder, "POST", "/admin/resume").await?),
            Kind::HandedOver => {}
        }
        Ok(())
    }
}

/// What a play from a seed showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Played {
    /// Managers of the fleet.
    pub managers: usize,
    /// Faults.
    pub faults: usize,
    /// Number of grants of the lease.
    pub grants: usize,
    /// Acts that took effect.
    pub acts: usize,
    /// The longest time without a holder, in ms.
    pub longest_gap_ms: u64,
}

/// Plays faults from a seed on a fleet of real processes, for so long; then mends all and checks what was done.
///
/// # Errors
/// What did not hold, or could not be run.
pub async fn play(binary: &Path, seed: u64, lasting: Duration) -> Result<Played, TestbedError> {
    let mut rng = Rand64::new(u128::from(seed));
    let managers = 3 + rng.rand_range(0..3) as usize;
    let plan = Plan { managers, seed, ..Plan::default() };
    let mut fleet = Fleet::start(binary, plan).await?;
    fleet.wait_for_holder(LEASE, None).await?;
    let (began, mut faults) = (Instant::now(), 0);
    while began.elapsed() < lasting {
        faults += 1;
        let kind = Kind::ALL[rng.rand_range(0..Kind::ALL.len() as u64) as usize];
        let (to_holder, other) = (rng.rand_float() < 0.7, rng.rand_range(0..managers as u64) as usize);
        let struck = fleet.holder(LEASE).await.filter(|_| to_holder).unwrap_or(other);
        if rng.rand_float() < 0.4 {
            let (loss, duplication) = (0.2 * rng.rand_float(), 0.2 * rng.rand_float());
            let jitter_ms = rng.rand_range(1..100);
            fleet.set_all_links(LinkFault {
                delay_ms: 1,
                jitter_ms,
                loss,
                duplication,
                ..LinkFault::default()
            });
        }
        if rng.rand_float() < 0.3 {
            fleet.links.reset();
        }
        kind.strike(&mut fleet, struck).await?;
        tokio::time::sleep(Duration::from_millis(rng.rand_range(50..4000))).await;
        kind.mend(&mut fleet, struck).await?;
        fleet.links.clear_faults();
        tokio::time::sleep(Duration::from_millis(rng.rand_range(50..2000))).await;
    }
    fleet.wait_for_holder(LEASE, None).await?;
    let history = fleet.history()?;
    history.check().map_err(|error| TestbedError::step(format!("seed {seed}"), error.to_string()))?;
    let (products, backups) = (history.products(), fleet.backups()?);
    // One that was killed between an act and its line made one more than its log says, each time.
    if backups.len() < products.len() {
        return Err(TestbedError::step(
            format!("seed {seed}"),
            format!("{} backups of {} are there", backups.len(), products.len()),
        ));
    }
    let longest_gap_ms = history.gaps_us(LEASE).into_iter().max().unwrap_or(0) / 1000;
    Ok(Played { managers, faults, grants: history.tenures().len(), acts: products.len(), longest_gap_ms })
}

/// How long the lease was without a holder, for one kind of fault.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The fault.
    pub kind: Kind,
    /// Each time without a holder, in ms, in order of size.
    pub gaps_ms: Vec<f64>,
}

impl Row {
    /// The middle one, and the longest.
    pub fn middle_and_longest(&self) -> (f64, f64) {
        let middle = self.gaps_ms.get(self.gaps_ms.len() / 2).copied().unwrap_or(f64::NAN);
        (middle, self.gaps_ms.last().copied().unwrap_or(f64::NAN))
    }
}

/// Strikes the holder so many times with each kind of fault, on one fleet of three, and measures.
pub async fn measure(binary: &Path, times: usize, lease_ms: u64) -> Result<Vec<Row>, TestbedError> {
    let plan = Plan { lease_ms, ..Plan::default() };
    let mut fleet = Fleet::start(binary, plan).await?;
    let mut rows = Vec::new();
    for kind in Kind::ALL {
        let mut gaps_ms = Vec::new();
        for _ in 0..times {
            let holder = fleet.wait_for_holder(LEASE, None).await?;
            // Let it renew, so that the fault comes anywhere in a lease.
            tokio::time::sleep(Duration::from_millis(lease_ms)).await;
            let before = fleet.history()?.gaps_us(LEASE).len();
            kind.strike(&mut fleet, holder).await?;
            fleet.wait_for_holder(LEASE, Some(holder)).await?;
            let gaps = fleet.history()?.gaps_us(LEASE);
            gaps_ms.extend(gaps[before..].iter().map(|gap| *gap as f64 / 1000.0));
            kind.mend(&mut fleet, holder).await?;
            tokio::time::sleep(Duration::from_millis(lease_ms)).await;
        }
        gaps_ms.sort_by(f64::total_cmp);
        rows.push(Row { kind, gaps_ms });
    }
    fleet.history()?.check().map_err(|error| TestbedError::step("measure".to_owned(), error.to_string()))?;
    Ok(rows)
}

/// The rows as a table.
pub fn csv(rows: &[Row], lease_ms: u64) -> String {
    let mut text = "fault,lease_ms,times,middle_ms,longest_ms\n".to_owned();
    for row in rows {
        let (middle, longest) = row.middle_and_longest();
        // Writing to a string cannot fail.
        let _ =
            writeln!(text, "{},{lease_ms},{},{middle:.0},{longest:.0}", row.kind.word(), row.gaps_ms.len());
    }
    text
}

/// The rows as a chart.
pub fn chart(rows: &[Row], lease_ms: u64, path: &Path) -> Result<(), TestbedError> {
    let title = format!("Time without a holder (ms), leases of {lease_ms} ms");
    let values = |row: &Row| {
        let (middle, longest) = row.middle_and_longest();
        [row.gaps_ms.first().copied().unwrap_or(f64::NAN), middle, longest]
    };
    let bars = rows.iter().map(|row| (row.kind.word().to_owned(), values(row))).collect::<Vec<_>>();
    report::bars(&title, &["shortest", "middle", "longest"], &bars, path)
}
