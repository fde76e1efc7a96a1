//! Who belongs to which tenant: by the database that a login names, or by a tenant's LDAP directory.

use crate::tds::login::Login;
use crate::tenants::KnownTenants;
use ldap3::{LdapConnAsync, LdapConnSettings, Scope, SearchEntry, dn_escape, ldap_escape};
use schemars::JsonSchema;
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

/// A directory that has not answered by then does not.
const WITHIN: Duration = Duration::from_secs(2);

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

/// Why a login is denied. Clients are not told: it goes to the log.
#[derive(Debug, Error)]
pub enum Denied {
    /// No such tenant.
    #[error("database {0:?} is no tenant")]
    Tenant(String),
    /// No password: a directory would take that as a bind by nobody, and grant it.
    #[error("user {0:?} gave no name or no password")]
    Empty(String),
    /// The directory said no, or said nothing.
    #[error("user {0:?}: the directory says: {1}")]
    Ldap(String, ldap3::LdapError),
    /// The user's entry does not name one tenant.
    #[error("user {0:?}: {1} entries name {2} tenants")]
    Entry(String, usize, usize),
    /// The login names a tenant that is not the user's.
    #[error("user {0:?} of {1:?} asked for {2:?}")]
    Other(String, String, String),
}

/// How tenants are found.
#[derive(Debug, Clone)]
pub enum Directory {
    /// The login's database is the tenant, and the password is not heeded.
    Database(KnownTenants),
    /// A directory knows the user, and the tenant.
    Ldap(Ldap, KnownTenants),
}

impl Directory {
    /// The tenant of a login.
    pub async fn tenant(&self, login: &Login) -> Result<String, Denied> {
        let (tenant, tenants) = match self {
            Directory::Database(tenants) => (login.database.clone(), tenants),
            Directory::Ldap(ldap, tenants) => (ldap.tenant(login).await?, tenants),
        };
        if !login.database.is_empty() && login.database != tenant {
            return Err(Denied::Other(login.user.clone(), tenant, login.database.clone()));
        }
        match tenants.contains(&tenant) {
            true => Ok(tenant),
            false => Err(Denied::Tenant(tenant)),
        }
    }
}

impl Ldap {
    async fn tenant(&self, login: &Login) -> Result<String, Denied> {
        let user = &login.user;
        if user.is_empty() || login.password.is_empty() {
            return Err(Denied::Empty(user.clone()));
        }
        let entries = match tokio::time::timeout(WITHIN, self.entries(user, &login.password)).await {
            Ok(found) => found.map_err(|error| Denied::Ldap(user.clone(), error))?,
            Err(_) => {
                let late = std::io::Error::from(std::io::ErrorKind::TimedOut);
                return Err(Denied::Ldap(user.clone(), ldap3::LdapError::Io { source: late }));
            }
        };
        let tenants: Vec<&String> =
            entries.iter().flat_map(|entry| entry.attrs.get(&self.tenant_attribute)).flatten().collect();
        match (entries.len(), &tenants[..]) {
            (1, [tenant]) => Ok((*tenant).clone()),
            (found, tenants) => Err(Denied::Entry(user.clone(), found, tenants.len())),
        }
    }

    async fn entries(&self, user: &str, password: &str) -> Result<Vec<SearchEntry>, ldap3::LdapError> {
        let settings = LdapConnSettings::new().set_conn_timeout(WITHIN);
        let (connection, mut ldap) = LdapConnAsync::with_settings(settings, &self.url).await?;
        ldap3::drive!(connection);
        let name = self.bind_dn.replace("{user}", &dn_escape(user));
        ldap.simple_bind(&name, password).await?.success()?;
        let filter = self.filter.replace("{user}", &ldap_escape(user));
        let wanted = vec![self.tenant_attribute.as_str()];
        let (found, _) = ldap.search(&self.base, Scope::Subtree, &filter, wanted).await?.success()?;
        ldap.unbind().await?;
        Ok(found.into_iter().map(SearchEntry::construct).collect())
    }
}
