//! What goes into and comes out of the decision module: types only, no behaviour.
//!
//! Ids are opaque numbers that the embedding front hands out. Times are milliseconds on the
//! front's own clock, durations are milliseconds, memory is in megabytes, and work is the time
//! that one thread would take.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// Names one try of a client's request; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u64);
/// Names a query engine; the same after a restart of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct EngineId(pub u64);
/// Position of a request class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassId(pub usize);
/// Position of a tenant in [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TenantId(pub usize);
/// Position of a machine kind in [`Settings::kinds`]; a number past its end is an unknown kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct KindId(pub usize);
/// Names a location.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ZoneId(pub usize);
/// Names a small set of engines that share which keyed requests they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CellId(pub u64);
/// The key under which requests take turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct OrderKey(pub u64);

/// Facts that hold from the start of a gateway to its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Gateways that share the engines, this one among them.
    pub gateways: usize,
    /// Which of them this one is, from 0.
    pub me: usize,
    /// Where this gateway stands.
    pub zone: ZoneId,
    /// Time between two rounds of event handling.
    pub step_ms: Millis,
    /// Request classes.
    pub classes: Vec<ClassSettings>,
    /// Tenants; empty where requests carry none.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// Machine kinds.
    pub kinds: Vec<KindSettings>,
    /// What the deployment allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// How engines treat memory, priorities and news.
    pub engines: EngineTraits,
    /// Whether the engine list has to be asked for.
    pub list_on_request: bool,
    /// Points lost for each probe per request.
    pub probe_price: f64,
    /// Points lost for each request that crosses zones.
    pub cross_zone_price: f64,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// Answers within this time, plus the stretch, have their full worth.
    pub target_ms: Millis,
    /// The target is longer by this times the work over the threads.
    pub aim_stretch: f64,
    /// How long a client waits in all.
    pub deadline_ms: Millis,
    /// Worth of one request.
    pub worth: f64,
    /// Part of the worth that an answer past its aim still has.
    pub late_share: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// True where requests of one key take turns.
    pub in_order: bool,
    /// The only kinds of machine that may be sent this class, where bound.
    pub only_kinds: Option<Vec<KindId>>,
    /// The only zones that may be sent this class, where bound.
    pub only_zones: Option<Vec<ZoneId>>,
    /// Threads that a request runs on.
    pub threads: f64,
    /// True where a request holds its data set on its engine while it runs.
    pub is_load: bool,
    /// True where a request stands still while a load holds its data set.
    pub waits_for_loads: bool,
}

/// What happens when a request runs twice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Nothing: it may be repeated freely.
    Repeatable,
    /// Engines of one scope drop repeats, for a while after the first send that may have run.
    Keyed {
        /// Engines that drop each other's repeats.
        scope: DedupScope,
        /// For how long.
        window_ms: Millis,
    },
    /// Harm: it must never run twice.
    Once,
}

/// Which engines drop repeats of a keyed request.
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
    /// The number of the group that it stands in: members have turns among themselves first.
    pub group: Option<u64>,
}

/// A kind of machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct KindSettings {
    /// Cores, where told.
    pub cores: Option<f64>,
    /// Memory, where told.
    pub memory_mb: Option<f64>,
}

/// What the deployment allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Requests that clients can have open here at once, where that is bounded.
    pub max_open: Option<usize>,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether engines may be probed.
    pub probes: bool,
    /// Whether two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Longest advice to stay away that clients get, where they get any.
    pub max_retry_after_ms: Option<Millis>,
}

/// Figures of the rules.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Part of its capacity that a freshly started engine has at least.
    pub cold_fraction: f64,
    /// Time after which a started engine is warm.
    pub warm_up_ms: Millis,
    /// Multiple of its present capacity at which a cold engine falls over.
    pub overload_factor: f64,
    /// How long that takes.
    pub overload_window_ms: Millis,
    /// Rest of a key after an attempt whose end is unknown.
    pub key_settle_ms: Millis,
    /// The list must be asked for this often where it has to be asked for.
    pub ask_within_ms: Millis,
    /// Limit on further attempts, where one is stated.
    pub retry_budget: Option<RetryBudget>,
}

/// Limit on attempts beyond each request's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Allowed in any window, however light the traffic.
    pub free: f64,
    /// Allowed on top for each request taken in the window.
    pub share: f64,
    /// Length of the window.
    pub window_ms: Millis,
}

/// How engines treat memory, priorities and news.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineTraits {
    /// What happens when grants pass the memory.
    pub when_short: MemoryShortage,
    /// Whether a memory grant is heeded.
    pub grants: bool,
    /// Whether a priority is heeded.
    pub priorities: bool,
    /// Largest grant, as a part of an engine's memory.
    pub max_grant_share: f64,
    /// Time between notes on a running attempt; 0 where there are none.
    pub notes_every_ms: Millis,
}

/// What happens when grants pass an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The request waits in the engine's line.
    Wait,
    /// The request gets what is left and spills.
    Trim,
    /// The request is let in and the whole engine slows.
    Page,
}

/// One request, as taken from a client.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where requests carry one.
    pub tenant: Option<TenantId>,
    /// The key under which it takes its turn.
    pub key: Option<OrderKey>,
    /// The data set that it reads or loads.
    pub data_set: u64,
    /// Estimate of its work, where given.
    pub work_ms: Option<Millis>,
    /// Estimate of its memory, where given.
    pub memory_mb: Option<f64>,
    /// How long its client still waits.
    pub remaining_ms: Millis,
}

/// State of an engine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineState {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

impl EngineState {
    /// The state's name in logs, metrics and the administration API.
    pub fn name(self) -> &'static str {
        match self {
            EngineState::Ready => "ready",
            EngineState::Draining => "draining",
            EngineState::Removed => "gone",
        }
    }
}

/// An engine as the list names it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineEntry {
    /// Its id.
    pub id: EngineId,
    /// When its process last started; `None` for long ago.
    pub started_at: Option<Millis>,
    /// Its cell.
    pub cell: Option<CellId>,
    /// Its state.
    pub state: EngineState,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its relative size, where known; else 1.
    pub weight: f64,
    /// Its location.
    pub zone: ZoneId,
}

/// News of the engine list.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineListEvent {
    /// Changed entries only.
    Update(Vec<EngineEntry>),
    /// The complete list.
    Replace(Vec<EngineEntry>),
    /// The complete list as last saved, perhaps stale.
    Restored(Vec<EngineEntry>),
    /// The list could not be had.
    Unavailable,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The engine answered with an error; it may have run.
    ServerError,
    /// Turned away unseen; never ran.
    Full,
    /// No answer in time; may have run or still run.
    TimedOut,
    /// No connection; never ran.
    NoConnection,
    /// Connection broken; may have run.
    ConnectionLost,
    /// Its answer was spoilt on the way or never came; it may have run, and the engine is not to blame.
    Spoilt,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// What an engine says of its load; fields that it does not report are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Queries in hand.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queued: Option<f64>,
    /// Share of the cores that is busy.
    pub busy: Option<f64>,
    /// Share of the memory that is granted.
    pub memory: Option<f64>,
    /// Share of the disks that is busy.
    pub disks: Option<f64>,
}

/// What an answer tells of the request's true needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Its work.
    pub work_ms: Millis,
    /// Its memory.
    pub memory_mb: f64,
}

/// News of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptNote {
    /// Share done so far, rough.
    Progress(f64),
    /// It spills to disk for want of this much memory.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load.
    WaitsForLoad,
}

/// The end of an attempt; each attempt has exactly one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// Its request.
    pub request: RequestId,
    /// Which attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed_ms: Millis,
    /// True when the request is over.
    pub settled: bool,
    /// What it needed, where told.
    pub usage: Option<Usage>,
    /// The engine's load, where told.
    pub report: Option<LoadReport>,
}

/// What the gateway is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the engine list.
    EngineList(EngineListEvent),
    /// A tenant was added, or its share, quota or group has changed; `None` once nothing refers to it any
    /// more: its number may be another tenant's from then on.
    Tenant {
        /// Its number.
        tenant: TenantId,
        /// What it is from now on.
        told: Option<TenantSettings>,
    },
    /// A request was taken.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A stream started to flow: its request is bound to it and has no deadline any more.
    StreamStarted {
        /// Its request.
        request: RequestId,
    },
    /// A running attempt sends word.
    AttemptNote {
        /// Its request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The word.
        note: AttemptNote,
    },
    /// A probe came back.
    HealthChecked {
        /// The engine.
        engine: EngineId,
        /// How it went.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed_ms: Millis,
        /// The engine's load, where told.
        report: Option<LoadReport>,
    },
    /// Nobody waits for this request any more.
    ClientDisconnected(RequestId),
    /// The gateway is ended by force then: no request has longer.
    ShutdownBy(Millis),
    /// A timer came due.
    Timer(u64),
}

/// What the gateway wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request's next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// Give up after this long; 0 for as long as the client waits.
        timeout_ms: Millis,
    },
    /// Set memory (0: the engine chooses) and priority (0 to 3) of the request's attempts.
    SetTerms {
        /// The request.
        request: RequestId,
        /// Memory for further attempts.
        memory_mb: f64,
        /// Priority, also for attempts that are out.
        priority: u8,
    },
    /// Final answer: unserved, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Advice to stay away this long; 0 for none.
        retry_after_ms: Millis,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Probe an engine.
    HealthCheck(EngineId),
    /// Wake the gateway with this token.
    Timer {
        /// Comes back as given.
        token: u64,
        /// How long from now.
        after_ms: Millis,
    },
    /// Subscribe to the engine list.
    Subscribe,
    /// A line for the log.
    Log(String),
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            gateways: 1,
            me: 0,
            zone: ZoneId(0),
            step_ms: 5.0,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            kinds: Vec::new(),
            limits: Limits {
                max_attempts: 3,
                max_open: None,
                cancel: true,
                probes: true,
                second_copies: false,
                max_retry_after_ms: None,
            },
            rules: Rules {
                cold_fraction: 1.0,
                warm_up_ms: 0.0,
                overload_factor: 1.0,
                overload_window_ms: 1000.0,
                key_settle_ms: 0.0,
                ask_within_ms: 10_000.0,
                retry_budget: None,
            },
            engines: EngineTraits {
                when_short: MemoryShortage::Wait,
                grants: false,
                priorities: false,
                max_grant_share: 1.0,
                notes_every_ms: 0.0,
            },
            list_on_request: false,
            probe_price: 0.0,
            cross_zone_price: 0.0,
        }
    }
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            target_ms: 1000.0,
            aim_stretch: 0.0,
            deadline_ms: 10_000.0,
            worth: 1.0,
            late_share: 0.0,
            effect: Effect::Repeatable,
            in_order: false,
            only_kinds: None,
            only_zones: None,
            threads: 1.0,
            is_load: false,
            waits_for_loads: false,
        }
    }
}
