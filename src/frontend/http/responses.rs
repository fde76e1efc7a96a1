//! The responses to clients.

use super::Http;
use super::message::Response;
use super::result_pages::{page_body, split_into_pages};
use crate::clock::Micros;
use crate::core::{Answer, Invalid};
use sanddyke_tenancy::Reason;

impl Http {
    /// The response for an answer of the service to the request of this name.
    pub(super) fn response(&self, name: &str, answer: Answer) -> Response {
        match answer {
            Answer::Served(table) => {
                let mut pages = split_into_pages(&table.rows, self.page_bytes);
                if pages.len() == 1 {
                    return Response::json(200, page_body(&pages.remove(0), None));
                }
                Response::json(200, self.result_pages().insert(name, pages))
            }
            Answer::Rejected { retry_after, reason } => rejected(retry_after, reason),
            Answer::Failed(reason) => Response::json(500, fault_body("Crashed", reason)),
            Answer::Cancelled => Response::json(500, fault_body("Cancelled", None)),
            Answer::Invalid(error) => unusable(invalid_status(&error), &error.to_string()),
        }
    }
}

/// The response to a request that cannot be used.
pub(super) fn unusable(status: u16, message: &str) -> Response {
    Response::json(status, serde_json::json!({ "fault": "Unusable", "why": message }).to_string())
}

fn invalid_status(error: &Invalid) -> u16 {
    match error {
        Invalid::UnknownClass(_) => 404,
        Invalid::Duplicate => 409,
        _ => 400,
    }
}

/// The body of a fault, with the code of the tenant's limit that is the reason.
fn fault_body(fault: &str, reason: Option<Reason>) -> String {
    match reason {
        Some(reason) => format!(r#"{{"fault":"{fault}","reason":"{}"}}"#, reason.code()),
        None => format!(r#"{{"fault":"{fault}"}}"#),
    }
}

/// A rejection says when to retry, in whole seconds as HTTP has it, and in milliseconds. One by a limit of the tenant
/// has the status that HTTP clients know for its kind.
fn rejected(retry_after: Micros, reason: Option<Reason>) -> Response {
    let status = match reason {
        None => 503,
        Some(Reason::StatementBytes) => 413,
        Some(reason) if reason.is_temporary() => 429,
        Some(_) => 403,
    };
    let response = Response::json(status, fault_body("Rejected", reason));
    if retry_after.0 <= 0 {
        return response;
    }
    let retry_after_ms = retry_after.0 / 1000;
    let retry_after_seconds = (retry_after_ms + 999) / 1000;
    response
        .with("Retry-After", retry_after_seconds.to_string())
        .with("X-Throttle-Ms", retry_after_ms.to_string())
}
