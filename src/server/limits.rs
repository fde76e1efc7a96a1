//! Division of the process's file descriptors and memory among their uses, and the limits of connections to engines.

use sanddyke::clock::Micros;
use sanddyke::config::Config;
use sanddyke::upstream::{UpstreamLimits, UpstreamProtocol};

/// Descriptors reserved for engines, the name service and files.
const RESERVED_DESCRIPTORS: usize = 160;
/// Number of descriptors for each open request that is admitted.
const DESCRIPTORS_PER_OPEN_REQUEST: usize = 3;
/// Number of descriptors for each connection that the operations endpoint may have.
const DESCRIPTORS_PER_OPERATIONS_CONNECTION: usize = 16;
/// Number of descriptors for each session with a TDS engine that may be open ahead of requests.
const DESCRIPTORS_PER_SESSION_AHEAD: usize = 16;
/// Lower limit of the operations endpoint's connections. It is enough for ten health checks a second and an operator
/// at the same time.
const MIN_OPERATIONS_CONNECTIONS: usize = 16;
/// Upper limit of the operations endpoint's connections.
const MAX_OPERATIONS_CONNECTIONS: usize = 64;

/// Memory of the program with its engines, tenants and records of recent requests.
const PROGRAM_BYTES: usize = 11 << 20;
/// Memory of a connection without input or output.
const CONNECTION_BYTES: usize = 6 * 1024;
/// The part of the remaining memory that may be reserved. The allocator needs the rest, for memory between allocations
/// and memory that was freed.
const RESERVABLE_FRACTION: f64 = 0.6;
/// The part of the memory beside the program that connections without input or output may occupy.
const CONNECTIONS_FRACTION: f64 = 0.5;

/// Maximum of connections to one engine over the line protocol, where a connection carries many attempts.
const MAX_LINE_PROTOCOL_CONNECTIONS: usize = 4;
/// Maximum of connections to one engine over TDS, where a connection carries one attempt.
const MAX_TDS_CONNECTIONS: usize = 64;

/// A connection to an engine counts as lost if a response is pending and nothing arrives for this long. Applies to
/// engines that send no progress notes.
const DEFAULT_SILENCE_TIMEOUT: Micros = Micros(3_000_000);
/// If engines send progress notes at a known interval, a connection or an attempt counts as lost after this many
/// intervals without data from the engine or without a note of the attempt.
const MISSING_PROGRESS_REPORTS: f64 = 3.0;
/// Time from the first byte of an engine's line to its end.
const LINE_TIMEOUT: Micros = Micros(1_000_000);
/// An idle connection is closed after this fraction of the engine's own idle timeout. Thus no request is sent while
/// the engine closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The descriptors (`limits.sockets`) and the memory (`limits.memory_mb`) of the process, divided among their uses.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    total: usize,
    memory_bytes: usize,
    /// Maximum of sessions with engines that are open ahead of requests.
    sessions_ahead: usize,
}

impl ProcessLimits {
    /// Creates the limits of a process with this many descriptors and bytes of memory, and engines with this protocol.
    pub fn new(descriptors: usize, memory_bytes: usize, upstream: &UpstreamProtocol) -> ProcessLimits {
        let limits = ProcessLimits { total: descriptors, memory_bytes, sessions_ahead: 0 };
        let connections = descriptors.min(limits.max_connections_in_memory());
        let sessions_ahead = match upstream {
            UpstreamProtocol::LineProtocol => 0,
            UpstreamProtocol::Tds(_) => connections / DESCRIPTORS_PER_SESSION_AHEAD,
        };
        ProcessLimits { sessions_ahead, ..limits }
    }

    /// Maximum of sessions with engines that are open ahead of requests, for all engines together.
    pub fn max_sessions_ahead(self) -> usize {
        self.sessions_ahead
    }

    /// Memory that is not the program's own.
    fn free_bytes(self) -> usize {
        self.memory_bytes.saturating_sub(PROGRAM_BYTES)
    }

    /// Maximum of bytes that may be reserved for what clients, operators and engines send.
    pub fn budget_bytes(self) -> usize {
        let connections =
            self.max_http_connections() + self.max_operations_connections() + self.sessions_ahead;
        let rest = self.free_bytes().saturating_sub(connections * CONNECTION_BYTES);
        (rest as f64 * RESERVABLE_FRACTION) as usize
    }

    /// Maximum of connections that the memory allows.
    fn max_connections_in_memory(self) -> usize {
        (self.free_bytes() as f64 * CONNECTIONS_FRACTION) as usize / CONNECTION_BYTES
    }

    /// Maximum of open requests.
    pub fn max_open_requests(self) -> usize {
        self.total / DESCRIPTORS_PER_OPEN_REQUEST
    }

    /// Maximum of connections from HTTP clients.
    pub fn max_http_connections(self) -> usize {
        let descriptors = self.total - self.total.min(RESERVED_DESCRIPTORS) / 2 - self.sessions_ahead;
        descriptors.min(self.max_connections_in_memory())
    }

    /// Maximum of connections from TDS clients.
    pub fn max_tds_connections(self) -> usize {
        self.max_http_connections() / 2
    }

    /// Maximum of connections to the operations endpoint.
    pub fn max_operations_connections(self) -> usize {
        (self.total / DESCRIPTORS_PER_OPERATIONS_CONNECTION)
            .clamp(MIN_OPERATIONS_CONNECTIONS, MAX_OPERATIONS_CONNECTIONS)
    }
}

/// Returns the limits of connections to engines.
pub fn upstream_limits(config: &Config, process_limits: ProcessLimits) -> UpstreamLimits {
    let progress_interval_ms = config.service_settings.settings.engines.progress_interval_ms;
    let engines_report_progress = progress_interval_ms > 0.0;
    let silence_timeout = if engines_report_progress {
        Micros::from_ms(progress_interval_ms * MISSING_PROGRESS_REPORTS).max(LINE_TIMEOUT)
    } else {
        DEFAULT_SILENCE_TIMEOUT
    };
    let connect_timeout = Micros::from_ms(config.connect_timeout_ms);
    UpstreamLimits {
        connect_timeout: connect_timeout.to_duration(),
        health_check_timeout: connect_timeout,
        silence_timeout,
        engines_report_progress,
        incomplete_response_timeout: LINE_TIMEOUT,
        idle_timeout: Micros::from_ms(config.engine_idle_timeout_ms * IDLE_TIMEOUT_FRACTION),
        max_attempts_per_connection: config.max_attempts_per_connection,
        max_connections: match config.upstream_protocol {
            UpstreamProtocol::LineProtocol => MAX_LINE_PROTOCOL_CONNECTIONS,
            UpstreamProtocol::Tds(_) => MAX_TDS_CONNECTIONS,
        },
        max_sessions_ahead: process_limits.max_sessions_ahead(),
    }
}
