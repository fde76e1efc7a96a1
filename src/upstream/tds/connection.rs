//! One connection to a TDS engine: a login, then one request at a time.

use super::{Free, Task};
use crate::clock::Micros;
use crate::core::{AttemptEvent, AttemptId, Call, ConnectionEnd, Row, Table};
use crate::decision::{AttemptNote, LoadReport, Usage};
use crate::tds::login::{self, Login};
use crate::tds::packet;
use crate::tds::token::{self, Token};
use crate::tds::value::Type;
use crate::upstream::line_protocol::load_report;
use crate::upstream::{EndpointCommand, EndpointContext, failed_connect, failed_io};
use bytes::{Buf, BytesMut};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// An engine's errors that prove that nothing ran.
const FULL: [u32; 2] = [10928, 40501];
const OVER: u32 = 50504;
/// Word of a running request.
const WORD: u32 = 50100;
const PROBE: &str = "/*probe='load'*/ SELECT util, queue, x0, x1 FROM sys.dm_engine_load";
/// An engine that was sent an attention and has no word on it after this long is gone.
const ATTENTION_WITHIN: Duration = Duration::from_secs(3);

/// What a connection knows.
pub(super) struct Context {
    pub context: EndpointContext,
    pub address: SocketAddr,
    pub login: Login,
    pub number: usize,
    pub freed: mpsc::Sender<Free>,
}

struct Link {
    stream: TcpStream,
    received: BytesMut,
    tokens: BytesMut,
    columns: Vec<(String, Type)>,
    whole: bool,
    heard: Micros,
}

/// How a request ended.
struct Finish {
    news: Result<(Table, Option<Usage>), ConnectionEnd>,
    /// Whether the connection can carry another.
    alive: bool,
}

fn lost(end: ConnectionEnd) -> Finish {
    Finish { news: Err(end), alive: false }
}

/// Carries what it is told until it ends.
pub(super) async fn run(context: Context, mut tasks: mpsc::Receiver<Task>) {
    let limits = context.context.limits.clone();
    let mut link: Option<Link> = None;
    loop {
        let idle = limits.idle_after.to_duration();
        let Ok(Some(task)) = tokio::time::timeout(idle, tasks.recv()).await else { break };
        let Task::Run(command) = task else { continue };
        let now = context.context.clock.now();
        let opened = match link.take() {
            Some(open) => Ok(open),
            None => match tokio::time::timeout(limits.connect_timeout, open(&context, now)).await {
                Ok(opened) => opened,
                Err(_) => Err(ConnectionEnd::ConnectTimeout),
            },
        };
        let mut opened = match opened {
            Ok(opened) => opened,
            Err(end) => {
                tasks.close();
                let _ended = context.context.unwritten(command, end).await;
                break;
            }
        };
        let (alive, told) = match command {
            EndpointCommand::Start(attempt, call)
                if call.cancel_token.is_cancelled(context.context.clock.now()) =>
            {
                (true, context.context.ended(attempt, ConnectionEnd::NeverWritten).await)
            }
            EndpointCommand::Start(attempt, call) => {
                let finish = carry(&context, &mut opened, attempt, &call, &mut tasks).await;
                let news = match finish.news {
                    Ok((table, usage)) => AttemptEvent::Served { table, usage, report: None },
                    Err(end) => AttemptEvent::Ended { end, report: None },
                };
                (finish.alive, context.context.news(attempt, news).await)
            }
            EndpointCommand::HealthCheck => {
                let finish = tokio::time::timeout(limits.probe_timeout.to_duration(), probe(&mut opened));
                let (end, report, alive) = match finish.await {
                    Ok(Ok(report)) => (ConnectionEnd::Answered, Some(report), true),
                    Ok(Err(end)) => (end, None, false),
                    Err(_) => (ConnectionEnd::TimedOut, None, false),
                };
                let elapsed = context.context.clock.now() - now;
                (alive, context.context.probed(end, report, elapsed).await)
            }
            _ => (true, Ok(())),
        };
        if !alive || told.is_err() {
            tasks.close();
            break;
        }
        link = Some(opened);
        if context.freed.send(Free(context.number)).await.is_err() {
            return;
        }
    }
    drop(tasks);
    let _ended = context.freed.send(Free(context.number)).await;
}

async fn open(context: &Context, now: Micros) -> Result<Link, ConnectionEnd> {
    let stream = TcpStream::connect(context.address).await.map_err(|error| failed_connect(&error))?;
    let _no_delay = stream.set_nodelay(true);
    let mut link = Link {
        stream,
        received: BytesMut::with_capacity(8192),
        tokens: BytesMut::new(),
        columns: Vec::new(),
        whole: false,
        heard: now,
    };
    // Nothing ran before the login: whatever ends it, the request was never sent.
    let unsent = |_| ConnectionEnd::ConnectTimeout;
    link.say(packet::PRELOGIN, &login::prelogin(login::ENCRYPT_NOT_SUPPORTED)).await.map_err(unsent)?;
    while !link.whole {
        link.read().await.map_err(unsent)?;
    }
    link.tokens.clear();
    link.say(packet::LOGIN7, &login::login(&context.login)).await.map_err(unsent)?;
    let mut granted = false;
    loop {
        match link.token().await.map_err(unsent)? {
            Token::LoginAck => granted = true,
            Token::Error { number, text } => log::error!("an engine denies the login: {number} {text}"),
            Token::Done { more: false, .. } if granted => return Ok(link),
            Token::Done { more: false, .. } => return Err(ConnectionEnd::ConnectTimeout),
            _ => {}
        }
    }
}

impl Link {
    async fn say(&mut self, kind: u8, data: &[u8]) -> Result<(), ConnectionEnd> {
        self.whole = false;
        self.tokens.clear();
        let sent = self.stream.write_all(&packet::message(kind, data)).await;
        sent.map_err(|error| failed_io(&error))
    }

    /// Reads one more packet. It can be dropped at any point and nothing is lost.
    async fn read(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            match packet::next_packet(&mut self.received) {
                Ok(Some(packet)) => {
                    self.tokens.extend_from_slice(&packet.data);
                    self.whole = packet.last;
                    return match self.tokens.len() > packet::LONGEST_MESSAGE {
                        true => Err(ConnectionEnd::Malformed),
                        false => Ok(()),
                    };
                }
                Ok(None) => {}
                Err(error) => {
                    log::warn!("a TDS engine's packet can't be used: {error}");
                    return Err(ConnectionEnd::Malformed);
                }
            }
            let read = self.stream.read_buf(&mut self.received).await;
            if read.map_err(|error| failed_io(&error))? == 0 {
                return Err(ConnectionEnd::Closed);
            }
        }
    }

    /// The next token, read on until it is there whole. It can be dropped at any point and nothing is lost.
    async fn token(&mut self) -> Result<Token, ConnectionEnd> {
        loop {
            let mut input = &self.tokens[..];
            let left = input.len();
            if let Ok(token) = token::read(&self.columns, &mut input) {
                let used = left - input.len();
                self.tokens.advance(used);
                if let Token::Columns(columns) = &token {
                    self.columns.clone_from(columns);
                }
                return Ok(token);
            }
            if self.whole {
                log::warn!("a TDS engine's answer can't be used");
                return Err(ConnectionEnd::Malformed);
            }
            self.read().await?;
        }
    }
}

fn statement(call: &Call) -> String {
    let key = call.idempotency_key.as_ref().map(|key| format!(",key='{key}'")).unwrap_or_default();
    format!(
        "/*id='{}',class='{}',priority='{}',ttl_ms='{}'{key}*/ {}",
        call.name,
        call.class,
        call.priority,
        (call.timeout.0 / 1000).max(1),
        call.statement
    )
}

enum Word {
    Note(AttemptNote),
    Usage(Usage),
}

/// What an engine tells of a running request: `share=0.4`, `short=64`, `held=1`, or `toil=120 room=64`.
fn word(text: &str) -> Option<Word> {
    let find = |name: &str| {
        let pair = text.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite())
    };
    let note = find("share").map(AttemptNote::Progress).or(find("short").map(AttemptNote::Spills));
    let note = note.or(find("held").map(|what| match what == 2.0 {
        true => AttemptNote::WaitsForLoad,
        false => AttemptNote::WaitsForMemory,
    }));
    let usage = || Some(Usage { work_ms: find("toil")?, memory_mb: find("room").unwrap_or(0.0) });
    note.map(Word::Note).or(usage().map(Word::Usage))
}

async fn carry(
    context: &Context,
    link: &mut Link,
    attempt: AttemptId,
    call: &Call,
    tasks: &mut mpsc::Receiver<Task>,
) -> Finish {
    if let Err(end) = link.say(packet::SQL_BATCH, &token::batch(&statement(call))).await {
        return lost(end);
    }
    let (mut table, mut usage, mut failed) = (Table::default(), None, None);
    let mut bytes = context.context.collect();
    link.heard = context.context.clock.now();
    let limits = &context.context.limits;
    loop {
        let silent = context.context.clock.instant(link.heard + limits.silent_after);
        let token = tokio::select! {
            token = link.token() => match token {
                Ok(token) => token,
                Err(end) => return lost(end),
            },
            task = tasks.recv() => match task {
                Some(Task::Cancel(stopped)) if stopped == attempt => return stop(link).await,
                Some(_) => continue,
                None => return lost(ConnectionEnd::Cancelled),
            },
            // An engine that runs a request sends word all the time. Whether the engine itself stands still is
            // for the probes to say, which have connections of their own.
            () = tokio::time::sleep_until(silent.into()), if limits.reports_progress => {
                log::warn!("a TDS engine says no more of request {}: given up there", call.name);
                return lost(ConnectionEnd::RequestSilent);
            }
        };
        link.heard = context.context.clock.now();
        match token {
            Token::Columns(columns) => table.columns = columns.into_iter().map(|(name, _)| name).collect(),
            Token::Row(row) => {
                let more = row.iter().flatten().map(String::len).sum();
                if !bytes.add(more, context.context.limits.collected) {
                    log::warn!("a TDS engine's result is too long: given up there");
                    return lost(ConnectionEnd::RequestSilent);
                }
                table.rows.push(row);
            }
            Token::Info { number: WORD, text } => match word(&text) {
                Some(Word::Note(note)) => {
                    let told = context.context.news(attempt, AttemptEvent::Note(note)).await;
                    if told.is_err() {
                        return lost(ConnectionEnd::Cancelled);
                    }
                }
                Some(Word::Usage(told)) => usage = Some(told),
                None => {}
            },
            Token::Error { number, text } => {
                log::debug!("an engine's error: {number} {text}");
                failed.get_or_insert(number);
            }
            Token::Done { more: false, error, .. } => {
                let news = match failed {
                    Some(number) if FULL.contains(&number) => Err(ConnectionEnd::AnsweredFull),
                    Some(OVER) => Err(ConnectionEnd::AnsweredOver),
                    Some(_) => Err(ConnectionEnd::AnsweredError),
                    None if error => Err(ConnectionEnd::AnsweredError),
                    None => Ok((table, usage)),
                };
                return Finish { news, alive: link.whole };
            }
            _ => {}
        }
    }
}

/// Sends an attention and reads on to the word on it: only then can the connection carry another request.
async fn stop(link: &mut Link) -> Finish {
    let sent = link.stream.write_all(&packet::message(packet::ATTENTION, &[])).await;
    let acknowledged = async {
        loop {
            // The rest of the answer may come before, as a message of its own.
            match link.token().await {
                Ok(Token::Done { attention: true, .. }) => return true,
                Ok(_) => {}
                Err(ConnectionEnd::Malformed) if link.tokens.is_empty() && link.whole => link.whole = false,
                Err(_) => return false,
            }
        }
    };
    let alive = sent.is_ok() && tokio::time::timeout(ATTENTION_WITHIN, acknowledged).await.unwrap_or(false);
    Finish { news: Err(ConnectionEnd::Cancelled), alive }
}

async fn probe(link: &mut Link) -> Result<LoadReport, ConnectionEnd> {
    link.say(packet::SQL_BATCH, &token::batch(PROBE)).await?;
    let (mut columns, mut row) = (Vec::new(), Row::new());
    loop {
        match link.token().await? {
            Token::Columns(told) => columns = told,
            Token::Row(told) => row = told,
            Token::Error { .. } => return Err(ConnectionEnd::AnsweredError),
            Token::Done { more: false, .. } => break,
            _ => {}
        }
    }
    let pairs = columns.iter().zip(row).filter_map(|((name, _), cell)| Some(format!("{name}:{}", cell?)));
    Ok(load_report(&pairs.collect::<Vec<_>>().join(";")))
}
