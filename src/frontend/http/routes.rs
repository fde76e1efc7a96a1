//! Routes requests by method and path, and reads their header fields.

use super::Http;
use super::message::{self, Request, Response};
use super::responses::{Reply, error_response};
use crate::clock::Micros;
use crate::core::IncomingRequest;

/// The length of a client request id, in hexadecimal digits.
const CLIENT_REQUEST_ID_DIGITS: usize = 16;

/// What becomes of a request.
#[derive(Debug)]
pub(super) enum Routed {
    Reply(Reply),
    /// It is to be submitted to the service.
    Submit(IncomingRequest),
}

impl Http {
    /// Answers a request, or converts it into a request for the service.
    pub(super) fn route(&self, request: Request) -> Routed {
        let reply = match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/check") => self.readiness().into(),
            ("POST", target) => {
                let Some(class) = target.strip_prefix("/do/") else {
                    return Routed::Reply(no_such_path().into());
                };
                match incoming_request(class, &request) {
                    Ok(incoming) => return Routed::Submit(incoming),
                    Err(response) => response.into(),
                }
            }
            ("GET", target) => match self.result_pages().get(target) {
                Some(page) => page.into(),
                None => no_such_path().into(),
            },
            ("DELETE", target) => match self.result_pages().remove(target) {
                true => empty_response().into(),
                false => no_such_path().into(),
            },
            _ => error_response(405, "no such method").into(),
        };
        Routed::Reply(reply)
    }

    fn readiness(&self) -> Response {
        if self.lifecycle.is_ready() { empty_response() } else { error_response(503, "not ready") }
    }
}

fn empty_response() -> Response {
    Response::json(200, "{}".to_owned())
}

fn no_such_path() -> Response {
    error_response(404, "no such path")
}

/// Converts a client's request into a request for the service. The error is the response to an invalid request.
fn incoming_request(class: &str, request: &Request) -> Result<IncomingRequest, Response> {
    let client_request_id = required_field(request, "X-Txn")?;
    if client_request_id.len() != CLIENT_REQUEST_ID_DIGITS
        || !client_request_id.bytes().all(|byte| byte.is_ascii_hexdigit())
    {
        return Err(error_response(400, "X-Txn must be 16 hex digits"));
    }
    let ttl_ms = message::parse_integer(required_field(request, "X-Ttl-Ms")?);
    let ttl_ms = ttl_ms.ok_or_else(|| error_response(400, "X-Ttl-Ms must be a whole number"))?;
    let statement = std::str::from_utf8(&request.body);
    let statement = statement.map_err(|_| error_response(400, "the statement must be UTF-8"))?;
    Ok(IncomingRequest {
        id: 0,
        client_request_id: client_request_id.to_owned(),
        class: class.to_owned(),
        tenant: optional_field(request, "X-Merchant")?.map(str::to_owned),
        idempotency_key: optional_field(request, "X-Txn-Key")?.map(str::to_owned),
        statement: statement.into(),
        time_budget: Micros::from_ms(ttl_ms as f64),
    })
}

fn required_field<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, Response> {
    optional_field(request, name)?.ok_or_else(|| error_response(400, &format!("{name} is missing")))
}

/// Returns the value of a header field; `None` if it was not sent. A field that was sent twice is rejected, because an
/// intermediary and this program could use different values.
fn optional_field<'a>(request: &'a Request, name: &'static str) -> Result<Option<&'a str>, Response> {
    let mut values = request.values(name);
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(error_response(400, &format!("{name} is there twice"))),
        (value, None) => Ok(value),
    }
}
