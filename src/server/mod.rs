//! The server process: start-up, the wait for signals, reload of the configuration, and graceful shutdown.

mod error;
mod limits;
mod listeners;
mod reload;
mod shutdown;
mod startup;

pub use error::{ACCEPT_FD_VARIABLE, ServerError};

use reload::ConfigReloader;
use sanddyke::clock::Clock;
use sanddyke::cluster::Cluster;
use sanddyke::config::{Config, Source};
use sanddyke::lifecycle::LifecycleHandle;
use sanddyke::service::ServiceHandle;
use sanddyke_lifecycle::{Event, ListenSocket};
use sanddyke_snapshot::SnapshotFile;
use shutdown::ShutdownBudget;
use std::net::TcpListener;
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// What a server is started with.
#[derive(Debug)]
pub struct StartOptions {
    /// Where the configuration was read, and is read again at SIGHUP.
    pub source: Source,
    /// The process's clock.
    pub clock: Clock,
    /// The configuration.
    pub config: Config,
    /// The clients' socket, where the process has inherited it.
    pub inherited_listener: Option<TcpListener>,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    clock: Clock,
    /// Whether other processes accept on the clients' socket too.
    socket: ListenSocket,
    lifecycle: LifecycleHandle,
    service: ServiceHandle,
    /// The accept loops of the clients' and the operators' listeners.
    frontends: Vec<JoinHandle<()>>,
    cluster: Option<Cluster>,
    signals: Signals,
    /// Notified when the cluster's rolling restart comes to this manager.
    restart: Arc<Notify>,
    reloader: ConfigReloader,
    shutdown_budget: ShutdownBudget,
    /// Where this process publishes its open connections while it shuts down, if another takes over.
    peer_connections_file: Option<SnapshotFile>,
}

/// The parts that most tasks need: the way to the service, the lifecycle and the clock.
#[derive(Debug, Clone)]
struct Handles {
    service: ServiceHandle,
    lifecycle: LifecycleHandle,
    clock: Clock,
}

/// The signals that the server handles.
#[derive(Debug)]
struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    fn register() -> std::io::Result<Signals> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, reload: signal(SignalKind::hangup())? })
    }
}

/// Runs a server from its start to its graceful end.
pub async fn run(options: StartOptions) -> Result<(), ServerError> {
    let mut server = Server::start(options).await?;
    server.run_until_terminated().await;
    server.shut_down().await
}

impl Server {
    /// Serves until SIGTERM or a restart that the cluster has ordered. SIGHUP reloads the configuration.
    async fn run_until_terminated(&mut self) {
        loop {
            tokio::select! {
                _ = self.signals.terminate.recv() => {
                    log::info!("SIGTERM: graceful shutdown begins");
                    return;
                }
                // The service manager starts the process again.
                () = self.restart.notified() => {
                    log::info!("roll: graceful shutdown begins, to be started again");
                    return;
                }
                _ = self.signals.reload.recv() => match self.lifecycle.apply(Event::Reload) {
                    Ok(_) => self.reloader.reload(),
                    Err(error) => log::warn!("SIGHUP: {error}"),
                },
            }
        }
    }
}
