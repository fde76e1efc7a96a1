//! The administration API: JSON over HTTP on its own listener, with TLS if a certificate is configured. Every call
//! except `/health` and `/v1/openapi.json` needs a bearer token. `docs/admin.md` describes the calls; [`routes`] is the
//! table of those of version 1.

mod bodies;
mod metrics;
pub mod openapi;
mod problem;
pub mod routes;
mod v1;

use self::problem::Problem;
use crate::clock::Clock;
use crate::cluster::Cluster;
use crate::core::{AnswerCounts, Report};
use crate::frontend::http::message::{Request, Response};
use crate::frontend::http::{InputBuffer, first_request_deadline, read_request};
use crate::frontend::{self, ConnectionPermit};
use crate::lifecycle::LifecycleHandle;
use crate::memory::MemoryBudget;
use crate::service::ServiceHandle;
use crate::tenants::TenantService;
use sanddyke_authorization::{Grant, Role, constant_time_eq};
use sanddyke_tenancy::TokenBucket;
use serde_json::json;
use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 16;
/// Maximum request body. An imported document of several thousand tenants fits.
const MAX_BODY_BYTES: usize = 1 << 20;
/// A connection is closed if its TLS handshake takes longer.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection is closed if its client takes longer to read a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Rate of all calls of one token.
const CALL_LIMIT: RateLimit = RateLimit { per_second: 100.0, burst: 200.0 };
/// Rate of those calls of one token that read the whole state of the core, which takes the core some time:
/// `/v1/engines`, `/v1/requests`, `/metrics` and `/tenants`.
const EXPENSIVE_CALL_LIMIT: RateLimit = RateLimit { per_second: 5.0, burst: 20.0 };
/// Rate of all calls without a valid token together. It bounds the rate at which tokens can be guessed.
const UNAUTHORIZED_CALL_LIMIT: RateLimit = RateLimit { per_second: 10.0, burst: 50.0 };
/// Token id of the root operator, whose token is read from the configured file.
const ROOT_ID: &str = "root";
/// Key of the calls without a valid token in `buckets_by_caller`. No token has an empty id.
const UNAUTHORIZED_ID: &str = "";

/// Rate and burst of a token bucket, in calls.
#[derive(Debug, Clone, Copy)]
struct RateLimit {
    per_second: f64,
    burst: f64,
}

/// Rate-limiting token buckets of one caller.
#[derive(Debug)]
struct CallBuckets {
    all_calls: TokenBucket,
    expensive_calls: TokenBucket,
}

impl CallBuckets {
    fn full() -> CallBuckets {
        CallBuckets { all_calls: TokenBucket::full(), expensive_calls: TokenBucket::full() }
    }
}

/// State shared by all connections of the API.
#[derive(Debug)]
pub struct Admin {
    handle: ServiceHandle,
    lifecycle: LifecycleHandle,
    tenant_service: Arc<TenantService>,
    clock: Clock,
    /// Bearer token of the root operator.
    root_token: String,
    /// `None` if no cluster is configured.
    cluster: Option<Cluster>,
    /// Permits for callers that wait for changes.
    watchers: Arc<Semaphore>,
    /// Keyed by the id of the caller's token, or [`UNAUTHORIZED_ID`].
    buckets_by_caller: Mutex<HashMap<String, CallBuckets>>,
    /// The memory budget that the input of callers counts against.
    memory: MemoryBudget,
}

/// An authenticated caller: the id and the grant of its token.
#[derive(Debug, Clone)]
struct Caller {
    id: String,
    grant: Grant,
}

/// TLS configuration of the listener, `None` without TLS. A new value applies to connections accepted afterwards.
pub type Tls = watch::Receiver<Option<Arc<ServerConfig>>>;

/// Accepts and serves connections until the program shuts down.
pub async fn serve(listener: TcpListener, admin: Arc<Admin>, tls: Tls) {
    let serve_stream = |stream: TcpStream, permit| {
        let (admin, tls) = (admin.clone(), tls.borrow().clone());
        async move {
            stream.set_nodelay(true)?;
            match tls {
                None => serve_connection(stream, &permit, &admin).await,
                Some(config) => {
                    let handshake = TlsAcceptor::from(config).accept(stream);
                    let accepted = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
                    let encrypted = accepted.map_err(|_| std::io::ErrorKind::TimedOut)??;
                    serve_connection(encrypted, &permit, &admin).await
                }
            }
        }
    };
    frontend::accept(
        listener,
        MAX_CONNECTIONS,
        "admin",
        admin.lifecycle.wait_for_accept_stop(),
        serve_stream,
    )
    .await;
}

/// Serves the requests of one connection, one at a time. The first request must be complete by a fixed deadline, each
/// later one within a fixed time from its first byte.
async fn serve_connection<S>(mut stream: S, permit: &ConnectionPermit, admin: &Admin) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut buffer = InputBuffer::new(&admin.memory);
    let mut deadline = Some(first_request_deadline());
    while let Some(read) = read_request(&mut stream, &mut buffer, deadline, MAX_BODY_BYTES).await? {
        deadline = None;
        permit.busy();
        let _tracked_request = admin.lifecycle.track_request();
        let (response, close) = match read {
            Ok(request) => (admin.call(&request).await, request.close),
            Err(error) => (Problem::new(error.status(), "unreadable", error.to_string()).response(), true),
        };
        tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&response.bytes(close))).await??;
        if close {
            permit.ending();
            return frontend::linger(&mut stream).await;
        }
        buffer.shrink();
        permit.idle();
    }
    Ok(())
}

impl Admin {
    /// Creates the API of a tenant service. `root_token` is the root operator's bearer token.
    pub fn new(
        handle: ServiceHandle,
        lifecycle: LifecycleHandle,
        tenant_service: Arc<TenantService>,
        clock: Clock,
        root_token: String,
        cluster: Option<Cluster>,
        memory: MemoryBudget,
    ) -> Arc<Admin> {
        let buckets_by_caller = Mutex::default();
        Arc::new(Admin {
            handle,
            lifecycle,
            tenant_service,
            clock,
            root_token,
            cluster,
            watchers: v1::watcher_permits(),
            buckets_by_caller,
            memory,
        })
    }

    /// Handles a request; errors become problem details.
    async fn call(&self, request: &Request) -> Response {
        self.route(request).await.unwrap_or_else(|problem| problem.response())
    }

    /// Authenticates the caller, limits its rate and routes the request.
    async fn route(&self, request: &Request) -> Result<Response, Problem> {
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/health") => return Ok(self.health()),
            ("GET", "/v1/openapi.json") => {
                return Ok(Response::json(200, openapi::openapi().to_string()));
            }
            _ => {}
        }
        let caller = self.caller(request).await?;
        let path = request.target.split_once('?').map_or(request.target.as_str(), |(path, _)| path);
        let is_unversioned = request.method == "GET" && matches!(path, "/tenants" | "/metrics");
        let is_expensive = is_unversioned || path.starts_with("/v1/requests") || path == "/v1/engines";
        self.limit_rate(&caller.id, is_expensive)?;
        if is_unversioned {
            return self.unversioned(&caller, path).await;
        }
        let path = versioned(path);
        match routes::find(&request.method, &path) {
            Ok((route, name)) => self.v1(&caller, request, route, name).await,
            Err(routes::NoRoute::Path) => Err(Problem::new(404, "no_path", "no such path")),
            Err(routes::NoRoute::Method(allowed)) => {
                Ok(Problem::new(405, "no_method", "no such method").response().with("Allow", allowed))
            }
        }
    }

    /// Status 200 if the service is ready, otherwise 503.
    fn health(&self) -> Response {
        let is_ready = self.lifecycle.is_ready();
        Response::json(if is_ready { 200 } else { 503 }, json!({ "ready": is_ready }).to_string())
    }

    /// Returns the caller with the request's bearer token.
    ///
    /// # Errors
    /// 401 without a valid token; 429 if there are too many such calls.
    async fn caller(&self, request: &Request) -> Result<Caller, Problem> {
        let secret = request.field("Authorization").and_then(|value| value.strip_prefix("Bearer "));
        if let Some(secret) = secret {
            if constant_time_eq(secret, &self.root_token) {
                return Ok(root());
            }
            if let Some(token) = self.tenant_service.authenticate(secret).await {
                return Ok(Caller { id: token.id, grant: token.grant });
            }
        }
        self.take_call(UNAUTHORIZED_ID, UNAUTHORIZED_CALL_LIMIT, |buckets| &mut buckets.all_calls)?;
        Err(Problem::new(401, "unauthorized", "a valid bearer token is needed"))
    }

    /// Rejects a call with 429 if its caller exceeds a rate limit.
    fn limit_rate(&self, caller: &str, is_expensive: bool) -> Result<(), Problem> {
        self.take_call(caller, CALL_LIMIT, |buckets| &mut buckets.all_calls)?;
        if is_expensive {
            self.take_call(caller, EXPENSIVE_CALL_LIMIT, |buckets| &mut buckets.expensive_calls)?;
        }
        Ok(())
    }

    /// Takes a call from one of a caller's buckets.
    fn take_call(
        &self,
        caller: &str,
        limit: RateLimit,
        bucket: fn(&mut CallBuckets) -> &mut TokenBucket,
    ) -> Result<(), Problem> {
        let mut buckets_by_caller = self.buckets_by_caller.lock().unwrap_or_else(PoisonError::into_inner);
        if buckets_by_caller.len() > 2 * sanddyke_authorization::MAX_TOKENS {
            // The table also has entries of removed tokens. It is cleared when it grows too large; the callers that are
            // still active then start with full buckets.
            buckets_by_caller.clear();
        }
        let buckets = buckets_by_caller.entry(caller.to_owned()).or_insert_with(CallBuckets::full);
        let taken = bucket(buckets).take(self.clock.now().0, limit.per_second, limit.burst);
        taken.map_err(|wait_us| Problem {
            retry_after_ms: Some((wait_us / 1000.0) as i64),
            ..Problem::new(429, "calls", "too many calls")
        })
    }

    /// Handles the calls without a version, `/metrics` and `/tenants`. Version 1 has the tenants in another form.
    async fn unversioned(&self, caller: &Caller, path: &str) -> Result<Response, Problem> {
        if !caller.grant.allows(sanddyke_authorization::Permission::View) {
            return Err(Problem::new(403, "forbidden", "this token's role does not allow that"));
        }
        let report = self.handle.inspect().await?;
        Ok(match path {
            "/metrics" => {
                let fleet =
                    self.cluster.as_ref().map_or(String::new(), |cluster| metrics::fleet(&cluster.view()));
                Response::text(200, metrics::service(&report) + &fleet)
            }
            _ => Response::json(200, json!({ "tenants": tenants_json(&report) }).to_string()),
        })
    }
}

/// The caller with the root operator's token: an operator without expiry.
fn root() -> Caller {
    let grant =
        Grant { role: Role::Operator, tenants: BTreeSet::new(), note: String::new(), expires_ms: None };
    Caller { id: ROOT_ID.to_owned(), grant }
}

/// Returns the version 1 path for the API's oldest calls, which had no version in their path.
fn versioned(path: &str) -> Cow<'_, str> {
    if path == "/engines" || path == "/requests" || path.starts_with("/requests/") {
        return Cow::Owned(format!("/v1{path}"));
    }
    Cow::Borrowed(path)
}

/// The unversioned tenant list: shares, open requests and answers by class.
fn tenants_json(report: &Report) -> Vec<serde_json::Value> {
    let mut answers: HashMap<&str, Vec<&AnswerCounts>> = HashMap::new();
    report.answers.iter().for_each(|counts| answers.entry(&counts.tenant).or_default().push(counts));
    let counts_of = |name: &str| answers.get(name).cloned().unwrap_or_default();
    let tenants = report.tenants.iter();
    tenants
        .map(|tenant| {
            let (name, share, open) = (&tenant.name, tenant.share, tenant.open_requests);
            json!({ "name": name, "share": share, "open": open, "classes": counts_of(name) })
        })
        .collect()
}
