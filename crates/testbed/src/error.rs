//! Why an experiment or a measurement fails.

use std::path::PathBuf;
use thiserror::Error;

/// Why an experiment or a measurement cannot be run, or did not hold.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// The experiment's file cannot be read, or its contents are invalid.
    #[error("{path}: {reason}")]
    Experiment {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The program, or another process, did not start, did not answer in time, or ended with an error.
    #[error("the program: {0}")]
    Program(String),
    /// A step of an experiment, such as a call of the administration API, failed.
    #[error("step {step}: {reason}")]
    Step {
        /// The step.
        step: String,
        /// What failed.
        reason: String,
    },
    /// A file or socket operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A chart cannot be drawn.
    #[error("the chart: {0}")]
    Chart(String),
}

impl TestbedError {
    /// An error of a step.
    pub(crate) fn step(step: impl Into<String>, reason: impl Into<String>) -> TestbedError {
        TestbedError::Step { step: step.into(), reason: reason.into() }
    }
}
