//! One connection to an engine on the line protocol. It carries many requests and reports the end of each attempt.
//!
//! ```text
//!   commands ──> commands.rs ──> output.rs ──> socket      requests and other lines, written in order
//!   core     <── responses.rs <─────────────── socket      notes, pages, answers
//!   core     <── timeouts.rs                               missing responses, at all or about one request
//!   core     <── health_checks.rs                          health checks that are answered, late or missing
//!   core     <── ../../closing.rs <───────────── socket    the end of the connection
//! ```
//!
//! An attempt is possibly executed once its last byte is written. Before that, it is never executed.

mod commands;
mod health_checks;
mod in_flight;
mod output;
mod responses;
mod stopping;
mod timeouts;

use crate::clock::Micros;
use crate::core::AttemptId;
use crate::core::ConnectionEnd;
use crate::memory::MemoryReservation;
use crate::service::ServiceEnded;
use crate::upstream::closing::report_written_attempts;
use crate::upstream::line_protocol::parse::ResponseParser;
use crate::upstream::{EndpointCommand, EndpointContext, connect_failure, io_failure};
use bytes::BytesMut;
use health_checks::HealthChecks;
use in_flight::InFlight;
use output::Output;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use stopping::UnconfirmedStops;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// Limit of the output buffer. A connection that exceeds it ends as silent, since the engine reads too little.
const MAX_OUTPUT_BYTES: usize = 1 << 20;
/// Initial capacity of the receive buffer, which grows to the longest response.
const INITIAL_INPUT_BYTES: usize = 16 * 1024;

/// Why the exchange on a connection ended.
enum ExchangeEnd {
    /// The connection ended, or has to be closed.
    Connection(ConnectionEnd),
    /// The connection was idle for the idle timeout.
    Idle,
    /// The engine's task has ended, or no longer uses the connection.
    Retired,
    /// The service has ended, so reports have no receiver.
    Service,
}

impl From<ServiceEnded> for ExchangeEnd {
    fn from(_: ServiceEnded) -> ExchangeEnd {
        ExchangeEnd::Service
    }
}

/// The state of an open connection.
struct Connection {
    context: EndpointContext,
    /// Attempts by client request id, from the time they are added to the output buffer.
    in_flight: HashMap<String, InFlight>,
    health_checks: HealthChecks,
    unconfirmed_stops: UnconfirmedStops,
    output: Output,
    parser: ResponseParser,
    /// Attempts that were never completely written, to be reported to the core.
    never_written: Vec<AttemptId>,
    /// Number of attempts assigned to this connection, shared with the engine's task.
    load: Arc<AtomicUsize>,
    last_read_at: Micros,
    last_command_at: Micros,
    /// Time since which the engine owes a response and has sent none. A health check that times out does not reset it.
    response_due_since: Option<Micros>,
    /// Time at which the current incomplete response began; `None` without one.
    incomplete_since: Option<Micros>,
    /// The memory of the buffers.
    memory: MemoryReservation,
}

/// Opens a connection, applies commands to it until it ends, and then reports the end of all that it carried.
pub async fn run(
    context: EndpointContext,
    address: SocketAddr,
    mut commands: mpsc::Receiver<EndpointCommand>,
    load: Arc<AtomicUsize>,
) {
    let connected = connect(&context, address).await;
    let mut connection = Connection::new(context, load);
    // An error says that the service has ended, so reports have no receiver.
    let _ended = match connected {
        Ok(stream) => connection.serve(stream, commands, address).await,
        Err(end) => {
            commands.close();
            connection.report_unsent(end, &mut commands).await
        }
    };
}

async fn connect(context: &EndpointContext, address: SocketAddr) -> Result<TcpStream, ConnectionEnd> {
    let connecting = tokio::time::timeout(context.limits.connect_timeout, TcpStream::connect(address));
    match connecting.await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(connect_failure(&error)),
        Err(_) => Err(ConnectionEnd::ConnectTimeout),
    }
}

impl Connection {
    fn new(context: EndpointContext, load: Arc<AtomicUsize>) -> Connection {
        let now = context.clock.now();
        Connection {
            memory: context.memory.reservation(),
            context,
            in_flight: HashMap::new(),
            health_checks: HealthChecks::default(),
            unconfirmed_stops: UnconfirmedStops::default(),
            output: Output::default(),
            parser: ResponseParser::default(),
            never_written: Vec::new(),
            load,
            last_read_at: now,
            last_command_at: now,
            response_due_since: None,
            incomplete_since: None,
        }
    }

    /// Exchanges data until the connection ends, and reports the end of all that it carried.
    async fn serve(
        &mut self,
        stream: TcpStream,
        mut commands: mpsc::Receiver<EndpointCommand>,
        address: SocketAddr,
    ) -> Result<(), ServiceEnded> {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(engine = self.context.engine, address:%, error:%; "engine connection: TCP_NODELAY not set");
        }
        let (mut reader, mut writer) = stream.into_split();
        let end = match self.exchange(&mut reader, &mut writer, &mut commands).await {
            Ok(never) => match never {},
            Err(ExchangeEnd::Service) => return Err(ServiceEnded),
            Err(ExchangeEnd::Idle | ExchangeEnd::Retired) => ConnectionEnd::ClosedHere,
            Err(ExchangeEnd::Connection(end)) => end,
        };
        if !self.in_flight.is_empty() {
            log::warn!("engine at {address}: connection ended ({end:?}) with {} out", self.in_flight.len());
        }
        commands.close();
        self.report_health_checks(end).await?;
        self.report_unsent(ConnectionEnd::NeverWritten, &mut commands).await?;
        let written = self.take_written_attempts();
        report_written_attempts(&self.context, written, end, reader, writer).await
    }

    /// Reads, writes and applies commands until the connection ends or has to end.
    async fn exchange(
        &mut self,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
        commands: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Result<std::convert::Infallible, ExchangeEnd> {
        let mut received = BytesMut::with_capacity(INITIAL_INPUT_BYTES);
        loop {
            self.count_buffers(&mut received);
            self.begin_requests();
            self.report_never_written().await?;
            self.start_timers();
            let wake = self.next_timeout();
            tokio::select! {
                // Reading comes first, so that nothing is written after the engine has closed the connection.
                biased;
                read = reader.read_buf(&mut received) => self.handle_read(read, &mut received).await?,
                command = commands.recv() => match command {
                    Some(command) => self.apply_commands(command, commands)?,
                    None => return Err(ExchangeEnd::Retired),
                },
                written = writer.write_buf(&mut self.output.buffer), if !self.output.buffer.is_empty() => {
                    match written {
                        Ok(bytes) => self.output.written(bytes),
                        Err(error) => return Err(ExchangeEnd::Connection(io_failure(&error))),
                    }
                },
                () = tokio::time::sleep_until(wake.into()) => self.handle_timeouts().await?,
            }
            if self.output.buffer.len() > MAX_OUTPUT_BYTES {
                return Err(ExchangeEnd::Connection(ConnectionEnd::Silent));
            }
        }
    }

    /// Counts the memory of the buffers, and frees what a long request or response has left. The buffers are bounded, so
    /// they are counted whatever the budget.
    fn count_buffers(&mut self, received: &mut BytesMut) {
        for buffer in [&mut *received, &mut self.output.buffer] {
            if buffer.is_empty() && buffer.capacity() > INITIAL_INPUT_BYTES {
                *buffer = BytesMut::new();
            }
        }
        let bytes = received.capacity() + self.output.buffer.capacity();
        if bytes != self.memory.bytes() {
            self.memory.resize(bytes);
        }
    }

    async fn handle_read(
        &mut self,
        read: std::io::Result<usize>,
        received: &mut BytesMut,
    ) -> Result<(), ExchangeEnd> {
        self.last_read_at = self.context.clock.now();
        self.response_due_since = None;
        // Responses received before the end of the connection are still handled.
        self.handle_responses(received).await?;
        match read {
            Ok(0) => Err(ExchangeEnd::Connection(ConnectionEnd::Closed)),
            Ok(_) => Ok(()),
            Err(error) => Err(ExchangeEnd::Connection(io_failure(&error))),
        }
    }

    async fn report_never_written(&mut self) -> Result<(), ServiceEnded> {
        for attempt in std::mem::take(&mut self.never_written) {
            self.context.report_ended(attempt, ConnectionEnd::NeverWritten).await?;
        }
        Ok(())
    }

    /// Reports what was never executed: attempts that are queued or partly written, and commands in the queue.
    async fn report_unsent(
        &mut self,
        end: ConnectionEnd,
        commands: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Result<(), ServiceEnded> {
        if let Some(partial) = self.output.partial.take() {
            self.in_flight.remove(&partial.client_request_id);
            self.never_written.push(partial.attempt);
        }
        self.never_written.extend(self.output.queued.drain(..).map(|queued| queued.attempt));
        self.report_never_written().await?;
        while let Some(command) = commands.recv().await {
            self.context.report_unwritten(command, end).await?;
        }
        Ok(())
    }

    fn take_written_attempts(&mut self) -> Vec<AttemptId> {
        let in_flight = std::mem::take(&mut self.in_flight).into_values().map(|in_flight| in_flight.attempt);
        in_flight.chain(self.unconfirmed_stops.take_all()).collect()
    }

    /// Records that the connection carries one attempt less.
    fn decrement_load(&self) {
        self.load.fetch_sub(1, Ordering::Relaxed);
    }
}
