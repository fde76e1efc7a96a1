//! The one place where configuration is read, checked and given defaults. On the platform it comes in
//! `LB_CONFIG` (a JSON file), `LB_NAME` and `LB_LISTEN`; elsewhere in an operator's TOML file, named by
//! `SANDDYKE_CONFIG`. A message names the key that can't be used.

use crate::clock::{Clock, Micros};
use crate::core::Engine;
use crate::decision::EngineState;
use crate::discovery::EngineList;
use crate::settings::{self, Front};
use crate::tds::login::Login;
use crate::tenant_directory::{Directory, Ldap};
use crate::tenants::KnownTenants;
use crate::upstream::UpstreamProtocol;
use sanddyke_tenancy::{Document, Entry, FORMAT, TenantSpec};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{RootCertStore, ServerConfig, SupportedProtocolVersion, version};

const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MAX_OPEN: usize = 20_000;
const DEFAULT_STREAMS: usize = 100;
const DEFAULT_CONNECT_MS: f64 = 250.0;
const DEFAULT_KEEPALIVE_MS: f64 = 30_000.0;
/// Above the longest result of the platform's engines: their pages cost a call each, and memory.
const DEFAULT_PAGE_BYTES: usize = 256 * 1024;
/// A lease outlives two lost renewals and an election of the voters (1 to 2 s).
const DEFAULT_LEASE_MS: u64 = 3000;
const LEASES_MS: std::ops::RangeInclusive<u64> = 500..=600_000;
/// Bytes of a name in a fleet, as its messages have them.
const LONGEST_NAME: usize = 64;
/// How many may vote: with one more than an odd number nothing more may fail.
const VOTERS: [usize; 4] = [1, 3, 5, 7];
const DEFAULT_SERVICE: &str = "_api._tcp.svc.local";
/// The keys that are read of the platform's file. It holds more, under names that may be this program's too
/// (an `admin` that is an address was seen), and what is set up by them is off there.
const PLATFORM_KEYS: [&str; 9] =
    ["name", "listen", "ops", "seed", "limits", "resolver", "service", "known", "settings"];

/// Why the program can't start.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither form of configuration is there.
    #[error("LB_CONFIG: neither it nor SANDDYKE_CONFIG is set, and no --config is given")]
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
    /// The second address, for those who run the program, if it has one.
    pub ops: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The name service.
    pub resolver: Option<SocketAddr>,
    /// The name that is asked for.
    pub service: String,
    /// The list of the start.
    pub listed: EngineList,
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
    pub wire: UpstreamProtocol,
    /// The TDS front, if there is one.
    pub tds: Option<TdsFront>,
    /// The administration API, if there is one.
    pub admin: Option<AdminApi>,
    /// Where tenants are kept, if they are managed while the program runs.
    pub store: Option<StoreKeys>,
    /// The tenants' names, as the fronts see them.
    pub known: KnownTenants,
    /// The fleet, where managers speak to each other.
    pub fleet: Option<Fleet>,
}

/// What is told of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Its name: managers of another are strangers.
    pub name: String,
    /// Where other managers connect.
    pub listen: SocketAddr,
    /// The address that they are told.
    pub advertise: SocketAddr,
    /// Where some of them may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// The names of those that vote: 1, 3, 5 or 7.
    pub voters: Vec<String>,
    /// The voter's own file.
    pub path: Option<PathBuf>,
    /// This manager's zone.
    pub zone: String,
    /// The duties that this manager would hold.
    pub duties: Vec<String>,
    /// How long a lease of a duty is, in microseconds.
    pub lease_us: u64,
    /// Time between two scheduled backups, in ms.
    pub backup_every_ms: Option<u64>,
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
    /// The token of the operator that is always there.
    pub token: String,
    /// What encrypts the wire, where it is encrypted.
    pub tls: Option<Arc<ServerConfig>>,
}

/// Where the configuration comes from.
#[derive(Debug, Clone)]
pub enum Source {
    /// The files that `LB_CONFIG` or `SANDDYKE_CONFIG` name.
    Environment,
    /// A file: JSON where its name ends so, else TOML.
    File(PathBuf),
}

/// A configuration file: all of its keys. Those of other programs on the platform are passed over.
#[derive(Debug, Deserialize, JsonSchema)]
#[schemars(title = "sanddyke's configuration")]
pub struct File {
    /// The workload manager's name.
    name: Option<String>,
    /// Where HTTP clients connect.
    listen: Option<SocketAddr>,
    /// The second address, for those who run the program: health and drains, without a token.
    ops: Option<SocketAddr>,
    /// Seed of its random numbers, in hexadecimal; another at each start where it is absent.
    seed: Option<String>,
    /// Limits of the process.
    #[serde(default)]
    limits: LimitKeys,
    /// Where the name service is; without one the list of the start is the list.
    resolver: Option<SocketAddr>,
    /// The name that it is asked for.
    service: Option<String>,
    /// The list of engines at the start.
    #[serde(default)]
    known: KnownKeys,
    /// Results above this many bytes go out in pages.
    page_bytes: Option<usize>,
    /// What the module is told.
    settings: settings::Env,
    /// TDS clients.
    tds: Option<TdsKeys>,
    /// The directory in which TDS logins find their tenant.
    ldap: Option<Ldap>,
    /// The administration API.
    admin: Option<AdminKeys>,
    /// How engines are spoken to.
    engines: Option<EngineKeys>,
    /// Where tenants, tokens and the audit trail are kept: with it, tenants are managed while the program runs.
    store: Option<StoreKeys>,
    /// The fleet, where managers speak to each other.
    cluster: Option<ClusterKeys>,
}

/// The fleet, where managers speak to each other.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct ClusterKeys {
    /// The fleet's name.
    name: String,
    /// Where other managers connect: a loopback address, as the wire has no encryption yet.
    listen: SocketAddr,
    /// The address that they are told, where it is another.
    advertise: Option<SocketAddr>,
    /// Where some of them may be found at the start.
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// The names of those that vote: 1, 3, 5 or 7, the same at every manager.
    voters: Vec<String>,
    /// A voter's own file, made at its first start. Never copy it, nor put an older one in its place.
    path: Option<PathBuf>,
    /// This manager's zone.
    #[serde(default)]
    zone: String,
    /// How long a lease of a duty is (ms), 500 to 600000; 3000 where it is absent. A duty whose holder dies is taken
    /// over after some more than this.
    lease_ms: Option<u64>,
    /// Time between two scheduled backups (ms), at least 1000, made by whoever holds the duty, into `store.backups`.
    backup_every_ms: Option<u64>,
}

#[derive(Debug, Default, Deserialize, JsonSchema)]
struct LimitKeys {
    /// Descriptors that the process may hold, at least 64.
    sockets: Option<usize>,
}

#[derive(Debug, Default, Deserialize, JsonSchema)]
struct KnownKeys {
    rev: Option<u32>,
    #[serde(default)]
    notices: Vec<Notice>,
}

/// Where tenants are kept.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreKeys {
    /// The file; it is made where it is not there.
    pub path: PathBuf,
    /// The folder for backups.
    pub backups: Option<PathBuf>,
}

/// The JSON schema of a configuration file.
pub fn schema() -> Value {
    serde_json::to_value(schemars::schema_for!(File)).unwrap_or_default()
}

fn read(key: &'static str, path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::File { key, path: path.to_owned(), source })
}

fn number(key: &str, found: Option<f64>, default: f64, least: f64) -> Result<f64, ConfigError> {
    let value = found.unwrap_or(default);
    // Not a number is no number either.
    if !(least..).contains(&value) {
        return Err(bad(format!("settings.allowed.{key}"), format!("must be at least {least}, is {value}")));
    }
    Ok(value)
}

impl Source {
    /// Whether the platform tells the configuration, and who reaches which address.
    pub fn is_platform(&self) -> bool {
        matches!(self, Source::Environment) && std::env::var_os("LB_CONFIG").is_some()
    }

    fn value(&self) -> Result<Value, ConfigError> {
        let variable = |key: &str| std::env::var_os(key).map(PathBuf::from);
        let (key, path, json) = match (self, variable("LB_CONFIG"), variable("SANDDYKE_CONFIG")) {
            (Source::File(path), ..) => {
                let json = path.extension().is_some_and(|extension| extension == "json");
                ("--config", path.clone(), json)
            }
            (Source::Environment, Some(path), _) => ("LB_CONFIG", path, true),
            (Source::Environment, None, Some(path)) => ("SANDDYKE_CONFIG", path, false),
            (Source::Environment, None, None) => return Err(ConfigError::Unset),
        };
        let text = read(key, &path)?;
        let value: Result<Value, _> = match json {
            true => serde_json::from_str(&text).map_err(|error| ConfigError::Form(key, error.to_string())),
            false => toml::from_str(&text).map_err(|error| ConfigError::Form(key, error.to_string())),
        };
        let mut value = value?;
        if key == "LB_CONFIG"
            && let Some(object) = value.as_object_mut()
        {
            object.retain(|name, _| PLATFORM_KEYS.contains(&name.as_str()));
        }
        Ok(value)
    }
}

impl Config {
    /// Reads it.
    pub fn from(source: &Source, clock: &Clock) -> Result<Config, ConfigError> {
        let mut value = source.value()?;
        for (key, variable) in [("name", "LB_NAME"), ("listen", "LB_LISTEN"), ("ops", "LB_OPS")] {
            if let (Ok(told), Some(object)) = (std::env::var(variable), value.as_object_mut()) {
                object.insert(key.to_owned(), Value::String(told));
            }
        }
        let config = Config::from_value(&value, clock)?;
        if let (Some(address), false) = (config.ops, source.is_platform()) {
            // Whoever reaches it can send all clients away.
            loopback("ops", address)?;
        }
        Ok(config)
    }

    /// Reads it from a value.
    pub fn from_value(value: &Value, clock: &Clock) -> Result<Config, ConfigError> {
        let file: Result<File, _> = serde_path_to_error::deserialize(value);
        let file = file.map_err(|error| bad(error.path().to_string(), error.inner()))?;
        let allowed = file.settings.allowed.clone();
        let front = settings::build(file.settings).map_err(|why| bad("settings", why))?;
        let seed = match &file.seed {
            Some(told) => u64::from_str_radix(told, 16).map_err(|error| bad("seed", error))?,
            None => clock.seed(),
        };
        let sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < 64 {
            return Err(bad("limits.sockets", format!("must be at least 64, is {sockets}")));
        }
        let page_bytes = file.page_bytes.unwrap_or(DEFAULT_PAGE_BYTES);
        if page_bytes == 0 {
            return Err(bad("page_bytes", "must be above 0"));
        }
        let known = KnownTenants::new(front.tenants.iter().cloned());
        if file.store.is_some() {
            // Until the store is read nobody is known.
            known.replace([]);
        }
        let name = file.name.unwrap_or_else(|| "sanddyke".to_owned());
        let backups = file.store.as_ref().is_some_and(|store| store.backups.is_some());
        let fleet = file.cluster.map(|keys| fleet(keys, &name, backups)).transpose()?;
        let keepalive = number("keepaliveMs", allowed.keepalive_ms, DEFAULT_KEEPALIVE_MS, 100.0)?;
        let (streams, open) = (allowed.streams_per_conn, allowed.max_open);
        Ok(Config {
            read: Read(value.clone()),
            name,
            listen: file.listen,
            ops: file.ops,
            seed,
            sockets,
            resolver: file.resolver,
            service: file.service.unwrap_or_else(|| DEFAULT_SERVICE.to_owned()),
            listed: listed(file.known, clock),
            max_open: number("maxOpen", open, DEFAULT_MAX_OPEN as f64, 1.0)? as usize,
            streams: number("streamsPerConn", streams, DEFAULT_STREAMS as f64, 1.0)? as usize,
            connect_ms: number("connectTimeoutMs", allowed.connect_timeout_ms, DEFAULT_CONNECT_MS, 1.0)?,
            keepalive_ms: keepalive,
            page_bytes,
            wire: wire(file.engines)?,
            tds: tds_front(file.tds, file.ldap, &front, &known)?,
            admin: admin_api(file.admin)?,
            store: file.store,
            known,
            front,
            fleet,
        })
    }

    /// The settings' tenants, as a store begins with them.
    pub fn document(&self) -> Document {
        let told = self.front.tenants.iter().zip(&self.front.settings.tenants);
        let entry = |(name, told): (&String, &crate::decision::TenantSettings)| {
            let spec =
                TenantSpec { weight: told.share, quota_rps: told.quota_per_s, ..TenantSpec::default() };
            (name.clone(), Entry { spec, ..Entry::default() })
        };
        Document { format: FORMAT, groups: Default::default(), tenants: told.map(entry).collect() }
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct TdsKeys {
    listen: SocketAddr,
    default_class: Option<String>,
    default_ttl_ms: Option<f64>,
    certificate: Option<PathBuf>,
    private_key: Option<PathBuf>,
}

/// A certificate with its key, and who signs clients' certificates where those are asked for.
fn server_tls(
    key: &str,
    certificate: Option<&Path>,
    private_key: Option<&Path>,
    client_ca: Option<&Path>,
    versions: &[&'static SupportedProtocolVersion],
) -> Result<Option<Arc<ServerConfig>>, ConfigError> {
    let named = |name: &str| format!("{key}.{name}");
    let (certificate, private_key) = match (certificate, private_key) {
        (None, None) if client_ca.is_some() => {
            return Err(bad(named("certificate"), "missing, with a client_ca"));
        }
        (None, None) => return Ok(None),
        (Some(certificate), Some(key)) => (certificate, key),
        (None, Some(_)) => return Err(bad(named("certificate"), "missing, with a private key")),
        (Some(_), None) => return Err(bad(named("private_key"), "missing, with a certificate")),
    };
    let certificates = |path: &Path, name: &str| {
        let found = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
        found.map_err(|error| bad(named(name), error))
    };
    let chain = certificates(certificate, "certificate")?;
    let private =
        PrivateKeyDer::from_pem_file(private_key).map_err(|error| bad(named("private_key"), error))?;
    let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    let server = ServerConfig::builder_with_provider(provider.clone()).with_protocol_versions(versions);
    let server = server.map_err(|error| bad(named("certificate"), error))?;
    let server = match client_ca {
        None => server.with_no_client_auth(),
        Some(path) => {
            let mut roots = RootCertStore::empty();
            for root in certificates(path, "client_ca")? {
                roots.add(root).map_err(|error| bad(named("client_ca"), error))?;
            }
            let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider).build();
            server.with_client_cert_verifier(verifier.map_err(|error| bad(named("client_ca"), error))?)
        }
    };
    let server = server.with_single_cert(chain, private).map_err(|error| bad(named("certificate"), error))?;
    Ok(Some(Arc::new(server)))
}

/// Wires without encryption carry passwords: they stay on the machine.
fn loopback(key: &str, address: SocketAddr) -> Result<SocketAddr, ConfigError> {
    match address.ip().is_loopback() {
        true => Ok(address),
        false => Err(bad(key, format!("must be a loopback address, is {address}"))),
    }
}

fn tds_front(
    keys: Option<TdsKeys>,
    ldap: Option<Ldap>,
    front: &Front,
    tenants: &KnownTenants,
) -> Result<Option<TdsFront>, ConfigError> {
    let Some(keys) = keys else { return Ok(None) };
    // TLS 1.2, as TDS 7 has it: its handshake ends with the server, and so is told from what follows.
    let (certificate, private_key) = (keys.certificate.as_deref(), keys.private_key.as_deref());
    let tls = server_tls("tds", certificate, private_key, None, &[&version::TLS12])?;
    let class = keys.default_class.or(front.classes.first().cloned());
    let class = class.ok_or_else(|| bad("settings.classes", "empty"))?;
    let known = front.classes.iter().position(|name| *name == class);
    let known = known.ok_or_else(|| bad("tds.default_class", format!("unknown class {class:?}")))?;
    let budget = keys.default_ttl_ms.unwrap_or(front.settings.classes[known].deadline_ms);
    if budget < 1.0 {
        return Err(bad("tds.default_ttl_ms", "must be at least 1"));
    }
    let tenants = tenants.clone();
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

#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct AdminKeys {
    listen: SocketAddr,
    /// Holds the root operator's token, of at least 16 characters.
    token_file: PathBuf,
    /// With both, the API is encrypted, and may listen on any address.
    certificate: Option<PathBuf>,
    private_key: Option<PathBuf>,
    /// Who signs callers' certificates: with it, only callers with one are let in.
    client_ca: Option<PathBuf>,
}

fn admin_api(keys: Option<AdminKeys>) -> Result<Option<AdminApi>, ConfigError> {
    let Some(keys) = keys else { return Ok(None) };
    let token = read("admin.token_file", &keys.token_file)?.trim().to_owned();
    if token.len() < 16 {
        return Err(bad("admin.token_file", "must hold a token of at least 16 characters"));
    }
    let (certificate, private_key) = (keys.certificate.as_deref(), keys.private_key.as_deref());
    let versions = [&version::TLS13, &version::TLS12];
    let tls = server_tls("admin", certificate, private_key, keys.client_ca.as_deref(), &versions)?;
    let listen = if tls.is_some() { keys.listen } else { loopback("admin.listen", keys.listen)? };
    Ok(Some(AdminApi { listen, token, tls }))
}

fn fleet(keys: ClusterKeys, name: &str, backups: bool) -> Result<Fleet, ConfigError> {
    if cfg!(not(feature = "cluster")) {
        return Err(bad("cluster", "this build has no fleet: build it with --features cluster"));
    }
    let listen = loopback("cluster.listen", keys.listen)?;
    let advertise = loopback("cluster.advertise", keys.advertise.unwrap_or(listen))?;
    for seed in &keys.seeds {
        loopback("cluster.seeds", *seed)?;
    }
    let fits = |name: &str| !name.is_empty() && name.len() <= LONGEST_NAME;
    if !fits(name) {
        return Err(bad("name", format!("must have 1 to {LONGEST_NAME} bytes in a fleet")));
    }
    if !fits(&keys.name) {
        return Err(bad("cluster.name", format!("must have 1 to {LONGEST_NAME} bytes")));
    }
    let distinct: BTreeSet<&String> = keys.voters.iter().collect();
    if !VOTERS.contains(&keys.voters.len()) || distinct.len() != keys.voters.len() {
        return Err(bad("cluster.voters", "must be 1, 3, 5 or 7 names, each once"));
    }
    if keys.path.is_none() && distinct.contains(&name.to_owned()) {
        return Err(bad("cluster.path", format!("is missing, and {name} is a voter")));
    }
    let lease_ms = keys.lease_ms.unwrap_or(DEFAULT_LEASE_MS);
    if !LEASES_MS.contains(&lease_ms) {
        return Err(bad("cluster.lease_ms", format!("must be 500 to 600000, is {lease_ms}")));
    }
    if keys.backup_every_ms.is_some_and(|every| every < 1000) {
        return Err(bad("cluster.backup_every_ms", "must be at least 1000"));
    }
    if keys.backup_every_ms.is_some() && !backups {
        return Err(bad("cluster.backup_every_ms", "is set, and no folder is (store.backups)"));
    }
    let backup = keys.backup_every_ms.map(|_| crate::cluster::backup::LEASE_NAME);
    Ok(Fleet {
        name: keys.name,
        listen,
        advertise,
        seeds: keys.seeds,
        voters: keys.voters,
        path: keys.path,
        zone: keys.zone,
        duties: backup
            .into_iter()
            .chain([crate::cluster::ROLLING_RESTART_LEASE])
            .map(str::to_owned)
            .collect(),
        lease_us: lease_ms * 1000,
        backup_every_ms: keys.backup_every_ms,
    })
}

#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct EngineKeys {
    wire: String,
    #[serde(default)]
    user: String,
    password_file: Option<PathBuf>,
    #[serde(default)]
    database: String,
}

fn wire(keys: Option<EngineKeys>) -> Result<UpstreamProtocol, ConfigError> {
    let Some(keys) = keys else { return Ok(UpstreamProtocol::LineProtocol) };
    match keys.wire.as_str() {
        "lines" => Ok(UpstreamProtocol::LineProtocol),
        "tds" => {
            let password = match &keys.password_file {
                Some(path) => read("engines.password_file", path)?.trim().to_owned(),
                None => String::new(),
            };
            let app = "sanddyke".to_owned();
            Ok(UpstreamProtocol::Tds(Login { user: keys.user, password, app, database: keys.database }))
        }
        other => Err(bad("engines.wire", format!("must be lines or tds, is {other:?}"))),
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
struct Notice {
    rev: u32,
    pool: Pool,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct Pool {
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Debug, Deserialize, JsonSchema)]
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

#[derive(Debug, Deserialize, Default, JsonSchema)]
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
fn listed(known: KnownKeys, clock: &Clock) -> EngineList {
    let (notices, last) = (known.notices, known.rev);
    let mut listed = EngineList::default();
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
                Status::Gone => EngineState::Removed,
            },
            weight: told.weight,
            started: (told.since_ms != 0.0).then(|| clock.from_unix_ms(told.since_ms as i64)),
        };
        let engines = notice.pool.endpoints.into_iter().map(engine).collect();
        listed.start(last.unwrap_or(notice.rev), index == 0 || notice.pool.snapshot, engines);
    }
    listed
}

#[cfg(test)]
mod tests;
