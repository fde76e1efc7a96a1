//! Applies the commands of the engine's task: starts and cancels attempts, changes priorities, sends health checks.

use super::in_flight::InFlight;
use super::output::{QueuedRequest, Withdrawal};
use super::{Connection, ExchangeEnd};
use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::{Call, ConnectionEnd};
use crate::upstream::EndpointCommand;
use crate::upstream::line_protocol::parse;
use tokio::sync::mpsc;

impl Connection {
    /// Applies a command and all that are queued behind it.
    pub(super) fn apply_commands(
        &mut self,
        first: EndpointCommand,
        waiting: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Result<(), ExchangeEnd> {
        let now = self.context.clock.now();
        let mut next = Some(first);
        while let Some(command) = next {
            self.apply_command(command, now)?;
            next = waiting.try_recv().ok();
        }
        Ok(())
    }

    fn apply_command(&mut self, command: EndpointCommand, now: Micros) -> Result<(), ExchangeEnd> {
        self.last_command_at = now;
        match command {
            EndpointCommand::Start { attempt, call } => {
                self.output.queued.push_back(QueuedRequest { attempt, call });
            }
            EndpointCommand::Cancel { attempt, confirm } => self.cancel(attempt, confirm)?,
            EndpointCommand::SetPriority { attempt, priority } => self.set_priority(attempt, priority),
            EndpointCommand::HealthCheck => self.send_health_check(now),
            // The engine's task applies it: new connections are opened to the new address.
            EndpointCommand::SetAddress(_) => {}
        }
        Ok(())
    }

    /// Moves the next queued request to the buffer once the buffer is empty. A request whose permit no longer allows it
    /// to be sent, for example since it was cancelled meanwhile, is never written.
    pub(super) fn begin_requests(&mut self) {
        while self.output.buffer.is_empty()
            && let Some(QueuedRequest { attempt, call }) = self.output.queued.pop_front()
        {
            let now = self.context.clock.now();
            match call.permit.remaining(now) {
                None => self.record_never_written(attempt),
                Some(remaining) => self.begin(attempt, call, now, remaining),
            }
        }
    }

    fn begin(&mut self, attempt: AttemptId, call: Call, now: Micros, remaining: Micros) {
        let remaining_ms = parse::remaining_ms(remaining.to_duration());
        let key = call.idempotency_key.map(|key| format!(",op={key}")).unwrap_or_default();
        let Call { client_request_id: name, class, priority, statement, .. } = call;
        let length = statement.len();
        self.output.begin(
            name.clone(),
            attempt,
            format_args!(
                "REQ {name} sort={class},patience={remaining_ms}{key},urgency={priority} {length}\r\n{statement}\r\n"
            ),
        );
        self.in_flight.insert(name, InFlight::new(attempt, now, self.context.result_budget()));
    }

    /// Records that an attempt was never completely written, so it was never executed.
    fn record_never_written(&mut self, attempt: AttemptId) {
        self.decrement_load();
        self.never_written.push(attempt);
    }

    /// Cancels an attempt. If it is partly written, the connection has to end.
    fn cancel(&mut self, attempt: AttemptId, confirm: bool) -> Result<(), ExchangeEnd> {
        match self.output.withdraw(attempt) {
            Withdrawal::Queued => self.record_never_written(attempt),
            Withdrawal::Buffered(partial) => {
                self.remove_in_flight(&partial.client_request_id);
                self.never_written.push(attempt);
            }
            Withdrawal::PartlyWritten(partial) => {
                self.remove_in_flight(&partial.client_request_id);
                self.never_written.push(attempt);
                return Err(ExchangeEnd::Connection(ConnectionEnd::ClosedHere));
            }
            Withdrawal::Absent => self.cancel_written(attempt, confirm),
        }
        Ok(())
    }

    fn cancel_written(&mut self, attempt: AttemptId, confirm: bool) {
        if let Some(client_request_id) = self.request_of(attempt) {
            self.stop_request(&client_request_id, ConnectionEnd::Cancelled);
        }
        if (confirm && self.unconfirmed_stops.contains(attempt)) || self.unconfirmed_stops.is_at_limit() {
            self.request_confirmation();
        }
    }

    /// Sends `STOP` for a written request. The end of its attempt is reported once a response shows that the engine has
    /// read the `STOP`.
    pub(super) fn stop_request(&mut self, client_request_id: &str, end: ConnectionEnd) -> Option<InFlight> {
        let in_flight = self.remove_in_flight(client_request_id)?;
        self.output.push(format_args!("STOP {client_request_id}\r\n"));
        self.unconfirmed_stops.push(in_flight.attempt, end);
        Some(in_flight)
    }

    /// Has the engine confirm at once that it has read all `STOP`s, not only with the next health check.
    pub(super) fn request_confirmation(&mut self) {
        if let Some(tag) = self.unconfirmed_stops.confirmation_tag() {
            self.output.push(format_args!("HELO {tag}\r\n"));
        }
    }

    fn set_priority(&mut self, attempt: AttemptId, priority: u8) {
        let queued = self.output.queued.iter_mut().filter(|queued| queued.attempt == attempt);
        queued.for_each(|queued| queued.call.priority = priority);
        if let Some(client_request_id) = self.request_of(attempt) {
            self.output.push(format_args!("NICE {client_request_id} {priority}\r\n"));
        }
    }

    fn request_of(&self, attempt: AttemptId) -> Option<String> {
        let mut in_flight = self.in_flight.iter();
        in_flight
            .find(|(_, in_flight)| in_flight.attempt == attempt)
            .map(|(client_request_id, _)| client_request_id.clone())
    }

    pub(super) fn remove_in_flight(&mut self, client_request_id: &str) -> Option<InFlight> {
        let removed = self.in_flight.remove(client_request_id);
        if removed.is_some() {
            self.decrement_load();
        }
        removed
    }
}
