//! The error type of the testbed.

use std::path::PathBuf;
use thiserror::Error;

/// Reason why an experiment or a measurement could not be run, or violated a check.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// An experiment file cannot be read, or its contents are invalid.
    #[error("{path}: {reason}")]
    Experiment {
        /// Path of the file.
        path: PathBuf,
        /// The read error, parse error or invalid value.
        reason: String,
    },
    /// The program, or another process, did not start, did not answer in time, or ended with an error.
    #[error("program: {0}")]
    Program(String),
    /// A step failed: a call of the administration API, a change of an engine, or a check at the end of a run.
    #[error("step {step}: {reason}")]
    Step {
        /// What was attempted, such as `POST /v1/import`.
        step: String,
        /// The response body, violated invariant or other cause.
        reason: String,
    },
    /// A file or socket operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A chart cannot be drawn.
    #[error("chart cannot be drawn: {0}")]
    Chart(String),
}

impl TestbedError {
    /// Creates an error of a step.
    pub(crate) fn step(step: impl Into<String>, reason: impl Into<String>) -> TestbedError {
        TestbedError::Step { step: step.into(), reason: reason.into() }
    }
}
