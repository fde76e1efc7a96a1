//! Tenants, groups and their limits, and the validation of their values. The doc comments of the types with a JSON schema
//! are the descriptions in the OpenAPI document.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of tenants. A manager of the smallest size holds this many tenants and their groups in memory with room
/// to spare.
pub const MAX_TENANTS: usize = 50_000;
/// Maximum number of groups.
pub const MAX_GROUPS: usize = 10_000;
/// Smallest and largest weight. At their ratio the start tags of [`crate::FairQueue`] are still exact in a 64-bit float.
pub const WEIGHT_RANGE: (f64, f64) = (1e-3, 1e6);
const MAX_NAME_BYTES: usize = 64;
const MAX_LABELS: usize = 32;
const MAX_LABEL_BYTES: usize = 256;
const MAX_CLASSES: usize = 64;

/// Names a tenant for good: a tenant removed and added again under its name has another.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct TenantId(pub u64);

/// Counts changes: the registry's, and in each tenant and group the change that last touched it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// Where a tenant stands.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Its requests are taken.
    #[default]
    Active,
    /// New requests are refused until it is resumed; what was taken is answered. It has no share meanwhile.
    Suspended,
    /// New requests are refused for good; what was taken is answered at its share.
    Draining,
    /// It is no longer there; its last attempts end.
    Removed,
}

/// What a tenant may ask at most; an absent limit does not bind.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests a second, as the rate of a token bucket; above 0.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Depth of that bucket in requests, at least 1; as much as one second brings where it is absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
    /// Requests that are owed an answer at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_requests: Option<u32>,
    /// Bytes of a statement.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub statement_bytes: Option<u64>,
    /// Bytes of text in a result.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result_bytes: Option<u64>,
    /// The only classes that it may ask for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub classes: Option<BTreeSet<String>>,
    /// Greatest time budget of a request, in ms: a longer one is cut to this, as it is to its class's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub time_budget_ms: Option<u64>,
}

/// What operators set of a tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct TenantSpec {
    /// Its weight among its siblings: the other members of its group, or all that stand in none.
    pub weight: f64,
    /// Requests a second over all managers that count as within its share, however small the share.
    pub quota_rps: f64,
    /// The group that it stands in.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// What it may ask at most.
    pub limits: Limits,
    /// Words of the operators' own.
    pub labels: BTreeMap<String, String>,
}

impl Default for TenantSpec {
    fn default() -> TenantSpec {
        TenantSpec {
            weight: 1.0,
            quota_rps: 0.0,
            group: None,
            limits: Limits::default(),
            labels: BTreeMap::new(),
        }
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Tenant {
    /// Its id.
    pub id: TenantId,
    /// Its name; no two have the same at once.
    pub name: String,
    /// What operators set.
    #[serde(flatten)]
    pub spec: TenantSpec,
    /// Where it stands.
    pub state: State,
    /// The change that last touched it.
    pub generation: Generation,
}

/// What operators set of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct GroupSpec {
    /// Its weight among the groups and the tenants that stand in none.
    pub weight: f64,
    /// Words of the operators' own.
    pub labels: BTreeMap<String, String>,
}

impl Default for GroupSpec {
    fn default() -> GroupSpec {
        GroupSpec { weight: 1.0, labels: BTreeMap::new() }
    }
}

/// A group: its members together have its share, however many they are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Group {
    /// Its id, given as tenants' are and from the same numbers.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// What operators set.
    #[serde(flatten)]
    pub spec: GroupSpec,
    /// The change that last touched it.
    pub generation: Generation,
}

/// Why a request is rejected by its tenant's state or limits. Responses, log, metrics and the audit trail use the same
/// [`Reason::code`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// No tenant of this name exists.
    Unknown,
    /// The tenant is suspended.
    Suspended,
    /// The tenant is draining.
    Draining,
    /// The tenant was removed, and some of its requests or attempts have not ended.
    Removed,
    /// The tenant may not use the request's class.
    Class,
    /// The statement has more bytes than the tenant's limit.
    StatementBytes,
    /// The result has more bytes than the tenant's limit.
    ResultBytes,
    /// The tenant's number of open requests is at its limit.
    Open,
    /// The tenant's token bucket is empty.
    Rate,
}

impl Reason {
    /// All reasons in the order of [`Reason::index`].
    pub const ALL: [Reason; 9] = [
        Reason::Unknown,
        Reason::Suspended,
        Reason::Draining,
        Reason::Removed,
        Reason::Class,
        Reason::StatementBytes,
        Reason::ResultBytes,
        Reason::Open,
        Reason::Rate,
    ];

    /// The index of the reason in [`Reason::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The stable code that clients and operators see.
    pub fn code(self) -> &'static str {
        match self {
            Reason::Unknown => "tenant_unknown",
            Reason::Suspended => "tenant_suspended",
            Reason::Draining => "tenant_draining",
            Reason::Removed => "tenant_removed",
            Reason::Class => "tenant_class",
            Reason::StatementBytes => "tenant_statement_bytes",
            Reason::ResultBytes => "tenant_result_bytes",
            Reason::Open => "tenant_open",
            Reason::Rate => "tenant_rate",
        }
    }

    /// Whether the same request may be admitted later without a change by an operator.
    pub fn is_temporary(self) -> bool {
        matches!(self, Reason::Open | Reason::Rate)
    }
}

/// A value that is invalid: its field, and what is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidValue {
    /// The field, as it is written in JSON.
    pub field: &'static str,
    /// Which values are valid, and the value found where the message has it.
    pub reason: String,
}

fn invalid_value(field: &'static str, reason: impl Into<String>) -> Result<(), InvalidValue> {
    Err(InvalidValue { field, reason: reason.into() })
}

/// Checks the name of a tenant or a group. The characters are limited because the name is used without escaping in paths,
/// labels and files.
pub fn check_name(name: &str) -> Result<(), InvalidValue> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    let starts_allowed = name.chars().next().is_some_and(|c| c.is_ascii_alphanumeric());
    match starts_allowed && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed) {
        true => Ok(()),
        false => {
            invalid_value("name", "must be 1 to 64 of A-Z a-z 0-9 . _ - and begin with a letter or digit")
        }
    }
}

fn check_weight(weight: f64) -> Result<(), InvalidValue> {
    match (WEIGHT_RANGE.0..=WEIGHT_RANGE.1).contains(&weight) {
        true => Ok(()),
        false => invalid_value(
            "weight",
            format!("must be from {} to {}, is {weight}", WEIGHT_RANGE.0, WEIGHT_RANGE.1),
        ),
    }
}

fn check_labels(labels: &BTreeMap<String, String>) -> Result<(), InvalidValue> {
    let fits = |text: &str| text.len() <= MAX_LABEL_BYTES && !text.chars().any(char::is_control);
    if labels.len() > MAX_LABELS {
        return invalid_value("labels", format!("at most {MAX_LABELS}"));
    }
    match labels.iter().all(|(key, value)| check_name(key).is_ok() && fits(value)) {
        true => Ok(()),
        false => invalid_value("labels", "keys are named as tenants are, values have at most 256 bytes"),
    }
}

impl TenantSpec {
    /// Checks every value except that the group exists, which [`crate::Registry`] checks.
    ///
    /// # Errors
    /// The first value that is invalid.
    pub fn check(&self) -> Result<(), InvalidValue> {
        check_weight(self.weight)?;
        if !(0.0..=1e9).contains(&self.quota_rps) {
            return invalid_value("quota_rps", format!("must be from 0 to 1e9, is {}", self.quota_rps));
        }
        if let Some(group) = &self.group {
            check_name(group).map_err(|bad| InvalidValue { field: "group", reason: bad.reason })?;
        }
        let limits = &self.limits;
        if limits.requests_per_s.is_some_and(|rate| !(1e-3..=1e9).contains(&rate)) {
            return invalid_value("limits.requests_per_s", "must be from 0.001 to 1e9");
        }
        if limits.burst.is_some_and(|burst| !(1.0..=1e9).contains(&burst)) {
            return invalid_value("limits.burst", "must be from 1 to 1e9");
        }
        if limits.burst.is_some() && limits.requests_per_s.is_none() {
            return invalid_value("limits.burst", "goes with limits.requests_per_s");
        }
        if limits.time_budget_ms == Some(0) {
            return invalid_value("limits.time_budget_ms", "must be at least 1");
        }
        let classes = limits.classes.iter().flatten();
        if limits.classes.as_ref().is_some_and(|all| all.len() > MAX_CLASSES)
            || classes.into_iter().any(|name| check_name(name).is_err())
        {
            return invalid_value("limits.classes", "at most 64 names of classes");
        }
        check_labels(&self.labels)
    }
}

impl GroupSpec {
    /// Checks every value.
    ///
    /// # Errors
    /// The first value that is invalid.
    pub fn check(&self) -> Result<(), InvalidValue> {
        check_weight(self.weight)?;
        check_labels(&self.labels)
    }
}
