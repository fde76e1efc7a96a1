//! Problem details (RFC 9457): each error has a code that stays, a status, and a sentence for people.

use crate::frontend::http::message::Response;
use crate::tenants::Failure;
use sanddyke_store::StoreError;
use sanddyke_tenancy::Refusal;
use serde_json::json;

/// An error of the API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The status that it is answered with.
    pub status: u16,
    /// Its code, the last part of its type.
    pub code: &'static str,
    /// What is wrong, in words.
    pub detail: String,
    /// When to come back (ms), where that helps.
    pub retry_after_ms: Option<i64>,
}

impl Problem {
    /// A problem.
    pub fn new(status: u16, code: &'static str, detail: impl Into<String>) -> Problem {
        Problem { status, code, detail: detail.into(), retry_after_ms: None }
    }

    /// Its answer.
    pub fn response(&self) -> Response {
        let body = json!({
            "type": format!("urn:sanddyke:problem:{}", self.code),
            "title": self.code.replace('_', " "),
            "status": self.status,
            "detail": self.detail,
        });
        let response = Response::of(self.status, "application/problem+json", body.to_string());
        match (self.status, self.retry_after_ms) {
            (401, _) => response.with("WWW-Authenticate", "Bearer".to_owned()),
            (_, Some(ms)) => response.with("Retry-After", ((ms + 999) / 1000).to_string()),
            _ => response,
        }
    }
}

impl From<Failure> for Problem {
    fn from(failure: Failure) -> Problem {
        let (status, code) = match &failure {
            Failure::Refused(Refusal::Invalid(_)) => (422, "invalid"),
            Failure::Refused(Refusal::NotFound(_)) | Failure::NoToken => (404, "not_found"),
            Failure::Refused(Refusal::Exists(_)) => (409, "exists"),
            Failure::Refused(Refusal::Stale { .. }) => (412, "stale"),
            Failure::Refused(Refusal::HasMembers(_)) => (409, "has_members"),
            Failure::Refused(Refusal::Transition(..)) => (409, "transition"),
            Failure::Refused(Refusal::Full(_)) => (409, "full"),
            Failure::Store(StoreError::Exists(_)) => (409, "exists"),
            Failure::Store(_) => (503, "store"),
            Failure::NoStore => (409, "no_store"),
            Failure::NoBackups => (409, "no_backups"),
            Failure::KeyTaken => (422, "key_taken"),
            Failure::Grant(_) => (422, "invalid"),
            Failure::Ended => (503, "ending"),
        };
        Problem::new(status, code, failure.to_string())
    }
}

impl From<crate::service::Ended> for Problem {
    fn from(ended: crate::service::Ended) -> Problem {
        Problem::from(Failure::from(ended))
    }
}
