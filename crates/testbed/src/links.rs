//! Fault injection on the links between managers. Each manager advertises an address of the testbed, which relays
//! messages from there to the manager. A link is one direction between two managers, and the sender is identified by
//! its IP address. The unit of relaying is a complete message, so that each can be lost, delayed, duplicated or
//! reordered.

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use oorandom::Rand64;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Maximum number of messages in transit on one connection; further messages without delay are lost.
const MAX_MESSAGES_IN_TRANSIT: usize = 4096;
/// Maximum length of a message; a longer one closes its connection.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The faults of one link.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkFault {
    /// Delay of each message (ms).
    pub delay_ms: u64,
    /// Upper bound of the additional random delay (ms), which can reorder messages.
    pub jitter_ms: u64,
    /// Fraction of the messages that are lost.
    pub loss: f64,
    /// Fraction of the messages that are duplicated.
    pub duplication: f64,
    /// Whether all messages are lost and new connections are closed immediately.
    pub cut: bool,
    /// Whether reading stops while connections stay open.
    pub stalled: bool,
}

/// A link from one manager to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Link {
    from: IpAddr,
    to: IpAddr,
}

type LinkFaults = HashMap<Link, LinkFault>;

/// All links of a fleet. A link without faults relays every message immediately.
#[derive(Debug)]
pub struct Links {
    faults: watch::Sender<LinkFaults>,
    /// Number of resets so far.
    resets: watch::Sender<u64>,
    rng: Mutex<Rand64>,
}

impl Links {
    /// Creates links without faults. The seed determines losses, duplications and jitter.
    pub fn new(seed: u64) -> Arc<Links> {
        Arc::new(Links {
            faults: watch::Sender::new(HashMap::new()),
            resets: watch::Sender::new(0),
            rng: Mutex::new(Rand64::new(u128::from(seed))),
        })
    }

    /// Replaces the faults of one link.
    pub fn set(&self, from: IpAddr, to: IpAddr, fault: LinkFault) {
        self.faults.send_modify(|faults| {
            faults.insert(Link { from, to }, fault);
        });
    }

    /// Removes the faults of all links.
    pub fn clear_faults(&self) {
        self.faults.send_modify(HashMap::clear);
    }

    /// Closes all open relayed connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Relays connections from the address `listen` to the address `to` until the runtime ends.
    ///
    /// # Errors
    /// Fails if `listen` cannot be bound.
    pub async fn relay(self: &Arc<Self>, listen: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let links = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                tokio::spawn(links.clone().relay_connection(stream, from.ip(), to));
            }
        });
        Ok(())
    }

    async fn relay_connection(self: Arc<Self>, stream: TcpStream, from: IpAddr, to: SocketAddr) {
        let link = Link { from, to: to.ip() };
        let mut faults = self.faults.subscribe();
        let mut resets = self.resets.subscribe();
        resets.borrow_and_update();
        if current_fault(&faults, link).cut {
            return;
        }
        let Ok(onward) = TcpStream::connect(to).await else { return };
        let mut input = FramedRead::new(stream, codec());
        let mut output = FramedWrite::new(onward, codec());
        let (sender, mut due_messages) = mpsc::channel::<Bytes>(MAX_MESSAGES_IN_TRANSIT);
        loop {
            let fault = current_fault(&faults, link);
            tokio::select! {
                message = input.next(), if !fault.stalled => {
                    let Some(Ok(message)) = message else { return };
                    self.send(message.freeze(), fault, &sender);
                }
                message = due_messages.recv() => {
                    let Some(message) = message else { return };
                    if output.send(message).await.is_err() {
                        return;
                    }
                }
                _ = faults.changed() => {}
                _ = resets.changed() => return,
            }
        }
    }

    /// Applies the faults of the link to a message and queues each remaining copy after its delay.
    fn send(&self, message: Bytes, fault: LinkFault, sender: &mpsc::Sender<Bytes>) {
        let copies = 1 + usize::from(self.sample() < fault.duplication);
        if fault.cut || self.sample() < fault.loss {
            return;
        }
        for _ in 0..copies {
            let delay_ms = fault.delay_ms + (self.sample() * fault.jitter_ms as f64) as u64;
            let sender = sender.clone();
            let message = message.clone();
            if delay_ms == 0 {
                // If the queue is full, the message is lost, as on a congested link.
                let _ = sender.try_send(message);
            } else {
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    // Fails only if the connection has been closed during the delay.
                    let _ = sender.send(message).await;
                });
            }
        }
    }

    fn sample(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).rand_float()
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

fn current_fault(faults: &watch::Receiver<LinkFaults>, link: Link) -> LinkFault {
    faults.borrow().get(&link).copied().unwrap_or_default()
}
