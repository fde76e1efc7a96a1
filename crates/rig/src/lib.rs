//! A rig for experiments: it starts the program as a process on engines that it emulates, sends it the requests
//! of tenants from one seed, changes tenants over the administration API while they come, and keeps what became
//! of each as tables and charts. For what the kit's benches can't show; it is no simulator: time is real.
//!
//! ```text
//!   experiment (TOML) -> clients ---HTTP---> program ---lines---> engines
//!                        steps  ---API--->
//!                        results -> CSV, SVG, JSON
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod engine;
pub mod experiment;
pub mod program;
pub mod report;

use std::path::PathBuf;
use thiserror::Error;

/// Why an experiment can't be run.
#[derive(Debug, Error)]
pub enum RigError {
    /// The file can't be used.
    #[error("{0}: {1}")]
    Experiment(PathBuf, String),
    /// The program did not start, or ended.
    #[error("the program: {0}")]
    Program(String),
    /// A call of the administration API was refused.
    #[error("step {0}: {1}")]
    Step(String, String),
    /// A file or socket.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A chart can't be drawn.
    #[error("the chart: {0}")]
    Chart(String),
}
