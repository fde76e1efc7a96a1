//! The lifecycle of a server as a state machine without I/O and clock. Accept loops, health checks and signal handlers
//! all use this one state machine.
//!
//! ```text
//!      EngineListLoaded + EnginesChecked     Quiesce
//!   Starting -----------------> Ready <----------------> Drained
//!       |                         |        Resume           |
//!       +-------------------------+-------------------------+
//!                                 | Terminate
//!           exclusive socket      v      shared socket
//!                Stopping <-------+-------> HandedOver
//!                    |    LastResponseSent      |
//!                    +--------> Ended <---------+
//! ```
//!
//! The effect of each event in each phase. `=` means that the event is allowed and changes nothing; a phase is the
//! next phase; `error` means that nothing changes and the result is the [`TransitionError`] of this name.
//!
//! | event | Starting | Ready | Drained | Stopping, HandedOver | Ended |
//! | --- | --- | --- | --- | --- | --- |
//! | `EngineListLoaded`, `EnginesChecked` | Ready after both | = | recorded | = | = |
//! | `Quiesce` | Drained | Drained | = | error Stopping | error Ended |
//! | `Resume` | = | = | Ready, or Starting where one of the two is missing | error Stopping | error Ended |
//! | `Terminate` | Stopping or HandedOver | the same | the same | = | = |
//! | `Reload` | = | = | = | error Stopping | error Ended |
//! | `LastResponseSent` | error Serving | error Serving | error Serving | Ended | = |
//!
//! ```
//! use sanddyke_lifecycle::{Event, Lifecycle, ListenSocket, Phase};
//!
//! let mut lifecycle = Lifecycle::new(ListenSocket::Exclusive);
//! lifecycle.apply(Event::EngineListLoaded)?;
//! assert_eq!(lifecycle.apply(Event::EnginesChecked)?, Some(Phase::Ready));
//! assert_eq!(lifecycle.apply(Event::Quiesce)?, Some(Phase::Drained));
//! assert!(lifecycle.accepts_connections());
//! assert!(!lifecycle.keeps_idle_connections() && !lifecycle.is_ready());
//! # Ok::<(), sanddyke_lifecycle::TransitionError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;
use thiserror::Error;

/// Which processes accept on the listening socket for clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenSocket {
    /// Only this process. The socket closes with it, and clients continue to connect until they detect the shutdown.
    Exclusive,
    /// Other processes too. No connection is refused when this process stops accepting.
    Shared,
}

/// An event in the lifecycle of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The endpoint list is loaded.
    EngineListLoaded,
    /// Enough engines have answered a health check, or the wait for them has timed out.
    EnginesChecked,
    /// An operator starts a drain: clients have to switch to other servers.
    Quiesce,
    /// An operator ends the drain.
    Resume,
    /// A graceful shutdown begins (SIGTERM).
    Terminate,
    /// The configuration is reloaded (SIGHUP).
    Reload,
    /// The last response after [`Event::Terminate`] is sent.
    LastResponseSent,
}

impl Event {
    /// All events.
    pub const ALL: [Event; 7] = [
        Event::EngineListLoaded,
        Event::EnginesChecked,
        Event::Quiesce,
        Event::Resume,
        Event::Terminate,
        Event::Reload,
        Event::LastResponseSent,
    ];
}

/// The phase of a server's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The endpoint list is not loaded yet, or too few engines have answered a health check.
    Starting,
    /// The server accepts new clients and serves requests.
    Ready,
    /// The server serves requests, but its health check fails so that clients switch to other servers, until it is
    /// resumed.
    Drained,
    /// The server shuts down gracefully, and its socket closes with it.
    Stopping,
    /// The server shuts down gracefully, and another process accepts on its socket.
    HandedOver,
    /// The last response is sent.
    Ended,
}

impl Phase {
    /// Returns the name of the phase, as health checks and the log print it.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Ready => "ready",
            Phase::Drained => "drained",
            Phase::Stopping => "stopping",
            Phase::HandedOver => "handed over",
            Phase::Ended => "ended",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}

/// The reason why an event is not allowed in the current phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TransitionError {
    /// The server is shutting down.
    #[error("the program is stopping")]
    Stopping,
    /// The server has ended.
    #[error("the program has ended")]
    Ended,
    /// The server has not received [`Event::Terminate`].
    #[error("the program is serving")]
    Serving,
}

/// The stages of a server's lifecycle, in order. A server never returns to an earlier stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    ShuttingDown,
    Ended,
}

/// The lifecycle of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifecycle {
    socket: ListenSocket,
    stage: Stage,
    drained: bool,
    engine_list_loaded: bool,
    engines_checked: bool,
}

impl Lifecycle {
    /// Creates the lifecycle of a server that has just started.
    pub fn new(socket: ListenSocket) -> Lifecycle {
        Lifecycle {
            socket,
            stage: Stage::Serving,
            drained: false,
            engine_list_loaded: false,
            engines_checked: false,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match (self.stage, self.socket) {
            (Stage::Ended, _) => Phase::Ended,
            (Stage::ShuttingDown, ListenSocket::Exclusive) => Phase::Stopping,
            (Stage::ShuttingDown, ListenSocket::Shared) => Phase::HandedOver,
            (Stage::Serving, _) if self.drained => Phase::Drained,
            (Stage::Serving, _) if self.engine_list_loaded && self.engines_checked => Phase::Ready,
            (Stage::Serving, _) => Phase::Starting,
        }
    }

    /// Applies an event. Returns the new phase, or `None` if the phase stays the same.
    ///
    /// # Errors
    /// The current phase does not allow the event. Then nothing changes.
    pub fn apply(&mut self, event: Event) -> Result<Option<Phase>, TransitionError> {
        let before = self.phase();
        match self.stage {
            Stage::Serving => self.apply_while_serving(event)?,
            Stage::ShuttingDown => self.apply_while_shutting_down(event)?,
            Stage::Ended => Lifecycle::apply_after_end(event)?,
        }
        let after = self.phase();
        Ok((after != before).then_some(after))
    }

    fn apply_while_serving(&mut self, event: Event) -> Result<(), TransitionError> {
        match event {
            Event::EngineListLoaded => self.engine_list_loaded = true,
            Event::EnginesChecked => self.engines_checked = true,
            Event::Quiesce => self.drained = true,
            Event::Resume => self.drained = false,
            Event::Terminate => self.stage = Stage::ShuttingDown,
            Event::Reload => {}
            Event::LastResponseSent => return Err(TransitionError::Serving),
        }
        Ok(())
    }

    fn apply_while_shutting_down(&mut self, event: Event) -> Result<(), TransitionError> {
        match event {
            Event::LastResponseSent => self.stage = Stage::Ended,
            Event::EngineListLoaded | Event::EnginesChecked | Event::Terminate => {}
            Event::Quiesce | Event::Resume | Event::Reload => return Err(TransitionError::Stopping),
        }
        Ok(())
    }

    fn apply_after_end(event: Event) -> Result<(), TransitionError> {
        match event {
            Event::EngineListLoaded | Event::EnginesChecked | Event::Terminate | Event::LastResponseSent => {
                Ok(())
            }
            Event::Quiesce | Event::Resume | Event::Reload => Err(TransitionError::Ended),
        }
    }

    /// Returns whether health checks report the server as ready for new clients.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Returns whether the server is shutting down or has ended.
    pub fn is_shutting_down(&self) -> bool {
        self.stage != Stage::Serving
    }

    /// Returns whether the server accepts new connections. A drained server does, because clients continue to connect
    /// until they detect the drain.
    pub fn accepts_connections(&self) -> bool {
        !matches!(self.phase(), Phase::HandedOver | Phase::Ended)
    }

    /// Returns whether a connection stays open after a response, for its client's next request.
    pub fn keeps_idle_connections(&self) -> bool {
        matches!(self.phase(), Phase::Starting | Phase::Ready)
    }
}
