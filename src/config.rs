//! The one place where configuration is read, checked and given defaults. On the platform it comes in
//! `LB_CONFIG` (a JSON file), `LB_NAME` and `LB_LISTEN`; elsewhere in an operator's TOML file, named by
//! `SANDDYKE_CONFIG`. A message names the key that can't be used.

use crate::back::Wire;
use crate::clock::{Clock, Micros};
use crate::core::Engine;
use crate::directory::{Directory, Ldap};
use crate::discovery::Listed;
use crate::interface::EngineState;
use crate::settings::{self, Front};
use crate::tds::login::Login;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::{ServerConfig, version};

const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MAX_OPEN: usize = 20_000;
const DEFAULT_STREAMS: usize = 100;
const DEFAULT_CONNECT_MS: f64 = 250.0;
const DEFAULT_KEEPALIVE_MS: f64 = 30_000.0;
/// Above the longest result of the platform's engines: their pages cost a call each, and memory.
const DEFAULT_PAGE_BYTES: usize = 256 * 1024;
const DEFAULT_SERVICE: &str = "_api._tcp.svc.local";

/// Why the program can't start.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither form of configuration is there.
    #[error("LB_CONFIG: neither it nor SANDDYKE_CONFIG is set")]
    Unset,
    /// A file that can't be read.
    #[error("{key}: can't read {path}: {source}")]
    File {
        /// The key that names it.
        key: &'static str,
        /// Its path.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file that is neither JSON nor TOML.
    #[error("{0}: {1}")]
    Form(&'static str, String),
    /// A key that can't be used.
    #[error("{0}: {1}")]
    Key(String, String),
}

fn bad(key: impl Into<String>, why: impl ToString) -> ConfigError {
    ConfigError::Key(key.into(), why.to_string())
}

/// The configuration as it was read, to tell what has changed since.
#[derive(Debug, Clone)]
pub struct Read(Value);

impl Read {
    /// The keys whose values are not what they were.
    pub fn changed(&self, before: &Read) -> Vec<String> {
        let keys = |read: &Read| read.0.as_object().into_iter().flat_map(|all| all.keys().cloned()).collect();
        let all: BTreeSet<String> = [keys(self), keys(before)].into_iter().flat_map(Vec::into_iter).collect();
        all.into_iter().filter(|key| self.0.get(key) != before.0.get(key)).collect()
    }
}

/// All that the program is told.
#[derive(Debug)]
pub struct Config {
    /// As it was read.
    pub read: Read,
    /// The workload manager's name.
    pub name: String,
    /// Where HTTP clients connect, if they do.
    pub listen: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The name service.
    pub resolver: Option<SocketAddr>,
    /// The name that is asked for.
    pub service: String,
    /// The list of the start.
    pub listed: Listed,
    /// The module's settings and the names in them.
    pub front: Front,
    /// Requests that may be open at once.
    pub max_open: usize,
    /// Attempts on one connection.
    pub streams: usize,
    /// A connection to an engine must be up by then.
    pub connect_ms: f64,
    /// Engines close idle connections after this long.
    pub keepalive_ms: f64,
    /// Results above this many bytes go out in pages.
    pub page_bytes: usize,
    /// What engines speak.
    pub wire: Wire,
    /// The TDS front, if there is one.
    pub tds: Option<TdsFront>,
    /// The administration API, if there is one.
    pub admin: Option<AdminApi>,
}

/// The TDS front.
#[derive(Debug)]
pub struct TdsFront {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The class of a request that names none.
    pub class: String,
    /// The time budget of one that names none.
    pub budget: Micros,
    /// Who belongs to which tenant.
    pub directory: Directory,
    /// What encrypts the wire, where it is encrypted.
    pub tls: Option<Arc<ServerConfig>>,
}

/// The administration API.
#[derive(Debug)]
pub struct AdminApi {
    /// Where operators connect.
    pub listen: SocketAddr,
    /// The token that they carry.
    pub token: String,
}

fn want<T: DeserializeOwned>(value: &Value, key: &str) -> Result<Option<T>, ConfigError> {
    match value.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(found) => serde_json::from_value(found.clone()).map(Some).map_err(|error| bad(key, error)),
    }
}

fn read(key: &'static str, path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::File { key, path: path.to_owned(), source })
}

fn number(settings: &Value, key: &str, default: f64, least: f64) -> Result<f64, ConfigError> {
    let found = want::<f64>(&settings["allowed"], key).map_err(|error| bad("settings.allowed", error))?;
    let value = found.unwrap_or(default);
    if value < least {
        return Err(bad(format!("settings.allowed.{key}"), format!("must be at least {least}, is {value}")));
    }
    Ok(value)
}

impl Config {
    /// Reads it from the environment.
    pub fn from_env(clock: &Clock) -> Result<Config, ConfigError> {
        let path = |key: &str| std::env::var_os(key).map(PathBuf::from);
        let mut value: Value = match (path("LB_CONFIG"), path("SANDDYKE_CONFIG")) {
            (Some(path), _) => serde_json::from_str(&read("LB_CONFIG", &path)?)
                .map_err(|error| ConfigError::Form("LB_CONFIG", error.to_string()))?,
            (None, Some(path)) => toml::from_str(&read("SANDDYKE_CONFIG", &path)?)
                .map_err(|error| ConfigError::Form("SANDDYKE_CONFIG", error.to_string()))?,
            (None, None) => return Err(ConfigError::Unset),
        };
        for (key, variable) in [("name", "LB_NAME"), ("listen", "LB_LISTEN")] {
            if let (Ok(told), Some(object)) = (std::env::var(variable), value.as_object_mut()) {
                object.insert(key.to_owned(), Value::String(told));
            }
        }
        Config::from_value(&value, clock)
    }

    /// Reads it from a value.
    pub fn from_value(value: &Value, clock: &Clock) -> Result<Config, ConfigError> {
        let settings = value.get("settings").ok_or_else(|| bad("settings", "missing"))?;
        let front = settings::parse(&settings.to_string()).map_err(|why| bad("settings", why))?;
        let seed = match want::<String>(value, "seed")? {
            Some(told) => u64::from_str_radix(&told, 16).map_err(|error| bad("seed", error))?,
            None => clock.seed(),
        };
        let limits = value.get("limits").cloned().unwrap_or(Value::Null);
        let sockets = want::<usize>(&limits, "sockets").map_err(|error| bad("limits", error))?;
        let sockets = sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < 64 {
            return Err(bad("limits.sockets", format!("must be at least 64, is {sockets}")));
        }
        let page_bytes = want::<usize>(value, "page_bytes")?.unwrap_or(DEFAULT_PAGE_BYTES);
        if page_bytes == 0 {
            return Err(bad("page_bytes", "must be above 0"));
        }
        let tds = tds_front(value, &front)?;
        let admin = admin_api(value)?;
        let wire = wire(value)?;
        Ok(Config {
            read: Read(value.clone()),
            name: want(value, "name")?.unwrap_or_else(|| "sanddyke".to_owned()),
            listen: want(value, "listen")?,
            seed,
            sockets,
            resolver: want(value, "resolver")?,
            service: want(value, "service")?.unwrap_or_else(|| DEFAULT_SERVICE.to_owned()),
            listed: listed(value, clock)?,
            front,
            max_open: number(settings, "maxOpen", DEFAULT_MAX_OPEN as f64, 1.0)? as usize,
            streams: number(settings, "streamsPerConn", DEFAULT_STREAMS as f64, 1.0)? as usize,
            connect_ms: number(settings, "connectTimeoutMs", DEFAULT_CONNECT_MS, 1.0)?,
            keepalive_ms: number(settings, "keepaliveMs", DEFAULT_KEEPALIVE_MS, 100.0)?,
            page_bytes,
            wire,
            tds,
            admin,
        })
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TdsKeys {
    listen: SocketAddr,
    default_class: Option<String>,
    default_ttl_ms: Option<f64>,
    certificate: Option<PathBuf>,
    private_key: Option<PathBuf>,
}

/// TLS 1.2, as TDS 7 has it: its handshake ends with the server, and so is told from what follows.
fn tls(keys: &TdsKeys) -> Result<Option<Arc<ServerConfig>>, ConfigError> {
    let (certificate, key) = match (&keys.certificate, &keys.private_key) {
        (None, None) => return Ok(None),
        (Some(certificate), Some(key)) => (certificate, key),
        (None, Some(_)) => return Err(bad("tds.certificate", "missing, with a private key")),
        (Some(_), None) => return Err(bad("tds.private_key", "missing, with a certificate")),
    };
    let chain = CertificateDer::pem_file_iter(certificate).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    let chain = chain.map_err(|error| bad("tds.certificate", error))?;
    let key = PrivateKeyDer::from_pem_file(key).map_err(|error| bad("tds.private_key", error))?;
    let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    let server = ServerConfig::builder_with_provider(provider).with_protocol_versions(&[&version::TLS12]);
    let server = server.map_err(|error| bad("tds.certificate", error))?.with_no_client_auth();
    let server = server.with_single_cert(chain, key).map_err(|error| bad("tds.certificate", error))?;
    Ok(Some(Arc::new(server)))
}

/// Wires without encryption carry passwords: they stay on the machine.
fn loopback(key: &str, address: SocketAddr) -> Result<SocketAddr, ConfigError> {
    match address.ip().is_loopback() {
        true => Ok(address),
        false => Err(bad(key, format!("must be a loopback address, is {address}"))),
    }
}

fn tds_front(value: &Value, front: &Front) -> Result<Option<TdsFront>, ConfigError> {
    let ldap = want::<Ldap>(value, "ldap")?;
    let Some(keys) = want::<TdsKeys>(value, "tds")? else { return Ok(None) };
    let tls = tls(&keys)?;
    let class = keys.default_class.or(front.classes.first().cloned());
    let class = class.ok_or_else(|| bad("settings.classes", "empty"))?;
    let known = front.classes.iter().position(|name| *name == class);
    let known = known.ok_or_else(|| bad("tds.default_class", format!("unknown class {class:?}")))?;
    let budget = keys.default_ttl_ms.unwrap_or(front.settings.classes[known].deadline_ms);
    if budget < 1.0 {
        return Err(bad("tds.default_ttl_ms", "must be at least 1"));
    }
    let tenants = front.tenants.clone();
    let directory = match ldap {
        Some(ldap) => {
            let local = ["ldap://127.", "ldap://localhost", "ldap://[::1]"];
            if !local.iter().any(|start| ldap.url.starts_with(start)) {
                return Err(bad("ldap.url", "must be ldap:// on a loopback address"));
            }
            Directory::Ldap(ldap, tenants)
        }
        None => Directory::Database(tenants),
    };
    let listen = if tls.is_some() { keys.listen } else { loopback("tds.listen", keys.listen)? };
    Ok(Some(TdsFront { listen, class, budget: Micros::from_ms(budget), directory, tls }))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AdminKeys {
    listen: SocketAddr,
    token_file: PathBuf,
}

fn admin_api(value: &Value) -> Result<Option<AdminApi>, ConfigError> {
    let Some(keys) = want::<AdminKeys>(value, "admin")? else { return Ok(None) };
    let token = read("admin.token_file", &keys.token_file)?.trim().to_owned();
    if token.len() < 16 {
        return Err(bad("admin.token_file", "must hold a token of at least 16 characters"));
    }
    Ok(Some(AdminApi { listen: loopback("admin.listen", keys.listen)?, token }))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineKeys {
    wire: String,
    #[serde(default)]
    user: String,
    password_file: Option<PathBuf>,
    #[serde(default)]
    database: String,
}

fn wire(value: &Value) -> Result<Wire, ConfigError> {
    let Some(keys) = want::<EngineKeys>(value, "engines")? else { return Ok(Wire::Lines) };
    match keys.wire.as_str() {
        "lines" => Ok(Wire::Lines),
        "tds" => {
            let password = match &keys.password_file {
                Some(path) => read("engines.password_file", path)?.trim().to_owned(),
                None => String::new(),
            };
            let app = "sanddyke".to_owned();
            Ok(Wire::Tds(Login { user: keys.user, password, app, database: keys.database }))
        }
        other => Err(bad("engines.wire", format!("must be lines or tds, is {other:?}"))),
    }
}

#[derive(Deserialize)]
struct Notice {
    rev: u32,
    pool: Pool,
}

#[derive(Deserialize)]
struct Pool {
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Endpoint {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    group: Option<u64>,
    #[serde(default)]
    status: Status,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "lowercase")]
enum Status {
    #[default]
    Ready,
    Draining,
    Gone,
}

fn one() -> f64 {
    1.0
}

/// The events of the start, each of which changes what the one before left.
fn listed(value: &Value, clock: &Clock) -> Result<Listed, ConfigError> {
    let known = value.get("known").cloned().unwrap_or(Value::Null);
    let notices: Vec<Notice> =
        want(&known, "notices").map_err(|error| bad("known", error))?.unwrap_or_default();
    let last: Option<u32> = want(&known, "rev").map_err(|error| bad("known", error))?;
    let mut listed = Listed::default();
    for (index, notice) in notices.into_iter().enumerate() {
        let engine = |told: Endpoint| Engine {
            name: told.name,
            address: told.address,
            zone: told.zone,
            kind: told.kind,
            cell: told.group,
            state: match told.status {
                Status::Ready => EngineState::Ready,
                Status::Draining => EngineState::Draining,
                Status::Gone => EngineState::Gone,
            },
            weight: told.weight,
            started: (told.since_ms != 0.0).then(|| clock.from_unix_ms(told.since_ms as i64)),
        };
        let engines = notice.pool.endpoints.into_iter().map(engine).collect();
        listed.start(last.unwrap_or(notice.rev), index == 0 || notice.pool.snapshot, engines);
    }
    Ok(listed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_message_names_the_faulty_key() {
        let settings = json!({
            "allowed": {"attemptsCap": 3}, "classes": [], "discovery": "pushed", "replicasOfMe": 1,
            "report": {}, "stepMs": 5,
            "safety": {"coldFrom": 0.3, "overloadFactor": 2, "tipAfterMs": 1500, "warmUpMs": 9000},
        });
        let with = |key: &str, value: Value| {
            let mut config = json!({ "settings": settings });
            config[key] = value;
            Config::from_value(&config, &Clock::start())
        };
        assert!(with("name", json!("n1")).is_ok());
        let faults = [
            ("listen", json!("nowhere")),
            ("seed", json!("xyz")),
            ("resolver", json!(7)),
            ("limits", json!({"sockets": 3})),
            ("page_bytes", json!(0)),
            ("known", json!({"notices": [{"rev": 1}]})),
            ("settings", json!({})),
        ];
        for (key, value) in faults {
            let said = with(key, value).expect_err(key).to_string();
            assert!(said.contains(key), "{key}: {said}");
        }
    }
}
