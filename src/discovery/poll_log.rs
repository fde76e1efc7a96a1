//! Logs failed queries and late responses, without a line for each of them.

use super::{POLL_INTERVAL, QueryError};
use crate::clock::Micros;

/// Of consecutive events of one kind, the first of each group of this many is logged as a warning, the others at debug
/// level.
const EVENTS_PER_WARNING: u32 = 25;

/// Numbers of consecutive failed queries and of consecutive late responses.
#[derive(Debug, Default)]
pub(super) struct PollLog {
    failures: u32,
    late_responses: u32,
}

impl PollLog {
    /// Records a poll interval in which no usable response arrived.
    pub(super) fn failed(&mut self, error: &QueryError) {
        self.failures += 1;
        let count = self.failures;
        match count % EVENTS_PER_WARNING {
            1 => log::warn!(error:%, count; "name service: query failed"),
            _ => log::debug!(error:%, count; "name service: query failed"),
        }
    }

    /// Records a usable response, and how long it took.
    pub(super) fn responded(&mut self, delay: Micros) {
        if self.failures >= EVENTS_PER_WARNING {
            log::info!(count = self.failures; "name service: responds again after failed queries");
        }
        self.failures = 0;
        if delay.to_duration() <= POLL_INTERVAL {
            self.late_responses = 0;
            return;
        }
        self.late_responses += 1;
        let (delay_ms, count) = (delay.as_ms(), self.late_responses);
        match count % EVENTS_PER_WARNING {
            1 => log::warn!(delay_ms, count; "name service: response is late"),
            _ => log::debug!(delay_ms, count; "name service: response is late"),
        }
    }
}
