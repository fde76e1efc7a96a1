//! Carries out the commands of the engine's task: begins and cancels attempts, sends health checks.

use super::in_flight::InFlight;
use super::output::{QueuedRequest, Withdrawn};
use super::stopping::HEALTH_CHECK_PREFIX;
use super::{Connection, Stop};
use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::{Call, ConnectionEnd};
use crate::upstream::EndpointCommand;
use crate::upstream::line_protocol::parse;
use tokio::sync::mpsc;

impl Connection {
    /// Carries out a command and all that wait behind it.
    pub(super) fn commands(
        &mut self,
        first: EndpointCommand,
        waiting: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Result<(), Stop> {
        let now = self.context.clock.now();
        let mut next = Some(first);
        while let Some(command) = next {
            self.command(command, now)?;
            next = waiting.try_recv().ok();
        }
        Ok(())
    }

    fn command(&mut self, command: EndpointCommand, now: Micros) -> Result<(), Stop> {
        self.last_command = now;
        match command {
            EndpointCommand::Start { attempt, call } => {
                self.output.queued.push_back(QueuedRequest { attempt, call });
            }
            EndpointCommand::Cancel { attempt, confirm } => self.cancel(attempt, confirm)?,
            EndpointCommand::SetPriority { attempt, priority } => self.set_priority(attempt, priority),
            EndpointCommand::HealthCheck => self.send_health_check(now),
            // The engine's task opens connections to the new address.
            EndpointCommand::Address(_) => {}
        }
        Ok(())
    }

    /// Begins to write the next request once all before it is written; one that was cancelled meanwhile is never
    /// written.
    pub(super) fn begin_requests(&mut self) {
        while self.output.buffer.is_empty()
            && let Some(QueuedRequest { attempt, call }) = self.output.queued.pop_front()
        {
            let now = self.context.clock.now();
            match call.permit.remaining(now) {
                None => self.give_back(attempt),
                Some(remaining) => self.begin(attempt, call, now, remaining),
            }
        }
    }

    fn begin(&mut self, attempt: AttemptId, call: Call, now: Micros, remaining: Micros) {
        let patience = parse::remaining_ms(remaining.to_duration());
        let key = call.idempotency_key.map(|key| format!(",op={key}")).unwrap_or_default();
        let Call { client_request_id: name, class, priority, statement, .. } = call;
        let length = statement.len();
        self.output.begin(
            name.clone(),
            attempt,
            format_args!(
                "REQ {name} sort={class},patience={patience}{key},urgency={priority} {length}\r\n{statement}\r\n"
            ),
        );
        self.in_flight.insert(name, InFlight::new(attempt, now, self.context.collect()));
    }

    /// Nothing, or not all, of an attempt was written: it never ran.
    fn give_back(&mut self, attempt: AttemptId) {
        self.release();
        self.never_written.push(attempt);
    }

    /// Cancels an attempt. One that is partly written ends the connection.
    fn cancel(&mut self, attempt: AttemptId, confirm: bool) -> Result<(), Stop> {
        match self.output.withdraw(attempt) {
            Withdrawn::Queued => self.give_back(attempt),
            Withdrawn::Buffered(partial) => {
                self.remove_in_flight(&partial.request);
                self.never_written.push(attempt);
            }
            Withdrawn::PartlyWritten(partial) => {
                self.remove_in_flight(&partial.request);
                self.never_written.push(attempt);
                return Err(Stop::Connection(ConnectionEnd::ClosedHere));
            }
            Withdrawn::Absent => self.cancel_written(attempt, confirm),
        }
        Ok(())
    }

    fn cancel_written(&mut self, attempt: AttemptId, confirm: bool) {
        if let Some(request) = self.request_of(attempt) {
            self.stop_request(&request, ConnectionEnd::Cancelled);
        }
        if (confirm && self.stopping.contains(attempt)) || self.stopping.is_crowded() {
            self.confirm_stops();
        }
    }

    /// Stops a request that was written. The end of its attempt is reported once the engine shows that it has read the
    /// stop.
    pub(super) fn stop_request(&mut self, request: &str, end: ConnectionEnd) -> Option<InFlight> {
        let in_flight = self.remove_in_flight(request)?;
        self.output.push(format_args!("STOP {request}\r\n"));
        self.stopping.push(in_flight.attempt, end);
        Some(in_flight)
    }

    /// Has the engine show soon that it has read all stops, not only with the next health check.
    pub(super) fn confirm_stops(&mut self) {
        if let Some(tag) = self.stopping.confirm() {
            self.output.push(format_args!("HELO {tag}\r\n"));
        }
    }

    fn set_priority(&mut self, attempt: AttemptId, priority: u8) {
        let queued = self.output.queued.iter_mut().filter(|queued| queued.attempt == attempt);
        queued.for_each(|queued| queued.call.priority = priority);
        if let Some(request) = self.request_of(attempt) {
            self.output.push(format_args!("NICE {request} {priority}\r\n"));
        }
    }

    fn send_health_check(&mut self, now: Micros) {
        let tag = self.stopping.next_tag(HEALTH_CHECK_PREFIX);
        self.output.push(format_args!("STAT {tag}\r\n"));
        self.health_checks.insert(tag, now);
    }

    fn request_of(&self, attempt: AttemptId) -> Option<String> {
        let mut in_flight = self.in_flight.iter();
        in_flight.find(|(_, in_flight)| in_flight.attempt == attempt).map(|(request, _)| request.clone())
    }

    pub(super) fn remove_in_flight(&mut self, request: &str) -> Option<InFlight> {
        let removed = self.in_flight.remove(request);
        if removed.is_some() {
            self.release();
        }
        removed
    }
}
