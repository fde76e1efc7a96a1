//! The service task, the only owner of the core. In each turn it reads the clock once, passes the messages of one
//! bounded queue to the core, and applies the core's commands.

mod handle;

pub use handle::{Message, PendingResponse, Query, ServiceEnded, ServiceHandle};

use crate::clock::{Clock, Micros};
use crate::core::{Answer, Command, Core, Input, Report};
use crate::upstream::UpstreamPool;
use std::collections::HashMap;
use tokio::sync::{mpsc, oneshot};

/// Interval between two log lines about the state of the service.
const STATE_LOG_INTERVAL: Micros = Micros(1_000_000);
/// Maximum of messages that one turn handles.
const MAX_MESSAGES_PER_TURN: usize = 256;

/// Runs the service until every handle is dropped.
pub async fn run(core: Core, clock: Clock, mut queue: mpsc::Receiver<Message>, upstream: UpstreamPool) {
    let mut service = Service::new(core, clock, upstream);
    let mut messages = Vec::with_capacity(MAX_MESSAGES_PER_TURN);
    loop {
        let wake_at = service.core.next_wake().map(|at| clock.instant(at));
        tokio::select! {
            received = queue.recv_many(&mut messages, MAX_MESSAGES_PER_TURN) => if received == 0 { return },
            () = sleep_until(wake_at) => {}
        }
        service.turn(&mut messages);
    }
}

/// The state of the service task.
struct Service {
    core: Core,
    clock: Clock,
    upstream: UpstreamPool,
    /// The reply channel of each open request, by request id. The core has the same open requests.
    replies: HashMap<u64, oneshot::Sender<Answer>>,
    /// The commands of the current turn; empty between two turns. It is stored here so that its memory is reused.
    commands: Vec<Command>,
    next_state_log: Micros,
}

impl Service {
    fn new(core: Core, clock: Clock, upstream: UpstreamPool) -> Service {
        Service {
            core,
            clock,
            upstream,
            replies: HashMap::new(),
            commands: Vec::new(),
            next_state_log: clock.now() + STATE_LOG_INTERVAL,
        }
    }

    /// Handles messages and expired timers, all with the same time.
    fn turn(&mut self, messages: &mut Vec<Message>) {
        let now = self.clock.now();
        for message in messages.drain(..) {
            self.handle(now, message);
        }
        self.log_state(now);
        self.core.handle(now, Input::Tick, &mut self.commands);
        self.apply_commands(now);
        debug_assert_eq!(
            self.replies.len(),
            self.core.open_requests(),
            "each open request has one reply channel"
        );
    }

    fn handle(&mut self, now: Micros, message: Message) {
        match message {
            Message::Input(input) => {
                if let Input::ClientDisconnected(request) = &input {
                    self.replies.remove(request);
                }
                self.core.handle(now, input, &mut self.commands);
            }
            Message::Submit { incoming, reply } => {
                self.replies.insert(incoming.id, reply);
                self.core.handle(now, Input::RequestReceived(incoming), &mut self.commands);
            }
            Message::Query(query) => self.reply(now, query),
        }
    }

    /// Replies to a query. The reply is dropped if the caller no longer waits for it.
    fn reply(&self, now: Micros, query: Query) {
        match query {
            Query::Report(reply) => drop(reply.send(self.report(now))),
            Query::Usage { tenants, reply } => drop(reply.send(self.core.tenant_reports(&tenants))),
            Query::OpenRequests(reply) => drop(reply.send(self.core.open_requests())),
            Query::EnginesChecked(reply) => drop(reply.send(self.core.engines_checked())),
            Query::HandoverState(reply) => drop(reply.send(self.core.handover_state())),
        }
    }

    fn report(&self, now: Micros) -> Report {
        let discarded_sessions = self.upstream.discarded_sessions().by_reason().collect();
        Report { discarded_sessions, ..self.core.report(now) }
    }

    fn log_state(&mut self, now: Micros) {
        if now >= self.next_state_log {
            self.next_state_log = now + STATE_LOG_INTERVAL;
            log::info!("{}", self.core.state_line());
        }
    }

    /// Applies the core's commands. A command that an engine's queue has no room for is reported back to the core, and
    /// the commands that the core returns then are applied too.
    fn apply_commands(&mut self, now: Micros) {
        while !self.commands.is_empty() {
            let mut failures = Vec::new();
            for command in self.commands.drain(..) {
                match command {
                    Command::Answer { request, answer } => {
                        if let Some(reply) = self.replies.remove(&request) {
                            drop(reply.send(answer)); // fails if the client has disconnected
                        }
                    }
                    Command::Log(text) => log::info!("module: {text}"),
                    other => failures.extend(self.upstream.apply_command(other)),
                }
            }
            for input in failures {
                self.core.handle(now, input, &mut self.commands);
            }
        }
    }
}

/// Sleeps until `at`; never returns if it is `None`.
async fn sleep_until(at: Option<std::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
