//! Faults between the processes of a fleet: a random sequence from a seed that ends with a check of the invariants,
//! or one kind at a time to measure how long a lease has no holder.

mod kind;
mod measurement;
mod sequence;

pub use kind::FaultKind;
pub use measurement::{FaultGaps, chart, csv, measure};
pub use sequence::{SequenceSummary, run_sequence};

/// The lease that is observed: that of the scheduled backup.
const LEASE: &str = "backup";
