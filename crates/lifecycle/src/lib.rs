//! Where a server stands in its life, as one state machine without I/O and clock. Doors, health checks and
//! signals ask it and nothing else.
//!
//! ```text
//!              Listed + Heard            Quiesce
//!   Starting ----------------> Ready <-----------> Drained
//!       |                        |      Resume        |
//!       +------------------------+--------------------+
//!                                | Terminate
//!               own socket       v        a socket that outlives it
//!                Stopping <------+------> HandedOver
//!                    |      LastAnswer        |
//!                    +--------> Ended <-------+
//! ```
//!
//! What each event does in each phase (`=`: nothing, and that is well; a word: the phase that follows; `no`:
//! refused, with the reason):
//!
//! | event | Starting | Ready | Drained | Stopping, HandedOver | Ended |
//! | --- | --- | --- | --- | --- | --- |
//! | `Listed`, `Heard` | Ready with the other | = | noted | = | = |
//! | `Quiesce` | Drained | Drained | = | no: stopping | no: ended |
//! | `Resume` | = | = | Ready, or Starting where one of the two is missing | no: stopping | no: ended |
//! | `Terminate` | Stopping or HandedOver | the same | the same | = | = |
//! | `Reload` | = | = | = | no: stopping | no: ended |
//! | `LastAnswer` | no: serving | no: serving | no: serving | Ended | = |
//!
//! ```
//! use sanddyke_lifecycle::{Event, Lifecycle, Phase, ListenSocket};
//!
//! let mut life = Lifecycle::new(ListenSocket::Exclusive);
//! life.apply(Event::EngineListLoaded)?;
//! assert_eq!(life.apply(Event::EnginesChecked)?, Some(Phase::Ready));
//! assert_eq!(life.apply(Event::Quiesce)?, Some(Phase::Drained));
//! assert!(life.accepts_connections() && !life.keeps_idle_connections() && !life.is_ready());
//! # Ok::<(), sanddyke_lifecycle::TransitionError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;
use thiserror::Error;

/// Whose the socket is at which clients connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenSocket {
    /// This process's: it closes with it, and clients come until they notice.
    Exclusive,
    /// Another holds it too, and others accept on it: no client is turned away when this process no longer does.
    Shared,
}

/// What happens to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It knows where its back ends are.
    EngineListLoaded,
    /// It has heard enough of them to serve as well as one that has run for long.
    EnginesChecked,
    /// Clients are to be sent away.
    Quiesce,
    /// Back to work.
    Resume,
    /// It is to end once all is answered (SIGTERM).
    Terminate,
    /// Its configuration is to be read again (SIGHUP).
    Reload,
    /// After [`Event::Terminate`], the last answer is given.
    LastResponseSent,
}

impl Event {
    /// All of them.
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

/// Where a server stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It could not serve well yet.
    Starting,
    /// It takes work.
    Ready,
    /// It sends clients away, and goes back to work when it is told.
    Drained,
    /// It ends once all is answered, and its socket with it.
    Stopping,
    /// It ends once all is answered, and another process has its socket.
    HandedOver,
    /// All is answered.
    Ended,
}

impl Phase {
    /// In one word, as health checks and the log have it.
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

/// Why an event can't happen in the phase that the server is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TransitionError {
    /// It ends already.
    #[error("the program is stopping")]
    Stopping,
    /// It has ended.
    #[error("the program has ended")]
    Ended,
    /// It has not been told to end.
    #[error("the program is serving")]
    Serving,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    ShuttingDown,
    Ended,
}

/// A server's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifecycle {
    socket: ListenSocket,
    stage: Stage,
    drained: bool,
    engine_list_loaded: bool,
    engines_checked: bool,
}

impl Lifecycle {
    /// The life of a server that has just started.
    pub fn new(socket: ListenSocket) -> Lifecycle {
        Lifecycle {
            socket,
            stage: Stage::Serving,
            drained: false,
            engine_list_loaded: false,
            engines_checked: false,
        }
    }

    /// Where it stands.
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

    /// Takes an event, and gives the phase that follows where it is another; an event that is refused changes
    /// nothing.
    pub fn apply(&mut self, event: Event) -> Result<Option<Phase>, TransitionError> {
        let before = self.phase();
        match (event, self.stage) {
            (Event::Quiesce | Event::Resume | Event::Reload, Stage::ShuttingDown) => {
                return Err(TransitionError::Stopping);
            }
            (Event::Quiesce | Event::Resume | Event::Reload, Stage::Ended) => {
                return Err(TransitionError::Ended);
            }
            (Event::LastResponseSent, Stage::Serving) => return Err(TransitionError::Serving),
            (Event::EngineListLoaded, Stage::Serving) => self.engine_list_loaded = true,
            (Event::EnginesChecked, Stage::Serving) => self.engines_checked = true,
            (Event::Quiesce, Stage::Serving) => self.drained = true,
            (Event::Resume, Stage::Serving) => self.drained = false,
            (Event::Terminate, Stage::Serving) => self.stage = Stage::ShuttingDown,
            (Event::LastResponseSent, Stage::ShuttingDown) => self.stage = Stage::Ended,
            (Event::Reload, Stage::Serving)
            | (
                Event::EngineListLoaded | Event::EnginesChecked | Event::Terminate,
                Stage::ShuttingDown | Stage::Ended,
            )
            | (Event::LastResponseSent, Stage::Ended) => {}
        }
        let after = self.phase();
        Ok((after != before).then_some(after))
    }

    /// Whether a health check finds it ready for new clients.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Whether it is about to end.
    pub fn is_shutting_down(&self) -> bool {
        self.stage != Stage::Serving
    }

    /// Whether new connections are accepted. A drained server goes on: clients come until they notice.
    pub fn accepts_connections(&self) -> bool {
        !matches!(self.phase(), Phase::HandedOver | Phase::Ended)
    }

    /// Whether a connection stays open for the client's next request.
    pub fn keeps_idle_connections(&self) -> bool {
        matches!(self.phase(), Phase::Starting | Phase::Ready)
    }
}
