//! Timers of the scheduler, and their tokens for the embedding program.

use super::types::RequestId;

/// Token of the upkeep timer. The token of a request's timer is the request id plus one.
const UPKEEP_TOKEN: u64 = 0;

/// Purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TimerPurpose {
    /// The next round of upkeep.
    Upkeep,
    /// The request has to be answered now.
    RequestDeadline(RequestId),
}

impl From<u64> for TimerPurpose {
    fn from(token: u64) -> TimerPurpose {
        match token {
            UPKEEP_TOKEN => TimerPurpose::Upkeep,
            token => TimerPurpose::RequestDeadline(RequestId(token - 1)),
        }
    }
}

impl TimerPurpose {
    /// The token of the timer.
    pub(super) fn token(self) -> u64 {
        match self {
            TimerPurpose::Upkeep => UPKEEP_TOKEN,
            TimerPurpose::RequestDeadline(RequestId(id)) => id + 1,
        }
    }
}
