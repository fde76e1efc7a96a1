//! Attempts whose `STOP` is written but not confirmed. Each is in flight until the engine has read its `STOP`. Engines
//! read lines in order, so the response to any later line confirms the `STOP`.

use crate::core::{AttemptId, ConnectionEnd};
use std::collections::BTreeSet;

/// Number of unconfirmed `STOP`s at which a confirmation is requested. Fewer wait for the next health check.
const MAX_UNCONFIRMED_STOPS: usize = 64;
/// Prefix of the tags of health checks (`STAT`).
pub(super) const HEALTH_CHECK_PREFIX: char = 'p';
/// Prefix of the tags of confirmation requests (`HELO`), which are sent only for their response.
const CONFIRMATION_PREFIX: char = 'h';

/// Number of a tagged line, in the order of writing.
pub(super) type TagNumber = u64;

/// An attempt whose `STOP` is written but not confirmed.
#[derive(Debug)]
struct UnconfirmedStop {
    attempt: AttemptId,
    /// The end to report once the `STOP` is confirmed.
    end: ConnectionEnd,
    /// Number of the first tagged line after its `STOP`.
    confirmed_by: TagNumber,
}

/// The unconfirmed `STOP`s of one connection, and the numbers of its tagged lines.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedStops {
    last_tag: TagNumber,
    attempts: Vec<UnconfirmedStop>,
    /// Confirmation requests that the engine has not answered.
    confirmations: BTreeSet<TagNumber>,
}

impl UnconfirmedStops {
    /// Returns the tag of the next tagged line.
    pub(super) fn next_tag(&mut self, prefix: char) -> String {
        self.last_tag += 1;
        format!("{prefix}{}", self.last_tag)
    }

    /// Records that the `STOP` of an attempt is written.
    pub(super) fn push(&mut self, attempt: AttemptId, end: ConnectionEnd) {
        self.attempts.push(UnconfirmedStop { attempt, end, confirmed_by: self.last_tag + 1 });
    }

    /// Returns the tag of a confirmation request to write. `None` if there is no unconfirmed `STOP`, or if an open
    /// request confirms all of them.
    pub(super) fn confirmation_tag(&mut self) -> Option<String> {
        let last = self.attempts.last()?;
        if self.confirmations.last().is_some_and(|tag| *tag >= last.confirmed_by) {
            return None;
        }
        let tag = self.next_tag(CONFIRMATION_PREFIX);
        self.confirmations.insert(self.last_tag);
        Some(tag)
    }

    /// Returns whether so many `STOP`s are unconfirmed that a confirmation has to be requested.
    pub(super) fn is_at_limit(&self) -> bool {
        self.attempts.len() >= MAX_UNCONFIRMED_STOPS
    }

    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.attempts.iter().any(|stop| stop.attempt == attempt)
    }

    /// Records that the engine has answered the line with this tag. Removes and returns the attempts whose `STOP` this
    /// confirms, with their ends.
    pub(super) fn take_confirmed(&mut self, tag: &str) -> Vec<(AttemptId, ConnectionEnd)> {
        let Some(number) = self.number_of(tag) else { return Vec::new() };
        self.confirmations.remove(&number);
        let is_confirmed = |stop: &mut UnconfirmedStop| stop.confirmed_by <= number;
        let confirmed = self.attempts.extract_if(.., is_confirmed);
        confirmed.map(|stop| (stop.attempt, stop.end)).collect()
    }

    fn number_of(&self, tag: &str) -> Option<TagNumber> {
        let number = tag.strip_prefix([CONFIRMATION_PREFIX, HEALTH_CHECK_PREFIX])?;
        number.parse().ok().filter(|number| *number <= self.last_tag)
    }

    /// Returns whether the engine owes the response to a confirmation request.
    pub(super) fn awaits_confirmation(&self) -> bool {
        !self.confirmations.is_empty()
    }

    /// Removes and returns all attempts.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = AttemptId> {
        std::mem::take(&mut self.attempts).into_iter().map(|stop| stop.attempt)
    }
}
