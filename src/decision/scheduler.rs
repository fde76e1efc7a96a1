//! The scheduler owns the state of all concerns and passes each event to its handler.

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

/// Scheduler of one manager: a state machine without I/O and without a clock.
#[derive(Debug)]
pub struct Scheduler {
    /// The tenants are moved out into `tenant_settings`.
    pub(super) settings: Settings,
    pub(super) rng: Rand64,
    /// Time of the event that is being handled.
    pub(super) now: Millis,
    /// Time at which this scheduler was created.
    pub(super) created_at: Millis,
    /// Actions that the event being handled has caused so far.
    pub(super) actions: Vec<Action>,

    /// Requests without a final answer.
    pub(super) requests: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight, including those of requests that are closed.
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// Lost attempts that are in flight, with the time at which they were lost.
    pub(super) lost_attempts: BTreeMap<AttemptId, Millis>,
    /// Queued requests of sensitive classes, in order of due time.
    pub(super) sensitive_queue: BTreeSet<(QueueRank, RequestId)>,
    /// Queued requests of best-effort classes, in fair rotation among tenants.
    pub(super) best_effort_queue: FairQueue,
    /// Requests that have to run in order, by order key.
    pub(super) ordered_queues: BTreeMap<OrderKey, OrderedQueue>,
    /// State of each class, by class number.
    pub(super) classes: Vec<ClassState>,

    /// Settings by tenant number; `None` for a number that is not in use.
    pub(super) tenant_settings: Vec<Option<TenantSettings>>,
    /// Tenants that have sent requests recently, by tenant number.
    pub(super) tenants: BTreeMap<usize, ActiveTenant>,

    /// Listed engines and recently removed ones.
    pub(super) engines: BTreeMap<EngineId, Engine>,
    /// For each class, the engines that may have capacity: all ready engines except those found unavailable
    /// since the last upkeep.
    pub(super) engine_sampler: TwoChoiceSampler<EngineId>,
    /// Load of this manager's attempts on all engines.
    pub(super) local_load: Load,
    /// Time of the next poll of the engine list, if it has to be polled.
    pub(super) next_list_poll_at: Millis,

    pub(super) alpha: AlphaController,
    pub(super) traffic: TrafficRates,
    pub(super) capacity: FleetCapacity,
    pub(super) observers: ObserverEstimate,
    pub(super) health_checks: HealthCheckSchedule,
    pub(super) retries: RetryWindow,
}

impl Scheduler {
    /// Creates a scheduler without engines, requests or measurements. The same seed and events yield the same
    /// decisions.
    pub fn new(mut settings: Settings, seed: u64, now: Millis) -> Self {
        let tenants = std::mem::take(&mut settings.tenants);
        let mut scheduler = Scheduler {
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
        scheduler.set_timer(TimerPurpose::Upkeep, UPKEEP_INTERVAL_MS);
        // Requests without a tenant count as requests of tenant 0.
        scheduler.best_effort_queue.set(0, None, 1.0);
        for (number, tenant) in tenants.into_iter().enumerate() {
            scheduler.on_tenant_changed(TenantId(number), Some(tenant));
        }
        scheduler
    }

    /// Handles one event and appends the resulting actions to `out`, in order.
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
            Event::ProgressNote { request, attempt, note } => {
                self.on_progress_note(AttemptId { request, number: attempt }, note);
            }
            Event::HealthChecked { engine, outcome, elapsed_ms, report } => {
                self.on_health_checked(engine, outcome, elapsed_ms, report);
            }
            Event::ClientDisconnected(request) => self.on_client_disconnected(request),
            Event::ShutdownBy(at) => self.on_shutdown_by(at),
            Event::Timer(token) => match TimerPurpose::from(token) {
                TimerPurpose::Upkeep => self.on_upkeep(),
                TimerPurpose::RequestDeadline(request) => self.reject_or_fail(request),
            },
        }
        self.dispatch();
        out.append(&mut self.actions);
    }

    /// Whether a timer with this token has an effect when it fires.
    pub fn needs_timer(&self, token: u64) -> bool {
        match TimerPurpose::from(token) {
            TimerPurpose::Upkeep => true,
            TimerPurpose::RequestDeadline(request) => self.requests.contains_key(&request),
        }
    }

    /// Sets a timer. A timer that is already set for the same purpose stays set as well.
    pub(super) fn set_timer(&mut self, purpose: TimerPurpose, after_ms: Millis) {
        self.actions.push(Action::Timer { token: purpose.token(), after_ms });
    }

    /// Mean work of recently finished requests (ms of one thread), but no less than that of the class with
    /// the least work.
    pub(super) fn mean_work_ms(&self) -> Millis {
        let min_class_work_ms =
            self.classes.iter().map(|class| class.statistics.work_ms).fold(f64::INFINITY, f64::min);
        self.traffic.work_per_request_ms().max(min_class_work_ms)
    }

    /// Mean of this manager's queries in flight. The load of other managers is estimated from it.
    pub(super) fn mean_query(&self) -> Load {
        self.local_load.mean_with(Load { queries: 1.0, threads: 1.0, ..Load::default() })
    }
}
