//! Serves one connection of a client, one request after another.

use super::Http;
use super::message::{self, Request, RequestError};
use super::reader::{IDLE_TIMEOUT, READ_TIMEOUT, first_request_deadline, read_request};
use super::responses::{AnsweredRequest, PageOfResult, Reply, error_response};
use crate::core::{Answer, IncomingRequest, Input};
use crate::frontend::{ConnectionPermit, linger};
use bytes::BytesMut;
use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A connection whose response cannot be written within this time is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum input that is buffered while a response is pending.
///
/// Input beyond it is dropped. Reading goes on at this many bytes per [`PIPELINED_INPUT_PAUSE`], so that the client's
/// close is detected behind the input, and a client that never stops sending uses little CPU time.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// The pause after each read whose input is dropped.
const PIPELINED_INPUT_PAUSE: Duration = Duration::from_millis(10);
/// How long after the end of its time a client may still fetch pages of its result. It covers the way to the client.
const PAGE_EXPIRY_SLACK: Duration = Duration::from_secs(1);
/// The initial capacity of a connection's receive buffer.
const BUFFER_BYTES: usize = 4096;

/// A client's connection, with the input that was received but not parsed yet.
pub(super) struct Client {
    stream: TcpStream,
    buffer: BytesMut,
    /// Input was dropped while a response was pending, so the start of the next request is unknown.
    dropped_input: bool,
    /// The client request id of the result whose next page the client calls; `None` if there is none.
    result_in_delivery: Option<String>,
}

/// Serves a connection until it is closed.
pub(super) async fn serve(stream: TcpStream, permit: &ConnectionPermit, frontend: &Http) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let buffer = BytesMut::with_capacity(BUFFER_BYTES);
    let mut client = Client { stream, buffer, dropped_input: false, result_in_delivery: None };
    let mut deadline = Some(first_request_deadline());
    let mut wait = READ_TIMEOUT;
    let tracked_connection = frontend.lifecycle.track_connection();
    while client.wait_for_request(frontend, wait).await? {
        let Client { stream, buffer, .. } = &mut client;
        let read = read_request(stream, buffer, deadline, message::MAX_BODY_BYTES).await?;
        let Some(read) = read else { break };
        deadline = None;
        wait = IDLE_TIMEOUT;
        permit.busy();
        let tracked_request = frontend.lifecycle.track_request();
        let Some(close) = client.respond(frontend, read).await? else { return Ok(()) };
        drop(tracked_request);
        if close {
            break;
        }
        permit.idle();
    }
    permit.ending();
    // The connection stays counted meanwhile: if the process ended with unread input, the client could lose the response.
    let lingered = linger(&mut client.stream, &mut client.buffer).await;
    drop(tracked_connection);
    lingered
}

impl Client {
    /// Waits for the first bytes of a request.
    ///
    /// Returns false if the client closed the connection or sent nothing within `wait`, or if idle connections are
    /// being closed and no page of a result is expected to be called here. Input that has already been received takes
    /// precedence over all of these.
    async fn wait_for_request(&mut self, frontend: &Http, wait: Duration) -> io::Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        let result_in_delivery = self.result_in_delivery.take();
        let close_idle = async {
            frontend.lifecycle.wait_for_idle_close().await;
            if let Some(client_request_id) = &result_in_delivery {
                frontend.wait_for_delivery_of(client_request_id).await;
            }
            // tokio reports the input of a connection that was just accepted only after the task has yielded once.
            tokio::task::yield_now().await;
        };
        tokio::select! {
            biased;
            read = tokio::time::timeout(wait, self.stream.read_buf(&mut self.buffer)) => match read {
                Ok(read) => Ok(read? > 0),
                Err(_) => Ok(false),
            },
            () = close_idle => Ok(false),
        }
    }

    /// Answers a request. Returns whether the connection must be closed; `None` if the client disconnected.
    async fn respond(
        &mut self,
        frontend: &Http,
        read: Result<Request, RequestError>,
    ) -> io::Result<Option<bool>> {
        let mut close = true;
        let Reply { response, page } = match read {
            Ok(request) => {
                close = request.close;
                let Some(reply) = frontend.route(self, &request).await else { return Ok(None) };
                reply
            }
            Err(error) => error_response(error.status(), &error.to_string()).into(),
        };
        // On `Connection: close`, the platform's clients reconnect to a manager that accepts connections. That one has
        // no pages of this one's results.
        let is_followed = page.as_ref().is_some_and(|page| !page.is_last);
        let keeps_open = is_followed || frontend.lifecycle.keeps_idle_connections();
        let close = close || self.dropped_input || !keeps_open;
        let bytes = response.bytes(close);
        tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes)).await??;
        match page {
            Some(PageOfResult { client_request_id, is_last: true }) => {
                frontend.result_pages().record_delivery(&client_request_id, Instant::now());
            }
            Some(PageOfResult { client_request_id, is_last: false }) => {
                self.result_in_delivery = Some(client_request_id);
            }
            None => {}
        }
        Ok(Some(close))
    }

    /// Submits a request and waits for its answer; `None` if the client disconnected first.
    pub(super) async fn submit(&mut self, frontend: &Http, request: IncomingRequest) -> Option<Reply> {
        let answered = AnsweredRequest {
            client_request_id: request.client_request_id.clone(),
            expires_at: Instant::now() + request.time_budget.to_duration() + PAGE_EXPIRY_SLACK,
        };
        let Ok(mut submitted) = frontend.service.submit(request).await else {
            return Some(frontend.reply(&answered, Answer::Failed(None)));
        };
        loop {
            tokio::select! {
                answer = &mut submitted.answer => {
                    // The sender is dropped without an answer only when the service has stopped.
                    let answer = answer.unwrap_or(Answer::Failed(None));
                    return Some(frontend.reply(&answered, answer));
                }
                read = self.stream.read_buf(&mut self.buffer) => {
                    // The client closed the connection, which cancels its request.
                    if !matches!(read, Ok(1..)) {
                        let disconnected = Input::ClientDisconnected(submitted.request);
                        let _service_ended = frontend.service.notify(disconnected).await;
                        return None;
                    }
                    self.limit_input().await;
                }
            }
        }
    }

    /// Drops the input that exceeds [`MAX_PIPELINED_BYTES`], and all input after it.
    async fn limit_input(&mut self) {
        self.dropped_input |= self.buffer.len() > MAX_PIPELINED_BYTES;
        if self.dropped_input {
            self.buffer.clear();
            self.buffer.reserve(MAX_PIPELINED_BYTES);
            tokio::time::sleep(PIPELINED_INPUT_PAUSE).await;
        }
    }
}
