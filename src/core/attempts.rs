//! Send: starts attempts and gives them up.

use super::{Attempt, Call, CancelToken, Command, Core, RequestState, Timer};
use crate::clock::Micros;
use crate::decision::{AttemptEnd, Effect, EngineState, Event, Outcome, RequestId};

/// An engine that has not shown by then that it has read a stop is taken to have.
const HALT_WITHIN: Micros = Micros(5_000_000);

impl Core {
    pub(super) fn launch(
        &mut self,
        now: Micros,
        request: u64,
        engine: u64,
        timeout: Micros,
        out: &mut Vec<Command>,
    ) {
        debug_assert!(
            self.requests.contains_key(&request),
            "the module sent request {request}, which is over"
        );
        let Some(open) = self.requests.get_mut(&request) else {
            return out.push(Command::Log(format!("the module sent request {request}, which is over")));
        };
        let sent = self.sent.entry(request).or_default();
        let attempt = sent.next;
        (sent.next, sent.out) = (sent.next + 1, sent.out + 1);
        let slot = open.slot;
        slot.into_iter().for_each(|slot| self.roster.attempt_started(slot));
        // The module asks this when it decides, with the same margin; a connection that comes up late writes it later.
        let settings = &self.front.settings;
        let dedup_until = match (sent.maybe, settings.classes[open.class].effect) {
            (Some((_, at)), Effect::Keyed { window_ms, .. }) => {
                Some(at + Micros::from_ms(window_ms - settings.step_ms))
            }
            _ => None,
        };
        sent.maybe.get_or_insert((attempt, now));
        let cancel_token = CancelToken::until(dedup_until);
        let running =
            Attempt { engine, slot, sent: now, cancel_token: cancel_token.clone(), cancelled: None };
        self.attempts.insert((request, attempt), running);
        let known = self.engines.get_mut(&engine);
        let ready = known.is_some_and(|engine| {
            engine.out += 1;
            engine.state == EngineState::Ready
        });
        let left = open.deadline - now;
        if !ready || left.0 <= 0 {
            return self.set_timer(now, Timer::NotSent { request, attempt });
        }
        open.state = RequestState::Running(attempt);
        let patience = if timeout.0 > 0 { timeout.min(left) } else { left };
        let call = Call {
            cancel_token,
            name: open.arrival.name.clone(),
            class: open.arrival.class.clone(),
            key: open.arrival.key.clone(),
            statement: open.arrival.statement.clone(),
            patience,
            priority: open.priority,
        };
        self.set_timer(now + patience, Timer::AttemptTimeout { request, attempt });
        out.push(Command::StartAttempt { request, attempt, engine, call });
    }

    /// Gives an attempt up. Where its request is still open the module hears of it only once the engine has
    /// read the stop: an engine that stands still reads nothing, and a second attempt sent meanwhile would be
    /// a second copy. (Seen on the bench: 10 ms of patience were not enough in a pause.)
    pub(super) fn halt(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.attempts.get_mut(&(request, attempt)) else { return };
        if running.cancelled.is_none() {
            running.cancelled = Some(outcome);
            running.cancel_token.cancel();
            let confirm = self.requests.contains_key(&request);
            out.push(Command::CancelAttempt { request, attempt, engine: running.engine, confirm });
            let wait = if confirm { HALT_WITHIN } else { Micros(0) };
            self.set_timer(now + wait, Timer::CancelOverdue { request, attempt });
        }
    }

    pub(super) fn cancel_overdue(&mut self, now: Micros, request: u64, attempt: u32, out: &mut Vec<Command>) {
        let outcome = self.attempts.get(&(request, attempt)).and_then(|running| running.cancelled);
        if let Some(outcome) = outcome {
            self.end(now, request, attempt, outcome, None, None, out);
        }
    }

    pub(super) fn attempt_over(&mut self, now: Micros, request: u64, attempt: u32, out: &mut Vec<Command>) {
        self.halt(now, request, attempt, Outcome::TimedOut, out);
    }

    pub(super) fn unsendable(&mut self, now: Micros, request: u64, attempt: u32, out: &mut Vec<Command>) {
        self.end(now, request, attempt, Outcome::NotSent, None, None, out);
    }

    /// The one place where an attempt leaves the table and the module hears of its end.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn end(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        outcome: Outcome,
        usage: Option<crate::decision::Usage>,
        report: Option<crate::decision::LoadReport>,
        out: &mut Vec<Command>,
    ) {
        let Some(ended) = self.attempts.remove(&(request, attempt)) else { return };
        if let Some(open) = self.requests.get_mut(&request)
            && open.state == RequestState::Running(attempt)
        {
            open.state = RequestState::Queued;
        }
        self.accounting.count_attempt(outcome);
        if log::log_enabled!(log::Level::Debug) {
            let name = self.engines.get(&ended.engine).map_or("?", |engine| &engine.name);
            let (sent, took) = (ended.sent.0, (now - ended.sent).0);
            let class = self.requests.get(&request).map_or("-", |open| &open.arrival.class);
            log::debug!(
                "attempt at={sent} us={took} engine={name} end={outcome:?} request={request}.{attempt} class={class}"
            );
        }
        let settled = !self.requests.contains_key(&request);
        if let Some(sent) = self.sent.get_mut(&request) {
            sent.out -= 1;
            sent.maybe = sent.maybe.filter(|(first, _)| !(outcome.never_ran() && *first == attempt));
            if settled && sent.out == 0 {
                self.sent.remove(&request);
            }
        }
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.out -= 1;
        }
        let over = ended.slot.and_then(|slot| self.roster.attempt_ended(slot));
        let event = Event::AttemptEnded(AttemptEnd {
            request: RequestId(request),
            attempt,
            outcome,
            elapsed_ms: (now - ended.sent).as_ms(),
            settled,
            usage,
            report,
        });
        self.decide(now, event, out);
        self.forget_gone(ended.engine, out);
        self.forget_tenant(now, over, out);
    }
}
