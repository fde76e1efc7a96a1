//! What a fleet consists of.

use std::net::SocketAddr;

/// Maximum number of managers in a fleet.
pub const MAX_MANAGERS: usize = 30;

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of managers, up to [`MAX_MANAGERS`].
    pub managers: usize,
    /// Number of voters: the first of the managers.
    pub voters: usize,
    /// Duration of each lease (ms).
    pub lease_ms: u64,
    /// Time between two scheduled backups (ms).
    pub backup_every_ms: u64,
    /// Seed of the links' faults.
    pub seed: u64,
    /// Engines of all managers. Where there are any, there is a class `lookup`.
    pub engines: Vec<SocketAddr>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan { managers: 3, voters: 3, lease_ms: 1500, backup_every_ms: 1000, seed: 1, engines: Vec::new() }
    }
}
