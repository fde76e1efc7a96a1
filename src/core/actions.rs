//! Applies the actions that the scheduler decides on.

use super::{Answer, AttemptId, Command, Core, RequestState, Timer};
use crate::clock::Micros;
use crate::decision::{Action, Outcome};

/// The highest priority that engines accept.
const MAX_PRIORITY: u8 = 3;
/// A timer that the scheduler sets fires in a later tick, never in the one that sets it.
const MIN_TIMER_DELAY: Micros = Micros(1);

impl Core {
    pub(super) fn apply_action(&mut self, now: Micros, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { request, engine, timeout_ms } => {
                self.start_attempt(now, request.0, engine.0, Micros::from_ms(timeout_ms), out);
            }
            Action::SetAttemptOptions { request, priority, .. } => {
                self.set_priority(request.0, priority.min(MAX_PRIORITY), out);
            }
            Action::Reject { request, retry_after_ms } => {
                let answer = Answer::Rejected { retry_after: Micros::from_ms(retry_after_ms), reason: None };
                self.answer(now, request.0, answer, out);
            }
            Action::Fail(request) => self.answer(now, request.0, Answer::Failed(None), out),
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { request: request.0, number: attempt };
                self.cancel_attempt(now, attempt, Outcome::Cancelled, out);
            }
            Action::HealthCheck(engine) => out.push(Command::HealthCheck { engine: engine.0 }),
            Action::Timer { token, after_ms } => {
                let delay = Micros::from_ms(after_ms).max(MIN_TIMER_DELAY);
                self.timers.set(now + delay, Timer::Scheduler(token));
            }
            Action::Subscribe => {} // service discovery polls the name service independently of this action
            Action::Log(message) => out.push(Command::Log(message.to_string())),
        }
    }

    fn set_priority(&mut self, request: u64, priority: u8, out: &mut Vec<Command>) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        if open.priority == priority {
            return;
        }
        open.priority = priority;
        let RequestState::Running(number) = open.state else { return };
        let attempt = AttemptId { request, number };
        if let Some(running) = self.attempts.get(&attempt) {
            out.push(Command::SetPriority { attempt, engine: running.engine, priority });
        }
    }
}
