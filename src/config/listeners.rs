//! The listeners for TDS clients and for the administration API, and the login for engines.

use super::error::{ConfigError, invalid, read_file};
use super::file::{AdminKeys, EngineKeys, TdsKeys};
use super::tls::TlsFiles;
use crate::clock::Micros;
use crate::settings::Front;
use crate::tds::login::Login;
use crate::tenant_directory::{Directory, Ldap};
use crate::tenants::KnownTenants;
use crate::upstream::UpstreamProtocol;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio_rustls::rustls::{ServerConfig, version};

/// The shortest token of the root operator, in characters.
const MIN_TOKEN_LENGTH: usize = 16;
/// The shortest time budget of a request over TDS.
const MIN_BUDGET_MS: f64 = 1.0;
/// LDAP has no encryption here: the directory must be on this machine.
const LOCAL_LDAP_URLS: [&str; 3] = ["ldap://127.", "ldap://localhost", "ldap://[::1]"];
/// The program's name in its logins at engines.
const APPLICATION: &str = "sanddyke";

/// The listener for TDS clients.
#[derive(Debug)]
pub struct TdsFront {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The class of a request that names none.
    pub class: String,
    /// The time budget of a request that names none.
    pub budget: Micros,
    /// Finds the tenant of a login.
    pub directory: Directory,
    /// TLS, where the listener has it.
    pub tls: Option<Arc<ServerConfig>>,
}

/// The listener for the administration API.
#[derive(Debug)]
pub struct AdminApi {
    /// Where operators connect.
    pub listen: SocketAddr,
    /// The token of the root operator.
    pub token: String,
    /// TLS, where the listener has it.
    pub tls: Option<Arc<ServerConfig>>,
}

/// Checks an address whose protocol has no encryption and carries passwords: it must be on this machine.
pub(super) fn loopback(key: &str, address: SocketAddr) -> Result<SocketAddr, ConfigError> {
    match address.ip().is_loopback() {
        true => Ok(address),
        false => Err(invalid(key, format!("must be a loopback address, is {address}"))),
    }
}

pub(super) fn tds_front(
    keys: TdsKeys,
    ldap: Option<Ldap>,
    front: &Front,
    tenants: &KnownTenants,
) -> Result<TdsFront, ConfigError> {
    let files = TlsFiles {
        section: "tds",
        certificate: keys.certificate.as_deref(),
        private_key: keys.private_key.as_deref(),
        client_ca: None,
    };
    // TLS 1.2, as TDS 7 has it: the server sends the handshake's last message, so that what follows is told from it.
    let tls = files.server_config(&[&version::TLS12])?;
    let class = keys.default_class.or(front.classes.first().cloned());
    let class = class.ok_or_else(|| invalid("settings.classes", "empty"))?;
    let index = front.classes.iter().position(|name| *name == class);
    let index = index.ok_or_else(|| invalid("tds.default_class", format!("unknown class {class:?}")))?;
    let budget_ms = keys.default_ttl_ms.unwrap_or(front.settings.classes[index].deadline_ms);
    if budget_ms < MIN_BUDGET_MS {
        return Err(invalid("tds.default_ttl_ms", "must be at least 1"));
    }
    let directory = directory(ldap, tenants.clone())?;
    let listen = if tls.is_some() { keys.listen } else { loopback("tds.listen", keys.listen)? };
    Ok(TdsFront { listen, class, budget: Micros::from_ms(budget_ms), directory, tls })
}

fn directory(ldap: Option<Ldap>, tenants: KnownTenants) -> Result<Directory, ConfigError> {
    let Some(ldap) = ldap else { return Ok(Directory::Database(tenants)) };
    if !LOCAL_LDAP_URLS.iter().any(|prefix| ldap.url.starts_with(prefix)) {
        return Err(invalid("ldap.url", "must be ldap:// on a loopback address"));
    }
    Ok(Directory::Ldap(ldap, tenants))
}

pub(super) fn admin_api(keys: AdminKeys) -> Result<AdminApi, ConfigError> {
    let token = read_file("admin.token_file", &keys.token_file)?.trim().to_owned();
    if token.len() < MIN_TOKEN_LENGTH {
        return Err(invalid("admin.token_file", "must hold a token of at least 16 characters"));
    }
    let files = TlsFiles {
        section: "admin",
        certificate: keys.certificate.as_deref(),
        private_key: keys.private_key.as_deref(),
        client_ca: keys.client_ca.as_deref(),
    };
    let tls = files.server_config(&[&version::TLS13, &version::TLS12])?;
    let listen = if tls.is_some() { keys.listen } else { loopback("admin.listen", keys.listen)? };
    Ok(AdminApi { listen, token, tls })
}

/// The protocol of the engines; the platform's where none is configured.
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
