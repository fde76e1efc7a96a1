//! Interprets the engine's responses and reports them to the core.

use super::in_flight::{InFlight, PageOutcome, TableError};
use super::{Connection, ExchangeEnd};
use crate::core::{AttemptEvent, ConnectionEnd};
use crate::upstream::SMALL_RESULT_BYTES;
use crate::upstream::line_protocol::parse::{Response, ResponseKind};
use bytes::BytesMut;
use std::time::Duration;

/// How long a result waits for memory that other results occupy until their clients have them. The connection is not
/// read meanwhile, so the engine sends no more.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(100);

impl Connection {
    /// Handles all complete responses in the receive buffer.
    pub(super) async fn handle_responses(&mut self, received: &mut BytesMut) -> Result<(), ExchangeEnd> {
        loop {
            match self.parser.next(received) {
                Ok(Some(response)) => {
                    self.incomplete_since = None;
                    self.handle_response(response).await?;
                }
                Ok(None) if received.is_empty() => {
                    self.incomplete_since = None;
                    return Ok(());
                }
                Ok(None) => {
                    self.incomplete_since.get_or_insert(self.last_read_at);
                    return Ok(());
                }
                Err(error) => {
                    log::warn!(engine = self.context.engine, error:%; "engine connection closed: invalid response");
                    return Err(ExchangeEnd::Connection(ConnectionEnd::Malformed));
                }
            }
        }
    }

    async fn handle_response(&mut self, response: Response) -> Result<(), ExchangeEnd> {
        if !self.in_flight.contains_key(&response.id) {
            for (attempt, end) in self.unconfirmed_stops.take_confirmed(&response.id) {
                self.context.report_ended(attempt, end).await?;
            }
        }
        if self.handle_health_check_response(&response).await? {
            return Ok(());
        }
        // The engine sent this response before it read the `STOP` of the request.
        let Some(in_flight) = self.in_flight.get_mut(&response.id) else { return Ok(()) };
        in_flight.last_response_at = self.last_read_at;
        let attempt = in_flight.attempt;
        match response.kind {
            ResponseKind::Ok | ResponseKind::Page => self.handle_page(response).await,
            ResponseKind::Status => {
                if let Some(note) = response.fields.note {
                    self.context.report_event(attempt, AttemptEvent::ProgressNote(note)).await?;
                }
                Ok(())
            }
            ResponseKind::EngineFull
            | ResponseKind::Error
            | ResponseKind::DeadlinePassed
            | ResponseKind::Alive
            | ResponseKind::Dead => {
                self.remove_in_flight(&response.id);
                let end = attempt_end(response.kind);
                let event = AttemptEvent::Ended { end, report: response.fields.report };
                Ok(self.context.report_event(attempt, event).await?)
            }
        }
    }

    /// Handles a page of a result. The first one says how many pages there are, and all others are requested at once.
    async fn handle_page(&mut self, response: Response) -> Result<(), ExchangeEnd> {
        self.wait_for_memory(response.body.len()).await;
        let Some(in_flight) = self.in_flight.get_mut(&response.id) else { return Ok(()) };
        match in_flight.add_page(&response) {
            PageOutcome::Unexpected => {
                log::warn!(
                    engine = self.context.engine, request:% = in_flight.attempt, name = response.id.as_str(),
                    page:? = response.fields.page, pages = in_flight.page_count();
                    "engine connection closed: result page was not requested"
                );
                return Err(ExchangeEnd::Connection(ConnectionEnd::Malformed));
            }
            PageOutcome::Duplicate => {
                // Guards against a duplicate answer. The page is dropped, and the other requests are not affected.
                log::debug!(
                    engine = self.context.engine, request:% = in_flight.attempt, name = response.id.as_str();
                    "engine sent a result page twice: second one dropped"
                );
                return Ok(());
            }
            PageOutcome::OverBudget => {
                log::warn!(
                    engine = self.context.engine, request:% = in_flight.attempt, name = response.id.as_str();
                    "result exceeds the buffer limit: attempt stopped"
                );
                self.abandon_request(&response.id, ConnectionEnd::RequestSilent);
                return Ok(());
            }
            PageOutcome::Stored { first: true } => {
                let page_count = in_flight.page_count();
                self.fetch_pages(&response.id, page_count);
            }
            PageOutcome::Stored { first: false } => {}
        }
        if self.in_flight.get(&response.id).is_some_and(InFlight::is_complete)
            && let Some(in_flight) = self.remove_in_flight(&response.id)
        {
            self.report_result(&response.id, in_flight).await?;
        }
        Ok(())
    }

    /// Requests all pages except the first.
    fn fetch_pages(&mut self, client_request_id: &str, page_count: usize) {
        for page in 1..page_count {
            self.output.push(format_args!("FETCH {client_request_id} {page}\r\n"));
        }
    }

    /// Waits until the memory budget has room for a part of a result. A small one needs none.
    async fn wait_for_memory(&self, bytes: usize) {
        if bytes > SMALL_RESULT_BYTES {
            self.context.memory.wait_for(bytes, MEMORY_TIMEOUT).await;
        }
    }

    /// Reports a complete result.
    async fn report_result(
        &mut self,
        client_request_id: &str,
        in_flight: InFlight,
    ) -> Result<(), ExchangeEnd> {
        if in_flight.page_count() > 1 {
            self.output.push(format_args!("END {client_request_id}\r\n"));
        }
        let InFlight { attempt, usage, report, .. } = in_flight;
        self.wait_for_memory(in_flight.table_memory_bytes()).await;
        match in_flight.into_table() {
            Ok(table) => {
                let event = AttemptEvent::Served { table, usage, report };
                Ok(self.context.report_event(attempt, event).await?)
            }
            Err(TableError::OutOfMemory) => {
                log::warn!(
                    engine = self.context.engine, request:% = attempt, name = client_request_id;
                    "no memory for a result: attempt failed"
                );
                let event = AttemptEvent::Ended { end: ConnectionEnd::AnsweredError, report };
                Ok(self.context.report_event(attempt, event).await?)
            }
            Err(TableError::Invalid(error)) => {
                log::warn!(
                    engine = self.context.engine, request:% = attempt, name = client_request_id, error:%;
                    "engine connection closed: invalid result page"
                );
                self.context.report_ended(attempt, ConnectionEnd::Malformed).await?;
                Err(ExchangeEnd::Connection(ConnectionEnd::Malformed))
            }
        }
    }

    /// Stops one request whose answer can no longer be used. The other requests are not affected. The attempt's end is
    /// reported once the engine has read the `STOP`.
    pub(super) fn abandon_request(&mut self, client_request_id: &str, end: ConnectionEnd) {
        let Some(in_flight) = self.stop_request(client_request_id, end) else { return };
        let age_ms = (self.context.clock.now() - in_flight.began_at).as_ms();
        log::debug!(
            engine = self.context.engine, request:% = in_flight.attempt, name = client_request_id,
            reason:? = end, age_ms;
            "attempt stopped: its answer can no longer be used"
        );
        self.request_confirmation();
    }
}

fn attempt_end(kind: ResponseKind) -> ConnectionEnd {
    match kind {
        ResponseKind::EngineFull => ConnectionEnd::AnsweredFull,
        ResponseKind::DeadlinePassed => ConnectionEnd::AnsweredOver,
        _ => ConnectionEnd::AnsweredError,
    }
}
