//! The second address, for those who run the program: whether it is ready, and the two calls of a drain.
//!
//! It has a thread, a runtime and descriptors of its own, so that its answers wait for no client, engine or
//! queue. It is not the administration API and has no way to it.

use crate::clock::{Clock, Micros};
use crate::frontend::http::message::{Request, Response};
use crate::frontend::http::{first_by, read_request};
use crate::frontend::{self, ConnectionPermit};
use crate::lifecycle::LifecycleHandle;
use crate::service::ServiceHandle;
use bytes::BytesMut;
use sanddyke_lifecycle::{Event, Phase};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Calls carry nothing that is read.
const LONGEST_BODY: usize = 4096;
/// A caller that reads none of its answer for so long has left.
const WRITE_TIME: Duration = Duration::from_secs(2);
/// The service is asked so often whether it turns.
const BEAT_EVERY: Duration = Duration::from_millis(250);
/// One that has not turned for so long is stuck. A manager short of processor time turns late, but it turns:
/// the platform's shortest wait of a client is above 1 s.
const STUCK_AFTER: Micros = Micros(3_000_000);

/// When the task that serves last turned, in microseconds of the program's clock.
#[derive(Debug, Clone, Default)]
pub struct Heartbeat(Arc<AtomicI64>);

impl Heartbeat {
    /// Asks the service again and again for as long as it is there.
    pub async fn run(self, handle: ServiceHandle, clock: Clock) {
        // The answer comes by the same queue and the same turns as a request's.
        while handle.open_requests().await.is_ok() {
            self.0.store(clock.now().0, Ordering::Relaxed);
            tokio::time::sleep(BEAT_EVERY).await;
        }
    }

    fn beats(&self, now: Micros) -> bool {
        now - Micros(self.0.load(Ordering::Relaxed)) < STUCK_AFTER
    }
}

/// What a call at the second address knows.
#[derive(Debug, Clone)]
pub struct OperationsEndpoint {
    /// The lifecycle that it tells of and moves.
    pub lifecycle: LifecycleHandle,
    /// Whether the service turns.
    pub heartbeat: Heartbeat,
    /// The clock of the heartbeat.
    pub clock: Clock,
}

/// Serves the second address on a thread of its own until the program ends. At most so many callers are heard
/// at once: the oldest who has said nothing whole gives way to a new one.
pub fn start(address: SocketAddr, ops: OperationsEndpoint, most: usize) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serve = async move {
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => {
                frontend::accept(
                    listener,
                    most,
                    "second address",
                    std::future::pending(),
                    |stream, permit| {
                        let ops = ops.clone();
                        async move { ops.connection(stream, &permit).await }
                    },
                )
                .await;
            }
            Err(error) => log::error!("ops: {error}"),
        }
    };
    std::thread::Builder::new().name("ops".to_owned()).spawn(move || runtime.block_on(serve))?;
    Ok(())
}

impl OperationsEndpoint {
    /// One call, one answer: what else comes on the connection is dropped.
    async fn connection(&self, mut stream: TcpStream, permit: &ConnectionPermit) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = BytesMut::with_capacity(1024);
        let Some(read) = read_request(&mut stream, &mut buffer, Some(first_by()), LONGEST_BODY).await? else {
            return Ok(());
        };
        permit.busy();
        let response = match read {
            Ok(request) => self.call(&request),
            Err(error) => Response::json(error.status(), json!({ "error": error.to_string() }).to_string()),
        };
        tokio::time::timeout(WRITE_TIME, stream.write_all(&response.bytes(true))).await??;
        permit.ending();
        frontend::linger(&mut stream, &mut buffer).await
    }

    fn call(&self, request: &Request) -> Response {
        let path = request.target.split_once('?').map_or(request.target.as_str(), |(path, _)| path);
        match (path, request.method.as_str()) {
            ("/admin/health", "GET") => self.health(),
            ("/admin/quiesce", "POST") => self.tell(Event::Quiesce),
            ("/admin/resume", "POST") => self.tell(Event::Resume),
            ("/admin/health" | "/admin/quiesce" | "/admin/resume", _) => {
                let allowed = if path == "/admin/health" { "GET" } else { "POST" };
                let why = json!({ "error": format!("{path} is called by {allowed}") });
                Response::json(405, why.to_string()).with("Allow", allowed.to_owned())
            }
            _ => Response::json(404, json!({ "error": "no such path" }).to_string()),
        }
    }

    fn health(&self) -> Response {
        let phase = self.lifecycle.phase();
        let state = if self.heartbeat.beats(self.clock.now()) { phase.name() } else { "stuck" };
        let status = if state == Phase::Ready.name() { 200 } else { 503 };
        Response::json(status, json!({ "state": state }).to_string())
    }

    fn tell(&self, event: Event) -> Response {
        match self.lifecycle.apply(event) {
            Ok(phase) => Response::json(200, json!({ "state": phase.name() }).to_string()),
            Err(why) => {
                let told = json!({ "state": self.lifecycle.phase().name(), "error": why.to_string() });
                Response::json(409, told.to_string())
            }
        }
    }
}
