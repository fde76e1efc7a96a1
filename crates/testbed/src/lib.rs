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
pub mod faults;
pub mod fleet;
pub mod history;
pub mod links;
pub mod names;
pub mod program;
pub mod report;
pub mod second;

use client::Outcome;
use engine::Spec;
use experiment::Experiment;
use names::Names;
use program::Program;
use report::Report;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;

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

/// What is still open when the time is up may end within this.
const LAST_ANSWERS: Duration = Duration::from_secs(30);

/// Starts an experiment's engines, their name service, and a program on them.
pub(crate) async fn start(
    experiment: &Experiment,
    binary: &Path,
) -> Result<(Vec<engine::Engine>, Names, Program), RigError> {
    let mut engines = Vec::new();
    for _ in 0..experiment.engines.count {
        let spec = Spec { cores: experiment.engines.cores, memory_mb: experiment.engines.memory_mb };
        engines.push(engine::start(spec).await?);
    }
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let names = Names::start(&addresses).await?;
    let program = Program::start(binary, experiment, &addresses, names.address).await?;
    Ok((engines, names, program))
}

/// Runs an experiment on a program, which is started for it and ends with it.
pub async fn run(experiment: Experiment, binary: &Path) -> Result<Report, RigError> {
    let (engines, names, program) = start(&experiment, binary).await?;
    let experiment = Arc::new(experiment);
    let (sink, mut outcomes) = mpsc::unbounded_channel();
    let start = Instant::now();
    for index in 0..experiment.named().len() {
        tokio::spawn(client::tenant(experiment.clone(), index, program.http, start, sink.clone()));
    }
    drop(sink);
    let collected = async {
        let mut all: Vec<Outcome> = Vec::new();
        while let Some(outcome) = outcomes.recv().await {
            all.push(outcome);
        }
        all
    };
    let steps = async {
        for step in &experiment.steps {
            tokio::time::sleep_until(start + Duration::from_secs_f64(step.at_s)).await;
            match &step.engine {
                Some(change) => change.carry_out(&engines, &names)?,
                None => drop(program.call(&step.method, &step.target, &step.body).await?),
            }
        }
        Ok::<(), RigError>(())
    };
    let most = Duration::from_secs_f64(experiment.seconds) + LAST_ANSWERS;
    let (all, stepped) = tokio::time::timeout(most, async { tokio::join!(collected, steps) })
        .await
        .map_err(|_| RigError::Program("requests were left without an end".to_owned()))?;
    stepped?;
    let taken = engines.iter().map(|engine| engine.taken.load(std::sync::atomic::Ordering::Relaxed));
    Ok(Report { engines: taken.collect(), ..Report::of(&experiment, &all) })
}
