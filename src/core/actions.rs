//! Route: carries out what the module decides.

use super::{Answer, Command, Core, RequestState, Timer};
use crate::clock::Micros;
use crate::decision::{Action, Outcome};

impl Core {
    pub(super) fn carry_out(&mut self, now: Micros, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { request, engine, timeout_ms } => {
                self.launch(now, request.0, engine.0, Micros::from_ms(timeout_ms), out);
            }
            Action::SetTerms { request, priority, .. } => self.rank(request.0, priority.min(3), out),
            Action::Reject { request, retry_after_ms } => {
                let answer = Answer::Rejected { retry_after: Micros::from_ms(retry_after_ms), reason: None };
                self.answer(now, request.0, answer, out);
            }
            Action::Fail(request) => self.answer(now, request.0, Answer::Failed(None), out),
            Action::Cancel { request, attempt } => {
                self.halt(now, request.0, attempt, Outcome::Cancelled, out);
            }
            Action::HealthCheck(engine) => out.push(Command::HealthCheck { engine: engine.0 }),
            Action::Timer { token, after_ms } => {
                // A timer comes back in a later turn, never in the one that sets it.
                let after = Micros::from_ms(after_ms).max(Micros(1));
                self.set_timer(now + after, Timer::Module(token));
            }
            Action::Subscribe => {} // the name service is asked all the time
            Action::Log(message) => out.push(Command::Log(message.to_string())),
        }
    }

    fn rank(&mut self, request: u64, priority: u8, out: &mut Vec<Command>) {
        let Some(open) = self.requests.get_mut(&request).filter(|open| open.priority != priority) else {
            return;
        };
        open.priority = priority;
        if let RequestState::Running(attempt) = open.state
            && let Some(running) = self.attempts.get(&(request, attempt))
        {
            out.push(Command::SetPriority { request, attempt, engine: running.engine, priority });
        }
    }
}
