//! The health checks of a connection that the engine has not answered.

use super::Connection;
use super::stopping::HEALTH_CHECK_PREFIX;
use crate::clock::Micros;
use crate::core::ConnectionEnd;
use crate::service::ServiceEnded;
use crate::upstream::line_protocol::parse::{Response, ResponseKind};
use std::collections::{HashMap, VecDeque};

/// Maximum of health checks that have timed out and whose answer is still accepted. The oldest one is dropped for a new
/// one.
const MAX_LATE_CHECKS: usize = 64;

/// The unanswered health checks of one connection.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    /// Send time of each health check that has not timed out, by tag.
    pending: HashMap<String, Micros>,
    /// Health checks that were reported as timed out, oldest first. An answer shows nevertheless that the engine is up.
    /// Without it, an engine whose answers are always late would stay ejected.
    late: VecDeque<LateCheck>,
}

#[derive(Debug)]
struct LateCheck {
    tag: String,
    sent_at: Micros,
}

impl HealthChecks {
    pub(super) fn insert(&mut self, tag: String, now: Micros) {
        self.pending.insert(tag, now);
    }

    /// Returns whether a health check is unanswered that has not timed out.
    pub(super) fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns when the next health check times out; `None` if none is pending.
    pub(super) fn next_timeout(&self, timeout: Micros) -> Option<Micros> {
        self.pending.values().min().map(|sent_at| *sent_at + timeout)
    }

    /// Removes the health check with this tag, and returns when it was sent.
    fn take_answered(&mut self, tag: &str) -> Option<Micros> {
        self.pending.remove(tag).or_else(|| {
            let index = self.late.iter().position(|check| check.tag == tag)?;
            self.late.remove(index).map(|check| check.sent_at)
        })
    }

    /// Returns the send times of the health checks that time out now. Their answers are still accepted.
    fn time_out(&mut self, now: Micros, timeout: Micros) -> Vec<Micros> {
        let oldest = now - timeout;
        let timed_out = self.pending.extract_if(|_, sent_at| *sent_at <= oldest);
        let timed_out: Vec<LateCheck> = timed_out.map(|(tag, sent_at)| LateCheck { tag, sent_at }).collect();
        let sent_at = timed_out.iter().map(|check| check.sent_at).collect();
        self.late.extend(timed_out);
        let excess = self.late.len().saturating_sub(MAX_LATE_CHECKS);
        self.late.drain(..excess);
        sent_at
    }

    /// Removes all health checks. Returns the send times of those that have not timed out.
    fn take_pending(&mut self) -> Vec<Micros> {
        self.late.clear();
        std::mem::take(&mut self.pending).into_values().collect()
    }
}

impl Connection {
    pub(super) fn send_health_check(&mut self, now: Micros) {
        let tag = self.unconfirmed_stops.next_tag(HEALTH_CHECK_PREFIX);
        self.output.push(format_args!("STAT {tag}\r\n"));
        self.health_checks.insert(tag, now);
    }

    /// Reports the answer to a health check. Returns false if the response answers none.
    pub(super) async fn handle_health_check_response(
        &mut self,
        response: &Response,
    ) -> Result<bool, ServiceEnded> {
        let Some(sent_at) = self.health_checks.take_answered(&response.id) else { return Ok(false) };
        let end = health_check_end(response.kind);
        let elapsed = self.last_read_at - sent_at;
        self.context.report_health_check(end, response.fields.report, elapsed).await?;
        Ok(true)
    }

    /// Reports the health checks that time out now. A late answer is reported beside that.
    pub(super) async fn time_out_health_checks(&mut self, now: Micros) -> Result<(), ServiceEnded> {
        for sent_at in self.health_checks.time_out(now, self.context.limits.health_check_timeout) {
            self.context.report_health_check(ConnectionEnd::TimedOut, None, now - sent_at).await?;
        }
        Ok(())
    }

    /// Reports that the connection has ended before the pending health checks were answered.
    pub(super) async fn report_health_checks(&mut self, end: ConnectionEnd) -> Result<(), ServiceEnded> {
        let now = self.context.clock.now();
        for sent_at in self.health_checks.take_pending() {
            self.context.report_health_check(end, None, now - sent_at).await?;
        }
        Ok(())
    }
}

fn health_check_end(kind: ResponseKind) -> ConnectionEnd {
    match kind {
        ResponseKind::Alive => ConnectionEnd::Answered,
        ResponseKind::EngineFull => ConnectionEnd::AnsweredFull,
        _ => ConnectionEnd::AnsweredError,
    }
}
