//! The listeners for clients (HTTP and TDS) and for operators (administration API).

use super::Handles;
use super::error::ServerError;
use super::limits::ProcessLimits;
use super::reload::AdminTls;
use sanddyke::admin::{self, Admin};
use sanddyke::cluster::Cluster;
use sanddyke::config::{AdminApi, Config, TdsListener};
use sanddyke::frontend::http::{self, Http};
use sanddyke::frontend::tds::{self, Tds};
use sanddyke::memory::MemoryBudgets;
use sanddyke::tenants::TenantService;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The listeners for clients and operators. Each has an accept loop in a task of its own.
#[derive(Debug)]
pub struct Listeners {
    handles: Handles,
    limits: ProcessLimits,
    memory: MemoryBudgets,
    /// The accept loops. Each ends when the lifecycle no longer allows new connections.
    pub accept_loops: Vec<JoinHandle<()>>,
}

impl Listeners {
    /// Creates a value without listeners; [`Listeners::open`] adds them.
    pub fn new(handles: Handles, limits: ProcessLimits, memory: MemoryBudgets) -> Listeners {
        Listeners { handles, limits, memory, accept_loops: Vec::new() }
    }

    /// Opens the configured listeners.
    pub async fn open(
        &mut self,
        config: Config,
        inherited_listener: Option<std::net::TcpListener>,
        tenant_service: Arc<TenantService>,
        cluster: Option<Cluster>,
        admin_tls: &AdminTls,
    ) -> Result<(), ServerError> {
        if let Some(address) = config.listen {
            self.start_http(address, inherited_listener, config.page_bytes).await?;
        }
        if let Some(settings) = config.tds {
            self.start_tds(settings, config.seed).await?;
        }
        if let Some(settings) = config.admin {
            self.start_admin(settings, tenant_service, cluster, admin_tls).await?;
        }
        Ok(())
    }

    /// Starts to accept HTTP clients, on the inherited socket if there is one.
    async fn start_http(
        &mut self,
        address: SocketAddr,
        inherited_listener: Option<std::net::TcpListener>,
        page_bytes: usize,
    ) -> Result<(), ServerError> {
        let listener = match inherited_listener {
            Some(listener) => TcpListener::from_std(listener)?,
            None => bind(address).await?,
        };
        let frontend = Http::new(
            self.handles.service.clone(),
            self.handles.lifecycle.clone(),
            page_bytes,
            self.memory.clone(),
        );
        let max_connections = self.limits.max_http_connections();
        self.accept_loops.push(tokio::spawn(http::serve(listener, frontend, max_connections)));
        Ok(())
    }

    /// Starts to accept TDS clients.
    async fn start_tds(&mut self, settings: TdsListener, seed: u64) -> Result<(), ServerError> {
        let listener = bind(settings.listen).await?;
        let frontend = Tds {
            service: self.handles.service.clone(),
            lifecycle: self.handles.lifecycle.clone(),
            directory: settings.directory,
            tls: settings.tls,
            default_class: settings.default_class,
            default_time_budget: settings.default_time_budget,
            client_request_id_seed: seed,
            next_request: AtomicU64::new(1),
            memory: self.memory.requests.clone(),
        };
        let max_connections = self.limits.max_tds_connections();
        self.accept_loops.push(tokio::spawn(tds::serve(listener, Arc::new(frontend), max_connections)));
        Ok(())
    }

    /// Starts the administration API. Its certificate can be replaced through `admin_tls`.
    async fn start_admin(
        &mut self,
        settings: AdminApi,
        tenant_service: Arc<TenantService>,
        cluster: Option<Cluster>,
        admin_tls: &AdminTls,
    ) -> Result<(), ServerError> {
        let listener = bind(settings.listen).await?;
        admin_tls.send_replace(settings.tls);
        let Handles { service, lifecycle, clock } = self.handles.clone();
        let api = Admin::new(
            service,
            lifecycle,
            tenant_service,
            clock,
            settings.root_token,
            cluster,
            self.memory.requests.clone(),
        );
        self.accept_loops.push(tokio::spawn(admin::serve(listener, api, admin_tls.subscribe())));
        Ok(())
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ServerError> {
    TcpListener::bind(address).await.map_err(|source| ServerError::BindClientAddress { address, source })
}
