//! Negotiates encryption with PRELOGIN messages (MS-TDS 2.2.6.5) and performs the TLS handshake.

use super::Tds;
use super::connection::{MessageStream, malformed};
use super::tls;
use crate::tds::login::{self, ENCRYPT_NOT_SUPPORTED, ENCRYPT_ON, ENCRYPT_REQUIRED};
use crate::tds::packet;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;

/// The estimated memory of the state and the buffers of an encrypted connection.
const TLS_MEMORY_BYTES: usize = 40 * 1024;

/// Reads the client's PRELOGIN and answers it. Encrypts the whole connection if the frontend has a certificate, and
/// none of it otherwise.
///
/// Returns `None` if the client closed the connection, sent a message of another type, or does not accept the
/// encryption of this listener.
///
/// # Errors
///
/// The connection failed, a message is malformed, or the TLS handshake failed.
pub(super) async fn negotiate(stream: TcpStream, frontend: &Tds) -> io::Result<Option<MessageStream>> {
    let mut plain = MessageStream::new(stream, &frontend.memory);
    let Some(message) = plain.next().await? else { return Ok(None) };
    if message.kind != packet::PRELOGIN {
        return Ok(None);
    }
    let requested = login::read_prelogin(&message.data).map_err(malformed)?.unwrap_or(ENCRYPT_NOT_SUPPORTED);
    let client_requires = matches!(requested, ENCRYPT_ON | ENCRYPT_REQUIRED);
    let offered = match &frontend.tls {
        None => ENCRYPT_NOT_SUPPORTED,
        Some(_) if client_requires => ENCRYPT_ON,
        Some(_) => ENCRYPT_REQUIRED,
    };
    let response = packet::message(packet::TABULAR_RESULT, &login::prelogin(offered));
    plain.stream.write_all(&response).await?;
    let Some(config) = &frontend.tls else {
        if client_requires {
            log::info!(
                "TDS: connection closed: the client requires encryption, but the listener has no certificate"
            );
            return Ok(None);
        }
        return Ok(Some(plain.boxed()));
    };
    if requested == ENCRYPT_NOT_SUPPORTED {
        log::info!(
            "TDS: connection closed: the listener requires encryption, but the client does not support it"
        );
        return Ok(None);
    }
    let mut tls_memory = frontend.memory.reservation();
    if tls_memory.try_resize(TLS_MEMORY_BYTES).is_err() {
        log::debug!("TDS: connection closed: no memory for its encryption");
        return Ok(None);
    }
    let acceptor = TlsAcceptor::from(config.clone());
    let encrypted = tls::accept(&acceptor, plain.stream, plain.received.split(), tls_memory).await?;
    let MessageStream { received, assembler, memory, .. } = plain;
    Ok(Some(MessageStream { stream: encrypted, received, assembler, memory }))
}
