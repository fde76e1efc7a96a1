//! The state machine of the service, without I/O and without a clock. [`Core::handle`] takes one event and its
//! time, and appends the resulting commands to a list, which the caller executes.
//!
//! A request passes these stages in order:
//!
//! 1. `validation` checks it.
//! 2. `admission` admits or rejects it, and submits it to the scheduler (the `decision` module).
//! 3. `actions` applies the scheduler's decisions.
//! 4. `execution_guard` checks whether the request may be executed now.
//! 5. `attempts` starts, cancels and ends attempts.
//! 6. `attempt_events` handles what engines report of attempts.
//! 7. `accounting` sends the one final answer and counts it.

mod accounting;
mod actions;
mod admission;
mod attempt_events;
mod attempts;
mod engines;
mod execution_guard;
mod learned_state;
mod open_request;
mod reporting;
mod tenants;
mod timers;
mod types;
mod validation;

pub use accounting::{Accounting, AnswerCounts};
pub use execution_guard::SendPermit;
pub use learned_state::HandoverState;
pub use types::*;
pub use validation::{Invalid, MAX_STATEMENT_BYTES};

use crate::clock::Micros;
use crate::decision::{Action, Event, Scheduler};
use crate::settings::ServiceSettings;
use attempts::Attempt;
use engines::KnownEngine;
use execution_guard::ExecutionGuard;
use open_request::{OpenRequest, RequestState};
use sanddyke_tenancy::Roster;
use std::collections::{HashMap, HashSet};
use tenants::TenantShare;
use timers::{Timer, Timers};

/// The state of one workload manager.
///
/// Invariants:
/// - `open_client_request_ids` has the client request id of each open request.
/// - `attempts` has an attempt from its start until the scheduler is notified of its end.
#[derive(Debug)]
pub struct Core {
    scheduler: Scheduler,
    service_settings: ServiceSettings,
    /// The limit of open requests. Further requests are rejected.
    max_open_requests: usize,
    roster: Roster,
    /// Indexed by the tenant's slot in the roster.
    tenant_shares: Vec<TenantShare>,
    /// Whether tenants are managed in a store. If so, a tenant that the store does not have is unknown, even while
    /// the store has no tenants at all.
    has_tenant_store: bool,
    /// The open requests by id.
    requests: HashMap<u64, OpenRequest>,
    /// The client request ids of the open requests.
    open_client_request_ids: HashSet<String>,
    attempts: HashMap<AttemptId, Attempt>,
    guard: ExecutionGuard,
    /// By engine number, the hash of the name.
    engines: HashMap<u64, KnownEngine>,
    timers: Timers,
    /// Reused for the scheduler's actions, so that an event allocates no new buffer. Empty between events.
    action_buffer: Vec<Action>,
    /// Set during graceful shutdown.
    rejects_new_requests: bool,
    /// The time at which the process ends, once a shutdown has begun. No request has a later deadline.
    shutdown_by: Option<Micros>,
    accounting: Accounting,
}

impl Core {
    /// Returns a core with the tenants of the settings, without engines or requests. `max_open_requests` bounds
    /// the open requests; `seed` seeds the scheduler's random numbers.
    pub fn new(service_settings: ServiceSettings, max_open_requests: usize, seed: u64, now: Micros) -> Core {
        Core {
            roster: tenants::roster(&service_settings),
            tenant_shares: service_settings.settings.tenants.iter().map(TenantShare::new).collect(),
            has_tenant_store: false,
            scheduler: Scheduler::new(service_settings.settings.clone(), seed, now.as_ms()),
            accounting: Accounting::default(),
            service_settings,
            max_open_requests,
            requests: HashMap::new(),
            open_client_request_ids: HashSet::new(),
            attempts: HashMap::new(),
            guard: ExecutionGuard::default(),
            engines: HashMap::new(),
            timers: Timers::default(),
            action_buffer: Vec::new(),
            rejects_new_requests: false,
            shutdown_by: None,
        }
    }

    /// Returns the core with tenants managed in a store. Only tenants received by [`Input::Tenants`] exist then.
    pub fn with_tenant_store(mut self) -> Core {
        self.has_tenant_store = true;
        self
    }

    /// Handles one event. Appends the resulting commands to `out`, in the order in which they must be executed.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::RequestReceived(incoming) => self.request_received(now, incoming, out),
            Input::ClientDisconnected(request) => self.client_disconnected(now, request, out),
            Input::CancelRequested(request) => self.cancel_request(now, request, out),
            Input::Engines(update) => self.update_engines(now, update, out),
            Input::Tenants(updates) => {
                for update in updates {
                    self.update_tenant(now, update, out);
                }
            }
            Input::Attempt { attempt, event } => self.attempt_event(now, attempt, event, out),
            Input::HealthChecked(result) => self.health_checked(now, &result, out),
            Input::RestoreState { state, age } => self.restore(&state, age),
            Input::PeerProcessConnections(connections) => self.peer_process_connections(connections),
            Input::Tick => self.fire_due_timers(now, out),
            Input::RejectNew => self.rejects_new_requests = true,
            Input::ShutdownBy(at) => self.shut_down_by(now, at, out),
        }
    }

    /// Returns when the caller must send [`Input::Tick`] next; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Passes an event to the scheduler, and applies the actions that it returns.
    fn notify_scheduler(&mut self, now: Micros, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.action_buffer);
        self.scheduler.handle(now.as_ms(), event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, action, out);
        }
        self.action_buffer = actions;
    }

    fn fire_due_timers(&mut self, now: Micros, out: &mut Vec<Command>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Scheduler(token) => self.notify_scheduler(now, Event::Timer(token), out),
                Timer::RequestDeadline(request) => self.deadline_passed(now, request, out),
                Timer::AttemptTimeout(attempt) => self.attempt_timed_out(now, attempt, out),
                Timer::AttemptAbandoned(attempt) => self.abandon_attempt(now, attempt, out),
                Timer::UnconfirmedAttemptExpired(attempt) => self.attempt_ended(now, attempt, false),
                Timer::DeferredRequestReleased(request) => self.submit_to_scheduler(now, request, out),
                Timer::AttemptNotSent(attempt) => self.attempt_not_sent(now, attempt, out),
            }
        }
        self.timers.compact(|timer| match timer {
            Timer::Scheduler(token) => self.scheduler.needs_timer(*token),
            Timer::RequestDeadline(request) | Timer::DeferredRequestReleased(request) => {
                self.requests.contains_key(request)
            }
            Timer::AttemptTimeout(attempt)
            | Timer::AttemptAbandoned(attempt)
            | Timer::AttemptNotSent(attempt) => self.attempts.contains_key(attempt),
            Timer::UnconfirmedAttemptExpired(attempt) => self.guard.engine_of(*attempt).is_some(),
        });
    }
}

#[cfg(test)]
mod tests;
