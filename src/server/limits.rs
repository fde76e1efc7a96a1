//! How the process divides its descriptors, and the limits of its connections to engines.

use sanddyke::clock::Micros;
use sanddyke::config::Config;
use sanddyke::upstream::{UpstreamLimits, UpstreamProtocol};

/// Descriptors that are not for clients: engines, the name service, files.
const RESERVED_DESCRIPTORS: usize = 160;
/// One descriptor in so many may carry a client's open request.
const DESCRIPTORS_PER_OPEN_REQUEST: usize = 3;
/// The operations endpoint takes one descriptor in so many.
const DESCRIPTORS_PER_OPERATIONS_CONNECTION: usize = 16;
/// Connections of the operations endpoint, however small the process is: a health check ten times a second and an
/// operator beside it.
const MIN_OPERATIONS_CONNECTIONS: usize = 16;
/// Connections of the operations endpoint, however large the process is.
const MAX_OPERATIONS_CONNECTIONS: usize = 64;

/// Buffer for the result of each open request, in bytes: somewhat above the longest of the platform's engines.
const RESULT_BUFFER_BYTES: usize = 64 * 1024;
/// Connections to one engine of the line protocol, which carries many attempts on each.
const MAX_LINE_PROTOCOL_CONNECTIONS: usize = 4;
/// Connections to one engine of TDS, which carries one attempt on each.
const MAX_TDS_CONNECTIONS: usize = 64;

/// An engine that owes an answer and sends nothing for this long is lost, and so is an attempt that it reports
/// nothing more of.
const DEFAULT_SILENCE_TIMEOUT: Micros = Micros(3_000_000);
/// Where engines report progress at a known interval, so many reports in a row may be missing.
const MISSING_PROGRESS_REPORTS: f64 = 3.0;
/// A line that an engine has begun is complete by then.
const LINE_TIMEOUT: Micros = Micros(1_000_000);
/// An idle connection is closed after this fraction of the engine's own timeout, so that no request crosses the
/// engine's close.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The descriptors that the process may have open (`limits.sockets`), divided among their uses.
#[derive(Debug, Clone, Copy)]
pub struct DescriptorBudget {
    total: usize,
}

impl DescriptorBudget {
    /// A budget of so many descriptors in all.
    pub fn new(total: usize) -> DescriptorBudget {
        DescriptorBudget { total }
    }

    /// Requests of clients that may be open at once.
    pub fn max_open_requests(self) -> usize {
        self.total / DESCRIPTORS_PER_OPEN_REQUEST
    }

    /// Connections of HTTP clients.
    pub fn max_http_connections(self) -> usize {
        self.total - self.total.min(RESERVED_DESCRIPTORS) / 2
    }

    /// Connections of TDS clients.
    pub fn max_tds_connections(self) -> usize {
        self.max_http_connections() / 2
    }

    /// Connections of the operations endpoint.
    pub fn max_operations_connections(self) -> usize {
        (self.total / DESCRIPTORS_PER_OPERATIONS_CONNECTION)
            .clamp(MIN_OPERATIONS_CONNECTIONS, MAX_OPERATIONS_CONNECTIONS)
    }

    /// Bytes of all results that are being collected at once.
    pub fn max_result_bytes(self) -> usize {
        self.max_open_requests() * RESULT_BUFFER_BYTES
    }
}

/// The limits of connections to engines.
pub fn upstream_limits(config: &Config, descriptors: DescriptorBudget) -> UpstreamLimits {
    let progress_interval_ms = config.front.settings.engines.progress_interval_ms;
    let engines_report_progress = progress_interval_ms > 0.0;
    let silence_timeout = if engines_report_progress {
        Micros::from_ms(progress_interval_ms * MISSING_PROGRESS_REPORTS).max(LINE_TIMEOUT)
    } else {
        DEFAULT_SILENCE_TIMEOUT
    };
    let connect_timeout = Micros::from_ms(config.connect_ms);
    UpstreamLimits {
        connect_timeout: connect_timeout.to_duration(),
        health_check_timeout: connect_timeout,
        silence_timeout,
        engines_report_progress,
        incomplete_response_timeout: LINE_TIMEOUT,
        idle_timeout: Micros::from_ms(config.keepalive_ms * IDLE_TIMEOUT_FRACTION),
        max_buffered_result_bytes: descriptors.max_result_bytes(),
        max_attempts_per_connection: config.streams,
        max_connections: match config.wire {
            UpstreamProtocol::LineProtocol => MAX_LINE_PROTOCOL_CONNECTIONS,
            UpstreamProtocol::Tds(_) => MAX_TDS_CONNECTIONS,
        },
    }
}
