//! The server process: start-up, signal handling, configuration reload and graceful shutdown.

mod error;
mod limits;
mod listeners;
mod memory_log;
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

/// Parameters of a server's start.
#[derive(Debug)]
pub struct StartOptions {
    /// Where the configuration was read; SIGHUP reads it again.
    pub source: Source,
    /// The process's one clock.
    pub clock: Clock,
    /// The checked configuration.
    pub config: Config,
    /// The listening socket for HTTP clients, if the process inherited it.
    pub inherited_listener: Option<TcpListener>,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    clock: Clock,
    /// Whether other processes also accept on the listening socket for HTTP clients.
    socket: ListenSocket,
    lifecycle: LifecycleHandle,
    service: ServiceHandle,
    /// The accept loops of the listeners for clients and operators.
    accept_loops: Vec<JoinHandle<()>>,
    cluster: Option<Cluster>,
    signals: Signals,
    /// Notified when a rolling restart of the cluster restarts this manager.
    restart: Arc<Notify>,
    reloader: ConfigReloader,
    shutdown_budget: ShutdownBudget,
    /// Where this process publishes the number of its open connections while it shuts down. `None` if no other
    /// process accepts on the same socket.
    peer_connections_file: Option<SnapshotFile>,
}

/// Handles that most tasks need: the service, the lifecycle and the clock.
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

/// Runs a server from its start to the end of its graceful shutdown.
pub async fn run(options: StartOptions) -> Result<(), ServerError> {
    let mut server = Server::start(options).await?;
    server.run_until_terminated().await;
    server.shut_down().await
}

impl Server {
    /// Serves until SIGTERM or until a rolling restart of the cluster restarts this manager. SIGHUP reloads the
    /// configuration.
    async fn run_until_terminated(&mut self) {
        loop {
            tokio::select! {
                _ = self.signals.terminate.recv() => {
                    log::info!("SIGTERM: graceful shutdown begins");
                    return;
                }
                // The service manager starts the process again after its exit.
                () = self.restart.notified() => {
                    log::info!("roll: graceful shutdown begins, the service manager restarts the process");
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
