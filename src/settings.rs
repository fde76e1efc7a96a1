//! The settings of one manager: reads them from the platform's JSON, checks them and converts them to the types of the
//! decision module.
//!
//! [`Env`] and its parts have the structure of the platform's JSON. Where a field or a type has a `rename` attribute, that
//! is its name in the platform's JSON and in the JSON schema. [`build`] checks the settings and returns
//! [`ServiceSettings`].

mod error;

pub use error::SettingsError;

use crate::decision::{
    ClassSettings, DedupScope, Effect, EngineTraits, KindId, KindSettings, Limits, MemoryShortage,
    RetryBudget, Rules, Settings, TenantSettings, ZoneId,
};
use schemars::JsonSchema;
use serde::Deserialize;

#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
/// What the module is told, named as the simulator names it.
pub struct Env {
    /// What the deployment allows.
    pub(crate) allowed: Allowed,
    classes: Vec<Class>,
    #[serde(default, rename = "customers")]
    tenants: Vec<TenantEntry>,
    discovery: String,
    #[serde(default, rename = "familyInfo")]
    engine_family: EngineFamily,
    #[serde(default, rename = "models")]
    kinds: Vec<String>,
    #[serde(default, rename = "me")]
    manager_index: usize,
    #[serde(rename = "overShareWorth")]
    over_share_weight_fraction: Option<f64>,
    #[serde(default, rename = "prices")]
    score_penalties: ScorePenalties,
    #[serde(rename = "replicasOfMe")]
    manager_count: usize,
    report: Report,
    safety: Safety,
    step_ms: f64,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Allowed {
    #[serde(rename = "maxOpen")]
    pub(crate) max_open_requests: Option<f64>,
    #[serde(rename = "streamsPerConn")]
    pub(crate) max_attempts_per_connection: Option<f64>,
    pub(crate) connect_timeout_ms: Option<f64>,
    #[serde(rename = "keepaliveMs")]
    pub(crate) engine_idle_timeout_ms: Option<f64>,
    #[serde(rename = "attemptsCap")]
    max_attempts: u32,
    #[serde(default, rename = "cancel")]
    cancellation: bool,
    max_retry_after_ms: Option<f64>,
    #[serde(default, rename = "probes")]
    health_checks: bool,
    #[serde(default, rename = "secondCopies")]
    hedged_requests: bool,
}

#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
struct Class {
    name: String,
    #[serde(rename = "targetMs")]
    latency_objective_ms: f64,
    #[serde(default, rename = "aimStretch")]
    latency_objective_stretch: f64,
    deadline_ms: f64,
    idempotency: String,
    dedup_scope: Option<String>,
    window_ms: Option<f64>,
    #[serde(default, rename = "inTurn")]
    in_order: bool,
    #[serde(default, rename = "lateShare")]
    late_weight_fraction: f64,
    #[serde(rename = "runsOn")]
    allowed_kinds: Option<Vec<String>>,
    #[serde(rename = "staysIn")]
    allowed_zones: Option<Vec<String>>,
    #[serde(rename = "worth")]
    priority_weight: f64,
}

#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
#[schemars(rename = "Customer")]
struct TenantEntry {
    name: String,
    #[serde(rename = "portion")]
    share: f64,
    quota_rps: f64,
}

#[derive(Debug, Clone, Deserialize, Default, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
#[schemars(rename = "FamilyInfo")]
struct EngineFamily {
    #[serde(rename = "dop")]
    threads_by_class: Vec<f64>,
    #[serde(rename = "grantCap")]
    max_grant_fraction: Option<f64>,
    #[serde(rename = "grants")]
    memory_grants: bool,
    #[serde(rename = "kindCores")]
    cores_by_kind: Vec<f64>,
    #[serde(rename = "loads")]
    locks_data_set_by_class: Vec<bool>,
    memory_by_kind_mb: Vec<f64>,
    #[serde(rename = "outOfMemory")]
    on_memory_shortage: Option<String>,
    #[serde(rename = "ranksHeeded")]
    priorities: bool,
    #[serde(rename = "saysCost")]
    reports_usage: bool,
    #[serde(rename = "tellsEveryMs")]
    progress_interval_ms: f64,
    #[serde(rename = "yieldsToLoads")]
    waits_for_loads_by_class: Vec<bool>,
}

#[derive(Debug, Clone, Deserialize, Default, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
#[schemars(rename = "Prices")]
struct ScorePenalties {
    #[serde(rename = "probe")]
    health_check: f64,
    cross_zone: f64,
}

#[derive(Debug, Clone, Deserialize, JsonSchema)]
struct Report {
    #[serde(default)]
    columns: Vec<String>,
}

#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
struct Safety {
    #[serde(rename = "askWithinMs")]
    poll_interval_ms: Option<f64>,
    #[serde(rename = "coldFrom")]
    initial_capacity_fraction: f64,
    #[serde(default, rename = "keyRestMs")]
    order_key_pause_ms: f64,
    overload_factor: f64,
    #[serde(rename = "tipAfterMs")]
    overload_window_ms: f64,
    warm_up_ms: f64,
    #[serde(rename = "extraFloor")]
    retry_budget_floor: Option<f64>,
    #[serde(rename = "repeatRatio")]
    retry_budget_ratio: Option<f64>,
    #[serde(rename = "resendSpanMs")]
    retry_budget_window_ms: Option<f64>,
}

/// Maximum of request classes. The sampler of engines stores one bit for each class
/// ([`sanddyke_sampling::MAX_KINDS`]).
const MAX_CLASSES: usize = sanddyke_sampling::MAX_KINDS;

/// The settings of one manager, with the names of the classes, tenants, kinds and zones that the decision module
/// identifies by number.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes, by number.
    pub classes: Vec<String>,
    /// The names of the tenants, by number.
    pub tenants: Vec<String>,
    /// The names of the kinds of machine that engines run on, by number.
    pub kinds: Vec<String>,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The columns of a load report. The protocol defines the meaning of `x0` and `x1`; the other columns have
    /// descriptive names.
    pub columns: Vec<String>,
    /// Whether an engine's response reports the resources that the query used.
    pub reports_usage: bool,
}

/// Returns the number of a name. A new name is appended to `names`.
pub fn number(names: &mut Vec<String>, name: &str) -> usize {
    if let Some(index) = names.iter().position(|known| known == name) {
        return index;
    }
    names.push(name.to_owned());
    names.len() - 1
}

/// Reads settings from JSON.
///
/// # Errors
/// The text is not JSON of the expected structure, or one of the errors of [`build`].
pub fn parse(text: &str) -> Result<ServiceSettings, SettingsError> {
    build(serde_json::from_str(text)?)
}

/// Checks settings and converts them to the types of the decision module.
///
/// # Errors
/// The first invalid value.
pub fn build(env: Env) -> Result<ServiceSettings, SettingsError> {
    check(&env)?;
    let mut kinds = env.kinds.clone();
    let mut zones = env.zones.clone();
    let mut classes = Vec::with_capacity(env.classes.len());
    for index in 0..env.classes.len() {
        classes.push(class_settings(&env, index, &mut kinds, &mut zones)?);
    }
    let settings = Settings {
        manager_count: env.manager_count,
        manager_index: env.manager_index,
        zone: ZoneId(number(&mut zones, &env.zone)),
        step_ms: env.step_ms,
        classes,
        tenants: env.tenants.iter().map(TenantSettings::from).collect(),
        over_share_weight_fraction: env.over_share_weight_fraction.unwrap_or(1.0),
        kinds: (0..kinds.len()).map(|index| env.engine_family.kind(index)).collect(),
        limits: Limits::from(&env.allowed),
        rules: Rules::from(&env.safety),
        engines: env.engine_family.engine_traits()?,
        poll_engine_list: polls_engine_list(&env.discovery)?,
        health_check_penalty: env.score_penalties.health_check,
        cross_zone_penalty: env.score_penalties.cross_zone,
    };
    Ok(ServiceSettings {
        settings,
        classes: env.classes.into_iter().map(|class| class.name).collect(),
        tenants: env.tenants.into_iter().map(|tenant| tenant.name).collect(),
        kinds,
        zones,
        columns: env.report.columns,
        reports_usage: env.engine_family.reports_usage,
    })
}

/// Checks the values whose validity does not depend on other values.
fn check(env: &Env) -> Result<(), SettingsError> {
    let positive = [
        ("replicasOfMe", env.manager_count as f64),
        ("stepMs", env.step_ms),
        ("safety.tipAfterMs", env.safety.overload_window_ms),
        ("safety.overloadFactor", env.safety.overload_factor),
    ];
    for (key, value) in positive {
        if value <= 0.0 {
            return Err(SettingsError::NotPositive { key, value });
        }
    }
    if env.classes.len() > MAX_CLASSES {
        return Err(SettingsError::TooManyClasses(env.classes.len()));
    }
    Ok(())
}

/// Converts the settings of one class. Kinds and zones that no other setting names are appended to `kinds` and
/// `zones`.
fn class_settings(
    env: &Env,
    index: usize,
    kinds: &mut Vec<String>,
    zones: &mut Vec<String>,
) -> Result<ClassSettings, SettingsError> {
    let class = &env.classes[index];
    let family = &env.engine_family;
    if class.latency_objective_ms <= 0.0 || class.deadline_ms < class.latency_objective_ms {
        return Err(SettingsError::TargetOutOfRange(index));
    }
    let allowed_kinds = class.allowed_kinds.as_ref();
    let allowed_zones = class.allowed_zones.as_ref();
    Ok(ClassSettings {
        latency_objective_ms: class.latency_objective_ms,
        latency_objective_stretch: class.latency_objective_stretch,
        deadline_ms: class.deadline_ms,
        priority_weight: class.priority_weight,
        late_weight_fraction: class.late_weight_fraction,
        allowed_kinds: allowed_kinds
            .map(|names| names.iter().map(|name| KindId(number(kinds, name))).collect()),
        allowed_zones: allowed_zones
            .map(|names| names.iter().map(|name| ZoneId(number(zones, name))).collect()),
        effect: class.effect().map_err(|error| SettingsError::Class { index, error: Box::new(error) })?,
        in_order: class.in_order,
        threads: family.threads_by_class.get(index).copied().unwrap_or(1.0).max(1.0),
        locks_data_set: family.locks_data_set_by_class.get(index).copied().unwrap_or(false),
        waits_for_loads: family.waits_for_loads_by_class.get(index).copied().unwrap_or(false),
    })
}

/// Returns whether the endpoint list has to be polled, that is, whether updates are not pushed.
fn polls_engine_list(discovery: &str) -> Result<bool, SettingsError> {
    match discovery {
        "pushed" => Ok(false),
        "on_request" => Ok(true),
        other => Err(SettingsError::unknown_value("discovery", other)),
    }
}

impl Class {
    /// Returns whether requests of the class may be executed more than once, and where duplicates are detected.
    fn effect(&self) -> Result<Effect, SettingsError> {
        match self.idempotency.as_str() {
            "repeatable" => Ok(Effect::Repeatable),
            "once" => Ok(Effect::Once),
            "by_key" => {
                let scope = self.dedup_scope()?;
                let window_ms = self.window_ms.ok_or(SettingsError::MissingForIdempotencyKey("windowMs"))?;
                Ok(Effect::Keyed { scope, window_ms })
            }
            other => Err(SettingsError::unknown_value("idempotency", other)),
        }
    }

    /// Returns the set of engines that detect each other's duplicates of a request with an idempotency key. The
    /// default is all engines.
    fn dedup_scope(&self) -> Result<DedupScope, SettingsError> {
        match self.dedup_scope.as_deref() {
            None | Some("all") => Ok(DedupScope::All),
            Some("zone") => Ok(DedupScope::Zone),
            Some("cell") => Ok(DedupScope::Cell),
            Some(other) => Err(SettingsError::unknown_value("dedupScope", other)),
        }
    }
}

impl From<&TenantEntry> for TenantSettings {
    fn from(tenant: &TenantEntry) -> TenantSettings {
        TenantSettings { share: tenant.share, quota_per_s: tenant.quota_rps, group: None }
    }
}

impl From<&Allowed> for Limits {
    fn from(allowed: &Allowed) -> Limits {
        Limits {
            max_attempts: allowed.max_attempts,
            // The server sets it from the number of descriptors that the process may have open.
            max_open_requests: None,
            cancellation: allowed.cancellation,
            health_checks: allowed.health_checks,
            hedged_requests: allowed.hedged_requests,
            // Retry-After is sent if a maximum is set. Clients that do not support the header ignore it.
            max_retry_after_ms: allowed.max_retry_after_ms,
        }
    }
}

impl From<&Safety> for Rules {
    fn from(safety: &Safety) -> Rules {
        let retry_budget = safety.retry_budget_window_ms.map(|window_ms| RetryBudget {
            floor: safety.retry_budget_floor.unwrap_or(0.0),
            ratio: safety.retry_budget_ratio.unwrap_or(0.0),
            window_ms,
        });
        Rules {
            initial_capacity_fraction: safety.initial_capacity_fraction,
            warm_up_ms: safety.warm_up_ms,
            overload_factor: safety.overload_factor,
            overload_window_ms: safety.overload_window_ms,
            order_key_pause_ms: safety.order_key_pause_ms,
            poll_interval_ms: safety.poll_interval_ms.unwrap_or(f64::INFINITY),
            retry_budget,
        }
    }
}

impl EngineFamily {
    /// Returns the settings of the kind with this number.
    fn kind(&self, index: usize) -> KindSettings {
        KindSettings {
            cores: self.cores_by_kind.get(index).copied(),
            memory_mb: self.memory_by_kind_mb.get(index).copied(),
        }
    }

    /// Returns how engines handle memory shortage and priorities, and how often they send progress notes.
    fn engine_traits(&self) -> Result<EngineTraits, SettingsError> {
        let on_memory_shortage = match self.on_memory_shortage.as_deref() {
            None | Some("queue") => MemoryShortage::Wait,
            Some("trim") => MemoryShortage::Trim,
            Some("swap") => MemoryShortage::Page,
            Some(other) => return Err(SettingsError::unknown_value("familyInfo.outOfMemory", other)),
        };
        Ok(EngineTraits {
            on_memory_shortage,
            memory_grants: self.memory_grants,
            priorities: self.priorities,
            max_grant_fraction: self.max_grant_fraction.unwrap_or(1.0),
            progress_interval_ms: self.progress_interval_ms,
        })
    }
}
