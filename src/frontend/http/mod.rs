//! The platform's front: HTTP/1.1, one call on a connection at a time.

pub mod message;
mod pages;

use self::message::{Request, Response, Unreadable};
use self::pages::Pages;
use super::ConnectionPermit;
use crate::clock::Micros;
use crate::core::{Answer, IncomingRequest, Input, Invalid, Row};
use crate::lifecycle::LifecycleHandle;
use crate::service::ServiceHandle;
use bytes::BytesMut;
use sanddyke_tenancy::Reason;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A client must have sent a whole request by then, counted from its connection or its first byte.
const READ_TIME: Duration = Duration::from_millis(2500);
/// Clients close what has been idle for 4 s; who does not holds the connection for nothing.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// A client that reads none of its answer for so long has left.
const WRITE_TIME: Duration = Duration::from_secs(10);
/// What a client may send ahead while its answer is awaited. What comes on top is dropped, so much at a time, with
/// a pause after each: a client that has gone is seen behind it, and one that sends for ever costs little.
const MOST_AHEAD: usize = 64 * 1024;
const AHEAD_PAUSE: Duration = Duration::from_millis(10);

/// What every connection of this front knows.
#[derive(Debug)]
pub struct Http {
    handle: ServiceHandle,
    lifecycle: LifecycleHandle,
    pages: Mutex<Pages>,
    page_bytes: usize,
}

impl Http {
    /// A front that hands requests to the service, and splits results of more than so many bytes.
    pub fn new(handle: ServiceHandle, lifecycle: LifecycleHandle, page_bytes: usize) -> Arc<Http> {
        Arc::new(Http { handle, lifecycle, pages: Mutex::default(), page_bytes })
    }
}

/// Accepts connections until it is dropped.
pub async fn serve(listener: TcpListener, front: Arc<Http>, most: usize) {
    let each = |stream, permit| {
        let front = front.clone();
        async move { connection(stream, &permit, &front).await }
    };
    super::accept(listener, most, "client", front.lifecycle.wait_for_accept_stop(), each).await;
}

/// When the first request of a connection that has just come is due.
pub fn first_by() -> Instant {
    Instant::now() + READ_TIME
}

/// Reads the next request; `None` where the client closed, or did not send one in time: by a time, or else by so
/// long after its first byte.
pub async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    buffer: &mut BytesMut,
    by: Option<Instant>,
    longest_body: usize,
) -> std::io::Result<Option<Result<Request, Unreadable>>> {
    let mut told = false;
    let mut begun = by.is_some() || !buffer.is_empty();
    let mut until = by.unwrap_or(Instant::now() + if begun { READ_TIME } else { IDLE_TIME });
    loop {
        match message::read_head(buffer, longest_body) {
            Err(error) => return Ok(Some(Err(error))),
            Ok(Some(head)) => {
                let expects = head.expects && !told;
                match head.take(buffer) {
                    Some(request) => return Ok(Some(Ok(request))),
                    None if expects => {
                        told = true;
                        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    None => {}
                }
            }
            Ok(None) => {}
        }
        match tokio::time::timeout_at(until, stream.read_buf(buffer)).await {
            Ok(Ok(1..)) => {}
            Ok(Err(error)) => return Err(error),
            Ok(Ok(0)) | Err(_) => return Ok(None),
        }
        if !begun {
            (begun, until) = (true, Instant::now() + READ_TIME);
        }
    }
}

/// A client's connection, and what it has sent that is not read yet.
struct Client {
    stream: TcpStream,
    buffer: BytesMut,
    /// It has sent more ahead than is kept: where the next request begins is not known any more.
    flooded: bool,
}

async fn connection(stream: TcpStream, permit: &ConnectionPermit, front: &Http) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut client = Client { stream, buffer: BytesMut::with_capacity(4096), flooded: false };
    let (mut by, mut wait) = (Some(first_by()), READ_TIME);
    let present = front.lifecycle.track_connection();
    while front.goes_on(&mut client, wait).await? {
        let Client { stream, buffer, .. } = &mut client;
        let read = read_request(stream, buffer, by, message::LONGEST_BODY).await?;
        let Some(read) = read else { break };
        (by, wait) = (None, IDLE_TIME);
        permit.busy();
        let counted = front.lifecycle.track_request();
        let (response, close) = match read {
            Ok(request) => match front.call(&mut client, &request).await {
                Some(response) => (response, request.close),
                None => return Ok(()),
            },
            Err(error) => (unusable(error.status(), &error.to_string()), true),
        };
        // Ordinary clients follow this, and come back where they are let in.
        let close = close || client.flooded || !front.lifecycle.keeps_idle_connections();
        tokio::time::timeout(WRITE_TIME, client.stream.write_all(&response.bytes(close))).await??;
        drop(counted);
        if close {
            break;
        }
        permit.idle();
    }
    drop(present);
    permit.ending();
    super::linger(&mut client.stream, &mut client.buffer).await
}

fn unusable(status: u16, why: &str) -> Response {
    Response::json(status, serde_json::json!({ "fault": "Unusable", "why": why }).to_string())
}

/// A field that has to be there, once: of two the engine might be told one and the books the other.
fn field<'a>(request: &'a Request, name: &str) -> Result<&'a str, Response> {
    optional(request, name)?.ok_or_else(|| unusable(400, &format!("{name} is missing")))
}

fn optional<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, Response> {
    let mut values = request.fields.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(unusable(400, &format!("{name} is there twice"))),
        (found, None) => Ok(found.map(|(_, value)| value.as_str())),
    }
}

impl Http {
    /// Waits for the first bytes of a request; false where the client has left, has said nothing for too long, or
    /// is sent away. A request whose bytes are there goes before all that.
    async fn goes_on(&self, client: &mut Client, wait: Duration) -> std::io::Result<bool> {
        if !client.buffer.is_empty() {
            return Ok(true);
        }
        let close_idle = async {
            self.lifecycle.wait_for_idle_close().await;
            // What the machine has received of a connection that has only just been accepted shows one turn later.
            tokio::task::yield_now().await;
        };
        tokio::select! {
            biased;
            read = tokio::time::timeout(wait, client.stream.read_buf(&mut client.buffer)) => match read {
                Ok(read) => Ok(read? > 0),
                Err(_) => Ok(false),
            },
            () = close_idle => Ok(false),
        }
    }

    async fn call(&self, client: &mut Client, request: &Request) -> Option<Response> {
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/check") if self.lifecycle.is_ready() => Some(Response::json(200, "{}".to_owned())),
            ("GET", "/check") => Some(unusable(503, "not ready")),
            ("POST", target) => match target.strip_prefix("/do/") {
                Some(class) => match self.arrival(class, request) {
                    Ok(arrival) => self.ask(client, arrival).await,
                    Err(response) => Some(response),
                },
                None => Some(unusable(404, "no such path")),
            },
            ("GET" | "DELETE", target) => {
                let mut pages = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
                let found = match request.method.as_str() {
                    "GET" => pages.get(target),
                    _ => pages.remove(target).then(|| "{}".to_owned()),
                };
                Some(found.map_or_else(|| unusable(404, "no such path"), |body| Response::json(200, body)))
            }
            _ => Some(unusable(405, "no such method")),
        }
    }

    fn arrival(&self, class: &str, request: &Request) -> Result<IncomingRequest, Response> {
        let name = field(request, "X-Txn")?;
        if name.len() != 16 || !name.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(unusable(400, "X-Txn must be 16 hex digits"));
        }
        let ttl = message::whole_number(field(request, "X-Ttl-Ms")?);
        let ttl = ttl.ok_or_else(|| unusable(400, "X-Ttl-Ms must be a whole number"))?;
        let statement = std::str::from_utf8(&request.body);
        let statement = statement.map_err(|_| unusable(400, "the statement must be UTF-8"))?;
        Ok(IncomingRequest {
            id: 0,
            name: name.to_owned(),
            class: class.to_owned(),
            tenant: optional(request, "X-Merchant")?.map(str::to_owned),
            idempotency_key: optional(request, "X-Txn-Key")?.map(str::to_owned),
            statement: statement.into(),
            time_budget: Micros::from_ms(ttl as f64),
        })
    }

    /// Hands a request over and waits for its answer; `None` where the client left first.
    async fn ask(&self, client: &mut Client, arrival: IncomingRequest) -> Option<Response> {
        let name = arrival.name.clone();
        let Ok(mut asked) = self.handle.submit(arrival).await else { return Some(failed(None)) };
        loop {
            tokio::select! {
                answer = &mut asked.answer => return Some(self.response(&name, answer)),
                read = client.stream.read_buf(&mut client.buffer) => {
                    // A client that stops waiting closes its connection.
                    if !matches!(read, Ok(1..)) {
                        let _ended = self.handle.notify(Input::ClientDisconnected(asked.request)).await;
                        return None;
                    }
                    client.flooded |= client.buffer.len() > MOST_AHEAD;
                    if client.flooded {
                        client.buffer.clear();
                        client.buffer.reserve(MOST_AHEAD);
                        tokio::time::sleep(AHEAD_PAUSE).await;
                    }
                }
            }
        }
    }

    fn response(&self, name: &str, answer: Result<Answer, oneshot::error::RecvError>) -> Response {
        match answer {
            Ok(Answer::Served(table)) => {
                let mut pages = split(&table.rows, self.page_bytes);
                if pages.len() == 1 {
                    return Response::json(200, body(&pages.remove(0), None));
                }
                let mut kept = self.pages.lock().unwrap_or_else(PoisonError::into_inner);
                Response::json(200, kept.keep(name, pages))
            }
            Ok(Answer::Rejected { retry_after, reason }) => refused(retry_after, reason),
            Ok(Answer::Failed(reason)) => failed(reason),
            Err(_) => failed(None),
            Ok(Answer::Cancelled) => Response::json(500, r#"{"fault":"Cancelled"}"#.to_owned()),
            Ok(Answer::Invalid(why)) => {
                let status = match why {
                    Invalid::UnknownClass(_) => 404,
                    Invalid::Duplicate => 409,
                    _ => 400,
                };
                unusable(status, &why.to_string())
            }
        }
    }
}

/// An answer's body: what happened, and the code of a tenant's limit where it is for its sake.
fn fault(what: &str, reason: Option<Reason>) -> String {
    match reason {
        Some(reason) => format!(r#"{{"fault":"{what}","reason":"{}"}}"#, reason.code()),
        None => format!(r#"{{"fault":"{what}"}}"#),
    }
}

fn failed(reason: Option<Reason>) -> Response {
    Response::json(500, fault("Crashed", reason))
}

/// A refusal says when to come back: in whole seconds, as HTTP has it, and in milliseconds. One for a tenant's
/// sake has the status that ordinary clients follow.
fn refused(retry_after: Micros, reason: Option<Reason>) -> Response {
    let status = match reason {
        None => 503,
        Some(Reason::StatementBytes) => 413,
        Some(reason) if reason.passes_by_itself() => 429,
        Some(_) => 403,
    };
    let response = Response::json(status, fault("Rejected", reason));
    if retry_after.0 <= 0 {
        return response;
    }
    let ms = retry_after.0 / 1000;
    response.with("Retry-After", ((ms + 999) / 1000).to_string()).with("X-Throttle-Ms", ms.to_string())
}

/// A page's body.
fn body(rows: &str, more: Option<&str>) -> String {
    match more {
        Some(path) => format!("{{\"more\":\"{path}\",\"result\":[{rows}]}}"),
        None => format!("{{\"result\":[{rows}]}}"),
    }
}

/// The rows as JSON, in pages of at most so many bytes, or one row.
fn split(rows: &[Row], most: usize) -> Vec<String> {
    let mut pages = vec![String::new()];
    for row in rows {
        // Text always has a JSON form.
        let text = serde_json::to_string(row).unwrap_or_default();
        let full = pages.last().is_some_and(|page| !page.is_empty() && page.len() + text.len() > most);
        if full {
            pages.push(String::new());
        }
        if let Some(page) = pages.last_mut() {
            if !page.is_empty() {
                page.push(',');
            }
            page.push_str(&text);
        }
    }
    pages
}
