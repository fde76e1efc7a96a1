//! The settings of one manager: reads them from the platform's JSON, checks them and converts them to the types of the
//! decision module.
//!
//! [`Env`] and its parts have the names and the structure of the platform's JSON, which are also those of the JSON
//! schema. [`build`] checks them and returns [`ServiceSettings`].

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
    #[serde(default)]
    customers: Vec<Customer>,
    discovery: String,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    me: usize,
    over_share_worth: Option<f64>,
    #[serde(default)]
    #[serde(rename = "prices")]
    score_penalties: ScorePenalties,
    replicas_of_me: usize,
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
    pub(crate) max_open: Option<f64>,
    pub(crate) streams_per_conn: Option<f64>,
    pub(crate) connect_timeout_ms: Option<f64>,
    pub(crate) keepalive_ms: Option<f64>,
    attempts_cap: u32,
    #[serde(default)]
    cancel: bool,
    max_retry_after_ms: Option<f64>,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    second_copies: bool,
}

#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
struct Class {
    name: String,
    target_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline_ms: f64,
    idempotency: String,
    dedup_scope: Option<String>,
    window_ms: Option<f64>,
    #[serde(default)]
    in_turn: bool,
    #[serde(default)]
    late_share: f64,
    runs_on: Option<Vec<String>>,
    stays_in: Option<Vec<String>>,
    worth: f64,
}

#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
struct Customer {
    name: String,
    portion: f64,
    quota_rps: f64,
}

#[derive(Debug, Clone, Deserialize, Default, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    dop: Vec<f64>,
    grant_cap: Option<f64>,
    grants: bool,
    kind_cores: Vec<f64>,
    loads: Vec<bool>,
    memory_by_kind_mb: Vec<f64>,
    out_of_memory: Option<String>,
    ranks_heeded: bool,
    #[serde(rename = "saysCost")]
    reports_usage: bool,
    tells_every_ms: f64,
    yields_to_loads: Vec<bool>,
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
    ask_within_ms: Option<f64>,
    cold_from: f64,
    #[serde(default)]
    key_rest_ms: f64,
    overload_factor: f64,
    tip_after_ms: f64,
    warm_up_ms: f64,
    extra_floor: Option<f64>,
    repeat_ratio: Option<f64>,
    resend_span_ms: Option<f64>,
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
    let mut kinds = env.models.clone();
    let mut zones = env.zones.clone();
    let mut classes = Vec::with_capacity(env.classes.len());
    for index in 0..env.classes.len() {
        classes.push(class_settings(&env, index, &mut kinds, &mut zones)?);
    }
    let settings = Settings {
        gateway_count: env.replicas_of_me,
        gateway_index: env.me,
        zone: ZoneId(number(&mut zones, &env.zone)),
        step_ms: env.step_ms,
        classes,
        tenants: env.customers.iter().map(TenantSettings::from).collect(),
        over_share_weight_fraction: env.over_share_worth.unwrap_or(1.0),
        kinds: (0..kinds.len()).map(|index| env.family_info.kind(index)).collect(),
        limits: Limits::from(&env.allowed),
        rules: Rules::from(&env.safety),
        engines: env.family_info.engine_traits()?,
        poll_engine_list: polls_engine_list(&env.discovery)?,
        health_check_price: env.score_penalties.health_check,
        cross_zone_price: env.score_penalties.cross_zone,
    };
    Ok(ServiceSettings {
        settings,
        classes: env.classes.into_iter().map(|class| class.name).collect(),
        tenants: env.customers.into_iter().map(|tenant| tenant.name).collect(),
        kinds,
        zones,
        columns: env.report.columns,
        reports_usage: env.family_info.reports_usage,
    })
}

/// Checks the values whose validity does not depend on other values.
fn check(env: &Env) -> Result<(), SettingsError> {
    let positive = [
        ("replicasOfMe", env.replicas_of_me as f64),
        ("stepMs", env.step_ms),
        ("safety.tipAfterMs", env.safety.tip_after_ms),
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
    let family = &env.family_info;
    if class.target_ms <= 0.0 || class.deadline_ms < class.target_ms {
        return Err(SettingsError::TargetOutOfRange(index));
    }
    let allowed_kinds = class.runs_on.as_ref();
    let allowed_zones = class.stays_in.as_ref();
    Ok(ClassSettings {
        latency_objective_ms: class.target_ms,
        latency_objective_stretch: class.aim_stretch,
        deadline_ms: class.deadline_ms,
        priority_weight: class.worth,
        late_weight_fraction: class.late_share,
        allowed_kinds: allowed_kinds
            .map(|names| names.iter().map(|name| KindId(number(kinds, name))).collect()),
        allowed_zones: allowed_zones
            .map(|names| names.iter().map(|name| ZoneId(number(zones, name))).collect()),
        effect: class.effect().map_err(|error| SettingsError::Class { index, error: Box::new(error) })?,
        in_order: class.in_turn,
        threads: family.dop.get(index).copied().unwrap_or(1.0).max(1.0),
        locks_data_set: family.loads.get(index).copied().unwrap_or(false),
        waits_for_loads: family.yields_to_loads.get(index).copied().unwrap_or(false),
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

impl From<&Customer> for TenantSettings {
    fn from(customer: &Customer) -> TenantSettings {
        TenantSettings { share: customer.portion, quota_per_s: customer.quota_rps, group: None }
    }
}

impl From<&Allowed> for Limits {
    fn from(allowed: &Allowed) -> Limits {
        Limits {
            max_attempts: allowed.attempts_cap,
            // The server sets it from the number of descriptors that the process may have open.
            max_open_requests: None,
            cancellation: allowed.cancel,
            health_checks: allowed.probes,
            hedged_requests: allowed.second_copies,
            // Retry-After is sent if a maximum is set. Clients that do not support the header ignore it.
            max_retry_after_ms: allowed.max_retry_after_ms,
        }
    }
}

impl From<&Safety> for Rules {
    fn from(safety: &Safety) -> Rules {
        let retry_budget = safety.resend_span_ms.map(|window_ms| RetryBudget {
            floor: safety.extra_floor.unwrap_or(0.0),
            ratio: safety.repeat_ratio.unwrap_or(0.0),
            window_ms,
        });
        Rules {
            initial_capacity_fraction: safety.cold_from,
            warm_up_ms: safety.warm_up_ms,
            overload_factor: safety.overload_factor,
            overload_window_ms: safety.tip_after_ms,
            key_settle_ms: safety.key_rest_ms,
            poll_interval_ms: safety.ask_within_ms.unwrap_or(f64::INFINITY),
            retry_budget,
        }
    }
}

impl FamilyInfo {
    /// Returns the settings of the kind with this number.
    fn kind(&self, index: usize) -> KindSettings {
        KindSettings {
            cores: self.kind_cores.get(index).copied(),
            memory_mb: self.memory_by_kind_mb.get(index).copied(),
        }
    }

    /// Returns how engines handle memory shortage and priorities, and how often they send progress notes.
    fn engine_traits(&self) -> Result<EngineTraits, SettingsError> {
        let on_memory_shortage = match self.out_of_memory.as_deref() {
            None | Some("queue") => MemoryShortage::Wait,
            Some("trim") => MemoryShortage::Trim,
            Some("swap") => MemoryShortage::Page,
            Some(other) => return Err(SettingsError::unknown_value("familyInfo.outOfMemory", other)),
        };
        Ok(EngineTraits {
            on_memory_shortage,
            memory_grants: self.grants,
            priorities: self.ranks_heeded,
            max_grant_fraction: self.grant_cap.unwrap_or(1.0),
            progress_interval_ms: self.tells_every_ms,
        })
    }
}
