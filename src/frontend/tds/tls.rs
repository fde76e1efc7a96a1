//! TLS for TDS 7. The TLS records of the handshake are wrapped in PRELOGIN packets (MS-TDS 2.2.6.5), later records are
//! not.

use crate::memory::MemoryReservation;
use crate::tds::packet;
use bytes::{Buf, BytesMut};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;

/// The size of one read during the handshake.
const READ_BYTES: usize = 4096;

/// A client's connection, with or without TLS.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

/// A stream whose bytes are wrapped in PRELOGIN packets during the handshake.
struct HandshakeStream {
    stream: TcpStream,
    /// Whether the handshake is in progress. [`accept`] clears it.
    handshaking: Arc<AtomicBool>,
    /// Received bytes, with packet headers.
    received: BytesMut,
    /// Received TLS records, without packet headers, that TLS has not read yet.
    unwrapped: BytesMut,
    /// Packets that have not been written to the connection yet.
    unwritten: BytesMut,
    /// The memory of the connection's encryption.
    _memory: MemoryReservation,
}

/// Performs the TLS handshake with a client. `received` is the input that followed the client's PRELOGIN.
///
/// # Errors
///
/// The connection failed, or the handshake failed.
pub async fn accept(
    acceptor: &TlsAcceptor,
    stream: TcpStream,
    received: BytesMut,
    memory: MemoryReservation,
) -> io::Result<Box<dyn Stream>> {
    let handshaking = Arc::new(AtomicBool::new(true));
    let wrapped = HandshakeStream {
        stream,
        handshaking: handshaking.clone(),
        received,
        unwrapped: BytesMut::new(),
        unwritten: BytesMut::new(),
        _memory: memory,
    };
    let encrypted = acceptor.accept(wrapped).await?;
    handshaking.store(false, Ordering::Relaxed);
    Ok(Box::new(encrypted))
}

impl HandshakeStream {
    /// Writes all of `unwritten` to the connection.
    fn write_packets(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.unwritten.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &self.unwritten))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.unwritten.advance(written);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads into `received`. Returns false at the end of the stream.
    fn read_more(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut space = [0; READ_BYTES];
        let mut read = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut read))?;
        self.received.extend_from_slice(read.filled());
        Poll::Ready(Ok(!read.filled().is_empty()))
    }
}

impl AsyncRead for HandshakeStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        while this.unwrapped.is_empty() {
            if !this.handshaking.load(Ordering::Relaxed) {
                // Input that was received together with the end of the handshake is not wrapped.
                match this.received.is_empty() {
                    true => return Pin::new(&mut this.stream).poll_read(context, out),
                    false => this.unwrapped = this.received.split(),
                }
                break;
            }
            let packet = packet::next_packet(&mut this.received);
            match packet.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))? {
                Some(packet) if packet.kind == packet::PRELOGIN => this.unwrapped = packet.data,
                Some(_) => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
                None if ready!(this.read_more(context))? => {}
                None => return Poll::Ready(Ok(())),
            }
        }
        let count = this.unwrapped.len().min(out.remaining());
        out.put_slice(&this.unwrapped.split_to(count));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HandshakeStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.handshaking.load(Ordering::Relaxed) {
            // Buffered until the flush, so that one flight of TLS records is written at once.
            this.unwritten.extend_from_slice(&packet::message(packet::PRELOGIN, data));
            return Poll::Ready(Ok(data.len()));
        }
        ready!(this.write_packets(context))?;
        Pin::new(&mut this.stream).poll_write(context, data)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.write_packets(context))?;
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.write_packets(context))?;
        Pin::new(&mut this.stream).poll_shutdown(context)
    }
}
