//! The workload manager on real sockets.
#![forbid(unsafe_code)]

mod cli;

use clap::Parser;
use cli::{Arguments, Command};
use sanddyke::admin::{self, Admin};
use sanddyke::clock::{Clock, Micros};
use sanddyke::cluster::Cluster;
use sanddyke::config::{Config, Read, Source};
use sanddyke::core::{Core, EngineListUpdate, Input};
use sanddyke::discovery::{self, DiscoveryTarget};
use sanddyke::frontend::http::{self, Http};
use sanddyke::frontend::tds::{self, Tds};
use sanddyke::lifecycle::LifecycleHandle;
use sanddyke::operations_endpoint::{self, Heartbeat, OperationsEndpoint};
use sanddyke::service::{self, ServiceHandle};
use sanddyke::state_handover;
use sanddyke::tenants::{TenantService, TenantServiceError};
use sanddyke::upstream::{UpstreamLimits, UpstreamPool, UpstreamProtocol};
use sanddyke_lifecycle::{Event, ListenSocket, TransitionError};
use sanddyke_socket_activation::SocketActivationError;
use sanddyke_store::{Store, StoreError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio_rustls::rustls::ServerConfig;

/// Names the descriptor of the clients' socket, where the platform holds it.
const ACCEPT_FD: &str = "LB_ACCEPT_FD";
/// The platform ends a process by force (SIGKILL) so long after SIGTERM: the longest deadline, counted as 3 s where
/// it is longer (5 s where another process has its socket), and 0.7 s. Of that, so much is kept for answers to
/// leave the machine.
const COUNTED_AT_MOST: Micros = Micros(3_000_000);
const COUNTED_AT_MOST_SHARED: Micros = Micros(5_000_000);
const FORCED_AFTER: Micros = Micros(700_000);
const KEPT_FOR_ANSWERS: Micros = Micros(200_000);
/// So many descriptors of the second address, of each so many of the process: a sixteenth, 16 to 64.
const CALLERS: (usize, usize, usize) = (16, 16, 64);
/// Duties are handed over by then, or run out by themselves.
const HANDED_OVER_WITHIN: Duration = Duration::from_millis(500);
/// Time in which the last answers leave the machine.
const LAST_WORDS: Duration = Duration::from_millis(50);
/// An engine that owes word and says nothing for so long is gone, and so is an answer of which it says nothing
/// more. Where it is known how often it tells of each request, so many of its words may be missing.
const SILENT_AFTER: Micros = Micros(3_000_000);
const WORDS_MISSING: f64 = 3.0;
/// What an engine has begun to say is there whole by then.
const LINE_WITHIN: Micros = Micros(1_000_000);
/// Descriptors that are not for clients: engines, the name service, files.
const RESERVED: usize = 160;
/// Clients hold at most this part of the descriptors, each for one open request.
const CLIENTS_PART: usize = 3;
/// Room for the result of each open request, some above the longest of the platform's engines.
const RESULT_BYTES: usize = 64 * 1024;
/// Connections to one engine.
const MOST_CONNECTIONS: usize = 4;
/// Connections to one engine where each carries one request.
const MOST_TDS_CONNECTIONS: usize = 64;
/// What of the configuration takes effect without a restart.
const LIVE_KEYS: [&str; 3] = ["resolver", "service", "known"];

/// Why the program can't go on.
#[derive(Debug, Error)]
enum Fatal {
    #[error("{0}")]
    Config(#[from] sanddyke::config::ConfigError),
    #[error("listen: can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("ops: can't listen on {0}: {1}")]
    OperationsEndpoint(SocketAddr, std::io::Error),
    #[cfg(feature = "cluster")]
    #[error("cluster.listen: can't listen on {0}: {1}")]
    Cluster(SocketAddr, std::io::Error),
    #[error("{ACCEPT_FD}: {0}")]
    SocketActivation(#[from] SocketActivationError),
    #[error("{ACCEPT_FD}: is set, and no address to listen on is told")]
    SocketWithoutAddress,
    #[error("the lifecycle of the program: {0}")]
    Lifecycle(#[from] TransitionError),
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("{0}")]
    Ended(#[from] service::ServiceEnded),
    #[error("store.path: {0}")]
    Store(#[from] StoreError),
    #[error("the settings' tenants: {0}")]
    Tenants(#[from] TenantServiceError),
    #[error("{0}")]
    Command(cli::Failed),
}

fn main() -> ExitCode {
    let command = Arguments::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let result = match command.command.unwrap_or(Command::Serve) {
        Command::Serve => serve(command.config),
        other => cli::run(other, command.config).map_err(Fatal::Command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Fatal::Command(failed)) => {
            eprintln!("sanddyke: {failed}");
            failed.code()
        }
        Err(fatal) => {
            log::error!("{fatal}");
            ExitCode::FAILURE
        }
    }
}

fn serve(config: Option<PathBuf>) -> Result<(), Fatal> {
    let source = config.map_or(Source::Environment, Source::File);
    let clock = Clock::start();
    let config = Config::from(&source, &clock)?;
    // Before anything else is opened: an unused number must be found unused.
    let socket = match (std::env::var(ACCEPT_FD), config.listen) {
        (Err(_), _) => None,
        (Ok(_), None) => return Err(Fatal::SocketWithoutAddress),
        (Ok(told), Some(listen)) => Some(sanddyke_socket_activation::take_listener(
            sanddyke_socket_activation::parse_descriptor(&told)?,
            listen,
        )?),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(source, clock, config, socket))
}

/// Joins the fleet, and sees to the duties that this manager would hold.
#[cfg(feature = "cluster")]
fn join(
    fleet: sanddyke::config::Fleet,
    name: &str,
    seed: u64,
    clock: Clock,
    tenant_service: &Arc<TenantService>,
    lifecycle: &LifecycleHandle,
    restart: &Arc<Notify>,
) -> Result<Cluster, Fatal> {
    use sanddyke::cluster::{
        JoinedCluster, ProcessControl, ROLLING_RESTART_LEASE, backup, follow_lifecycle, restart_controller,
        start,
    };
    let (address, every) = (fleet.listen, fleet.backup_every_ms);
    let process = ProcessControl { lifecycle: lifecycle.clone(), restart: restart.clone() };
    let JoinedCluster { cluster, mut lease_events } =
        start(fleet, name, clock, seed, process).map_err(|error| Fatal::Cluster(address, error))?;
    if let (Some(events), Some(every)) = (lease_events.remove(backup::LEASE_NAME), every) {
        tokio::spawn(backup::run(cluster.clone(), events, tenant_service.clone(), clock, every));
    }
    if let Some(events) = lease_events.remove(ROLLING_RESTART_LEASE) {
        tokio::spawn(restart_controller::run(cluster.clone(), events, clock));
    }
    tokio::spawn(follow_lifecycle(cluster.clone(), lifecycle.clone()));
    Ok(cluster)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Fatal> {
    TcpListener::bind(address).await.map_err(|error| Fatal::Listen(address, error))
}

/// Reads the configuration again, whole. One that can't be used changes nothing.
fn reload(
    read: &mut Read,
    source: &Source,
    clock: &Clock,
    names: &watch::Sender<DiscoveryTarget>,
    admin: &Certificates,
) {
    let config = match Config::from(source, clock) {
        Ok(config) => config,
        Err(error) => return log::error!("SIGHUP: the configuration stays as it was: {error}"),
    };
    for key in config.read.changed(read) {
        match LIVE_KEYS.contains(&key.as_str()) {
            true => log::info!("SIGHUP: {key} has changed"),
            false => log::warn!("SIGHUP: {key} has changed, which counts from the next start only"),
        }
    }
    *read = config.read;
    names.send_replace(DiscoveryTarget {
        resolver: config.resolver,
        service: config.service,
        listed: config.listed,
    });
    // The files may have changed where the keys have not. A listener that is not encrypted stays so.
    if let Some(certificate) = config.admin.and_then(|admin| admin.tls).filter(|_| admin.borrow().is_some()) {
        admin.send_replace(Some(certificate));
        log::info!("SIGHUP: the administration API's certificate is read again");
    }
    log::info!("SIGHUP: the configuration is read again");
}

/// What encrypts the administration API.
type Certificates = watch::Sender<Option<Arc<ServerConfig>>>;

async fn run(
    source: Source,
    clock: Clock,
    config: Config,
    socket: Option<std::net::TcpListener>,
) -> Result<(), Fatal> {
    let lifecycle =
        LifecycleHandle::new(if socket.is_some() { ListenSocket::Shared } else { ListenSocket::Exclusive });
    let document = config.document();
    let mut read = config.read.clone();
    let mut terminated = signal(SignalKind::terminate())?;
    let mut reloaded = signal(SignalKind::hangup())?;
    let (handle, queue) = ServiceHandle::new();
    let limits = UpstreamLimits {
        connect_timeout: Micros::from_ms(config.connect_ms).to_duration(),
        probe_timeout: Micros::from_ms(config.connect_ms),
        silent_after: match config.front.settings.engines.notes_every_ms {
            every if every > 0.0 => Micros::from_ms(every * WORDS_MISSING).max(LINE_WITHIN),
            _ => SILENT_AFTER,
        },
        reports_progress: config.front.settings.engines.notes_every_ms > 0.0,
        line_within: LINE_WITHIN,
        // A little before the engine does, so that no request crosses its close.
        idle_after: Micros::from_ms(config.keepalive_ms * 0.8),
        collected: config.sockets / CLIENTS_PART * RESULT_BYTES,
        streams: config.streams,
        connections: match config.wire {
            UpstreamProtocol::LineProtocol => MOST_CONNECTIONS,
            UpstreamProtocol::Tds(_) => MOST_TDS_CONNECTIONS,
        },
    };
    let upstream = UpstreamPool::new(config.wire, handle.clone(), clock, limits);
    let shared = socket.is_some();
    // As the platform counts it when it ends the process by force. Elsewhere a service manager waits for longer.
    let deadlines = config.front.settings.classes.iter().map(|class| Micros::from_ms(class.deadline_ms));
    let longest = deadlines.max().unwrap_or(COUNTED_AT_MOST);
    let counted = match (shared, source.is_platform()) {
        (true, _) => longest.min(COUNTED_AT_MOST_SHARED),
        (false, true) => longest.min(COUNTED_AT_MOST),
        (false, false) => longest,
    };
    let held = config.store.as_ref().map(|store| Store::open(&store.path)).transpose()?;
    let mut told = config.front;
    told.settings.limits.max_open = Some(config.sockets / CLIENTS_PART);
    if held.is_some() {
        // They are the store's from its first start on.
        (told.tenants, told.settings.tenants) = (Vec::new(), Vec::new());
    }
    let mut core = Core::new(told, config.max_open, config.seed, clock.now());
    if held.is_some() {
        core = core.host();
    }
    let backups = config.store.and_then(|store| store.backups);
    tokio::spawn(service::run(core, clock, queue, upstream));
    handle.notify(Input::Engines(EngineListUpdate::Initial(config.listed.engines()))).await?;
    if let Some(address) = config.ops {
        let ops = OperationsEndpoint { lifecycle: lifecycle.clone(), heartbeat: Heartbeat::default(), clock };
        tokio::spawn(ops.heartbeat.clone().run(handle.clone(), clock));
        let callers = (config.sockets / CALLERS.0).clamp(CALLERS.1, CALLERS.2);
        operations_endpoint::start(address, ops, callers)
            .map_err(|error| Fatal::OperationsEndpoint(address, error))?;
    }
    let left = state_handover::place(&config.name).filter(|_| shared);
    if let Some(place) = &left {
        state_handover::take(place, &handle, &clock).await?;
    }
    let tenant_service =
        TenantService::start(held, &document, backups, handle.clone(), config.known, clock).await?;
    let restart = Arc::new(Notify::new());
    #[cfg(feature = "cluster")]
    let cluster = match config.fleet {
        Some(fleet) => {
            Some(join(fleet, &config.name, config.seed, clock, &tenant_service, &lifecycle, &restart)?)
        }
        None => None,
    };
    #[cfg(not(feature = "cluster"))]
    let cluster: Option<Cluster> = None;
    let certificates: Certificates = watch::Sender::new(None);
    let told = DiscoveryTarget { resolver: config.resolver, service: config.service, listed: config.listed };
    let (names, names_told) = watch::channel(told);
    tokio::spawn(discovery::run(names_told, handle.clone(), clock, config.seed));
    if shared {
        // Another process serves until this one says that it is ready.
        state_handover::heard(&handle, &clock).await?;
    }
    let mut fronts = Vec::new();
    let places = config.sockets - config.sockets.min(RESERVED) / 2;
    if let Some(address) = config.listen {
        let listener = match socket {
            Some(socket) => TcpListener::from_std(socket)?,
            None => bind(address).await?,
        };
        let front = Http::new(handle.clone(), lifecycle.clone(), config.page_bytes);
        fronts.push(tokio::spawn(http::serve(listener, front, places)));
    }
    if let Some(told) = config.tds {
        let listener = bind(told.listen).await?;
        let front = Tds {
            handle: handle.clone(),
            lifecycle: lifecycle.clone(),
            directory: told.directory,
            tls: told.tls,
            class: told.class,
            budget: told.budget,
            seed: config.seed,
            named: AtomicU64::new(1),
        };
        fronts.push(tokio::spawn(tds::serve(listener, Arc::new(front), places / 2)));
    }
    if let Some(told) = config.admin {
        let listener = bind(told.listen).await?;
        certificates.send_replace(told.tls);
        let api =
            Admin::new(handle.clone(), lifecycle.clone(), tenant_service, clock, told.token, cluster.clone());
        fronts.push(tokio::spawn(admin::serve(listener, api, certificates.subscribe())));
    }
    for event in [Event::EngineListLoaded, Event::EnginesChecked] {
        lifecycle.apply(event)?;
    }
    if let Some(place) = left {
        tokio::spawn(state_handover::keep(place, handle.clone(), clock, lifecycle.clone()));
    }
    let leaving = state_handover::leaving(&config.name).filter(|_| shared);
    if let Some(place) = leaving.clone() {
        tokio::spawn(state_handover::beside(place, handle.clone(), clock, lifecycle.clone()));
    }
    log::info!("{} is ready", config.name);
    loop {
        tokio::select! {
            _ = terminated.recv() => {
                log::info!("SIGTERM: finishing what is open");
                break;
            }
            // Only a fleet's roll does this: what runs the program starts it again.
            () = restart.notified() => {
                log::info!("roll: finishing what is open, to be started again");
                break;
            }
            _ = reloaded.recv() => match lifecycle.apply(Event::Reload) {
                Ok(_) => reload(&mut read, &source, &clock, &names, &certificates),
                Err(why) => log::warn!("SIGHUP: {why}"),
            },
        }
    }
    lifecycle.apply(Event::Terminate)?;
    let shutdown_by = clock.now() + counted + FORCED_AFTER - KEPT_FOR_ANSWERS;
    handle.notify(Input::ShutdownBy(shutdown_by)).await?;
    if let Some(place) = leaving {
        tokio::spawn(state_handover::leave(place, clock, lifecycle.clone()));
    }
    let served = async {
        for front in fronts {
            // It ends by itself once nobody comes any more, and has then taken what the machine accepted for it.
            if let Err(error) = front.await {
                log::error!("a front ended before its time: {error}");
            }
        }
        if !shared {
            handle.notify(Input::RejectNew).await?;
        }
        // What was accepted here is served to its end, also a request whose client is still writing it.
        while handle.open_requests().await? > 0 || lifecycle.unanswered() > 0 || lifecycle.connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok::<(), service::ServiceEnded>(())
    };
    let last = clock.instant(shutdown_by + Micros(KEPT_FOR_ANSWERS.0 / 2));
    match tokio::time::timeout_at(last.into(), served).await {
        Ok(served) => {
            served?;
            debug_assert_eq!(
                (lifecycle.unanswered(), lifecycle.connections()),
                (0, 0),
                "counts are at zero at the end"
            );
        }
        Err(_) => log::warn!("{} requests have no whole answer at the end", lifecycle.unanswered()),
    }
    if let Some(cluster) = &cluster {
        // Its duties were handed over from SIGTERM on: the others need not wait for their leases' end.
        let _over = tokio::time::timeout(HANDED_OVER_WITHIN, cluster.leave()).await;
    }
    tokio::time::sleep(LAST_WORDS).await;
    lifecycle.apply(Event::LastResponseSent)?;
    log::info!("all is answered");
    Ok(())
}
