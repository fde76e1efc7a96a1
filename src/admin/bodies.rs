//! The JSON bodies that calls of version 1 take. Their doc comments are the descriptions in the OpenAPI document.

use sanddyke_authorization::Role;
use sanddyke_tenancy::{GroupSpec, TenantSpec};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;

/// A tenant to be made.
#[derive(Debug, Deserialize, JsonSchema)]
#[allow(dead_code)] // the document's shape; it is read in two steps, so that no unknown key passes
pub struct NewTenant {
    /// Its name: 1 to 64 of `A-Z a-z 0-9 . _ -`, the first a letter or digit.
    pub(super) name: String,
    #[serde(flatten)]
    pub(super) spec: TenantSpec,
}

/// A group to be made.
#[derive(Debug, Deserialize, JsonSchema)]
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
pub struct NewRoll {
    /// `drain` or `restart`: a restart needs something that starts a manager again when it has ended.
    pub(super) how: RollHow,
    /// Managers at once, all of one zone: 1 where it is absent.
    pub(super) most: Option<usize>,
}

/// What a roll does to each manager.
#[derive(Debug, Clone, Copy, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum RollHow {
    /// It is drained, and goes back to work.
    Drain,
    /// It is drained and ends.
    Restart,
}
