//! Maps a login to its tenant: by the database that it names, or by an LDAP directory.

use crate::tds::login::Login;
use crate::tenants::KnownTenants;
use ldap3::{LdapConnAsync, LdapConnSettings, LdapError, Scope, SearchEntry, dn_escape, ldap_escape};
use schemars::JsonSchema;
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

/// An LDAP directory must answer a login within this time. A value of ours.
const LDAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Where users are looked up.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Ldap {
    /// The directory, as `ldap://127.0.0.1:389`.
    pub url: String,
    /// The name that a user binds with; `{user}` stands for the user.
    pub bind_dn: String,
    /// Where entries are sought.
    pub base: String,
    /// What a user's entry fits; `{user}` stands for the user.
    #[serde(default = "filter")]
    pub filter: String,
    /// The attribute that names the tenant.
    #[serde(default = "attribute")]
    pub tenant_attribute: String,
}

fn filter() -> String {
    "(uid={user})".to_owned()
}

fn attribute() -> String {
    "o".to_owned()
}

/// Why a login is denied. This is logged, and not sent to the client.
#[derive(Debug, Error)]
pub enum LoginError {
    /// There is no such tenant.
    #[error("database {tenant:?} is no tenant")]
    UnknownTenant {
        /// The tenant that the login names, or that the directory names for it.
        tenant: String,
    },
    /// The name or the password is empty. A directory would grant such a bind as unauthenticated (RFC 4513, 5.1.2).
    #[error("user {user:?} gave no name or no password")]
    EmptyCredentials {
        /// The user.
        user: String,
    },
    /// The directory denied the bind, or the search failed.
    #[error("user {user:?}: the directory says: {source}")]
    Ldap {
        /// The user.
        user: String,
        /// What failed.
        source: LdapError,
    },
    /// The directory does not have one entry for the user that names one tenant.
    #[error("user {user:?}: {entries} entries name {tenants} tenants")]
    AmbiguousEntry {
        /// The user.
        user: String,
        /// How many entries match the user.
        entries: usize,
        /// How many tenants they name.
        tenants: usize,
    },
    /// The login names another tenant than the user's.
    #[error("user {user:?} of {tenant:?} asked for {requested:?}")]
    OtherTenant {
        /// The user.
        user: String,
        /// The user's tenant.
        tenant: String,
        /// The tenant that the login names.
        requested: String,
    },
}

/// How the tenant of a login is found.
#[derive(Debug, Clone)]
pub enum Directory {
    /// The login's database is the tenant. The password is not checked.
    Database(KnownTenants),
    /// An LDAP directory checks the password, and its entry for the user names the tenant.
    Ldap(Ldap, KnownTenants),
}

impl Directory {
    /// The tenant of a login.
    ///
    /// # Errors
    ///
    /// The login is denied.
    pub async fn tenant(&self, login: &Login) -> Result<String, LoginError> {
        let (tenant, tenants) = match self {
            Directory::Database(tenants) => (login.database.clone(), tenants),
            Directory::Ldap(ldap, tenants) => (ldap.tenant(login).await?, tenants),
        };
        if !login.database.is_empty() && login.database != tenant {
            let (user, requested) = (login.user.clone(), login.database.clone());
            return Err(LoginError::OtherTenant { user, tenant, requested });
        }
        match tenants.contains(&tenant) {
            true => Ok(tenant),
            false => Err(LoginError::UnknownTenant { tenant }),
        }
    }
}

impl Ldap {
    async fn tenant(&self, login: &Login) -> Result<String, LoginError> {
        let user = login.user.clone();
        if user.is_empty() || login.password.is_empty() {
            return Err(LoginError::EmptyCredentials { user });
        }
        let search = self.find_entries(&user, &login.password);
        let found = tokio::time::timeout(LDAP_TIMEOUT, search).await.unwrap_or_else(|_| Err(timed_out()));
        let entries = match found {
            Ok(entries) => entries,
            Err(source) => return Err(LoginError::Ldap { user, source }),
        };
        let values = entries.iter().filter_map(|entry| entry.attrs.get(&self.tenant_attribute));
        let tenants: Vec<&String> = values.flatten().collect();
        match (entries.len(), &tenants[..]) {
            (1, [tenant]) => Ok((*tenant).clone()),
            (entries, tenants) => {
                let tenants = tenants.len();
                Err(LoginError::AmbiguousEntry { user, entries, tenants })
            }
        }
    }

    /// Binds as the user, and searches for the user's entries.
    async fn find_entries(&self, user: &str, password: &str) -> Result<Vec<SearchEntry>, LdapError> {
        let settings = LdapConnSettings::new().set_conn_timeout(LDAP_TIMEOUT);
        let (connection, mut ldap) = LdapConnAsync::with_settings(settings, &self.url).await?;
        ldap3::drive!(connection);
        let bind_dn = self.bind_dn.replace("{user}", &dn_escape(user));
        ldap.simple_bind(&bind_dn, password).await?.success()?;
        let filter = self.filter.replace("{user}", &ldap_escape(user));
        let attributes = vec![self.tenant_attribute.as_str()];
        let (found, _) = ldap.search(&self.base, Scope::Subtree, &filter, attributes).await?.success()?;
        ldap.unbind().await?;
        Ok(found.into_iter().map(SearchEntry::construct).collect())
    }
}

fn timed_out() -> LdapError {
    let source = std::io::Error::from(std::io::ErrorKind::TimedOut);
    LdapError::Io { source }
}
