//! The one place where the configuration is read, checked and given defaults.
//!
//! On the platform it comes in `LB_CONFIG` (a JSON file), `LB_NAME`, `LB_LISTEN` and `LB_OPS`; elsewhere in an operator's
//! TOML file, named by `--config` or `SANDDYKE_CONFIG`. A message names the key that can't be used.
//!
//! | module | what it has |
//! | --- | --- |
//! | `source` | where the configuration comes from, its values as they were read |
//! | `file` | the keys of a file, and their JSON schema |
//! | `listeners`, `tls` | listeners for TDS and the administration API, login for engines |
//! | `cluster` | the `[cluster]` section |
//! | `initial_list` | the endpoint list at the start |
//! | `error` | errors, each with its key |

mod cluster;
mod error;
mod file;
mod initial_list;
mod listeners;
mod source;
mod tls;

pub use cluster::Fleet;
pub use error::ConfigError;
pub use file::{File, StoreKeys, schema};
pub use listeners::{AdminApi, TdsFront};
pub use source::{RawConfig, Source};

use crate::clock::Clock;
use crate::discovery::EngineList;
use crate::settings::{self, Front};
use crate::tenants::KnownTenants;
use crate::upstream::UpstreamProtocol;
use error::invalid;
use sanddyke_tenancy::{Document, Entry, FORMAT, TenantSpec};
use serde_json::Value;
use std::net::SocketAddr;

const DEFAULT_NAME: &str = "sanddyke";
const DEFAULT_SERVICE: &str = "_api._tcp.svc.local";
const DEFAULT_DESCRIPTORS: usize = 1024;
/// With fewer descriptors there would be none left for clients.
const MIN_DESCRIPTORS: usize = 64;
/// Above the longest result of the platform's engines: each further page costs a call and memory.
const DEFAULT_PAGE_BYTES: usize = 256 * 1024;
const DEFAULT_MAX_OPEN: f64 = 20_000.0;
const DEFAULT_STREAMS: f64 = 100.0;
const DEFAULT_CONNECT_MS: f64 = 250.0;
const DEFAULT_KEEPALIVE_MS: f64 = 30_000.0;
const MIN_KEEPALIVE_MS: f64 = 100.0;

/// The checked configuration.
#[derive(Debug)]
pub struct Config {
    /// The values as they were read.
    pub read: RawConfig,
    /// The workload manager's name.
    pub name: String,
    /// Where HTTP clients connect, if they do.
    pub listen: Option<SocketAddr>,
    /// Where the operations endpoint listens, if there is one.
    pub ops: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// File descriptors that the process may have.
    pub sockets: usize,
    /// The name service.
    pub resolver: Option<SocketAddr>,
    /// The name to query.
    pub service: String,
    /// The endpoint list at the start.
    pub listed: EngineList,
    /// The decision module's settings and the names in them.
    pub front: Front,
    /// Requests that may be open at once.
    pub max_open: usize,
    /// Attempts that one connection to an engine carries at once.
    pub streams: usize,
    /// A connection to an engine has to be established within this time, in ms.
    pub connect_ms: f64,
    /// Engines close idle connections after this time, in ms.
    pub keepalive_ms: f64,
    /// Results of more bytes go out in pages.
    pub page_bytes: usize,
    /// The engines' protocol.
    pub wire: UpstreamProtocol,
    /// The listener for TDS clients, if there is one.
    pub tds: Option<TdsFront>,
    /// The administration API, if there is one.
    pub admin: Option<AdminApi>,
    /// Where tenants are stored, if they are managed while the program runs.
    pub store: Option<StoreKeys>,
    /// The names of the tenants, shared with the frontends.
    pub known: KnownTenants,
    /// The cluster, where managers communicate.
    pub fleet: Option<Fleet>,
}

impl Config {
    /// Reads and checks the configuration.
    ///
    /// # Errors
    /// A file that can't be read, or a key that can't be used.
    pub fn from(source: &Source, clock: &Clock) -> Result<Config, ConfigError> {
        let config = Config::from_value(&source.read()?, clock)?;
        if let (Some(address), false) = (config.ops, source.is_platform()) {
            // Anybody who reaches it can send all clients away.
            listeners::loopback("ops", address)?;
        }
        Ok(config)
    }

    /// Checks a configuration that is read already.
    ///
    /// # Errors
    /// A key that can't be used.
    pub fn from_value(value: &Value, clock: &Clock) -> Result<Config, ConfigError> {
        let file: File = serde_path_to_error::deserialize(value)
            .map_err(|error| invalid(error.path().to_string(), error.inner()))?;
        let allowed = file.settings.allowed.clone();
        let front = settings::build(file.settings).map_err(|reason| invalid("settings", reason))?;
        let seed = seed(file.seed.as_deref(), clock)?;
        let sockets = descriptors(file.limits.sockets)?;
        let page_bytes = page_bytes(file.page_bytes)?;
        let known = KnownTenants::new(front.tenants.iter().cloned());
        if file.store.is_some() {
            // Until the store is read no tenant is known.
            known.replace([]);
        }
        let name = file.name.unwrap_or_else(|| DEFAULT_NAME.to_owned());
        let has_backup_folder = file.store.as_ref().is_some_and(|store| store.backups.is_some());
        let fleet = file.cluster.map(|keys| cluster::cluster(keys, &name, has_backup_folder)).transpose()?;
        let keepalive_ms =
            at_least("keepaliveMs", allowed.keepalive_ms, DEFAULT_KEEPALIVE_MS, MIN_KEEPALIVE_MS)?;
        let max_open = at_least("maxOpen", allowed.max_open, DEFAULT_MAX_OPEN, 1.0)?;
        let streams = at_least("streamsPerConn", allowed.streams_per_conn, DEFAULT_STREAMS, 1.0)?;
        let connect_ms = at_least("connectTimeoutMs", allowed.connect_timeout_ms, DEFAULT_CONNECT_MS, 1.0)?;
        let wire = listeners::upstream_protocol(file.engines)?;
        let ldap = file.ldap;
        let tds = file.tds.map(|keys| listeners::tds_front(keys, ldap, &front, &known)).transpose()?;
        let admin = file.admin.map(listeners::admin_api).transpose()?;
        Ok(Config {
            read: RawConfig(value.clone()),
            name,
            listen: file.listen,
            ops: file.ops,
            seed,
            sockets,
            resolver: file.resolver,
            service: file.service.unwrap_or_else(|| DEFAULT_SERVICE.to_owned()),
            listed: initial_list::initial_list(file.known, clock),
            max_open: max_open as usize,
            streams: streams as usize,
            connect_ms,
            keepalive_ms,
            page_bytes,
            wire,
            tds,
            admin,
            store: file.store,
            known,
            front,
            fleet,
        })
    }

    /// The tenants of the settings, with which a new store begins.
    pub fn document(&self) -> Document {
        let tenants = self.front.tenants.iter().zip(&self.front.settings.tenants);
        let entries = tenants.map(|(name, tenant)| {
            let spec =
                TenantSpec { weight: tenant.share, quota_rps: tenant.quota_per_s, ..TenantSpec::default() };
            (name.clone(), Entry { spec, ..Entry::default() })
        });
        Document { format: FORMAT, groups: Default::default(), tenants: entries.collect() }
    }
}

fn seed(hexadecimal: Option<&str>, clock: &Clock) -> Result<u64, ConfigError> {
    match hexadecimal {
        Some(text) => u64::from_str_radix(text, 16).map_err(|error| invalid("seed", error)),
        None => Ok(clock.seed()),
    }
}

fn descriptors(configured: Option<usize>) -> Result<usize, ConfigError> {
    let descriptors = configured.unwrap_or(DEFAULT_DESCRIPTORS);
    match descriptors >= MIN_DESCRIPTORS {
        true => Ok(descriptors),
        false => Err(invalid("limits.sockets", format!("must be at least 64, is {descriptors}"))),
    }
}

fn page_bytes(configured: Option<usize>) -> Result<usize, ConfigError> {
    match configured.unwrap_or(DEFAULT_PAGE_BYTES) {
        0 => Err(invalid("page_bytes", "must be above 0")),
        bytes => Ok(bytes),
    }
}

/// A number of `settings.allowed` with its default and lower bound.
fn at_least(key: &str, configured: Option<f64>, default: f64, minimum: f64) -> Result<f64, ConfigError> {
    let value = configured.unwrap_or(default);
    // The comparison is false for what is not a number.
    if (minimum..).contains(&value) {
        return Ok(value);
    }
    Err(invalid(format!("settings.allowed.{key}"), format!("must be at least {minimum}, is {value}")))
}

#[cfg(test)]
mod tests;
