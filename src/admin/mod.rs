//! The administration API: JSON over HTTP on a listener of its own, with TLS where a certificate is configured, and with
//! bearer tokens. `docs/admin.md` lists the calls; [`routes`] has those of version 1 as a table.

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
use crate::frontend::http::{first_request_deadline, read_request};
use crate::frontend::{self, ConnectionPermit};
use crate::lifecycle::LifecycleHandle;
use crate::service::ServiceHandle;
use crate::tenants::TenantService;
use bytes::BytesMut;
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

/// Connections at once.
const MAX_CONNECTIONS: usize = 16;
/// The longest body: a document of some thousand tenants.
const MAX_BODY_BYTES: usize = 1 << 20;
/// A TLS handshake that takes longer ends the connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// A client that takes longer to read an answer loses the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Calls of one token.
const CALLS: RateLimit = RateLimit { per_second: 100.0, burst: 200.0 };
/// Calls of one token that read all open requests: each costs the service some time.
const EXPENSIVE_CALLS: RateLimit = RateLimit { per_second: 5.0, burst: 20.0 };
/// Calls without a valid token, all together: guessing must not become fast.
const UNAUTHORIZED_CALLS: RateLimit = RateLimit { per_second: 10.0, burst: 50.0 };
/// The id of the operator whose token is in the file.
const ROOT: &str = "root";
/// The key of calls without a valid token in the table of rates; no token has it as its id.
const UNAUTHORIZED: &str = "";

/// A limit on the rate of calls.
#[derive(Debug, Clone, Copy)]
struct RateLimit {
    per_second: f64,
    burst: f64,
}

/// The token buckets of one caller.
#[derive(Debug)]
struct CallBuckets {
    all: TokenBucket,
    expensive: TokenBucket,
}

impl CallBuckets {
    fn full() -> CallBuckets {
        CallBuckets { all: TokenBucket::full(), expensive: TokenBucket::full() }
    }
}

/// The state that all connections of the API share.
#[derive(Debug)]
pub struct Admin {
    handle: ServiceHandle,
    lifecycle: LifecycleHandle,
    tenant_service: Arc<TenantService>,
    clock: Clock,
    token: String,
    cluster: Option<Cluster>,
    watchers: Arc<Semaphore>,
    /// By the id of the caller's token.
    rates: Mutex<HashMap<String, CallBuckets>>,
}

/// The caller of a call.
#[derive(Debug, Clone)]
struct Caller {
    id: String,
    grant: Grant,
}

/// TLS of the listener, which may change while connections come.
pub type Tls = watch::Receiver<Option<Arc<ServerConfig>>>;

/// Accepts connections until the program shuts down.
pub async fn serve(listener: TcpListener, admin: Arc<Admin>, tls: Tls) {
    let each = |stream: TcpStream, permit| {
        let (admin, tls) = (admin.clone(), tls.borrow().clone());
        async move {
            stream.set_nodelay(true)?;
            match tls {
                None => connection(stream, &permit, &admin).await,
                Some(config) => {
                    let handshake = TlsAcceptor::from(config).accept(stream);
                    let accepted = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
                    let encrypted = accepted.map_err(|_| std::io::ErrorKind::TimedOut)??;
                    connection(encrypted, &permit, &admin).await
                }
            }
        }
    };
    frontend::accept(listener, MAX_CONNECTIONS, "admin", admin.lifecycle.wait_for_accept_stop(), each).await;
}

async fn connection<S>(mut stream: S, permit: &ConnectionPermit, admin: &Admin) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut buffer = BytesMut::with_capacity(4096);
    let mut by = Some(first_request_deadline());
    while let Some(read) = read_request(&mut stream, &mut buffer, by, MAX_BODY_BYTES).await? {
        by = None;
        permit.busy();
        let (response, close) = match read {
            Ok(request) => (admin.call(&request).await, request.close),
            Err(error) => (Problem::new(error.status(), "unreadable", error.to_string()).response(), true),
        };
        tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&response.bytes(close))).await??;
        if close {
            permit.ending();
            return frontend::linger(&mut stream, &mut buffer).await;
        }
        permit.idle();
    }
    Ok(())
}

impl Admin {
    /// The API of a tenant service; `token` is the root operator's.
    pub fn new(
        handle: ServiceHandle,
        lifecycle: LifecycleHandle,
        tenant_service: Arc<TenantService>,
        clock: Clock,
        token: String,
        cluster: Option<Cluster>,
    ) -> Arc<Admin> {
        let rates = Mutex::default();
        Arc::new(Admin {
            handle,
            lifecycle,
            tenant_service,
            clock,
            token,
            cluster,
            watchers: v1::watcher_permits(),
            rates,
        })
    }

    async fn call(&self, request: &Request) -> Response {
        self.answer(request).await.unwrap_or_else(|problem| problem.response())
    }

    async fn answer(&self, request: &Request) -> Result<Response, Problem> {
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

    fn health(&self) -> Response {
        let is_ready = self.lifecycle.is_ready();
        Response::json(if is_ready { 200 } else { 503 }, json!({ "ready": is_ready }).to_string())
    }

    /// The caller, by the bearer token.
    async fn caller(&self, request: &Request) -> Result<Caller, Problem> {
        let secret = request.field("Authorization").and_then(|value| value.strip_prefix("Bearer "));
        if let Some(secret) = secret {
            if constant_time_eq(secret, &self.token) {
                return Ok(root());
            }
            if let Some(token) = self.tenant_service.check(secret).await {
                return Ok(Caller { id: token.id, grant: token.grant });
            }
        }
        self.take(UNAUTHORIZED, UNAUTHORIZED_CALLS, |buckets| &mut buckets.all)?;
        Err(Problem::new(401, "unauthorized", "a valid bearer token is needed"))
    }

    fn limit_rate(&self, caller: &str, is_expensive: bool) -> Result<(), Problem> {
        self.take(caller, CALLS, |buckets| &mut buckets.all)?;
        if is_expensive {
            self.take(caller, EXPENSIVE_CALLS, |buckets| &mut buckets.expensive)?;
        }
        Ok(())
    }

    fn take(
        &self,
        caller: &str,
        limit: RateLimit,
        bucket: fn(&mut CallBuckets) -> &mut TokenBucket,
    ) -> Result<(), Problem> {
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        if rates.len() > 2 * sanddyke_authorization::MAX_TOKENS {
            // Tokens come and go: those that are still in use begin with full buckets.
            rates.clear();
        }
        let buckets = rates.entry(caller.to_owned()).or_insert_with(CallBuckets::full);
        let taken = bucket(buckets).take(self.clock.now().0, limit.per_second, limit.burst);
        taken.map_err(|wait_us| Problem {
            retry_after_ms: Some((wait_us / 1000.0) as i64),
            ..Problem::new(429, "calls", "too many calls")
        })
    }

    /// Calls that version 1 has in another form.
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
            _ => Response::json(200, json!({ "tenants": tenants(&report) }).to_string()),
        })
    }
}

/// The root operator, whose token is in the configured file.
fn root() -> Caller {
    let grant =
        Grant { role: Role::Operator, tenants: BTreeSet::new(), note: String::new(), expires_ms: None };
    Caller { id: ROOT.to_owned(), grant }
}

/// The path of version 1 for the first calls of the API, which had none.
fn versioned(path: &str) -> Cow<'_, str> {
    if path == "/engines" || path == "/requests" || path.starts_with("/requests/") {
        return Cow::Owned(format!("/v1{path}"));
    }
    Cow::Borrowed(path)
}

fn tenants(report: &Report) -> Vec<serde_json::Value> {
    let mut answers: HashMap<&str, Vec<&AnswerCounts>> = HashMap::new();
    report.answers.iter().for_each(|counts| answers.entry(&counts.tenant).or_default().push(counts));
    let of = |name: &str| answers.get(name).cloned().unwrap_or_default();
    let tenants = report.tenants.iter();
    tenants
        .map(|tenant| {
            let (name, share, open) = (&tenant.name, tenant.share, tenant.open_requests);
            json!({ "name": name, "share": share, "open": open, "classes": of(name) })
        })
        .collect()
}
