//! A randomized fault soak. Real manager processes run between emulated engines and clients while overlapping faults
//! are injected. An oracle then checks what the engines and clients recorded.
//!
//! ```text
//!   clients ──> managers (processes) ──> proxies ──> engines
//!      │           ^ signals               ^ faults     │
//!      └───────────┴──── history <─────────┴────────────┘
//!                           v
//!                         oracle
//! ```
//!
//! The seed determines the scenario, the clients and the faults. The run uses real time, so the same seed repeats the
//! same schedule, but not every byte.

mod clients;
mod engine;
mod faults;
mod history;
mod managers;
pub mod oracle;
mod proxy;
mod scenario;

pub use history::{AttemptEnd, Effect, Event, Fault, History, Record};

use crate::TestbedError;
use crate::name_server::NameServer;
use engine::SoakEngine;
use managers::Manager;
use oracle::Violation;
use proxy::Proxy;
use scenario::Scenario;
use serde_json::Value;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time after the last client call and the last fault in which all attempts have to end.
const SETTLE_TIME: Duration = Duration::from_secs(7);

/// The processes, emulated engines and proxies of one soak run.
pub(crate) struct SoakEnvironment {
    pub(crate) scenario: Scenario,
    pub(crate) history: History,
    pub(crate) engines: Vec<Arc<SoakEngine>>,
    pub(crate) proxies: Vec<Arc<Proxy>>,
    pub(crate) name_server: NameServer,
    pub(crate) managers: Vec<Arc<Manager>>,
    /// The numbers of the draining engines.
    draining: Mutex<Vec<usize>>,
}

/// What a soak run has done, and which rules were broken.
#[derive(Debug)]
pub struct SoakSummary {
    /// Manager processes that were started, restarts included.
    pub processes: usize,
    /// Requests that clients have sent, retries included.
    pub requests: usize,
    /// Attempts that engines have read.
    pub attempts: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// The whole recorded history, in the order of time.
    pub records: Vec<Record>,
}

/// Runs the soak of one seed, with requests and faults for `time`.
///
/// # Errors
/// Fails if a process or a socket cannot be started, or a manager is not ready in time at the start.
pub async fn run(program: &Path, seed: u64, time: Duration) -> Result<SoakSummary, TestbedError> {
    let scenario = Scenario::from_seed(seed);
    let history = History::start();
    let mut engines = Vec::new();
    let mut proxies = Vec::new();
    for number in 0..scenario.engines {
        let engine = SoakEngine::start(number, scenario.progress_interval, seed, history.clone()).await?;
        proxies.push(Proxy::start(engine.address).await?);
        engines.push(engine);
    }
    let addresses: Vec<_> = proxies.iter().map(|proxy| proxy.address).collect();
    let name_server = NameServer::start_slow(&addresses, scenario.name_service_delay).await?;
    let folder = tempfile::tempdir()?;
    let mut managers = Vec::new();
    for number in 0..scenario.managers {
        let config = scenario.configuration(number, &addresses, name_server.address);
        managers.push(Manager::start(program, number, config, folder.path(), history.clone())?);
    }
    let draining = Mutex::default();
    let environment =
        Arc::new(SoakEnvironment { scenario, history, engines, proxies, name_server, managers, draining });
    for manager in &environment.managers {
        manager.wait_until_ready().await?;
    }
    let clients = tokio::spawn(clients::run(environment.clone(), seed, time));
    faults::run(&environment, seed, time).await;
    environment.end_faults();
    let _ended = clients.await;
    tokio::time::sleep(SETTLE_TIME).await;
    environment.stop_managers().await;
    Ok(environment.summary())
}

impl SoakEnvironment {
    /// The current endpoint list.
    fn endpoint_list(&self) -> Value {
        let addresses: Vec<_> = self.proxies.iter().map(|proxy| proxy.address).collect();
        scenario::endpoint_list(&addresses, &self.draining.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn set_draining(&self, engine: usize, is_draining: bool) {
        let mut draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
        draining.retain(|other| *other != engine);
        draining.extend(is_draining.then_some(engine));
    }

    fn end_faults(&self) {
        self.engines.iter().for_each(|engine| engine.resume());
        self.proxies.iter().for_each(|proxy| proxy.clear_faults());
        self.name_server.set_silent(false);
    }

    async fn stop_managers(&self) {
        for manager in &self.managers {
            manager.resume().await;
            manager.terminate().await;
        }
    }

    fn summary(&self) -> SoakSummary {
        let records = self.history.records();
        let count = |is_counted: fn(&Event) -> bool| {
            records.iter().filter(|record| is_counted(&record.event)).count()
        };
        SoakSummary {
            processes: count(|event| matches!(event, Event::ManagerStarted { .. })),
            requests: count(|event| matches!(event, Event::RequestSent { .. })),
            attempts: count(|event| matches!(event, Event::AttemptRead { .. })),
            faults: count(|event| matches!(event, Event::FaultBegun { .. })),
            violations: oracle::check(&records),
            records,
        }
    }
}
