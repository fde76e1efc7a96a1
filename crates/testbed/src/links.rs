//! The links between managers, held by the rig: each manager is told an address of the rig's for itself, and the rig
//! passes on what comes there, or does not. A link is one direction between two managers, told apart by the address that
//! the sender connects from. Messages are passed on whole, so that one can be lost, late, twice or out of order.

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

/// Messages on their way on one connection.
const ON_THE_WAY: usize = 4096;
/// The longest message.
const LONGEST: usize = 1 << 20;

/// What is wrong with one direction.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Trouble {
    /// Each message takes so long, in ms.
    pub delay_ms: u64,
    /// And up to so much more, so that they overtake each other.
    pub jitter_ms: u64,
    /// This part of them is lost.
    pub loss: f64,
    /// This part of them comes twice.
    pub twice: f64,
    /// Nothing passes: what is said is lost, and new connections end at once.
    pub cut: bool,
    /// Nothing is read any more; connections stay open.
    pub silent: bool,
}

/// All directions. What is not set is well.
#[derive(Debug)]
pub struct Links {
    troubles: watch::Sender<HashMap<(IpAddr, IpAddr), Trouble>>,
    resets: watch::Sender<u64>,
    rng: Mutex<Rand64>,
}

impl Links {
    /// All is well.
    pub fn new(seed: u64) -> Arc<Links> {
        Arc::new(Links {
            troubles: watch::Sender::new(HashMap::new()),
            resets: watch::Sender::new(0),
            rng: Mutex::new(Rand64::new(u128::from(seed))),
        })
    }

    /// Sets one direction.
    pub fn set(&self, from: IpAddr, to: IpAddr, trouble: Trouble) {
        self.troubles.send_modify(|all| {
            all.insert((from, to), trouble);
        });
    }

    /// All is well again.
    pub fn mend(&self) {
        self.troubles.send_modify(HashMap::clear);
    }

    /// Ends all connections that are open.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    fn drawn(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).rand_float()
    }

    /// Passes on what comes at one address to another.
    pub async fn pass_on(self: &Arc<Self>, at: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let (listener, links) = (TcpListener::bind(at).await?, self.clone());
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                tokio::spawn(links.clone().connection(stream, from.ip(), to));
            }
        });
        Ok(())
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, from: IpAddr, to: SocketAddr) {
        let codec = || LengthDelimitedCodec::builder().max_frame_length(LONGEST).new_codec();
        let (mut troubles, mut resets) = (self.troubles.subscribe(), self.resets.subscribe());
        resets.borrow_and_update();
        let trouble = |all: &watch::Receiver<HashMap<_, Trouble>>| {
            all.borrow().get(&(from, to.ip())).copied().unwrap_or_default()
        };
        if trouble(&troubles).cut {
            return;
        }
        let Ok(onward) = TcpStream::connect(to).await else { return };
        let (mut input, mut output) = (FramedRead::new(stream, codec()), FramedWrite::new(onward, codec()));
        let (sender, mut ready) = mpsc::channel::<Bytes>(ON_THE_WAY);
        loop {
            let now = trouble(&troubles);
            tokio::select! {
                message = input.next(), if !now.silent => {
                    let Some(Ok(message)) = message else { return };
                    let (message, copies) = (message.freeze(), 1 + usize::from(self.drawn() < now.twice));
                    if now.cut || self.drawn() < now.loss {
                        continue;
                    }
                    for _ in 0..copies {
                        let late = now.delay_ms + (self.drawn() * now.jitter_ms as f64) as u64;
                        let (sender, message) = (sender.clone(), message.clone());
                        if late == 0 {
                            let _full = sender.try_send(message);
                        } else {
                            tokio::spawn(async move {
                                tokio::time::sleep(Duration::from_millis(late)).await;
                                let _ended = sender.send(message).await;
                            });
                        }
                    }
                }
                message = ready.recv() => {
                    let Some(message) = message else { return };
                    if output.send(message).await.is_err() {
                        return;
                    }
                }
                _ = troubles.changed() => {}
                _ = resets.changed() => return,
            }
        }
    }
}
