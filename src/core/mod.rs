//! The service without any wire, clock or I/O: what happened goes in, what is to be done comes out.
//!
//! A request passes the stages in order: [`take_in`] checks it, [`admit`] hands it to the decision module,
//! [`route`] carries out what the module decides, [`send`] starts and stops attempts, [`relay`] brings word
//! of them back, and [`book`] gives the one final answer and counts it.

mod accounting;
mod actions;
mod admission;
mod attempt_events;
mod attempts;
mod learned_state;
mod types;
mod validation;

pub use accounting::{Accounting, Tally};
pub use learned_state::HandoverState;
pub use types::*;
pub use validation::Invalid;

use crate::clock::Micros;
use crate::decision::Gateway;
use crate::decision::{
    Action, CellId, EngineEntry, EngineListEvent, EngineState, Event, KindId, TenantSettings, ZoneId,
};
use crate::settings::{Front, number};
use sanddyke_tenancy::{Generation, Roster, Slot, State, Tenant, TenantId, TenantSpec};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

/// A request that is owed its answer. It leaves the table with the answer, so there can be no second one.
#[derive(Debug)]
struct Open {
    arrival: IncomingRequest,
    class: usize,
    /// Its tenant's, once it is admitted.
    slot: Option<Slot>,
    arrived: Micros,
    deadline: Micros,
    priority: u8,
    state: RequestState,
}

/// Where an open request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// The module holds it.
    Queued,
    /// This attempt is out.
    Running(u32),
}

/// An attempt whose end the module has not been told.
#[derive(Debug)]
struct Attempt {
    engine: u64,
    slot: Option<Slot>,
    sent: Micros,
    cancel_token: CancelToken,
    /// Set once it was given up: the end that the module is told when the stop has had time to arrive.
    cancelled: Option<crate::decision::Outcome>,
}

/// Attempts of a request that have been started.
#[derive(Debug, Default)]
struct Sent {
    /// The number of the next one.
    next: u32,
    /// Those that are out.
    out: u32,
    /// The first that may have run, and when it was sent.
    maybe: Option<(u32, Micros)>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    Deadline(u64),
    AttemptTimeout { request: u64, attempt: u32 },
    CancelOverdue { request: u64, attempt: u32 },
    NotSent { request: u64, attempt: u32 },
}

/// A tenant's share.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    now: f64,
    /// The one that the module was last told: a suspended tenant's from before.
    told: f64,
    /// The id of its group.
    group: Option<u64>,
}

#[derive(Debug)]
struct KnownEngine {
    name: String,
    zone: String,
    kind: String,
    state: EngineState,
    /// Attempts that are out there.
    out: usize,
    /// It has answered a probe.
    heard: bool,
}

/// Start and factor of the FNV-1a hash.
const FNV: (u64, u64) = (0xcbf2_9ce4_8422_2325, 0x100_0000_01b3);

/// The state of one workload manager.
#[derive(Debug)]
pub struct Core {
    gateway: Gateway,
    front: Front,
    max_open: usize,
    roster: Roster,
    /// By slot.
    shares: Vec<Share>,
    /// Tenants come from a store: one that is not there is unknown, also where there are none at all.
    hosted: bool,
    requests: HashMap<u64, Open>,
    names: HashSet<String>,
    attempts: HashMap<(u64, u32), Attempt>,
    sent: HashMap<u64, Sent>,
    engines: HashMap<u64, KnownEngine>,
    timers: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    timer_count: u64,
    actions: Vec<Action>,
    rejecting: bool,
    shutdown_by: Option<Micros>,
    accounting: Accounting,
}

impl Core {
    /// A core that knows its settings and nothing else yet.
    pub fn new(front: Front, max_open: usize, seed: u64, now: Micros) -> Core {
        let mut roster = Roster::default();
        for (at, name) in front.tenants.iter().enumerate() {
            let told = front.settings.tenants[at];
            let spec =
                TenantSpec { weight: told.share, quota_rps: told.quota_per_s, ..TenantSpec::default() };
            let (id, name) = (TenantId(at as u64 + 1), name.clone());
            roster.set(&Tenant { id, name, spec, state: State::Active, generation: Generation(0) });
        }
        Core {
            shares: front
                .settings
                .tenants
                .iter()
                .map(|of| Share { now: of.share, told: of.share, group: None })
                .collect(),
            roster,
            hosted: false,
            gateway: Gateway::new(front.settings.clone(), seed, now.as_ms()),
            accounting: Accounting::default(),
            front,
            max_open,
            requests: HashMap::new(),
            names: HashSet::new(),
            attempts: HashMap::new(),
            sent: HashMap::new(),
            engines: HashMap::new(),
            timers: BinaryHeap::new(),
            timer_count: 0,
            actions: Vec::new(),
            rejecting: false,
            shutdown_by: None,
        }
    }

    /// Tenants come from a store from now on, and only those that are told are there.
    pub fn host(mut self) -> Core {
        self.hosted = true;
        self
    }

    /// Takes one input and adds what is to be done about it to `out`, in order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::RequestReceived(arrival) => match self.take_in(now, arrival) {
                Ok(open) => self.admit(now, open, out),
                Err((request, why)) => out.push(Command::Answer { request, answer: Answer::Invalid(why) }),
            },
            Input::ClientDisconnected(request) => self.client_left(now, request, out),
            Input::CancelRequested(request) => self.cancel_request(now, request, out),
            Input::Engines(news) => self.list(now, news, out),
            Input::Tenants(news) => news.into_iter().for_each(|one| self.tenant(now, one, out)),
            Input::Attempt { request, attempt, news } => self.relay(now, request, attempt, news, out),
            Input::HealthChecked { engine, end, report, elapsed } => {
                if log::log_enabled!(log::Level::Debug) {
                    let name = self.engines.get(&engine).map_or("?", |engine| &engine.name);
                    let told = report.unwrap_or_default();
                    let figures =
                        [told.busy, told.queued, told.memory, told.disks].map(|one| one.unwrap_or(-1.0));
                    log::debug!(
                        "probe at={} us={} engine={name} end={end:?} load={figures:?}",
                        now.0,
                        elapsed.0
                    );
                }
                let event = Event::HealthChecked {
                    engine: crate::decision::EngineId(engine),
                    outcome: end.outcome(),
                    elapsed_ms: elapsed.as_ms(),
                    report,
                };
                if let Some(known) = self.engines.get_mut(&engine) {
                    known.heard |= end == ConnectionEnd::Answered;
                }
                self.decide(now, event, out);
            }
            Input::RestoreState(handover, age) => self.restore(&handover, age),
            Input::PeerProcessConnections(connections) => {
                let most = self.front.settings.limits.max_open_requests;
                self.gateway.set_max_open_requests(most.map(|most| most.saturating_sub(connections).max(1)));
            }
            Input::Tick => self.due(now, out),
            Input::RejectNew => self.rejecting = true,
            Input::ShutdownBy(at) => self.shut_down_by(now, at, out),
        }
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Requests that are owed an answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.timer_count += 1;
        self.timers.push(Reverse((at, self.timer_count, timer)));
    }

    /// Tells the module, and carries out what it wants done.
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gateway.handle(now.as_ms(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, out);
        }
        self.actions = actions;
    }

    fn due(&mut self, now: Micros, out: &mut Vec<Command>) {
        while self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, timer))) = self.timers.pop() else { return };
            match timer {
                Timer::Module(token) => self.decide(now, Event::Timer(token), out),
                // The module answers before this; a request is never left to it alone.
                Timer::Deadline(request) => self.overdue(now, request, out),
                Timer::AttemptTimeout { request, attempt } => self.attempt_over(now, request, attempt, out),
                Timer::CancelOverdue { request, attempt } => self.cancel_overdue(now, request, attempt, out),
                Timer::NotSent { request, attempt } => self.unsendable(now, request, attempt, out),
            }
        }
    }

    fn list(&mut self, now: Micros, news: EngineListUpdate, out: &mut Vec<Command>) {
        type Form = fn(Vec<EngineEntry>) -> EngineListEvent;
        let (told, form): (Vec<Engine>, Form) = match news {
            EngineListUpdate::Initial(told) => (told, EngineListEvent::Restored),
            EngineListUpdate::Complete(told) => (told, EngineListEvent::Replace),
            EngineListUpdate::Changed(told) => (told, EngineListEvent::Update),
        };
        let mut entries = Vec::with_capacity(told.len());
        for engine in told {
            let id = learned_state::engine_number(&engine.name);
            entries.push(EngineEntry {
                id: crate::decision::EngineId(id),
                started_at: engine.started.map(Micros::as_ms),
                cell: engine.cell.map(CellId),
                state: engine.state,
                kind: KindId(number(&mut self.front.kinds, &engine.kind)),
                weight: engine.weight,
                zone: ZoneId(number(&mut self.front.zones, &engine.zone)),
            });
            out.push(Command::UpdateEngine {
                engine: id,
                name: engine.name.clone(),
                address: engine.address,
                state: engine.state,
            });
            let (out, heard) = self.engines.get(&id).map_or((0, false), |known| (known.out, known.heard));
            let (name, zone, kind) = (engine.name, engine.zone, engine.kind);
            self.engines.insert(id, KnownEngine { name, zone, kind, state: engine.state, out, heard });
        }
        let news = form(entries);
        if let EngineListEvent::Replace(entries) | EngineListEvent::Restored(entries) = &news {
            let named: HashSet<u64> = entries.iter().map(|entry| entry.id.0).collect();
            let unnamed = self.engines.iter_mut().filter(|(id, _)| !named.contains(id));
            unnamed.for_each(|(_, engine)| engine.state = EngineState::Removed);
        }
        // What stands in a queue, as behind a connection that comes up late, is not written to an engine that takes
        // nothing new any more.
        let ready = |id: &u64| self.engines.get(id).is_some_and(|to| to.state == EngineState::Ready);
        self.attempts.values().filter(|one| !ready(&one.engine)).for_each(|one| one.cancel_token.cancel());
        self.decide(now, Event::EngineList(news), out);
        let gone: Vec<u64> = self.engines.keys().copied().collect();
        gone.into_iter().for_each(|id| self.forget_gone(id, out));
    }

    /// Drops an engine that is gone, once nothing is out there. New ones come all day long.
    fn forget_gone(&mut self, id: u64, out: &mut Vec<Command>) {
        let over = |engine: &KnownEngine| engine.state == EngineState::Removed && engine.out == 0;
        if self.engines.get(&id).is_some_and(over) {
            self.engines.remove(&id);
            out.push(Command::RemoveEngine { engine: id });
        }
    }

    /// Takes over what has changed of a tenant, and tells the module. The module hears of a removal only once
    /// nothing refers to the tenant's slot any more: until then it goes on serving what is under way.
    fn tenant(&mut self, now: Micros, news: TenantUpdate, out: &mut Vec<Command>) {
        match news {
            TenantUpdate::Set { tenant, share, group } => {
                let slot = self.roster.set(&tenant);
                self.shares.resize(self.shares.len().max(slot + 1), Share::default());
                self.shares[slot].group = group;
                self.share(now, slot, share, out);
            }
            TenantUpdate::Share { id, share } => {
                if let Some(slot) = self.roster.slot_of(id) {
                    self.share(now, slot, share, out);
                }
            }
            TenantUpdate::Removed(id) => {
                let over = self.roster.remove(id);
                self.forget_tenant(now, over, out);
            }
        }
    }

    fn share(&mut self, now: Micros, slot: Slot, share: f64, out: &mut Vec<Command>) {
        let (Some(of), Some(tenant)) = (self.shares.get_mut(slot), self.roster.tenant(slot)) else { return };
        // Work that a suspended tenant has waiting keeps the turns that it had.
        (of.now, of.told) = (share, if share > 0.0 { share } else { of.told });
        let told = TenantSettings { share: of.told, quota_per_s: tenant.spec.quota_rps, group: of.group };
        self.decide(now, Event::Tenant { tenant: crate::TenantId(slot), settings: Some(told) }, out);
    }

    /// Drops a removed tenant to which nothing refers any more.
    fn forget_tenant(&mut self, now: Micros, slot: Option<Slot>, out: &mut Vec<Command>) {
        if let Some(slot) = slot {
            self.accounting.forget(slot);
            self.shares[slot] = Share::default();
            self.decide(now, Event::Tenant { tenant: crate::TenantId(slot), settings: None }, out);
        }
    }

    /// One line on what is open, for the log: of each class how many wait and how many are out.
    pub fn state_line(&self) -> String {
        let mut counts = vec![(0, 0); self.front.classes.len()];
        for open in self.requests.values() {
            let (held, out) = &mut counts[open.class];
            *(if open.state == RequestState::Queued { held } else { out }) += 1;
        }
        let parts = self.front.classes.iter().zip(counts);
        let parts: Vec<String> = parts.map(|(name, (held, out))| format!("{name} {held}+{out}")).collect();
        let ends: Vec<String> =
            self.accounting.attempts.iter().map(|(end, count)| format!("{end} {count}")).collect();
        format!("open (held+out): {}; attempts ended: {}", parts.join(", "), ends.join(", "))
    }

    /// What the administration API shows.
    pub fn report(&self, now: Micros) -> Report {
        let mut engines: Vec<EngineReport> = self
            .engines
            .values()
            .map(|engine| EngineReport {
                name: engine.name.clone(),
                zone: engine.zone.clone(),
                kind: engine.kind.clone(),
                state: engine.state.name().to_owned(),
                attempts_out: engine.out,
            })
            .collect();
        engines.sort_by(|a, b| a.name.cmp(&b.name));
        let mut requests: Vec<RequestReport> = self
            .requests
            .iter()
            .map(|(id, open)| RequestReport {
                id: *id,
                name: open.arrival.name.clone(),
                class: open.arrival.class.clone(),
                tenant: open.arrival.tenant.clone(),
                age_ms: (now - open.arrived).as_ms(),
                left_ms: (open.deadline - now).as_ms(),
                state: match open.state {
                    RequestState::Queued => "held".to_owned(),
                    RequestState::Running(attempt) => self
                        .attempts
                        .get(&(*id, attempt))
                        .and_then(|attempt| self.engines.get(&attempt.engine))
                        .map_or("out".to_owned(), |engine| format!("on {}", engine.name)),
                },
            })
            .collect();
        requests.sort_by_key(|request| request.id);
        Report {
            engines,
            requests,
            tallies: self.accounting.tallies.values().cloned().collect(),
            attempts: self.accounting.attempts.clone(),
            tenants: self.tenants(),
            unknown_tenants: self.roster.unknown(),
            stopping: self.rejecting,
        }
    }

    /// What is under way of some tenants.
    pub fn usage(&self, ids: &[TenantId]) -> HashMap<TenantId, TenantReport> {
        let slots = ids.iter().filter_map(|id| self.roster.slot_of(*id));
        slots.filter_map(|slot| self.tenant_report(slot)).map(|report| (report.id, report)).collect()
    }

    fn tenants(&self) -> Vec<TenantReport> {
        self.roster.tenants().filter_map(|(slot, _)| self.tenant_report(slot)).collect()
    }

    fn tenant_report(&self, slot: Slot) -> Option<TenantReport> {
        let tenant = self.roster.tenant(slot)?;
        let (open, attempts) = self.roster.in_flight(slot);
        Some(TenantReport {
            id: tenant.id,
            name: tenant.name.clone(),
            state: tenant.state,
            share: self.shares.get(slot).map_or(0.0, |of| of.now),
            open,
            attempts,
            refused: self.roster.refusals(slot).map(|(reason, count)| (reason.code(), count)).collect(),
        })
    }
}

#[cfg(test)]
mod tests;
