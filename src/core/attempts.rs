//! Starts, cancels and ends attempts.

use super::{AttemptId, Call, CancelToken, Command, Core, OpenRequest, RequestState, Timer};
use crate::clock::Micros;
use crate::decision::{
    AttemptEnd, Effect, EngineState, Event, LoadReport, Outcome, RequestId, Settings, Usage,
};
use sanddyke_tenancy::Slot;

/// An engine that has not confirmed a cancellation by then is taken to have read it.
const CANCEL_CONFIRM_TIMEOUT: Micros = Micros(5_000_000);

/// An attempt whose end the decision module does not know yet.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) engine: u64,
    tenant_slot: Option<Slot>,
    sent_at: Micros,
    pub(super) cancel_token: CancelToken,
    /// The outcome that the decision module is notified of once the engine has dropped the attempt; set when the
    /// attempt is cancelled or lost.
    pub(super) ends_as: Option<Outcome>,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// How many were started; the number of the next.
    pub(super) started: u32,
    pub(super) in_flight: u32,
    /// The first attempt that the request may have been executed by.
    possibly_executed: Option<PossiblyExecuted>,
}

/// An attempt that is not known to have not been executed.
#[derive(Debug, Clone, Copy)]
struct PossiblyExecuted {
    /// The attempt's number.
    number: u32,
    sent_at: Micros,
}

impl AttemptHistory {
    /// Counts a new attempt and gives its number.
    fn start(&mut self) -> u32 {
        let number = self.started;
        self.started += 1;
        self.in_flight += 1;
        number
    }

    /// Until when engines recognise a further attempt as a repetition; none where that does not matter, as the class
    /// has no idempotency keys or nothing was possibly executed.
    fn deduplicated_until(&self, settings: &Settings, class: usize) -> Option<Micros> {
        let first = self.possibly_executed?;
        match settings.classes[class].effect {
            Effect::Keyed { window_ms, .. } => {
                Some(first.sent_at + Micros::from_ms(window_ms - settings.step_ms))
            }
            _ => None,
        }
    }

    /// Records that the attempt is sent, and from now on possibly executed.
    fn sent(&mut self, number: u32, sent_at: Micros) {
        self.possibly_executed.get_or_insert(PossiblyExecuted { number, sent_at });
    }

    /// Counts the end of an attempt.
    fn end(&mut self, number: u32, outcome: Outcome) {
        self.in_flight -= 1;
        let was_never_executed = |first: &PossiblyExecuted| outcome.never_ran() && first.number == number;
        self.possibly_executed = self.possibly_executed.filter(|first| !was_never_executed(first));
    }
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
    /// Starts an attempt of an open request on an engine.
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
            out.push(Command::Log(format!("an attempt of request {request}, which is closed")));
            return;
        };
        let history = self.attempt_histories.entry(request).or_default();
        let attempt = AttemptId { request, number: history.start() };
        // The decision module checks this too, with the same margin; a connection that is established late writes
        // the attempt later.
        let settings = &self.front.settings;
        let cancel_token = CancelToken::until(history.deduplicated_until(settings, open.class));
        history.sent(attempt.number, now);
        if let Some(slot) = open.tenant_slot {
            self.roster.attempt_started(slot);
        }
        let running = Attempt {
            engine,
            tenant_slot: open.tenant_slot,
            sent_at: now,
            cancel_token: cancel_token.clone(),
            ends_as: None,
        };
        self.attempts.insert(attempt, running);
        let engine_is_ready = self.engines.get_mut(&engine).is_some_and(|known| {
            known.attempts_in_flight += 1;
            known.state == EngineState::Ready
        });
        let remaining = open.deadline - now;
        if !engine_is_ready || remaining.0 <= 0 {
            self.timers.set(now, Timer::AttemptNotSent(attempt));
            return;
        }
        open.state = RequestState::Running(attempt.number);
        log::debug!(
            request:% = attempt, name = open.incoming.name.as_str(), class = open.incoming.class.as_str(),
            engine = self.engines.get(&engine).map_or("?", |known| known.name.as_str()),
            remaining_ms = remaining.as_ms();
            "attempt started"
        );
        let timeout = if timeout.0 > 0 { timeout.min(remaining) } else { remaining };
        let call = call(open, cancel_token, timeout);
        self.timers.set(now + timeout, Timer::AttemptTimeout(attempt));
        out.push(Command::StartAttempt { attempt, engine, call });
    }

    /// Cancels an attempt. Where its request is still open, the decision module is notified only once the engine has
    /// read the cancellation: an engine that is paused reads nothing, and an attempt sent meanwhile would be executed
    /// beside the first. (In the testbed 10 ms of patience were not enough in a pause.)
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
        running.cancel_token.cancel();
        let confirm = self.requests.contains_key(&attempt.request);
        log::debug!(
            request:% = attempt,
            engine = self.engines.get(&running.engine).map_or("?", |known| known.name.as_str()),
            reason:? = outcome,
            awaits_confirmation = confirm;
            "attempt cancelled"
        );
        out.push(Command::CancelAttempt { attempt, engine: running.engine, confirm });
        let wait = if confirm { CANCEL_CONFIRM_TIMEOUT } else { Micros(0) };
        self.timers.set(now + wait, Timer::CancelUnconfirmed(attempt));
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
        running.cancel_token.cancel();
        log::debug!(request:% = attempt, reason:? = outcome; "attempt lost");
        let request = RequestId(attempt.request);
        self.decide(now, Event::AttemptLost { request, attempt: attempt.number, outcome }, out);
    }

    /// The engine has not confirmed a cancellation in time.
    pub(super) fn cancel_unconfirmed(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Command>) {
        let outcome = self.attempts.get(&attempt).and_then(|running| running.ends_as);
        if let Some(outcome) = outcome {
            self.end_attempt(now, attempt, AttemptResult::without_report(outcome), out);
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
        let settled = !self.requests.contains_key(&attempt.request);
        if let Some(history) = self.attempt_histories.get_mut(&attempt.request) {
            history.end(attempt.number, outcome);
            if settled && history.in_flight == 0 {
                self.attempt_histories.remove(&attempt.request);
            }
        }
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.attempts_in_flight -= 1;
        }
        let released_slot = ended.tenant_slot.and_then(|slot| self.roster.attempt_ended(slot));
        let event = Event::AttemptEnded(AttemptEnd {
            request: RequestId(attempt.request),
            attempt: attempt.number,
            outcome,
            elapsed_ms: (now - ended.sent_at).as_ms(),
            settled,
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
            "attempt at={} us={} engine={engine} end={outcome:?} request={attempt} class={class} name={name}",
            ended.sent_at.0,
            (now - ended.sent_at).0
        );
    }
}

/// What an engine is sent for a request.
fn call(open: &OpenRequest, cancel_token: CancelToken, timeout: Micros) -> Call {
    Call {
        cancel_token,
        name: open.incoming.name.clone(),
        class: open.incoming.class.clone(),
        idempotency_key: open.incoming.idempotency_key.clone(),
        statement: open.incoming.statement.clone(),
        timeout,
        priority: open.priority,
    }
}
