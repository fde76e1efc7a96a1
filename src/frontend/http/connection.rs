//! A client's connection: its requests, one after another.

use super::Http;
use super::message::{self, Request, RequestError, Response};
use super::reader::{IDLE_TIMEOUT, READ_TIMEOUT, first_request_deadline, read_request};
use super::responses::unusable;
use crate::core::{Answer, IncomingRequest, Input};
use crate::frontend::{ConnectionPermit, linger};
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A client that has not read its response within this time is gone. A value of ours.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// What a client may send ahead of its pending response. More is dropped, this much at a time with a pause after
/// each: so the close of a client is noticed behind it, and one that never stops sending costs little.
const MAX_AHEAD_BYTES: usize = 64 * 1024;
/// The pause after each such read. A value of ours.
const AHEAD_PAUSE: Duration = Duration::from_millis(10);
/// The first capacity of a connection's buffer.
const BUFFER_BYTES: usize = 4096;

/// A client's connection, and what was received of it but is not read yet.
pub(super) struct Client {
    stream: TcpStream,
    buffer: BytesMut,
    /// Bytes sent ahead were dropped, so it is unknown where the next request begins.
    dropped_input: bool,
}

/// Serves a connection until it is closed.
pub(super) async fn serve(stream: TcpStream, permit: &ConnectionPermit, frontend: &Http) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let buffer = BytesMut::with_capacity(BUFFER_BYTES);
    let mut client = Client { stream, buffer, dropped_input: false };
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
    drop(tracked_connection);
    permit.ending();
    linger(&mut client.stream, &mut client.buffer).await
}

impl Client {
    /// Waits for the first bytes of a request; false if the client closed the connection, or sent nothing in time, or
    /// if idle connections are being closed. A request whose bytes are there takes precedence over all of these.
    async fn wait_for_request(&mut self, frontend: &Http, wait: Duration) -> io::Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        let close_idle = async {
            frontend.lifecycle.wait_for_idle_close().await;
            // What was received of a connection that was accepted just now is seen one turn of the scheduler later.
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

    /// Answers a request. The result is whether the connection is to be closed; `None` if the client closed it.
    async fn respond(
        &mut self,
        frontend: &Http,
        read: Result<Request, RequestError>,
    ) -> io::Result<Option<bool>> {
        let mut close = true;
        let response = match read {
            Ok(request) => {
                close = request.close;
                let Some(response) = frontend.route(self, &request).await else { return Ok(None) };
                response
            }
            Err(error) => unusable(error.status(), &error.to_string()),
        };
        // The platform's clients follow a `Connection: close`, and reconnect where connections are accepted.
        let close = close || self.dropped_input || !frontend.lifecycle.keeps_idle_connections();
        let bytes = response.bytes(close);
        tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes)).await??;
        Ok(Some(close))
    }

    /// Submits a request and waits for its answer; `None` if the client closed the connection first.
    pub(super) async fn submit(&mut self, frontend: &Http, request: IncomingRequest) -> Option<Response> {
        let name = request.client_request_id.clone();
        let Ok(mut submitted) = frontend.service.submit(request).await else {
            return Some(frontend.response(&name, Answer::Failed(None)));
        };
        loop {
            tokio::select! {
                answer = &mut submitted.answer => {
                    // The service has ended if the sender is gone.
                    let answer = answer.unwrap_or(Answer::Failed(None));
                    return Some(frontend.response(&name, answer));
                }
                read = self.stream.read_buf(&mut self.buffer) => {
                    // A client that stops waiting closes its connection.
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

    /// Drops what the client sends beyond [`MAX_AHEAD_BYTES`].
    async fn limit_input(&mut self) {
        self.dropped_input |= self.buffer.len() > MAX_AHEAD_BYTES;
        if self.dropped_input {
            self.buffer.clear();
            self.buffer.reserve(MAX_AHEAD_BYTES);
            tokio::time::sleep(AHEAD_PAUSE).await;
        }
    }
}
