//! A testbed for experiments. It starts the program as a process on emulated engines, sends it the requests of
//! synthetic tenants from a seed, changes tenants over the administration API meanwhile, and reports the results as
//! tables and charts. It is not a simulator: time is real.
//!
//! ```text
//!   experiment (TOML) -> clients ---HTTP---> program ---engine protocol---> engines
//!                        steps  ---API--->
//!                        results -> CSV, SVG, JSON
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod engine;
mod error;
pub mod experiment;
pub mod faults;
pub mod fleet;
pub mod history;
pub mod links;
pub mod name_server;
pub mod operations_endpoint;
pub mod program;
pub mod report;
pub mod soak;

pub use error::TestbedError;

use client::Outcome;
use engine::{Engine, Spec};
use experiment::{EngineChange, Experiment, Step};
use name_server::NameServer;
use program::Program;
use report::Report;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time for the last responses after the experiment's time is up.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_secs(30);

/// A program on emulated engines. All of it ends with this value and its runtime.
pub(crate) struct Testbed {
    pub(crate) engines: Vec<Engine>,
    pub(crate) name_server: NameServer,
    pub(crate) program: Program,
}

impl Testbed {
    /// Starts the engines of an experiment, their name server, and the program.
    pub(crate) async fn start(experiment: &Experiment, binary: &Path) -> Result<Testbed, TestbedError> {
        let mut engines = Vec::new();
        for _ in 0..experiment.engines.count {
            let spec = Spec { cores: experiment.engines.cores, memory_mb: experiment.engines.memory_mb };
            engines.push(engine::start(spec).await?);
        }
        let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
        let name_server = NameServer::start(&addresses).await?;
        let program = Program::start(binary, experiment, &addresses, name_server.address).await?;
        Ok(Testbed { engines, name_server, program })
    }

    /// Takes a step: a change of an engine, or a call of the administration API.
    async fn take_step(&self, step: &Step) -> Result<(), TestbedError> {
        if let Some(change) = &step.engine {
            return self.change_engine(change);
        }
        self.program.call(&step.method, &step.target, &step.body).await?;
        Ok(())
    }

    fn change_engine(&self, change: &EngineChange) -> Result<(), TestbedError> {
        let Some(engine) = self.engines.get(change.number) else {
            return Err(TestbedError::step("engine", format!("no number {}", change.number)));
        };
        if let Some(state) = change.state {
            self.name_server.set_state(change.number, state);
        }
        if let Some(speed) = change.speed {
            engine.set_speed(speed);
        }
        Ok(())
    }
}

/// Runs an experiment with a program that is started for it and ends with it.
///
/// # Errors
/// Fails where a process cannot be started, a step fails, or requests are still open after the time for the last
/// responses.
pub async fn run(experiment: Experiment, binary: &Path) -> Result<Report, TestbedError> {
    let testbed = Testbed::start(&experiment, binary).await?;
    let experiment = Arc::new(experiment);
    let (sender, receiver) = mpsc::unbounded_channel();
    let start = Instant::now();
    for index in 0..experiment.named().len() {
        tokio::spawn(client::tenant(experiment.clone(), index, testbed.program.http, start, sender.clone()));
    }
    drop(sender);
    let steps = async {
        for step in &experiment.steps {
            tokio::time::sleep_until(start + Duration::from_secs_f64(step.at_s)).await;
            testbed.take_step(step).await?;
        }
        Ok::<(), TestbedError>(())
    };
    let timeout = Duration::from_secs_f64(experiment.seconds) + LAST_RESPONSES_TIMEOUT;
    let traffic = async { tokio::join!(collect(receiver), steps) };
    let (outcomes, steps_result) = tokio::time::timeout(timeout, traffic)
        .await
        .map_err(|_| TestbedError::Program("requests were left without an end".to_owned()))?;
    steps_result?;
    let received = testbed.engines.iter().map(|engine| engine.received.load(Ordering::Relaxed));
    Ok(Report { engines: received.collect(), ..Report::of(&experiment, &outcomes) })
}

/// All outcomes until the last client has ended.
async fn collect(mut receiver: mpsc::UnboundedReceiver<Outcome>) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while let Some(outcome) = receiver.recv().await {
        outcomes.push(outcome);
    }
    outcomes
}
