//! Handles what engines report of attempts, and the events that close a request early: the client disconnects, an
//! operator cancels the request, or its deadline passes.

use super::attempts::AttemptResult;
use super::{Answer, AttemptEvent, AttemptId, Command, Core, RequestState, Table};
use crate::clock::Micros;
use crate::decision::{Event, RequestId};

impl Core {
    /// Handles a report of an engine or its connection on an attempt.
    pub(super) fn attempt_event(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        event: AttemptEvent,
        out: &mut Vec<Command>,
    ) {
        match &event {
            AttemptEvent::Ended { end, .. } => {
                self.attempt_ended(now, attempt, end.outcome().never_executed())
            }
            AttemptEvent::Served { .. } => self.attempt_ended(now, attempt, false),
            AttemptEvent::ProgressNote(_) | AttemptEvent::Lost { .. } => {}
        }
        let Some(running) = self.attempts.get(&attempt) else { return };
        let pending_outcome = running.pending_outcome;
        match event {
            AttemptEvent::ProgressNote(_) if pending_outcome.is_some() => {}
            AttemptEvent::ProgressNote(note) => {
                let request = RequestId(attempt.request);
                self.notify_scheduler(
                    now,
                    Event::ProgressNote { request, attempt: attempt.number, note },
                    out,
                );
            }
            AttemptEvent::Served { table, usage, report } => {
                let answer = self.answer_with(attempt.request, table);
                self.answer(now, attempt.request, answer, out);
                self.end_attempt(now, attempt, AttemptResult::served(usage, report), out);
            }
            AttemptEvent::Lost { end } => self.attempt_lost(now, attempt, end.outcome(), out),
            AttemptEvent::Ended { end, report } => {
                let outcome = pending_outcome.unwrap_or(end.outcome());
                self.end_attempt(now, attempt, AttemptResult { outcome, usage: None, report }, out);
            }
        }
    }

    /// Returns the answer with the result. If the result exceeds the tenant's limit, the request fails; it is not
    /// rejected, because it was executed.
    fn answer_with(&mut self, request: u64, table: Table) -> Answer {
        let slot = self.requests.get(&request).and_then(|open| open.tenant_slot);
        let checked = slot.map_or(Ok(()), |slot| self.roster.check_result(slot, table.bytes()));
        match checked {
            Ok(()) => Answer::Served(table),
            Err(rejection) => Answer::Failed(Some(rejection.reason)),
        }
    }

    /// Closes a request whose client disconnected.
    pub(super) fn client_disconnected(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if let Some(open) = self.requests.remove(&request) {
            self.accounting.count_disconnected(&self.service_settings, &self.roster, &open);
            log::debug!(
                request, name = open.incoming.client_request_id.as_str(), age_ms = (now - open.received_at).as_ms(),
                state:? = open.state;
                "client disconnected"
            );
            self.close(now, request, &open, out);
            self.notify_scheduler(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }

    /// Closes a request that an operator cancels.
    pub(super) fn cancel_request(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if self.requests.contains_key(&request) {
            self.answer(now, request, Answer::Cancelled, out);
            self.notify_scheduler(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }

    /// Answers a request whose deadline has passed.
    ///
    /// A deferred request was never executed and is rejected. The scheduler answers a submitted request before its
    /// deadline; the other branch guards against a fault of the scheduler, and fails the request.
    pub(super) fn deadline_passed(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        let Some(open) = self.requests.get(&request) else { return };
        if open.state == RequestState::Withheld {
            let answer = Answer::Rejected { retry_after: Micros(0), reason: None };
            self.answer(now, request, answer, out);
        } else {
            out.push(Command::Log(format!(
                "request {request} failed: its deadline passed and the scheduler had not answered it"
            )));
            self.answer(now, request, Answer::Failed(None), out);
            self.notify_scheduler(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }
}
