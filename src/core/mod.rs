//! The service without any wire, clock or I/O: events go in with their time, commands come out.
//!
//! A request passes these stages in order: `validation` checks it, `admission` admits or rejects it and hands it
//! to the decision module, `actions` carries out what that module decides, `execution_guard` says whether something
//! may be executed now, `attempts` starts, cancels and ends attempts, `attempt_events` handles what engines report of them, and `accounting` gives the one final answer
//! and counts it.

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
pub use validation::Invalid;

use crate::clock::Micros;
use crate::decision::{Action, Event, Gateway};
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
/// Invariants: each open request has its name in `open_names`; an attempt is in `attempts` from its start until the
/// decision module is notified of its end.
#[derive(Debug)]
pub struct Core {
    gateway: Gateway,
    front: ServiceSettings,
    max_open: usize,
    roster: Roster,
    /// By slot of the roster.
    tenant_shares: Vec<TenantShare>,
    /// Tenants are managed in a store: one that is not there is unknown, also where there are none at all.
    has_tenant_store: bool,
    requests: HashMap<u64, OpenRequest>,
    /// The clients' names of the open requests.
    open_names: HashSet<String>,
    attempts: HashMap<AttemptId, Attempt>,
    guard: ExecutionGuard,
    engines: HashMap<u64, KnownEngine>,
    timers: Timers,
    /// Empty between two events; it keeps its memory.
    action_buffer: Vec<Action>,
    rejects_new_requests: bool,
    shutdown_by: Option<Micros>,
    accounting: Accounting,
}

impl Core {
    /// A core with the tenants of its settings, without engines and requests.
    pub fn new(front: ServiceSettings, max_open: usize, seed: u64, now: Micros) -> Core {
        Core {
            roster: tenants::roster(&front),
            tenant_shares: front.settings.tenants.iter().map(TenantShare::new).collect(),
            has_tenant_store: false,
            gateway: Gateway::new(front.settings.clone(), seed, now.as_ms()),
            accounting: Accounting::default(),
            front,
            max_open,
            requests: HashMap::new(),
            open_names: HashSet::new(),
            attempts: HashMap::new(),
            guard: ExecutionGuard::default(),
            engines: HashMap::new(),
            timers: Timers::default(),
            action_buffer: Vec::new(),
            rejects_new_requests: false,
            shutdown_by: None,
        }
    }

    /// The same core, but with tenants from a store: only those of [`Input::Tenants`] exist.
    pub fn with_tenant_store(mut self) -> Core {
        self.has_tenant_store = true;
        self
    }

    /// Handles one event, and appends what is to be done about it to `out`, in order.
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

    /// When [`Input::Tick`] is wanted next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// The number of requests without an answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Notifies the decision module of an event, and carries out what it decides.
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.action_buffer);
        self.gateway.handle(now.as_ms(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, out);
        }
        self.action_buffer = actions;
    }

    fn fire_due_timers(&mut self, now: Micros, out: &mut Vec<Command>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Gateway(token) => self.decide(now, Event::Timer(token), out),
                Timer::RequestDeadline(request) => self.deadline_passed(now, request, out),
                Timer::AttemptTimeout(attempt) => self.attempt_timed_out(now, attempt, out),
                Timer::AttemptAbandoned(attempt) => self.abandon_attempt(now, attempt, out),
                Timer::AttemptForgotten(attempt) => self.attempt_over(now, attempt, false),
                Timer::Released(request) => self.hand_over(now, request, out),
                Timer::AttemptNotSent(attempt) => self.attempt_not_sent(now, attempt, out),
            }
        }
    }
}

#[cfg(test)]
mod tests;
