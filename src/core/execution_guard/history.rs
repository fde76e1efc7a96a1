//! The history of one request's attempts.

use super::possible_executions::PossibleExecution;
use crate::clock::Micros;
use crate::decision::Outcome;

/// Stands for the number of an attempt of an earlier request with the same identity. No attempt of this request
/// has it.
const ATTEMPT_OF_EARLIER_REQUEST: u32 = u32::MAX;

/// An attempt that was possibly executed.
#[derive(Debug, Clone, Copy)]
struct PossiblyExecuted {
    /// The attempt's number among those of the request, or [`ATTEMPT_OF_EARLIER_REQUEST`].
    number: u32,
    started_at: Micros,
}

/// The history of one request's attempts.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// The number of attempts so far, including denied ones; also the number of the next attempt.
    pub(super) next_number: u32,
    /// The number of attempts in flight.
    pub(super) in_flight: u32,
    /// Whether the request has its final answer, or its client disconnected.
    pub(super) is_closed: bool,
    /// The first attempt that possibly executed the request.
    possibly_executed: Option<PossiblyExecuted>,
}

impl AttemptHistory {
    /// Returns the history of a new request. `execution` is the first possibly executed attempt of earlier
    /// requests with the same identity, if there is one.
    pub(super) fn following(execution: Option<PossibleExecution>) -> AttemptHistory {
        let possibly_executed = execution.map(|first| PossiblyExecuted {
            number: ATTEMPT_OF_EARLIER_REQUEST,
            started_at: first.started_at,
        });
        AttemptHistory { possibly_executed, ..AttemptHistory::default() }
    }

    /// Counts a new attempt, which is in flight and possibly executed from now on. Returns its number.
    pub(super) fn start(&mut self, now: Micros) -> u32 {
        let number = self.allocate_number();
        self.in_flight += 1;
        self.possibly_executed.get_or_insert(PossiblyExecuted { number, started_at: now });
        number
    }

    /// Allocates the number of an attempt, without counting it as in flight.
    pub(super) fn allocate_number(&mut self) -> u32 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Records an attempt's outcome. If it shows that the attempt was never executed, the attempt is no longer the
    /// first possibly executed one.
    pub(super) fn record_outcome(&mut self, number: u32, outcome: Outcome) {
        let was_never_executed =
            |first: &PossiblyExecuted| outcome.never_executed() && first.number == number;
        self.possibly_executed = self.possibly_executed.filter(|first| !was_never_executed(first));
    }

    /// Returns when the first possibly executed attempt started; `None` if the request was never executed.
    pub(super) fn possibly_executed_at(&self) -> Option<Micros> {
        self.possibly_executed.map(|first| first.started_at)
    }

    /// Returns whether the request is closed and has no attempt in flight, so that the history is no longer needed.
    pub(super) fn can_be_removed(&self) -> bool {
        self.is_closed && self.in_flight == 0
    }
}
