//! Errors that end the server process.

use sanddyke::config::ConfigError;
use sanddyke::service::ServiceEnded;
use sanddyke::tenants::TenantServiceError;
use sanddyke_lifecycle::TransitionError;
use sanddyke_socket_activation::SocketActivationError;
use sanddyke_store::StoreError;
use std::net::SocketAddr;
use thiserror::Error;

/// The environment variable with the number of the inherited listening socket's descriptor. It is unset if the
/// process opens the socket itself.
pub const ACCEPT_FD_VARIABLE: &str = "LB_ACCEPT_FD";

/// An error that ends the process with exit code 1. Each message begins with the configuration key or environment
/// variable that it is about.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The configuration is invalid or can't be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address for HTTP, TDS or the administration API can't be bound.
    #[error("listen: can't bind {address}: {source}")]
    BindClientAddress {
        /// The configured address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The operations endpoint can't be started: its address can't be bound, or its thread or runtime can't be
    /// created.
    #[error("ops: can't start the operations endpoint on {address}: {source}")]
    BindOperationsAddress {
        /// The configured address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The address for connections from other managers can't be bound, or the cluster's thread can't be started.
    #[cfg(feature = "cluster")]
    #[error("cluster.listen: can't join the cluster on {address}: {source}")]
    BindClusterAddress {
        /// The configured address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The inherited descriptor is not the expected listening socket.
    #[error("{ACCEPT_FD_VARIABLE}: {0}")]
    SocketActivation(#[from] SocketActivationError),
    /// A socket is inherited, but the configuration has no address that it could be checked against.
    #[error("{ACCEPT_FD_VARIABLE}: a socket is inherited, but neither listen nor LB_LISTEN has its address")]
    InheritedSocketWithoutAddress,
    /// The current lifecycle phase does not allow an event.
    #[error("lifecycle: {0}")]
    Lifecycle(#[from] TransitionError),
    /// The operating system could not create a resource that every start needs: the runtime or a signal handler.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// The service task ended while the server still needed it.
    #[error(transparent)]
    ServiceEnded(#[from] ServiceEnded),
    /// The store can't be opened.
    #[error("store.path: {0}")]
    Store(#[from] StoreError),
    /// The tenant service can't start. On the first start it stores the tenants of `settings.customers`.
    #[error("settings.customers: can't start the tenant service: {0}")]
    Tenants(#[from] TenantServiceError),
}
