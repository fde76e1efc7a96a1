//! Errors of the tenant service.

use crate::service::ServiceEnded;
use sanddyke_authorization::GrantError;
use sanddyke_store::StoreError;
use sanddyke_tenancy::ChangeError;
use thiserror::Error;

/// Why an operation of the tenant service has failed.
#[derive(Debug, Error)]
pub enum TenantServiceError {
    /// The registry rejects the change.
    #[error("{0}")]
    Rejected(#[from] ChangeError),
    /// The change can't be stored.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// Changes need a store, and none is configured.
    #[error("no store is set up: tenants come from the settings, and change with them")]
    NoStore,
    /// The idempotency key was used for another request.
    #[error("this Idempotency-Key was used for another request")]
    KeyReused,
    /// The grant of a token is not valid.
    #[error("{0}")]
    Grant(#[from] GrantError),
    /// There is no such token.
    #[error("no such token")]
    UnknownToken,
    /// No folder for backups is configured.
    #[error("no folder for backups is set up (store.backups)")]
    NoBackups,
    /// The service has ended.
    #[error("the service has ended")]
    Ended,
}

impl From<ServiceEnded> for TenantServiceError {
    fn from(ServiceEnded: ServiceEnded) -> TenantServiceError {
        TenantServiceError::Ended
    }
}
