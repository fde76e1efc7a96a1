//! The settings of one workload manager, from the platform's JSON to the module's terms.

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
    prices: Prices,
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
    says_cost: bool,
    tells_every_ms: f64,
    yields_to_loads: Vec<bool>,
}

#[derive(Debug, Clone, Deserialize, Default, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
struct Prices {
    probe: f64,
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

/// Classes at once: the module keeps a bit for each of every engine.
const MOST_CLASSES: usize = 64;

/// Settings of one workload manager, with the names by which the wire calls things.
#[derive(Debug, Clone)]
pub struct Front {
    /// What the module is told.
    pub settings: Settings,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Names of the tenants, by number.
    pub tenants: Vec<String>,
    /// Names of the kinds of machine, by number.
    pub kinds: Vec<String>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// What `x0` and `x1` mean in a load report is fixed by the wire; other columns carry names.
    pub columns: Vec<String>,
    /// Whether answers tell what a query cost.
    pub says_cost: bool,
}

/// The number of a name, added at the end where it is new.
pub fn number(names: &mut Vec<String>, name: &str) -> usize {
    if let Some(at) = names.iter().position(|known| known == name) {
        return at;
    }
    names.push(name.to_owned());
    names.len() - 1
}

/// Reads the settings, or says which one cannot be used.
pub fn parse(text: &str) -> Result<Front, String> {
    build(serde_json::from_str(text).map_err(|error| error.to_string())?)
}

/// Takes the settings over, or says which one cannot be used.
pub fn build(env: Env) -> Result<Front, String> {
    let positive = [
        ("replicasOfMe", env.replicas_of_me as f64),
        ("stepMs", env.step_ms),
        ("safety.tipAfterMs", env.safety.tip_after_ms),
        ("safety.overloadFactor", env.safety.overload_factor),
    ];
    for (name, value) in positive {
        if value <= 0.0 {
            return Err(format!("{name}: must be above 0, is {value}"));
        }
    }
    if env.classes.len() > MOST_CLASSES {
        return Err(format!("classes: at most {MOST_CLASSES}, are {}", env.classes.len()));
    }
    let mut kinds = env.models.clone();
    let mut zones = env.zones.clone();
    let info = &env.family_info;
    let mut classes = Vec::new();
    for (index, class) in env.classes.iter().enumerate() {
        if class.target_ms <= 0.0 || class.deadline_ms < class.target_ms {
            return Err(format!("classes[{index}]: targetMs must be above 0 and not above deadlineMs"));
        }
        let only_kinds = class
            .runs_on
            .as_ref()
            .map(|list| list.iter().map(|name| KindId(number(&mut kinds, name))).collect());
        let only_zones = class
            .stays_in
            .as_ref()
            .map(|list| list.iter().map(|name| ZoneId(number(&mut zones, name))).collect());
        classes.push(ClassSettings {
            target_ms: class.target_ms,
            aim_stretch: class.aim_stretch,
            deadline_ms: class.deadline_ms,
            worth: class.worth,
            late_share: class.late_share,
            effect: effect(class).map_err(|message| format!("classes[{index}].{message}"))?,
            in_order: class.in_turn,
            only_kinds,
            only_zones,
            threads: info.dop.get(index).copied().unwrap_or(1.0).max(1.0),
            is_load: info.loads.get(index).copied().unwrap_or(false),
            waits_for_loads: info.yields_to_loads.get(index).copied().unwrap_or(false),
        });
    }
    let kind_settings = (0..kinds.len()).map(|index| KindSettings {
        cores: info.kind_cores.get(index).copied(),
        memory_mb: info.memory_by_kind_mb.get(index).copied(),
    });
    let retry_budget = env.safety.resend_span_ms.map(|window_ms| RetryBudget {
        free: env.safety.extra_floor.unwrap_or(0.0),
        share: env.safety.repeat_ratio.unwrap_or(0.0),
        window_ms,
    });
    let settings = Settings {
        gateways: env.replicas_of_me,
        me: env.me,
        zone: ZoneId(number(&mut zones, &env.zone)),
        step_ms: env.step_ms,
        classes,
        tenants: env
            .customers
            .iter()
            .map(|tenant| TenantSettings {
                share: tenant.portion,
                quota_per_s: tenant.quota_rps,
                group: None,
            })
            .collect(),
        over_share_worth: env.over_share_worth.unwrap_or(1.0),
        kinds: kind_settings.collect(),
        limits: Limits {
            max_attempts: env.allowed.attempts_cap,
            max_open: None,
            cancel: env.allowed.cancel,
            probes: env.allowed.probes,
            second_copies: env.allowed.second_copies,
            // Advice to stay away goes out wherever a longest one is told: who can't read it passes over it.
            max_retry_after_ms: env.allowed.max_retry_after_ms,
        },
        rules: Rules {
            cold_fraction: env.safety.cold_from,
            warm_up_ms: env.safety.warm_up_ms,
            overload_factor: env.safety.overload_factor,
            overload_window_ms: env.safety.tip_after_ms,
            key_settle_ms: env.safety.key_rest_ms,
            ask_within_ms: env.safety.ask_within_ms.unwrap_or(f64::INFINITY),
            retry_budget,
        },
        engines: EngineTraits {
            when_short: match info.out_of_memory.as_deref() {
                None | Some("queue") => MemoryShortage::Wait,
                Some("trim") => MemoryShortage::Trim,
                Some("swap") => MemoryShortage::Page,
                Some(other) => return Err(format!("familyInfo.outOfMemory: unknown word {other:?}")),
            },
            grants: info.grants,
            priorities: info.ranks_heeded,
            max_grant_share: info.grant_cap.unwrap_or(1.0),
            notes_every_ms: info.tells_every_ms,
        },
        list_on_request: match env.discovery.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("discovery: unknown word {other:?}")),
        },
        probe_price: env.prices.probe,
        cross_zone_price: env.prices.cross_zone,
    };
    Ok(Front {
        settings,
        classes: env.classes.into_iter().map(|class| class.name).collect(),
        tenants: env.customers.into_iter().map(|tenant| tenant.name).collect(),
        kinds,
        zones,
        columns: env.report.columns,
        says_cost: info.says_cost,
    })
}

fn effect(class: &Class) -> Result<Effect, String> {
    match class.idempotency.as_str() {
        "repeatable" => Ok(Effect::Repeatable),
        "once" => Ok(Effect::Once),
        "by_key" => {
            let scope = match class.dedup_scope.as_deref() {
                None | Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Cell,
                Some(other) => return Err(format!("dedupScope: unknown word {other:?}")),
            };
            let window_ms = class.window_ms.ok_or("windowMs: missing")?;
            Ok(Effect::Keyed { scope, window_ms })
        }
        other => Err(format!("idempotency: unknown word {other:?}")),
    }
}
