//! The administration API: JSON over HTTP on its own listener, with a bearer token. `docs/admin.md` lists it.

use crate::core::{Input, Report, Tally};
use crate::front::http::message::{Request, Response};
use crate::front::http::read_request;
use crate::front::{self, Door, Seat};
use crate::service::{Ended, Handle};
use bytes::BytesMut;
use serde_json::json;
use std::fmt::Write;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Connections at once.
const MOST: usize = 16;

/// What every connection of the API knows.
#[derive(Debug)]
pub struct Admin {
    /// The way to the core.
    pub handle: Handle,
    /// What the fronts share.
    pub door: Door,
    /// The token that every call but the health check carries.
    pub token: String,
    /// Tenants, with their shares.
    pub tenants: Vec<(String, f64)>,
}

/// Accepts connections until it is dropped.
pub async fn serve(listener: TcpListener, admin: Arc<Admin>) {
    let each = |stream, seat| {
        let admin = admin.clone();
        async move { connection(stream, &seat, &admin).await }
    };
    front::accept(listener, MOST, "admin", each).await;
}

async fn connection(mut stream: TcpStream, seat: &Seat, admin: &Admin) -> std::io::Result<()> {
    let mut buffer = BytesMut::with_capacity(4096);
    let mut first = true;
    while let Some(read) = read_request(&mut stream, &mut buffer, first).await? {
        first = false;
        seat.busy();
        let (response, close) = match read {
            Ok(request) => (admin.call(&request).await, request.close),
            Err(error) => (problem(error.status(), &error.to_string()), true),
        };
        stream.write_all(&response.bytes(close)).await?;
        if close {
            seat.ending();
            return front::linger(&mut stream, &mut buffer).await;
        }
        seat.idle();
    }
    Ok(())
}

fn problem(status: u16, why: &str) -> Response {
    Response::json(status, json!({ "error": why }).to_string())
}

/// Compares without telling by its time how much was right.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |all, (a, b)| all | (a ^ b)) == 0
}

impl Admin {
    async fn call(&self, request: &Request) -> Response {
        let (method, target) = (request.method.as_str(), request.target.as_str());
        if (method, target) == ("GET", "/health") {
            let status = if self.door.is_ready() { 200 } else { 503 };
            return Response::json(status, json!({ "ready": self.door.is_ready() }).to_string());
        }
        let token = request.field("Authorization").and_then(|told| told.strip_prefix("Bearer "));
        if !token.is_some_and(|token| same(token.as_bytes(), self.token.as_bytes())) {
            return problem(401, "a bearer token is needed").with("WWW-Authenticate", "Bearer".to_owned());
        }
        let answer = match (method, target.strip_prefix("/requests/")) {
            ("DELETE", Some(name)) => self.cancel(name).await,
            _ => self.show(method, target).await,
        };
        answer.unwrap_or_else(|Ended| problem(503, "the service has ended"))
    }

    async fn cancel(&self, name: &str) -> Result<Response, Ended> {
        let report = self.handle.inspect().await?;
        let Some(request) = report.requests.iter().find(|request| request.name == name) else {
            return Ok(problem(404, "no such request is open"));
        };
        self.handle.tell(Input::Cancelled(request.id)).await?;
        log::info!("admin: request {name} cancelled");
        Ok(Response::json(200, json!({ "cancelled": name }).to_string()))
    }

    async fn show(&self, method: &str, target: &str) -> Result<Response, Ended> {
        let report = self.handle.inspect().await?;
        let body = match target {
            "/tenants" => json!({ "tenants": self.tenants(&report) }),
            "/engines" => json!({ "engines": report.engines }),
            "/requests" => json!({ "requests": report.requests }),
            "/metrics" if method == "GET" => return Ok(Response::text(200, metrics(&report))),
            _ => return Ok(problem(404, "no such path")),
        };
        Ok(if method == "GET" {
            Response::json(200, body.to_string())
        } else {
            problem(405, "no such method")
        })
    }

    fn tenants(&self, report: &Report) -> Vec<serde_json::Value> {
        let of = |name: &str| -> Vec<&Tally> {
            report.tallies.iter().filter(|tally| tally.tenant == name).collect()
        };
        let open = |name: &str| {
            report.requests.iter().filter(|request| request.tenant.as_deref() == Some(name)).count()
        };
        let tenants = self.tenants.iter();
        tenants
            .map(|(name, share)| json!({ "name": name, "share": share, "open": open(name), "classes": of(name) }))
            .collect()
    }
}

fn label(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// The state in Prometheus' text format.
fn metrics(report: &Report) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "# TYPE sanddyke_requests_total counter");
    for tally in &report.tallies {
        let ends = [
            ("served", tally.served),
            ("refused", tally.refused),
            ("failed", tally.failed),
            ("cancelled", tally.cancelled),
            ("left", tally.left),
        ];
        for (end, count) in ends {
            let (class, tenant) = (label(&tally.class), label(&tally.tenant));
            let labels = format!("class=\"{class}\",tenant=\"{tenant}\",end=\"{end}\"");
            let _ = writeln!(text, "sanddyke_requests_total{{{labels}}} {count}");
        }
    }
    let _ = writeln!(text, "# TYPE sanddyke_served_seconds_total counter");
    for tally in &report.tallies {
        let (class, tenant) = (label(&tally.class), label(&tally.tenant));
        let seconds = tally.served_us as f64 / 1e6;
        let _ = writeln!(
            text,
            "sanddyke_served_seconds_total{{class=\"{class}\",tenant=\"{tenant}\"}} {seconds}"
        );
    }
    let _ = writeln!(
        text,
        "# TYPE sanddyke_requests_open gauge\nsanddyke_requests_open {}",
        report.requests.len()
    );
    let _ = writeln!(text, "# TYPE sanddyke_attempts_total counter");
    for (end, count) in &report.attempts {
        let _ = writeln!(text, "sanddyke_attempts_total{{outcome=\"{end}\"}} {count}");
    }
    let _ = writeln!(text, "# TYPE sanddyke_attempts_out gauge");
    for engine in &report.engines {
        let labels = format!("engine=\"{}\",state=\"{}\"", label(&engine.name), engine.state);
        let _ = writeln!(text, "sanddyke_attempts_out{{{labels}}} {}", engine.attempts_out);
    }
    text
}
