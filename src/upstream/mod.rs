//! The way to the engines: one task for each engine, which keeps its connections.

pub mod line_protocol;
pub mod tds;

use crate::clock::{Clock, Micros};
use crate::core::{AttemptNews, Call, Command, ConnectionEnd, Input};
use crate::decision::{EngineState, LoadReport};
use crate::service::{Ended, Handle};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// What may wait for one engine at once; what comes on top never ran.
const QUEUE: usize = 2048;

/// The longest result collected, in bytes.
const MOST_RESULT: usize = 1 << 20;

/// Names an attempt: its request's number and its own.
pub type AttemptId = (u64, u32);

/// What an engine's task is told.
#[derive(Debug)]
pub enum Order {
    /// Start an attempt.
    Launch(AttemptId, Call),
    /// Give one up; where told so, bring word once the engine has read it.
    Halt(AttemptId, bool),
    /// Change its priority.
    Rank(AttemptId, u8),
    /// Probe the engine.
    Probe,
    /// The engine listens here from now on.
    Address(SocketAddr),
}

/// What engines speak.
#[derive(Debug, Clone)]
pub enum Wire {
    /// The platform's lines.
    Lines,
    /// TDS, with these words for the login.
    Tds(tds::Login),
}

/// Figures for connections to engines.
#[derive(Debug, Clone)]
pub struct Limits {
    /// A connection that is not up by then is none.
    pub connect_timeout: Duration,
    /// A probe that has no answer by then has none.
    pub probe_timeout: Micros,
    /// An engine that owes word and says nothing for this long is gone.
    pub silent_after: Micros,
    /// Whether engines tell of each request while it runs. Where they do not, silence of one says nothing.
    pub reports_progress: bool,
    /// A line of an engine's is there whole by then, from its first byte.
    pub line_within: Micros,
    /// Idle connections are closed after this long.
    pub idle_after: Micros,
    /// Bytes of results that may be collected at once, before they are whole.
    pub collected: usize,
    /// Attempts that one connection carries at once.
    pub streams: usize,
    /// Connections to one engine.
    pub connections: usize,
}

/// Bytes of a result that is not whole yet. They count until it is passed on or given up.
#[derive(Debug)]
pub struct Collected {
    bytes: usize,
    all: Arc<AtomicUsize>,
}

impl Collected {
    /// Counts some more; false where they are too many, for one result or for all together.
    pub fn add(&mut self, more: usize, most: usize) -> bool {
        self.bytes += more;
        let all = self.all.fetch_add(more, Ordering::Relaxed) + more;
        self.bytes <= MOST_RESULT && all <= most
    }
}

impl Drop for Collected {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// What every connection of an engine's needs to tell the core.
#[derive(Debug, Clone)]
pub struct Uplink {
    /// The engine.
    pub engine: u64,
    /// The way to the core.
    pub handle: Handle,
    /// The clock.
    pub clock: Clock,
    /// Figures.
    pub limits: Limits,
    /// Bytes of results that all engines' connections now collect.
    pub collected: Arc<AtomicUsize>,
}

impl Uplink {
    /// Begins to collect a result.
    pub fn collect(&self) -> Collected {
        Collected { bytes: 0, all: self.collected.clone() }
    }

    /// Word of an attempt.
    pub async fn news(&self, attempt: AttemptId, news: AttemptNews) -> Result<(), Ended> {
        self.handle.tell(Input::Attempt { request: attempt.0, attempt: attempt.1, news }).await
    }

    /// The end of an attempt without a result.
    pub async fn ended(&self, attempt: AttemptId, end: ConnectionEnd) -> Result<(), Ended> {
        self.news(attempt, AttemptNews::Ended { end, report: None }).await
    }

    /// What a probe found.
    pub async fn probed(
        &self,
        end: ConnectionEnd,
        report: Option<LoadReport>,
        elapsed: Micros,
    ) -> Result<(), Ended> {
        self.handle.tell(Input::Probed { engine: self.engine, end, report, elapsed }).await
    }

    /// Tells of an order that was never written.
    pub async fn unwritten(&self, order: Order, end: ConnectionEnd) -> Result<(), Ended> {
        match order {
            Order::Launch(attempt, _) => self.ended(attempt, end).await,
            Order::Probe => self.probed(end, None, Micros(0)).await,
            Order::Halt(..) | Order::Rank(..) | Order::Address(_) => Ok(()),
        }
    }
}

/// All engines that are listed, or still hold something.
#[derive(Debug)]
pub struct Backs {
    wire: Wire,
    handle: Handle,
    clock: Clock,
    limits: Limits,
    collected: Arc<AtomicUsize>,
    links: HashMap<u64, mpsc::Sender<Order>>,
}

impl Backs {
    /// No engines yet.
    pub fn new(wire: Wire, handle: Handle, clock: Clock, limits: Limits) -> Backs {
        Backs { wire, handle, clock, limits, collected: Arc::default(), links: HashMap::new() }
    }

    /// Carries out what the core wants of an engine; what can't be handed on comes back as its end.
    pub fn carry_out(&mut self, command: Command) -> Option<Input> {
        let (engine, order) = match command {
            Command::Engine { engine, name, address, state } => {
                log::info!("engine {name} at {address}: {}", format!("{state:?}").to_lowercase());
                if state != EngineState::Gone {
                    self.listed(engine, address);
                }
                return None;
            }
            Command::Launch { request, attempt, engine, call } => {
                (engine, Order::Launch((request, attempt), call))
            }
            Command::Halt { request, attempt, engine, confirm } => {
                (engine, Order::Halt((request, attempt), confirm))
            }
            Command::Rank { request, attempt, engine, priority } => {
                (engine, Order::Rank((request, attempt), priority))
            }
            Command::Probe { engine } => (engine, Order::Probe),
            // Its task ends with the way to it, and so do its connections.
            Command::Forget { engine } => {
                self.links.remove(&engine);
                return None;
            }
            Command::Answer { .. } | Command::Log(_) => return None,
        };
        let refused = match self.links.get(&engine) {
            Some(link) => link.try_send(order).err().map(|full| full.into_inner()),
            None => Some(order),
        };
        match refused? {
            Order::Launch((request, attempt), _) => {
                log::warn!("an engine's queue is full: attempt not sent");
                let news = AttemptNews::Ended { end: ConnectionEnd::NeverWritten, report: None };
                Some(Input::Attempt { request, attempt, news })
            }
            Order::Probe => {
                let end = ConnectionEnd::NeverWritten;
                Some(Input::Probed { engine, end, report: None, elapsed: Micros(0) })
            }
            _ => None,
        }
    }

    fn listed(&mut self, engine: u64, address: SocketAddr) {
        if let Some(link) = self.links.get(&engine) {
            if link.try_send(Order::Address(address)).is_err() {
                log::warn!("an engine's queue is full: its new address is not known");
            }
            return;
        }
        let (link, orders) = mpsc::channel(QUEUE);
        let (handle, limits) = (self.handle.clone(), self.limits.clone());
        let uplink = Uplink { engine, handle, clock: self.clock, limits, collected: self.collected.clone() };
        match &self.wire {
            Wire::Lines => tokio::spawn(line_protocol::run(uplink, address, orders)),
            Wire::Tds(login) => tokio::spawn(tds::run(uplink, address, orders, login.clone())),
        };
        self.links.insert(engine, link);
    }
}

/// How a connection that could not be had failed.
pub fn failed_connect(error: &std::io::Error) -> ConnectionEnd {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => ConnectionEnd::Refused,
        _ => ConnectionEnd::NotUp,
    }
}

/// How a connection that was up ended.
pub fn failed_io(error: &std::io::Error) -> ConnectionEnd {
    match error.kind() {
        std::io::ErrorKind::ConnectionReset | std::io::ErrorKind::BrokenPipe => ConnectionEnd::Reset,
        _ => ConnectionEnd::Closed,
    }
}
