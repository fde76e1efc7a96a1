//! What the core asks of its surroundings.

use super::{Answer, AttemptId, Call};
use crate::decision::EngineState;
use std::net::SocketAddr;

/// What is to be done about an input. Commands are carried out in order.
#[derive(Debug)]
pub enum Command {
    /// Send a request's final answer.
    Answer {
        /// The id of the request.
        request: u64,
        /// The answer.
        answer: Answer,
    },
    /// Start an attempt.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's number.
        engine: u64,
        /// What to send.
        call: Call,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's number.
        engine: u64,
        /// Whether to report once the engine has read the cancellation: the request may then go to another engine.
        confirm: bool,
    },
    /// Change the priority of an attempt.
    SetPriority {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's number.
        engine: u64,
        /// The priority, 0 to 3.
        priority: u8,
    },
    /// Check an engine's health.
    HealthCheck {
        /// The engine's number.
        engine: u64,
    },
    /// An engine is new in the list or has changed.
    UpdateEngine {
        /// Its number.
        engine: u64,
        /// Its name.
        name: String,
        /// Where it listens.
        address: SocketAddr,
        /// Its state.
        state: EngineState,
    },
    /// An engine is no longer listed and has no attempt in flight: its connections can be closed.
    RemoveEngine {
        /// Its number.
        engine: u64,
    },
    /// Write a line to the log.
    Log(String),
}
