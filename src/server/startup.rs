//! Start-up: opens the store, starts the service and its background tasks, and opens the listeners for clients last,
//! once requests can be served.

use super::error::ServerError;
use super::limits::{ProcessLimits, upstream_limits};
use super::listeners::Listeners;
use super::memory_log;
use super::reload::{AdminTls, ConfigReloader};
use super::shutdown::ShutdownBudget;
use super::{Handles, Server, Signals, StartOptions};
use sanddyke::clock::Clock;
use sanddyke::cluster::Cluster;
use sanddyke::config::{Config, StoreKeys};
use sanddyke::core::{Core, EngineListUpdate, Input};
use sanddyke::discovery::{self, DiscoveryTarget};
use sanddyke::lifecycle::LifecycleHandle;
use sanddyke::memory::{MemoryBudget, MemoryBudgets};
use sanddyke::operations_endpoint::{self, Heartbeat, OperationsEndpoint};
use sanddyke::service::{self, ServiceEnded, ServiceHandle};
use sanddyke::settings::ServiceSettings;
use sanddyke::state_handover;
use sanddyke::tenants::{TenantService, TenantServiceError};
use sanddyke::upstream::UpstreamPool;
use sanddyke_lifecycle::{Event, ListenSocket};
use sanddyke_snapshot::SnapshotFile;
use sanddyke_store::{Loaded, Store, StoreError};
use std::sync::Arc;
use tokio::sync::{Notify, watch};

impl Server {
    /// Starts every part of the server after the parts that it depends on. Clients are accepted last.
    pub async fn start(options: StartOptions) -> Result<Server, ServerError> {
        let StartOptions { source, clock, config, inherited_listener } = options;
        let socket = listen_socket(inherited_listener.as_ref());
        let lifecycle = LifecycleHandle::new(socket);
        let signals = Signals::register()?;
        let shutdown_budget =
            ShutdownBudget::new(&config.service_settings.settings.classes, socket, source.is_platform());

        let store = open_store(config.store.as_ref())?;
        let limits =
            ProcessLimits::new(config.max_descriptors, config.memory_limit_bytes, &config.upstream_protocol);
        let memory = MemoryBudgets::new(limits.budget_bytes());
        tokio::spawn(memory_log::run(memory.clone()));
        let service = start_service(&config, store.is_some(), clock, limits, &memory.results);
        let handles = Handles { service, lifecycle, clock };
        let initial_engines = EngineListUpdate::Initial(config.initial_engines.engines());
        handles.service.notify(Input::Engines(initial_engines)).await?;
        start_operations_endpoint(&config, &handles, limits, &memory.requests)?;

        let handover = HandoverFiles::new(&config.name, socket);
        handover.restore(&handles).await?;
        let tenant_service = start_tenant_service(&config, store, &handles).await?;
        let restart = Arc::new(Notify::new());
        let cluster = join_cluster(&config, &handles, &tenant_service, &restart, &memory.requests)?;
        let discovery_target = start_discovery(&config, &handles);
        let admin_tls = AdminTls::new(None);
        let reloader =
            ConfigReloader::new(source, clock, config.raw.clone(), discovery_target, admin_tls.clone());
        if socket == ListenSocket::Shared {
            // The other process serves clients until this one reports ready.
            state_handover::wait_for_engines(&handles.service, &clock).await?;
        }

        let name = config.name.clone();
        let mut listeners = Listeners::new(handles.clone(), limits, memory);
        listeners.open(config, inherited_listener, tenant_service, cluster.clone(), &admin_tls).await?;
        handles.lifecycle.apply(Event::EngineListLoaded)?;
        handles.lifecycle.apply(Event::EnginesChecked)?;
        handover.start_tasks(&handles);
        log::info!("{name} is ready");
        Ok(Server {
            clock,
            socket,
            lifecycle: handles.lifecycle,
            service: handles.service,
            accept_loops: listeners.accept_loops,
            cluster,
            signals,
            restart,
            reloader,
            shutdown_budget,
            peer_connections_file: handover.connections_file,
        })
    }
}

/// Returns whether the listening socket is shared: other processes also accept on an inherited socket.
fn listen_socket(inherited_listener: Option<&std::net::TcpListener>) -> ListenSocket {
    match inherited_listener {
        Some(_) => ListenSocket::Shared,
        None => ListenSocket::Exclusive,
    }
}

/// The files through which two consecutive processes of one manager exchange state. Both are `None` if the listening
/// socket closes with the process.
#[derive(Debug)]
struct HandoverFiles {
    snapshot_file: Option<SnapshotFile>,
    connections_file: Option<SnapshotFile>,
}

impl HandoverFiles {
    fn new(name: &str, socket: ListenSocket) -> HandoverFiles {
        match socket {
            ListenSocket::Shared => HandoverFiles {
                snapshot_file: state_handover::snapshot_file(name),
                connections_file: state_handover::connections_file(name),
            },
            ListenSocket::Exclusive => HandoverFiles { snapshot_file: None, connections_file: None },
        }
    }

    /// Restores the learned state of the previous process.
    async fn restore(&self, handles: &Handles) -> Result<(), ServiceEnded> {
        match &self.snapshot_file {
            Some(file) => state_handover::restore_snapshot(file, &handles.service, &handles.clock).await,
            None => Ok(()),
        }
    }

    /// Starts the tasks that write snapshots for the next process and read the previous process's connection count.
    fn start_tasks(&self, handles: &Handles) {
        if let Some(file) = self.snapshot_file.clone() {
            let Handles { service, lifecycle, clock } = handles.clone();
            tokio::spawn(state_handover::write_snapshots(file, service, clock, lifecycle));
        }
        if let Some(file) = self.connections_file.clone() {
            let Handles { service, lifecycle, clock } = handles.clone();
            tokio::spawn(state_handover::watch_peer_connections(file, service, clock, lifecycle));
        }
    }
}

/// Opens the store, if one is configured.
fn open_store(keys: Option<&StoreKeys>) -> Result<Option<(Store, Loaded)>, StoreError> {
    keys.map(|keys| Store::open(&keys.path)).transpose()
}

/// Starts the service task, which owns the core and the connections to engines.
fn start_service(
    config: &Config,
    has_store: bool,
    clock: Clock,
    process_limits: ProcessLimits,
    memory: &MemoryBudget,
) -> ServiceHandle {
    let (service, messages) = ServiceHandle::new();
    let limits = upstream_limits(config, process_limits);
    let upstream =
        UpstreamPool::new(config.upstream_protocol.clone(), service.clone(), clock, limits, memory.clone());
    let mut service_settings: ServiceSettings = config.service_settings.clone();
    service_settings.settings.limits.max_open_requests = Some(process_limits.max_open_requests());
    if has_store {
        // With a store, the tenants come from the store. Those of the settings only initialize a new store.
        service_settings.tenants = Vec::new();
        service_settings.settings.tenants = Vec::new();
    }
    let mut core = Core::new(service_settings, config.max_open_requests, config.seed, clock.now());
    if has_store {
        core = core.with_tenant_store();
    }
    tokio::spawn(service::run(core, clock, messages, upstream));
    service
}

/// Starts the operations endpoint, if one is configured, and the heartbeat that its health check uses.
fn start_operations_endpoint(
    config: &Config,
    handles: &Handles,
    limits: ProcessLimits,
    memory: &MemoryBudget,
) -> Result<(), ServerError> {
    let Some(address) = config.operations_endpoint else { return Ok(()) };
    let heartbeat = Heartbeat::default();
    tokio::spawn(heartbeat.clone().run(handles.service.clone(), handles.clock));
    let endpoint = OperationsEndpoint {
        lifecycle: handles.lifecycle.clone(),
        heartbeat,
        clock: handles.clock,
        memory: memory.clone(),
    };
    let max_connections = limits.max_operations_connections();
    operations_endpoint::start(address, endpoint, max_connections)
        .map_err(|source| ServerError::BindOperationsAddress { address, source })
}

/// Starts the tenant service with the tenants of the store, or with those of the settings if there is no store.
async fn start_tenant_service(
    config: &Config,
    store: Option<(Store, Loaded)>,
    handles: &Handles,
) -> Result<Arc<TenantService>, TenantServiceError> {
    let initial_tenants = config.initial_tenants();
    let backups = config.store.as_ref().and_then(|keys| keys.backups.clone());
    let service = handles.service.clone();
    TenantService::start(
        store,
        &initial_tenants,
        backups,
        service,
        config.known_tenants.clone(),
        handles.clock,
    )
    .await
}

/// Starts the discovery task. The returned sender replaces its target.
fn start_discovery(config: &Config, handles: &Handles) -> watch::Sender<DiscoveryTarget> {
    let target = DiscoveryTarget {
        resolver: config.resolver,
        service: config.service_name.clone(),
        configured_engines: config.initial_engines.clone(),
    };
    let (sender, receiver) = watch::channel(target);
    tokio::spawn(discovery::run(receiver, handles.service.clone(), handles.clock, config.seed));
    sender
}

/// Joins the cluster, if one is configured.
#[cfg(feature = "cluster")]
fn join_cluster(
    config: &Config,
    handles: &Handles,
    tenant_service: &Arc<TenantService>,
    restart: &Arc<Notify>,
    memory: &MemoryBudget,
) -> Result<Option<Cluster>, ServerError> {
    use sanddyke::cluster::{
        JoinedCluster, ProcessControl, ROLLING_RESTART_LEASE, backup, follow_lifecycle, restart_controller,
        start,
    };
    let Some(settings) = config.cluster.clone() else { return Ok(None) };
    let address = settings.listen;
    let backup_interval_ms = settings.backup_interval_ms;
    let Handles { lifecycle, clock, .. } = handles.clone();
    let process = ProcessControl { lifecycle: lifecycle.clone(), restart: restart.clone() };
    let joined = start(settings, &config.name, clock, config.seed, process, memory.clone());
    let JoinedCluster { cluster, mut lease_events } =
        joined.map_err(|source| ServerError::BindClusterAddress { address, source })?;
    if let (Some(events), Some(interval_ms)) = (lease_events.remove(backup::LEASE_NAME), backup_interval_ms) {
        tokio::spawn(backup::run(cluster.clone(), events, tenant_service.clone(), clock, interval_ms));
    }
    if let Some(events) = lease_events.remove(ROLLING_RESTART_LEASE) {
        tokio::spawn(restart_controller::run(cluster.clone(), events, clock));
    }
    tokio::spawn(follow_lifecycle(cluster.clone(), lifecycle));
    Ok(Some(cluster))
}

/// A build without the feature `cluster` never joins a cluster.
#[cfg(not(feature = "cluster"))]
fn join_cluster(
    _config: &Config,
    _handles: &Handles,
    _tenant_service: &Arc<TenantService>,
    _restart: &Arc<Notify>,
    _memory: &MemoryBudget,
) -> Result<Option<Cluster>, ServerError> {
    Ok(None)
}
