//! The gateway's timers and the tokens by which the embedding program knows them.

use super::types::RequestId;

/// Token of the upkeep timer; a request's timer has its id plus one.
const UPKEEP_TOKEN: u64 = 0;

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TimerPurpose {
    /// The next round of upkeep.
    Upkeep,
    /// A request has to be answered.
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
    /// The token that stands for it.
    pub(super) fn token(self) -> u64 {
        match self {
            TimerPurpose::Upkeep => UPKEEP_TOKEN,
            TimerPurpose::RequestDeadline(RequestId(id)) => id + 1,
        }
    }
}
