//! Attempts that are to stop. Each is in flight until the engine has read its `STOP`, which it shows with the answer to
//! any line behind that: lines are read in order.

use crate::core::{AttemptId, ConnectionEnd};
use std::collections::BTreeSet;

/// Attempts that may wait for the answer to a health check; beyond that one is asked for.
const MAX_UNCONFIRMED: usize = 64;
/// Prefix of the tags of health checks.
pub(super) const HEALTH_CHECK_PREFIX: char = 'p';
/// Prefix of the tags of lines that are written for their answer alone.
const CONFIRMATION_PREFIX: char = 'h';

/// The number of a line that the engine answers, in the order in which they are written.
pub(super) type TagNumber = u64;

/// An attempt whose `STOP` is written.
#[derive(Debug)]
struct StoppingAttempt {
    attempt: AttemptId,
    /// How it ends.
    end: ConnectionEnd,
    /// The first line behind its `STOP`.
    shown_by: TagNumber,
}

/// The attempts of one connection that are to stop, and the lines whose answers show that they have.
#[derive(Debug, Default)]
pub(super) struct Stopping {
    last_tag: TagNumber,
    attempts: Vec<StoppingAttempt>,
    /// Lines that were written for their answers alone, which are still to come.
    confirmations: BTreeSet<TagNumber>,
}

impl Stopping {
    /// A tag for a line that the engine answers.
    pub(super) fn next_tag(&mut self, prefix: char) -> String {
        self.last_tag += 1;
        format!("{prefix}{}", self.last_tag)
    }

    /// The `STOP` of an attempt is written.
    pub(super) fn push(&mut self, attempt: AttemptId, end: ConnectionEnd) {
        self.attempts.push(StoppingAttempt { attempt, end, shown_by: self.last_tag + 1 });
    }

    /// The tag of a line to write, so that the engine shows soon that it has read all `STOP`s; none where one is on
    /// its way, or nothing is to be shown.
    pub(super) fn confirm(&mut self) -> Option<String> {
        let last = self.attempts.last()?;
        if self.confirmations.last().is_some_and(|tag| *tag >= last.shown_by) {
            return None;
        }
        let tag = self.next_tag(CONFIRMATION_PREFIX);
        self.confirmations.insert(self.last_tag);
        Some(tag)
    }

    /// Whether too many wait for the answer to a health check.
    pub(super) fn is_crowded(&self) -> bool {
        self.attempts.len() >= MAX_UNCONFIRMED
    }

    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.attempts.iter().any(|stopping| stopping.attempt == attempt)
    }

    /// The engine has answered the line with this tag: what it shows to have stopped, with its end.
    pub(super) fn answered(&mut self, tag: &str) -> Vec<(AttemptId, ConnectionEnd)> {
        let Some(number) = self.number_of(tag) else { return Vec::new() };
        self.confirmations.remove(&number);
        let is_shown = |stopping: &mut StoppingAttempt| stopping.shown_by <= number;
        let shown = self.attempts.extract_if(.., is_shown);
        shown.map(|stopping| (stopping.attempt, stopping.end)).collect()
    }

    fn number_of(&self, tag: &str) -> Option<TagNumber> {
        let number = tag.strip_prefix([CONFIRMATION_PREFIX, HEALTH_CHECK_PREFIX])?;
        number.parse().ok().filter(|number| *number <= self.last_tag)
    }

    /// Whether the engine owes an answer that was asked for to show that it has read a `STOP`.
    pub(super) fn awaits_confirmation(&self) -> bool {
        !self.confirmations.is_empty()
    }

    /// Takes all attempts out.
    pub(super) fn take(&mut self) -> impl Iterator<Item = AttemptId> {
        std::mem::take(&mut self.attempts).into_iter().map(|stopping| stopping.attempt)
    }
}
