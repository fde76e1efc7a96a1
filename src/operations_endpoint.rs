//! The operations endpoint: health checks and drains, for whoever operates the process. It is separate from the
//! administration API.
//!
//! It has a thread, a runtime and a connection limit of its own, so that its responses do not wait for clients,
//! engines or queues.

use crate::clock::{Clock, Micros};
use crate::frontend::http::message::{Request, Response};
use crate::frontend::http::{InputBuffer, first_request_deadline, read_request};
use crate::frontend::{self, ConnectionPermit};
use crate::lifecycle::LifecycleHandle;
use crate::memory::MemoryBudget;
use crate::service::ServiceHandle;
use sanddyke_lifecycle::{Event, Phase};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Limit of a request's body. The content of the body is ignored.
const MAX_BODY_BYTES: usize = 4096;
/// The listener's backlog.
const BACKLOG: u32 = 1024;
/// Limit for sending a response. A caller that has not received it by then counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two heartbeats of the service.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A service without a heartbeat for this long is reported as stuck. Lack of processor time delays heartbeats by less:
/// the shortest timeout of the platform's clients is above 1 s.
const STUCK_TIMEOUT: Micros = Micros(3_000_000);

/// The state that a health check reports for a service without a heartbeat.
const STUCK: &str = "stuck";

/// The time at which the service task last completed a turn, in microseconds of the program's clock. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Heartbeat(Arc<AtomicI64>);

impl Heartbeat {
    /// Records heartbeats until the service ends. A heartbeat is the reply to a query, which passes the same queue and
    /// turns as a request.
    pub async fn run(self, service: ServiceHandle, clock: Clock) {
        while service.open_requests().await.is_ok() {
            self.0.store(clock.now().0, Ordering::Relaxed);
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn is_alive(&self, now: Micros) -> bool {
        let last = Micros(self.0.load(Ordering::Relaxed));
        now - last < STUCK_TIMEOUT
    }
}

/// State that all connections of the operations endpoint share.
#[derive(Debug, Clone)]
pub struct OperationsEndpoint {
    /// The lifecycle that health checks report and drains change.
    pub lifecycle: LifecycleHandle,
    /// The heartbeat of the service task.
    pub heartbeat: Heartbeat,
    /// The clock with which the heartbeat is recorded.
    pub clock: Clock,
    /// The memory budget that the input of callers counts against.
    pub memory: MemoryBudget,
}

/// Serves the operations endpoint on a thread of its own until the program ends. If `max_connections` are open, a new
/// connection evicts the oldest one that has sent no complete request.
///
/// # Errors
/// The address can't be bound, or the thread or its runtime can't be created.
pub fn start(
    address: SocketAddr,
    endpoint: OperationsEndpoint,
    max_connections: usize,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = {
        let _entered = runtime.enter();
        listen(address)?
    };
    let serve = async move {
        if let Err(error) = endpoint.serve(listener, max_connections).await {
            log::error!("ops: the operations endpoint has ended: {error}");
        }
    };
    std::thread::Builder::new().name("ops".to_owned()).spawn(move || runtime.block_on(serve))?;
    Ok(())
}

/// Binds the address and listens with a backlog that is long enough for a burst of connections. If the backlog is
/// full, the caller's system repeats the connection attempt after a second, which is later than a health check has to
/// be answered.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl OperationsEndpoint {
    async fn serve(self, listener: TcpListener, max_connections: usize) -> std::io::Result<()> {
        let serve_connection = |stream, permit| {
            let endpoint = self.clone();
            async move { endpoint.serve_connection(stream, &permit).await }
        };
        let never = std::future::pending();
        frontend::accept(listener, max_connections, "operations endpoint", never, serve_connection).await;
        Ok(())
    }

    /// Answers one request. Further data on the connection is dropped.
    async fn serve_connection(
        &self,
        mut stream: TcpStream,
        permit: &ConnectionPermit,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = InputBuffer::new(&self.memory);
        let read =
            read_request(&mut stream, &mut buffer, Some(first_request_deadline()), MAX_BODY_BYTES).await?;
        let Some(request) = read else { return Ok(()) };
        permit.busy();
        let response = match request {
            Ok(request) => self.respond(&request),
            Err(error) => Response::json(error.status(), json!({ "error": error.to_string() }).to_string()),
        };
        tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&response.bytes(true))).await??;
        permit.ending();
        frontend::linger(&mut stream).await
    }

    fn respond(&self, request: &Request) -> Response {
        let target = request.target.as_str();
        let path = target.split_once('?').map_or(target, |(path, _query)| path);
        match (path, request.method.as_str()) {
            ("/admin/health", "GET") => self.health(),
            ("/admin/quiesce", "POST") => self.apply(Event::Quiesce),
            ("/admin/resume", "POST") => self.apply(Event::Resume),
            ("/admin/health", _) => method_not_allowed(path, "GET"),
            ("/admin/quiesce" | "/admin/resume", _) => method_not_allowed(path, "POST"),
            _ => Response::json(404, json!({ "error": "no such path" }).to_string()),
        }
    }

    fn health(&self) -> Response {
        let is_alive = self.heartbeat.is_alive(self.clock.now());
        let state = if is_alive { self.lifecycle.phase().name() } else { STUCK };
        let status = if state == Phase::Ready.name() { 200 } else { 503 };
        Response::json(status, json!({ "state": state }).to_string())
    }

    fn apply(&self, event: Event) -> Response {
        match self.lifecycle.apply(event) {
            Ok(phase) => Response::json(200, json!({ "state": phase.name() }).to_string()),
            Err(error) => {
                let state = self.lifecycle.phase().name();
                Response::json(409, json!({ "state": state, "error": error.to_string() }).to_string())
            }
        }
    }
}

fn method_not_allowed(path: &str, allowed: &str) -> Response {
    let body = json!({ "error": format!("{path} is called by {allowed}") });
    Response::json(405, body.to_string()).with("Allow", allowed.to_owned())
}
