//! Fault injection into a fleet of processes: random sequences that a seed determines, followed by a check of the
//! invariants, and measurements of how long a lease has no holder after each kind of fault.

mod kind;
mod measurement;
mod sequence;

pub use kind::FaultKind;
pub use measurement::{FaultGaps, chart, csv, measure};
pub use sequence::{SequenceSummary, run_sequence};

/// The observed lease, whose holder writes the scheduled backups.
const LEASE: &str = "backup";
