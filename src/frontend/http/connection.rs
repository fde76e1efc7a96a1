//! Serves one connection of a client, one request after another.

use super::Http;
use super::dropped_input::DroppedInput;
use super::input_buffer::InputBuffer;
use super::message::{self, Request, RequestError};
use super::reader::{IDLE_TIMEOUT, READ_TIMEOUT, first_request_deadline, read_request};
use super::responses::{
    AnsweredRequest, PageOfResult, Reply, out_of_memory_response, request_error_response,
};
use super::routes::Routed;
use crate::core::{Answer, IncomingRequest, Input};
use crate::frontend::{ConnectionPermit, linger};
use crate::memory::MemoryReservation;
use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;

/// A connection whose response cannot be written within this time is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum input that is buffered while a response is pending.
///
/// Input beyond it is dropped, at a bounded rate ([`super::dropped_input`]).
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// The memory that every open request gets, whatever the budget. A usual request fits.
const SMALL_REQUEST_BYTES: usize = 8192;
/// How long after the end of its time a client may still fetch pages of its result. It covers the way to the client.
const PAGE_EXPIRY_SLACK: Duration = Duration::from_secs(1);
/// How long a new connection is not closed as idle. Its client has connected to send a request, which is on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);
/// A client's connection, with the input that was received but not parsed yet.
pub(super) struct Client {
    stream: TcpStream,
    input: InputBuffer,
    /// Input was dropped while a response was pending, so the start of the next request is unknown.
    dropped_input: bool,
    /// The client request id of the result whose next page the client calls; `None` if there is none.
    result_in_delivery: Option<String>,
    /// When the connection may be closed as idle.
    idle_from: tokio::time::Instant,
}

/// Serves a connection until it is closed.
pub(super) async fn serve(stream: TcpStream, permit: &ConnectionPermit, frontend: &Http) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let input = InputBuffer::new(&frontend.memory.requests);
    let idle_from = tokio::time::Instant::now() + FIRST_REQUEST_GRACE;
    let mut client = Client { stream, input, dropped_input: false, result_in_delivery: None, idle_from };
    let mut deadline = Some(first_request_deadline());
    let mut wait = READ_TIMEOUT;
    let mut tracked_connection = Some(frontend.lifecycle.track_connection());
    let mut ends_with_response = false;
    while client.wait_for_request(frontend, wait).await? {
        let Client { stream, input, .. } = &mut client;
        let read = read_request(stream, input, deadline, message::MAX_BODY_BYTES).await?;
        let Some(read) = read else { break };
        deadline = None;
        wait = IDLE_TIMEOUT;
        client.idle_from = tokio::time::Instant::now();
        permit.busy();
        let tracked_request = frontend.lifecycle.track_request();
        let Some(close) = client.respond(frontend, read).await? else { return Ok(()) };
        drop(tracked_request);
        if close {
            ends_with_response = true;
            break;
        }
        permit.idle();
    }
    permit.ending();
    client.input.clear();
    // If the process ended with unread input, the client could lose its last response, so the connection stays counted.
    tracked_connection.take_if(|_| !ends_with_response);
    linger(&mut client.stream).await
}

impl Client {
    /// Waits for the first bytes of a request.
    ///
    /// Returns false if the client closed the connection or sent nothing within `wait`, or if idle connections are
    /// being closed and no page of a result is expected to be called here. Input that has already been received takes
    /// precedence over all of these.
    async fn wait_for_request(&mut self, frontend: &Http, wait: Duration) -> io::Result<bool> {
        if !self.input.bytes.is_empty() {
            return Ok(true);
        }
        let result_in_delivery = self.result_in_delivery.take();
        let idle_from = self.idle_from;
        let close_idle = async {
            frontend.lifecycle.wait_for_idle_close().await;
            tokio::time::sleep_until(idle_from).await;
            if let Some(client_request_id) = &result_in_delivery {
                frontend.wait_for_delivery_of(client_request_id).await;
            }
            // tokio reports the input of a connection that was just accepted only after the task has yielded once.
            tokio::task::yield_now().await;
        };
        tokio::select! {
            biased;
            received = tokio::time::timeout(wait, self.receive()) => received.unwrap_or(Ok(false)),
            () = close_idle => Ok(false),
        }
    }

    /// Waits for input. Returns false if the client closed the connection. No memory is held while there is no input.
    async fn receive(&mut self) -> io::Result<bool> {
        loop {
            self.stream.readable().await?;
            // Never an error: an empty buffer grows by the capacity that every connection gets.
            let _reserved = self.input.reserve(0, 0);
            match self.stream.try_read_buf(&mut self.input.bytes) {
                Ok(bytes) => return Ok(bytes > 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.input.clear(),
                Err(error) => return Err(error),
            }
        }
    }

    /// Answers a request. Returns whether the connection must be closed; `None` if the client disconnected.
    async fn respond(
        &mut self,
        frontend: &Http,
        read: Result<Request, RequestError>,
    ) -> io::Result<Option<bool>> {
        let mut close = true;
        let Reply { response, memory, page } = match read {
            Ok(request) => {
                close = request.close;
                let routed = frontend.route(request);
                self.input.shrink();
                match routed {
                    Routed::Reply(reply) => reply,
                    Routed::Submit(incoming) => match self.submit(frontend, incoming).await {
                        Some(reply) => reply,
                        None => return Ok(None),
                    },
                }
            }
            Err(error) => request_error_response(error).into(),
        };
        // On `Connection: close`, the platform's clients reconnect to a manager that accepts connections. That one has
        // no pages of this one's results.
        let is_followed = page.as_ref().is_some_and(|page| !page.is_last);
        let keeps_open = is_followed || frontend.lifecycle.keeps_idle_connections();
        let close = close || self.dropped_input || !keeps_open;
        let bytes = response.bytes(close);
        drop(response);
        tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes)).await??;
        drop(memory);
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
    async fn submit(&mut self, frontend: &Http, request: IncomingRequest) -> Option<Reply> {
        let Some(_request_memory) = request_memory(frontend, &request) else {
            return Some(out_of_memory_response().into());
        };
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
                open = self.receive_ahead(&frontend.dropped_input) => {
                    // The client closed the connection, which cancels its request.
                    if !open {
                        let disconnected = Input::ClientDisconnected(submitted.request);
                        let _service_ended = frontend.service.notify(disconnected).await;
                        return None;
                    }
                }
            }
        }
    }

    /// Receives input while a response is pending. Returns false if the client closed the connection. Input that exceeds
    /// [`MAX_PIPELINED_BYTES`] or the memory budget is dropped, and all input after it.
    async fn receive_ahead(&mut self, dropped_input: &DroppedInput) -> bool {
        let ready = self.stream.ready(Interest::READABLE).await;
        // The close is known before the input in front of it is read.
        if ready.map_or(true, |ready| ready.is_read_closed()) {
            return false;
        }
        let has_room = self.input.bytes.len() < MAX_PIPELINED_BYTES;
        self.dropped_input |= !has_room || self.input.reserve(MAX_PIPELINED_BYTES, 0).is_err();
        if self.dropped_input {
            self.input.clear();
            return dropped_input.drop_from(&self.stream).await;
        }
        match self.stream.try_read_buf(&mut self.input.bytes) {
            Ok(bytes) => bytes > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

/// Reserves the memory of a request while it is open. A short one gets it whatever the budget, because the number of open
/// requests is bounded; `None` if there is none for a longer one.
fn request_memory(frontend: &Http, request: &IncomingRequest) -> Option<MemoryReservation> {
    let mut memory = frontend.memory.requests.reservation();
    let bytes = request.memory_bytes();
    if bytes <= SMALL_REQUEST_BYTES {
        memory.resize(bytes);
    } else {
        memory.try_resize(bytes).ok()?;
    }
    Some(memory)
}
