//! The attempts of one request so far.

use super::executions::Execution;
use crate::clock::Micros;
use crate::decision::Outcome;

/// Stands for an attempt of a request before this one, with its name or key.
const BEFORE_THE_FIRST: u32 = u32::MAX;

/// An attempt that is not known to have not been executed.
#[derive(Debug, Clone, Copy)]
struct PossiblyExecuted {
    /// The attempt's number.
    number: u32,
    started_at: Micros,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// How many were started; the number of the next.
    pub(super) started: u32,
    /// How many engines may still execute.
    pub(super) in_flight: u32,
    /// The request has its answer, or its client is gone.
    pub(super) is_closed: bool,
    /// The first attempt that the request may have been executed by.
    possibly_executed: Option<PossiblyExecuted>,
}

impl AttemptHistory {
    /// The history of a request that has come before, and was possibly executed then.
    pub(super) fn after(execution: Option<Execution>) -> AttemptHistory {
        let possibly_executed = execution
            .map(|first| PossiblyExecuted { number: BEFORE_THE_FIRST, started_at: first.started_at });
        AttemptHistory { possibly_executed, ..AttemptHistory::default() }
    }

    /// Counts a new attempt, from now on possibly executed, and gives its number.
    pub(super) fn start(&mut self, now: Micros) -> u32 {
        let number = self.skip_number();
        self.in_flight += 1;
        self.possibly_executed.get_or_insert(PossiblyExecuted { number, started_at: now });
        number
    }

    /// Gives the number of an attempt that is not started after all.
    pub(super) fn skip_number(&mut self) -> u32 {
        let number = self.started;
        self.started += 1;
        number
    }

    /// Takes over how an attempt ended.
    pub(super) fn conclude(&mut self, number: u32, outcome: Outcome) {
        let was_never_executed =
            |first: &PossiblyExecuted| outcome.never_executed() && first.number == number;
        self.possibly_executed = self.possibly_executed.filter(|first| !was_never_executed(first));
    }

    /// When the first attempt started that the request may have been executed by.
    pub(super) fn possibly_executed_at(&self) -> Option<Micros> {
        self.possibly_executed.map(|first| first.started_at)
    }

    /// Whether nothing refers to the request any more.
    pub(super) fn is_over(&self) -> bool {
        self.is_closed && self.in_flight == 0
    }
}
