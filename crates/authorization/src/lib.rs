//! Who may do what over the administration API: tokens with a role and an expiry, and the one place that says
//! whether a role may do a thing. No I/O and no clock: Unix times in milliseconds and random bytes come in.
//!
//! A bearer secret reads `sdk_ID_HEX`: the id finds the token, and the SHA-256 of the whole is compared in
//! constant time. Only the hash is kept, so neither the store nor a backup gives a secret away.
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

/// Tokens at once.
pub const MAX_TOKENS: usize = 1_000;
/// The longest time for which a rotated token's old secret is still taken (ms): a day.
pub const LONGEST_OVERLAP_MS: u64 = 86_400_000;
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

/// What somebody wants to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// See what belongs to no tenant: engines, metrics, groups, shares.
    View,
    /// See one tenant, its requests and its part of the audit trail.
    ViewTenant(TenantId),
    /// Set a tenant's labels, or cancel a request of it.
    OperateTenant(TenantId),
    /// Change tenants, groups and requests of any kind.
    ChangeTenants,
    /// See and change tokens, make backups, export and import.
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

/// A secret that was replaced and is still taken for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Previous {
    hash: String,
    /// Until when (Unix time, ms).
    pub until_ms: u64,
}

/// A token; its secret is known to its holder only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Its id, part of the secret.
    pub id: String,
    /// What it is for.
    pub grant: Grant,
    /// When it was made (Unix time, ms).
    pub created_ms: u64,
    hash: String,
    /// The secret before the last rotation.
    #[serde(default)]
    pub previous: Option<Previous>,
}

/// Why a token is not taken over.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// Too many.
    #[error("there are {MAX_TOKENS} tokens already, the most that there can be")]
    Full,
    /// A tenant administrator of no tenant, or another role bound to some.
    #[error("tenants: a tenant_admin names its tenants, other roles name none")]
    Tenants,
    /// It would never be valid.
    #[error("expires_ms: is over already")]
    Expired,
    /// Longer than any.
    #[error("note: at most 256 bytes")]
    Note,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The SHA-256 of a text, in hexadecimal.
pub fn digest(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}

/// Compares two secrets in a time that tells nothing of where they differ.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    // By their digests, so that the time does not tell a length either.
    digest(a).as_bytes().ct_eq(digest(b).as_bytes()).into()
}

impl Grant {
    /// Checks that it makes sense.
    pub fn check(&self, now_ms: u64) -> Result<(), GrantError> {
        match self {
            _ if self.note.len() > 256 => Err(GrantError::Note),
            _ if self.tenants.is_empty() == (self.role == Role::TenantAdmin) => Err(GrantError::Tenants),
            _ if self.expires_ms.is_some_and(|at| at <= now_ms) => Err(GrantError::Expired),
            _ => Ok(()),
        }
    }

    /// Whether its holder may do a thing.
    pub fn allows(&self, act: Permission) -> bool {
        match (self.role, act) {
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
    /// A new token and its secret, from random bytes.
    pub fn issue(grant: Grant, now_ms: u64, random: [u8; 32]) -> (Token, String) {
        let id = hex(&Sha256::digest(random)[..ID_BYTES]);
        let secret = format!("sdk_{id}_{}", hex(&random));
        let token = Token { id, grant, created_ms: now_ms, hash: digest(&secret), previous: None };
        (token, secret)
    }

    /// The same token with a new secret; the old one is taken for so long still.
    pub fn rotate(token: &Token, now_ms: u64, overlap_ms: u64, random: [u8; 32]) -> (Token, String) {
        let secret = format!("sdk_{}_{}", token.id, hex(&random));
        let until_ms = now_ms.saturating_add(overlap_ms.min(LONGEST_OVERLAP_MS));
        let previous = Some(Previous { hash: token.hash.clone(), until_ms }).filter(|_| overlap_ms > 0);
        (Token { hash: digest(&secret), previous, ..token.clone() }, secret)
    }

    /// Takes a token over.
    pub fn put(&mut self, token: Token) -> Result<(), GrantError> {
        if self.0.len() >= MAX_TOKENS && !self.0.contains_key(&token.id) {
            return Err(GrantError::Full);
        }
        self.0.insert(token.id.clone(), token);
        Ok(())
    }

    /// Forgets a token.
    pub fn remove(&mut self, id: &str) -> Option<Token> {
        self.0.remove(id)
    }

    /// A token by its id.
    pub fn get(&self, id: &str) -> Option<&Token> {
        self.0.get(id)
    }

    /// All of them, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Token> {
        self.0.values()
    }

    /// The token of a secret, where it is valid now. Takes as long whether the secret is nearly right or not.
    pub fn check(&self, secret: &str, now_ms: u64) -> Option<&Token> {
        let id = secret.strip_prefix("sdk_")?.split('_').next()?;
        let token = self.0.get(id)?;
        let told = digest(secret);
        let current = constant_time_eq(&told, &token.hash);
        let before = token.previous.as_ref();
        let before =
            before.is_some_and(|before| now_ms < before.until_ms && constant_time_eq(&told, &before.hash));
        let valid = token.grant.expires_ms.is_none_or(|at| now_ms < at);
        (valid && (current || before)).then_some(token)
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
    fn a_secret_is_valid_until_it_ends_is_rotated_or_is_removed() {
        let mut tokens = Tokens::default();
        let ends = Grant { expires_ms: Some(5_000), ..grant(Role::Operator, &[]) };
        let (token, first) = Tokens::issue(ends, 1_000, [1; 32]);
        tokens.put(token.clone()).unwrap();
        let (turned, second) = Tokens::rotate(&token, 2_000, 1_000, [2; 32]);
        tokens.put(turned).unwrap();
        let valid = |secret: &str, now| tokens.check(secret, now).is_some();
        assert!(valid(&first, 2_999) && valid(&second, 2_999), "both, while they overlap");
        assert!(!valid(&first, 3_000) && valid(&second, 3_000), "the old one ends");
        assert!(!valid(&second, 5_000), "all end");
        for wrong in ["", "sdk_", &first[..first.len() - 1], &format!("{first}0"), "Bearer"] {
            assert!(!valid(wrong, 2_000), "{wrong}");
        }
        tokens.remove(&token.id);
        assert!(tokens.check(&second, 2_000).is_none());
    }

    #[test]
    fn the_secret_is_not_in_what_is_kept() {
        let (token, secret) = Tokens::issue(grant(Role::Viewer, &[]), 0, [9; 32]);
        let kept = format!("{token:?}");
        assert!(!kept.contains(secret.rsplit('_').next().unwrap()), "{kept}");
    }

    /// Every role against every act, as a table.
    #[test]
    fn each_role_may_do_what_it_is_for() {
        let acts = [
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
            assert_eq!(acts.map(|act| grant.allows(act)), allowed, "{:?}", grant.role);
        }
    }

    #[test]
    fn a_grant_that_makes_no_sense_is_refused() {
        assert_eq!(grant(Role::TenantAdmin, &[]).check(0), Err(GrantError::Tenants));
        assert_eq!(grant(Role::Viewer, &[3]).check(0), Err(GrantError::Tenants));
        let over = Grant { expires_ms: Some(10), ..grant(Role::Viewer, &[]) };
        assert_eq!((over.check(10), over.check(9)), (Err(GrantError::Expired), Ok(())));
    }
}
