//! Commands: the core's output, which the service executes.

use super::{Answer, AttemptId, Call};
use crate::decision::EngineState;
use std::net::SocketAddr;

/// An effect of an input. The service executes commands in order.
#[derive(Debug)]
pub enum Command {
    /// Send a request's final answer to its client.
    Answer {
        /// The request id.
        request: u64,
        /// The final answer.
        answer: Answer,
    },
    /// Write an attempt to an engine.
    StartAttempt {
        /// The id of the new attempt.
        attempt: AttemptId,
        /// The engine's number.
        engine: u64,
        /// The content to write.
        call: Call,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The id of an attempt in flight.
        attempt: AttemptId,
        /// The engine's number.
        engine: u64,
        /// Whether to report when the engine has read the cancellation. A request waits for that before its next
        /// attempt starts.
        confirm: bool,
    },
    /// Change the priority of an attempt.
    SetPriority {
        /// The id of an attempt in flight.
        attempt: AttemptId,
        /// The engine's number.
        engine: u64,
        /// The new priority, 0 to 3.
        priority: u8,
    },
    /// Send a health check to an engine.
    HealthCheck {
        /// The engine's number.
        engine: u64,
    },
    /// Add an engine, or apply its changed address or state.
    UpdateEngine {
        /// The engine's number.
        engine: u64,
        /// The engine's name.
        name: String,
        /// The address on which the engine listens.
        address: SocketAddr,
        /// The engine's state in the list.
        state: EngineState,
    },
    /// Close the connections to an engine that is no longer listed and has no attempt in flight.
    RemoveEngine {
        /// The engine's number.
        engine: u64,
    },
    /// Write a line to the log.
    Log(String),
}
