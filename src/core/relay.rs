//! Relay: brings word of an attempt to the module, and a whole result to the client.

use super::{Answer, AttemptNews, Command, Core};
use crate::clock::Micros;
use crate::interface::{Event, Outcome, RequestId};

impl Core {
    pub(super) fn relay(
        &mut self,
        now: Micros,
        request: u64,
        attempt: u32,
        news: AttemptNews,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.attempts.get(&(request, attempt)) else { return };
        let halted = running.halted;
        match news {
            AttemptNews::Note(_) if halted.is_some() => {}
            AttemptNews::Note(note) => {
                self.decide(now, Event::Note { request: RequestId(request), attempt, note }, out);
            }
            AttemptNews::Served { table, usage, report } => {
                self.answer(now, request, Answer::Served(table), out);
                self.end(now, request, attempt, Outcome::Served, usage, report, out);
            }
            AttemptNews::Ended { end, report } => {
                let outcome = halted.unwrap_or(end.outcome());
                self.end(now, request, attempt, outcome, None, report, out);
            }
        }
    }

    pub(super) fn client_left(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if let Some(open) = self.requests.remove(&request) {
            self.books.count_left(&self.front, &open);
            self.close(request, &open);
            self.decide(now, Event::ClientGone(RequestId(request)), out);
        }
    }

    pub(super) fn cancelled(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if self.requests.contains_key(&request) {
            self.answer(now, request, Answer::Cancelled, out);
            self.decide(now, Event::ClientGone(RequestId(request)), out);
        }
    }

    pub(super) fn overdue(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        if self.requests.contains_key(&request) {
            out.push(Command::Log(format!("request {request} was left to its deadline")));
            self.answer(now, request, Answer::Failed, out);
            self.decide(now, Event::ClientGone(RequestId(request)), out);
        }
    }
}
