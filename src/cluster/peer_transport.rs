//! Connections between managers: one for each direction, each used one way, with messages behind their length. What
//! can't be sent is lost; whoever needs it says it again.

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sanddyke_cluster::node::LONGEST_MESSAGE;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Messages that wait for one manager; what comes on top is lost.
const QUEUE: usize = 256;
/// Managers to which this one has a connection at once, and that have one to it.
const MOST: usize = 1024;
/// A connection that is not up by then is none, nor is one that takes no more for so long.
const CONNECT_TIME: Duration = Duration::from_secs(1);
const WRITE_TIME: Duration = Duration::from_secs(2);
/// One that nothing was said on for so long is closed: members speak to each other about once a round of all.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// A message that came.
pub type Arrived = Vec<u8>;

/// The ways to other managers.
pub struct Links {
    own: SocketAddr,
    ways: HashMap<SocketAddr, mpsc::Sender<Bytes>>,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(LONGEST_MESSAGE).new_codec()
}

impl Links {
    /// Hears others on a listener from now on.
    pub fn start(listener: TcpListener, own: SocketAddr, arrive: mpsc::Sender<Arrived>) -> Links {
        tokio::spawn(hear(listener, arrive));
        Links { own, ways: HashMap::new() }
    }

    /// Sends a message, or gives it up: false where it is lost already.
    pub fn send(&mut self, to: SocketAddr, message: Vec<u8>) -> bool {
        self.ways.retain(|_, way| !way.is_closed());
        if !self.ways.contains_key(&to) && self.ways.len() >= MOST {
            return false;
        }
        let way = self.ways.entry(to).or_insert_with(|| {
            let (way, messages) = mpsc::channel(QUEUE);
            tokio::spawn(speak(self.own, to, messages));
            way
        });
        way.try_send(message.into()).is_ok()
    }
}

async fn connect(own: SocketAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    // From the address that it listens at: others see by it who speaks.
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if own.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(own.ip(), 0))?;
    }
    let stream = tokio::time::timeout(CONNECT_TIME, socket.connect(to)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Says what is to be said to one manager until the connection ends. The next message opens another.
async fn speak(own: SocketAddr, to: SocketAddr, mut messages: mpsc::Receiver<Bytes>) {
    let stream = match connect(own, to).await {
        Ok(stream) => stream,
        Err(error) => return log::debug!("cluster: no way to {to}: {error}"),
    };
    let mut out = FramedWrite::new(stream, codec());
    while let Ok(Some(message)) = tokio::time::timeout(IDLE_TIME, messages.recv()).await {
        let sent = tokio::time::timeout(WRITE_TIME, out.send(message)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return log::debug!("cluster: the way to {to} has ended");
        }
    }
}

async fn hear(listener: TcpListener, arrive: mpsc::Sender<Arrived>) {
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(MOST));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cluster: a connection can't be accepted: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            log::warn!("cluster: {from} is turned away: {MOST} are heard");
            continue;
        };
        let arrive = arrive.clone();
        tokio::spawn(async move {
            let mut input = FramedRead::new(stream, codec());
            while let Ok(Some(message)) = tokio::time::timeout(IDLE_TIME, input.next()).await {
                match message {
                    Ok(message) => {
                        if arrive.send(message.to_vec()).await.is_err() {
                            return;
                        }
                    }
                    Err(error) => {
                        log::warn!("cluster: {from} can't be understood, its connection ends: {error}");
                        break;
                    }
                }
            }
            drop(place);
        });
    }
}
