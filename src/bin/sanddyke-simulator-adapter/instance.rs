//! One simulated workload manager: its scheduler, and the numbers that the scheduler has for names on the wire.

use crate::error::{FieldError, LineError};
use crate::lines::{EventMessage, Fields};
use sanddyke::settings::{self, ServiceSettings, number};
use sanddyke::{
    AttemptEnd, CellId, ClassId, EngineEntry, EngineId, EngineListEvent, EngineState, Event, KindId,
    LoadReport, Millis, OrderKey, Outcome, ProgressNote, Request, RequestId, Scheduler, TenantId, Usage,
    ZoneId,
};
use std::collections::HashMap;

/// Bit of `opts` in `INGRESS`: `costMs` is a usable estimate of the work.
const HAS_WORK_ESTIMATE: u64 = 1;
/// `bill` in `COMPLETED` holds the work (ms) above this many bits.
const BILL_WORK_SHIFT: u32 = 12;
/// `bill` in `COMPLETED` holds the memory in its low bits, in units of this many MB.
const BILL_MEMORY_UNIT_MB: u64 = 4;
/// `amount` in `INTERIM` if an attempt waits for a load.
const WAITS_FOR_LOAD: f64 = 2.0;

/// One simulated workload manager.
pub struct Instance {
    /// Decides for this manager.
    pub scheduler: Scheduler,
    /// Client request ids, indexed by request id.
    pub requests: Vec<String>,
    service_settings: ServiceSettings,
    request_ids: HashMap<String, RequestId>,
    order_keys: HashMap<String, OrderKey>,
}

impl Instance {
    /// Creates the instance that a `LAUNCH` line describes.
    pub fn launch(fields: &Fields, now: Millis) -> Result<Instance, LineError> {
        let service_settings =
            settings::parse(fields.required_text(2)?).map_err(|error| fields.error(2, error))?;
        Ok(Instance {
            scheduler: Scheduler::new(service_settings.settings.clone(), fields.required(1)?, now),
            requests: Vec::new(),
            service_settings,
            request_ids: HashMap::new(),
            order_keys: HashMap::new(),
        })
    }

    /// The event of a line; `None` if the scheduler has nothing to decide.
    pub fn event(
        &mut self,
        message: EventMessage,
        fields: &Fields,
        lists: &HashMap<u64, Vec<ListRow>>,
    ) -> Result<Option<Event>, LineError> {
        Ok(match message {
            EventMessage::Registry => Some(Event::EngineList(self.engine_list(fields, lists)?)),
            EventMessage::Ingress => Some(Event::Request(self.request(fields)?)),
            EventMessage::Completed => self.attempt_end(fields)?.map(Event::AttemptEnded),
            EventMessage::Checked => Some(self.health_check_end(fields)?),
            EventMessage::Interim => self.attempt_note(fields)?,
            EventMessage::Streaming => {
                self.known_request(fields, 1)?.map(|request| Event::StreamStarted { request })
            }
            EventMessage::Wakeup => Some(Event::Timer(fields.required(1)?)),
            EventMessage::TimedOutClient => self.known_request(fields, 1)?.map(Event::ClientDisconnected),
            EventMessage::Inbox => None,
        })
    }

    /// The id of the request that a line names; `None` if this instance never received it.
    fn known_request(&self, fields: &Fields, index: usize) -> Result<Option<RequestId>, LineError> {
        Ok(self.request_ids.get(fields.required_text(index)?).copied())
    }

    /// `REGISTRY`: an update of the engine list.
    fn engine_list(
        &mut self,
        fields: &Fields,
        lists: &HashMap<u64, Vec<ListRow>>,
    ) -> Result<EngineListEvent, LineError> {
        let form = fields.required_text(2)?;
        if form == "unavailable" {
            return Ok(EngineListEvent::Unavailable);
        }
        let rows = lists.get(&fields.required(3)?).ok_or_else(|| fields.error(3, FieldError::UnknownList))?;
        let entries = rows.iter().map(|row| self.entry(row)).collect();
        match form {
            "update" => Ok(EngineListEvent::Update(entries)),
            "replace" => Ok(EngineListEvent::Replace(entries)),
            "restored" => Ok(EngineListEvent::Restored(entries)),
            other => Err(fields.error(2, FieldError::UnknownWord(other.to_owned()))),
        }
    }

    /// Converts a list entry, with this instance's numbers for kinds and zones.
    fn entry(&mut self, row: &ListRow) -> EngineEntry {
        EngineEntry {
            id: row.engine,
            started_at: row.started_at,
            cell: row.cell,
            state: row.state,
            kind: KindId(number(&mut self.service_settings.kinds, &row.kind)),
            weight: row.weight,
            zone: ZoneId(number(&mut self.service_settings.zones, &row.zone)),
        }
    }

    /// `INGRESS`: a request arrived.
    fn request(&mut self, fields: &Fields) -> Result<Request, LineError> {
        let name = fields.required_text(1)?;
        let id = RequestId(self.requests.len() as u64);
        if self.request_ids.insert(name.to_owned(), id).is_some() {
            return Err(fields.error(1, FieldError::DuplicateRequest));
        }
        self.requests.push(name.to_owned());
        let options = fields.value::<u64>(3)?.unwrap_or(0);
        let class_name = fields.required_text(8)?;
        let class = self.service_settings.classes.iter().position(|class| class == class_name);
        let class = class.ok_or_else(|| fields.error(8, FieldError::UnknownClass(class_name.to_owned())))?;
        let tenant = fields
            .text(5)
            .and_then(|name| self.service_settings.tenants.iter().position(|tenant| tenant == name));
        let next_key = OrderKey(self.order_keys.len() as u64);
        let key = fields.text(9).map(|key| *self.order_keys.entry(key.to_owned()).or_insert(next_key));
        let has_estimate = options & HAS_WORK_ESTIMATE != 0;
        Ok(Request {
            id,
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            key,
            data_set: fields.amount(2)?.unwrap_or(0.0) as u64,
            work_ms: fields.amount(4)?.filter(|work_ms| has_estimate && *work_ms > 0.0),
            memory_mb: fields.amount(6)?.filter(|memory_mb| *memory_mb > 0.0),
            remaining_ms: fields.required_amount(7)?,
            prior_execution: None, // in the simulator a client's retry has another id
        })
    }

    /// `COMPLETED`: an attempt ended. `None` if this instance never received its request.
    fn attempt_end(&self, fields: &Fields) -> Result<Option<AttemptEnd>, LineError> {
        let Some(request) = self.known_request(fields, 1)? else { return Ok(None) };
        let bill = fields.value::<u64>(7)?.unwrap_or(0);
        Ok(Some(AttemptEnd {
            request,
            attempt: fields.required(2)?,
            outcome: outcome(fields, 4)?,
            elapsed_ms: fields.required_amount(5)?,
            request_closed: fields.required::<u8>(6)? != 0,
            usage: usage(bill).filter(|_| self.service_settings.reports_usage),
            report: load_report(fields, 8, &self.service_settings.columns)?,
        }))
    }

    /// `CHECKED`: a health check ended.
    fn health_check_end(&self, fields: &Fields) -> Result<Event, LineError> {
        Ok(Event::HealthChecked {
            outcome: outcome(fields, 1)?,
            engine: EngineId(fields.required(2)?),
            elapsed_ms: fields.required_amount(3)?,
            report: load_report(fields, 4, &self.service_settings.columns)?,
        })
    }

    /// `INTERIM`: a progress note of an attempt in flight. `None` if this instance never received its request.
    fn attempt_note(&self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let amount = fields.amount(5)?.unwrap_or(0.0);
        let note = match fields.required::<u32>(4)? {
            1 => ProgressNote::Progress(amount),
            2 => ProgressNote::Spills(amount),
            3 if amount == WAITS_FOR_LOAD => ProgressNote::WaitsForLoad,
            3 => ProgressNote::WaitsForMemory,
            other => return Err(fields.error(4, FieldError::UnknownNote(other))),
        };
        let attempt = fields.required(2)?;
        let request = self.known_request(fields, 1)?;
        Ok(request.map(|request| Event::ProgressNote { request, attempt, note }))
    }
}

/// An entry of an engine list, with the names of its kind and zone.
pub struct ListRow {
    engine: EngineId,
    started_at: Option<Millis>,
    cell: Option<CellId>,
    state: EngineState,
    kind: String,
    weight: f64,
    zone: String,
}

impl ListRow {
    /// Parses a `ROW` line.
    pub fn parse(fields: &Fields) -> Result<ListRow, LineError> {
        let state = match fields.required_text(3)? {
            "active" => EngineState::Ready,
            "leaving" => EngineState::Draining,
            "left" => EngineState::Removed,
            other => return Err(fields.error(3, FieldError::UnknownWord(other.to_owned()))),
        };
        Ok(ListRow {
            engine: EngineId(fields.required(0)?),
            started_at: fields.amount(1)?.filter(|at| *at != 0.0),
            cell: fields.value(2)?.map(CellId),
            state,
            kind: fields.text(4).unwrap_or("").to_owned(),
            weight: fields.amount(5)?.unwrap_or(1.0),
            zone: fields.text(6).unwrap_or("").to_owned(),
        })
    }
}

/// Parses an outcome of an attempt or a health check.
fn outcome(fields: &Fields, index: usize) -> Result<Outcome, LineError> {
    Ok(match fields.required_text(index)? {
        "served" => Outcome::Served,
        "server_error" => Outcome::ServerError,
        "turned_away" => Outcome::EngineFull,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        other => return Err(fields.error(index, FieldError::UnknownWord(other.to_owned()))),
    })
}

/// Decodes the work and memory of a `bill`; `None` if it is 0.
fn usage(bill: u64) -> Option<Usage> {
    let work_ms = bill >> BILL_WORK_SHIFT;
    let memory_units = bill & ((1 << BILL_WORK_SHIFT) - 1);
    let usage = Usage { work_ms: work_ms as f64, memory_mb: (memory_units * BILL_MEMORY_UNIT_MB) as f64 };
    (bill > 0).then_some(usage)
}

/// Parses a load report, a list of `name:value` pairs. Unknown names are ignored. `None` if the field is empty or the
/// settings name no columns.
fn load_report(fields: &Fields, index: usize, columns: &[String]) -> Result<Option<LoadReport>, LineError> {
    let Some(text) = fields.text(index).filter(|_| !columns.is_empty()) else { return Ok(None) };
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let unreadable = || fields.error(index, FieldError::Unreadable(pair.to_owned()));
        let (name, value) = pair.split_once(':').ok_or_else(unreadable)?;
        let value: f64 = value.parse().map_err(|_| unreadable())?;
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
