//! Relay: brings word of an attempt to the module, and a whole result to the client.

use super::{Answer, AttemptEvent, Command, Core};
use crate::clock::Micros;
use crate::decision::{Event, Outcome, RequestId};

impl Core {
    pub(super) fn relay(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        news: AttemptEvent,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.attempts.get(&(request, attempt)) else { return };
        let cancelled = running.cancelled;
        match news {
            AttemptEvent::Note(_) if cancelled.is_some() => {}
            AttemptEvent::Note(note) => {
                self.decide(now, Event::AttemptNote { request: RequestId(request), attempt, note }, out);
            }
            AttemptEvent::Served { table, usage, report } => {
                let slot = self.requests.get(&request).and_then(|open| open.slot);
                let judged = slot.map_or(Ok(()), |slot| self.roster.check_result(slot, table.bytes()));
                // The work is done, so a result that may not be passed on is no refusal.
                let answer = judged
                    .map_or_else(|refused| Answer::Failed(Some(refused.reason)), |()| Answer::Served(table));
                self.answer(now, request, answer, out);
                self.end(now, request, attempt, Outcome::Served, usage, report, out);
            }
            AttemptEvent::Ended { end, report } => {
                let outcome = cancelled.unwrap_or(end.outcome());
                self.end(now, request, attempt, outcome, None, report, out);
            }
        }
    }

    pub(super) fn client_left(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if let Some(open) = self.requests.remove(&request) {
            self.accounting.count_left(&self.front, &self.roster, &open);
            self.close(now, request, &open, out);
            self.decide(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }

    pub(super) fn cancel_request(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if self.requests.contains_key(&request) {
            self.answer(now, request, Answer::Cancelled, out);
            self.decide(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }

    pub(super) fn overdue(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if self.requests.contains_key(&request) {
            out.push(Command::Log(format!("request {request} was left to its deadline")));
            self.answer(now, request, Answer::Failed(None), out);
            self.decide(now, Event::ClientDisconnected(RequestId(request)), out);
        }
    }
}
