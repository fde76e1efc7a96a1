//! The keys of a configuration file, as serde deserializes them.
//!
//! Names of types and fields and their doc comments are part of the JSON schema that `sanddyke schema` prints.

use crate::settings;
use crate::tenant_directory::Ldap;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration file: all of its keys. Those of other programs on the platform are passed over.
#[derive(Debug, Deserialize, JsonSchema)]
#[schemars(title = "sanddyke's configuration")]
pub struct File {
    /// The workload manager's name.
    pub(super) name: Option<String>,
    /// Where HTTP clients connect.
    pub(super) listen: Option<SocketAddr>,
    /// The second address, for those who run the program: health and drains, without a token.
    pub(super) ops: Option<SocketAddr>,
    /// Seed of its random numbers, in hexadecimal; another at each start where it is absent.
    pub(super) seed: Option<String>,
    /// Limits of the process.
    #[serde(default)]
    pub(super) limits: LimitKeys,
    /// Where the name service is; without one the list of the start is the list.
    pub(super) resolver: Option<SocketAddr>,
    /// The name that it is asked for.
    pub(super) service: Option<String>,
    /// The list of engines at the start.
    #[serde(default)]
    pub(super) known: KnownKeys,
    /// Results above this many bytes go out in pages.
    pub(super) page_bytes: Option<usize>,
    /// What the module is told.
    pub(super) settings: settings::Env,
    /// TDS clients.
    pub(super) tds: Option<TdsKeys>,
    /// The directory in which TDS logins find their tenant.
    pub(super) ldap: Option<Ldap>,
    /// The administration API.
    pub(super) admin: Option<AdminKeys>,
    /// How engines are spoken to.
    pub(super) engines: Option<EngineKeys>,
    /// Where tenants, tokens and the audit trail are kept: with it, tenants are managed while the program runs.
    pub(super) store: Option<StoreKeys>,
    /// The fleet, where managers speak to each other.
    pub(super) cluster: Option<ClusterKeys>,
}

/// The fleet, where managers speak to each other.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct ClusterKeys {
    /// The fleet's name.
    pub(super) name: String,
    /// Where other managers connect: a loopback address, as the wire has no encryption yet.
    pub(super) listen: SocketAddr,
    /// The address that they are told, where it is another.
    pub(super) advertise: Option<SocketAddr>,
    /// Where some of them may be found at the start.
    #[serde(default)]
    pub(super) seeds: Vec<SocketAddr>,
    /// The names of those that vote: 1, 3, 5 or 7, the same at every manager.
    pub(super) voters: Vec<String>,
    /// A voter's own file, made at its first start. Never copy it, nor put an older one in its place.
    pub(super) path: Option<PathBuf>,
    /// This manager's zone.
    #[serde(default)]
    pub(super) zone: String,
    /// How long a lease of a duty is (ms), 500 to 600000; 3000 where it is absent. A duty whose holder dies is taken
    /// over after some more than this.
    pub(super) lease_ms: Option<u64>,
    /// Time between two scheduled backups (ms), at least 1000, made by whoever holds the duty, into `store.backups`.
    pub(super) backup_every_ms: Option<u64>,
}

#[derive(Debug, Default, Deserialize, JsonSchema)]
pub(super) struct LimitKeys {
    /// Descriptors that the process may hold, at least 64.
    pub(super) sockets: Option<usize>,
    /// Memory that the process may hold (MB), at least 16; 512 where it is absent.
    pub(super) memory_mb: Option<f64>,
}

#[derive(Debug, Default, Deserialize, JsonSchema)]
pub(super) struct KnownKeys {
    pub(super) rev: Option<u32>,
    #[serde(default)]
    pub(super) notices: Vec<Notice>,
}

#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct TdsKeys {
    pub(super) listen: SocketAddr,
    pub(super) default_class: Option<String>,
    pub(super) default_ttl_ms: Option<f64>,
    pub(super) certificate: Option<PathBuf>,
    pub(super) private_key: Option<PathBuf>,
}

#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct AdminKeys {
    pub(super) listen: SocketAddr,
    /// Holds the root operator's token, of at least 16 characters.
    pub(super) token_file: PathBuf,
    /// With both, the API is encrypted, and may listen on any address.
    pub(super) certificate: Option<PathBuf>,
    pub(super) private_key: Option<PathBuf>,
    /// Who signs callers' certificates: with it, only callers with one are let in.
    pub(super) client_ca: Option<PathBuf>,
}

#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct EngineKeys {
    pub(super) wire: String,
    #[serde(default)]
    pub(super) user: String,
    pub(super) password_file: Option<PathBuf>,
    #[serde(default)]
    pub(super) database: String,
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

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct Notice {
    pub(super) rev: u32,
    pub(super) pool: Pool,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct Pool {
    #[serde(default)]
    pub(super) snapshot: bool,
    pub(super) endpoints: Vec<Endpoint>,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct Endpoint {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default, rename = "type")]
    pub(super) kind: String,
    pub(super) group: Option<u64>,
    #[serde(default)]
    pub(super) status: Status,
    #[serde(default = "one")]
    pub(super) weight: f64,
    #[serde(default)]
    pub(super) since_ms: f64,
}

#[derive(Debug, Deserialize, Default, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub(super) enum Status {
    #[default]
    Ready,
    Draining,
    Gone,
}

fn one() -> f64 {
    1.0
}

/// Returns the JSON schema of a configuration file.
pub fn schema() -> Value {
    serde_json::to_value(schemars::schema_for!(File)).unwrap_or_default()
}
