//! A testbed for experiments in real time. It starts the program as a process with emulated engines, sends it
//! requests of synthetic tenants that a seed determines, executes steps (administration calls, changes of engines) at
//! given times, and reports the results as tables and charts. Package `sanddyke-cluster` has the simulation on
//! virtual time.
//!
//! ```text
//!   experiment (TOML) -> clients ---HTTP---> program ---engine protocol---> engines
//!                        steps  ---API--->
//!                        results -> CSV, SVG, JSON
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod cost;
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
pub mod tds_load;

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

/// Maximum time to wait for responses after the experiment has ended.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_secs(30);

/// A program with emulated engines. The process is killed on drop; the engines stop with the runtime.
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

    /// Applies a step: changes an engine or calls the administration API.
    async fn apply_step(&self, step: &Step) -> Result<(), TestbedError> {
        if let Some(change) = &step.engine {
            return self.change_engine(change);
        }
        self.program.call(&step.method, &step.target, &step.body).await?;
        Ok(())
    }

    fn change_engine(&self, change: &EngineChange) -> Result<(), TestbedError> {
        let Some(engine) = self.engines.get(change.number) else {
            return Err(TestbedError::step("engine", format!("engine {} does not exist", change.number)));
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

/// Runs an experiment with a program process of its own, which is killed when the experiment ends.
///
/// # Errors
/// Fails if a process cannot be started, a step fails, or requests are still open 30 s after the experiment has ended.
pub async fn run(experiment: Experiment, binary: &Path) -> Result<Report, TestbedError> {
    let testbed = Testbed::start(&experiment, binary).await?;
    let experiment = Arc::new(experiment);
    let (sender, receiver) = mpsc::unbounded_channel();
    let start = Instant::now();
    for index in 0..experiment.named_tenants().len() {
        tokio::spawn(client::run_tenant(
            experiment.clone(),
            index,
            testbed.program.client_address,
            start,
            sender.clone(),
        ));
    }
    drop(sender);
    let steps = async {
        for step in &experiment.steps {
            tokio::time::sleep_until(start + Duration::from_secs_f64(step.at_s)).await;
            testbed.apply_step(step).await?;
        }
        Ok::<(), TestbedError>(())
    };
    let timeout = Duration::from_secs_f64(experiment.seconds) + LAST_RESPONSES_TIMEOUT;
    let traffic = async { tokio::join!(collect(receiver), steps) };
    let (outcomes, steps_result) = tokio::time::timeout(timeout, traffic).await.map_err(|_| {
        TestbedError::Program(format!("requests or steps were unfinished {timeout:?} after the start"))
    })?;
    steps_result?;
    let requests_received =
        testbed.engines.iter().map(|engine| engine.requests_received.load(Ordering::Relaxed));
    Ok(Report { engines: requests_received.collect(), ..Report::from_outcomes(&experiment, &outcomes) })
}

/// Collects the outcomes until all clients have ended.
async fn collect(mut receiver: mpsc::UnboundedReceiver<Outcome>) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while let Some(outcome) = receiver.recv().await {
        outcomes.push(outcome);
    }
    outcomes
}
