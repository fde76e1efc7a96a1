//! An emulated engine that records what it reads, and when. Its answers fail in every way that the engine protocol
//! allows: errors, rejections, silence, and answers that are duplicated, late, corrupted or never complete.

use super::history::{AttemptEnd, Event, History};
use oorandom::Rand64;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

/// Capacity of the queue of messages to one connection.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// A duplicate of an answer is sent less than this time after the first.
const MAX_DUPLICATE_DELAY_MS: u64 = 200;
/// Interval between the bytes of an answer that never completes.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// The number of the next attempt, over all engines.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// How an engine handles an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineBehavior {
    Served,
    ServedInPages,
    Error,
    DuplicateError,
    EngineFull,
    /// The engine sends no answer.
    Silent,
    /// The response line can't be parsed.
    Corrupted,
    /// The answer begins and never completes.
    Unterminated,
}

impl EngineBehavior {
    /// Each behavior with its share of the attempts in percent.
    const PERCENTAGES: [(EngineBehavior, u64); 8] = [
        (EngineBehavior::Served, 68),
        (EngineBehavior::ServedInPages, 12),
        (EngineBehavior::Error, 4),
        (EngineBehavior::DuplicateError, 4),
        (EngineBehavior::EngineFull, 4),
        (EngineBehavior::Silent, 5),
        (EngineBehavior::Corrupted, 2),
        (EngineBehavior::Unterminated, 1),
    ];

    fn sample(rng: &mut Rand64) -> EngineBehavior {
        let mut remaining = rng.rand_range(0..100);
        for (behavior, percentage) in EngineBehavior::PERCENTAGES {
            match remaining.checked_sub(percentage) {
                Some(difference) => remaining = difference,
                None => return behavior,
            }
        }
        EngineBehavior::Served
    }
}

/// An emulated engine.
pub(crate) struct SoakEngine {
    number: usize,
    pub(super) address: SocketAddr,
    progress_interval: Option<Duration>,
    history: History,
    rng: Mutex<Rand64>,
    paused: watch::Sender<bool>,
    /// The number of connection resets so far; a change resets all open connections.
    resets: watch::Sender<u64>,
}

/// A message to a manager, and the attempt that ends when it is written.
struct Message {
    text: String,
    ended_attempt: Option<(u64, AttemptEnd)>,
}

/// An attempt in flight on a connection.
struct RunningAttempt {
    attempt: u64,
    task: Option<AbortHandle>,
}

/// The attempts in flight on one connection, by client request id.
type Attempts = Arc<Mutex<HashMap<String, RunningAttempt>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SoakEngine {
    pub(super) async fn start(
        number: usize,
        progress_interval: Option<Duration>,
        seed: u64,
        history: History,
    ) -> std::io::Result<Arc<SoakEngine>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Arc::new(SoakEngine {
            number,
            address: listener.local_addr()?,
            progress_interval,
            history,
            rng: Mutex::new(Rand64::new(u128::from(seed) << 8 | number as u128)),
            paused: watch::Sender::new(false),
            resets: watch::Sender::new(0),
        });
        let accepting = engine.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        Ok(engine)
    }

    /// Stops reading and writing until the engine is resumed.
    pub(super) fn pause(&self) {
        self.paused.send_replace(true);
    }

    pub(super) fn resume(&self) {
        self.paused.send_replace(false);
    }

    /// Resets all connections, which ends the attempts in flight on them.
    pub(super) fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn wait_until_running(&self) {
        let mut paused = self.paused.subscribe();
        // An error means that the engine was dropped.
        drop(paused.wait_for(|paused| !paused).await);
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _unset = stream.set_nodelay(true);
        let _unset = stream.set_zero_linger();
        let (input, output) = stream.into_split();
        let (messages, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let attempts = Attempts::default();
        let writer = tokio::spawn(self.clone().write(output, queue, attempts.clone()));
        let connection = Connection { engine: self.clone(), messages, attempts: attempts.clone() };
        let mut resets = self.resets.subscribe();
        tokio::select! {
            _ended = connection.read(BufReader::new(input)) => {}
            _reset = resets.changed() => {}
        }
        writer.abort();
        for (_, running) in lock(&attempts).drain() {
            running.task.iter().for_each(AbortHandle::abort);
            self.history.push(Event::AttemptOver { attempt: running.attempt, over: AttemptEnd::Closed });
        }
    }

    async fn write(
        self: Arc<Self>,
        mut output: OwnedWriteHalf,
        mut queue: mpsc::Receiver<Message>,
        attempts: Attempts,
    ) -> std::io::Result<()> {
        while let Some(message) = queue.recv().await {
            self.wait_until_running().await;
            if let Some((attempt, over)) = message.ended_attempt {
                let mut attempts = lock(&attempts);
                let in_flight = attempts.len();
                attempts.retain(|_, running| running.attempt != attempt);
                if attempts.len() < in_flight {
                    self.history.push(Event::AttemptOver { attempt, over });
                }
            }
            output.write_all(message.text.as_bytes()).await?;
        }
        Ok(())
    }
}

/// A connection from a manager.
struct Connection {
    engine: Arc<SoakEngine>,
    messages: mpsc::Sender<Message>,
    attempts: Attempts,
}

impl Connection {
    /// Reads until the manager closes the connection.
    async fn read(&self, mut input: BufReader<OwnedReadHalf>) -> std::io::Result<()> {
        let mut line = String::new();
        loop {
            line.clear();
            let length = input.read_line(&mut line).await;
            self.engine.wait_until_running().await;
            if length? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["REQ", client_request_id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    let read = input.read_exact(&mut body).await;
                    self.engine.wait_until_running().await;
                    read?;
                    self.begin(client_request_id, fields, &String::from_utf8_lossy(&body));
                }
                ["STOP", client_request_id] => self.stop(client_request_id),
                ["FETCH", client_request_id, page] => {
                    self.send(
                        format!(
                            "{client_request_id} chunk sheet={page} {}\r\n{}\r\n",
                            row(client_request_id).len(),
                            row(client_request_id)
                        ),
                        None,
                    );
                }
                ["STAT" | "HELO", tag] => {
                    self.send(format!("{tag} alive l=util:0.1;queue:0;x0:0.1;x1:0.1\r\n"), None);
                }
                _ => {}
            }
        }
    }

    fn begin(&self, client_request_id: &str, fields: &str, statement: &str) {
        let attempt = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
        let field = |wanted: &str| {
            let mut fields = fields.split(',').filter_map(|field| field.split_once('='));
            fields.find(|(name, _)| *name == wanted).map(|(_, value)| value.to_owned())
        };
        self.engine.history.push(Event::AttemptRead {
            attempt,
            engine: self.engine.number,
            name: client_request_id.to_owned(),
            key: field("op"),
            patience_ms: field("patience").and_then(|patience| patience.parse().ok()).unwrap_or(0),
        });
        let mut rng = lock(&self.engine.rng);
        let execution = Execution {
            attempt,
            client_request_id: client_request_id.to_owned(),
            work: Duration::from_millis(work_ms(statement)),
            behavior: EngineBehavior::sample(&mut rng),
            duplicate_delay: Duration::from_millis(rng.rand_range(0..MAX_DUPLICATE_DELAY_MS)),
            progress_interval: self.engine.progress_interval,
            messages: self.messages.clone(),
        };
        drop(rng);
        let previous =
            lock(&self.attempts).insert(client_request_id.to_owned(), RunningAttempt { attempt, task: None });
        if let Some(previous) = previous {
            // The same client request id arrived twice on this connection: both attempts run.
            lock(&self.attempts).insert(format!("{client_request_id}/{}", previous.attempt), previous);
        }
        let task = tokio::spawn(execution.run()).abort_handle();
        if let Some(running) = lock(&self.attempts).get_mut(client_request_id) {
            running.task = Some(task);
        }
    }

    fn stop(&self, client_request_id: &str) {
        if let Some(running) = lock(&self.attempts).remove(client_request_id) {
            running.task.iter().for_each(AbortHandle::abort);
            let attempt = running.attempt;
            self.engine.history.push(Event::AttemptOver { attempt, over: AttemptEnd::StopRead });
        }
    }

    /// Queues a message. It is lost if the queue is full because the manager does not read.
    fn send(&self, text: String, ended_attempt: Option<(u64, AttemptEnd)>) {
        let _lost = self.messages.try_send(Message { text, ended_attempt });
    }
}

/// The execution time that the `work=` word of a statement requests; 10 ms without it.
fn work_ms(statement: &str) -> u64 {
    let work = statement.split_whitespace().find_map(|word| word.strip_prefix("work="));
    work.and_then(|work| work.parse().ok()).unwrap_or(10)
}

/// The only row of each page of a request's result.
fn row(client_request_id: &str) -> String {
    format!("{client_request_id}\tb\n")
}

/// One execution of an attempt.
struct Execution {
    attempt: u64,
    client_request_id: String,
    work: Duration,
    behavior: EngineBehavior,
    duplicate_delay: Duration,
    progress_interval: Option<Duration>,
    messages: mpsc::Sender<Message>,
}

impl Execution {
    async fn run(self) {
        if self.behavior == EngineBehavior::EngineFull {
            return self.end("503 - 0\r\n\r\n".to_owned(), AttemptEnd::NeverRan).await;
        }
        self.work_with_progress().await;
        let (client_request_id, row) = (&self.client_request_id, row(&self.client_request_id));
        match self.behavior {
            EngineBehavior::Served => {
                self.end(
                    format!("200 sheets=1,toil=10,room=8 {}\r\n{row}\r\n", row.len()),
                    AttemptEnd::EndWritten,
                )
                .await;
            }
            EngineBehavior::ServedInPages => {
                self.end(
                    format!("200 sheets=3,toil=10,room=8 {}\r\n{row}\r\n", row.len()),
                    AttemptEnd::EndWritten,
                )
                .await;
            }
            EngineBehavior::Error | EngineBehavior::DuplicateError => {
                self.end("500 - 0\r\n\r\n".to_owned(), AttemptEnd::EndWritten).await;
                if self.behavior == EngineBehavior::DuplicateError {
                    tokio::time::sleep(self.duplicate_delay).await;
                    self.send(format!("{client_request_id} 500 - 0\r\n\r\n"), None).await;
                }
            }
            EngineBehavior::Corrupted => self.send("what is this\r\n".to_owned(), None).await,
            EngineBehavior::Unterminated => {
                self.send(format!("{client_request_id} 200 sheets=1,toil=10,room=8 9000\r\n"), None).await;
                loop {
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                    self.send("x".to_owned(), None).await;
                }
            }
            EngineBehavior::Silent | EngineBehavior::EngineFull => std::future::pending().await,
        }
    }

    async fn work_with_progress(&self) {
        let Some(interval) = self.progress_interval else { return tokio::time::sleep(self.work).await };
        let mut done = Duration::ZERO;
        self.send(format!("{} status n=held,val=1 0\r\n\r\n", self.client_request_id), None).await;
        while done < self.work {
            let step = interval.min(self.work - done);
            tokio::time::sleep(step).await;
            done += step;
            self.send(format!("{} status n=held,val=1 0\r\n\r\n", self.client_request_id), None).await;
        }
    }

    async fn end(&self, answer: String, end: AttemptEnd) {
        self.send(format!("{} {answer}", self.client_request_id), Some((self.attempt, end))).await;
    }

    async fn send(&self, text: String, ended_attempt: Option<(u64, AttemptEnd)>) {
        let _closed = self.messages.send(Message { text, ended_attempt }).await;
    }
}
