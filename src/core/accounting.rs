//! Sends the one final answer of each request, and counts answers and attempts.

use super::{Answer, AttemptId, Command, Core, OpenRequest, Timer};
use crate::clock::Micros;
use crate::decision::Outcome;
use crate::settings::ServiceSettings;
use sanddyke_tenancy::{Roster, Slot};
use serde::Serialize;
use std::collections::BTreeMap;

/// Counts of the answers to requests of one class and tenant.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AnswerCounts {
    /// The name of the class.
    pub class: String,
    /// The tenant's name; empty for requests without a tenant.
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

/// The key by which [`AnswerCounts`] are stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerKey {
    /// The tenant's slot in the roster; `None` for requests without a tenant.
    pub tenant_slot: Option<Slot>,
    /// The index of the class in the settings.
    pub class: usize,
}

/// Counts of answers and attempts.
#[derive(Debug, Clone, Default)]
pub struct Accounting {
    /// Answers, for each tenant and class with at least one closed request.
    pub answers: BTreeMap<AnswerKey, AnswerCounts>,
    /// Attempts with a recorded outcome, by the name of the outcome.
    pub attempts: BTreeMap<&'static str, u64>,
    /// How often a request was deferred because its client request id or idempotency key was in use.
    pub deferred: u64,
}

impl Accounting {
    /// Removes the counts of a removed tenant, because the roster may assign its slot to another tenant.
    pub(super) fn remove_tenant(&mut self, slot: Slot) {
        let tenant_slot = Some(slot);
        let first = AnswerKey { tenant_slot, class: 0 };
        let last = AnswerKey { tenant_slot, class: usize::MAX };
        let keys: Vec<AnswerKey> = self.answers.range(first..=last).map(|(key, _)| *key).collect();
        for key in keys {
            self.answers.remove(&key);
        }
    }

    /// Counts an attempt by its recorded outcome.
    pub(super) fn count_attempt(&mut self, outcome: Outcome) {
        *self.attempts.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// Counts a request by its final answer.
    pub(super) fn count_answer(
        &mut self,
        service_settings: &ServiceSettings,
        roster: &Roster,
        open: &OpenRequest,
        answer: &Answer,
        now: Micros,
    ) {
        let counts = self.counts_of(service_settings, roster, open);
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
        service_settings: &ServiceSettings,
        roster: &Roster,
        open: &OpenRequest,
    ) {
        self.counts_of(service_settings, roster, open).disconnected += 1;
    }

    fn counts_of(
        &mut self,
        service_settings: &ServiceSettings,
        roster: &Roster,
        open: &OpenRequest,
    ) -> &mut AnswerCounts {
        let key = AnswerKey { tenant_slot: open.tenant_slot, class: open.class };
        self.answers.entry(key).or_insert_with(|| {
            let tenant = open.tenant_slot.and_then(|slot| roster.tenant(slot));
            AnswerCounts {
                class: service_settings.classes[open.class].clone(),
                tenant: tenant.map_or(String::new(), |tenant| tenant.name.clone()),
                ..AnswerCounts::default()
            }
        })
    }
}

/// Returns an outcome's name in metrics and the log. The names are part of the metrics' interface.
pub(super) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "Served",
        Outcome::ServerError => "ServerError",
        Outcome::EngineFull => "Full",
        Outcome::TimedOut => "TimedOut",
        Outcome::NoConnection => "NoConnection",
        Outcome::ConnectionLost => "ConnectionLost",
        Outcome::CorruptedResponse => "Spoilt",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "NotSent",
    }
}

impl Core {
    /// Sends a request's final answer. Removes the request from the table, so that a second answer has no effect.
    pub(super) fn answer(&mut self, now: Micros, request: u64, answer: Answer, out: &mut Vec<Command>) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.accounting.count_answer(&self.service_settings, &self.roster, &open, &answer, now);
        log::debug!(
            request, name = open.incoming.client_request_id.as_str(), class = open.incoming.class.as_str(),
            answer = answer.kind(), age_ms = (now - open.received_at).as_ms(),
            remaining_ms = (open.deadline - now).as_ms(), state:? = open.state;
            "request answered"
        );
        self.close(now, request, &open, out);
        out.push(Command::Answer { request, answer });
    }

    /// Releases the resources of a request that was removed from the table. Attempts that are not written yet are
    /// never written, because their permits are revoked.
    pub(super) fn close(&mut self, now: Micros, request: u64, open: &OpenRequest, out: &mut Vec<Command>) {
        self.open_client_request_ids.remove(&open.incoming.client_request_id);
        debug_assert_eq!(
            self.open_client_request_ids.len(),
            self.requests.len(),
            "each open request has exactly one client request id in the set"
        );
        for number in self.guard.attempt_numbers(request) {
            let id = AttemptId { request, number };
            if let Some(attempt) = self.attempts.get(&id) {
                attempt.permit.revoke();
                if attempt.pending_outcome.is_some() {
                    self.timers.set(now, Timer::AttemptAbandoned(id));
                }
            }
        }
        for released in self.guard.request_closed(request, &open.incoming) {
            self.timers.set(now, Timer::DeferredRequestReleased(released));
        }
        let released_slot =
            open.tenant_slot.and_then(|slot| self.roster.request_closed(slot, (now - open.received_at).0));
        self.delete_released_tenant(now, released_slot, out);
    }
}
