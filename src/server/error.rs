//! Why the server can't start, or can't go on.

use sanddyke::config::ConfigError;
use sanddyke::service::ServiceEnded;
use sanddyke::tenants::TenantServiceError;
use sanddyke_lifecycle::TransitionError;
use sanddyke_socket_activation::SocketActivationError;
use sanddyke_store::StoreError;
use std::net::SocketAddr;
use thiserror::Error;

/// Names the descriptor of the clients' socket, where the platform opened it.
pub const ACCEPT_FD_VARIABLE: &str = "LB_ACCEPT_FD";

/// A failure that ends the process with exit code 1. Each text begins with the configuration key or the variable
/// that is to be changed.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address for HTTP, TDS or the administration API can't be bound.
    #[error("listen: can't listen on {address}: {source}")]
    BindClientAddress {
        /// The configured address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The operations endpoint can't be started.
    #[error("ops: can't listen on {address}: {source}")]
    BindOperationsAddress {
        /// The configured address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The address for the other managers of the cluster can't be bound.
    #[cfg(feature = "cluster")]
    #[error("cluster.listen: can't listen on {address}: {source}")]
    BindClusterAddress {
        /// The configured address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The inherited descriptor can't be used.
    #[error("{ACCEPT_FD_VARIABLE}: {0}")]
    SocketActivation(#[from] SocketActivationError),
    /// A descriptor is inherited, and the configuration has no address to compare it with.
    #[error("{ACCEPT_FD_VARIABLE}: is set, and no address to listen on is told")]
    InheritedSocketWithoutAddress,
    /// A lifecycle event came in a phase that does not allow it.
    #[error("the lifecycle of the program: {0}")]
    Lifecycle(#[from] TransitionError),
    /// The system refused something that every start needs: a runtime, a signal handler.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// The service task has ended before the server.
    #[error(transparent)]
    ServiceEnded(#[from] ServiceEnded),
    /// The store can't be opened.
    #[error("store.path: {0}")]
    Store(#[from] StoreError),
    /// The tenants of the settings can't be put into the store.
    #[error("the settings' tenants: {0}")]
    Tenants(#[from] TenantServiceError),
}
