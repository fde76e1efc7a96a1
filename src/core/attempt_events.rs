//! Handles what engines report of attempts, and what ends a request early: its client, an operator, its deadline.

use super::attempts::AttemptResult;
use super::{Answer, AttemptEvent, AttemptId, Command, Core, RequestState, Table};
use crate::clock::Micros;
use crate::decision::{Event, RequestId};

impl Core {
    /// An engine, or the connection to it, reports on an attempt.
    pub(super) fn attempt_event(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        event: AttemptEvent,
        out: &mut Vec<Command>,
    ) {
        match &event {
            AttemptEvent::Ended { end, .. } => {
                self.attempt_over(now, attempt, end.outcome().never_executed())
            }
            AttemptEvent::Served { .. } => self.attempt_over(now, attempt, false),
            AttemptEvent::Note(_) | AttemptEvent::Lost { .. } => {}
        }
        let Some(running) = self.attempts.get(&attempt) else { return };
        let ends_as = running.ends_as;
        match event {
            AttemptEvent::Note(_) if ends_as.is_some() => {}
            AttemptEvent::Note(note) => {
                let request = RequestId(attempt.request);
                self.decide(now, Event::ProgressNote { request, attempt: attempt.number, note }, out);
            }
            AttemptEvent::Served { table, usage, report } => {
                let answer = self.answer_with(attempt.request, table);
                self.answer(now, attempt.request, answer, out);
                self.end_attempt(now, attempt, AttemptResult::served(usage, report), out);
            }
            AttemptEvent::Lost { end } => self.attempt_lost(now, attempt, end.outcome(), out),
            AttemptEvent::Ended { end, report } => {
                let outcome = ends_as.unwrap_or(end.outcome());
                self.end_attempt(now, attempt, AttemptResult { outcome, usage: None, report }, out);
            }
        }
    }

    /// The answer with a result, unless the result exceeds its tenant's limit: then the request has failed, and is
    /// not rejected, as it was executed.
    fn answer_with(&mut self, request: u64, table: Table) -> Answer {
        let slot = self.requests.get(&request).and_then(|open| open.tenant_slot);
        let checked = slot.map_or(Ok(()), |slot| self.roster.check_result(slot, table.bytes()));
        match checked {
            Ok(()) => Answer::Served(table),
            Err(rejection) => Answer::Failed(Some(rejection.reason)),
        }
    }

    /// The client of a request no longer waits.
    pub(super) fn client_disconnected(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if let Some(open) = self.requests.remove(&request) {
            self.accounting.count_disconnected(&self.front, &self.roster, &open);
            log::debug!(
                request, name = open.incoming.name.as_str(), age_ms = (now - open.received_at).as_ms(),
                state:? = open.state;
                "client disconnected"
            );
            self.close(now, request, &open, out);
            self.decide(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }

    /// An operator cancels a request.
    pub(super) fn cancel_request(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if self.requests.contains_key(&request) {
            self.answer(now, request, Answer::Cancelled, out);
            self.decide(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }

    /// A request has reached its deadline. What the decision module has it answers before that: the rest guards against
    /// its faults. A request that is withheld never began, so it is rejected.
    pub(super) fn deadline_passed(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        let Some(open) = self.requests.get(&request) else { return };
        if open.state == RequestState::Withheld {
            let answer = Answer::Rejected { retry_after: Micros(0), reason: None };
            self.answer(now, request, answer, out);
        } else {
            out.push(Command::Log(format!("request {request} has reached its deadline without a decision")));
            self.answer(now, request, Answer::Failed(None), out);
            self.decide(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }
}
