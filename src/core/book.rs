//! Book: gives the one final answer, and counts it.

use super::{Answer, Command, Core, Open};
use crate::clock::Micros;
use crate::interface::Outcome;
use crate::settings::Front;
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
#[derive(Debug, Clone, Default, Serialize)]
pub struct Books {
    /// One tally for each class and tenant.
    pub tallies: Vec<Tally>,
    /// Ends of attempts, by outcome.
    pub attempts: BTreeMap<String, u64>,
}

impl Books {
    pub(super) fn new(front: &Front) -> Books {
        let nobody = [String::new()];
        let tenants: &[String] = if front.tenants.is_empty() { &nobody } else { &front.tenants };
        let tally = |class: &String, tenant: &String| Tally {
            class: class.clone(),
            tenant: tenant.clone(),
            ..Tally::default()
        };
        let pairs = front.classes.iter().flat_map(|class| tenants.iter().map(move |tenant| (class, tenant)));
        let tallies = pairs.map(|(class, tenant)| tally(class, tenant)).collect();
        Books { tallies, attempts: BTreeMap::new() }
    }

    /// Counts the end of an attempt.
    pub(super) fn count_attempt(&mut self, outcome: Outcome) {
        *self.attempts.entry(format!("{outcome:?}")).or_default() += 1;
    }

    fn tally(&mut self, front: &Front, open: &Open) -> Option<&mut Tally> {
        let width = front.tenants.len().max(1);
        let named = open.arrival.tenant.as_deref();
        let tenant = named.and_then(|name| front.tenants.iter().position(|known| known == name)).unwrap_or(0);
        self.tallies.get_mut(open.class * width + tenant)
    }

    pub(super) fn count(&mut self, front: &Front, open: &Open, answer: &Answer, now: Micros) {
        let Some(tally) = self.tally(front, open) else { return };
        match answer {
            Answer::Served(_) => {
                tally.served += 1;
                tally.served_us += (now - open.arrived).0;
            }
            Answer::Refused { .. } => tally.refused += 1,
            Answer::Failed | Answer::Invalid(_) => tally.failed += 1,
            Answer::Cancelled => tally.cancelled += 1,
        }
    }

    pub(super) fn count_left(&mut self, front: &Front, open: &Open) {
        if let Some(tally) = self.tally(front, open) {
            tally.left += 1;
        }
    }
}

impl Core {
    /// Gives a request its answer. It takes the request out of the table, so a second answer finds none.
    pub(super) fn answer(&mut self, now: Micros, request: u64, answer: Answer, out: &mut Vec<Command>) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.books.count(&self.front, &open, &answer, now);
        self.close(request, &open);
        out.push(Command::Answer { request, answer });
    }

    pub(super) fn close(&mut self, request: u64, open: &Open) {
        self.names.remove(&open.arrival.name);
        if !self.attempts.keys().any(|(other, _)| *other == request) {
            self.sent.remove(&request);
        }
    }
}
