//! Authorization of the administration API: bearer tokens with a role and an expiry, and the rules for what each
//! role permits. The crate does no I/O and reads no clock. The caller passes Unix times in milliseconds and random
//! bytes.
//!
//! A bearer secret has the form `sdk_ID_HEX`. The token is looked up by the id, and the SHA-256 of the whole secret
//! is compared in constant time. Only the hash is stored, so neither the store nor a backup discloses a secret.
//!
//! ```
//! use sanddyke_authorization::{Grant, Role, Tokens};
//!
//! let mut tokens = Tokens::default();
//! let grant = Grant { role: Role::Viewer, tenants: Default::default(), note: "wall".into(), expires_ms: None };
//! let (token, secret) = Tokens::issue(grant, 1_000, [7; 32]);
//! tokens.put(token).unwrap();
//! assert!(tokens.check(&secret, 2_000).is_some());
//! assert!(tokens.check(&secret.replace("07", "08"), 2_000).is_none());
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use sanddyke_tenancy::TenantId;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use subtle::ConstantTimeEq;

/// Maximum number of tokens that exist at the same time.
pub const MAX_TOKENS: usize = 1_000;
/// Maximum time for which the old secret of a rotated token stays valid (ms): one day.
pub const MAX_OVERLAP_MS: u64 = 86_400_000;
/// Length of a token id; in hexadecimal it has twice as many digits.
const ID_BYTES: usize = 4;

/// What a token may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// All.
    Operator,
    /// See its tenants, set their labels, and cancel their requests. Whether they are served is not its to say.
    TenantAdmin,
    /// See all and change nothing.
    Viewer,
}

/// What a call of the administration API requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// Read what belongs to no tenant: engines, metrics, groups, shares.
    View,
    /// Read one tenant, its requests and its entries of the audit trail.
    ViewTenant(TenantId),
    /// Set a tenant's labels, or cancel one of its requests.
    OperateTenant(TenantId),
    /// Change any tenant, group or request.
    ChangeTenants,
    /// Read and change tokens, make backups, export and import.
    Administer,
}

/// What a token is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Grant {
    /// What it may do.
    pub role: Role,
    /// The tenants that a tenant administrator is bound to, by id: one added again under a name is another.
    #[serde(default)]
    pub tenants: BTreeSet<TenantId>,
    /// Words of the operators' own.
    #[serde(default)]
    pub note: String,
    /// When it ends (Unix time, ms).
    #[serde(default)]
    pub expires_ms: Option<u64>,
}

/// The hash of a replaced secret that is still valid for a limited time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Previous {
    hash: String,
    /// The time at which it becomes invalid (Unix time, ms).
    pub until_ms: u64,
}

/// A token with the hash of its secret. Only its holder has the secret itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The id, which is also part of the secret.
    pub id: String,
    /// The role, the tenants and the expiry.
    pub grant: Grant,
    /// Creation time (Unix time, ms).
    pub created_ms: u64,
    hash: String,
    /// The secret before the last rotation; `None` without rotation, or if the last one had no overlap.
    #[serde(default)]
    pub previous: Option<Previous>,
}

/// Why a grant or a token is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// There are [`MAX_TOKENS`] other tokens.
    #[error("there are {MAX_TOKENS} tokens already, the most that there can be")]
    TooManyTokens,
    /// A tenant administrator has no tenants, or another role has some.
    #[error("tenants: a tenant_admin names its tenants, other roles name none")]
    TenantsForRole,
    /// The expiry has already passed.
    #[error("expires_ms: is over already")]
    Expired,
    /// The note exceeds 256 bytes.
    #[error("note: at most 256 bytes")]
    NoteTooLong,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the SHA-256 of a text, in hexadecimal.
pub fn digest(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}

/// Compares two secrets in constant time, so that the duration does not disclose where they differ.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    // Digests have a fixed length, so the duration does not disclose the length of a secret either.
    digest(a).as_bytes().ct_eq(digest(b).as_bytes()).into()
}

impl Grant {
    /// Checks the length of the note, that the tenants match the role, and that the expiry is in the future.
    pub fn check(&self, now_ms: u64) -> Result<(), GrantError> {
        match self {
            _ if self.note.len() > 256 => Err(GrantError::NoteTooLong),
            _ if self.tenants.is_empty() == (self.role == Role::TenantAdmin) => {
                Err(GrantError::TenantsForRole)
            }
            _ if self.expires_ms.is_some_and(|at| at <= now_ms) => Err(GrantError::Expired),
            _ => Ok(()),
        }
    }

    /// Returns whether the holder has a permission.
    pub fn allows(&self, permission: Permission) -> bool {
        match (self.role, permission) {
            (Role::Operator, _) => true,
            (Role::Viewer, Permission::View | Permission::ViewTenant(_)) => true,
            (Role::Viewer, _) => false,
            (Role::TenantAdmin, Permission::ViewTenant(id) | Permission::OperateTenant(id)) => {
                self.tenants.contains(&id)
            }
            (Role::TenantAdmin, Permission::View | Permission::ChangeTenants | Permission::Administer) => {
                false
            }
        }
    }
}

/// The tokens, by id.
#[derive(Debug, Clone, Default)]
pub struct Tokens(BTreeMap<String, Token>);

impl Tokens {
    /// Creates a token and its secret from random bytes. The token becomes valid when it is added with
    /// [`put`](Self::put).
    pub fn issue(grant: Grant, now_ms: u64, random: [u8; 32]) -> (Token, String) {
        let id = hex(&Sha256::digest(random)[..ID_BYTES]);
        let secret = format!("sdk_{id}_{}", hex(&random));
        let token = Token { id, grant, created_ms: now_ms, hash: digest(&secret), previous: None };
        (token, secret)
    }

    /// Returns the token with a new secret, and that secret. The old secret stays valid for `overlap_ms`, at most
    /// [`MAX_OVERLAP_MS`].
    pub fn rotate(token: &Token, now_ms: u64, overlap_ms: u64, random: [u8; 32]) -> (Token, String) {
        let secret = format!("sdk_{}_{}", token.id, hex(&random));
        let until_ms = now_ms.saturating_add(overlap_ms.min(MAX_OVERLAP_MS));
        let previous = Some(Previous { hash: token.hash.clone(), until_ms }).filter(|_| overlap_ms > 0);
        (Token { hash: digest(&secret), previous, ..token.clone() }, secret)
    }

    /// Adds a token, or replaces the one with the same id.
    pub fn put(&mut self, token: Token) -> Result<(), GrantError> {
        if self.0.len() >= MAX_TOKENS && !self.0.contains_key(&token.id) {
            return Err(GrantError::TooManyTokens);
        }
        self.0.insert(token.id.clone(), token);
        Ok(())
    }

    /// Removes a token and returns it; `None` if there is no token with this id.
    pub fn remove(&mut self, id: &str) -> Option<Token> {
        self.0.remove(id)
    }

    /// Returns a token by its id.
    pub fn get(&self, id: &str) -> Option<&Token> {
        self.0.get(id)
    }

    /// Returns all tokens, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Token> {
        self.0.values()
    }

    /// Returns the token of a secret that is valid at `now_ms`. The duration does not depend on how much of the secret
    /// is right.
    pub fn check(&self, secret: &str, now_ms: u64) -> Option<&Token> {
        let id = secret.strip_prefix("sdk_")?.split('_').next()?;
        let token = self.0.get(id)?;
        let presented_hash = digest(secret);
        let is_current = constant_time_eq(&presented_hash, &token.hash);
        let previous = token.previous.as_ref();
        let is_previous = previous.is_some_and(|previous| {
            now_ms < previous.until_ms && constant_time_eq(&presented_hash, &previous.hash)
        });
        let is_unexpired = token.grant.expires_ms.is_none_or(|at| now_ms < at);
        (is_unexpired && (is_current || is_previous)).then_some(token)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn grant(role: Role, tenants: &[u64]) -> Grant {
        let tenants = tenants.iter().map(|id| TenantId(*id)).collect();
        Grant { role, tenants, note: String::new(), expires_ms: None }
    }

    #[test]
    fn a_secret_is_valid_until_it_expires_is_rotated_or_is_removed() {
        let mut tokens = Tokens::default();
        let expiring = Grant { expires_ms: Some(5_000), ..grant(Role::Operator, &[]) };
        let (token, first) = Tokens::issue(expiring, 1_000, [1; 32]);
        tokens.put(token.clone()).unwrap();
        let (rotated, second) = Tokens::rotate(&token, 2_000, 1_000, [2; 32]);
        tokens.put(rotated).unwrap();
        let valid = |secret: &str, now| tokens.check(secret, now).is_some();
        assert!(valid(&first, 2_999) && valid(&second, 2_999), "both secrets are valid during the overlap");
        assert!(!valid(&first, 3_000) && valid(&second, 3_000), "the old secret expires after the overlap");
        assert!(!valid(&second, 5_000), "no secret is valid after the expiry of the token");
        for wrong in ["", "sdk_", &first[..first.len() - 1], &format!("{first}0"), "Bearer"] {
            assert!(!valid(wrong, 2_000), "{wrong}");
        }
        tokens.remove(&token.id);
        assert!(tokens.check(&second, 2_000).is_none());
    }

    #[test]
    fn a_stored_token_does_not_contain_its_secret() {
        let (token, secret) = Tokens::issue(grant(Role::Viewer, &[]), 0, [9; 32]);
        let stored = format!("{token:?}");
        assert!(!stored.contains(secret.rsplit('_').next().unwrap()), "{stored}");
    }

    /// Checks every role against every permission.
    #[test]
    fn each_role_has_exactly_its_permissions() {
        let permissions = [
            Permission::View,
            Permission::ViewTenant(TenantId(1)),
            Permission::ViewTenant(TenantId(2)),
            Permission::OperateTenant(TenantId(1)),
            Permission::OperateTenant(TenantId(2)),
            Permission::ChangeTenants,
            Permission::Administer,
        ];
        let rows = [
            (grant(Role::Operator, &[]), [true; 7]),
            (grant(Role::TenantAdmin, &[1]), [false, true, false, true, false, false, false]),
            (grant(Role::Viewer, &[]), [true, true, true, false, false, false, false]),
        ];
        for (grant, allowed) in rows {
            assert_eq!(permissions.map(|permission| grant.allows(permission)), allowed, "{:?}", grant.role);
        }
    }

    #[test]
    fn a_grant_with_unsuitable_tenants_or_a_past_expiry_is_rejected() {
        assert_eq!(grant(Role::TenantAdmin, &[]).check(0), Err(GrantError::TenantsForRole));
        assert_eq!(grant(Role::Viewer, &[3]).check(0), Err(GrantError::TenantsForRole));
        let expired = Grant { expires_ms: Some(10), ..grant(Role::Viewer, &[]) };
        assert_eq!((expired.check(10), expired.check(9)), (Err(GrantError::Expired), Ok(())));
    }
}
