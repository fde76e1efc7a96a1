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
//! use sanddyke_lifecycle::{Event, Life, Phase, Socket};
//!
//! let mut life = Life::new(Socket::Own);
//! life.apply(Event::Listed)?;
//! assert_eq!(life.apply(Event::Heard)?, Some(Phase::Ready));
//! assert_eq!(life.apply(Event::Quiesce)?, Some(Phase::Drained));
//! assert!(life.takes_connections() && !life.keeps_connections() && !life.is_ready());
//! # Ok::<(), sanddyke_lifecycle::Refused>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;
use thiserror::Error;

/// Whose the socket is at which clients connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Socket {
    /// This process's: it closes with it, and clients come until they notice.
    Own,
    /// Another holds it too, and others accept on it: no client is turned away when this process no longer does.
    Shared,
}

/// What happens to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It knows where its back ends are.
    Listed,
    /// It has heard enough of them to serve as well as one that has run for long.
    Heard,
    /// Clients are to be sent away.
    Quiesce,
    /// Back to work.
    Resume,
    /// It is to end once all is answered (SIGTERM).
    Terminate,
    /// Its configuration is to be read again (SIGHUP).
    Reload,
    /// After [`Event::Terminate`], the last answer is given.
    LastAnswer,
}

impl Event {
    /// All of them.
    pub const ALL: [Event; 7] = [
        Event::Listed,
        Event::Heard,
        Event::Quiesce,
        Event::Resume,
        Event::Terminate,
        Event::Reload,
        Event::LastAnswer,
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
    pub fn word(self) -> &'static str {
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
        out.write_str(self.word())
    }
}

/// Why an event can't happen in the phase that the server is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refused {
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
    Leaving,
    Ended,
}

/// A server's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    socket: Socket,
    stage: Stage,
    drained: bool,
    listed: bool,
    heard: bool,
}

impl Life {
    /// The life of a server that has just started.
    pub fn new(socket: Socket) -> Life {
        Life { socket, stage: Stage::Serving, drained: false, listed: false, heard: false }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        match (self.stage, self.socket) {
            (Stage::Ended, _) => Phase::Ended,
            (Stage::Leaving, Socket::Own) => Phase::Stopping,
            (Stage::Leaving, Socket::Shared) => Phase::HandedOver,
            (Stage::Serving, _) if self.drained => Phase::Drained,
            (Stage::Serving, _) if self.listed && self.heard => Phase::Ready,
            (Stage::Serving, _) => Phase::Starting,
        }
    }

    /// Takes an event, and gives the phase that follows where it is another; an event that is refused changes
    /// nothing.
    pub fn apply(&mut self, event: Event) -> Result<Option<Phase>, Refused> {
        let before = self.phase();
        match (event, self.stage) {
            (Event::Quiesce | Event::Resume | Event::Reload, Stage::Leaving) => {
                return Err(Refused::Stopping);
            }
            (Event::Quiesce | Event::Resume | Event::Reload, Stage::Ended) => return Err(Refused::Ended),
            (Event::LastAnswer, Stage::Serving) => return Err(Refused::Serving),
            (Event::Listed, Stage::Serving) => self.listed = true,
            (Event::Heard, Stage::Serving) => self.heard = true,
            (Event::Quiesce, Stage::Serving) => self.drained = true,
            (Event::Resume, Stage::Serving) => self.drained = false,
            (Event::Terminate, Stage::Serving) => self.stage = Stage::Leaving,
            (Event::LastAnswer, Stage::Leaving) => self.stage = Stage::Ended,
            (Event::Reload, Stage::Serving)
            | (Event::Listed | Event::Heard | Event::Terminate, Stage::Leaving | Stage::Ended)
            | (Event::LastAnswer, Stage::Ended) => {}
        }
        let after = self.phase();
        Ok((after != before).then_some(after))
    }

    /// Whether a health check finds it ready for new clients.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Whether it is about to end.
    pub fn is_leaving(&self) -> bool {
        self.stage != Stage::Serving
    }

    /// Whether new connections are accepted. A drained server goes on: clients come until they notice.
    pub fn takes_connections(&self) -> bool {
        !matches!(self.phase(), Phase::HandedOver | Phase::Ended)
    }

    /// Whether a connection stays open for the client's next request.
    pub fn keeps_connections(&self) -> bool {
        matches!(self.phase(), Phase::Starting | Phase::Ready)
    }
}
