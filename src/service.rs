//! The one task that owns the core: it reads the clock once a turn, feeds the core what came in by one
//! bounded channel, and hands on what the core wants done.

use crate::clock::{Clock, Micros};
use crate::core::{Answer, Arrival, Command, Core, Handover, Input, Report, TenantReport};
use crate::upstream::Backs;
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
    Ask(Arrival, oneshot::Sender<Answer>),
    /// An operator wants to see the state.
    Inspect(oneshot::Sender<Report>),
    /// What is under way of these tenants.
    Usage(Vec<TenantId>, oneshot::Sender<HashMap<TenantId, TenantReport>>),
    /// How many requests are owed an answer.
    Open(oneshot::Sender<usize>),
    /// Whether enough engines were heard.
    Heard(oneshot::Sender<bool>),
    /// What was learnt.
    Learnt(oneshot::Sender<Handover>),
}

/// The service has ended.
#[derive(Debug, Error)]
#[error("the service has ended")]
pub struct Ended;

/// A request that waits for its answer.
#[derive(Debug)]
pub struct Asked {
    /// Its number.
    pub request: u64,
    /// Where its answer comes.
    pub answer: oneshot::Receiver<Answer>,
}

/// How fronts, engines and discovery reach the service.
#[derive(Debug, Clone)]
pub struct Handle {
    messages: mpsc::Sender<Message>,
    next: Arc<AtomicU64>,
}

impl Handle {
    /// A handle and the end at which the service listens.
    pub fn new() -> (Handle, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE);
        (Handle { messages, next: Arc::new(AtomicU64::new(1)) }, queue)
    }

    async fn send(&self, message: Message) -> Result<(), Ended> {
        self.messages.send(message).await.map_err(|_| Ended)
    }

    /// Tells the core something.
    pub async fn tell(&self, input: Input) -> Result<(), Ended> {
        self.send(Message::Input(input)).await
    }

    /// Hands a request over; its number is given here.
    pub async fn ask(&self, mut arrival: Arrival) -> Result<Asked, Ended> {
        let (reply, answer) = oneshot::channel();
        arrival.request = self.next.fetch_add(1, Ordering::Relaxed);
        let request = arrival.request;
        self.send(Message::Ask(arrival, reply)).await?;
        Ok(Asked { request, answer })
    }

    /// Sends a question, and waits for its answer.
    async fn question<T>(&self, of: impl FnOnce(oneshot::Sender<T>) -> Message) -> Result<T, Ended> {
        let (reply, answer) = oneshot::channel();
        self.send(of(reply)).await?;
        answer.await.map_err(|_| Ended)
    }

    /// The state, as an operator sees it.
    pub async fn inspect(&self) -> Result<Report, Ended> {
        self.question(Message::Inspect).await
    }

    /// What is under way of these tenants.
    pub async fn usage(&self, ids: Vec<TenantId>) -> Result<HashMap<TenantId, TenantReport>, Ended> {
        self.question(|reply| Message::Usage(ids, reply)).await
    }

    /// How many requests are owed an answer.
    pub async fn open(&self) -> Result<usize, Ended> {
        self.question(Message::Open).await
    }

    /// Whether most engines have answered something.
    pub async fn heard(&self) -> Result<bool, Ended> {
        self.question(Message::Heard).await
    }

    /// What was learnt, for a process that takes over.
    pub async fn learnt(&self) -> Result<Handover, Ended> {
        self.question(Message::Learnt).await
    }
}

/// Runs the service until every handle is gone.
pub async fn run(mut core: Core, clock: Clock, mut queue: mpsc::Receiver<Message>, mut backs: Backs) {
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
                    if let Input::Left(request) = &input {
                        replies.remove(request);
                    }
                    core.handle(now, input, &mut commands);
                }
                Message::Ask(arrival, reply) => {
                    replies.insert(arrival.request, reply);
                    core.handle(now, Input::Arrived(arrival), &mut commands);
                }
                // Who asked may have left: nothing is owed then.
                Message::Inspect(reply) => drop(reply.send(core.report(now))),
                Message::Usage(ids, reply) => drop(reply.send(core.usage(&ids))),
                Message::Open(reply) => drop(reply.send(core.open())),
                Message::Heard(reply) => drop(reply.send(core.is_heard())),
                Message::Learnt(reply) => drop(reply.send(core.learnt())),
            }
        }
        if now >= state_at {
            state_at = now + STATE_EVERY;
            log::info!("{}", core.state_line());
        }
        core.handle(now, Input::Clock, &mut commands);
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
                    other => bounced.extend(backs.carry_out(other)),
                }
            }
            for input in bounced {
                core.handle(now, input, &mut commands);
            }
        }
        // One answer for each request taken: whoever waits for one is in the core's table, and the other way round.
        debug_assert_eq!(replies.len(), core.open());
    }
}

async fn sleep_until(at: Option<std::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
