//! Errors of the tenant service.

use crate::service::ServiceEnded;
use sanddyke_authorization::GrantError;
use sanddyke_store::StoreError;
use sanddyke_tenancy::ChangeError;
use thiserror::Error;

/// Error of an operation of the tenant service. The API returns its text as the problem's detail.
#[derive(Debug, Error)]
pub enum TenantServiceError {
    /// The registry rejected the change.
    #[error("{0}")]
    Rejected(#[from] ChangeError),
    /// The store could not be read or written.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The operation needs a store, and none is configured.
    #[error("no store is set up: tenants come from the settings, and change with them")]
    NoStore,
    /// The idempotency key was used for a request with another digest.
    #[error("this Idempotency-Key was used for another request")]
    KeyReused,
    /// The grant of a new token is invalid.
    #[error("{0}")]
    Grant(#[from] GrantError),
    /// No token has this id.
    #[error("no such token")]
    UnknownToken,
    /// No backup folder is configured (`store.backups`).
    #[error("no folder for backups is set up (store.backups)")]
    NoBackups,
    /// The service has shut down.
    #[error("the service has ended")]
    Ended,
}

impl From<ServiceEnded> for TenantServiceError {
    fn from(ServiceEnded: ServiceEnded) -> TenantServiceError {
        TenantServiceError::Ended
    }
}
