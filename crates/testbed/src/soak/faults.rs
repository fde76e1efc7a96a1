//! The fault schedule. Faults on engines, links, the name service and managers overlap in time.

use super::SoakEnvironment;
use super::history::{Event, Fault};
use super::proxy::Link;
use crate::name_server::EndpointState;
use oorandom::Rand64;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Mean rate at which faults are scheduled.
const FAULTS_PER_SECOND: f64 = 2.5;
/// Upper bound of an engine pause, a link fault or a drain.
const MAX_FAULT_MS: u64 = 4500;
/// Upper bound of the time for which a manager is suspended. It is below the half second by which an answer may be
/// late.
const MAX_MANAGER_STOP_MS: u64 = 300;
/// Upper bound of the delay of a link.
const MAX_DELAY_MS: u64 = 400;
/// Upper bound of the time for which the name service does not answer.
const MAX_NAME_SERVICE_SILENCE_MS: u64 = 2000;
const MAX_RELOADS: u64 = 5;
const IDLE_CLIENT_COUNT: usize = 40;

/// The kinds of scheduled faults. Each entry has the same probability, so a pause of an engine is twice as likely.
const FAULT_KINDS: [Fault; 14] = [
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

/// Injects faults for `time`, then waits until all of them have ended.
pub(super) async fn run(environment: &Arc<SoakEnvironment>, seed: u64, time: Duration) {
    let mut rng = Rand64::new(u128::from(seed) << 32);
    let end = Instant::now() + time;
    let mut faults = JoinSet::new();
    // Injects at most one fault at a time for each engine with its link, and for each manager.
    let engines: Vec<Arc<tokio::sync::Mutex<()>>> =
        environment.engines.iter().map(|_| Arc::default()).collect();
    let managers: Vec<Arc<tokio::sync::Mutex<()>>> =
        environment.managers.iter().map(|_| Arc::default()).collect();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_secs_f64(2.0 * rng.rand_float() / FAULTS_PER_SECOND)).await;
        let kind = FAULT_KINDS[rng.rand_range(0..FAULT_KINDS.len() as u64) as usize];
        let targets = if affects_manager(kind) { &managers } else { &engines };
        let target = rng.rand_range(0..targets.len() as u64) as usize;
        if let Ok(target_guard) = targets[target].clone().try_lock_owned() {
            let (environment, rng) = (environment.clone(), Rand64::new(u128::from(rng.rand_u64())));
            faults.spawn(async move {
                inject(&environment, kind, target, rng).await;
                drop(target_guard);
            });
        }
        if rng.rand_range(0..20) == 0 {
            faults.spawn(idle_clients(environment.clone(), target % environment.managers.len()));
        }
    }
    while faults.join_next().await.is_some() {}
}

fn affects_manager(kind: Fault) -> bool {
    matches!(
        kind,
        Fault::ManagerStopped | Fault::ManagerTerminated | Fault::ManagerKilled | Fault::ManagerReloaded
    )
}

async fn inject(environment: &SoakEnvironment, fault: Fault, target: usize, mut rng: Rand64) {
    let duration = Duration::from_millis(rng.rand_range(50..MAX_FAULT_MS));
    let is_recorded_by_manager = matches!(fault, Fault::ManagerTerminated | Fault::ManagerKilled);
    if !is_recorded_by_manager {
        environment.history.push(Event::FaultBegun { fault, target });
    }
    match fault {
        Fault::EnginePaused => {
            environment.engines[target].pause();
            tokio::time::sleep(duration).await;
            environment.engines[target].resume();
        }
        Fault::EngineCrashed => {
            environment.proxies[target].set(Link { refuses_connections: true, ..Link::default() });
            environment.engines[target].reset_connections();
            tokio::time::sleep(duration).await;
            environment.proxies[target].clear_faults();
        }
        Fault::EngineReset => environment.engines[target].reset_connections(),
        Fault::LinkCut => {
            set_link(
                environment,
                target,
                duration,
                Link { cut_to_engine: true, cut_from_engine: true, ..Link::default() },
            )
            .await
        }
        Fault::LinkCutToEngine => {
            set_link(environment, target, duration, Link { cut_to_engine: true, ..Link::default() }).await
        }
        Fault::LinkCutFromEngine => {
            set_link(environment, target, duration, Link { cut_from_engine: true, ..Link::default() }).await
        }
        Fault::LinkDelayed => {
            let delay = Duration::from_millis(rng.rand_range(1..MAX_DELAY_MS));
            set_link(environment, target, duration, Link { delay, ..Link::default() }).await;
        }
        Fault::EngineDraining => {
            environment.set_draining(target, true);
            environment.name_server.set_state(target, EndpointState::Draining);
            tokio::time::sleep(duration).await;
            environment.set_draining(target, false);
            environment.name_server.set_state(target, EndpointState::Ready);
        }
        Fault::NameServiceSilent => {
            environment.name_server.set_silent(true);
            tokio::time::sleep(Duration::from_millis(rng.rand_range(100..MAX_NAME_SERVICE_SILENCE_MS))).await;
            environment.name_server.set_silent(false);
        }
        Fault::ManagerStopped => {
            let time = Duration::from_millis(rng.rand_range(20..MAX_MANAGER_STOP_MS));
            environment.managers[target].stop_for(time).await;
        }
        Fault::ManagerTerminated => {
            let _failed = environment.managers[target]
                .terminate_and_restart(environment.scenario.kill_delay(), || environment.endpoint_list())
                .await;
        }
        Fault::ManagerKilled => {
            let _failed = environment.managers[target].kill_and_restart(|| environment.endpoint_list()).await;
        }
        Fault::ManagerReloaded => environment.managers[target].reload(rng.rand_range(1..MAX_RELOADS)).await,
        Fault::IdleClients => {}
    }
    if !is_recorded_by_manager {
        environment.history.push(Event::FaultEnded { fault, target });
    }
}

async fn set_link(environment: &SoakEnvironment, target: usize, time: Duration, link: Link) {
    environment.proxies[target].set(link);
    tokio::time::sleep(time).await;
    environment.proxies[target].clear_faults();
}

/// Opens connections that send nothing, and closes them after two seconds.
async fn idle_clients(environment: Arc<SoakEnvironment>, manager: usize) {
    environment.history.push(Event::FaultBegun { fault: Fault::IdleClients, target: manager });
    let mut streams = Vec::new();
    for _ in 0..IDLE_CLIENT_COUNT {
        streams.extend(TcpStream::connect(environment.managers[manager].http).await);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(streams);
    environment.history.push(Event::FaultEnded { fault: Fault::IdleClients, target: manager });
}
