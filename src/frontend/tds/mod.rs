//! The TDS frontend: logins, batches and calls of `sp_executesql`, submitted to the same service as HTTP requests.
//!
//! `docs/tds.md` describes what is supported, and lists the error numbers.

mod connection;
mod prelogin;
mod requests;
mod responses;
mod tls;

pub use responses::error_number;

use crate::clock::Micros;
use crate::lifecycle::LifecycleHandle;
use crate::service::ServiceHandle;
use crate::tenant_directory::Directory;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::net::TcpListener;
use tokio_rustls::rustls::ServerConfig;

/// What the connections of this frontend share.
#[derive(Debug)]
pub struct Tds {
    /// The service that requests are submitted to.
    pub service: ServiceHandle,
    /// The program's lifecycle.
    pub lifecycle: LifecycleHandle,
    /// The configuration for TLS; `None` if connections are not encrypted.
    pub tls: Option<Arc<ServerConfig>>,
    /// Maps logins to tenants.
    pub directory: Directory,
    /// The class of a request that names none.
    pub default_class: String,
    /// The time budget of a request that names none.
    pub default_time_budget: Micros,
    /// The seed of the names of requests.
    pub name_seed: u64,
    /// The number of the next request, from which its name is derived.
    pub next_request: AtomicU64,
}

/// Serves at most `max_connections` connections until the program's lifecycle closes the listener.
pub async fn serve(listener: TcpListener, frontend: Arc<Tds>, max_connections: usize) {
    let serve_connection = |stream, permit| {
        let frontend = frontend.clone();
        async move { connection::serve(stream, &permit, &frontend).await }
    };
    let stop_accepting = frontend.lifecycle.wait_for_accept_stop();
    super::accept(listener, max_connections, "TDS", stop_accepting, serve_connection).await;
}
