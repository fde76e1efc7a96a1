//! The one task that owns the core: it reads the clock once a turn, feeds the core what came in by one
//! bounded channel, and hands on what the core wants done.

use crate::clock::{Clock, Micros};
use crate::core::{Answer, Command, Core, HandoverState, IncomingRequest, Input, Report, TenantReport};
use crate::upstream::UpstreamPool;
use sanddyke_tenancy::TenantId;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// What may wait for the core at once; who sends more waits.
const QUEUE: usize = 4096;
/// Time between two lines on the state in the log.
const STATE_EVERY: Micros = Micros(1_000_000);
/// What the core takes in one turn.
const TURN: usize = 256;

/// What the other tasks tell the service.
#[derive(Debug)]
pub enum Message {
    /// Something for the core.
    Input(Input),
    /// A request, and where its answer goes.
    Submit(IncomingRequest, oneshot::Sender<Answer>),
    /// An operator wants to see the state.
    Inspect(oneshot::Sender<Report>),
    /// What is under way of these tenants.
    Usage(Vec<TenantId>, oneshot::Sender<HashMap<TenantId, TenantReport>>),
    /// How many requests are owed an answer.
    OpenRequests(oneshot::Sender<usize>),
    /// Whether enough engines were heard.
    EnginesChecked(oneshot::Sender<bool>),
    /// What was learnt.
    HandoverState(oneshot::Sender<HandoverState>),
}

/// The service has ended.
#[derive(Debug, Error)]
#[error("the service has ended")]
pub struct ServiceEnded;

/// A request that waits for its answer.
#[derive(Debug)]
pub struct PendingResponse {
    /// Its number.
    pub request: u64,
    /// Where its answer comes.
    pub answer: oneshot::Receiver<Answer>,
}

/// How fronts, engines and discovery reach the service.
#[derive(Debug, Clone)]
pub struct ServiceHandle {
    messages: mpsc::Sender<Message>,
    next: Arc<AtomicU64>,
}

impl ServiceHandle {
    /// A handle and the end at which the service listens.
    pub fn new() -> (ServiceHandle, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE);
        (ServiceHandle { messages, next: Arc::new(AtomicU64::new(1)) }, queue)
    }

    async fn send(&self, message: Message) -> Result<(), ServiceEnded> {
        self.messages.send(message).await.map_err(|_| ServiceEnded)
    }

    /// Tells the core something.
    pub async fn notify(&self, input: Input) -> Result<(), ServiceEnded> {
        self.send(Message::Input(input)).await
    }

    /// Hands a request over; its number is given here.
    pub async fn submit(&self, mut arrival: IncomingRequest) -> Result<PendingResponse, ServiceEnded> {
        let (reply, answer) = oneshot::channel();
        arrival.id = self.next.fetch_add(1, Ordering::Relaxed);
        let request = arrival.id;
        self.send(Message::Submit(arrival, reply)).await?;
        Ok(PendingResponse { request, answer })
    }

    /// Sends a question, and waits for its answer.
    async fn query<T>(&self, of: impl FnOnce(oneshot::Sender<T>) -> Message) -> Result<T, ServiceEnded> {
        let (reply, answer) = oneshot::channel();
        self.send(of(reply)).await?;
        answer.await.map_err(|_| ServiceEnded)
    }

    /// The state, as an operator sees it.
    pub async fn inspect(&self) -> Result<Report, ServiceEnded> {
        self.query(Message::Inspect).await
    }

    /// What is under way of these tenants.
    pub async fn usage(&self, ids: Vec<TenantId>) -> Result<HashMap<TenantId, TenantReport>, ServiceEnded> {
        self.query(|reply| Message::Usage(ids, reply)).await
    }

    /// How many requests are owed an answer.
    pub async fn open_requests(&self) -> Result<usize, ServiceEnded> {
        self.query(Message::OpenRequests).await
    }

    /// Whether most engines have answered something.
    pub async fn engines_checked(&self) -> Result<bool, ServiceEnded> {
        self.query(Message::EnginesChecked).await
    }

    /// What was learnt, for a process that takes over.
    pub async fn handover_state(&self) -> Result<HandoverState, ServiceEnded> {
        self.query(Message::HandoverState).await
    }
}

/// Runs the service until every handle is gone.
pub async fn run(
    mut core: Core,
    clock: Clock,
    mut queue: mpsc::Receiver<Message>,
    mut upstream: UpstreamPool,
) {
    let mut replies: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
    let mut messages = Vec::with_capacity(TURN);
    let mut commands = Vec::new();
    let mut state_at = clock.now() + STATE_EVERY;
    loop {
        let wake = core.next_wake().map(|at| clock.instant(at));
        tokio::select! {
            taken = queue.recv_many(&mut messages, TURN) => if taken == 0 { return },
            () = sleep_until(wake) => {}
        }
        let now = clock.now();
        for message in messages.drain(..) {
            match message {
                Message::Input(input) => {
                    // A client that left takes no answer: its place goes with it.
                    if let Input::ClientDisconnected(request) = &input {
                        replies.remove(request);
                    }
                    core.handle(now, input, &mut commands);
                }
                Message::Submit(arrival, reply) => {
                    replies.insert(arrival.id, reply);
                    core.handle(now, Input::RequestReceived(arrival), &mut commands);
                }
                // Who asked may have left: nothing is owed then.
                Message::Inspect(reply) => drop(reply.send(core.report(now))),
                Message::Usage(ids, reply) => drop(reply.send(core.usage(&ids))),
                Message::OpenRequests(reply) => drop(reply.send(core.open_requests())),
                Message::EnginesChecked(reply) => drop(reply.send(core.engines_checked())),
                Message::HandoverState(reply) => drop(reply.send(core.handover_state())),
            }
        }
        if now >= state_at {
            state_at = now + STATE_EVERY;
            log::info!("{}", core.state_line());
        }
        core.handle(now, Input::Tick, &mut commands);
        while !commands.is_empty() {
            let mut bounced = Vec::new();
            for command in commands.drain(..) {
                match command {
                    Command::Answer { request, answer } => {
                        if let Some(reply) = replies.remove(&request) {
                            drop(reply.send(answer)); // its client may have left
                        }
                    }
                    Command::Log(text) => log::info!("module: {text}"),
                    other => bounced.extend(upstream.carry_out(other)),
                }
            }
            for input in bounced {
                core.handle(now, input, &mut commands);
            }
        }
        // One answer for each request taken: whoever waits for one is in the core's table, and the other way round.
        debug_assert_eq!(replies.len(), core.open_requests());
    }
}

async fn sleep_until(at: Option<std::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
