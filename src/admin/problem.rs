//! Error responses as problem details (RFC 9457). Each error has a stable code, an HTTP status and a text for people.

use crate::frontend::http::message::Response;
use crate::tenants::TenantServiceError;
use sanddyke_store::StoreError;
use sanddyke_tenancy::ChangeError;
use serde_json::json;

/// An error response of the API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status of the response.
    pub status: u16,
    /// Stable code: the last part of the problem type and, with spaces, its title.
    pub code: &'static str,
    /// Description for people.
    pub detail: String,
    /// Delay before a retry in milliseconds, sent as `Retry-After` in whole seconds; `None` if a retry does not help.
    pub retry_after_ms: Option<i64>,
}

impl Problem {
    /// Creates a problem without a retry delay.
    pub fn new(status: u16, code: &'static str, detail: impl Into<String>) -> Problem {
        Problem { status, code, detail: detail.into(), retry_after_ms: None }
    }

    /// Returns the HTTP response. A 401 has a `WWW-Authenticate` field.
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
    fn from(error: TenantServiceError) -> Problem {
        let (status, code) = match &error {
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
        Problem::new(status, code, error.to_string())
    }
}

impl From<crate::service::ServiceEnded> for Problem {
    fn from(ended: crate::service::ServiceEnded) -> Problem {
        Problem::from(TenantServiceError::from(ended))
    }
}
