//! Builds the HTTP responses to clients.

use super::Http;
use super::message::Response;
use super::result_pages::{page_body, split_into_pages};
use crate::clock::Micros;
use crate::core::{Answer, Invalid};
use sanddyke_tenancy::Reason;

impl Http {
    /// Builds the response for the service's answer to the request with this client request id.
    pub(super) fn response(&self, client_request_id: &str, answer: Answer) -> Response {
        match answer {
            Answer::Served(table) => {
                let mut pages = split_into_pages(&table.rows, self.page_bytes);
                if pages.len() == 1 {
                    return Response::json(200, page_body(&pages.remove(0), None));
                }
                Response::json(200, self.result_pages().insert(client_request_id, pages))
            }
            Answer::Rejected { retry_after, reason } => rejection_response(retry_after, reason),
            Answer::Failed(reason) => Response::json(500, error_body("Crashed", reason)),
            Answer::Cancelled => Response::json(500, error_body("Cancelled", None)),
            Answer::Invalid(error) => error_response(invalid_status(&error), &error.to_string()),
        }
    }
}

/// Builds an error response with this status and message. Its fault is `Unusable`.
pub(super) fn error_response(status: u16, message: &str) -> Response {
    Response::json(status, serde_json::json!({ "fault": "Unusable", "why": message }).to_string())
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
