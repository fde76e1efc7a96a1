//! The gateway: owns the state of every concern and hands each event to its handler.

use super::alpha::AlphaController;
use super::capacity::FleetCapacity;
use super::classes::ClassState;
use super::engines::Engine;
use super::health_checks::HealthCheckSchedule;
use super::load_reports::ObserverEstimate;
use super::ordered_queues::OrderedQueue;
use super::requests::{Attempt, AttemptId, PendingRequest, QueueRank};
use super::retry_policy::RetryWindow;
use super::tenants::ActiveTenant;
use super::timers::TimerPurpose;
use super::traffic::TrafficRates;
use super::types::{
    Action, EngineId, Event, Millis, OrderKey, RequestId, Settings, TenantId, TenantSettings,
};
use super::upkeep::UPKEEP_INTERVAL_MS;
use oorandom::Rand64;
use sanddyke_sampling::TwoChoiceSampler;
use sanddyke_statistics::Load;
use sanddyke_tenancy::FairQueue;
use std::collections::{BTreeMap, BTreeSet};

/// The decisions of one gateway: a state machine without I/O and without a clock.
#[derive(Debug)]
pub struct Gateway {
    /// Settings; its tenants are in `tenant_settings`.
    pub(super) settings: Settings,
    pub(super) rng: Rand64,
    /// Time of the event that is being handled.
    pub(super) now: Millis,
    /// When this gateway was created.
    pub(super) created_at: Millis,
    /// What the event that is being handled has led to so far.
    pub(super) actions: Vec<Action>,

    /// Requests without a final answer.
    pub(super) requests: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight, also those of requests that have had their answer.
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts in flight that will have no result, and since when that is known.
    pub(super) lost_attempts: BTreeMap<AttemptId, Millis>,
    /// Queued requests of sensitive classes, the earliest due first.
    pub(super) sensitive_queue: BTreeSet<(QueueRank, RequestId)>,
    /// Queued requests of best-effort classes, in fair rotation among tenants.
    pub(super) best_effort_queue: FairQueue,
    /// Requests that have to run in order, by key.
    pub(super) ordered_queues: BTreeMap<OrderKey, OrderedQueue>,
    /// By class number.
    pub(super) classes: Vec<ClassState>,

    /// By tenant number; `None` for a number that is not in use.
    pub(super) tenant_settings: Vec<Option<TenantSettings>>,
    /// Tenants that have sent requests lately.
    pub(super) tenants: BTreeMap<usize, ActiveTenant>,

    /// Engines in the list, and those removed lately.
    pub(super) engines: BTreeMap<EngineId, Engine>,
    /// By class, the engines that may have capacity: all that are ready but those found full since the last upkeep.
    pub(super) engine_sampler: TwoChoiceSampler<EngineId>,
    /// Load of this gateway's own attempts on all engines.
    pub(super) local_load: Load,
    /// When the engine list is polled next, where it has to be.
    pub(super) next_list_poll_at: Millis,

    pub(super) alpha: AlphaController,
    pub(super) traffic: TrafficRates,
    pub(super) capacity: FleetCapacity,
    pub(super) observers: ObserverEstimate,
    pub(super) health_checks: HealthCheckSchedule,
    pub(super) retries: RetryWindow,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else yet. The same seed gives the same decisions.
    pub fn new(mut settings: Settings, seed: u64, now: Millis) -> Self {
        let tenants = std::mem::take(&mut settings.tenants);
        let mut gateway = Gateway {
            classes: settings.classes.iter().map(ClassState::new).collect(),
            engine_sampler: TwoChoiceSampler::new(settings.classes.len()),
            capacity: FleetCapacity::new(&settings),
            alpha: AlphaController::default(),
            traffic: TrafficRates::new(now),
            observers: ObserverEstimate::default(),
            health_checks: HealthCheckSchedule::default(),
            retries: RetryWindow::default(),
            tenant_settings: vec![None],
            tenants: BTreeMap::new(),
            best_effort_queue: FairQueue::default(),
            sensitive_queue: BTreeSet::new(),
            ordered_queues: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            lost_attempts: BTreeMap::new(),
            engines: BTreeMap::new(),
            local_load: Load::default(),
            next_list_poll_at: 0.0,
            rng: Rand64::new(u128::from(seed)),
            now,
            created_at: now,
            actions: Vec::new(),
            settings,
        };
        gateway.set_timer(TimerPurpose::Upkeep, UPKEEP_INTERVAL_MS);
        // Requests without a tenant count as those of tenant 0.
        gateway.best_effort_queue.set(0, None, 1.0);
        for (number, tenant) in tenants.into_iter().enumerate() {
            gateway.on_tenant_changed(TenantId(number), Some(tenant));
        }
        gateway
    }

    /// Handles one event, and appends what has to be done about it to `out`, in order.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::EngineList(update) => self.on_engine_list(update),
            Event::Tenant { tenant, settings } => self.on_tenant_changed(tenant, settings),
            Event::Request(request) => self.on_request(request),
            Event::AttemptLost { request, attempt, outcome } => {
                self.on_attempt_lost(AttemptId { request, number: attempt }, outcome);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(&end),
            Event::StreamStarted { request } => self.on_stream_started(request),
            Event::AttemptNote { request, attempt, note } => {
                self.on_attempt_note(AttemptId { request, number: attempt }, note);
            }
            Event::HealthChecked { engine, outcome, elapsed_ms, report } => {
                self.on_health_checked(engine, outcome, elapsed_ms, report);
            }
            Event::ClientDisconnected(request) => self.on_client_disconnected(request),
            Event::ShutdownBy(at) => self.on_shutdown_by(at),
            Event::Timer(token) => match TimerPurpose::from(token) {
                TimerPurpose::Upkeep => self.on_upkeep(),
                TimerPurpose::RequestDeadline(request) => self.answer_unserved(request),
            },
        }
        self.dispatch();
        out.append(&mut self.actions);
    }

    /// Asks for a timer; one for the same purpose that is set already stays.
    pub(super) fn set_timer(&mut self, purpose: TimerPurpose, after_ms: Millis) {
        self.actions.push(Action::Timer { token: purpose.token(), after_ms });
    }

    /// Mean work of a request, by what was finished of late (ms of one thread); at least that of the class with the
    /// least.
    pub(super) fn mean_work_ms(&self) -> Millis {
        let lightest =
            self.classes.iter().map(|class| class.statistics.work_ms).fold(f64::INFINITY, f64::min);
        self.traffic.work_per_request_ms().max(lightest)
    }

    /// The mean of this gateway's queries in flight; by it the load of other gateways is estimated.
    pub(super) fn mean_query(&self) -> Load {
        self.local_load.mean_with(Load { queries: 1.0, threads: 1.0, ..Load::default() })
    }
}
