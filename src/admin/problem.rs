//! Problem details (RFC 9457): each error has a code that stays, a status, and a sentence for people.

use crate::frontend::http::message::Response;
use crate::tenants::TenantServiceError;
use sanddyke_store::StoreError;
use sanddyke_tenancy::ChangeError;
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

impl From<TenantServiceError> for Problem {
    fn from(failure: TenantServiceError) -> Problem {
        let (status, code) = match &failure {
            TenantServiceError::Rejected(ChangeError::Invalid(_)) => (422, "invalid"),
            TenantServiceError::Rejected(ChangeError::NotFound(_)) | TenantServiceError::UnknownToken => {
                (404, "not_found")
            }
            TenantServiceError::Rejected(ChangeError::Exists(_)) => (409, "exists"),
            TenantServiceError::Rejected(ChangeError::Stale { .. }) => (412, "stale"),
            TenantServiceError::Rejected(ChangeError::HasMembers(_)) => (409, "has_members"),
            TenantServiceError::Rejected(ChangeError::Transition(..)) => (409, "transition"),
            TenantServiceError::Rejected(ChangeError::Full(_)) => (409, "full"),
            TenantServiceError::Store(StoreError::Exists(_)) => (409, "exists"),
            TenantServiceError::Store(_) => (503, "store"),
            TenantServiceError::NoStore => (409, "no_store"),
            TenantServiceError::NoBackups => (409, "no_backups"),
            TenantServiceError::KeyReused => (422, "key_taken"),
            TenantServiceError::Grant(_) => (422, "invalid"),
            TenantServiceError::Ended => (503, "ending"),
        };
        Problem::new(status, code, failure.to_string())
    }
}

impl From<crate::service::ServiceEnded> for Problem {
    fn from(ended: crate::service::ServiceEnded) -> Problem {
        Problem::from(TenantServiceError::from(ended))
    }
}
