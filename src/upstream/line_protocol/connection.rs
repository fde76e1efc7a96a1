//! One connection to an engine: it carries many requests, and tells of the end of each.

use super::parse::{self, Line, Word};
use crate::clock::Micros;
use crate::core::{AttemptEvent, AttemptId, Call, ConnectionEnd, Row, Table};
use crate::decision::{LoadReport, Usage};
use crate::service::ServiceEnded;
use crate::upstream::{EndpointCommand, EndpointContext, ResultBudget, failed_connect, failed_io};
use bytes::{Buf, Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// What may wait to be written; an engine that takes no more is as good as silent.
const MOST_UNWRITTEN: usize = 1 << 20;

/// A request that the engine holds.
struct Carried {
    attempt: AttemptId,
    /// When the engine last spoke of it: it does so all the time until the answer.
    heard: Micros,
    pages: Vec<Option<Bytes>>,
    /// Its bytes so far, as they count in all that is collected.
    bytes: ResultBudget,
    usage: Option<Usage>,
    report: Option<LoadReport>,
}

/// A request whose first bytes, or all of them, are still to be written.
struct PartialWrite {
    name: String,
    attempt: AttemptId,
    bytes: usize,
    left: usize,
}

struct State {
    context: EndpointContext,
    carried: HashMap<String, Carried>,
    probes: HashMap<String, Micros>,
    /// Attempts whose stop the engine has not shown to have read, by the tag whose answer will show it.
    stops: HashMap<String, AttemptId>,
    probe_count: u64,
    /// Requests of which nothing is written, nor will be before all that `unwritten` holds: an engine that reads
    /// nothing must not find them there later, when they are over.
    waiting: VecDeque<(AttemptId, Call)>,
    /// The one at the head of `unwritten`.
    partial: Option<PartialWrite>,
    unwritten: BytesMut,
    /// Attempts of which the core is still to be told so.
    never_written: Vec<AttemptId>,
    count: Arc<AtomicUsize>,
    heard: Micros,
    used: Micros,
    /// Since when the engine owes word and has sent none. Probes that timed out leave it as it is.
    owes_since: Option<Micros>,
    /// Since when the engine has taken nothing of what is to be written.
    unread_since: Option<Micros>,
    /// Since when a line is there in part.
    part_since: Option<Micros>,
}

/// Why a connection's loop ended.
enum Over {
    Connection(ConnectionEnd),
    Idle,
    Service,
}

impl From<ServiceEnded> for Over {
    fn from(_: ServiceEnded) -> Over {
        Over::Service
    }
}

/// Opens a connection and carries what is ordered on it, until it ends.
pub async fn run(
    context: EndpointContext,
    address: SocketAddr,
    mut commands: mpsc::Receiver<EndpointCommand>,
    count: Arc<AtomicUsize>,
) {
    let connecting = tokio::time::timeout(context.limits.connect_timeout, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(failed_connect(&error)),
        Err(_) => Err(ConnectionEnd::ConnectTimeout),
    };
    let now = context.clock.now();
    let mut state = State {
        context,
        carried: HashMap::new(),
        probes: HashMap::new(),
        stops: HashMap::new(),
        probe_count: 0,
        waiting: VecDeque::new(),
        partial: None,
        unwritten: BytesMut::new(),
        never_written: Vec::new(),
        count,
        heard: now,
        used: now,
        owes_since: None,
        unread_since: None,
        part_since: None,
    };
    let (over, unwritten) = match stream {
        Ok(stream) => (state.carry(stream, &mut commands).await, ConnectionEnd::NeverWritten),
        Err(end) => (Over::Connection(end), end),
    };
    let end = match over {
        Over::Service => return,
        Over::Idle => ConnectionEnd::Closed,
        Over::Connection(end) => end,
    };
    if !state.carried.is_empty() {
        log::warn!("engine at {address}: connection ended ({end:?}) with {} out", state.carried.len());
    }
    // What was written may have run; what still waits, or is there in part, never did.
    commands.close();
    let now = state.context.clock.now();
    if let Some(partial) = state.partial.take() {
        state.carried.remove(&partial.name);
        state.never_written.push(partial.attempt);
    }
    state.never_written.extend(state.waiting.drain(..).map(|(attempt, _)| attempt));
    for attempt in state.never_written {
        if state.context.ended(attempt, ConnectionEnd::NeverWritten).await.is_err() {
            return;
        }
    }
    let carried = state.carried.drain().map(|(_, carried)| carried.attempt);
    let lost: Vec<AttemptId> = carried.chain(state.stops.drain().map(|(_, attempt)| attempt)).collect();
    for attempt in lost {
        if state.context.ended(attempt, end).await.is_err() {
            return;
        }
    }
    for (_, sent) in state.probes.drain() {
        if state.context.probed(end, None, now - sent).await.is_err() {
            return;
        }
    }
    while let Some(command) = commands.recv().await {
        if state.context.unwritten(command, unwritten).await.is_err() {
            return;
        }
    }
}

impl State {
    async fn carry(&mut self, stream: TcpStream, commands: &mut mpsc::Receiver<EndpointCommand>) -> Over {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("no delay: {error}");
        }
        let (mut reader, mut writer) = stream.into_split();
        let mut received = BytesMut::with_capacity(16 * 1024);
        loop {
            self.begin();
            for attempt in std::mem::take(&mut self.never_written) {
                if let Err(ended) = self.context.ended(attempt, ConnectionEnd::NeverWritten).await {
                    return ended.into();
                }
            }
            if self.owes() {
                self.owes_since.get_or_insert(self.context.clock.now());
            }
            match self.unwritten.is_empty() {
                true => self.unread_since = None,
                false => _ = self.unread_since.get_or_insert(self.context.clock.now()),
            }
            let wake = self.next_wake();
            tokio::select! {
                // What the engine has said goes first: nothing is written to one that has closed.
                biased;
                read = reader.read_buf(&mut received) => {
                    let end = match read {
                        Ok(0) => Some(ConnectionEnd::Closed),
                        Ok(_) => None,
                        Err(error) => Some(failed_io(&error)),
                    };
                    self.heard = self.context.clock.now();
                    self.owes_since = None;
                    if let Err(over) = self.take(&mut received).await {
                        return over;
                    }
                    if let Some(end) = end {
                        return Over::Connection(end);
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => {
                        let (now, mut next) = (self.context.clock.now(), Some(command));
                        while let Some(command) = next {
                            if let Err(over) = self.command(command, now) {
                                return over;
                            }
                            next = commands.try_recv().ok();
                        }
                    }
                    None => return Over::Service,
                },
                written = writer.write_buf(&mut self.unwritten), if !self.unwritten.is_empty() => match written {
                    Ok(bytes) => self.written(bytes),
                    Err(error) => return Over::Connection(failed_io(&error)),
                },
                () = tokio::time::sleep_until(wake.into()) => {
                    if let Err(over) = self.time_passed().await {
                        return over;
                    }
                }
            }
            if self.unwritten.len() > MOST_UNWRITTEN {
                return Over::Connection(ConnectionEnd::Silent);
            }
        }
    }

    fn next_wake(&self) -> Instant {
        let limits = &self.context.limits;
        let probes = self.probes.values().map(|sent| *sent + limits.probe_timeout);
        let told = self.carried.values().filter(|_| limits.reports_progress);
        let unheard = told.map(|carried| carried.heard + limits.silent_after);
        let part = self.part_since.map(|since| since + limits.line_within);
        let at = probes
            .chain(unheard)
            .chain(self.silent_at())
            .chain(part)
            .min()
            .unwrap_or(self.used + limits.idle_after);
        self.context.clock.instant(at)
    }

    fn is_busy(&self) -> bool {
        !(self.carried.is_empty()
            && self.probes.is_empty()
            && self.stops.is_empty()
            && self.waiting.is_empty())
    }

    /// Whether the engine owes word.
    fn owes(&self) -> bool {
        let tells = self.context.limits.reports_progress && !self.carried.is_empty();
        tells || !(self.probes.is_empty() && self.stops.is_empty())
    }

    /// An engine that owes word sends some all the time; one that does not is cut off or stands still.
    fn silent_at(&self) -> Option<Micros> {
        let since = self.owes_since.into_iter().chain(self.unread_since).min();
        since.map(|since| since + self.context.limits.silent_after)
    }

    /// Carries an command out.
    fn command(&mut self, command: EndpointCommand, now: Micros) -> Result<(), Over> {
        self.used = now;
        match command {
            EndpointCommand::Start(attempt, call) => self.waiting.push_back((attempt, call)),
            EndpointCommand::Cancel(attempt, confirm) => self.halt(attempt, confirm)?,
            EndpointCommand::SetPriority(attempt, priority) => {
                let waiting = self.waiting.iter_mut().filter(|(waiting, _)| *waiting == attempt);
                waiting.for_each(|(_, call)| call.priority = priority);
                if let Some(name) = self.name_of(attempt) {
                    self.line(format_args!("NICE {name} {priority}\r\n"));
                }
            }
            EndpointCommand::HealthCheck => {
                self.probe_count += 1;
                let tag = format!("p{}", self.probe_count);
                self.line(format_args!("STAT {tag}\r\n"));
                self.probes.insert(tag, now);
            }
            EndpointCommand::Address(_) => {}
        }
        Ok(())
    }

    /// Begins to write the next request, once all before it is written; one that was taken back meanwhile is never
    /// written.
    fn begin(&mut self) {
        while self.unwritten.is_empty()
            && let Some((attempt, call)) = self.waiting.pop_front()
        {
            let now = self.context.clock.now();
            match call.cancel_token.is_cancelled(now) {
                true => self.unbegun(attempt),
                false => self.launch(attempt, call, now),
            }
        }
    }

    /// Nothing, or not the whole, of an attempt was written: it never ran.
    fn unbegun(&mut self, attempt: AttemptId) {
        self.count.fetch_sub(1, Ordering::Relaxed);
        self.never_written.push(attempt);
    }

    /// So many bytes have left.
    fn written(&mut self, bytes: usize) {
        self.unread_since = None;
        if let Some(partial) = &mut self.partial {
            partial.left = partial.left.saturating_sub(bytes);
            if partial.left == 0 {
                self.partial = None;
            }
        }
    }

    /// Gives an attempt up. One that is not begun is not written; one that is there in part ends the connection, as
    /// its rest must not reach the engine and nothing else can be written before it.
    fn halt(&mut self, attempt: AttemptId, confirm: bool) -> Result<(), Over> {
        if let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == attempt) {
            self.waiting.remove(at);
            self.unbegun(attempt);
        } else if let Some(partial) = self.partial.take_if(|one| one.attempt == attempt) {
            self.drop_carried(&partial.name);
            self.never_written.push(attempt);
            if partial.left < partial.bytes {
                return Err(Over::Connection(ConnectionEnd::Closed));
            }
            self.unwritten.advance(partial.bytes);
        } else if let Some(name) = self.name_of(attempt) {
            self.stop(&name);
            if confirm {
                // Lines are read in turn: who answers this has read the stop before it.
                self.probe_count += 1;
                let tag = format!("h{}", self.probe_count);
                self.line(format_args!("HELO {tag}\r\n"));
                self.stops.insert(tag, attempt);
            }
        }
        Ok(())
    }

    /// Stops a request that was written.
    fn stop(&mut self, name: &str) -> Option<Carried> {
        self.line(format_args!("STOP {name}\r\n"));
        self.drop_carried(name)
    }

    fn launch(&mut self, attempt: AttemptId, call: Call, now: Micros) {
        let patience = parse::patience(call.timeout.to_duration());
        let key = call.idempotency_key.map(|key| format!(",op={key}")).unwrap_or_default();
        let Call { name, class, priority, statement, .. } = call;
        let length = statement.len();
        self.line(format_args!(
            "REQ {name} sort={class},patience={patience}{key},urgency={priority} {length}\r\n{statement}\r\n"
        ));
        let bytes = self.unwritten.len();
        self.partial = Some(PartialWrite { name: name.clone(), attempt, bytes, left: bytes });
        let bytes = self.context.collect();
        let (pages, usage, report) = (Vec::new(), None, None);
        self.carried.insert(name, Carried { attempt, heard: now, bytes, pages, usage, report });
    }

    fn line(&mut self, text: std::fmt::Arguments<'_>) {
        let mut writer = bytes::BufMut::writer(&mut self.unwritten);
        // Writing to a growing buffer cannot fail.
        let _ = writer.write_fmt(text);
    }

    fn name_of(&self, attempt: AttemptId) -> Option<String> {
        self.carried.iter().find(|(_, carried)| carried.attempt == attempt).map(|(name, _)| name.clone())
    }

    fn drop_carried(&mut self, name: &str) -> Option<Carried> {
        let carried = self.carried.remove(name);
        if carried.is_some() {
            self.count.fetch_sub(1, Ordering::Relaxed);
        }
        carried
    }

    async fn take(&mut self, received: &mut BytesMut) -> Result<(), Over> {
        loop {
            match parse::next(received) {
                Ok(Some(line)) => {
                    self.part_since = None;
                    self.said(line).await?;
                }
                Ok(None) => {
                    let heard = self.heard;
                    self.part_since = (!received.is_empty()).then(|| self.part_since.unwrap_or(heard));
                    return Ok(());
                }
                Err(error) => {
                    log::warn!("an engine's line can't be used, its connection ends: {error}");
                    return Err(Over::Connection(ConnectionEnd::Malformed));
                }
            }
        }
    }

    async fn said(&mut self, line: Line) -> Result<(), Over> {
        if let Some(sent) = self.probes.remove(&line.id) {
            let end = match line.word {
                Word::Alive => ConnectionEnd::Answered,
                Word::Full => ConnectionEnd::AnsweredFull,
                _ => ConnectionEnd::AnsweredError,
            };
            return Ok(self.context.probed(end, line.fields.report, self.heard - sent).await?);
        }
        if let Some(attempt) = self.stops.remove(&line.id) {
            return Ok(self.context.ended(attempt, ConnectionEnd::Cancelled).await?);
        }
        // Word of what was given up crosses its stop: it is not heard.
        let Some(carried) = self.carried.get_mut(&line.id) else { return Ok(()) };
        carried.heard = self.heard;
        let attempt = carried.attempt;
        match line.word {
            Word::Status => {
                if let Some(note) = line.fields.note {
                    self.context.news(attempt, AttemptEvent::Note(note)).await?;
                }
            }
            Word::Ok | Word::Chunk => return self.page(line).await,
            Word::Full | Word::Error | Word::Over | Word::Alive | Word::Dead => {
                self.drop_carried(&line.id);
                let end = match line.word {
                    Word::Full => ConnectionEnd::AnsweredFull,
                    Word::Over => ConnectionEnd::AnsweredOver,
                    _ => ConnectionEnd::AnsweredError,
                };
                self.context.news(attempt, AttemptEvent::Ended { end, report: line.fields.report }).await?;
            }
        }
        Ok(())
    }

    /// A page. The first names how many there are, and the others are fetched at once: no row goes to the
    /// client before all are here, so that an engine that dies between pages costs an attempt, not the answer.
    async fn page(&mut self, line: Line) -> Result<(), Over> {
        let Some(carried) = self.carried.get_mut(&line.id) else { return Ok(()) };
        let first = line.word == Word::Ok && carried.pages.is_empty();
        if first {
            carried.pages = vec![None; line.fields.sheets.unwrap_or(1).max(1) as usize];
            carried.usage = line.fields.usage;
            carried.report = line.fields.report;
        }
        let number = match line.word {
            Word::Chunk => line.fields.sheet.filter(|number| *number > 0).unwrap_or(u32::MAX) as usize,
            _ => 0,
        };
        let Some(place) = carried.pages.get_mut(number) else {
            log::warn!("an engine sent a page that nobody asked for: the connection ends");
            return Err(Over::Connection(ConnectionEnd::Malformed));
        };
        if place.is_some() {
            // Guards against a second copy: dropped, and what else the connection carries lives on.
            log::debug!("an engine sent a page twice");
            return Ok(());
        }
        // A copy of its own: a piece of what was received would keep the whole of it.
        *place = Some(Bytes::copy_from_slice(&line.body));
        if !carried.bytes.add(line.body.len(), self.context.limits.collected) {
            log::warn!("a result is too long: request {} is given up there", line.id);
            return self.give_up(&line.id, ConnectionEnd::RequestSilent).await;
        }
        let pages = carried.pages.len();
        if first {
            for page in 1..pages {
                self.line(format_args!("FETCH {} {page}\r\n", line.id));
            }
        }
        let whole = self.carried.get(&line.id).is_some_and(|one| one.pages.iter().all(Option::is_some));
        if whole && let Some(carried) = self.drop_carried(&line.id) {
            if pages > 1 {
                self.line(format_args!("END {}\r\n", line.id));
            }
            let attempt = carried.attempt;
            let pages = carried.pages.iter().flatten().map(|page| parse::rows(page));
            let rows: Vec<Row> = match pages.collect::<Result<Vec<_>, _>>() {
                Ok(pages) => pages.into_iter().flatten().collect(),
                Err(error) => {
                    log::warn!("an engine's page can't be used, its connection ends: {error}");
                    self.context.ended(attempt, ConnectionEnd::Malformed).await?;
                    return Err(Over::Connection(ConnectionEnd::Malformed));
                }
            };
            let table = Table { columns: Vec::new(), rows };
            let news = AttemptEvent::Served { table, usage: carried.usage, report: carried.report };
            self.context.news(attempt, news).await?;
        }
        Ok(())
    }

    /// Stops a request here whose answer is of no more use; the others go on.
    async fn give_up(&mut self, name: &str, end: ConnectionEnd) -> Result<(), Over> {
        if let Some(carried) = self.stop(name) {
            self.context.ended(carried.attempt, end).await?;
        }
        Ok(())
    }

    async fn time_passed(&mut self) -> Result<(), Over> {
        let now = self.context.clock.now();
        let limits = &self.context.limits;
        if self.silent_at().is_some_and(|at| now >= at) {
            return Err(Over::Connection(ConnectionEnd::Silent));
        }
        // Guards against an answer that stops short, or trickles: nothing behind it can be read any more.
        if self.part_since.is_some_and(|since| now >= since + limits.line_within) {
            log::warn!("an engine's line does not end, its connection ends");
            return Err(Over::Connection(ConnectionEnd::Malformed));
        }
        // Guards against an answer, or a page, that never comes: the request may go elsewhere before its end.
        let told = self.carried.iter().filter(|_| limits.reports_progress);
        let unheard = told.filter(|(_, one)| now >= one.heard + limits.silent_after);
        let unheard: Vec<String> = unheard.map(|(name, _)| name.clone()).collect();
        for name in unheard {
            log::warn!("an engine says no more of request {name}: given up there");
            self.give_up(&name, ConnectionEnd::RequestSilent).await?;
        }
        let limits = &self.context.limits;
        if !self.is_busy() && now >= self.used + limits.idle_after {
            return Err(Over::Idle);
        }
        let late: Vec<String> = self
            .probes
            .iter()
            .filter(|(_, sent)| now >= **sent + limits.probe_timeout)
            .map(|(tag, _)| tag.clone())
            .collect();
        for tag in late {
            if let Some(sent) = self.probes.remove(&tag) {
                self.context.probed(ConnectionEnd::TimedOut, None, now - sent).await?;
            }
        }
        Ok(())
    }
}
