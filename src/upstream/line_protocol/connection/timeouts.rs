//! Timeouts of a connection: an engine that sends nothing, or nothing about one request; incomplete responses;
//! unanswered health checks; an idle connection.

use super::{Connection, ExchangeEnd};
use crate::clock::Micros;
use crate::core::ConnectionEnd;
use std::time::Instant;

impl Connection {
    /// Starts the timers of due responses and of unwritten bytes that are not running yet.
    pub(super) fn start_timers(&mut self) {
        let now = self.context.clock.now();
        if self.is_response_due() {
            self.response_due_since.get_or_insert(now);
        }
        self.output.update_stall_timer(now);
    }

    /// Returns when [`Connection::handle_timeouts`] has to be called next.
    pub(super) fn next_timeout(&self) -> Instant {
        let limits = &self.context.limits;
        let health_check = self.health_checks.next_timeout(limits.health_check_timeout);
        let reported = self.in_flight.values().filter(|_| limits.engines_report_progress);
        let silent_requests = reported.map(|in_flight| in_flight.last_response_at + limits.silence_timeout);
        let incomplete = self.incomplete_since.map(|since| since + limits.incomplete_response_timeout);
        let others = [health_check, self.silent_at(), incomplete].into_iter().flatten();
        let first = silent_requests.chain(others).min();
        let at = first.unwrap_or(self.last_command_at + limits.idle_timeout);
        self.context.clock.instant(at)
    }

    fn is_busy(&self) -> bool {
        !self.in_flight.is_empty()
            || self.health_checks.is_pending()
            || self.unconfirmed_stops.awaits_confirmation()
            || !self.output.queued.is_empty()
    }

    /// Returns whether the engine owes a response.
    fn is_response_due(&self) -> bool {
        let reports = self.context.limits.engines_report_progress && !self.in_flight.is_empty();
        reports || self.health_checks.is_pending() || self.unconfirmed_stops.awaits_confirmation()
    }

    /// Returns when the engine counts as disconnected or hanging, since it owes a response and sends none, or reads
    /// nothing.
    fn silent_at(&self) -> Option<Micros> {
        let since = self.response_due_since.into_iter().chain(self.output.stalled_since).min();
        since.map(|since| since + self.context.limits.silence_timeout)
    }

    /// Handles the expired timeouts.
    pub(super) async fn handle_timeouts(&mut self) -> Result<(), ExchangeEnd> {
        let now = self.context.clock.now();
        if self.silent_at().is_some_and(|at| now >= at) {
            return Err(ExchangeEnd::Connection(ConnectionEnd::Silent));
        }
        // Guards against a response that stays incomplete, or arrives too slowly. It blocks all responses behind it.
        let incomplete_response_timeout = self.context.limits.incomplete_response_timeout;
        if self.incomplete_since.is_some_and(|since| now >= since + incomplete_response_timeout) {
            log::warn!(
                engine = self.context.engine;
                "engine connection closed: response not complete within the time limit"
            );
            return Err(ExchangeEnd::Connection(ConnectionEnd::Malformed));
        }
        self.abandon_silent_requests(now);
        if !self.is_busy() && now >= self.last_command_at + self.context.limits.idle_timeout {
            return Err(ExchangeEnd::Idle);
        }
        Ok(self.time_out_health_checks(now).await?)
    }

    /// Stops requests about which the engine sends nothing. Guards against an answer or a page that never arrives: the
    /// request can be retried before its deadline.
    fn abandon_silent_requests(&mut self, now: Micros) {
        let limits = &self.context.limits;
        if !limits.engines_report_progress {
            return;
        }
        let oldest = now - limits.silence_timeout;
        let silent_requests =
            self.in_flight.iter().filter(|(_, in_flight)| in_flight.last_response_at <= oldest);
        let requests: Vec<String> =
            silent_requests.map(|(client_request_id, _)| client_request_id.clone()).collect();
        for client_request_id in requests {
            log::warn!(
                engine = self.context.engine, name = client_request_id.as_str();
                "engine sent nothing about a request within the silence timeout: attempt stopped"
            );
            self.abandon_request(&client_request_id, ConnectionEnd::RequestSilent);
        }
    }
}
