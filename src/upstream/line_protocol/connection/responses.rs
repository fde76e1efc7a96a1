//! Interprets the engine's responses and reports them to the core.

use super::in_flight::{InFlight, PageOutcome};
use super::{Connection, Stop};
use crate::core::{AttemptEvent, ConnectionEnd, Table};
use crate::upstream::line_protocol::parse::{self, Response, ResponseKind};
use bytes::BytesMut;

impl Connection {
    /// Handles all complete responses in what was received.
    pub(super) async fn responses(&mut self, received: &mut BytesMut) -> Result<(), Stop> {
        loop {
            match parse::next(received) {
                Ok(Some(response)) => {
                    self.incomplete_since = None;
                    self.response(response).await?;
                }
                Ok(None) if received.is_empty() => {
                    self.incomplete_since = None;
                    return Ok(());
                }
                Ok(None) => {
                    self.incomplete_since.get_or_insert(self.last_read);
                    return Ok(());
                }
                Err(error) => {
                    log::warn!("an engine's line can't be used, its connection ends: {error}");
                    return Err(Stop::Connection(ConnectionEnd::Malformed));
                }
            }
        }
    }

    async fn response(&mut self, response: Response) -> Result<(), Stop> {
        if !self.in_flight.contains_key(&response.id) {
            for (attempt, end) in self.stopping.answered(&response.id) {
                self.context.ended(attempt, end).await?;
            }
        }
        if let Some(sent_at) = self.health_checks.remove(&response.id) {
            let end = health_check_end(response.kind);
            let elapsed = self.last_read - sent_at;
            return Ok(self.context.probed(end, response.fields.report, elapsed).await?);
        }
        // A response to a request that was given up has crossed its stop.
        let Some(in_flight) = self.in_flight.get_mut(&response.id) else { return Ok(()) };
        in_flight.last_mention = self.last_read;
        let attempt = in_flight.attempt;
        match response.kind {
            ResponseKind::Ok | ResponseKind::Page => self.page(response).await,
            ResponseKind::Status => {
                if let Some(note) = response.fields.note {
                    self.context.news(attempt, AttemptEvent::ProgressNote(note)).await?;
                }
                Ok(())
            }
            ResponseKind::Full
            | ResponseKind::Error
            | ResponseKind::Expired
            | ResponseKind::Alive
            | ResponseKind::Dead => {
                self.remove_in_flight(&response.id);
                let end = attempt_end(response.kind);
                let event = AttemptEvent::Ended { end, report: response.fields.report };
                Ok(self.context.news(attempt, event).await?)
            }
        }
    }

    /// A page of a result. The first says how many there are, and the others are fetched at once.
    async fn page(&mut self, response: Response) -> Result<(), Stop> {
        let max_collected_bytes = self.context.limits.collected;
        let Some(in_flight) = self.in_flight.get_mut(&response.id) else { return Ok(()) };
        match in_flight.add_page(&response, max_collected_bytes) {
            PageOutcome::Unexpected => {
                log::warn!("an engine sent a page that nobody asked for: the connection ends");
                return Err(Stop::Connection(ConnectionEnd::Malformed));
            }
            PageOutcome::Duplicate => {
                // Guards against a second answer: it is dropped, and the other requests go on.
                log::debug!("an engine sent a page twice");
                return Ok(());
            }
            PageOutcome::OverBudget => {
                log::warn!("a result is too long: request {} is given up there", response.id);
                self.give_up(&response.id, ConnectionEnd::RequestSilent);
                return Ok(());
            }
            PageOutcome::Kept { first: true } => {
                let page_count = in_flight.page_count();
                self.fetch_pages(&response.id, page_count);
            }
            PageOutcome::Kept { first: false } => {}
        }
        if self.in_flight.get(&response.id).is_some_and(InFlight::is_complete)
            && let Some(in_flight) = self.remove_in_flight(&response.id)
        {
            self.complete(&response.id, in_flight).await?;
        }
        Ok(())
    }

    /// Asks for all pages but the first.
    fn fetch_pages(&mut self, request: &str, page_count: usize) {
        for page in 1..page_count {
            self.output.push(format_args!("FETCH {request} {page}\r\n"));
        }
    }

    /// Reports a complete result.
    async fn complete(&mut self, request: &str, in_flight: InFlight) -> Result<(), Stop> {
        if in_flight.page_count() > 1 {
            self.output.push(format_args!("END {request}\r\n"));
        }
        let rows = match in_flight.rows() {
            Ok(rows) => rows,
            Err(error) => {
                log::warn!("an engine's page can't be used, its connection ends: {error}");
                self.context.ended(in_flight.attempt, ConnectionEnd::Malformed).await?;
                return Err(Stop::Connection(ConnectionEnd::Malformed));
            }
        };
        let table = Table { columns: Vec::new(), rows };
        let event = AttemptEvent::Served { table, usage: in_flight.usage, report: in_flight.report };
        Ok(self.context.news(in_flight.attempt, event).await?)
    }

    /// Stops one request whose answer is of no more use; the others go on. Its end is reported once the engine has
    /// read the stop.
    pub(super) fn give_up(&mut self, request: &str, end: ConnectionEnd) {
        let Some(in_flight) = self.stop_request(request, end) else { return };
        let age_ms = (self.context.clock.now() - in_flight.began_at).as_ms();
        log::debug!(request:% = in_flight.attempt, name = request, reason:? = end, age_ms; "request given up");
        self.confirm_stops();
    }
}

fn health_check_end(kind: ResponseKind) -> ConnectionEnd {
    match kind {
        ResponseKind::Alive => ConnectionEnd::Answered,
        ResponseKind::Full => ConnectionEnd::AnsweredFull,
        _ => ConnectionEnd::AnsweredError,
    }
}

fn attempt_end(kind: ResponseKind) -> ConnectionEnd {
    match kind {
        ResponseKind::Full => ConnectionEnd::AnsweredFull,
        ResponseKind::Expired => ConnectionEnd::AnsweredOver,
        _ => ConnectionEnd::AnsweredError,
    }
}
