//! JSON request bodies of version 1. Their doc comments are the descriptions in the OpenAPI document: rewording one
//! changes the document.

use sanddyke_authorization::Role;
use sanddyke_tenancy::{GroupSpec, TenantSpec};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;

/// A tenant to be made.
#[derive(Debug, Deserialize, JsonSchema)]
// Only the OpenAPI schema is generated from it. Bodies are parsed as `NamedSpec`, which rejects unknown keys.
#[allow(dead_code)]
pub struct NewTenant {
    /// Its name: 1 to 64 of `A-Z a-z 0-9 . _ -`, the first a letter or digit.
    pub(super) name: String,
    #[serde(flatten)]
    pub(super) spec: TenantSpec,
}

/// A group to be made.
#[derive(Debug, Deserialize, JsonSchema)]
// Like `NewTenant`, only for the schema.
#[allow(dead_code)]
pub struct NewGroup {
    /// Its name, as tenants' are.
    pub(super) name: String,
    #[serde(flatten)]
    pub(super) spec: GroupSpec,
}

/// A token to be made.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NewToken {
    pub(super) role: Role,
    /// Names of the tenants that a tenant administrator is bound to.
    #[serde(default)]
    pub(super) tenants: BTreeSet<String>,
    /// Words of the operators' own.
    #[serde(default)]
    pub(super) note: String,
    /// When it ends (Unix time, ms); never where it is absent.
    pub(super) expires_ms: Option<u64>,
}

/// How a token is rotated.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rotation {
    /// How long the old secret is taken still (ms); a day at most.
    pub(super) overlap_ms: u64,
}

/// A roll to be begun.
#[cfg_attr(not(feature = "cluster"), allow(dead_code))]
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "NewRoll")]
pub struct NewRollingRestart {
    /// `drain` or `restart`: a restart needs something that starts a manager again when it has ended.
    #[serde(rename = "how")]
    pub(super) mode: RollingRestartMode,
    /// Managers at once, all of one zone: 1 where it is absent.
    #[serde(rename = "most")]
    pub(super) max_active: Option<usize>,
}

/// What a roll does to each manager.
#[derive(Debug, Clone, Copy, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "RollHow")]
pub enum RollingRestartMode {
    /// It is drained, and goes back to work.
    Drain,
    /// It is drained and ends.
    Restart,
}
