//! Settings of a deployment. They apply for the lifetime of a scheduler, except that
//! [`Event::Tenant`](super::Event::Tenant) changes a tenant.

use super::{KindId, Millis, ZoneId};

/// Settings of one scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of managers that share the engines, including this one.
    pub manager_count: usize,
    /// Index of this manager among them, from 0.
    pub manager_index: usize,
    /// Zone of this manager.
    pub zone: ZoneId,
    /// Time between two rounds of event handling (ms).
    pub step_ms: Millis,
    /// Request classes; [`ClassId`](super::ClassId) is an index into them.
    pub classes: Vec<ClassSettings>,
    /// Tenants; empty if requests carry none.
    pub tenants: Vec<TenantSettings>,
    /// Priority weight of a request beyond its tenant's share, as a fraction of the weight of its class.
    pub over_share_weight_fraction: f64,
    /// Machine kinds; [`KindId`] is an index into them.
    pub kinds: Vec<KindSettings>,
    /// Limits that the deployment sets.
    pub limits: Limits,
    /// Parameters of the operating rules.
    pub rules: Rules,
    /// Behavior of engines with regard to memory, priorities and progress notes.
    pub engines: EngineTraits,
    /// Whether the engine list has to be polled.
    pub poll_engine_list: bool,
    /// Score points lost for each health check per request.
    pub health_check_penalty: f64,
    /// Score points lost for each request that crosses zones.
    pub cross_zone_penalty: f64,
}

/// Settings of one request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// Latency objective of a request without work (ms). An answer within its objective has its full weight.
    pub latency_objective_ms: Millis,
    /// Factor by which work divided by threads extends the latency objective.
    pub latency_objective_stretch: f64,
    /// Total time that a client waits (ms).
    pub deadline_ms: Millis,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after its latency objective still has.
    pub late_weight_fraction: f64,
    /// Effect of a repeated execution.
    pub effect: Effect,
    /// Whether requests of one order key run in order of arrival, one at a time.
    pub in_order: bool,
    /// The only kinds of machine that may execute this class; `None` if unrestricted.
    pub allowed_kinds: Option<Vec<KindId>>,
    /// The only zones in which this class may be executed; `None` if unrestricted.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// Number of threads that a request runs on.
    pub threads: f64,
    /// Whether the class is a load: its data set is locked on its engine while it runs.
    pub locks_data_set: bool,
    /// Whether a request waits while a load has its data set locked.
    pub waits_for_loads: bool,
}

/// Effect of executing a request twice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// None: the request is idempotent and may be retried freely.
    Repeatable,
    /// The request carries an idempotency key. Engines of one scope discard repeats for a limited time after
    /// the first attempt that was possibly executed.
    Keyed {
        /// Engines that discard each other's repeats.
        scope: DedupScope,
        /// Time for which they discard repeats (ms).
        window_ms: Millis,
    },
    /// Harm: the request must never be executed twice.
    Once,
}

/// Scope in which engines discard repeats of a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// Settings of a tenant: a customer with a share of the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantSettings {
    /// Share of the service, from 0 to 1.
    pub share: f64,
    /// Requests per second, over all managers, that count as within the share.
    pub quota_per_s: f64,
    /// Number of the tenant's group; `None` if it has none. A group's turns are first shared among its
    /// members.
    pub group: Option<u64>,
}

/// A kind of machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct KindSettings {
    /// Number of cores; `None` if not configured.
    pub cores: Option<f64>,
    /// Memory (MB); `None` if not configured.
    pub memory_mb: Option<f64>,
}

/// Limits that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Maximum number of requests that clients can have open at this manager; `None` for no limit.
    pub max_open_requests: Option<usize>,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether health checks may be sent to engines.
    pub health_checks: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedged_requests: bool,
    /// Maximum Retry-After sent to clients (ms); `None` if none is sent.
    pub max_retry_after_ms: Option<Millis>,
}

/// Parameters of the operating rules.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Minimum fraction of its capacity that an engine has right after its start.
    pub initial_capacity_fraction: f64,
    /// Time that an engine takes to warm up after its start (ms).
    pub warm_up_ms: Millis,
    /// Load, as a multiple of its present capacity, at which an engine that is warming up collapses.
    pub overload_factor: f64,
    /// Time over which that load is measured (ms).
    pub overload_window_ms: Millis,
    /// Pause of an order key after an attempt whose end is unknown (ms).
    pub order_key_pause_ms: Millis,
    /// Maximum time between two polls of the engine list, if it has to be polled (ms).
    pub poll_interval_ms: Millis,
    /// Limit on retries; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
}

/// Limit on the attempts after the first of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any window, regardless of traffic.
    pub floor: f64,
    /// Additional retries allowed for each request received in the window.
    pub ratio: f64,
    /// Length of the window (ms).
    pub window_ms: Millis,
}

/// Behavior of engines with regard to memory, priorities and progress notes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineTraits {
    /// What an engine does if grants exceed its memory.
    pub on_memory_shortage: MemoryShortage,
    /// Whether engines honor a memory grant.
    pub memory_grants: bool,
    /// Whether engines honor a priority.
    pub priorities: bool,
    /// Largest grant, as a fraction of an engine's memory.
    pub max_grant_fraction: f64,
    /// Time between progress notes of a running attempt (ms); 0 if there are none.
    pub progress_interval_ms: Millis,
}

/// What an engine does if grants exceed its memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The request waits in the engine's queue.
    Wait,
    /// The request gets the remaining memory and spills.
    Trim,
    /// The request is admitted and the whole engine slows down.
    Page,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            manager_count: 1,
            manager_index: 0,
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
            health_check_penalty: 0.0,
            cross_zone_penalty: 0.0,
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
            order_key_pause_ms: 0.0,
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
