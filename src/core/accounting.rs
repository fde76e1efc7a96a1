//! Book: gives the one final answer, and counts it.

use super::{Answer, Command, Core, Open};
use crate::clock::Micros;
use crate::decision::Outcome;
use crate::settings::Front;
use sanddyke_tenancy::{Roster, Slot};
use serde::Serialize;
use std::collections::BTreeMap;

/// Ends of one class and tenant.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    /// The class.
    pub class: String,
    /// The tenant; empty where there are none.
    pub tenant: String,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Ended by an operator.
    pub cancelled: u64,
    /// The client left first.
    pub left: u64,
    /// Time that served requests took in all, in microseconds.
    pub served_us: i64,
}

/// What has been answered.
#[derive(Debug, Clone, Default)]
pub struct Accounting {
    /// One tally for each tenant and class that has had a request.
    pub tallies: BTreeMap<(Option<Slot>, usize), Tally>,
    /// Ends of attempts, by outcome.
    pub attempts: BTreeMap<&'static str, u64>,
}

impl Accounting {
    /// Drops what was counted of a tenant that is gone.
    pub(super) fn forget(&mut self, slot: Slot) {
        let of_it = (Some(slot), 0)..=(Some(slot), usize::MAX);
        let classes: Vec<_> = self.tallies.range(of_it).map(|(key, _)| *key).collect();
        classes.iter().for_each(|key| drop(self.tallies.remove(key)));
    }

    /// Counts the end of an attempt.
    pub(super) fn count_attempt(&mut self, outcome: Outcome) {
        *self.attempts.entry(word(outcome)).or_default() += 1;
    }

    fn tally(&mut self, front: &Front, roster: &Roster, open: &Open) -> &mut Tally {
        self.tallies.entry((open.slot, open.class)).or_insert_with(|| Tally {
            class: front.classes[open.class].clone(),
            tenant: open
                .slot
                .and_then(|slot| roster.tenant(slot))
                .map_or(String::new(), |of| of.name.clone()),
            ..Tally::default()
        })
    }

    pub(super) fn count(
        &mut self,
        front: &Front,
        roster: &Roster,
        open: &Open,
        answer: &Answer,
        now: Micros,
    ) {
        let tally = self.tally(front, roster, open);
        match answer {
            Answer::Served(_) => {
                tally.served += 1;
                tally.served_us += (now - open.arrived).0;
            }
            Answer::Rejected { .. } => tally.refused += 1,
            Answer::Failed(_) | Answer::Invalid(_) => tally.failed += 1,
            Answer::Cancelled => tally.cancelled += 1,
        }
    }

    pub(super) fn count_left(&mut self, front: &Front, roster: &Roster, open: &Open) {
        self.tally(front, roster, open).left += 1;
    }
}

/// An outcome's name in metrics and the log.
fn word(outcome: Outcome) -> &'static str {
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
    /// Gives a request its answer. It takes the request out of the table, so a second answer finds none.
    pub(super) fn answer(&mut self, now: Micros, request: u64, answer: Answer, out: &mut Vec<Command>) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.accounting.count(&self.front, &self.roster, &open, &answer, now);
        self.close(now, request, &open, out);
        out.push(Command::Answer { request, answer });
    }

    /// What leaves the table takes its place along, and what is not written of it yet never is.
    pub(super) fn close(&mut self, now: Micros, request: u64, open: &Open, out: &mut Vec<Command>) {
        self.names.remove(&open.arrival.name);
        debug_assert_eq!(self.names.len(), self.requests.len(), "each open request has its name");
        let tries = self.sent.get(&request).map_or(0, |sent| sent.next);
        let unended = (0..tries).filter_map(|attempt| self.attempts.get(&(request, attempt)));
        unended.for_each(|attempt| attempt.cancel_token.cancel());
        if self.sent.get(&request).is_some_and(|sent| sent.out == 0) {
            self.sent.remove(&request);
        }
        let over = open.slot.and_then(|slot| self.roster.request_closed(slot, (now - open.arrived).0));
        self.forget_tenant(now, over, out);
    }
}
