//! The administration API: JSON over HTTP on a listener of its own, encrypted where a certificate is set up,
//! with a bearer token. `docs/admin.md` lists it; `routes` has the calls of version 1 as a table.

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
use sanddyke_authorization::{Grant, Role, same};
use sanddyke_tenancy::TokenBucket;
use serde_json::json;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;

/// Connections at once.
const MOST: usize = 16;
/// The longest body: a document of some thousand tenants.
const LONGEST_BODY: usize = 1 << 20;
/// A handshake and a write that take longer end the connection.
const HANDSHAKE_TIME: Duration = Duration::from_secs(3);
const WRITE_TIME: Duration = Duration::from_secs(10);
/// Calls of one token a second, and at once.
const CALLS: (f64, f64) = (100.0, 200.0);
/// Calls that look at all of what is open: each costs the service some time.
const DEAR_CALLS: (f64, f64) = (5.0, 20.0);
/// Calls without a valid token, all together: guessing must not become fast.
const STRANGERS: (f64, f64) = (10.0, 50.0);
/// The name of the operator whose token is in the file.
const ROOT: &str = "root";

/// What every connection of the API knows.
#[derive(Debug)]
pub struct Admin {
    handle: ServiceHandle,
    lifecycle: LifecycleHandle,
    tenant_service: Arc<TenantService>,
    clock: Clock,
    token: String,
    cluster: Option<Cluster>,
    watchers: Arc<Semaphore>,
    rates: Mutex<HashMap<String, (TokenBucket, TokenBucket)>>,
}

/// Who calls.
#[derive(Debug, Clone)]
struct Caller {
    id: String,
    grant: Grant,
}

/// What encrypts the listener; it may change while connections come.
pub type Tls = watch::Receiver<Option<Arc<ServerConfig>>>;

/// Accepts connections until it is dropped.
pub async fn serve(listener: TcpListener, admin: Arc<Admin>, tls: Tls) {
    let each = |stream: TcpStream, permit| {
        let (admin, tls) = (admin.clone(), tls.borrow().clone());
        async move {
            stream.set_nodelay(true)?;
            match tls {
                None => connection(stream, &permit, &admin).await,
                Some(config) => {
                    let shaken = TlsAcceptor::from(config).accept(stream);
                    let shaken = tokio::time::timeout(HANDSHAKE_TIME, shaken).await;
                    connection(shaken.map_err(|_| std::io::ErrorKind::TimedOut)??, &permit, &admin).await
                }
            }
        }
    };
    frontend::accept(listener, MOST, "admin", admin.lifecycle.wait_for_accept_stop(), each).await;
}

async fn connection<S>(mut stream: S, permit: &ConnectionPermit, admin: &Admin) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut buffer = BytesMut::with_capacity(4096);
    let mut by = Some(first_request_deadline());
    while let Some(read) = read_request(&mut stream, &mut buffer, by, LONGEST_BODY).await? {
        by = None;
        permit.busy();
        let (response, close) = match read {
            Ok(request) => (admin.call(&request).await, request.close),
            Err(error) => (Problem::new(error.status(), "unreadable", error.to_string()).response(), true),
        };
        tokio::time::timeout(WRITE_TIME, stream.write_all(&response.bytes(close))).await??;
        if close {
            permit.ending();
            return frontend::linger(&mut stream, &mut buffer).await;
        }
        permit.idle();
    }
    Ok(())
}

impl Admin {
    /// An API over a tenant_service; `token` is the root operator's.
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
        let (method, target) = (request.method.as_str(), request.target.as_str());
        match (method, target) {
            ("GET", "/health") => {
                let status = if self.lifecycle.is_ready() { 200 } else { 503 };
                return Ok(Response::json(status, json!({ "ready": self.lifecycle.is_ready() }).to_string()));
            }
            ("GET", "/v1/openapi.json") => return Ok(Response::json(200, openapi::openapi().to_string())),
            _ => {}
        }
        let caller = self.caller(request).await?;
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        let old = match (method, path) {
            ("GET", "/tenants" | "/metrics") => Some(path),
            _ => None,
        };
        self.pace(&caller.id, old.is_some() || path.starts_with("/v1/requests") || path == "/v1/engines")?;
        if let Some(path) = old {
            return self.old(&caller, path).await;
        }
        // The first calls of the API, under the names that they had.
        let path = match path {
            "/engines" => "/v1/engines",
            "/requests" => "/v1/requests",
            other => other,
        };
        let renamed = path.strip_prefix("/requests/").map(|name| format!("/v1/requests/{name}"));
        let path = renamed.as_deref().unwrap_or(path);
        match routes::find(method, path) {
            Ok((route, name)) => self.v1(&caller, request, route, name).await,
            Err(routes::NoRoute::Path) => Err(Problem::new(404, "no_path", "no such path")),
            Err(routes::NoRoute::Method(allowed)) => {
                Ok(Problem::new(405, "no_method", "no such method").response().with("Allow", allowed))
            }
        }
    }

    /// Who calls, by the bearer token.
    async fn caller(&self, request: &Request) -> Result<Caller, Problem> {
        let secret = request.field("Authorization").and_then(|told| told.strip_prefix("Bearer "));
        if let Some(secret) = secret {
            if same(secret, &self.token) {
                let (tenants, note) = (BTreeSet::new(), String::new());
                let grant = Grant { role: Role::Operator, tenants, note, expires_ms: None };
                return Ok(Caller { id: ROOT.to_owned(), grant });
            }
            if let Some(token) = self.tenant_service.check(secret).await {
                return Ok(Caller { id: token.id, grant: token.grant });
            }
        }
        self.take("", STRANGERS, false)?;
        Err(Problem::new(401, "unauthorized", "a valid bearer token is needed"))
    }

    fn pace(&self, caller: &str, dear: bool) -> Result<(), Problem> {
        self.take(caller, CALLS, false)?;
        if dear { self.take(caller, DEAR_CALLS, true) } else { Ok(()) }
    }

    fn take(&self, who: &str, (rate, burst): (f64, f64), dear: bool) -> Result<(), Problem> {
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        if rates.len() > 2 * sanddyke_authorization::MOST_TOKENS {
            rates.clear(); // tokens come and go: those that are still used begin with a full bucket
        }
        let full = || (TokenBucket::full(), TokenBucket::full());
        let buckets = rates.entry(who.to_owned()).or_insert_with(full);
        let bucket = if dear { &mut buckets.1 } else { &mut buckets.0 };
        bucket.take(self.clock.now().0, rate, burst).map_err(|us| Problem {
            retry_after_ms: Some((us / 1000.0) as i64),
            ..Problem::new(429, "calls", "too many calls")
        })
    }

    /// The calls that version 1 has in another form.
    async fn old(&self, caller: &Caller, path: &str) -> Result<Response, Problem> {
        if !caller.grant.allows(sanddyke_authorization::Permission::See) {
            return Err(Problem::new(403, "forbidden", "this token's role does not allow that"));
        }
        let report = self.handle.inspect().await?;
        Ok(match path {
            "/metrics" => {
                let fleet =
                    self.cluster.as_ref().map_or(String::new(), |cluster| metrics::fleet(&cluster.view()));
                Response::text(200, metrics::text(&report) + &fleet)
            }
            _ => Response::json(200, json!({ "tenants": tenants(&report) }).to_string()),
        })
    }
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
