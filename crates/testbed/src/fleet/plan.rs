//! The parameters of a fleet.

use std::net::SocketAddr;

/// Maximum number of managers in a fleet.
pub const MAX_MANAGERS: usize = 30;

/// The parameters of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of managers, up to [`MAX_MANAGERS`].
    pub managers: usize,
    /// Number of voters, which are the managers with the lowest numbers.
    pub voters: usize,
    /// Duration of each lease (ms).
    pub lease_ms: u64,
    /// Time between two scheduled backups (ms).
    pub backup_every_ms: u64,
    /// Seed of the links' faults.
    pub seed: u64,
    /// Addresses of the engines that all managers use. The class `lookup` is configured only if there are engines.
    pub engines: Vec<SocketAddr>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan { managers: 3, voters: 3, lease_ms: 1500, backup_every_ms: 1000, seed: 1, engines: Vec::new() }
    }
}
