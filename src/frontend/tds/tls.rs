//! TLS under TDS 7: the handshake's records travel in PRELOGIN packets, and what follows on the bare stream.

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

/// A client's connection, encrypted or not.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

/// A stream whose bytes are wrapped in PRELOGIN packets for as long as the handshake lasts.
struct Wrapped {
    stream: TcpStream,
    handshake: Arc<AtomicBool>,
    received: BytesMut,
    unwrapped: BytesMut,
    unwritten: BytesMut,
}

/// Shakes hands with a client; `received` is what it sent after its PRELOGIN.
pub async fn accept(
    acceptor: &TlsAcceptor,
    stream: TcpStream,
    received: BytesMut,
) -> io::Result<Box<dyn Stream>> {
    let handshake = Arc::new(AtomicBool::new(true));
    let (unwrapped, unwritten) = (BytesMut::new(), BytesMut::new());
    let wrapped = Wrapped { stream, handshake: handshake.clone(), received, unwrapped, unwritten };
    let encrypted = acceptor.accept(wrapped).await?;
    handshake.store(false, Ordering::Relaxed);
    Ok(Box::new(encrypted))
}

impl Wrapped {
    fn write_out(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.unwritten.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &self.unwritten))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.unwritten.advance(written);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads on into `received`; false at the stream's end.
    fn read_in(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut space = [0; 4096];
        let mut read = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut read))?;
        self.received.extend_from_slice(read.filled());
        Poll::Ready(Ok(!read.filled().is_empty()))
    }
}

impl AsyncRead for Wrapped {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        while this.unwrapped.is_empty() {
            if !this.handshake.load(Ordering::Relaxed) {
                // What came close behind the handshake is bare already.
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
                None if ready!(this.read_in(context))? => {}
                None => return Poll::Ready(Ok(())),
            }
        }
        let count = this.unwrapped.len().min(out.remaining());
        out.put_slice(&this.unwrapped.split_to(count));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wrapped {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.handshake.load(Ordering::Relaxed) {
            // Gathered to the flush, so that a flight goes out as few packets.
            this.unwritten.extend_from_slice(&packet::message(packet::PRELOGIN, data));
            return Poll::Ready(Ok(data.len()));
        }
        ready!(this.write_out(context))?;
        Pin::new(&mut this.stream).poll_write(context, data)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.write_out(context))?;
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.write_out(context))?;
        Pin::new(&mut this.stream).poll_shutdown(context)
    }
}
