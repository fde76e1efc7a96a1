//! Decides whether a request may be executed now. It guards against two failures: a statement that is executed on two
//! engines at the same time, and a statement that is executed twice although it may be executed only once.
//!
//! # Identities
//!
//! A request is identified by its client request id and, if the client sent one, by its idempotency key
//! ([`Identity`]). A client that resends a request after a lost connection uses the same client request id again.
//! A client that retries a request as a new one uses the same idempotency key again. Each of these is a new
//! request with an id of its own in this process, but its statement has the same effect. The rules below therefore
//! apply to identities, not only to request ids.
//!
//! # Checks
//!
//! A request passes three checks, in this order:
//!
//! 1. [`ExecutionGuard::register`], before the request is submitted to the scheduler. While another request or an
//!    attempt uses one of its identities, the request is *deferred* ([`Deferred`]): the scheduler does not know
//!    it. It is released when nothing uses that identity any more, and is then checked again.
//! 2. [`ExecutionGuard::may_start`], before the scheduler starts an attempt of the request. [`Violation`] lists
//!    the rules.
//! 3. [`SendPermit::remaining`], immediately before a connection writes the first byte of the attempt to its engine.
//!
//! # States of an attempt
//!
//! - *In flight*: from [`ExecutionGuard::start`] until [`ExecutionGuard::attempt_ended`]. Its engine may be
//!   executing it. This does not depend on the state of its request: the request may be closed in the meantime.
//!   While an attempt is in flight, no other attempt starts under any of its identities.
//! - *Ended*: its engine can no longer execute it, because the engine answered, discarded it, or never received it. A
//!   cancelled or lost attempt whose end the engine does not confirm counts as ended 120 s later
//!   (`UNCONFIRMED_RETENTION` in the module `attempts`).
//! - *Possibly executed*: from its start on, unless its outcome shows that the engine never executed it. This
//!   state outlasts the end, and decides whether another attempt may start. In a class with [`Effect::Once`] none
//!   may start after a possibly executed attempt. In a class with [`Effect::Keyed`] one may start while engines
//!   still recognise the idempotency key, and so do not execute the statement again. With [`Effect::Repeatable`]
//!   it does not matter.
//!
//! The outcome ([`ExecutionGuard::record_outcome`]) is recorded independently of the end. It may precede the end: a
//! cancelled or lost attempt of a closed request gets its outcome immediately, and stays in flight until its
//! engine has discarded it.
//!
//! # What is stored
//!
//! - [`IdentityState`] by identity: what uses the identity now. Removed as soon as nothing does.
//! - [`AttemptHistory`] by request: its attempts. Removed when the request is closed and none is in flight.
//! - [`PossibleExecution`] by identity: the first possibly executed attempt of recent requests, except in classes
//!   with [`Effect::Repeatable`]. Expires by age, and is evicted when there are too many.
//!
//! The scheduler applies the same rules to the requests that it knows. The guard denies and counts each attempt
//! that the scheduler starts against them. These counts ([`ExecutionGuard::violations`]) are 0 unless the
//! scheduler has a fault.

mod history;
mod possible_executions;
mod send_permit;
#[cfg(test)]
mod tests;

pub use send_permit::SendPermit;

use super::{AttemptId, IncomingRequest};
use crate::clock::Micros;
use crate::decision::{CellId, Effect, Outcome, ZoneId};
use history::AttemptHistory;
use possible_executions::{PossibleExecution, PossibleExecutions};
use std::collections::{BTreeMap, HashMap};

/// An identifier under which requests count as the same for execution.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Identity {
    /// The client request id: the same for a request that a client resends.
    ClientRequestId(String),
    /// The idempotency key: the same for a request that a client retries.
    IdempotencyKey(String),
}

impl Identity {
    /// Returns the one or two identities of a request.
    fn all_of_request(request: &IncomingRequest) -> impl Iterator<Item = Identity> {
        let key = request.idempotency_key.clone().map(Identity::IdempotencyKey);
        std::iter::once(Identity::ClientRequestId(request.client_request_id.clone())).chain(key)
    }
}

/// What uses one identity now, and which requests wait for it.
#[derive(Debug, Default)]
struct IdentityState {
    /// The open request with this identity that was submitted to the scheduler.
    request: Option<u64>,
    /// Attempts in flight with this identity, including those of closed requests.
    attempts: Vec<AttemptId>,
    /// Ids of deferred requests. They are released when no request and no attempt uses the identity.
    deferred: Vec<u64>,
}

impl IdentityState {
    /// Returns whether neither a submitted request nor an attempt in flight uses the identity.
    fn is_unused(&self) -> bool {
        self.request.is_none() && self.attempts.is_empty()
    }
}

/// The request is deferred: it must not be submitted to the scheduler yet, because one of its identities is in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Deferred {
    /// The attempts in flight with that identity; empty if only a submitted request uses it.
    pub(super) attempts: Vec<AttemptId>,
}

/// The rule that denies an attempt. Each violation is a fault of the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Violation {
    /// The request has its final answer, or its client disconnected.
    RequestClosed,
    /// Another attempt of the request is in flight.
    AttemptInFlight,
    /// The request must be executed at most once ([`Effect::Once`]), and an earlier attempt possibly executed it.
    PossiblyExecuted,
    /// An earlier attempt possibly executed the request, and its idempotency key's deduplication window ends too
    /// soon: engines might not recognise the attempt as a repetition.
    OutsideDeduplicationWindow,
    /// The engine is draining, removed or unknown.
    EngineNotReady,
    /// The request's deadline, or the timeout for the attempt, has passed.
    DeadlinePassed,
}

impl Violation {
    const ALL: [Violation; 6] = [
        Violation::RequestClosed,
        Violation::AttemptInFlight,
        Violation::PossiblyExecuted,
        Violation::OutsideDeduplicationWindow,
        Violation::EngineNotReady,
        Violation::DeadlinePassed,
    ];

    /// Returns the rule's name in metrics and the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Violation::RequestClosed => "request_closed",
            Violation::AttemptInFlight => "attempt_in_flight",
            Violation::PossiblyExecuted => "possibly_executed",
            Violation::OutsideDeduplicationWindow => "outside_deduplication_window",
            Violation::EngineNotReady => "engine_not_ready",
            Violation::DeadlinePassed => "deadline_passed",
        }
    }
}

/// An attempt that the scheduler wants to start, with the facts that the rules depend on.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProposedAttempt {
    /// The request id.
    pub(super) request: u64,
    /// The engine's number.
    pub(super) engine: u64,
    pub(super) now: Micros,
    /// The request's deadline, or the end of the attempt's timeout if that is earlier.
    pub(super) deadline: Micros,
    /// What a repeated execution does, by the request's class.
    pub(super) effect: Effect,
    /// The minimum time between the start of a repetition and the end of the deduplication window.
    pub(super) deduplication_margin: Micros,
    pub(super) engine_is_ready: bool,
    /// The engine's zone.
    pub(super) zone: ZoneId,
    /// The engine's cell; `None` if unknown.
    pub(super) cell: Option<CellId>,
}

/// The engine and identities of an attempt in flight.
#[derive(Debug)]
struct InFlight {
    engine: u64,
    identities: Vec<Identity>,
}

/// Decides whether requests and attempts may start. The module documentation describes its rules and states.
#[derive(Debug, Default)]
pub(super) struct ExecutionGuard {
    in_flight: HashMap<AttemptId, InFlight>,
    /// By identity; of identities that are in use.
    identity_states: HashMap<Identity, IdentityState>,
    /// By request id; of requests that were submitted to the scheduler, and are open or have an attempt in flight.
    histories: HashMap<u64, AttemptHistory>,
    /// Possibly executed attempts of recent requests, except those of classes that may be repeated freely.
    possible_executions: PossibleExecutions,
    violations: BTreeMap<Violation, u64>,
}

impl ExecutionGuard {
    /// Checks whether a request may be submitted to the scheduler now. If so, the request uses its identities from
    /// now on, and the result is the first possibly executed attempt under any of them, or `None` if there is
    /// none.
    ///
    /// The error means that one of the identities is in use. The request is then deferred: its id is returned by
    /// the call of [`ExecutionGuard::request_closed`] or [`ExecutionGuard::attempt_ended`] that ends the use, and
    /// the caller calls this method again.
    pub(super) fn register(
        &mut self,
        id: u64,
        request: &IncomingRequest,
    ) -> Result<Option<PossibleExecution>, Deferred> {
        for identity in Identity::all_of_request(request) {
            let state = self.identity_states.entry(identity).or_default();
            if !state.is_unused() {
                state.deferred.push(id);
                return Err(Deferred { attempts: state.attempts.clone() });
            }
        }
        for identity in Identity::all_of_request(request) {
            self.identity_states.entry(identity).or_default().request = Some(id);
        }
        let possible_executions =
            Identity::all_of_request(request).filter_map(|identity| self.possible_executions.get(&identity));
        let first = possible_executions.min_by_key(|execution| execution.started_at);
        self.histories.insert(id, AttemptHistory::following(first));
        Ok(first)
    }

    /// Records that a request is closed: it has its final answer, or its client disconnected. Returns the ids of the
    /// deferred requests that this releases.
    pub(super) fn request_closed(&mut self, id: u64, request: &IncomingRequest) -> Vec<u64> {
        for identity in Identity::all_of_request(request) {
            if let Some(state) = self.identity_states.get_mut(&identity) {
                state.request = state.request.filter(|open| *open != id);
                state.deferred.retain(|deferred| *deferred != id);
            }
        }
        if let Some(history) = self.histories.get_mut(&id) {
            history.is_closed = true;
        }
        self.remove_unused_history(id);
        self.remove_unused_identities(Identity::all_of_request(request))
    }

    /// Checks whether an attempt may start. Counts and logs a violation.
    pub(super) fn may_start(&mut self, proposed: &ProposedAttempt) -> Result<(), Violation> {
        let checked = self.check_start(proposed);
        if let Err(violation) = checked {
            self.count_violation(violation);
        }
        checked
    }

    /// Applies the rules to an attempt that is to start, without counting.
    fn check_start(&self, proposed: &ProposedAttempt) -> Result<(), Violation> {
        let history = self.histories.get(&proposed.request).filter(|history| !history.is_closed);
        let Some(history) = history else { return Err(Violation::RequestClosed) };
        if history.in_flight > 0 {
            return Err(Violation::AttemptInFlight);
        }
        if proposed.now >= proposed.deadline {
            return Err(Violation::DeadlinePassed);
        }
        if !proposed.engine_is_ready {
            return Err(Violation::EngineNotReady);
        }
        match proposed.effect {
            Effect::Once if history.possibly_executed_at().is_some() => Err(Violation::PossiblyExecuted),
            _ if self.deduplicated_until(proposed).is_some_and(|until| proposed.now >= until) => {
                Err(Violation::OutsideDeduplicationWindow)
            }
            _ => Ok(()),
        }
    }

    /// Returns until when an attempt may start so that engines recognise it as a repetition; `None` if that does
    /// not matter, because the class is not keyed or no earlier attempt possibly executed the request.
    fn deduplicated_until(&self, proposed: &ProposedAttempt) -> Option<Micros> {
        let Effect::Keyed { window_ms, .. } = proposed.effect else { return None };
        let first_at = self.histories.get(&proposed.request)?.possibly_executed_at()?;
        Some(first_at + Micros::from_ms(window_ms) - proposed.deduplication_margin)
    }

    /// Records the start of an attempt that [`ExecutionGuard::may_start`] has allowed. From now on it is in flight
    /// and possibly executed. Returns its id and the permit to write it to its engine.
    pub(super) fn start(
        &mut self,
        proposed: &ProposedAttempt,
        request: &IncomingRequest,
    ) -> (AttemptId, SendPermit) {
        let permit = SendPermit::new(proposed.deadline, self.deduplicated_until(proposed));
        let history = self.histories.entry(proposed.request).or_default();
        let attempt = AttemptId { request: proposed.request, number: history.start(proposed.now) };
        let execution =
            PossibleExecution { attempt, started_at: proposed.now, zone: proposed.zone, cell: proposed.cell };
        let identities: Vec<Identity> = Identity::all_of_request(request).collect();
        for identity in &identities {
            self.identity_states.entry(identity.clone()).or_default().attempts.push(attempt);
            if proposed.effect != Effect::Repeatable {
                self.possible_executions.insert(identity, execution);
            }
        }
        self.in_flight.insert(attempt, InFlight { engine: proposed.engine, identities });
        (attempt, permit)
    }

    /// Returns an id for an attempt that is denied. The denied attempt needs a number, because the scheduler
    /// counts it.
    pub(super) fn allocate_denied_attempt(&mut self, request: u64) -> AttemptId {
        let history = self.histories.entry(request).or_default();
        AttemptId { request, number: history.allocate_number() }
    }

    /// Records the outcome of an attempt, of which the scheduler is notified. The outcome may show that the
    /// attempt was never executed. The attempt stays in flight until [`ExecutionGuard::attempt_ended`].
    pub(super) fn record_outcome(&mut self, attempt: AttemptId, outcome: Outcome) {
        if let Some(history) = self.histories.get_mut(&attempt.request) {
            history.record_outcome(attempt.number, outcome);
        }
    }

    /// Records that an attempt has ended: its engine answered, discarded it, or never received it. `never_executed`
    /// says that the engine did not execute it at all. Returns the ids of the deferred requests that this
    /// releases.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, never_executed: bool) -> Vec<u64> {
        let Some(InFlight { identities, .. }) = self.in_flight.remove(&attempt) else { return Vec::new() };
        for identity in &identities {
            if let Some(state) = self.identity_states.get_mut(identity) {
                state.attempts.retain(|other| *other != attempt);
            }
            if never_executed {
                self.possible_executions.remove(identity, attempt);
            }
        }
        if let Some(history) = self.histories.get_mut(&attempt.request) {
            history.in_flight -= 1;
        }
        self.remove_unused_history(attempt.request);
        self.remove_unused_identities(identities.into_iter())
    }

    /// Removes the state of identities that are no longer in use, and returns the ids of the requests that were
    /// deferred because of them.
    fn remove_unused_identities(&mut self, identities: impl Iterator<Item = Identity>) -> Vec<u64> {
        let mut released = Vec::new();
        for identity in identities {
            if self.identity_states.get(&identity).is_some_and(IdentityState::is_unused)
                && let Some(state) = self.identity_states.remove(&identity)
            {
                released.extend(state.deferred);
            }
        }
        released
    }

    /// Removes the history of a closed request without attempts in flight.
    fn remove_unused_history(&mut self, request: u64) {
        if self.histories.get(&request).is_some_and(AttemptHistory::can_be_removed) {
            self.histories.remove(&request);
        }
    }

    /// Returns the numbers of a request's attempts so far, including denied ones.
    pub(super) fn attempt_numbers(&self, request: u64) -> std::ops::Range<u32> {
        0..self.histories.get(&request).map_or(0, |history| history.next_number)
    }

    /// Counts and logs a violation. The caller may have checked the rule itself.
    pub(super) fn count_violation(&mut self, violation: Violation) {
        *self.violations.entry(violation).or_default() += 1;
        log::error!(rule = violation.name(); "attempt denied by the execution guard");
    }

    /// Returns how often each rule was violated, by the rule's name.
    pub(super) fn violations(&self) -> BTreeMap<&'static str, u64> {
        let counts = Violation::ALL.iter();
        counts.map(|one| (one.name(), self.violations.get(one).copied().unwrap_or(0))).collect()
    }

    /// Returns the number of the engine of an attempt in flight; `None` if the attempt is not in flight.
    pub(super) fn engine_of(&self, attempt: AttemptId) -> Option<u64> {
        self.in_flight.get(&attempt).map(|in_flight| in_flight.engine)
    }

    /// Returns the number of attempts in flight, including those of closed requests.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }
}
