//! The way to the engines: one task for each engine, which keeps its connections.

pub mod line_protocol;
pub mod tds;

use crate::clock::{Clock, Micros};
use crate::core::{AttemptEvent, AttemptId, Call, Command, ConnectionEnd, HealthCheckResult, Input};
use crate::decision::{EngineState, LoadReport};
use crate::service::{ServiceEnded, ServiceHandle};
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

/// What an engine's task is told.
#[derive(Debug)]
pub enum EndpointCommand {
    /// Start an attempt.
    Start(AttemptId, Call),
    /// Give one up; where told so, bring word once the engine has read it.
    Cancel(AttemptId, bool),
    /// Change its priority.
    SetPriority(AttemptId, u8),
    /// Probe the engine.
    HealthCheck,
    /// The engine listens here from now on.
    Address(SocketAddr),
}

/// What engines speak.
#[derive(Debug, Clone)]
pub enum UpstreamProtocol {
    /// The platform's lines.
    LineProtocol,
    /// TDS, with these words for the login.
    Tds(tds::Login),
}

/// Figures for connections to engines.
#[derive(Debug, Clone)]
pub struct UpstreamLimits {
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
pub struct ResultBudget {
    bytes: usize,
    all: Arc<AtomicUsize>,
}

impl ResultBudget {
    /// Counts some more; false where they are too many, for one result or for all together.
    pub fn add(&mut self, more: usize, most: usize) -> bool {
        self.bytes += more;
        let all = self.all.fetch_add(more, Ordering::Relaxed) + more;
        self.bytes <= MOST_RESULT && all <= most
    }
}

impl Drop for ResultBudget {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// What every connection of an engine's needs to tell the core.
#[derive(Debug, Clone)]
pub struct EndpointContext {
    /// The engine.
    pub engine: u64,
    /// The way to the core.
    pub handle: ServiceHandle,
    /// The clock.
    pub clock: Clock,
    /// Figures.
    pub limits: UpstreamLimits,
    /// Bytes of results that all engines' connections now collect.
    pub collected: Arc<AtomicUsize>,
}

impl EndpointContext {
    /// Begins to collect a result.
    pub fn collect(&self) -> ResultBudget {
        ResultBudget { bytes: 0, all: self.collected.clone() }
    }

    /// Word of an attempt.
    pub async fn news(&self, attempt: AttemptId, news: AttemptEvent) -> Result<(), ServiceEnded> {
        self.handle.notify(Input::Attempt { attempt, event: news }).await
    }

    /// The end of an attempt without a result.
    pub async fn ended(&self, attempt: AttemptId, end: ConnectionEnd) -> Result<(), ServiceEnded> {
        self.news(attempt, AttemptEvent::Ended { end, report: None }).await
    }

    /// What a probe found.
    pub async fn probed(
        &self,
        end: ConnectionEnd,
        report: Option<LoadReport>,
        elapsed: Micros,
    ) -> Result<(), ServiceEnded> {
        self.handle
            .notify(Input::HealthChecked(HealthCheckResult { engine: self.engine, end, report, elapsed }))
            .await
    }

    /// Tells of an command that was never written.
    pub async fn unwritten(&self, command: EndpointCommand, end: ConnectionEnd) -> Result<(), ServiceEnded> {
        match command {
            EndpointCommand::Start(attempt, _) => self.ended(attempt, end).await,
            EndpointCommand::HealthCheck => self.probed(end, None, Micros(0)).await,
            EndpointCommand::Cancel(..) | EndpointCommand::SetPriority(..) | EndpointCommand::Address(_) => {
                Ok(())
            }
        }
    }
}

/// All engines that are listed, or still hold something.
#[derive(Debug)]
pub struct UpstreamPool {
    wire: UpstreamProtocol,
    handle: ServiceHandle,
    clock: Clock,
    limits: UpstreamLimits,
    collected: Arc<AtomicUsize>,
    links: HashMap<u64, mpsc::Sender<EndpointCommand>>,
}

impl UpstreamPool {
    /// No engines yet.
    pub fn new(
        wire: UpstreamProtocol,
        handle: ServiceHandle,
        clock: Clock,
        limits: UpstreamLimits,
    ) -> UpstreamPool {
        UpstreamPool { wire, handle, clock, limits, collected: Arc::default(), links: HashMap::new() }
    }

    /// Carries out what the core wants of an engine; what can't be handed on comes back as its end.
    pub fn carry_out(&mut self, command: Command) -> Option<Input> {
        let (engine, command) = match command {
            Command::UpdateEngine { engine, name, address, state } => {
                log::info!("engine {name} at {address}: {}", state.name());
                if state != EngineState::Removed {
                    self.listed(engine, address);
                }
                return None;
            }
            Command::StartAttempt { attempt, engine, call } => {
                (engine, EndpointCommand::Start(attempt, call))
            }
            Command::CancelAttempt { attempt, engine, confirm } => {
                (engine, EndpointCommand::Cancel(attempt, confirm))
            }
            Command::SetPriority { attempt, engine, priority } => {
                (engine, EndpointCommand::SetPriority(attempt, priority))
            }
            Command::HealthCheck { engine } => (engine, EndpointCommand::HealthCheck),
            // Its task ends with the way to it, and so do its connections.
            Command::RemoveEngine { engine } => {
                self.links.remove(&engine);
                return None;
            }
            Command::Answer { .. } | Command::Log(_) => return None,
        };
        let refused = match self.links.get(&engine) {
            Some(link) => link.try_send(command).err().map(|full| full.into_inner()),
            None => Some(command),
        };
        match refused? {
            EndpointCommand::Start(attempt, _) => {
                log::warn!("an engine's queue is full: attempt not sent");
                let event = AttemptEvent::Ended { end: ConnectionEnd::NeverWritten, report: None };
                Some(Input::Attempt { attempt, event })
            }
            EndpointCommand::HealthCheck => {
                let end = ConnectionEnd::NeverWritten;
                let elapsed = Micros(0);
                Some(Input::HealthChecked(HealthCheckResult { engine, end, report: None, elapsed }))
            }
            _ => None,
        }
    }

    fn listed(&mut self, engine: u64, address: SocketAddr) {
        if let Some(link) = self.links.get(&engine) {
            if link.try_send(EndpointCommand::Address(address)).is_err() {
                log::warn!("an engine's queue is full: its new address is not known");
            }
            return;
        }
        let (link, commands) = mpsc::channel(QUEUE);
        let (handle, limits) = (self.handle.clone(), self.limits.clone());
        let context =
            EndpointContext { engine, handle, clock: self.clock, limits, collected: self.collected.clone() };
        match &self.wire {
            UpstreamProtocol::LineProtocol => tokio::spawn(line_protocol::run(context, address, commands)),
            UpstreamProtocol::Tds(login) => tokio::spawn(tds::run(context, address, commands, login.clone())),
        };
        self.links.insert(engine, link);
    }
}

/// How a connection that could not be had failed.
pub fn failed_connect(error: &std::io::Error) -> ConnectionEnd {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => ConnectionEnd::ConnectRefused,
        _ => ConnectionEnd::ConnectTimeout,
    }
}

/// How a connection that was up ended.
pub fn failed_io(error: &std::io::Error) -> ConnectionEnd {
    match error.kind() {
        std::io::ErrorKind::ConnectionReset | std::io::ErrorKind::BrokenPipe => ConnectionEnd::Reset,
        _ => ConnectionEnd::Closed,
    }
}
