//! A TDS session with an engine: login, packets and tokens.

use super::Login;
use crate::clock::Micros;
use crate::core::ConnectionEnd;
use crate::tds::token::{self, Column, Token};
use crate::tds::{login, packet};
use crate::upstream::{failed_connect, failed_io};
use bytes::{Buf, BytesMut};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// An engine that has not acknowledged an attention after this long counts as gone.
const ATTENTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Room for what is received at first.
const INPUT_BYTES: usize = 8192;

/// An open session.
pub(super) struct Session {
    stream: TcpStream,
    received: BytesMut,
    tokens: BytesMut,
    columns: Vec<Column>,
    /// Whether the last packet of the engine's message is here.
    message_complete: bool,
    /// When the last token came.
    pub(super) last_token: Micros,
}

impl Session {
    /// Connects and logs in. Nothing ran before the login: whatever fails here, the request was never sent.
    pub(super) async fn open(
        address: SocketAddr,
        credentials: &Login,
        now: Micros,
    ) -> Result<Session, ConnectionEnd> {
        let stream = TcpStream::connect(address).await.map_err(|error| failed_connect(&error))?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("no delay: {error}");
        }
        let mut session = Session {
            stream,
            received: BytesMut::with_capacity(INPUT_BYTES),
            tokens: BytesMut::new(),
            columns: Vec::new(),
            message_complete: false,
            last_token: now,
        };
        session.log_in(credentials).await.map_err(|_| ConnectionEnd::ConnectTimeout)?;
        Ok(session)
    }

    async fn log_in(&mut self, credentials: &Login) -> Result<(), ConnectionEnd> {
        self.send(packet::PRELOGIN, &login::prelogin(login::ENCRYPT_NOT_SUPPORTED)).await?;
        while !self.message_complete {
            self.read_packet().await?;
        }
        self.tokens.clear();
        self.send(packet::LOGIN7, &login::login(credentials)).await?;
        let mut acknowledged = false;
        loop {
            match self.next_token().await? {
                Token::LoginAck => acknowledged = true,
                Token::Error { number, text } => log::error!("an engine denies the login: {number} {text}"),
                Token::Done { more: false, .. } if acknowledged => return Ok(()),
                Token::Done { more: false, .. } => return Err(ConnectionEnd::ConnectTimeout),
                _ => {}
            }
        }
    }

    /// The two directions of the session's stream, to close it.
    pub(super) fn into_split(self) -> (OwnedReadHalf, OwnedWriteHalf) {
        self.stream.into_split()
    }

    /// Sends a message.
    pub(super) async fn send(&mut self, kind: u8, data: &[u8]) -> Result<(), ConnectionEnd> {
        self.message_complete = false;
        self.tokens.clear();
        let sent = self.stream.write_all(&packet::message(kind, data)).await;
        sent.map_err(|error| failed_io(&error))
    }

    /// Whether the engine's message has been read to its end.
    pub(super) fn is_message_complete(&self) -> bool {
        self.message_complete
    }

    /// Reads one more packet. Cancel safe: the future can be dropped at any point and no byte is lost.
    async fn read_packet(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            match packet::next_packet(&mut self.received) {
                Ok(Some(packet)) => {
                    self.tokens.extend_from_slice(&packet.data);
                    self.message_complete = packet.last;
                    return match self.tokens.len() > packet::MAX_MESSAGE_BYTES {
                        true => Err(ConnectionEnd::Malformed),
                        false => Ok(()),
                    };
                }
                Ok(None) => {}
                Err(error) => {
                    log::warn!("a TDS engine's packet can't be used: {error}");
                    return Err(ConnectionEnd::Malformed);
                }
            }
            let read = self.stream.read_buf(&mut self.received).await;
            if read.map_err(|error| failed_io(&error))? == 0 {
                return Err(ConnectionEnd::Closed);
            }
        }
    }

    /// The next complete token. Cancel safe: the future can be dropped at any point and no byte is lost.
    pub(super) async fn next_token(&mut self) -> Result<Token, ConnectionEnd> {
        loop {
            let mut input = &self.tokens[..];
            let available = input.len();
            if let Ok(token) = token::read(&self.columns, &mut input) {
                let used = available - input.len();
                self.tokens.advance(used);
                if let Token::Columns(columns) = &token {
                    self.columns.clone_from(columns);
                }
                return Ok(token);
            }
            if self.message_complete {
                log::warn!("a TDS engine's answer can't be used");
                return Err(ConnectionEnd::Malformed);
            }
            self.read_packet().await?;
        }
    }

    /// Sends an attention and reads to its acknowledgement; true where the session can carry another request then.
    pub(super) async fn cancel(&mut self) -> bool {
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
                // The rest of the answer may come first, as a message of its own.
                Err(ConnectionEnd::Malformed) if self.tokens.is_empty() && self.message_complete => {
                    self.message_complete = false;
                }
                Err(_) => return false,
            }
        }
    }
}
