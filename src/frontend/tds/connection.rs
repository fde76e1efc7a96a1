//! Serves one connection of a client: the login, then one request after another.

use super::responses::answer_response;
use super::tls::Stream;
use super::{Tds, error_number, prelogin};
use crate::clock::Micros;
use crate::core::Answer;
use crate::frontend::{ConnectionPermit, linger};
use crate::log_text::single_line;
use crate::memory::{BudgetExceeded, MemoryBudget, MemoryReservation};
use crate::tds::packet::{self, Message, MessageAssembler};
use crate::tds::token::{self, ResponseKind};
use crate::tds::{TdsError, login};
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The login must be complete within this time of the connection's start.
const LOGIN_TIMEOUT: Duration = Duration::from_millis(2800);
/// A message must be complete within this time of its first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1800);
/// The time after which a request should be retried for which there was no memory.
const RETRY_AFTER_OUT_OF_MEMORY: Micros = Micros(1_000_000);
/// The initial capacity of a connection's receive buffer.
const BUFFER_BYTES: usize = 4096;
/// The memory that every connection gets, whatever the budget. A usual request fits.
const SMALL_BYTES: usize = 16 * 1024;
/// The memory of a complete message and of what is decoded from it, as a multiple of its size: the message, the statement,
/// and the statement with its parameters replaced.
const DECODED_MESSAGE_FACTOR: usize = 3;
/// The severity (`Class` of MS-TDS) of the error for a denied login.
const LOGIN_SEVERITY: u8 = 14;

/// A stream with the state that is needed to read TDS messages from it.
pub(super) struct MessageStream<S = Box<dyn Stream>> {
    pub(super) stream: S,
    /// Input that was received but not parsed yet.
    pub(super) received: BytesMut,
    /// Assembles messages from the received packets.
    pub(super) assembler: MessageAssembler,
    /// The memory of all of these, and of the last message until the next one is read.
    pub(super) memory: MemoryReservation,
}

impl<S: AsyncRead + Unpin> MessageStream<S> {
    pub(super) fn new(stream: S, budget: &MemoryBudget) -> MessageStream<S> {
        let received = BytesMut::with_capacity(BUFFER_BYTES);
        let assembler = MessageAssembler::new(packet::MAX_LOGIN_MESSAGE_BYTES);
        MessageStream { stream, received, assembler, memory: budget.reservation() }
    }

    /// Counts the memory of the received input, and of a message that was removed from it.
    ///
    /// # Errors
    ///
    /// The memory budget does not allow it.
    pub(super) fn count_memory(&mut self, message_bytes: usize) -> Result<(), BudgetExceeded> {
        let input = self.received.capacity() + self.assembler.memory_bytes();
        let bytes = input + DECODED_MESSAGE_FACTOR * message_bytes;
        if bytes <= SMALL_BYTES {
            self.memory.resize(bytes);
            return Ok(());
        }
        self.memory.try_resize(bytes)
    }

    /// Frees the memory that the remaining input does not need.
    fn shrink(&mut self) {
        if self.received.is_empty() && self.received.capacity() > BUFFER_BYTES {
            self.received = BytesMut::with_capacity(BUFFER_BYTES);
        }
    }

    /// Reads the next message; `None` if the client closed the connection.
    pub(super) async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.assembler.next(&mut self.received).map_err(malformed)? {
                self.shrink();
                self.count_memory(message.data.len()).map_err(out_of_memory)?;
                return Ok(Some(message));
            }
            self.count_memory(0).map_err(out_of_memory)?;
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Ok(None);
            }
        }
    }
}

impl MessageStream {
    /// Writes a response, whose tokens are `data`, as one message.
    pub(super) async fn respond(&mut self, data: &[u8]) -> io::Result<()> {
        self.stream.write_all(&packet::message(packet::TABULAR_RESULT, data)).await
    }
}

impl MessageStream<TcpStream> {
    pub(super) fn boxed(self) -> MessageStream {
        let MessageStream { stream, received, assembler, memory } = self;
        MessageStream { stream: Box::new(stream), received, assembler, memory }
    }
}

pub(super) fn malformed(error: TdsError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Input for which there is no memory.
fn out_of_memory(error: BudgetExceeded) -> io::Error {
    io::Error::new(io::ErrorKind::OutOfMemory, error)
}

fn timed_out(_elapsed: tokio::time::error::Elapsed) -> io::Error {
    io::ErrorKind::TimedOut.into()
}

/// Serves a connection until it is closed.
pub(super) async fn serve(stream: TcpStream, permit: &ConnectionPermit, frontend: &Tds) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let _tracked_connection = frontend.lifecycle.track_connection();
    let opened = tokio::time::timeout(LOGIN_TIMEOUT, Connection::open(stream, frontend)).await;
    match opened.map_err(timed_out)?? {
        Some(connection) => connection.run(permit).await,
        None => Ok(()),
    }
}

/// Reads LOGIN7 and answers it. Returns the tenant; `None` if the login was denied, or if the client closed the
/// connection or sent a message of another type.
async fn log_in(input: &mut MessageStream, frontend: &Tds) -> io::Result<Option<String>> {
    let Some(message) = input.next().await? else { return Ok(None) };
    if message.kind != packet::LOGIN7 {
        return Ok(None);
    }
    let login = login::read_login(&message.data).map_err(malformed)?;
    match frontend.directory.tenant(&login).await {
        Ok(tenant) => {
            input.respond(&token::login_ack(&tenant)).await?;
            Ok(Some(tenant))
        }
        Err(error) => {
            log::info!("TDS: login denied: {}", single_line(&error.to_string()));
            let number = error_number::LOGIN_FAILED;
            let response = token::error(ResponseKind::Batch, number, LOGIN_SEVERITY, "Login failed.");
            input.respond(&response).await?;
            Ok(None)
        }
    }
}

/// A connection whose login succeeded.
pub(super) struct Connection<'a> {
    pub(super) input: MessageStream,
    pub(super) frontend: &'a Tds,
    pub(super) tenant: String,
}

impl<'a> Connection<'a> {
    /// Negotiates encryption and performs the login; `None` if the connection must be closed.
    async fn open(stream: TcpStream, frontend: &'a Tds) -> io::Result<Option<Connection<'a>>> {
        let Some(mut input) = prelogin::negotiate(stream, frontend).await? else { return Ok(None) };
        let tenant = log_in(&mut input, frontend).await?;
        input.assembler.set_max_message_bytes(packet::MAX_MESSAGE_BYTES);
        Ok(tenant.map(|tenant| Connection { input, frontend, tenant }))
    }

    async fn run(mut self, permit: &ConnectionPermit) -> io::Result<()> {
        loop {
            permit.idle();
            if !self.wait_for_request().await? {
                return Ok(());
            }
            let message = tokio::time::timeout(MESSAGE_TIMEOUT, self.input.next()).await;
            let message = match message.map_err(timed_out)? {
                Err(error) if error.kind() == io::ErrorKind::OutOfMemory => {
                    return self.reject_message().await;
                }
                message => message?,
            };
            let Some(message) = message else { return Ok(()) };
            permit.busy();
            if !self.serve_request(message).await? {
                return Ok(());
            }
        }
    }

    /// Rejects a message for which there is no memory. The rest of it may follow, so the connection is closed.
    async fn reject_message(&mut self) -> io::Result<()> {
        let answer = Answer::Rejected { retry_after: RETRY_AFTER_OUT_OF_MEMORY, reason: None };
        self.input.received = BytesMut::new();
        self.input.respond(&answer_response(ResponseKind::Batch, answer)).await?;
        linger(&mut self.input.stream).await
    }

    /// Waits for the first bytes of a request.
    ///
    /// Returns false if the client closed the connection, or if idle connections are being closed. TDS has no message
    /// that redirects a logged-in client to another manager.
    async fn wait_for_request(&mut self) -> io::Result<bool> {
        if !self.input.received.is_empty() {
            return Ok(true);
        }
        let MessageStream { stream, received, .. } = &mut self.input;
        tokio::select! {
            biased;
            read = tokio::time::timeout(IDLE_TIMEOUT, stream.read_buf(received)) => {
                Ok(read.map_err(timed_out)?? > 0)
            }
            () = self.frontend.lifecycle.wait_for_idle_close() => Ok(false),
        }
    }
}
