//! Serves the messages of a logged-in connection: SQL batches, RPC calls of `sp_executesql`, and Attention signals.

use super::Tds;
use super::connection::{Connection, MessageStream};
use super::responses::{answer_response, invalid_request};
use crate::clock::Micros;
use crate::core::{Answer, IncomingRequest, Input};
use crate::frontend::http::message::parse_integer;
use crate::sql;
use crate::tds::packet::{self, Message};
use crate::tds::token::{self, ResponseKind};
use std::io;
use std::sync::atomic::Ordering;
use tokio::io::AsyncReadExt;

/// 2^64 divided by the golden ratio, made odd. Multiplication by it spreads consecutive numbers over 64 bits, and maps
/// distinct numbers to distinct products.
const CLIENT_REQUEST_ID_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// How the wait for an answer ended.
enum WaitOutcome {
    Answered(Answer),
    /// The client cancelled the request with an Attention signal.
    Attention,
    /// The client closed the connection or violated the protocol.
    Disconnected,
}

impl Connection<'_> {
    /// Serves one message of the client. Returns false if the connection must be closed.
    pub(super) async fn serve_request(&mut self, message: Message) -> io::Result<bool> {
        let _tracked_request = self.frontend.lifecycle.track_request();
        let response = match message.kind {
            packet::SQL_BATCH => {
                let statement = token::read_batch(&message.data).map_err(|error| error.to_string());
                drop(message);
                self.execute(ResponseKind::Batch, statement).await
            }
            packet::RPC => {
                let statement = token::read_rpc(&message.data).map_err(|error| error.to_string());
                drop(message);
                self.execute(ResponseKind::Rpc, statement).await
            }
            // The request was answered before the Attention was read. MS-TDS requires an acknowledgement nevertheless.
            packet::ATTENTION => Some(token::attention_acknowledgement()),
            kind => {
                let text = format!("messages of type {kind} are not taken here");
                Some(invalid_request(ResponseKind::Batch, &text))
            }
        };
        let Some(response) = response else { return Ok(false) };
        self.input.respond(&response).await?;
        Ok(true)
    }

    /// Submits a statement and returns the response; `None` if the client disconnected first.
    async fn execute(&mut self, kind: ResponseKind, statement: Result<String, String>) -> Option<Vec<u8>> {
        let request =
            statement.and_then(|statement| self.frontend.incoming_request(&statement, &self.tenant));
        let request = match request {
            Ok(request) => request,
            Err(reason) => return Some(invalid_request(kind, &reason)),
        };
        match self.submit(request).await {
            WaitOutcome::Answered(answer) => Some(answer_response(kind, answer)),
            WaitOutcome::Attention => Some(token::attention_acknowledgement()),
            WaitOutcome::Disconnected => None,
        }
    }

    /// Submits a request and waits until it is answered, the client cancels it, or the client disconnects.
    async fn submit(&mut self, request: IncomingRequest) -> WaitOutcome {
        let service = &self.frontend.service;
        let Ok(mut submitted) = service.submit(request).await else {
            return WaitOutcome::Answered(Answer::Failed(None));
        };
        let outcome = tokio::select! {
            answer = &mut submitted.answer => {
                // The sender is dropped without an answer only when the service has stopped.
                return WaitOutcome::Answered(answer.unwrap_or(Answer::Failed(None)));
            }
            outcome = self.input.wait_for_cancellation() => outcome,
        };
        // The service cancels the request. An answer that arrives at the same time is not written, because the client
        // must receive exactly one response.
        let _service_ended = service.notify(Input::ClientDisconnected(submitted.request)).await;
        outcome
    }
}

impl MessageStream {
    /// Reads until the client cancels its request or disconnects. Cancel safe: dropping the future loses no input.
    ///
    /// An Attention may have been received together with its request. Another message that was is left for later.
    async fn wait_for_cancellation(&mut self) -> WaitOutcome {
        if self.received.first() == Some(&packet::ATTENTION)
            && let Ok(Some(_attention)) = self.assembler.next(&mut self.received)
        {
            return WaitOutcome::Attention;
        }
        loop {
            let read = self.stream.read_buf(&mut self.received).await;
            if !matches!(read, Ok(1..)) {
                return WaitOutcome::Disconnected;
            }
            match self.assembler.next(&mut self.received) {
                Ok(None) if self.count_memory(0).is_ok() => {}
                Ok(None) => return WaitOutcome::Disconnected,
                Ok(Some(message)) if message.kind == packet::ATTENTION => return WaitOutcome::Attention,
                // While a response is pending, a client may send nothing but an Attention.
                Ok(Some(_)) | Err(_) => return WaitOutcome::Disconnected,
            }
        }
    }
}

impl Tds {
    /// Builds the request for the service from a statement and its hints. The error is the text that the client
    /// receives.
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
            client_request_id: self.next_client_request_id(),
            class: hint("class").unwrap_or(&self.default_class).to_owned(),
            tenant: Some(tenant.to_owned()).filter(|tenant| !tenant.is_empty()),
            idempotency_key: hint("key").map(str::to_owned),
            statement: statement.into(),
            time_budget,
        })
    }

    /// Generates the client request id of the next request. Ids are unique within a run of the program, and the seed
    /// makes those of different runs differ.
    fn next_client_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let id = self.client_request_id_seed ^ number.wrapping_mul(CLIENT_REQUEST_ID_FACTOR);
        format!("{id:016x}")
    }
}
