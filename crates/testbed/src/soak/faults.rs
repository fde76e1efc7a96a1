//! The faults: several run at any time, at engines, links, the name service and managers.

use super::Site;
use super::history::{Event, Fault};
use super::proxy::Link;
use crate::name_server::EndpointState;
use oorandom::Rand64;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Faults that begin in a second, in the mean.
const FAULTS_PER_SECOND: f64 = 2.5;
/// The longest pause of an engine, or cut of a link (ms).
const MAX_LONG_FAULT_MS: u64 = 4500;
/// The longest time for which a manager is stopped (ms); a request's answer may be half a second late.
const MAX_MANAGER_STOP_MS: u64 = 300;
/// The longest delay of a link (ms).
const MAX_DELAY_MS: u64 = 400;
/// The longest time for which the name service is silent (ms).
const MAX_NAME_SERVICE_SILENCE_MS: u64 = 2000;
const MAX_RELOADS: u64 = 5;
const IDLE_CLIENTS: usize = 40;

const KINDS: [Fault; 14] = [
    Fault::EnginePaused,
    Fault::EnginePaused,
    Fault::EngineCrashed,
    Fault::EngineReset,
    Fault::LinkCut,
    Fault::LinkCutToEngine,
    Fault::LinkCutFromEngine,
    Fault::LinkDelayed,
    Fault::EngineDraining,
    Fault::NameServiceSilent,
    Fault::ManagerStopped,
    Fault::ManagerTerminated,
    Fault::ManagerKilled,
    Fault::ManagerReloaded,
];

/// Injects faults for some time, and waits for their ends.
pub(super) async fn run(site: &Arc<Site>, seed: u64, time: Duration) {
    let mut rng = Rand64::new(u128::from(seed) << 32);
    let end = Instant::now() + time;
    let mut faults = JoinSet::new();
    // One fault at a time for each engine, its link and each manager.
    let engines: Vec<Arc<tokio::sync::Mutex<()>>> = site.engines.iter().map(|_| Arc::default()).collect();
    let managers: Vec<Arc<tokio::sync::Mutex<()>>> = site.managers.iter().map(|_| Arc::default()).collect();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_secs_f64(2.0 * rng.rand_float() / FAULTS_PER_SECOND)).await;
        let kind = KINDS[rng.rand_range(0..KINDS.len() as u64) as usize];
        let targets = if is_at_manager(kind) { &managers } else { &engines };
        let target = rng.rand_range(0..targets.len() as u64) as usize;
        if let Ok(busy) = targets[target].clone().try_lock_owned() {
            let (site, rng) = (site.clone(), Rand64::new(u128::from(rng.rand_u64())));
            faults.spawn(async move {
                inject(&site, kind, target, rng).await;
                drop(busy);
            });
        }
        if rng.rand_range(0..20) == 0 {
            faults.spawn(idle_clients(site.clone(), target % site.managers.len()));
        }
    }
    while faults.join_next().await.is_some() {}
}

fn is_at_manager(kind: Fault) -> bool {
    matches!(
        kind,
        Fault::ManagerStopped | Fault::ManagerTerminated | Fault::ManagerKilled | Fault::ManagerReloaded
    )
}

async fn inject(site: &Site, fault: Fault, target: usize, mut rng: Rand64) {
    let long = Duration::from_millis(rng.rand_range(50..MAX_LONG_FAULT_MS));
    let records_itself = matches!(fault, Fault::ManagerTerminated | Fault::ManagerKilled);
    if !records_itself {
        site.history.push(Event::FaultBegun { fault, target });
    }
    match fault {
        Fault::EnginePaused => {
            site.engines[target].pause();
            tokio::time::sleep(long).await;
            site.engines[target].resume();
        }
        Fault::EngineCrashed => {
            site.proxies[target].set(Link { refuses: true, ..Link::default() });
            site.engines[target].reset_connections();
            tokio::time::sleep(long).await;
            site.proxies[target].heal();
        }
        Fault::EngineReset => site.engines[target].reset_connections(),
        Fault::LinkCut => {
            set_link(
                site,
                target,
                long,
                Link { cut_to_engine: true, cut_from_engine: true, ..Link::default() },
            )
            .await
        }
        Fault::LinkCutToEngine => {
            set_link(site, target, long, Link { cut_to_engine: true, ..Link::default() }).await
        }
        Fault::LinkCutFromEngine => {
            set_link(site, target, long, Link { cut_from_engine: true, ..Link::default() }).await
        }
        Fault::LinkDelayed => {
            let delay = Duration::from_millis(rng.rand_range(1..MAX_DELAY_MS));
            set_link(site, target, long, Link { delay, ..Link::default() }).await;
        }
        Fault::EngineDraining => {
            site.set_draining(target, true);
            site.name_server.set_state(target, EndpointState::Draining);
            tokio::time::sleep(long).await;
            site.set_draining(target, false);
            site.name_server.set_state(target, EndpointState::Ready);
        }
        Fault::NameServiceSilent => {
            site.name_server.set_silent(true);
            tokio::time::sleep(Duration::from_millis(rng.rand_range(100..MAX_NAME_SERVICE_SILENCE_MS))).await;
            site.name_server.set_silent(false);
        }
        Fault::ManagerStopped => {
            let time = Duration::from_millis(rng.rand_range(20..MAX_MANAGER_STOP_MS));
            site.managers[target].stop_for(time).await;
        }
        Fault::ManagerTerminated => {
            let _failed = site.managers[target]
                .terminate_and_restart(site.scenario.kill_delay(), || site.known())
                .await;
        }
        Fault::ManagerKilled => {
            let _failed = site.managers[target].kill_and_restart(|| site.known()).await;
        }
        Fault::ManagerReloaded => site.managers[target].reload(rng.rand_range(1..MAX_RELOADS)).await,
        Fault::IdleClients => {}
    }
    if !records_itself {
        site.history.push(Event::FaultEnded { fault, target });
    }
}

async fn set_link(site: &Site, target: usize, time: Duration, link: Link) {
    site.proxies[target].set(link);
    tokio::time::sleep(time).await;
    site.proxies[target].heal();
}

/// Clients that connect and send nothing.
async fn idle_clients(site: Arc<Site>, manager: usize) {
    site.history.push(Event::FaultBegun { fault: Fault::IdleClients, target: manager });
    let mut streams = Vec::new();
    for _ in 0..IDLE_CLIENTS {
        streams.extend(TcpStream::connect(site.managers[manager].http).await);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(streams);
    site.history.push(Event::FaultEnded { fault: Fault::IdleClients, target: manager });
}
