//! What a deployment configures. It holds from the start of a gateway to its end, except where
//! [`Event::Tenant`](super::Event::Tenant) changes a tenant.

use super::{KindId, Millis, ZoneId};

/// Settings of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Gateways that share the engines, this one among them.
    pub gateway_count: usize,
    /// Index of this gateway among them, from 0.
    pub gateway_index: usize,
    /// Location of this gateway.
    pub zone: ZoneId,
    /// Time between two rounds of event handling (ms).
    pub step_ms: Millis,
    /// Request classes.
    pub classes: Vec<ClassSettings>,
    /// Tenants; empty where requests carry none.
    pub tenants: Vec<TenantSettings>,
    /// Priority weight of a request beyond its tenant's share, as a fraction of its class's.
    pub over_share_weight_fraction: f64,
    /// Machine kinds.
    pub kinds: Vec<KindSettings>,
    /// What the deployment allows.
    pub limits: Limits,
    /// Parameters of the rules.
    pub rules: Rules,
    /// How engines treat memory, priorities and progress reports.
    pub engines: EngineTraits,
    /// Whether the engine list has to be polled.
    pub poll_engine_list: bool,
    /// Points lost for each health check per request.
    pub health_check_price: f64,
    /// Points lost for each request that crosses zones.
    pub cross_zone_price: f64,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// Latency objective of a request without work (ms): an answer within its objective has its full weight.
    pub latency_objective_ms: Millis,
    /// Factor of the work over the threads by which the latency objective is longer.
    pub latency_objective_stretch: f64,
    /// How long a client waits in all (ms).
    pub deadline_ms: Millis,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer past its latency objective still has.
    pub late_weight_fraction: f64,
    /// What a repeated execution does.
    pub effect: Effect,
    /// True where requests of one key run in order, one at a time.
    pub in_order: bool,
    /// The only kinds of machine that this class may run on, where restricted.
    pub allowed_kinds: Option<Vec<KindId>>,
    /// The only zones that this class may run in, where restricted.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// Threads that a request runs on.
    pub threads: f64,
    /// True for loads: such a request has its data set locked on its engine while it runs.
    pub locks_data_set: bool,
    /// True where a request waits while a load has its data set locked.
    pub waits_for_loads: bool,
}

/// What happens when a request is executed twice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Nothing: it is idempotent and may be retried freely.
    Repeatable,
    /// It carries an idempotency key: engines of one scope drop repeats, for a while after the first attempt
    /// that may have executed.
    Keyed {
        /// Engines that drop each other's repeats.
        scope: DedupScope,
        /// For how long (ms).
        window_ms: Millis,
    },
    /// Harm: it must never be executed twice.
    Once,
}

/// Which engines drop repeats of a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines together.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A customer with a share of the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantSettings {
    /// Share of the service, from 0 to 1.
    pub share: f64,
    /// Requests a second, over all gateways, that count as within the share.
    pub quota_per_s: f64,
    /// Number of its group: members of a group share its turns among themselves first.
    pub group: Option<u64>,
}

/// A kind of machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct KindSettings {
    /// Cores, where configured.
    pub cores: Option<f64>,
    /// Memory, where configured (MB).
    pub memory_mb: Option<f64>,
}

/// What the deployment allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum of attempts for one request.
    pub max_attempts: u32,
    /// Maximum of requests that clients can have open here at once, where there is one.
    pub max_open_requests: Option<usize>,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether engines may be sent health checks.
    pub health_checks: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedged_requests: bool,
    /// Maximum of a Retry-After that clients get, where they get any (ms).
    pub max_retry_after_ms: Option<Millis>,
}

/// Parameters of the rules.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Fraction of its capacity that an engine has right after its start, at least.
    pub initial_capacity_fraction: f64,
    /// Time after which a started engine is warm (ms).
    pub warm_up_ms: Millis,
    /// Multiple of its present capacity at which an engine that is warming up collapses.
    pub overload_factor: f64,
    /// Time over which that load is measured (ms).
    pub overload_window_ms: Millis,
    /// Pause of an order key after an attempt whose end is unknown (ms).
    pub key_settle_ms: Millis,
    /// Maximum time between two polls of the engine list, where it has to be polled (ms).
    pub poll_interval_ms: Millis,
    /// Limit on retries, where there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// Limit on attempts beyond each request's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any window, however light the traffic.
    pub floor: f64,
    /// Retries allowed on top for each request received in the window.
    pub ratio: f64,
    /// Length of the window (ms).
    pub window_ms: Millis,
}

/// How engines treat memory, priorities and progress reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineTraits {
    /// What happens when grants exceed the memory.
    pub on_memory_shortage: MemoryShortage,
    /// Whether engines honor a memory grant.
    pub memory_grants: bool,
    /// Whether engines honor a priority.
    pub priorities: bool,
    /// Largest grant, as a fraction of an engine's memory.
    pub max_grant_fraction: f64,
    /// Time between progress reports of a running attempt (ms); 0 where there are none.
    pub progress_interval_ms: Millis,
}

/// What happens when grants exceed an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The request waits in the engine's queue.
    Wait,
    /// The request gets what is left and spills.
    Trim,
    /// The request is admitted and the whole engine slows down.
    Page,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            gateway_count: 1,
            gateway_index: 0,
            zone: ZoneId(0),
            step_ms: 5.0,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_weight_fraction: 1.0,
            kinds: Vec::new(),
            limits: Limits::default(),
            rules: Rules::default(),
            engines: EngineTraits::default(),
            poll_engine_list: false,
            health_check_price: 0.0,
            cross_zone_price: 0.0,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 3,
            max_open_requests: None,
            cancellation: true,
            health_checks: true,
            hedged_requests: false,
            max_retry_after_ms: None,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            initial_capacity_fraction: 1.0,
            warm_up_ms: 0.0,
            overload_factor: 1.0,
            overload_window_ms: 1000.0,
            key_settle_ms: 0.0,
            poll_interval_ms: 10_000.0,
            retry_budget: None,
        }
    }
}

impl Default for EngineTraits {
    fn default() -> Self {
        EngineTraits {
            on_memory_shortage: MemoryShortage::Wait,
            memory_grants: false,
            priorities: false,
            max_grant_fraction: 1.0,
            progress_interval_ms: 0.0,
        }
    }
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            latency_objective_ms: 1000.0,
            latency_objective_stretch: 0.0,
            deadline_ms: 10_000.0,
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
            effect: Effect::Repeatable,
            in_order: false,
            allowed_kinds: None,
            allowed_zones: None,
            threads: 1.0,
            locks_data_set: false,
            waits_for_loads: false,
        }
    }
}
