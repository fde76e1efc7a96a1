//! The TDS frontend. It accepts logins, SQL batches and RPC calls of `sp_executesql`, and submits the statements to the
//! same service as the HTTP frontend.
//!
//! `docs/tds.md` describes the supported part of TDS and lists the error numbers.

mod connection;
mod prelogin;
mod requests;
mod responses;
mod tls;

pub use responses::error_number;

use crate::clock::Micros;
use crate::lifecycle::LifecycleHandle;
use crate::memory::MemoryBudget;
use crate::service::ServiceHandle;
use crate::tenant_directory::Directory;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::net::TcpListener;
use tokio_rustls::rustls::ServerConfig;

/// The state that all connections of this frontend share.
#[derive(Debug)]
pub struct Tds {
    /// The service to which requests are submitted.
    pub service: ServiceHandle,
    /// The program's lifecycle, which counts connections and requests and closes the listener.
    pub lifecycle: LifecycleHandle,
    /// The TLS configuration; `None` if connections are not encrypted.
    pub tls: Option<Arc<ServerConfig>>,
    /// Maps logins to tenants.
    pub directory: Directory,
    /// The class of a request without a `class` hint.
    pub default_class: String,
    /// The time budget of a request without a `ttl_ms` hint.
    pub default_time_budget: Micros,
    /// The seed of the generated client request ids. It differs between runs of the program.
    pub client_request_id_seed: u64,
    /// The number of the next request, from which its client request id is derived.
    pub next_request: AtomicU64,
    /// The memory budget that messages and requests count against.
    pub memory: MemoryBudget,
}

/// Serves at most `max_connections` concurrent connections until the program's lifecycle closes the listener.
pub async fn serve(listener: TcpListener, frontend: Arc<Tds>, max_connections: usize) {
    let serve_connection = |stream, permit| {
        let frontend = frontend.clone();
        async move { connection::serve(stream, &permit, &frontend).await }
    };
    let stop_accepting = frontend.lifecycle.wait_for_accept_stop();
    super::accept(listener, max_connections, "TDS", stop_accepting, serve_connection).await;
}
