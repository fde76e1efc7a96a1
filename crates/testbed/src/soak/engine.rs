//! An emulated engine that records what it reads and when. Its answers go wrong in all the ways that the protocol page
//! leaves to engines: errors, rejections, silence, answers that come twice, late, damaged or never end.

use super::history::{Event, History, Over};
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

/// Messages to one connection that may wait.
const MAX_MESSAGES: usize = 4096;
/// A repeated answer comes at most this much later (ms).
const MAX_REPEAT_DELAY_MS: u64 = 200;
/// The interval between the bytes of an answer that never ends.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// Numbers the attempts of all engines.
static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// How an attempt goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Conduct {
    Served,
    ServedInPages,
    Error,
    ErrorTwice,
    Full,
    /// Nothing more is said of it.
    Silent,
    /// The answer's line can't be parsed.
    Damaged,
    /// The answer begins and never ends.
    Endless,
}

impl Conduct {
    /// Each conduct and how often it comes, in a hundred.
    const CHANCES: [(Conduct, u64); 8] = [
        (Conduct::Served, 68),
        (Conduct::ServedInPages, 12),
        (Conduct::Error, 4),
        (Conduct::ErrorTwice, 4),
        (Conduct::Full, 4),
        (Conduct::Silent, 5),
        (Conduct::Damaged, 2),
        (Conduct::Endless, 1),
    ];

    fn draw(rng: &mut Rand64) -> Conduct {
        let mut drawn = rng.rand_range(0..100);
        for (conduct, chance) in Conduct::CHANCES {
            match drawn.checked_sub(chance) {
                Some(rest) => drawn = rest,
                None => return conduct,
            }
        }
        Conduct::Served
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
    /// How often its connections were reset.
    resets: watch::Sender<u64>,
}

/// What is written to a manager, and the attempt that is over with it.
struct Message {
    text: String,
    over: Option<(u64, Over)>,
}

/// An attempt in flight on a connection.
struct Running {
    attempt: u64,
    task: Option<AbortHandle>,
}

/// The attempts in flight on one connection, by the id of their request.
type Attempts = Arc<Mutex<HashMap<String, Running>>>;

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

    /// It reads and writes nothing until it is resumed.
    pub(super) fn pause(&self) {
        self.paused.send_replace(true);
    }

    pub(super) fn resume(&self) {
        self.paused.send_replace(false);
    }

    /// Its connections are reset: what they carry is over.
    pub(super) fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn until_running(&self) {
        let mut paused = self.paused.subscribe();
        // An error says that the engine is gone.
        drop(paused.wait_for(|paused| !paused).await);
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _unset = stream.set_nodelay(true);
        let _unset = stream.set_zero_linger();
        let (input, output) = stream.into_split();
        let (messages, queue) = mpsc::channel(MAX_MESSAGES);
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
            self.history.push(Event::AttemptOver { attempt: running.attempt, over: Over::Closed });
        }
    }

    async fn write(
        self: Arc<Self>,
        mut output: OwnedWriteHalf,
        mut queue: mpsc::Receiver<Message>,
        attempts: Attempts,
    ) -> std::io::Result<()> {
        while let Some(message) = queue.recv().await {
            self.until_running().await;
            if let Some((attempt, over)) = message.over {
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

/// A manager's connection.
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
            self.engine.until_running().await;
            if length? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["REQ", name, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    let read = input.read_exact(&mut body).await;
                    self.engine.until_running().await;
                    read?;
                    self.begin(name, fields, &String::from_utf8_lossy(&body));
                }
                ["STOP", name] => self.stop(name),
                ["FETCH", name, page] => {
                    self.send(
                        format!("{name} chunk sheet={page} {}\r\n{}\r\n", row(name).len(), row(name)),
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

    fn begin(&self, name: &str, fields: &str, statement: &str) {
        let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
        let field = |wanted: &str| {
            let mut fields = fields.split(',').filter_map(|field| field.split_once('='));
            fields.find(|(name, _)| *name == wanted).map(|(_, value)| value.to_owned())
        };
        self.engine.history.push(Event::AttemptRead {
            attempt,
            engine: self.engine.number,
            name: name.to_owned(),
            key: field("op"),
            patience_ms: field("patience").and_then(|patience| patience.parse().ok()).unwrap_or(0),
        });
        let mut rng = lock(&self.engine.rng);
        let execution = Execution {
            attempt,
            name: name.to_owned(),
            work: Duration::from_millis(work_ms(statement)),
            conduct: Conduct::draw(&mut rng),
            repeat_delay: Duration::from_millis(rng.rand_range(0..MAX_REPEAT_DELAY_MS)),
            progress_interval: self.engine.progress_interval,
            messages: self.messages.clone(),
        };
        drop(rng);
        let previous = lock(&self.attempts).insert(name.to_owned(), Running { attempt, task: None });
        if let Some(previous) = previous {
            // One id twice on a connection: both run.
            lock(&self.attempts).insert(format!("{name}/{}", previous.attempt), previous);
        }
        let task = tokio::spawn(execution.run()).abort_handle();
        if let Some(running) = lock(&self.attempts).get_mut(name) {
            running.task = Some(task);
        }
    }

    fn stop(&self, name: &str) {
        if let Some(running) = lock(&self.attempts).remove(name) {
            running.task.iter().for_each(AbortHandle::abort);
            let attempt = running.attempt;
            self.engine.history.push(Event::AttemptOver { attempt, over: Over::StopRead });
        }
    }

    /// Sends a message; lost where the manager reads nothing.
    fn send(&self, text: String, over: Option<(u64, Over)>) {
        let _lost = self.messages.try_send(Message { text, over });
    }
}

/// The work that a statement asks for.
fn work_ms(statement: &str) -> u64 {
    let work = statement.split_whitespace().find_map(|word| word.strip_prefix("work="));
    work.and_then(|work| work.parse().ok()).unwrap_or(10)
}

/// The only row of each page of a request's result.
fn row(name: &str) -> String {
    format!("{name}\tb\n")
}

/// One execution of an attempt.
struct Execution {
    attempt: u64,
    name: String,
    work: Duration,
    conduct: Conduct,
    repeat_delay: Duration,
    progress_interval: Option<Duration>,
    messages: mpsc::Sender<Message>,
}

impl Execution {
    async fn run(self) {
        if self.conduct == Conduct::Full {
            return self.end("503 - 0\r\n\r\n".to_owned(), Over::NeverRan).await;
        }
        self.work_with_progress().await;
        let (name, row) = (&self.name, row(&self.name));
        match self.conduct {
            Conduct::Served => {
                self.end(format!("200 sheets=1,toil=10,room=8 {}\r\n{row}\r\n", row.len()), Over::EndWritten)
                    .await;
            }
            Conduct::ServedInPages => {
                self.end(format!("200 sheets=3,toil=10,room=8 {}\r\n{row}\r\n", row.len()), Over::EndWritten)
                    .await;
            }
            Conduct::Error | Conduct::ErrorTwice => {
                self.end("500 - 0\r\n\r\n".to_owned(), Over::EndWritten).await;
                if self.conduct == Conduct::ErrorTwice {
                    tokio::time::sleep(self.repeat_delay).await;
                    self.send(format!("{name} 500 - 0\r\n\r\n"), None).await;
                }
            }
            Conduct::Damaged => self.send("what is this\r\n".to_owned(), None).await,
            Conduct::Endless => {
                self.send(format!("{name} 200 sheets=1,toil=10,room=8 9000\r\n"), None).await;
                loop {
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                    self.send("x".to_owned(), None).await;
                }
            }
            Conduct::Silent | Conduct::Full => std::future::pending().await,
        }
    }

    async fn work_with_progress(&self) {
        let Some(interval) = self.progress_interval else { return tokio::time::sleep(self.work).await };
        let mut done = Duration::ZERO;
        self.send(format!("{} status n=held,val=1 0\r\n\r\n", self.name), None).await;
        while done < self.work {
            let step = interval.min(self.work - done);
            tokio::time::sleep(step).await;
            done += step;
            self.send(format!("{} status n=held,val=1 0\r\n\r\n", self.name), None).await;
        }
    }

    async fn end(&self, answer: String, over: Over) {
        self.send(format!("{} {answer}", self.name), Some((self.attempt, over))).await;
    }

    async fn send(&self, text: String, over: Option<(u64, Over)>) {
        let _closed = self.messages.send(Message { text, over }).await;
    }
}
