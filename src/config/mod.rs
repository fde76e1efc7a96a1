//! Reading and checking of the configuration, with all defaults.
//!
//! On the platform, the variable `LB_CONFIG` names a JSON file, and `LB_NAME`, `LB_LISTEN` and `LB_OPS` override its
//! keys. Elsewhere, `--config` or the variable `SANDDYKE_CONFIG` names an operator's TOML file. Each error message
//! names the invalid key.
//!
//! | module | content |
//! | --- | --- |
//! | `source` | the file and the variables of the configuration, and the values as they were read |
//! | `file` | the keys of a file, and their JSON schema |
//! | `listeners`, `tls` | the listeners for TDS and the administration API, the protocol of the engines |
//! | `cluster` | the `[cluster]` section |
//! | `initial_list` | the endpoint list at the start |
//! | `error` | the errors |

mod cluster;
mod error;
mod file;
mod initial_list;
mod listeners;
mod source;
mod tls;

pub use cluster::ClusterSettings;
pub use error::ConfigError;
pub use file::{File, StoreKeys, schema};
pub use listeners::{AdminApi, TdsListener};
pub use source::{RawConfig, Source};

use crate::clock::Clock;
use crate::discovery::EngineList;
use crate::settings::{self, ServiceSettings};
use crate::tenants::KnownTenants;
use crate::upstream::UpstreamProtocol;
use error::invalid;
use sanddyke_tenancy::{Document, Entry, FORMAT, TenantSpec};
use serde_json::Value;
use std::net::SocketAddr;

const DEFAULT_NAME: &str = "sanddyke";
const DEFAULT_SERVICE_NAME: &str = "_api._tcp.svc.local";
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// With fewer descriptors, none would be left for clients.
const MIN_DESCRIPTORS: usize = 64;
const DEFAULT_MEMORY_MB: f64 = 512.0;
/// With less memory, none would be left for clients.
const MIN_MEMORY_MB: f64 = 16.0;
const BYTES_PER_MB: f64 = 1_048_576.0;
/// Larger than the longest result of the platform's engines, because each further page costs a call and memory.
const DEFAULT_PAGE_BYTES: usize = 256 * 1024;
const DEFAULT_MAX_OPEN_REQUESTS: f64 = 20_000.0;
const DEFAULT_MAX_ATTEMPTS_PER_CONNECTION: f64 = 100.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_ENGINE_IDLE_TIMEOUT_MS: f64 = 30_000.0;
const MIN_ENGINE_IDLE_TIMEOUT_MS: f64 = 100.0;

/// The checked configuration.
#[derive(Debug)]
pub struct Config {
    /// The values as they were read, to find the keys that a reload changes.
    pub raw: RawConfig,
    /// The name of this manager.
    pub name: String,
    /// The address on which HTTP clients connect; `None` if HTTP is off.
    pub listen: Option<SocketAddr>,
    /// The address of the operations endpoint; `None` if it is off.
    pub operations_endpoint: Option<SocketAddr>,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The maximum of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Maximum memory of the process.
    pub memory_limit_bytes: usize,
    /// The address of the name service; `None` if the initial endpoint list never changes.
    pub resolver: Option<SocketAddr>,
    /// The name of the engines' service, for which the name service is queried.
    pub service_name: String,
    /// The endpoint list at the start.
    pub initial_engines: EngineList,
    /// The settings of the decision module, and the names of its classes, tenants, kinds and zones.
    pub service_settings: ServiceSettings,
    /// The maximum of open requests.
    pub max_open_requests: usize,
    /// The maximum of attempts in flight on one connection to an engine.
    pub max_attempts_per_connection: usize,
    /// The timeout for establishing a connection to an engine, in ms. Health checks have the same timeout.
    pub connect_timeout_ms: f64,
    /// The time after which engines close idle connections, in ms.
    pub engine_idle_timeout_ms: f64,
    /// Results of more bytes are sent to clients in pages.
    pub page_bytes: usize,
    /// The protocol for connections to engines.
    pub upstream_protocol: UpstreamProtocol,
    /// The listener for TDS clients; `None` if TDS is off.
    pub tds: Option<TdsListener>,
    /// The administration API; `None` if it is off.
    pub admin: Option<AdminApi>,
    /// The store of the tenants; `None` if the tenants are those of the settings and never change.
    pub store: Option<StoreKeys>,
    /// The names of the known tenants, shared with the frontends and the tenant service.
    pub known_tenants: KnownTenants,
    /// The cluster of managers; `None` if this manager is in none.
    pub cluster: Option<ClusterSettings>,
}

impl Config {
    /// Reads and checks the configuration.
    ///
    /// # Errors
    /// The configuration file can't be read, or a key is missing or invalid.
    pub fn load(source: &Source, clock: &Clock) -> Result<Config, ConfigError> {
        let config = Config::from_value(&source.read()?, clock)?;
        if let (Some(address), false) = (config.operations_endpoint, source.is_platform()) {
            // The operations endpoint has no authentication: whoever reaches it can drain this manager.
            listeners::check_loopback("ops", address)?;
        }
        Ok(config)
    }

    /// Checks a configuration whose values were read before.
    ///
    /// # Errors
    /// A key is missing or invalid.
    pub fn from_value(value: &Value, clock: &Clock) -> Result<Config, ConfigError> {
        let file: File = serde_path_to_error::deserialize(value)
            .map_err(|error| invalid(error.path().to_string(), error.inner()))?;
        let allowed = file.settings.allowed.clone();
        let service_settings =
            settings::build(file.settings).map_err(|reason| invalid("settings", reason))?;
        let seed = seed(file.seed.as_deref(), clock)?;
        let max_descriptors = descriptors(file.limits.sockets)?;
        let memory_limit_bytes = memory_limit(file.limits.memory_mb)?;
        let page_bytes = page_bytes(file.page_bytes)?;
        let known_tenants = KnownTenants::new(service_settings.tenants.iter().cloned());
        if file.store.is_some() {
            // No tenant is known until the store is read.
            known_tenants.replace([]);
        }
        let name = file.name.unwrap_or_else(|| DEFAULT_NAME.to_owned());
        let has_backup_folder = file.store.as_ref().is_some_and(|store| store.backups.is_some());
        let cluster =
            file.cluster.map(|keys| cluster::cluster(keys, &name, has_backup_folder)).transpose()?;
        let engine_idle_timeout_ms = at_least(
            "keepaliveMs",
            allowed.engine_idle_timeout_ms,
            DEFAULT_ENGINE_IDLE_TIMEOUT_MS,
            MIN_ENGINE_IDLE_TIMEOUT_MS,
        )?;
        let max_open_requests =
            at_least("maxOpen", allowed.max_open_requests, DEFAULT_MAX_OPEN_REQUESTS, 1.0)?;
        let max_attempts = at_least(
            "streamsPerConn",
            allowed.max_attempts_per_connection,
            DEFAULT_MAX_ATTEMPTS_PER_CONNECTION,
            1.0,
        )?;
        let connect_timeout_ms =
            at_least("connectTimeoutMs", allowed.connect_timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS, 1.0)?;
        let upstream_protocol = listeners::upstream_protocol(file.engines)?;
        let ldap = file.ldap;
        let tds = file
            .tds
            .map(|keys| listeners::tds_listener(keys, ldap, &service_settings, &known_tenants))
            .transpose()?;
        let admin = file.admin.map(listeners::admin_api).transpose()?;
        Ok(Config {
            raw: RawConfig(value.clone()),
            name,
            listen: file.listen,
            operations_endpoint: file.ops,
            seed,
            max_descriptors,
            memory_limit_bytes,
            resolver: file.resolver,
            service_name: file.service.unwrap_or_else(|| DEFAULT_SERVICE_NAME.to_owned()),
            initial_engines: initial_list::initial_list(file.known, clock),
            max_open_requests: max_open_requests as usize,
            max_attempts_per_connection: max_attempts as usize,
            connect_timeout_ms,
            engine_idle_timeout_ms,
            page_bytes,
            upstream_protocol,
            tds,
            admin,
            store: file.store,
            known_tenants,
            service_settings,
            cluster,
        })
    }

    /// Returns the tenants of the settings. They initialize a new store.
    pub fn initial_tenants(&self) -> Document {
        let tenants = self.service_settings.tenants.iter().zip(&self.service_settings.settings.tenants);
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
    let descriptors = configured.unwrap_or(DEFAULT_MAX_DESCRIPTORS);
    match descriptors >= MIN_DESCRIPTORS {
        true => Ok(descriptors),
        false => {
            Err(invalid("limits.sockets", format!("must be at least {MIN_DESCRIPTORS}, is {descriptors}")))
        }
    }
}

/// Returns the memory limit in bytes.
fn memory_limit(configured_mb: Option<f64>) -> Result<usize, ConfigError> {
    let memory_mb = configured_mb.unwrap_or(DEFAULT_MEMORY_MB);
    // NaN is not in the range.
    match (MIN_MEMORY_MB..).contains(&memory_mb) {
        true => Ok((memory_mb * BYTES_PER_MB) as usize),
        false => {
            Err(invalid("limits.memory_mb", format!("must be at least {MIN_MEMORY_MB}, is {memory_mb}")))
        }
    }
}

fn page_bytes(configured: Option<usize>) -> Result<usize, ConfigError> {
    match configured.unwrap_or(DEFAULT_PAGE_BYTES) {
        0 => Err(invalid("page_bytes", "must be above 0, is 0")),
        bytes => Ok(bytes),
    }
}

/// Checks a number of `settings.allowed` against its lower bound; `default` applies if it is not configured.
fn at_least(key: &str, configured: Option<f64>, default: f64, minimum: f64) -> Result<f64, ConfigError> {
    let value = configured.unwrap_or(default);
    // NaN is not in the range.
    if (minimum..).contains(&value) {
        return Ok(value);
    }
    Err(invalid(format!("settings.allowed.{key}"), format!("must be at least {minimum}, is {value}")))
}

#[cfg(test)]
mod tests;
