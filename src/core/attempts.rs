//! Starts, cancels and ends attempts.

use super::accounting::outcome_name;
use super::execution_guard::{ProposedAttempt, SendPermit, Violation};
use super::{AttemptId, Call, Command, Core, OpenRequest, RequestState, Timer};
use crate::clock::Micros;
use crate::decision::{AttemptEnd, EngineState, Event, LoadReport, Outcome, RequestId, Usage};
use sanddyke_tenancy::Slot;

/// An attempt that was cancelled or lost, and whose end the engine has not confirmed, counts as ended after this
/// time. Requests with its client request id or idempotency key are deferred until then. The time is longer than
/// engines hang and longer than clients retry.
const UNCONFIRMED_RETENTION: Micros = Micros(120_000_000);

/// An attempt from its start until the scheduler is notified of its end.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) engine: u64,
    tenant_slot: Option<Slot>,
    started_at: Micros,
    pub(super) permit: SendPermit,
    /// Set when the attempt is cancelled or lost: the outcome to record once the engine has discarded the attempt.
    pub(super) pending_outcome: Option<Outcome>,
}

/// The outcome of an attempt, and what the engine reported with it.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    pub(super) usage: Option<Usage>,
    pub(super) report: Option<LoadReport>,
}

impl AttemptResult {
    /// The result of a served attempt.
    pub(super) fn served(usage: Option<Usage>, report: Option<LoadReport>) -> AttemptResult {
        AttemptResult { outcome: Outcome::Served, usage, report }
    }

    /// An outcome with which the engine reported nothing.
    fn without_report(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, usage: None, report: None }
    }
}

impl Core {
    /// Starts an attempt of an open request on an engine, unless the execution guard denies it. `timeout` bounds
    /// the attempt; 0 means that only the request's deadline does.
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
            "the scheduler started an attempt of request {request}, which is closed"
        );
        let Some(open) = self.requests.get_mut(&request) else {
            self.guard.count_violation(Violation::RequestClosed);
            return;
        };
        let settings = &self.service_settings.settings;
        let deadline = if timeout.0 > 0 { open.deadline.min(now + timeout) } else { open.deadline };
        let known = self.engines.get(&engine);
        let proposed = ProposedAttempt {
            request,
            engine,
            now,
            deadline,
            effect: settings.classes[open.class].effect,
            deduplication_margin: Micros::from_ms(settings.step_ms),
            engine_is_ready: known.is_some_and(|known| known.state == EngineState::Ready),
            zone: known.map(|known| known.zone_id).unwrap_or_default(),
            cell: known.and_then(|known| known.cell),
        };
        let allowed = self.guard.may_start(&proposed);
        let (attempt, permit) = match allowed {
            Ok(()) => self.guard.start(&proposed, &open.incoming),
            Err(_) => (self.guard.allocate_denied_attempt(request), SendPermit::default()),
        };
        if let Some(slot) = open.tenant_slot {
            self.roster.attempt_started(slot);
        }
        let running = Attempt {
            engine,
            tenant_slot: open.tenant_slot,
            started_at: now,
            permit: permit.clone(),
            pending_outcome: None,
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
            name = open.incoming.client_request_id.as_str(),
            class = open.incoming.class.as_str(),
            engine = self.engines.get(&engine).map_or("?", |known| known.name.as_str()),
            remaining_ms = (deadline - now).as_ms();
            "attempt started"
        );
        self.timers.set(deadline, Timer::AttemptTimeout(attempt));
        let call = call(open, permit);
        out.push(Command::StartAttempt { attempt, engine, call });
    }

    /// Cancels an attempt.
    ///
    /// While the request is open, the scheduler is notified of the end only once the engine has discarded the
    /// attempt. A paused engine does not read the cancellation, so another attempt started in the meantime would
    /// be executed concurrently with this one.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.attempts.get_mut(&attempt) else { return };
        if running.pending_outcome.is_some() {
            return;
        }
        running.pending_outcome = Some(outcome);
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
        self.timers.set(now + UNCONFIRMED_RETENTION, Timer::UnconfirmedAttemptExpired(attempt));
        if !confirm {
            self.timers.set(now, Timer::AttemptAbandoned(attempt));
        }
    }

    /// Handles the loss of an attempt: it will have no result, but its engine may be executing it still. The
    /// scheduler is notified of the loss immediately, and of the end once the engine has discarded the attempt or
    /// the request is closed.
    pub(super) fn attempt_lost(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.attempts.get_mut(&attempt) else { return };
        let outcome = *running.pending_outcome.get_or_insert(outcome);
        running.permit.revoke();
        self.timers.set(now + UNCONFIRMED_RETENTION, Timer::UnconfirmedAttemptExpired(attempt));
        log::debug!(request:% = attempt, reason = outcome_name(outcome); "attempt lost");
        let request = RequestId(attempt.request);
        self.notify_scheduler(now, Event::AttemptLost { request, attempt: attempt.number, outcome }, out);
    }

    /// Ends a cancelled or lost attempt of a closed request without waiting for its engine. For the execution
    /// guard the attempt stays in flight until the engine has discarded it.
    pub(super) fn abandon_attempt(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Command>) {
        let outcome = self.attempts.get(&attempt).and_then(|running| running.pending_outcome);
        if let Some(outcome) = outcome {
            self.end_attempt(now, attempt, AttemptResult::without_report(outcome), out);
        }
    }

    /// Records that an engine has answered or discarded an attempt, or never received it, and schedules the
    /// release of the requests that were deferred until then.
    pub(super) fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, never_executed: bool) {
        for released in self.guard.attempt_ended(attempt, never_executed) {
            self.timers.set(now, Timer::DeferredRequestReleased(released));
        }
    }

    /// Cancels an attempt that has no result within its timeout.
    pub(super) fn attempt_timed_out(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Command>) {
        self.cancel_attempt(now, attempt, Outcome::TimedOut, out);
    }

    /// Ends an attempt that the execution guard denied, and that was therefore never sent.
    pub(super) fn attempt_not_sent(&mut self, now: Micros, attempt: AttemptId, out: &mut Vec<Command>) {
        self.end_attempt(now, attempt, AttemptResult::without_report(Outcome::NotSent), out);
    }

    /// Removes an attempt from the table, records its outcome, and notifies the scheduler of its end. No other
    /// code does this.
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
        self.guard.record_outcome(attempt, outcome);
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.attempts_in_flight -= 1;
        }
        let released_slot = ended.tenant_slot.and_then(|slot| self.roster.attempt_ended(slot));
        let event = Event::AttemptEnded(AttemptEnd {
            request: RequestId(attempt.request),
            attempt: attempt.number,
            outcome,
            elapsed_ms: (now - ended.started_at).as_ms(),
            request_closed,
            usage,
            report,
        });
        self.notify_scheduler(now, event, out);
        self.delete_if_unused(ended.engine, out);
        self.delete_released_tenant(now, released_slot, out);
    }

    /// Logs an attempt's end. Tools parse this line, so its text stays as it is.
    fn log_attempt(&self, now: Micros, attempt: AttemptId, ended: &Attempt, outcome: Outcome) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let engine = self.engines.get(&ended.engine).map_or("?", |engine| &engine.name);
        let open = self.requests.get(&attempt.request);
        let class = open.map_or("-", |open| &open.incoming.class);
        let client_request_id = open.map_or("-", |open| &open.incoming.client_request_id);
        log::debug!(
            "attempt at={} us={} engine={engine} end={} request={attempt} class={class} name={client_request_id}",
            ended.started_at.0,
            (now - ended.started_at).0,
            outcome_name(outcome)
        );
    }
}

/// Returns the content of an attempt of this request.
fn call(open: &OpenRequest, permit: SendPermit) -> Call {
    Call {
        permit,
        client_request_id: open.incoming.client_request_id.clone(),
        class: open.incoming.class.clone(),
        idempotency_key: open.incoming.idempotency_key.clone(),
        statement: open.incoming.statement.clone(),
        priority: open.priority,
    }
}
