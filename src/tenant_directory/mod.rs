//! Maps a TDS login to its tenant, by the database name in the login or by an LDAP directory.

use crate::tds::login::Login;
use crate::tenants::KnownTenants;
use ldap3::{LdapConnAsync, LdapConnSettings, LdapError, Scope, SearchEntry, dn_escape, ldap_escape};
use schemars::JsonSchema;
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

/// The maximum time of an LDAP lookup. A login is denied after it.
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
    #[serde(default = "default_filter")]
    pub filter: String,
    /// The attribute that names the tenant.
    #[serde(default = "default_tenant_attribute")]
    pub tenant_attribute: String,
}

fn default_filter() -> String {
    "(uid={user})".to_owned()
}

fn default_tenant_attribute() -> String {
    "o".to_owned()
}

/// Why a login is denied. The reason is logged, but not sent to the client.
#[derive(Debug, Error)]
pub enum LoginError {
    /// There is no such tenant.
    #[error("unknown tenant {tenant:?}")]
    UnknownTenant {
        /// The tenant, from the login's database or from the LDAP directory.
        tenant: String,
    },
    /// The user name or the password is empty. An LDAP directory would accept such a bind as unauthenticated (RFC 4513,
    /// 5.1.2).
    #[error("user {user:?}: the user name or the password is empty")]
    EmptyCredentials {
        /// The user name.
        user: String,
    },
    /// The LDAP directory rejected the bind, the search failed, or the lookup timed out.
    #[error("user {user:?}: LDAP bind or search failed: {source}")]
    Ldap {
        /// The user name.
        user: String,
        /// The error of the LDAP client.
        source: LdapError,
    },
    /// The LDAP search did not find exactly one entry with exactly one tenant.
    #[error(
        "user {user:?}: expected one LDAP entry with one tenant, found {entries} entries with {tenants} tenants"
    )]
    AmbiguousEntry {
        /// The user name.
        user: String,
        /// The number of entries found.
        entries: usize,
        /// The number of tenants in these entries.
        tenants: usize,
    },
    /// The login's database is not the user's tenant.
    #[error("user {user:?}: the login names database {requested:?}, but the user's tenant is {tenant:?}")]
    TenantMismatch {
        /// The user name.
        user: String,
        /// The user's tenant.
        tenant: String,
        /// The database that the login names.
        requested: String,
    },
}

/// The source of the tenant of a login.
#[derive(Debug, Clone)]
pub enum Directory {
    /// The database in the login names the tenant. The password is not checked.
    Database(KnownTenants),
    /// An LDAP directory verifies the password, and the user's entry names the tenant.
    Ldap(Ldap, KnownTenants),
}

impl Directory {
    /// Returns the tenant of a login.
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
            return Err(LoginError::TenantMismatch { user, tenant, requested });
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

    /// Returns the name that a user binds with.
    fn bind_dn_of(&self, user: &str) -> String {
        self.bind_dn.replace("{user}", &dn_escape(user))
    }

    /// Returns the filter that a user's entry fits.
    fn filter_of(&self, user: &str) -> String {
        self.filter.replace("{user}", &ldap_escape(user))
    }

    /// Binds as the user and searches for the user's entries.
    async fn find_entries(&self, user: &str, password: &str) -> Result<Vec<SearchEntry>, LdapError> {
        let settings = LdapConnSettings::new().set_conn_timeout(LDAP_TIMEOUT);
        let (connection, mut ldap) = LdapConnAsync::with_settings(settings, &self.url).await?;
        ldap3::drive!(connection);
        ldap.simple_bind(&self.bind_dn_of(user), password).await?.success()?;
        let filter = self.filter_of(user);
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

#[cfg(test)]
mod tests;
