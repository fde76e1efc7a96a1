//! A TDS session with an engine: login, one batch, cancellation.
//!
//! Responses name no request, so a session carries one batch and is closed behind it: a second copy of a response then
//! arrives at a closed connection. Before the batch, only the login was answered, and a late copy of that answer is
//! recognised by its LOGINACK.

use super::Login;
use crate::clock::Micros;
use crate::core::ConnectionEnd;
use crate::log_text::single_line;
use crate::memory::{BudgetExceeded, MemoryReservation};
use crate::tds::token::{self, Column, Token, TokenExtent};
use crate::tds::{login, packet};
use crate::upstream::{connect_failure, io_failure};
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Time within which an engine has to acknowledge an Attention. The session is closed after it.
const ATTENTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Initial capacity of the receive buffer.
const INITIAL_INPUT_BYTES: usize = 8192;

/// The memory that every session gets, whatever the budget. A usual response is read in parts that fit.
const SMALL_INPUT_BYTES: usize = 32 * 1024;

/// What the engine's next response answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exchange {
    /// PRELOGIN or LOGIN7.
    Login,
    /// A batch.
    Batch,
    /// An Attention. The rest of the batch's response may precede its acknowledgement.
    Cancellation,
}

/// Why a session that carried no request can't carry one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleEnd {
    /// The engine sent something although nothing was requested.
    UnexpectedData,
    /// The engine closed the connection, or the connection failed.
    Closed,
}

/// An open session. It executes one batch.
pub(super) struct Session {
    stream: TcpStream,
    received: BytesMut,
    tokens: BytesMut,
    /// The part of the next token that has been received.
    extent: TokenExtent,
    columns: Vec<Column>,
    exchange: Exchange,
    /// Whether the last packet of the engine's message was received.
    message_complete: bool,
    /// The number of packets of the engine's message that were received.
    message_packets: usize,
    /// Whether the answer of the login had several packets. A copy of the last one could pass for an empty result.
    login_answer_split: bool,
    /// The memory of the received input.
    memory: MemoryReservation,
    /// Time at which the last token was received.
    pub(super) last_token_at: Micros,
}

impl Session {
    /// Connects and logs in. On any error, no request was sent. An answer that can't be read is [`ConnectionEnd::Malformed`].
    pub(super) async fn open(
        address: SocketAddr,
        credentials: &Login,
        now: Micros,
        memory: MemoryReservation,
    ) -> Result<Session, ConnectionEnd> {
        let stream = TcpStream::connect(address).await.map_err(|error| connect_failure(&error))?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(address:%, error:%; "TDS engine: TCP_NODELAY not set");
        }
        let mut session = Session {
            stream,
            received: BytesMut::new(),
            tokens: BytesMut::new(),
            extent: TokenExtent::default(),
            columns: Vec::new(),
            exchange: Exchange::Login,
            message_complete: false,
            message_packets: 0,
            login_answer_split: false,
            memory,
            last_token_at: now,
        };
        session.log_in(credentials).await?;
        session.release_buffers();
        Ok(session)
    }

    async fn log_in(&mut self, credentials: &Login) -> Result<(), ConnectionEnd> {
        self.send(packet::PRELOGIN, &login::prelogin(login::ENCRYPT_NOT_SUPPORTED)).await?;
        while !self.message_complete {
            self.read_packet().await?;
        }
        if !self.received.is_empty() {
            return Err(unexpected("data behind its answer to PRELOGIN"));
        }
        self.send(packet::LOGIN7, &login::login(credentials)).await?;
        let mut acknowledged = false;
        loop {
            match self.next_token().await? {
                Token::LoginAck => acknowledged = true,
                Token::Error { number, text } => {
                    log::error!("TDS engine rejected the login: error {number}: {}", single_line(&text))
                }
                Token::Done { more: false, .. } if acknowledged => break,
                Token::Done { more: false, .. } => return Err(ConnectionEnd::ConnectTimeout),
                _ => {}
            }
        }
        self.login_answer_split = self.message_packets > 1;
        Ok(())
    }

    /// Frees the buffers, which a session that waits for its request does not need.
    fn release_buffers(&mut self) {
        if self.received.is_empty() {
            self.received = BytesMut::new();
        }
        self.tokens = BytesMut::new();
        self.memory.resize(self.received.capacity());
    }

    /// Waits until the session can no longer carry a request. Cancel safe.
    pub(super) async fn idle_end(&self) -> IdleEnd {
        if !self.received.is_empty() {
            return IdleEnd::UnexpectedData;
        }
        match self.stream.peek(&mut [0]).await {
            Ok(received) if received > 0 => IdleEnd::UnexpectedData,
            _ => IdleEnd::Closed,
        }
    }

    /// Checks whether the session can carry a request. Asks the kernel, since the runtime may not have been notified yet
    /// of what has arrived.
    pub(super) fn check_idle(&self) -> Result<(), IdleEnd> {
        if !self.received.is_empty() {
            return Err(IdleEnd::UnexpectedData);
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Ok(received) if received > 0 => Err(IdleEnd::UnexpectedData),
            _ => Err(IdleEnd::Closed),
        }
    }

    /// Closes the session by a reset, which leaves no port in TIME_WAIT: there is one session a request, and the ports
    /// to one engine would run out. No attempt may be in flight on the session.
    pub(super) fn close(self) {
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!(error:%; "TDS engine: SO_LINGER not set");
        }
    }

    /// Splits the session's stream into its two directions, for closing it while a request is pending.
    pub(super) fn into_split(self) -> (OwnedReadHalf, OwnedWriteHalf) {
        self.stream.into_split()
    }

    /// Sends a batch. The session can carry no other one.
    pub(super) async fn send_batch(&mut self, statement: &str) -> Result<(), ConnectionEnd> {
        self.exchange = Exchange::Batch;
        self.send(packet::SQL_BATCH, &token::batch(statement)).await
    }

    /// Sends a message.
    async fn send(&mut self, kind: u8, data: &[u8]) -> Result<(), ConnectionEnd> {
        self.begin_message();
        self.tokens = BytesMut::new();
        self.count_memory()?;
        self.extent = TokenExtent::default();
        let sent = self.stream.write_all(&packet::message(kind, data)).await;
        sent.map_err(|error| io_failure(&error))
    }

    /// Expects the first packet of a message of the engine.
    fn begin_message(&mut self) {
        self.message_complete = false;
        self.message_packets = 0;
    }

    /// Returns whether a result without columns may be a part of a late copy of the login's answer.
    pub(super) fn is_empty_result_ambiguous(&self) -> bool {
        self.login_answer_split
    }

    /// Counts the memory of the received input, of which a small part is allowed whatever the budget.
    fn count_memory(&mut self) -> Result<(), ConnectionEnd> {
        let bytes = self.received.capacity() + self.tokens.capacity();
        if bytes <= SMALL_INPUT_BYTES {
            self.memory.resize(bytes);
            return Ok(());
        }
        self.memory.try_resize(bytes).map_err(|BudgetExceeded| {
            log::warn!("no memory for a response of a TDS engine: session closed");
            ConnectionEnd::RequestSilent
        })
    }

    /// Reads one more packet. Cancel safe: no byte is lost if the future is dropped.
    async fn read_packet(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            match packet::next_packet(&mut self.received) {
                Ok(Some(packet)) if packet.kind != packet::TABULAR_RESULT => {
                    return Err(unexpected("a packet that is no response"));
                }
                Ok(Some(packet)) => {
                    self.tokens.extend_from_slice(&packet.data);
                    self.message_complete = packet.last;
                    self.message_packets += 1;
                    return match self.tokens.len() > packet::MAX_MESSAGE_BYTES {
                        true => Err(ConnectionEnd::Malformed),
                        false => self.count_memory(),
                    };
                }
                Ok(None) => {}
                Err(error) => {
                    log::warn!(error:%; "TDS engine sent an invalid packet: session closed");
                    return Err(ConnectionEnd::Malformed);
                }
            }
            if self.received.capacity() == 0 {
                self.received.reserve(INITIAL_INPUT_BYTES);
            }
            let read = self.stream.read_buf(&mut self.received).await;
            if read.map_err(|error| io_failure(&error))? == 0 {
                return Err(ConnectionEnd::Closed);
            }
        }
    }

    /// Reads the next complete token. The last DONE of a response is returned once the message has ended there. Cancel
    /// safe: no byte is lost if the future is dropped.
    pub(super) async fn next_token(&mut self) -> Result<Token, ConnectionEnd> {
        while !self.extent.is_complete(&self.columns, &self.tokens) || self.is_end_awaited() {
            if self.message_complete && self.exchange == Exchange::Cancellation && self.tokens.is_empty() {
                self.begin_message();
            }
            if self.message_complete {
                log::warn!(
                    remaining_bytes = self.tokens.len();
                    "TDS engine sent a message that ends within a token: session closed"
                );
                return Err(ConnectionEnd::Malformed);
            }
            self.read_packet().await?;
        }
        self.take_token()
    }

    /// Whether the next token is the last one of a response whose message has not ended yet. A cancelled batch may end in
    /// two of them, in one message or in two.
    fn is_end_awaited(&self) -> bool {
        self.exchange != Exchange::Cancellation && !self.message_complete && token::is_last_done(&self.tokens)
    }

    /// Removes the token at the front of the received ones, which is complete.
    fn take_token(&mut self) -> Result<Token, ConnectionEnd> {
        self.extent = TokenExtent::default();
        let mut input = &self.tokens[..];
        let available = input.len();
        let Ok(token) = token::read(&self.columns, &mut input) else {
            log::warn!("TDS engine sent an invalid token: session closed");
            return Err(ConnectionEnd::Malformed);
        };
        let used = available - input.len();
        self.tokens.advance(used);
        self.check_expected(&token)?;
        if let Token::Columns(columns) = &token {
            self.columns.clone_from(columns);
        }
        Ok(token)
    }

    /// Checks that a token belongs to the response to what was sent last.
    fn check_expected(&self, token: &Token) -> Result<(), ConnectionEnd> {
        match (token, self.exchange) {
            (Token::LoginAck, Exchange::Batch | Exchange::Cancellation) => {
                Err(unexpected("a second answer to the login"))
            }
            (Token::Done { attention: true, .. }, Exchange::Login | Exchange::Batch) => {
                Err(unexpected("an acknowledgement without an Attention"))
            }
            (Token::Done { more: false, .. }, Exchange::Login | Exchange::Batch)
                if !self.tokens.is_empty() =>
            {
                Err(unexpected("tokens behind the last DONE"))
            }
            _ => Ok(()),
        }
    }

    /// Sends an Attention and reads until its acknowledgement. Returns true if the engine has acknowledged it.
    pub(super) async fn cancel(&mut self) -> bool {
        self.exchange = Exchange::Cancellation;
        let sent = self.stream.write_all(&packet::message(packet::ATTENTION, &[])).await;
        if sent.is_err() {
            return false;
        }
        let acknowledged = tokio::time::timeout(ATTENTION_TIMEOUT, self.read_acknowledgement());
        acknowledged.await.unwrap_or(false)
    }

    async fn read_acknowledgement(&mut self) -> bool {
        loop {
            match self.next_token().await {
                Ok(Token::Done { attention: true, .. }) => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }
}

/// Logs data that belongs to no response that is awaited.
fn unexpected(data: &'static str) -> ConnectionEnd {
    log::warn!("TDS engine sent {data}: session closed");
    ConnectionEnd::Malformed
}
