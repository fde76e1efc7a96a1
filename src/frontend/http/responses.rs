//! Builds the HTTP responses to clients.

use super::Http;
use super::message::{RequestError, Response};
use super::result_pages::{NewResult, Page, page_body, split_into_pages};
use crate::clock::Micros;
use crate::core::{Answer, Invalid, ResultMemory, Table};
use sanddyke_lifecycle::Phase;
use sanddyke_tenancy::Reason;
use std::time::Instant;

/// The time after which a request should be retried for which there was no memory.
const RETRY_AFTER_OUT_OF_MEMORY: Micros = Micros(1_000_000);

/// A response to a client, and the page of a result that it carries.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) response: Response,
    /// The memory of the result, to be released once the response is written.
    pub(super) memory: ResultMemory,
    /// `None` if the response carries no page, or a complete result.
    pub(super) page: Option<PageOfResult>,
}

/// Which page of a result a response carries.
#[derive(Debug)]
pub(super) struct PageOfResult {
    pub(super) client_request_id: String,
    pub(super) is_last: bool,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Reply {
        Reply { response, memory: ResultMemory::default(), page: None }
    }
}

impl From<Page> for Reply {
    fn from(page: Page) -> Reply {
        let Page { body, client_request_id, is_last } = page;
        let memory = ResultMemory::default();
        Reply {
            response: Response::json(200, body),
            memory,
            page: Some(PageOfResult { client_request_id, is_last }),
        }
    }
}

/// The request that an answer belongs to.
#[derive(Debug)]
pub(super) struct AnsweredRequest {
    pub(super) client_request_id: String,
    /// When its client no longer waits for pages of its result.
    pub(super) expires_at: Instant,
}

impl Http {
    /// Builds the response for the service's answer to a request.
    pub(super) fn reply(&self, request: &AnsweredRequest, answer: Answer) -> Reply {
        let response = match answer {
            Answer::Served(table) => return self.served(request, table),
            Answer::Rejected { retry_after, reason } => rejection_response(retry_after, reason),
            Answer::Failed(reason) => Response::json(500, error_body("Crashed", reason)),
            Answer::Cancelled => Response::json(500, error_body("Cancelled", None)),
            Answer::Invalid(error) => error_response(invalid_status(&error), &error.to_string()),
        };
        response.into()
    }

    /// Builds the response with a result, or with its first page. A result is not split into pages if the others could
    /// not be stored, or if their calls would reach the process that this one is handed over to.
    fn served(&self, request: &AnsweredRequest, table: Table) -> Reply {
        let pages = split_into_pages(&table.rows, self.page_bytes);
        if pages.len() > 1 && self.lifecycle.phase() != Phase::HandedOver {
            let new = NewResult {
                client_request_id: &request.client_request_id,
                pages,
                expires_at: request.expires_at,
                undelivered: self.lifecycle.track_result(),
            };
            if let Some(first) = self.result_pages().insert(new, Instant::now()) {
                return Reply { memory: table.memory, ..first.into() };
            }
        }
        let whole = split_into_pages(&table.rows, usize::MAX).concat();
        let response = Response::json(200, page_body(&whole, None));
        Reply { memory: table.memory, ..response.into() }
    }
}

/// Builds an error response with this status and message. Its fault is `Unusable`.
pub(super) fn error_response(status: u16, message: &str) -> Response {
    Response::json(status, serde_json::json!({ "fault": "Unusable", "why": message }).to_string())
}

/// Builds the response to input that is not a valid request, or for which there is no memory.
pub(super) fn request_error_response(error: RequestError) -> Response {
    match error {
        RequestError::OutOfMemory => out_of_memory_response(),
        _ => error_response(error.status(), &error.to_string()),
    }
}

/// Builds the response to a request for which there is no memory. It was not executed.
pub(super) fn out_of_memory_response() -> Response {
    rejection_response(RETRY_AFTER_OUT_OF_MEMORY, None)
}

fn invalid_status(error: &Invalid) -> u16 {
    match error {
        Invalid::UnknownClass(_) => 404,
        Invalid::Duplicate => 409,
        _ => 400,
    }
}

/// Builds the body of an error response. `reason` is the limit of the tenant that caused the error, if one did.
fn error_body(fault: &str, reason: Option<Reason>) -> String {
    match reason {
        Some(reason) => format!(r#"{{"fault":"{fault}","reason":"{}"}}"#, reason.code()),
        None => format!(r#"{{"fault":"{fault}"}}"#),
    }
}

/// Builds the response to a rejected request.
///
/// The retry time is sent in milliseconds (`X-Throttle-Ms`) and in whole seconds (`Retry-After`, which allows no
/// fractions). A rejection by a limit of the tenant has the HTTP status for that kind of limit.
fn rejection_response(retry_after: Micros, reason: Option<Reason>) -> Response {
    let status = match reason {
        None => 503,
        Some(Reason::StatementBytes) => 413,
        Some(reason) if reason.is_temporary() => 429,
        Some(_) => 403,
    };
    let response = Response::json(status, error_body("Rejected", reason));
    if retry_after.0 <= 0 {
        return response;
    }
    let retry_after_ms = retry_after.0 / 1000;
    let retry_after_seconds = (retry_after_ms + 999) / 1000;
    response
        .with("Retry-After", retry_after_seconds.to_string())
        .with("X-Throttle-Ms", retry_after_ms.to_string())
}
