//! Lines of the wire to events of the library, and its actions back to lines.

use sanddyke::settings::{self, Front, number};
use sanddyke::{
    Action, AttemptEnd, AttemptNote, CellId, ClassId, EngineEntry, EngineId, EngineListEvent, EngineState,
    Event, Gateway, KindId, LoadReport, OrderKey, Outcome, Request, RequestId, TenantId, Usage, ZoneId,
};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::str::FromStr;

/// One front: its gateway and the names that its ids stand for.
struct Instance {
    gateway: Gateway,
    front: Front,
    requests: Vec<String>,
    request_ids: HashMap<String, u64>,
    keys: HashMap<String, u64>,
}

/// An entry of a list, before an instance's numbers for kinds and zones.
struct Row {
    engine: u64,
    started_at: Option<f64>,
    cell: Option<u64>,
    state: EngineState,
    kind: String,
    weight: f64,
    zone: String,
}

/// The values of one line.
struct Fields<'a> {
    word: &'a str,
    values: Vec<&'a str>,
    names: &'static [&'static str],
}

impl<'a> Fields<'a> {
    fn text(&self, at: usize) -> Option<&'a str> {
        Some(self.values[at]).filter(|value| *value != "-")
    }

    fn bad(&self, at: usize, what: &str) -> String {
        format!("{}: field {}: {what}", self.word, self.names[at])
    }

    fn optional<T: FromStr>(&self, at: usize) -> Result<Option<T>, String> {
        let parse = |text: &str| text.parse().map_err(|_| self.bad(at, &format!("cannot read {text:?}")));
        self.text(at).map(parse).transpose()
    }

    fn need<T: FromStr>(&self, at: usize) -> Result<T, String> {
        self.optional(at)?.ok_or_else(|| self.bad(at, "missing"))
    }

    fn need_text(&self, at: usize) -> Result<&'a str, String> {
        self.text(at).ok_or_else(|| self.bad(at, "missing"))
    }

    /// A time or an amount: finite, as JSON's and the clock's numbers are.
    fn amount(&self, at: usize) -> Result<Option<f64>, String> {
        match self.optional::<f64>(at)? {
            Some(value) if !value.is_finite() => Err(self.bad(at, "is not a finite number")),
            value => Ok(value),
        }
    }

    fn need_amount(&self, at: usize) -> Result<f64, String> {
        self.amount(at)?.ok_or_else(|| self.bad(at, "missing"))
    }
}

const BATCH: &[&str] = &["clock"];
const LAUNCH: &[&str] = &["who", "randomSeed", "env"];
const LIST: &[&str] = &["list", "elements"];
const ROW: &[&str] =
    &["engine", "upSinceMs", "unitGroup", "stageState", "familyType", "capacityHint", "zone"];
const REGISTRY: &[&str] = &["who", "gen", "form", "list"];
const INGRESS: &[&str] =
    &["who", "xid", "dataGroup", "opts", "costMs", "customer", "memMb", "graceMs", "profile", "object"];
const COMPLETED: &[&str] =
    &["who", "xid", "sendNo", "engine", "status", "timeTakenMs", "settled", "bill", "stats"];
const CHECKED: &[&str] = &["who", "status", "engine", "timeTakenMs", "stats"];
const INTERIM: &[&str] = &["who", "xid", "sendNo", "engine", "what", "amount"];
const STREAMING: &[&str] = &["who", "xid", "sendNo", "engine", "timeTakenMs"];
const INBOX: &[&str] = &["who", "neighbour", "raw"];
const WAKEUP: &[&str] = &["who", "handle"];
const TIMED_OUT_CLIENT: &[&str] = &["who", "xid"];
const SHUTDOWN: &[&str] = &["who"];

/// Splits a line by the layout of its message; the last field of `LAUNCH` keeps its spaces.
fn fields<'a>(line: &'a str, word: &'a str, names: &'static [&'static str]) -> Result<Fields<'a>, String> {
    let rest = line.get(word.len() + 1..).unwrap_or("");
    let values: Vec<&str> = if word == "LAUNCH" {
        rest.splitn(names.len(), ' ').collect()
    } else if rest.is_empty() {
        Vec::new()
    } else {
        rest.split(' ').collect()
    };
    if values.len() != names.len() {
        let want = names.len();
        return Err(format!("{word}: {want} fields ({}) wanted, {} found", names.join(" "), values.len()));
    }
    Ok(Fields { word, values, names })
}

/// Reads batches until input ends, and answers each.
pub fn run(input: impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut session = Session::default();
    let mut number = 0u64;
    for line in input.lines() {
        number += 1;
        let line = line.map_err(|error| format!("line {number}: {error}"))?;
        session
            .take(line.trim_end_matches('\r'), output)
            .map_err(|message| format!("line {number}: {message}"))?;
    }
    match session.clock {
        Some(_) => Err(format!("line {number}: input ended inside a batch (EOF_BATCH missing)")),
        None => Ok(()),
    }
}

#[derive(Default)]
struct Session {
    clock: Option<f64>,
    instances: HashMap<u64, Instance>,
    lists: HashMap<u64, Vec<Row>>,
    /// List that is being read and how many of its entries are still to come.
    open_list: Option<(u64, usize)>,
    actions: Vec<Action>,
    reply: String,
}

impl Session {
    fn take(&mut self, line: &str, output: &mut impl Write) -> Result<(), String> {
        let word = line.split(' ').next().unwrap_or("");
        let Some(now) = self.clock else {
            return match word {
                "" => Ok(()),
                "BATCH" => {
                    self.clock = Some(fields(line, word, BATCH)?.need_amount(0)?);
                    Ok(())
                }
                other => Err(format!("BATCH wanted, {other:?} found")),
            };
        };
        if let Some((list, left)) = self.open_list {
            if word != "ROW" {
                return Err(format!("LIST: field elements: {left} more ROW lines wanted, {word:?} found"));
            }
            let row = row(&fields(line, word, ROW)?)?;
            self.lists.entry(list).or_default().push(row);
            self.open_list = Some((list, left - 1)).filter(|(_, left)| *left > 0);
            return Ok(());
        }
        match word {
            "EOF_BATCH" => {
                self.clock = None;
                self.reply.push_str("READY\n");
                let text = std::mem::take(&mut self.reply);
                output
                    .write_all(text.as_bytes())
                    .and_then(|()| output.flush())
                    .map_err(|error| error.to_string())
            }
            "LIST" => {
                let values = fields(line, word, LIST)?;
                let (list, count) = (values.need(0)?, values.need(1)?);
                self.lists.insert(list, Vec::new());
                self.open_list = Some((list, count)).filter(|(_, count)| *count > 0);
                Ok(())
            }
            "LAUNCH" => self.launch(&fields(line, word, LAUNCH)?, now),
            "SHUTDOWN" => {
                let who: u64 = fields(line, word, SHUTDOWN)?.need(0)?;
                self.instances.remove(&who);
                Ok(())
            }
            _ => self.event(line, word, now),
        }
    }

    fn launch(&mut self, values: &Fields, now: f64) -> Result<(), String> {
        let front =
            settings::parse(values.need_text(2)?).map_err(|error| values.bad(2, &error.to_string()))?;
        let gateway = Gateway::new(front.settings.clone(), values.need(1)?, now);
        let instance = Instance {
            gateway,
            front,
            requests: Vec::new(),
            request_ids: HashMap::new(),
            keys: HashMap::new(),
        };
        self.instances.insert(values.need(0)?, instance);
        Ok(())
    }

    fn event(&mut self, line: &str, word: &str, now: f64) -> Result<(), String> {
        let names = match word {
            "REGISTRY" => REGISTRY,
            "INGRESS" => INGRESS,
            "COMPLETED" => COMPLETED,
            "CHECKED" => CHECKED,
            "INTERIM" => INTERIM,
            "STREAMING" => STREAMING,
            "INBOX" => INBOX,
            "WAKEUP" => WAKEUP,
            "TIMED_OUT_CLIENT" => TIMED_OUT_CLIENT,
            other => return Err(format!("unknown event {other:?}")),
        };
        let values = fields(line, word, names)?;
        let who: u64 = values.need(0)?;
        let instance = self.instances.get_mut(&who).ok_or_else(|| values.bad(0, "was never launched"))?;
        let event = match word {
            "REGISTRY" => Some(instance.registry(&values, &self.lists)?),
            "INGRESS" => Some(instance.ingress(&values)?),
            "COMPLETED" => instance.completed(&values)?,
            "CHECKED" => Some(Event::HealthChecked {
                outcome: outcome(&values, 1)?,
                engine: EngineId(values.need(2)?),
                elapsed_ms: values.need_amount(3)?,
                report: report(&values, 4, &instance.front.columns)?,
            }),
            "INTERIM" => instance.interim(&values)?,
            "STREAMING" => instance.known(&values, 1)?.map(|request| Event::StreamStarted { request }),
            "WAKEUP" => Some(Event::Timer(values.need(1)?)),
            "TIMED_OUT_CLIENT" => instance.known(&values, 1)?.map(Event::ClientDisconnected),
            _ => None,
        };
        if let Some(event) = event {
            instance.gateway.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                write_action(&mut self.reply, who, &instance.requests, &action);
            }
        }
        Ok(())
    }
}

impl Instance {
    /// The request that a line names; `None` for one that this instance never took.
    fn known(&self, values: &Fields, at: usize) -> Result<Option<RequestId>, String> {
        Ok(self.request_ids.get(values.need_text(at)?).copied().map(RequestId))
    }

    fn registry(&mut self, values: &Fields, lists: &HashMap<u64, Vec<Row>>) -> Result<Event, String> {
        let form = values.need_text(2)?;
        if form == "unavailable" {
            return Ok(Event::EngineList(EngineListEvent::Unavailable));
        }
        let rows = lists.get(&values.need(3)?).ok_or_else(|| values.bad(3, "no such list was sent"))?;
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            entries.push(EngineEntry {
                id: EngineId(row.engine),
                started_at: row.started_at,
                cell: row.cell.map(CellId),
                state: row.state,
                kind: KindId(number(&mut self.front.kinds, &row.kind)),
                weight: row.weight,
                zone: ZoneId(number(&mut self.front.zones, &row.zone)),
            });
        }
        Ok(Event::EngineList(match form {
            "update" => EngineListEvent::Update(entries),
            "replace" => EngineListEvent::Replace(entries),
            "restored" => EngineListEvent::Restored(entries),
            other => return Err(values.bad(2, &format!("unknown word {other:?}"))),
        }))
    }

    fn ingress(&mut self, values: &Fields) -> Result<Event, String> {
        let xid = values.need_text(1)?;
        let id = self.requests.len() as u64;
        if self.request_ids.insert(xid.to_owned(), id).is_some() {
            return Err(values.bad(1, "came before"));
        }
        self.requests.push(xid.to_owned());
        let flags = values.optional::<u64>(3)?.unwrap_or(0);
        let profile = values.need_text(8)?;
        let class = self.front.classes.iter().position(|name| name == profile);
        let class = class.ok_or_else(|| values.bad(8, &format!("unknown class {profile:?}")))?;
        let customer =
            values.text(5).and_then(|name| self.front.tenants.iter().position(|known| known == name));
        let count = self.keys.len() as u64;
        let key = values.text(9).map(|key| *self.keys.entry(key.to_owned()).or_insert(count));
        Ok(Event::Request(Request {
            id: RequestId(id),
            class: ClassId(class),
            tenant: customer.map(TenantId),
            key: key.map(OrderKey),
            data_set: values.amount(2)?.unwrap_or(0.0) as u64,
            work_ms: values.amount(4)?.filter(|work| flags & 1 != 0 && *work > 0.0),
            memory_mb: values.amount(6)?.filter(|memory| *memory > 0.0),
            remaining_ms: values.need_amount(7)?,
        }))
    }

    fn completed(&self, values: &Fields) -> Result<Option<Event>, String> {
        let Some(request) = self.known(values, 1)? else { return Ok(None) };
        let bill = values.optional::<u64>(7)?.unwrap_or(0);
        let usage = Usage { work_ms: (bill >> 12) as f64, memory_mb: ((bill & 4095) * 4) as f64 };
        Ok(Some(Event::AttemptEnded(AttemptEnd {
            request,
            attempt: values.need(2)?,
            outcome: outcome(values, 4)?,
            elapsed_ms: values.need_amount(5)?,
            settled: values.need::<u8>(6)? != 0,
            usage: Some(usage).filter(|_| self.front.says_cost && bill > 0),
            report: report(values, 8, &self.front.columns)?,
        })))
    }

    fn interim(&self, values: &Fields) -> Result<Option<Event>, String> {
        let amount = values.amount(5)?.unwrap_or(0.0);
        let note = match values.need::<u32>(4)? {
            1 => AttemptNote::Progress(amount),
            2 => AttemptNote::Spills(amount),
            3 if amount == 2.0 => AttemptNote::WaitsForLoad,
            3 => AttemptNote::WaitsForMemory,
            other => return Err(values.bad(4, &format!("unknown note {other}"))),
        };
        let attempt = values.need(2)?;
        Ok(self.known(values, 1)?.map(|request| Event::AttemptNote { request, attempt, note }))
    }
}

fn row(values: &Fields) -> Result<Row, String> {
    let state = match values.need_text(3)? {
        "active" => EngineState::Ready,
        "leaving" => EngineState::Draining,
        "left" => EngineState::Removed,
        other => return Err(values.bad(3, &format!("unknown word {other:?}"))),
    };
    Ok(Row {
        engine: values.need(0)?,
        started_at: values.amount(1)?.filter(|at| *at != 0.0),
        cell: values.optional(2)?,
        state,
        kind: values.text(4).unwrap_or("").to_owned(),
        weight: values.amount(5)?.unwrap_or(1.0),
        zone: values.text(6).unwrap_or("").to_owned(),
    })
}

fn outcome(values: &Fields, at: usize) -> Result<Outcome, String> {
    Ok(match values.need_text(at)? {
        "served" => Outcome::Served,
        "server_error" => Outcome::ServerError,
        "turned_away" => Outcome::Full,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        other => return Err(values.bad(at, &format!("unknown word {other:?}"))),
    })
}

/// Reads a load report: name:value pairs, with names that are not known passed over.
fn report(values: &Fields, at: usize, columns: &[String]) -> Result<Option<LoadReport>, String> {
    let Some(text) = values.text(at).filter(|_| !columns.is_empty()) else { return Ok(None) };
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| values.bad(at, &format!("cannot read {pair:?}")))?;
        let value: f64 = value.parse().map_err(|_| values.bad(at, &format!("cannot read {pair:?}")))?;
        match name {
            "inflight" => report.in_flight = Some(value),
            "queue" => report.queued = Some(value),
            "util" => report.busy = Some(value),
            "x0" => report.memory = Some(value),
            "x1" => report.disks = Some(value),
            _ => {}
        }
    }
    Ok(Some(report))
}

fn write_action(reply: &mut String, who: u64, requests: &[String], action: &Action) {
    use std::fmt::Write;
    let xid = |id: &RequestId| requests[id.0 as usize].as_str();
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { request, engine, timeout_ms } => {
            writeln!(reply, "ROUTE {who} {} {} {timeout_ms:.3}", xid(request), engine.0)
        }
        Action::SetTerms { request, memory_mb, priority } => {
            writeln!(reply, "LIMITS_FOR {who} {} {memory_mb:.3} {priority}", xid(request))
        }
        Action::Reject { request, retry_after_ms } => {
            writeln!(reply, "TURN_AWAY {who} {} {retry_after_ms:.3}", xid(request))
        }
        Action::Fail(request) => writeln!(reply, "REPORT_FAILURE {who} {}", xid(request)),
        Action::Cancel { request, attempt } => writeln!(reply, "ABANDON {who} {} {attempt}", xid(request)),
        Action::HealthCheck(engine) => writeln!(reply, "HEALTH_CHECK {who} {}", engine.0),
        Action::Timer { token, after_ms } => writeln!(reply, "REMIND {who} {token} {after_ms:.3}"),
        Action::Subscribe => writeln!(reply, "WATCH {who} 1"),
        Action::Log(message) => writeln!(reply, "REMARK {who} {message}"),
    };
}
