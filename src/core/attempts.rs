//! Starts, cancels and ends attempts.

use super::accounting::outcome_name;
use super::execution_guard::{SendPermit, Start, Violation};
use super::{AttemptId, Call, Command, Core, OpenRequest, RequestState, Timer};
use crate::clock::Micros;
use crate::decision::{AttemptEnd, EngineState, Event, LoadReport, Outcome, RequestId, Usage};
use sanddyke_tenancy::Slot;

/// After this long without a sign from its engine, an attempt no longer holds others with its name or key back: longer
/// than engines hang, and than clients retry.
const UNCONFIRMED_RETENTION: Micros = Micros(120_000_000);

/// An attempt whose end the decision module does not know yet.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) engine: u64,
    tenant_slot: Option<Slot>,
    sent_at: Micros,
    pub(super) permit: SendPermit,
    /// The outcome that the decision module is notified of once the engine has dropped the attempt; set when the
    /// attempt is cancelled or lost.
    pub(super) ends_as: Option<Outcome>,
}

/// How an attempt ended, and what its engine reported with the end.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    pub(super) usage: Option<Usage>,
    pub(super) report: Option<LoadReport>,
}

impl AttemptResult {
    /// The end of an attempt that was served.
    pub(super) fn served(usage: Option<Usage>, report: Option<LoadReport>) -> AttemptResult {
        AttemptResult { outcome: Outcome::Served, usage, report }
    }

    /// An end of which the engine reported nothing.
    fn without_report(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, usage: None, report: None }
    }
}

impl Core {
    /// Starts an attempt of an open request on an engine, unless the guard denies it.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        request: u64,
        engine: u64,
        timeout: Micros,
        out: &mut Vec<Command>,
    ) {
        debug_assert!(
            self.requests.contains_key(&request),
            "an attempt of request {request}, which is closed"
        );
        let Some(open) = self.requests.get_mut(&request) else {
            self.guard.count(Violation::RequestClosed);
            return;
        };
        let settings = &self.front.settings;
        let deadline = if timeout.0 > 0 { open.deadline.min(now + timeout) } else { open.deadline };
        let known = self.engines.get(&engine);
        let start = Start {
            request,
            engine,
            now,
            deadline,
            effect: settings.classes[open.class].effect,
            window_margin: Micros::from_ms(settings.step_ms),
            engine_is_ready: known.is_some_and(|known| known.state == EngineState::Ready),
            zone: known.map(|known| known.zone_id).unwrap_or_default(),
            cell: known.and_then(|known| known.cell),
        };
        let allowed = self.guard.may_start(&start);
        let (attempt, permit) = match allowed {
            Ok(()) => self.guard.start(&start, &open.incoming),
            Err(_) => (self.guard.skip_number(request), SendPermit::default()),
        };
        if let Some(slot) = open.tenant_slot {
            self.roster.attempt_started(slot);
        }
        let running = Attempt {
            engine,
            tenant_slot: open.tenant_slot,
            sent_at: now,
            permit: permit.clone(),
            ends_as: None,
        };
        self.attempts.insert(attempt, running);
        if let Some(known) = self.engines.get_mut(&engine) {
            known.attempts_in_flight += 1;
        }
        if let Err(violation) = allowed {
            debug_assert!(false, "attempt {attempt} must not start: {violation:?}");
            self.timers.set(now, Timer::AttemptNotSent(attempt));
            return;
        }
        open.state = RequestState::Running(attempt.number);
        log::debug!(
            request:% = attempt,
            name = open.incoming.name.as_str(),
            class = open.incoming.class.as_str(),
            engine = self.engines.get(&engine).map_or("?", |known| known.name.as_str()),
            remaining_ms = (deadline - now).as_ms();
            "attempt started"
        );
        self.timers.set(deadline, Timer::AttemptTimeout(attempt));
        let call = call(open, permit);
        out.push(Command::StartAttempt { attempt, engine, call });
    }

    /// Cancels an attempt. Where its request is still open, the decision module is notified only once the engine has
    /// dropped it: an engine that is paused reads nothing, and an attempt sent meanwhile would be executed beside the
    /// first.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.attempts.get_mut(&attempt) else { return };
        if running.ends_as.is_some() {
            return;
        }
        running.ends_as = Some(outcome);
        running.permit.revoke();
        let confirm = self.requests.contains_key(&attempt.request);
        log::debug!(
            request:% = attempt,
            engine = self.engines.get(&running.engine).map_or("?", |known| known.name.as_str()),
            reason = outcome_name(outcome),
            awaits_confirmation = confirm;
            "attempt cancelled"
        );
        out.push(Command::CancelAttempt { attempt, engine: running.engine, confirm });
        self.timers.set(now + UNCONFIRMED_RETENTION, Timer::AttemptForgotten(attempt));
        if !confirm {
            self.timers.set(now, Timer::AttemptAbandoned(attempt));
        }
    }

    /// An attempt will have no result, and its engine may still execute it: the decision module learns that at once,
    /// and of its end once the engine has dropped it, or its request is over.
    pub(super) fn attempt_lost(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.attempts.get_mut(&attempt) else { return };
        let outcome = *running.ends_as.get_or_insert(outcome);
        running.permit.revoke();
        self.timers.set(now + UNCONFIRMED_RETENTION, Timer::AttemptForgotten(attempt));
        log::debug!(request:% = attempt, reason = outcome_name(outcome); "attempt lost");
        let request = RequestId(attempt.request);
        self.decide(now, Event::AttemptLost { request, attempt: attempt.number, outcome }, out);
    }

    /// An attempt is to end, and nobody waits for its engine any more.
    pub(super) fn abandon_attempt(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Command>) {
        let outcome = self.attempts.get(&attempt).and_then(|running| running.ends_as);
        if let Some(outcome) = outcome {
            self.end_attempt(now, attempt, AttemptResult::without_report(outcome), out);
        }
    }

    /// An engine has dropped an attempt, or never had it.
    pub(super) fn attempt_over(&mut self, now: Micros, attempt: AttemptId, never_executed: bool) {
        for released in self.guard.attempt_over(attempt, never_executed) {
            self.timers.set(now, Timer::Released(released));
        }
    }

    /// An attempt has no result in time.
    pub(super) fn attempt_timed_out(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Command>) {
        self.cancel_attempt(now, attempt, Outcome::TimedOut, out);
    }

    /// An attempt could not be sent.
    pub(super) fn attempt_not_sent(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Command>) {
        self.end_attempt(now, attempt, AttemptResult::without_report(Outcome::NotSent), out);
    }

    /// Ends an attempt: the one place where it leaves the table and the decision module is notified of its end.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        result: AttemptResult,
        out: &mut Vec<Command>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        let AttemptResult { outcome, usage, report } = result;
        if let Some(open) = self.requests.get_mut(&attempt.request)
            && open.state == RequestState::Running(attempt.number)
        {
            open.state = RequestState::Queued;
        }
        self.accounting.count_attempt(outcome);
        self.log_attempt(now, attempt, &ended, outcome);
        let request_closed = !self.requests.contains_key(&attempt.request);
        self.guard.concluded(attempt, outcome);
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.attempts_in_flight -= 1;
        }
        let released_slot = ended.tenant_slot.and_then(|slot| self.roster.attempt_ended(slot));
        let event = Event::AttemptEnded(AttemptEnd {
            request: RequestId(attempt.request),
            attempt: attempt.number,
            outcome,
            elapsed_ms: (now - ended.sent_at).as_ms(),
            request_closed,
            usage,
            report,
        });
        self.decide(now, event, out);
        self.remove_if_gone(ended.engine, out);
        self.forget_tenant(now, released_slot, out);
    }

    /// Tools read this line.
    fn log_attempt(&self, now: Micros, attempt: AttemptId, ended: &Attempt, outcome: Outcome) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let engine = self.engines.get(&ended.engine).map_or("?", |engine| &engine.name);
        let open = self.requests.get(&attempt.request);
        let class = open.map_or("-", |open| &open.incoming.class);
        let name = open.map_or("-", |open| &open.incoming.name);
        log::debug!(
            "attempt at={} us={} engine={engine} end={} request={attempt} class={class} name={name}",
            ended.sent_at.0,
            (now - ended.sent_at).0,
            outcome_name(outcome)
        );
    }
}

/// What an engine is sent for a request.
fn call(open: &OpenRequest, permit: SendPermit) -> Call {
    Call {
        permit,
        name: open.incoming.name.clone(),
        class: open.incoming.class.clone(),
        idempotency_key: open.incoming.idempotency_key.clone(),
        statement: open.incoming.statement.clone(),
        priority: open.priority,
    }
}
