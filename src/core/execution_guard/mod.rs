//! The one place that decides whether a request may be executed now: be handed to the decision module, have an attempt
//! started, and have that attempt written to its engine ([`SendPermit`]).
//!
//! An attempt is in flight from its start until its engine has dropped it, whatever has become of its request
//! meanwhile. While one is in flight, nothing else starts under the same name or the same idempotency key: a client
//! that resends a request keeps its name, and one that retries keeps its key.
//!
//! The decision module applies the same rules to what it knows. What it asks for against them is denied, and counted
//! as a [`Violation`]: these counts must stay 0.

mod executions;
mod history;
mod send_permit;
#[cfg(test)]
mod tests;

pub use send_permit::SendPermit;

use super::{AttemptId, IncomingRequest};
use crate::clock::Micros;
use crate::decision::{CellId, Effect, Outcome, ZoneId};
use executions::{Execution, Executions};
use history::AttemptHistory;
use std::collections::{BTreeMap, HashMap};

/// By what a client's request is recognised as the same.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Identity {
    Name(String),
    Key(String),
}

impl Identity {
    fn all_of(request: &IncomingRequest) -> impl Iterator<Item = Identity> {
        let key = request.idempotency_key.clone().map(Identity::Key);
        std::iter::once(Identity::Name(request.name.clone())).chain(key)
    }
}

/// What is executed, or may be, under one identity.
#[derive(Debug, Default)]
struct Activity {
    /// The request that the decision module has.
    request: Option<u64>,
    /// Attempts in flight.
    attempts: Vec<AttemptId>,
    /// Requests that wait for the end of these.
    withheld: Vec<u64>,
}

impl Activity {
    fn is_over(&self) -> bool {
        self.request.is_none() && self.attempts.is_empty()
    }
}

/// Why a request is not handed to the decision module yet: these attempts are in flight under its name or key, or
/// another request with its key is open.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Withheld {
    pub(super) attempts: Vec<AttemptId>,
}

/// Why an attempt may not start. Each is a fault of whoever asked for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Violation {
    /// Its request is answered, or its client is gone.
    RequestClosed,
    /// Another attempt of its request is in flight.
    AttemptInFlight,
    /// Its request is not to be executed twice, and possibly was executed.
    PossiblyExecuted,
    /// Engines no longer recognise it as a repetition.
    OutsideDeduplicationWindow,
    /// Its engine is draining, or removed.
    EngineNotReady,
    /// Its request's time is over.
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

    /// Its name in metrics and the log.
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

/// What is known of an attempt that is to start.
#[derive(Debug, Clone, Copy)]
pub(super) struct Start {
    pub(super) request: u64,
    pub(super) engine: u64,
    pub(super) now: Micros,
    pub(super) deadline: Micros,
    pub(super) effect: Effect,
    /// A repetition begins this long before the end of the window.
    pub(super) window_margin: Micros,
    pub(super) engine_is_ready: bool,
    /// Where its engine is.
    pub(super) zone: ZoneId,
    pub(super) cell: Option<CellId>,
}

/// An attempt in flight.
#[derive(Debug)]
struct InFlight {
    engine: u64,
    identities: Vec<Identity>,
}

/// The attempts in flight, and who waits for their ends.
#[derive(Debug, Default)]
pub(super) struct ExecutionGuard {
    in_flight: HashMap<AttemptId, InFlight>,
    activities: HashMap<Identity, Activity>,
    /// By request; of those that are open or have attempts in flight.
    histories: HashMap<u64, AttemptHistory>,
    /// Of classes that are not to be executed twice without a look at this.
    executions: Executions,
    violations: BTreeMap<Violation, u64>,
}

impl ExecutionGuard {
    /// Hands a request over to the decision module, with the execution that its name or key has had, if any. It is
    /// withheld where something with its name or key may be executed still, and given back once that is over.
    pub(super) fn admit(
        &mut self,
        id: u64,
        request: &IncomingRequest,
    ) -> Result<Option<Execution>, Withheld> {
        for identity in Identity::all_of(request) {
            let activity = self.activities.entry(identity).or_default();
            if !activity.is_over() {
                activity.withheld.push(id);
                return Err(Withheld { attempts: activity.attempts.clone() });
            }
        }
        for identity in Identity::all_of(request) {
            self.activities.entry(identity).or_default().request = Some(id);
        }
        let executions = Identity::all_of(request).filter_map(|identity| self.executions.get(&identity));
        let first = executions.min_by_key(|execution| execution.started_at);
        self.histories.insert(id, AttemptHistory::after(first));
        Ok(first)
    }

    /// A request has its answer, or its client is gone. Gives the requests that waited for that.
    pub(super) fn request_closed(&mut self, id: u64, request: &IncomingRequest) -> Vec<u64> {
        for identity in Identity::all_of(request) {
            if let Some(activity) = self.activities.get_mut(&identity) {
                activity.request = activity.request.filter(|open| *open != id);
                activity.withheld.retain(|withheld| *withheld != id);
            }
        }
        if let Some(history) = self.histories.get_mut(&id) {
            history.is_closed = true;
        }
        self.forget_history(id);
        self.take_released(Identity::all_of(request))
    }

    /// Whether an attempt of an open request may start.
    pub(super) fn may_start(&mut self, start: &Start) -> Result<(), Violation> {
        let checked = self.check_start(start);
        if let Err(violation) = checked {
            self.count(violation);
        }
        checked
    }

    fn check_start(&self, start: &Start) -> Result<(), Violation> {
        let history = self.histories.get(&start.request).filter(|history| !history.is_closed);
        let Some(history) = history else { return Err(Violation::RequestClosed) };
        if history.in_flight > 0 {
            return Err(Violation::AttemptInFlight);
        }
        if start.now >= start.deadline {
            return Err(Violation::DeadlinePassed);
        }
        if !start.engine_is_ready {
            return Err(Violation::EngineNotReady);
        }
        match start.effect {
            Effect::Once if history.possibly_executed_at().is_some() => Err(Violation::PossiblyExecuted),
            _ if self.deduplicated_until(start).is_some_and(|until| start.now >= until) => {
                Err(Violation::OutsideDeduplicationWindow)
            }
            _ => Ok(()),
        }
    }

    /// Until when engines recognise a further attempt as a repetition; none where that does not matter.
    fn deduplicated_until(&self, start: &Start) -> Option<Micros> {
        let Effect::Keyed { window_ms, .. } = start.effect else { return None };
        let first_at = self.histories.get(&start.request)?.possibly_executed_at()?;
        Some(first_at + Micros::from_ms(window_ms) - start.window_margin)
    }

    /// An attempt starts, which [`ExecutionGuard::may_start`] has allowed. Gives its id, and the permit to write it.
    pub(super) fn start(&mut self, start: &Start, request: &IncomingRequest) -> (AttemptId, SendPermit) {
        let permit = SendPermit::new(start.deadline, self.deduplicated_until(start));
        let history = self.histories.entry(start.request).or_default();
        let attempt = AttemptId { request: start.request, number: history.start(start.now) };
        let execution = Execution { attempt, started_at: start.now, zone: start.zone, cell: start.cell };
        let identities: Vec<Identity> = Identity::all_of(request).collect();
        for identity in &identities {
            self.activities.entry(identity.clone()).or_default().attempts.push(attempt);
            if start.effect != Effect::Repeatable {
                self.executions.insert(identity.clone(), execution);
            }
        }
        self.in_flight.insert(attempt, InFlight { engine: start.engine, identities });
        (attempt, permit)
    }

    /// An attempt that may not start takes a number all the same: the decision module counts it.
    pub(super) fn skip_number(&mut self, request: u64) -> AttemptId {
        let history = self.histories.entry(request).or_default();
        AttemptId { request, number: history.skip_number() }
    }

    /// The decision module is notified of an attempt's end.
    pub(super) fn concluded(&mut self, attempt: AttemptId, outcome: Outcome) {
        if let Some(history) = self.histories.get_mut(&attempt.request) {
            history.conclude(attempt.number, outcome);
        }
    }

    /// The engine has dropped an attempt, or it never ran. Gives the requests that waited for that.
    pub(super) fn attempt_over(&mut self, attempt: AttemptId, never_executed: bool) -> Vec<u64> {
        let Some(InFlight { identities, .. }) = self.in_flight.remove(&attempt) else { return Vec::new() };
        for identity in &identities {
            if let Some(activity) = self.activities.get_mut(identity) {
                activity.attempts.retain(|other| *other != attempt);
            }
            if never_executed {
                self.executions.remove(identity, attempt);
            }
        }
        if let Some(history) = self.histories.get_mut(&attempt.request) {
            history.in_flight -= 1;
        }
        self.forget_history(attempt.request);
        self.take_released(identities.into_iter())
    }

    /// Forgets what is over, and gives the requests that waited for it.
    fn take_released(&mut self, identities: impl Iterator<Item = Identity>) -> Vec<u64> {
        let mut released = Vec::new();
        for identity in identities {
            if self.activities.get(&identity).is_some_and(Activity::is_over)
                && let Some(activity) = self.activities.remove(&identity)
            {
                released.extend(activity.withheld);
            }
        }
        released
    }

    fn forget_history(&mut self, request: u64) {
        if self.histories.get(&request).is_some_and(AttemptHistory::is_over) {
            self.histories.remove(&request);
        }
    }

    /// The numbers of a request's attempts so far.
    pub(super) fn attempt_numbers(&self, request: u64) -> std::ops::Range<u32> {
        0..self.histories.get(&request).map_or(0, |history| history.started)
    }

    /// Counts a violation: also of a rule that is checked elsewhere.
    pub(super) fn count(&mut self, violation: Violation) {
        *self.violations.entry(violation).or_default() += 1;
        log::error!(rule = violation.name(); "an attempt that must not start was asked for, and is denied");
    }

    /// How often each rule was violated.
    pub(super) fn violations(&self) -> BTreeMap<&'static str, u64> {
        let counts = Violation::ALL.iter();
        counts.map(|one| (one.name(), self.violations.get(one).copied().unwrap_or(0))).collect()
    }

    /// The engine that has an attempt in flight.
    pub(super) fn engine_of(&self, attempt: AttemptId) -> Option<u64> {
        self.in_flight.get(&attempt).map(|in_flight| in_flight.engine)
    }

    /// Attempts that engines may still execute.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }
}
