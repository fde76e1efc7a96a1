//! A randomized fault soak: real processes of the program between emulated engines and clients, faults that overlap in
//! time, and an oracle over what engines and clients have recorded.
//!
//! ```text
//!   clients ──> managers (processes) ──> proxies ──> engines
//!      │           ^ signals               ^ faults     │
//!      └───────────┴──── history <─────────┴────────────┘
//!                           v
//!                         oracle
//! ```
//!
//! A seed decides the scenario, the clients and the faults. Time is real, so a seed repeats its plan, not each byte.

mod clients;
mod engine;
mod faults;
mod history;
mod managers;
pub mod oracle;
mod proxy;
mod scenario;

pub use history::{Effect, Event, Fault, History, Over, Record};

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

/// Time after the last request in which everything has to come to its end.
const SETTLE_TIME: Duration = Duration::from_secs(7);

/// What a soak is run on.
pub(crate) struct Site {
    pub(crate) scenario: Scenario,
    pub(crate) history: History,
    pub(crate) engines: Vec<Arc<SoakEngine>>,
    pub(crate) proxies: Vec<Arc<Proxy>>,
    pub(crate) name_server: NameServer,
    pub(crate) managers: Vec<Arc<Manager>>,
    /// The numbers of the engines that drain.
    draining: Mutex<Vec<usize>>,
}

/// What a soak has played, and which rules were broken.
#[derive(Debug)]
pub struct SoakSummary {
    /// Processes of the program that were started.
    pub processes: usize,
    /// Requests that clients have sent.
    pub requests: usize,
    /// Attempts that engines have read.
    pub attempts: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Everything that was recorded.
    pub records: Vec<Record>,
}

/// Plays one seed for some time.
///
/// # Errors
/// A process or a socket cannot be started.
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
    let name_server = NameServer::start(&addresses).await?;
    let folder = tempfile::tempdir()?;
    let mut managers = Vec::new();
    for number in 0..scenario.managers {
        let config = scenario.configuration(number, &addresses, name_server.address);
        managers.push(Manager::start(program, number, config, folder.path(), history.clone())?);
    }
    let draining = Mutex::default();
    let site = Arc::new(Site { scenario, history, engines, proxies, name_server, managers, draining });
    for manager in &site.managers {
        manager.wait_until_ready().await?;
    }
    let clients = tokio::spawn(clients::run(site.clone(), seed, time));
    faults::run(&site, seed, time).await;
    site.end_faults();
    let _ended = clients.await;
    tokio::time::sleep(SETTLE_TIME).await;
    site.stop_managers().await;
    Ok(site.summary())
}

impl Site {
    /// The endpoint list as it is now.
    fn known(&self) -> Value {
        let addresses: Vec<_> = self.proxies.iter().map(|proxy| proxy.address).collect();
        scenario::known(&addresses, &self.draining.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn set_draining(&self, engine: usize, is_draining: bool) {
        let mut draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
        draining.retain(|other| *other != engine);
        draining.extend(is_draining.then_some(engine));
    }

    fn end_faults(&self) {
        self.engines.iter().for_each(|engine| engine.resume());
        self.proxies.iter().for_each(|proxy| proxy.heal());
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
        let count =
            |is_counted: fn(&Event) -> bool| records.iter().filter(|one| is_counted(&one.event)).count();
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
