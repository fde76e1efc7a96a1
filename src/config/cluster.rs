//! The `[cluster]` section.

use super::error::{ConfigError, invalid};
use super::file::ClusterKeys;
use super::listeners::check_loopback;
use crate::cluster::{ROLLING_RESTART_LEASE, backup};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// A lease must not expire during two lost renewals and an election of the voters (1 to 2 s).
const DEFAULT_LEASE_MS: u64 = 3000;
/// The allowed lengths of a lease.
const LEASE_MS_RANGE: RangeInclusive<u64> = 500..=600_000;
const MIN_BACKUP_INTERVAL_MS: u64 = 1000;
/// Limit of a manager's or cluster's name in the messages between managers.
const MAX_NAME_BYTES: usize = 64;
/// The allowed numbers of voters. An even number is not allowed: it tolerates no more failed voters than the odd
/// number below it.
const VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];

/// The settings of a cluster of managers, from the `[cluster]` section.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterSettings {
    /// The cluster's name. Messages from other clusters are rejected.
    pub name: String,
    /// The address on which this manager accepts connections from other managers.
    pub listen: SocketAddr,
    /// The address that is announced to other managers.
    pub advertise: SocketAddr,
    /// Addresses of other managers, some of which may be reachable at the start.
    pub seeds: Vec<SocketAddr>,
    /// The names of the voters: 1, 3, 5 or 7 managers.
    pub voters: Vec<String>,
    /// The file in which this manager stores its voter state. Required for a voter, otherwise unused.
    pub voter_file: Option<PathBuf>,
    /// This manager's zone; empty if none is configured.
    pub zone: String,
    /// The names of the leases that this manager tries to acquire.
    pub leases: Vec<String>,
    /// The duration of a lease, in microseconds.
    pub lease_us: u64,
    /// The interval between two scheduled backups, in ms; `None` if there are no scheduled backups.
    pub backup_interval_ms: Option<u64>,
}

/// Checks the section. `manager` is this manager's name; `has_backup_folder` tells whether `store.backups` is set.
pub(super) fn cluster(
    keys: ClusterKeys,
    manager: &str,
    has_backup_folder: bool,
) -> Result<ClusterSettings, ConfigError> {
    if cfg!(not(feature = "cluster")) {
        return Err(invalid(
            "cluster",
            "this build has no cluster support: build it with --features cluster",
        ));
    }
    let listen = check_loopback("cluster.listen", keys.listen)?;
    let advertise = check_loopback("cluster.advertise", keys.advertise.unwrap_or(listen))?;
    for seed in &keys.seeds {
        check_loopback("cluster.seeds", *seed)?;
    }
    check_names(&keys, manager)?;
    check_voters(&keys, manager)?;
    check_backups(&keys, has_backup_folder)?;
    let lease_ms = keys.lease_ms.unwrap_or(DEFAULT_LEASE_MS);
    if !LEASE_MS_RANGE.contains(&lease_ms) {
        return Err(invalid("cluster.lease_ms", format!("must be 500 to 600000, is {lease_ms}")));
    }
    let mut leases = Vec::new();
    if keys.backup_every_ms.is_some() {
        leases.push(backup::LEASE_NAME.to_owned());
    }
    leases.push(ROLLING_RESTART_LEASE.to_owned());
    Ok(ClusterSettings {
        name: keys.name,
        listen,
        advertise,
        seeds: keys.seeds,
        voters: keys.voters,
        voter_file: keys.path,
        zone: keys.zone,
        leases,
        lease_us: lease_ms * 1000,
        backup_interval_ms: keys.backup_every_ms,
    })
}

fn check_names(keys: &ClusterKeys, manager: &str) -> Result<(), ConfigError> {
    let fits = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if !fits(manager) {
        let reason = format!("must have 1 to {MAX_NAME_BYTES} bytes in a cluster, has {}", manager.len());
        return Err(invalid("name", reason));
    }
    if !fits(&keys.name) {
        let reason = format!("must have 1 to {MAX_NAME_BYTES} bytes, has {}", keys.name.len());
        return Err(invalid("cluster.name", reason));
    }
    Ok(())
}

fn check_voters(keys: &ClusterKeys, manager: &str) -> Result<(), ConfigError> {
    let distinct: BTreeSet<&str> = keys.voters.iter().map(String::as_str).collect();
    if !VOTER_COUNTS.contains(&keys.voters.len()) || distinct.len() != keys.voters.len() {
        return Err(invalid("cluster.voters", "must be 1, 3, 5 or 7 different names"));
    }
    if keys.path.is_none() && distinct.contains(manager) {
        return Err(invalid("cluster.path", format!("missing, but this manager ({manager}) is a voter")));
    }
    Ok(())
}

fn check_backups(keys: &ClusterKeys, has_backup_folder: bool) -> Result<(), ConfigError> {
    let Some(interval_ms) = keys.backup_every_ms else { return Ok(()) };
    if interval_ms < MIN_BACKUP_INTERVAL_MS {
        let reason = format!("must be at least {MIN_BACKUP_INTERVAL_MS}, is {interval_ms}");
        return Err(invalid("cluster.backup_every_ms", reason));
    }
    if !has_backup_folder {
        return Err(invalid("cluster.backup_every_ms", "set, but store.backups names no folder for backups"));
    }
    Ok(())
}
