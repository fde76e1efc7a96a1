//! Gives the one final answer, and counts answers and attempts.

use super::{Answer, AttemptId, Command, Core, OpenRequest, Timer};
use crate::clock::Micros;
use crate::decision::Outcome;
use crate::settings::ServiceSettings;
use sanddyke_tenancy::{Roster, Slot};
use serde::Serialize;
use std::collections::BTreeMap;

/// Answers to requests of one class and tenant.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AnswerCounts {
    /// The class.
    pub class: String,
    /// The tenant; empty where there are none.
    pub tenant: String,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that an operator cancelled.
    pub cancelled: u64,
    /// Requests whose clients disconnected before the answer.
    #[serde(rename = "left")]
    pub disconnected: u64,
    /// Sum of the times from receipt to answer of served requests, in microseconds.
    pub served_us: i64,
}

/// What [`AnswerCounts`] are counted by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerKey {
    /// The tenant's slot; none where there are none.
    pub tenant_slot: Option<Slot>,
    /// The position of the class in the settings.
    pub class: usize,
}

/// Counts of answers and attempts.
#[derive(Debug, Clone, Default)]
pub struct Accounting {
    /// Answers, for each tenant and class that has had a request.
    pub answers: BTreeMap<AnswerKey, AnswerCounts>,
    /// Ended attempts, by the name of their outcome.
    pub attempts: BTreeMap<&'static str, u64>,
    /// How often a request was withheld because something with its name or key might still be executed.
    pub withheld: u64,
}

impl Accounting {
    /// Drops the counts of a tenant that was removed.
    pub(super) fn forget(&mut self, slot: Slot) {
        let tenant_slot = Some(slot);
        let first = AnswerKey { tenant_slot, class: 0 };
        let last = AnswerKey { tenant_slot, class: usize::MAX };
        let keys: Vec<AnswerKey> = self.answers.range(first..=last).map(|(key, _)| *key).collect();
        for key in keys {
            self.answers.remove(&key);
        }
    }

    /// Counts the end of an attempt.
    pub(super) fn count_attempt(&mut self, outcome: Outcome) {
        *self.attempts.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// Counts a request's answer.
    pub(super) fn count_answer(
        &mut self,
        front: &ServiceSettings,
        roster: &Roster,
        open: &OpenRequest,
        answer: &Answer,
        now: Micros,
    ) {
        let counts = self.counts_of(front, roster, open);
        match answer {
            Answer::Served(_) => {
                counts.served += 1;
                counts.served_us += (now - open.received_at).0;
            }
            Answer::Rejected { .. } => counts.rejected += 1,
            Answer::Failed(_) | Answer::Invalid(_) => counts.failed += 1,
            Answer::Cancelled => counts.cancelled += 1,
        }
    }

    /// Counts a request whose client disconnected before its answer.
    pub(super) fn count_disconnected(
        &mut self,
        front: &ServiceSettings,
        roster: &Roster,
        open: &OpenRequest,
    ) {
        self.counts_of(front, roster, open).disconnected += 1;
    }

    fn counts_of(
        &mut self,
        front: &ServiceSettings,
        roster: &Roster,
        open: &OpenRequest,
    ) -> &mut AnswerCounts {
        let key = AnswerKey { tenant_slot: open.tenant_slot, class: open.class };
        self.answers.entry(key).or_insert_with(|| {
            let tenant = open.tenant_slot.and_then(|slot| roster.tenant(slot));
            AnswerCounts {
                class: front.classes[open.class].clone(),
                tenant: tenant.map_or(String::new(), |tenant| tenant.name.clone()),
                ..AnswerCounts::default()
            }
        })
    }
}

/// An outcome's name in metrics and the log.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "Served",
        Outcome::ServerError => "ServerError",
        Outcome::Full => "Full",
        Outcome::TimedOut => "TimedOut",
        Outcome::NoConnection => "NoConnection",
        Outcome::ConnectionLost => "ConnectionLost",
        Outcome::Spoilt => "Spoilt",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "NotSent",
    }
}

impl Core {
    /// Answers a request and takes it out of the table; a second answer finds none there.
    pub(super) fn answer(&mut self, now: Micros, request: u64, answer: Answer, out: &mut Vec<Command>) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.accounting.count_answer(&self.front, &self.roster, &open, &answer, now);
        log::debug!(
            request, name = open.incoming.name.as_str(), class = open.incoming.class.as_str(),
            answer = answer.kind(), age_ms = (now - open.received_at).as_ms(),
            remaining_ms = (open.deadline - now).as_ms(), state:? = open.state;
            "request answered"
        );
        self.close(now, request, &open, out);
        out.push(Command::Answer { request, answer });
    }

    /// Releases what a request occupied when it has left the table. Attempts that are not written yet never will be.
    pub(super) fn close(&mut self, now: Micros, request: u64, open: &OpenRequest, out: &mut Vec<Command>) {
        self.open_names.remove(&open.incoming.name);
        debug_assert_eq!(self.open_names.len(), self.requests.len(), "each open request has its name");
        for number in self.guard.attempt_numbers(request) {
            let id = AttemptId { request, number };
            if let Some(attempt) = self.attempts.get(&id) {
                attempt.permit.revoke();
                if attempt.ends_as.is_some() {
                    self.timers.set(now, Timer::AttemptAbandoned(id));
                }
            }
        }
        for released in self.guard.request_closed(request, &open.incoming) {
            self.timers.set(now, Timer::Released(released));
        }
        let released_slot =
            open.tenant_slot.and_then(|slot| self.roster.request_closed(slot, (now - open.received_at).0));
        self.forget_tenant(now, released_slot, out);
    }
}
