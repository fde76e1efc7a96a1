//! The tasks of all engines that are listed or still have attempts in flight.

use super::{
    DiscardedSessions, EndpointCommand, EndpointContext, UpstreamLimits, UpstreamProtocol, line_protocol,
    send_when_possible, tds,
};
use crate::clock::{Clock, Micros};
use crate::core::{AttemptEvent, Command, ConnectionEnd, HealthCheckResult, Input};
use crate::decision::EngineState;
use crate::memory::MemoryBudget;
use crate::service::ServiceHandle;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc};

/// Commands that may wait for one engine. Attempts beyond that are never executed.
const COMMAND_QUEUE_CAPACITY: usize = 2048;

/// The tasks of all engines.
#[derive(Debug)]
pub struct UpstreamPool {
    protocol: UpstreamProtocol,
    handle: ServiceHandle,
    clock: Clock,
    limits: UpstreamLimits,
    memory: MemoryBudget,
    /// Permits for TDS sessions that are opened ahead of requests.
    ahead_permits: Arc<Semaphore>,
    discarded_sessions: DiscardedSessions,
    /// Command queue of each engine's task by engine number. A task ends, with its connections, once its sender is
    /// dropped.
    engines: HashMap<u64, mpsc::Sender<EndpointCommand>>,
}

/// A command for the task of one engine.
struct RoutedCommand {
    engine: u64,
    command: EndpointCommand,
}

impl UpstreamPool {
    /// Creates a pool without engines.
    pub fn new(
        protocol: UpstreamProtocol,
        handle: ServiceHandle,
        clock: Clock,
        limits: UpstreamLimits,
        memory: MemoryBudget,
    ) -> UpstreamPool {
        UpstreamPool {
            protocol,
            handle,
            clock,
            memory,
            ahead_permits: Arc::new(Semaphore::new(limits.max_sessions_ahead)),
            discarded_sessions: DiscardedSessions::default(),
            engines: HashMap::new(),
            limits,
        }
    }

    /// Returns the counts of the sessions that carried no request.
    pub fn discarded_sessions(&self) -> &DiscardedSessions {
        &self.discarded_sessions
    }

    /// Applies a command of the core. If the engine's task does not accept it, returns its end as an input for the
    /// core.
    pub fn apply_command(&mut self, command: Command) -> Option<Input> {
        let RoutedCommand { engine, command } = self.route(command)?;
        let rejected = match self.engines.get(&engine) {
            Some(task) if matches!(command, EndpointCommand::Cancel { .. }) => {
                send_when_possible(task, command);
                return None;
            }
            Some(task) => task.try_send(command).err().map(mpsc::error::TrySendError::into_inner),
            None => Some(command),
        };
        unsent_command_end(engine, rejected?)
    }

    /// Returns the command for an engine's task. Commands for the pool itself are applied here, and `None` is returned
    /// for them.
    fn route(&mut self, command: Command) -> Option<RoutedCommand> {
        let (engine, command) = match command {
            Command::StartAttempt { attempt, engine, call } => {
                (engine, EndpointCommand::Start { attempt, call })
            }
            Command::CancelAttempt { attempt, engine, confirm } => {
                (engine, EndpointCommand::Cancel { attempt, confirm })
            }
            Command::SetPriority { attempt, engine, priority } => {
                (engine, EndpointCommand::SetPriority { attempt, priority })
            }
            Command::HealthCheck { engine } => (engine, EndpointCommand::HealthCheck),
            Command::UpdateEngine { engine, name, address, state } => {
                log::info!("engine {name} at {address}: {}", state.name());
                if state != EngineState::Removed {
                    self.update(engine, address);
                }
                return None;
            }
            Command::RemoveEngine { engine } => {
                self.engines.remove(&engine);
                return None;
            }
            Command::Answer { .. } | Command::Log(_) => return None,
        };
        Some(RoutedCommand { engine, command })
    }

    /// Starts the task of a new engine, or sends the address to the task of a known one.
    fn update(&mut self, engine: u64, address: SocketAddr) {
        if let Some(task) = self.engines.get(&engine) {
            if task.try_send(EndpointCommand::SetAddress(address)).is_err() {
                log::warn!(engine, address:%; "engine's command queue is full: its new address is not applied");
            }
            return;
        }
        let (task, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let context = EndpointContext {
            engine,
            handle: self.handle.clone(),
            clock: self.clock,
            limits: self.limits.clone(),
            memory: self.memory.clone(),
            discarded_sessions: self.discarded_sessions.clone(),
        };
        match &self.protocol {
            UpstreamProtocol::LineProtocol => tokio::spawn(line_protocol::run(context, address, commands)),
            UpstreamProtocol::Tds(login) => {
                let permits = self.ahead_permits.clone();
                tokio::spawn(tds::run(context, address, commands, login.clone(), permits))
            }
        };
        self.engines.insert(engine, task);
    }
}

/// Returns the end of a command that an engine's task did not accept, as an input for the core.
fn unsent_command_end(engine: u64, command: EndpointCommand) -> Option<Input> {
    let end = ConnectionEnd::NeverWritten;
    match command {
        EndpointCommand::Start { attempt, .. } => {
            log::warn!(engine, request:% = attempt; "engine's command queue is full or closed: attempt not sent");
            Some(Input::Attempt { attempt, event: AttemptEvent::Ended { end, report: None } })
        }
        EndpointCommand::HealthCheck => {
            let elapsed = Micros(0);
            Some(Input::HealthChecked(HealthCheckResult { engine, end, report: None, elapsed }))
        }
        EndpointCommand::Cancel { .. }
        | EndpointCommand::SetPriority { .. }
        | EndpointCommand::SetAddress(_) => None,
    }
}
