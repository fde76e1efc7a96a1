//! The lifecycle of a server as one state machine without I/O and clock: the one source for accept loops, health
//! checks and signal handlers.
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
//! What each event does in each phase (`=`: nothing, and that is no error; a phase: the one that follows; `error`:
//! a [`TransitionError`] of this name, and nothing changes):
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

/// Who accepts on the socket to which clients connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenSocket {
    /// This process alone: the socket closes with it, and clients connect until they notice.
    Exclusive,
    /// Other processes too: no client is rejected when this one stops accepting.
    Shared,
}

/// What happens to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It has read the list of engines.
    EngineListLoaded,
    /// Enough engines have answered a health check, or the wait for them is over.
    EnginesChecked,
    /// An operator drains it: clients are to go elsewhere.
    Quiesce,
    /// An operator ends the drain.
    Resume,
    /// It is to shut down gracefully (SIGTERM).
    Terminate,
    /// It is to read its configuration again (SIGHUP).
    Reload,
    /// After [`Event::Terminate`], the last response is sent.
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
    /// It can't serve well yet.
    Starting,
    /// It serves.
    Ready,
    /// It serves, and asks clients to go elsewhere, until it is resumed.
    Drained,
    /// It shuts down gracefully, and its socket closes with it.
    Stopping,
    /// It shuts down gracefully, and another process accepts on its socket.
    HandedOver,
    /// Everything is answered.
    Ended,
}

impl Phase {
    /// The name in health checks and the log.
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

/// Why an event is not allowed in the present phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TransitionError {
    /// The server shuts down already.
    #[error("the program is stopping")]
    Stopping,
    /// The server has ended.
    #[error("the program has ended")]
    Ended,
    /// The server was not terminated.
    #[error("the program is serving")]
    Serving,
}

/// How far a server's lifecycle has come; it never goes back.
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
    /// The lifecycle of a server that has just started.
    pub fn new(socket: ListenSocket) -> Lifecycle {
        Lifecycle {
            socket,
            stage: Stage::Serving,
            drained: false,
            engine_list_loaded: false,
            engines_checked: false,
        }
    }

    /// The present phase.
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

    /// Applies an event, and gives the phase that follows where it is another.
    ///
    /// # Errors
    /// Where the present phase does not allow the event; then nothing changes.
    pub fn apply(&mut self, event: Event) -> Result<Option<Phase>, TransitionError> {
        let before = self.phase();
        match self.stage {
            Stage::Serving => self.apply_while_serving(event)?,
            Stage::ShuttingDown => self.apply_while_shutting_down(event)?,
            Stage::Ended => Lifecycle::apply_after_the_end(event)?,
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

    fn apply_after_the_end(event: Event) -> Result<(), TransitionError> {
        match event {
            Event::EngineListLoaded | Event::EnginesChecked | Event::Terminate | Event::LastResponseSent => {
                Ok(())
            }
            Event::Quiesce | Event::Resume | Event::Reload => Err(TransitionError::Ended),
        }
    }

    /// Whether a health check finds it ready for new clients.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Whether it shuts down, or has ended.
    pub fn is_shutting_down(&self) -> bool {
        self.stage != Stage::Serving
    }

    /// Whether it accepts new connections. A drained server does: clients connect until they notice.
    pub fn accepts_connections(&self) -> bool {
        !matches!(self.phase(), Phase::HandedOver | Phase::Ended)
    }

    /// Whether a connection stays open for the client's next request.
    pub fn keeps_idle_connections(&self) -> bool {
        matches!(self.phase(), Phase::Starting | Phase::Ready)
    }
}
