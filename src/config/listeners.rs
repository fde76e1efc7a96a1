//! The settings of the listeners for TDS clients and for the administration API, and of the protocol of the engines.

use super::error::{ConfigError, invalid, read_file};
use super::file::{AdminKeys, EngineKeys, TdsKeys};
use super::tls::TlsFiles;
use crate::clock::Micros;
use crate::settings::ServiceSettings;
use crate::tds::login::Login;
use crate::tenant_directory::{Directory, Ldap};
use crate::tenants::KnownTenants;
use crate::upstream::UpstreamProtocol;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio_rustls::rustls::{ServerConfig, version};

/// Lower limit of the length of the root operator's token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;
/// Lower limit of the default time budget of a request over TDS.
const MIN_TIME_BUDGET_MS: f64 = 1.0;
/// The allowed beginnings of the directory's URL. LDAP is used without encryption, so the directory must be on this
/// machine.
const LOCAL_LDAP_URLS: [&str; 3] = ["ldap://127.", "ldap://localhost", "ldap://[::1]"];
/// The application name in logins to engines.
const APPLICATION: &str = "sanddyke";

/// The settings of the listener for TDS clients.
#[derive(Debug)]
pub struct TdsListener {
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The class of a request that does not name one.
    pub default_class: String,
    /// The time budget of a request that does not set one.
    pub default_time_budget: Micros,
    /// The directory that maps a login to a tenant.
    pub directory: Directory,
    /// The TLS configuration; `None` if the listener is not encrypted.
    pub tls: Option<Arc<ServerConfig>>,
}

/// The settings of the administration API.
#[derive(Debug)]
pub struct AdminApi {
    /// The address on which operators connect.
    pub listen: SocketAddr,
    /// The token of the root operator.
    pub root_token: String,
    /// The TLS configuration; `None` if the listener is not encrypted.
    pub tls: Option<Arc<ServerConfig>>,
}

/// Checks that an address is a loopback address. It is required for listeners without encryption or authentication,
/// which must be reachable from this machine only.
pub(super) fn check_loopback(key: &str, address: SocketAddr) -> Result<SocketAddr, ConfigError> {
    match address.ip().is_loopback() {
        true => Ok(address),
        false => Err(invalid(key, format!("must be a loopback address, is {address}"))),
    }
}

pub(super) fn tds_listener(
    keys: TdsKeys,
    ldap: Option<Ldap>,
    service_settings: &ServiceSettings,
    tenants: &KnownTenants,
) -> Result<TdsListener, ConfigError> {
    let files = TlsFiles {
        section: "tds",
        certificate: keys.certificate.as_deref(),
        private_key: keys.private_key.as_deref(),
        client_ca: None,
    };
    // TDS 7 requires TLS 1.2: there the server sends the last message of the handshake, so the end of the handshake is
    // distinguishable from the data that follows.
    let tls = files.server_config(&[&version::TLS12])?;
    let default_class = keys.default_class.or(service_settings.classes.first().cloned());
    let default_class = default_class
        .ok_or_else(|| invalid("settings.classes", "must have a class for TDS clients, is empty"))?;
    let index = service_settings.classes.iter().position(|name| *name == default_class);
    let index = index.ok_or_else(|| {
        invalid("tds.default_class", format!("no such class in settings.classes: {default_class:?}"))
    })?;
    let budget_ms = keys.default_ttl_ms.unwrap_or(service_settings.settings.classes[index].deadline_ms);
    if budget_ms < MIN_TIME_BUDGET_MS {
        return Err(invalid(
            "tds.default_ttl_ms",
            format!("must be at least {MIN_TIME_BUDGET_MS}, is {budget_ms}"),
        ));
    }
    let directory = directory(ldap, tenants.clone())?;
    let listen = if tls.is_some() { keys.listen } else { check_loopback("tds.listen", keys.listen)? };
    Ok(TdsListener { listen, default_class, default_time_budget: Micros::from_ms(budget_ms), directory, tls })
}

fn directory(ldap: Option<Ldap>, tenants: KnownTenants) -> Result<Directory, ConfigError> {
    let Some(ldap) = ldap else { return Ok(Directory::Database(tenants)) };
    if !LOCAL_LDAP_URLS.iter().any(|prefix| ldap.url.starts_with(prefix)) {
        return Err(invalid("ldap.url", format!("must be ldap:// on a loopback address, is {}", ldap.url)));
    }
    Ok(Directory::Ldap(ldap, tenants))
}

pub(super) fn admin_api(keys: AdminKeys) -> Result<AdminApi, ConfigError> {
    let root_token = read_file("admin.token_file", &keys.token_file)?.trim().to_owned();
    if root_token.len() < MIN_TOKEN_BYTES {
        let reason = format!("must have a token of at least {MIN_TOKEN_BYTES} bytes");
        return Err(invalid("admin.token_file", reason));
    }
    let files = TlsFiles {
        section: "admin",
        certificate: keys.certificate.as_deref(),
        private_key: keys.private_key.as_deref(),
        client_ca: keys.client_ca.as_deref(),
    };
    let tls = files.server_config(&[&version::TLS13, &version::TLS12])?;
    let listen = if tls.is_some() { keys.listen } else { check_loopback("admin.listen", keys.listen)? };
    Ok(AdminApi { listen, root_token, tls })
}

/// Returns the protocol of the engines. Without an `[engines]` section it is the platform's line protocol.
pub(super) fn upstream_protocol(keys: Option<EngineKeys>) -> Result<UpstreamProtocol, ConfigError> {
    let Some(keys) = keys else { return Ok(UpstreamProtocol::LineProtocol) };
    match keys.wire.as_str() {
        "lines" => Ok(UpstreamProtocol::LineProtocol),
        "tds" => {
            let password = match &keys.password_file {
                Some(path) => read_file("engines.password_file", path)?.trim().to_owned(),
                None => String::new(),
            };
            let app = APPLICATION.to_owned();
            Ok(UpstreamProtocol::Tds(Login { user: keys.user, password, app, database: keys.database }))
        }
        other => Err(invalid("engines.wire", format!("must be lines or tds, is {other:?}"))),
    }
}
