//! The requests of a connection: batches, calls of `sp_executesql`, and attentions.

use super::Tds;
use super::connection::{Connection, MessageStream};
use super::responses::{answer_response, unusable};
use crate::clock::Micros;
use crate::core::{Answer, IncomingRequest, Input};
use crate::frontend::http::message::parse_integer;
use crate::sql;
use crate::tds::packet::{self, Message};
use crate::tds::token::{self, ResponseKind};
use std::io;
use std::sync::atomic::Ordering;
use tokio::io::AsyncReadExt;

/// An odd factor spreads consecutive numbers over 64 bits: 2^64 divided by the golden ratio.
const NAME_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// How the wait for an answer ended.
enum WaitOutcome {
    Answered(Answer),
    /// The client sent an attention: it cancels the request.
    Attention,
    /// The client closed the connection, or broke the protocol.
    Disconnected,
}

impl Connection<'_> {
    /// Serves one message of the client; false if the connection is to be closed.
    pub(super) async fn serve_request(&mut self, message: Message) -> io::Result<bool> {
        let _tracked_request = self.frontend.lifecycle.track_request();
        let response = match message.kind {
            packet::SQL_BATCH => {
                let statement = token::read_batch(&message.data).map_err(|error| error.to_string());
                self.execute(ResponseKind::Batch, statement).await
            }
            packet::RPC => {
                let statement = token::read_call(&message.data).map_err(|error| error.to_string());
                self.execute(ResponseKind::Call, statement).await
            }
            // Its request was answered before it was read. An attention is acknowledged all the same.
            packet::ATTENTION => Some(token::attention_done()),
            kind => {
                let text = format!("messages of type {kind} are not taken here");
                Some(unusable(ResponseKind::Batch, &text))
            }
        };
        let Some(response) = response else { return Ok(false) };
        self.input.respond(&response).await?;
        Ok(true)
    }

    /// Executes a statement and returns the response; `None` if the client disconnected first.
    async fn execute(&mut self, kind: ResponseKind, statement: Result<String, String>) -> Option<Vec<u8>> {
        let request =
            statement.and_then(|statement| self.frontend.incoming_request(&statement, &self.tenant));
        let request = match request {
            Ok(request) => request,
            Err(reason) => return Some(unusable(kind, &reason)),
        };
        match self.submit(request).await {
            WaitOutcome::Answered(answer) => Some(answer_response(kind, answer)),
            WaitOutcome::Attention => Some(token::attention_done()),
            WaitOutcome::Disconnected => None,
        }
    }

    /// Submits a request and waits for its answer, or until the client stops waiting for it.
    async fn submit(&mut self, request: IncomingRequest) -> WaitOutcome {
        let service = &self.frontend.service;
        let Ok(mut submitted) = service.submit(request).await else {
            return WaitOutcome::Answered(Answer::Failed(None));
        };
        let outcome = tokio::select! {
            answer = &mut submitted.answer => {
                // The service has ended if the sender is gone.
                return WaitOutcome::Answered(answer.unwrap_or(Answer::Failed(None)));
            }
            outcome = self.input.wait_for_cancellation() => outcome,
        };
        // The service cancels the request. If its answer crosses this, it is not written: the client gets one response.
        let _service_ended = service.notify(Input::ClientDisconnected(submitted.request)).await;
        outcome
    }
}

impl MessageStream {
    /// Reads until the client cancels its request. Cancel safe: the future can be dropped and no byte is lost.
    async fn wait_for_cancellation(&mut self) -> WaitOutcome {
        loop {
            let read = self.stream.read_buf(&mut self.received).await;
            if !matches!(read, Ok(1..)) {
                return WaitOutcome::Disconnected;
            }
            match self.messages.next(&mut self.received) {
                Ok(None) => {}
                Ok(Some(message)) if message.kind == packet::ATTENTION => return WaitOutcome::Attention,
                // Only an attention may be sent before the response.
                Ok(Some(_)) | Err(_) => return WaitOutcome::Disconnected,
            }
        }
    }
}

impl Tds {
    /// The request for the service, with what the statement's hints say. The error is text for the client.
    fn incoming_request(&self, statement: &str, tenant: &str) -> Result<IncomingRequest, String> {
        let hints = sql::hints(statement);
        let hint = |name: &str| hints.iter().find(|hint| hint.name == name).map(|hint| hint.value);
        let time_budget = match hint("ttl_ms") {
            Some(text) => {
                let ms = parse_integer(text).ok_or("ttl_ms must be a whole number")?;
                Micros::from_ms(ms as f64)
            }
            None => self.default_time_budget,
        };
        Ok(IncomingRequest {
            id: 0,
            client_request_id: self.next_name(),
            class: hint("class").unwrap_or(&self.default_class).to_owned(),
            tenant: Some(tenant.to_owned()).filter(|tenant| !tenant.is_empty()),
            idempotency_key: hint("key").map(str::to_owned),
            statement: statement.into(),
            time_budget,
        })
    }

    /// A name for the next request: distinct for distinct numbers, and unlike those of another start of the program.
    fn next_name(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let name = self.name_seed ^ number.wrapping_mul(NAME_FACTOR);
        format!("{name:016x}")
    }
}
