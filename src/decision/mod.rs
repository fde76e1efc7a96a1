//! Every decision of the gateway: when, and where, each request runs and how it ends. Types: `types`.
//! Ordinary path: a sub-second ("sensitive") request is due at arrival + latency budget - service time; all
//! others are best effort, in turns. Alpha splits slots, a cap binds under pressure, the lighter of two wins.

mod types;

use oorandom::Rand64;
use sanddyke_sampling::{Draws, Fit};
use sanddyke_statistics::{GeneralizedExponential, Load, Memo, Timeline, Window};
use sanddyke_tenancy::{FairQueue, Rank};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use types::*;

// --- The mechanism (tunable by the design page: range, alpha steps, target, staircase, window) ---
const SENSITIVE_BELOW_MS: f64 = 1000.0; // a class aimed below this is sensitive: "sub-second" (ms)
const ZETA: f64 = 0.95; // allowed range of U over its target: the paper's
const THETA: f64 = 0.98;
const GAMMA: f64 = 0.05; // step by which alpha falls (over the mean CV): the paper's
const BETA: f64 = 0.25; // part by which it grows: the paper's
const ALPHA_BOUNDS: (f64, f64) = (0.05, 0.95); // bounds of alpha, so that neither side is ever shut out
const ALPHA_FIRST: f64 = 0.5; // alpha until the first completions tell the sensitive share of the requests
const U_TARGET: f64 = 0.05; // disengagement aimed at: one request in twenty late by a full step
const U_LATE: f64 = 0.5; // disengagement of an answer after its aim
const U_LOST: f64 = 1.0; // and of one after its deadline, or never
const WINDOW_COUNT: usize = 1000; // a stream looks back on this many completions
const WINDOW_MS: f64 = 10_000.0; // and on this time (ms)
const REFIT_MS: f64 = 500.0; // time between two refits (ms): one for each request costs too much
/// The least cap of one gateway on one engine (threads). With a part under it caps bind nothing: word does.
const CAP_LEAST: f64 = 2.0;

// --- Pressure ---
/// The mark: threads a core of a full engine. It rises below the low stretch, and falls over the high one.
const FULL_FIRST: (f64, f64) = (1.2, 2.0); // the second where a part is tiny: few engines under it draw all
const FULL_BOUNDS: (f64, f64) = (1.0, 2.2);
const FULL_STEP: f64 = 0.02;
const STRETCH_RANGE: (f64, f64) = (1.4, 1.8);
const STRETCH_MOST: f64 = 4.0; // one answer counts at most this: a slow engine alone must not lower the mark
const STRETCH_WEIGHT: f64 = 0.05; // weight of one answer in the stretch
const SENSITIVE_ROOM: f64 = 0.4; // threads a core on top, so that small requests do not wait for heavy ones
const PRESSURE_SLOW: f64 = 3.0; // an engine this many times slower than alone is under pressure
const PRESSURE_BUSY: f64 = 0.75; // share of busy cores from which it says little of other gateways
const LAG_BUSY: f64 = 0.3; // a probe so much over the quickest, in these: half the mark holds
const LAG_JAM: f64 = 0.6; // and from here the engine takes nothing
const MEMORY_FULL: f64 = 0.85; // part of an engine's memory to fill: above it, spills and paging
const FULL_REST_MS: f64 = 200.0; // after an engine was full it gets nothing for this long (ms)

// --- Order of best effort, and refusals ---
const RANK_STRETCH: f64 = 2.5; // rank behind by this times the work for one top worth: dear ones last
const LATE_BAND: u8 = 1; // late requests rank behind all others
const BEYOND_BAND: u8 = 2; // and those beyond a share behind these
const SURE_RATE: f64 = 0.7; // work per core and ms that this gateway surely gets of its part of the fleet
const SHARE_SLACK: f64 = 1.15; // traffic above a tenant's share by this factor counts as beyond it
const SHARE_BURST_MS: f64 = 2000.0; // a tenant may send so much of its share at once (ms)
const CROWDED: f64 = 0.85; // part of the requests that clients can have open from which none may stand still
const SCAN: usize = 8; // how many waiting requests of one queue are looked at for one free slot
const LOOK: usize = 64; // and at most, in one round of sends, of those for which no engine has room
const TENANT_KEPT_MS: f64 = 60_000.0; // a tenant that has asked nothing for so long is forgotten (ms)

// --- Health ---
const OUT_AFTER: u32 = 2; // failed connections, or silent probes, in a row: nothing until it answers
const ONE_LOSS_MS: f64 = 50.0; // attempts lost so close together went down with one connection (ms)
const DOWN_REST_MS: f64 = 500.0; // its rest after each (ms)
const GONE_KEPT_MS: f64 = 30_000.0; // an engine that comes back under its name within this is not new (ms)
const RESTART_MS: f64 = 1500.0; // down for longer than this, an engine has restarted and is cold (ms)
const SLOW_WEIGHT: f64 = 0.1; // weight of one answer in an engine's slowness
const SLOW_FADE_MS: f64 = 8000.0; // time in which slowness fades without answers (ms)
const OTHERS_WEIGHT: f64 = 0.5; // weight of one report in what other gateways run on an engine
const PROBES_PER_REQUEST: f64 = 0.5; // probes for each request taken, in rounds
const DRAWN: usize = 2; // engines asked for word at once, where a part is tiny
const DRAW_MS: f64 = 150.0; // least time between two draws that are probed (ms)
const FRESH_MS: f64 = 200.0; // a report counts as fresh for this long (ms)
const OVERFULL: f64 = 0.1; // part of the words that may tell of more memory granted than there is
const READERS_STEP: f64 = 0.1; // step of a word in how many gateways are taken to read the same
const READERS_BOUNDS: (f64, f64) = (0.25, 4.0); // its bounds, of those that can be counted
const PROBE_LEAST_MS: f64 = 250.0; // least time between two rounds of probes
const RUNAWAY: f64 = 5.0; // an attempt that will take this many times a fresh one is cancelled

const COLD_SAFETY: f64 = 0.425; // of the cold budget: half, of 85 % busy cores: capacity is judged, not told
const BEST_OVER: f64 = 50.0; // answers over which a class's best mean time is sought
const PATIENCE_WEIGHT: f64 = 0.05; // weight of one client that left in its class's patience
const PATIENCE_FADE: f64 = 0.03; // part by which patience grows back a refit
const BEST_FADE: f64 = 0.003; // it is forgotten at this part a refit
const LEARN_OVER: f64 = 200.0; // answers over which a class's needs are averaged
const RATE_MS: f64 = 2000.0; // time over which rates are (ms)
const TICK_MS: f64 = 20.0; // least time between two rounds of upkeep (ms)
const TICK: u64 = 0; // token of the upkeep timer; a request's timer is its id plus one

#[derive(Debug, Default)]
struct Job {
    class: usize,
    tenant: usize,
    key: Option<OrderKey>,
    arrived: Millis,
    deadline: Millis,
    aim_at: Millis, // last moment with full worth, by the estimate
    work: Millis,
    memory: f64,
    rank: Rank,            // place in its queue, in microseconds
    data_set: Option<u64>, // the one that a load holds while it runs
    sent: u32,
    maybe: Option<(u32, Millis, ZoneId, Option<CellId>)>, // the attempt that may have run: which, when, where
    bound: bool,                                          // A stream flows: no deadline, no further attempt
}

#[derive(Debug)]
struct Attempt {
    engine: EngineId,
    at: Millis,
    class: usize,
    load: Load,
    data_set: Option<u64>,
    key: Option<OrderKey>,
}

#[derive(Debug, Default)]
struct Engine {
    entry: EngineEntry,
    cores: f64,
    memory_mb: f64,
    cold_until: Millis,
    gone_since: Option<Millis>,
    own: Load,
    others: f64, // queries that the other gateways run here, by reports
    filled: f64, // part of its memory that is granted, as it told
    crowd: f64,  // gateways that send the next query as well, drawn anew by each word of it
    reported: Option<Millis>,
    lag: f64,  // what the last probe took over the quickest of its zone, in the quickest of all
    slow: f64, // time that answers take over the time that they would take alone
    failures: u32,
    lost_at: Option<Millis>, // when a connection to it last broke
    unheard: u32,            // probes in a row that it left unanswered
    down_since: Option<Millis>,
    rest_until: Millis,
    loading: Vec<u64>, // data sets that own loads hold here: another load on one would stand still
    probe: Option<Load>, // what was running when the probe that is out was sent
    able: f64,         // cores' worth of work that it can do now: less while it is cold
    credit: f64,       // work that it may be sent while cold, by this gateway (ms)
    place: usize,      // among the engines, by id
}

#[derive(Debug, Default, Clone)]
struct Stream {
    done: Window,
    service: Millis,
    slack: Millis, // its latency budget less the service time
}

#[derive(Debug, Default)]
struct ClassStats {
    seen: f64,
    work: Millis,
    memory: f64,
    bias: f64,
    first: Stream,   // what a tenant begins with
    elapsed: Millis, // mean time of an answer, and the least that it was for long
    best: Millis,
    patience: Millis, // how long its clients wait
    held: usize,      // best-effort requests that wait, and those for which no engine had room in this round
    misses: usize,
    budgets: Memo, // latency budgets by CV and aim
}

#[derive(Debug)]
struct Tenant {
    streams: Vec<Stream>, // by class
    seen: Millis,
    tokens: f64,
}

#[derive(Debug, Default)]
struct Line {
    ids: VecDeque<RequestId>,
    rest_until: Millis,
}

#[derive(Debug, Default)]
struct Pace {
    alpha: Option<f64>,
    taken: Timeline, // requests taken and further attempts, for the retry budget
    extras: Timeline,
    ticked: Millis,
    refit_at: Millis,
    probe_at: Millis,
    ask_at: Millis,
    finished: f64, // work finished and requests taken: since the last tick, and per ms
    arrivals: f64,
    rate: f64,
    arrival_rate: f64,
    part: f64, // this gateway's part of all traffic
    draw_at: Millis,
    least: BTreeMap<ZoneId, Millis>, // the quickest probe of each zone
    tiny: bool, // its part of an engine is under the least cap: goes by fresh word of those that it draws
    full: f64,  // threads a core of a full engine
    stretch: f64, // time over time alone, of best-effort answers whose work is told
    slow: f64,  // median slowness of the engines
    listed: usize, // engines that are not gone
    crowd: f64, // gateways as busy as this one that read the same word, where it is all they go by
    readers: f64, // over those counted: more where engines tell of a memory that is over full
}

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    rng: Rand64,
    now: Millis,
    born: Millis,
    out: Vec<Action>,
    engines: BTreeMap<EngineId, Engine>,
    jobs: BTreeMap<RequestId, Job>,
    attempts: BTreeMap<(RequestId, u32), Attempt>,
    sensitive: BTreeSet<(Rank, RequestId)>,
    told: Vec<Option<TenantSettings>>, // by tenant
    tenants: BTreeMap<usize, Tenant>,
    queue: FairQueue, // of best effort: the tenants' requests, and whose turn it is
    classes: Vec<ClassStats>,
    lines: BTreeMap<OrderKey, Line>,
    pace: Pace,
    own: Load,              // what runs on all engines
    draws: Draws<EngineId>, // by class, engines that may have room: all but those found full since the tick
}

/// Algorithm 1: the highest mean latency at which disengagement stays within its range.
fn latency_budget(cv: f64, aim: Millis, deadline: Millis) -> Millis {
    let (law, mut low, mut high) = (GeneralizedExponential::with_cv(cv), 0.0, deadline);
    loop {
        let budget = (low + high) / 2.0;
        let (by_aim, by_deadline) = (law.within(aim, budget), law.within(deadline, budget));
        let u = (by_deadline - by_aim) * U_LATE + (1.0 - by_deadline) * U_LOST;
        *(if u / U_TARGET < ZETA { &mut low } else { &mut high }) = budget;
        if (ZETA..=THETA).contains(&(u / U_TARGET)) || high - low <= deadline / 4096.0 {
            return budget;
        }
    }
}

/// Alpha's rule: grows when the worst stream is past its target, falls when there is room.
fn next_alpha(alpha: f64, worst: f64, best: f64, mean_cv: f64) -> f64 {
    let room = if best < ZETA { GAMMA / mean_cv } else { 0.0 };
    (if worst > THETA { alpha * (1.0 + BETA) } else { alpha - room }).clamp(ALPHA_BOUNDS.0, ALPHA_BOUNDS.1)
}

impl ClassSettings {
    fn is_sensitive(&self) -> bool {
        self.latency_objective_ms < SENSITIVE_BELOW_MS
    }

    fn aim(&self, work: Millis) -> Millis {
        (self.latency_objective_ms + self.latency_objective_stretch * work / self.threads)
            .min(self.deadline_ms)
    }
}

impl Pace {
    /// What a tenant may send within its share, per ms and at once; all that it likes where it has none.
    fn burst(&self, told: Option<&TenantSettings>) -> (f64, f64) {
        let Some(told) = told else { return (0.0, f64::INFINITY) };
        let quota = told.quota_per_s / 1000.0 * self.part;
        let per_ms = SHARE_SLACK * (told.share * self.arrival_rate).max(quota);
        (per_ms, (SHARE_BURST_MS * per_ms).max(1.0))
    }
}

impl Engine {
    /// It is cold until then. Many gateways learn of it at once: each begins somewhere between two sends.
    fn chill(&mut self, until: Millis, now: Millis, mean: Millis, rng: &mut Rand64) {
        if until > self.cold_until.max(now) {
            (self.cold_until, self.credit) = (until, -rng.rand_float() * mean);
        }
    }

    /// Rule 4: what it can do now, and this gateway's part of what it is sent, which is paid for after.
    fn warm(&mut self, now: Millis, passed: Millis, rules: &Rules, gateways: usize) {
        let cold = ((self.cold_until - now) / rules.warm_up_ms.max(1.0)).clamp(0.0, 1.0);
        self.able = self.cores * (1.0 - cold * (1.0 - rules.initial_capacity_fraction));
        let rate = COLD_SAFETY * rules.overload_factor * self.able / gateways.max(1) as f64;
        self.credit = (self.credit + passed * rate).min(rate * rules.overload_window_ms / 2.0);
    }

    fn is_fresh(&self, now: Millis) -> bool {
        self.reported.is_some_and(|at| now - at < FRESH_MS)
    }

    fn is_crammed(&self, memory: f64, mix: &Load) -> bool {
        let empty = self.own.queries + self.others < 1.0;
        let all = self.own.memory + self.others * mix.memory + memory;
        let filled = self.filled + self.crowd * memory / self.memory_mb;
        !empty && (all > MEMORY_FULL * self.memory_mb || filled > MEMORY_FULL)
    }
}

impl Gateway {
    /// A gateway that knows its settings and nothing else yet.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let stats = |class: &ClassSettings| {
            let (service, patience) = (class.latency_objective_ms / 2.0, class.deadline_ms);
            let slack =
                (latency_budget(1.0, class.latency_objective_ms, class.deadline_ms) - service).max(0.0);
            let first = Stream { done: Window::new(WINDOW_COUNT), service, slack };
            ClassStats { work: service * class.threads, bias: 1.0, patience, first, ..ClassStats::default() }
        };
        let part = 1.0 / settings.gateway_count.max(1) as f64;
        let cores = settings.kinds.iter().filter_map(|kind| kind.cores).fold(0.0, f64::max);
        let tiny = settings.limits.health_checks && cores * FULL_FIRST.0 * part < CAP_LEAST && cores > 0.0;
        let full = if tiny { FULL_FIRST.1 } else { FULL_FIRST.0 };
        let mut gateway = Gateway {
            classes: settings.classes.iter().map(stats).collect(),
            draws: Draws::new(settings.classes.len()),
            told: vec![None],
            tenants: BTreeMap::new(),
            queue: FairQueue::default(),
            own: Load::default(),
            settings,
            rng: Rand64::new(u128::from(seed)),
            now,
            born: now,
            out: vec![Action::Timer { token: TICK, after_ms: TICK_MS }],
            engines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sensitive: BTreeSet::new(),
            lines: BTreeMap::new(),
            pace: Pace { ticked: now, slow: 1.0, full, part, tiny, readers: 1.0, ..Pace::default() },
        };
        gateway.queue.set(0, None, 1.0);
        let told = std::mem::take(&mut gateway.settings.tenants);
        told.into_iter().enumerate().for_each(|(at, told)| gateway.on_tenant(at, Some(told)));
        gateway
    }

    /// Takes one event and adds what is to be done about it to `out`, in order.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::EngineList(news) => self.on_list(news),
            Event::Tenant { tenant, settings } => self.on_tenant(tenant.0, settings),
            Event::Request(request) => self.on_request(request),
            Event::AttemptEnded(end) => self.on_end(&end),
            Event::StreamStarted { request } => drop(self.jobs.get_mut(&request).map(|of| of.bound = true)),
            Event::AttemptNote { request, attempt, note } => self.on_note(request, attempt, note),
            Event::HealthChecked { engine, outcome, elapsed_ms, report } => {
                // A probe that nobody answered is no word: no report, and no time that an answer takes.
                if outcome == Outcome::Served {
                    self.note_lag(engine, elapsed_ms);
                    self.note_report(engine, Some(report.unwrap_or_default()));
                }
                if let Some(to) = self.engines.get_mut(&engine) {
                    to.probe = None;
                    to.unheard += u32::from(outcome == Outcome::TimedOut);
                    if outcome == Outcome::TimedOut && to.unheard == OUT_AFTER {
                        self.out.push(Action::Log(LogMessage::HealthChecksUnanswered(engine)));
                    }
                }
                self.mark(engine, outcome);
                self.draws.restore(engine);
            }
            Event::ClientDisconnected(id) => self.on_gone(id),
            Event::ShutdownBy(at) => {
                let open: Vec<_> = self.jobs.keys().copied().collect();
                open.into_iter().for_each(|id| self.end_by(id, at));
            }
            Event::Timer(TICK) => self.on_tick(),
            Event::Timer(token) => self.finish(RequestId(token - 1)),
        }
        self.dispatch();
        out.append(&mut self.out);
    }

    fn on_list(&mut self, news: EngineListEvent) {
        let (entries, whole, fresh) = match news {
            EngineListEvent::Update(entries) => (entries, false, true),
            EngineListEvent::Replace(entries) => (entries, true, !self.engines.is_empty()),
            EngineListEvent::Restored(entries) => (entries, true, false),
            EngineListEvent::Unavailable => return,
        };
        self.engines
            .values_mut()
            .filter(|_| whole)
            .for_each(|engine| engine.entry.state = EngineState::Removed);
        let mean = self.mean_work();
        for entry in entries {
            let kind = self.settings.kinds.get(entry.kind.0).copied().unwrap_or_default();
            let new = !self.engines.contains_key(&entry.id);
            let engine = self.engines.entry(entry.id).or_insert_with(|| Engine {
                cores: kind.cores.unwrap_or(1.0).max(1.0),
                memory_mb: kind.memory_mb.unwrap_or(f64::INFINITY),
                slow: 1.0,
                ..Engine::default()
            });
            // A start that the list does not date is taken as just now when it comes as news.
            let started = entry.started_at.or((new && fresh).then_some(self.now));
            let warm = started.map_or(0.0, |at| at + self.settings.rules.warm_up_ms);
            engine.entry = entry;
            engine.chill(warm, self.now, mean, &mut self.rng);
            engine.warm(self.now, 0.0, &self.settings.rules, self.settings.gateway_count);
        }
        // New engines come under new names all day long: one that has been gone for long is forgotten.
        let now = self.now;
        self.engines.retain(|_, engine| {
            let gone = engine.entry.state == EngineState::Removed;
            engine.gone_since = engine.gone_since.or(Some(now)).filter(|_| gone);
            engine.gone_since.is_none_or(|at| now - at <= GONE_KEPT_MS) || engine.own.queries > 0.5
        });
        self.engines.values_mut().enumerate().for_each(|(at, engine)| engine.place = at);
        self.pace.listed = self.engines.values().filter(|to| to.entry.state != EngineState::Removed).count();
        self.reopen_all();
    }

    /// A tenant is added or changed, or forgotten once nothing refers to it. What it has waiting stays.
    fn on_tenant(&mut self, index: usize, told: Option<TenantSettings>) {
        self.told.resize(self.told.len().max(index + 1), None);
        self.told[index] = told;
        match told {
            Some(told) => self.queue.set(index, told.group, told.share),
            None => drop((self.queue.remove(index), self.tenants.remove(&index))),
        }
    }

    /// A tenant that comes has a full burst. Until a rate is known that has no size; the next tick cuts it.
    fn wake(&mut self, index: usize) -> &mut Tenant {
        let tenant = self.tenants.entry(index).or_insert_with(|| {
            let streams = self.classes.iter().map(|stats| stats.first.clone()).collect();
            let most = self.pace.burst(self.told[index].as_ref()).1;
            let tokens = if self.pace.arrival_rate > 0.0 { most } else { f64::INFINITY };
            Tenant { streams, seen: 0.0, tokens }
        });
        tenant.seen = self.now;
        tenant
    }

    fn on_request(&mut self, request: Request) {
        if request.class.0 >= self.classes.len() {
            return self.out.push(Action::Fail(request.id));
        }
        let tenant = request.tenant.map_or(0, |tenant| tenant.0).min(self.told.len() - 1);
        let share = self.wake(tenant);
        let beyond_share = share.tokens < 1.0;
        share.tokens -= if beyond_share { 0.0 } else { 1.0 };
        let slack = share.streams[request.class.0].slack;
        let (class, stats) = (&self.settings.classes[request.class.0], &self.classes[request.class.0]);
        let work = request.work_ms.map_or(stats.work, |hint| hint * stats.bias).max(1.0);
        let top_worth =
            self.settings.classes.iter().fold(0.0, |top: f64, class| top.max(class.priority_weight));
        let dear = RANK_STRETCH * work * top_worth / class.priority_weight.max(0.001);
        let due = if class.is_sensitive() { slack } else { dear };
        let job = Job {
            class: request.class.0,
            tenant,
            key: request.key.filter(|_| class.in_order),
            arrived: self.now,
            deadline: self.now + request.remaining_ms,
            aim_at: self.now + class.aim(work).min(stats.patience),
            work,
            memory: request.memory_mb.unwrap_or(stats.memory),
            data_set: class.locks_data_set.then_some(request.data_set),
            rank: (if beyond_share { BEYOND_BAND } else { 0 }, ((self.now + due) * 1000.0) as i64),
            ..Job::default()
        };
        let line = job.key.map(|key| self.lines.entry(key).or_default());
        line.into_iter().for_each(|line| line.ids.push_back(request.id));
        self.jobs.insert(request.id, job);
        self.end_by(request.id, f64::INFINITY);
        self.pace.taken.push(self.now);
        self.pace.arrivals += 1.0;
        self.hold(request.id);
    }

    /// Rule 1: it ends by a timer of its own, two steps before its client's time is up, or the gateway's.
    fn end_by(&mut self, id: RequestId, at: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.deadline = job.deadline.min(at);
        let after_ms = (job.deadline - self.now - 2.0 * self.settings.step_ms - 1.0).max(0.0);
        self.out.push(Action::Timer { token: id.0 + 1, after_ms });
    }

    /// Clients that leave early, or try shortly, shorten their class's aim. A few must not: it fades.
    fn on_gone(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get(&id) {
            let patience = &mut self.classes[job.class].patience;
            *patience += PATIENCE_WEIGHT * (self.now - job.arrived - *patience);
        }
        self.drop_job(id);
    }

    fn on_end(&mut self, end: &AttemptEnd) {
        let Some(attempt) = self.attempts.remove(&(end.request, end.attempt)) else { return };
        let id = end.request;
        self.own.add(attempt.load, -1.0);
        self.engines.entry(attempt.engine).and_modify(|engine| {
            engine.own.add(attempt.load, -1.0);
            let held = engine.loading.iter().position(|set| Some(*set) == attempt.data_set);
            held.map(|at| engine.loading.swap_remove(at));
        });
        self.note_report(attempt.engine, end.report);
        if end.outcome == Outcome::Served {
            self.learn(&attempt, end);
        }
        self.mark(attempt.engine, end.outcome);
        self.draws.restore(attempt.engine);
        let never_ran = end.outcome.never_ran();
        let known = never_ran || matches!(end.outcome, Outcome::Served | Outcome::ServerError);
        let rest = if known { 0.0 } else { self.settings.rules.key_settle_ms };
        let line = attempt.key.and_then(|key| self.lines.get_mut(&key));
        line.into_iter().for_each(|line| line.rest_until = line.rest_until.max(self.now + rest));
        let last = !self.is_out(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.maybe = job.maybe.filter(|(which, ..)| !(never_ran && *which == end.attempt));
            if end.settled {
                self.record(id, (end.outcome == Outcome::Served).then_some(end.elapsed_ms));
                self.drop_job(id);
            } else if last {
                let job = &self.jobs[&id];
                let left = job.sent < self.settings.limits.max_attempts && self.now < job.deadline;
                let ended = end.outcome == Outcome::NotSent || !left || !self.is_harmless(job, None);
                (if ended { Self::finish } else { Self::hold })(self, id);
            }
        }
        self.leave_line(id, attempt.key);
    }

    /// A bad plan, or engine: what is left, at the attempt's own pace, is far more than a fresh one takes.
    fn on_note(&mut self, id: RequestId, which: u32, note: AttemptNote) {
        let (AttemptNote::Progress(share), limits) = (note, &self.settings.limits) else { return };
        let Some((attempt, job)) = self.attempts.get(&(id, which)).zip(self.jobs.get(&id)) else { return };
        let class = &self.settings.classes[job.class];
        let left = (self.now - attempt.at) * (1.0 - share) / share.max(0.001);
        let usual = self.tenants.get(&job.tenant).map_or(0.0, |of| of.streams[job.class].service);
        let fresh = usual.max(job.work / class.threads * self.pace.slow.max(1.0));
        let allowed =
            class.effect == Effect::Repeatable && limits.cancellation && job.sent < limits.max_attempts;
        let hopeless = allowed && !self.pace.tiny && left > RUNAWAY * fresh;
        self.out.extend(hopeless.then_some(Action::Cancel { request: id, attempt: which }));
    }

    /// Upkeep: the one timer that always runs, so that held work never waits for an event.
    fn on_tick(&mut self) {
        self.out.push(Action::Timer { token: TICK, after_ms: TICK_MS });
        self.own = Load::default(); // summed anew: what is added and taken off all day drifts
        self.engines.values().for_each(|engine| self.own.add(engine.own, 1.0));
        self.reopen_all();
        let (now, pace) = (self.now, &mut self.pace);
        let passed = (now - std::mem::replace(&mut pace.ticked, now)).max(1.0);
        let part = (passed / RATE_MS).min(1.0);
        pace.rate += part * (std::mem::take(&mut pace.finished) / passed - pace.rate);
        pace.arrival_rate += part * (std::mem::take(&mut pace.arrivals) / passed - pace.arrival_rate);
        for (index, tenant) in &mut self.tenants {
            let (per_ms, most) = pace.burst(self.told[*index].as_ref());
            tenant.tokens = (tenant.tokens + passed * per_ms).min(most);
        }
        let fade = (passed / SLOW_FADE_MS).min(1.0);
        for engine in self.engines.values_mut() {
            engine.slow += (1.0 - engine.slow).min(0.0) * fade;
            engine.warm(now, passed, &self.settings.rules, self.settings.gateway_count);
        }
        let ready = self.engines.values().filter(|engine| engine.entry.state == EngineState::Ready);
        let mut slows: Vec<f64> = ready.map(|engine| engine.slow).collect();
        slows.sort_by(f64::total_cmp);
        pace.slow = slows.get(slows.len() / 2).copied().unwrap_or(1.0);
        if self.settings.poll_engine_list && now >= pace.ask_at {
            pace.ask_at = now + self.settings.rules.poll_interval_ms / 3.0;
            self.out.push(Action::Subscribe);
        }
        if self.settings.limits.health_checks && now >= pace.probe_at {
            self.probe_all();
        }
        if now >= self.pace.refit_at {
            self.pace.refit_at = now + REFIT_MS;
            self.refit();
        }
        self.sweep();
        let since = now - self.settings.rules.retry_budget.map_or(0.0, |budget| budget.window_ms);
        self.pace.extras.trim(since);
        self.pace.taken.trim(since);
    }

    fn refit(&mut self) {
        let (mut worst, mut best, mut cvs, mut count) = (0.0f64, f64::INFINITY, 0.0, 0.0);
        let mut seen = [0.0, 0.0]; // ends of all classes, and of sensitive ones
        let now = self.now;
        let busy = |tenant: &Tenant| tenant.streams.iter().any(|stream| !stream.done.is_empty());
        self.tenants.retain(|_, tenant| now - tenant.seen < TENANT_KEPT_MS || busy(tenant));
        let streams = self.tenants.values_mut().flat_map(|tenant| tenant.streams.iter_mut().enumerate());
        for (index, stream) in streams {
            let class = &self.settings.classes[index];
            stream.done.trim(now - WINDOW_MS);
            let total = stream.done.len() as f64;
            seen[0] += total;
            seen[1] += if class.is_sensitive() { total } else { 0.0 };
            let Some(told) = stream.done.moments() else { continue };
            let stats = &mut self.classes[index];
            let (aim, deadline) = (class.aim(stats.work), class.deadline_ms);
            let budget = stats.budgets.get(told.cv, aim, |cv, aim| latency_budget(cv, aim, deadline));
            (stream.service, stream.slack) = (told.service, (budget - told.service).max(0.0));
            if class.is_sensitive() {
                (worst, best) = (worst.max(told.cost / U_TARGET), best.min(told.cost / U_TARGET));
                (cvs, count) = (cvs + told.cv, count + 1.0);
            }
        }
        if count > 0.0 {
            let alpha = self.pace.alpha.unwrap_or(seen[1] / seen[0]);
            self.pace.alpha = Some(next_alpha(alpha, worst, best, cvs / count));
        }
        for (stats, class) in self.classes.iter_mut().zip(&self.settings.classes) {
            stats.best *= 1.0 + BEST_FADE;
            stats.patience = (stats.patience * (1.0 + PATIENCE_FADE)).min(class.deadline_ms);
        }
        // One that is asked more than its part of the shares has fewer beside it that are asked as much.
        let told: f64 = self.told.iter().flatten().map(|told| told.quota_per_s / 1000.0).sum();
        let (all, told) = (1.0 / self.pace.part, if told > 0.0 { told } else { f64::MAX });
        let alike = f64::from(self.pace.tiny) * all.min(told / self.pace.arrival_rate);
        self.pace.crowd = alike * DRAWN as f64 / self.pace.listed.max(1) as f64 * self.pace.readers;
        let low = !self.queue.is_empty() && self.pace.stretch > 0.0 && self.pace.stretch < STRETCH_RANGE.0;
        let step = FULL_STEP * (f64::from(low) - f64::from(self.pace.stretch > STRETCH_RANGE.1));
        self.pace.full = (self.pace.full * (1.0 + step)).clamp(FULL_BOUNDS.0, FULL_BOUNDS.1);
    }

    /// Fills free slots: alpha chooses the side, an idle or stuck side lends to the other.
    fn dispatch(&mut self) {
        let mut shut = [self.sensitive.is_empty(), self.queue.is_empty()];
        self.classes.iter_mut().for_each(|stats| stats.misses = 0);
        while !(shut[0] && shut[1]) {
            let drawn = usize::from(self.rng.rand_float() >= self.pace.alpha.unwrap_or(ALPHA_FIRST));
            let side = if shut[drawn] { 1 - drawn } else { drawn };
            let due: Vec<_> = self.sensitive.iter().take(SCAN * (1 - side)).map(|(_, id)| *id).collect();
            let sent = due.iter().any(|id| self.try_send(*id).is_some()) || side == 1 && self.round_robin();
            shut[side] = !sent;
        }
    }

    /// Round robin by least work sent over share. An idle tenant saves up no turns.
    fn round_robin(&mut self) -> bool {
        let mut place = None;
        let left = |of: &Self| (0..of.classes.len()).any(|at| of.classes[at].held > 0 && !of.is_stuck(at));
        while let Some(next) = self.queue.next(place).filter(|_| left(self)) {
            // Loads whose data set is held on every engine do not count: they would block all behind them.
            let heads = self.queue.waiting(next.member()).take(LOOK).map(RequestId);
            let free = |id: &RequestId| !self.jobs[id].data_set.is_some_and(|set| self.is_held(set));
            let heads: Vec<_> = heads.filter(free).take(SCAN).collect();
            if let Some(id) = heads.into_iter().find(|id| self.try_send(*id).is_some()) {
                self.queue.charge(next.member(), self.jobs[&id].work);
                return true;
            }
            place = Some(next);
        }
        false
    }

    /// The lighter of two random engines with room, by work. A full one is passed over until it changes.
    fn pick(&mut self, id: RequestId) -> Option<EngineId> {
        let class = self.jobs[&id].class;
        let may = !self.is_stuck(class) && self.may_run(id, &self.jobs[&id]);
        if !may || (self.pace.tiny && !self.has_word(id)) {
            return None;
        }
        let (job, mix) = (&self.jobs[&id], self.mix());
        let (mut draws, mut rng) = (std::mem::take(&mut self.draws), self.rng);
        let judge = |to: &EngineId| match self.engines.get(to).filter(|to| self.is_open(job, to, &mix)) {
            None => Fit::NotItsKind,
            Some(engine) if self.takes(job, engine, &mix) => Fit::Yes,
            Some(_) => Fit::NotNow,
        };
        let drawn = draws.two(class, |below| rng.rand_range(0..below as u64) as usize, judge);
        let weigh = |to: EngineId| {
            let engine = &self.engines[&to];
            let running = engine.own.work + engine.others * mix.work + job.work;
            (to, running / engine.able * engine.slow)
        };
        let lighter = drawn.into_iter().flatten().map(weigh).min_by(|a, b| a.1.total_cmp(&b.1));
        (self.draws, self.rng) = (draws, rng);
        self.classes[class].misses += usize::from(lighter.is_none());
        lighter.map(|(id, _)| id)
    }

    /// A gateway too quiet to know the engines draws where it has fresh word, or asks two more.
    fn has_word(&mut self, id: RequestId) -> bool {
        let (job, mix) = (&self.jobs[&id], self.mix());
        let may = |to: &&Engine| self.may_class(job.class, to) && self.is_harmless(job, Some(&to.entry));
        let usable = self.engines.values().filter(may);
        let (known, silent): (Vec<_>, Vec<_>) = usable.partition(|engine| engine.is_fresh(self.now));
        let room = |engine: &&Engine| self.is_open(job, engine, &mix) && self.takes(job, engine, &mix);
        if known.len() >= (known.len() + silent.len()).min(2) && known.iter().any(room) {
            return true;
        }
        let mut silent: Vec<_> = silent.iter().map(|engine| engine.entry.id).collect();
        self.classes[job.class].misses = LOOK;
        let out = self.engines.values().any(|engine| engine.probe.is_some());
        for _ in 0..(DRAWN * usize::from(!out && self.now >= self.pace.draw_at)).min(silent.len()) {
            let id = silent.swap_remove(self.rng.rand_range(0..silent.len() as u64) as usize);
            self.engines.entry(id).and_modify(|engine| engine.probe = Some(engine.own));
            self.out.push(Action::HealthCheck(id));
            self.pace.draw_at = self.now + DRAW_MS;
        }
        false
    }

    fn is_stuck(&self, class: usize) -> bool {
        self.draws.listed(class) == 0 || self.classes[class].misses >= LOOK
    }

    fn reopen_all(&mut self) {
        let ready = self.engines.values().filter(|to| to.entry.state == EngineState::Ready);
        self.draws.reset(ready.map(|engine| engine.entry.id));
    }

    /// Whether an engine can take a request of this class now: warm, healthy, and under its cap if pressed.
    fn is_open(&self, job: &Job, engine: &Engine, mix: &Load) -> bool {
        let unproven = engine.down_since.is_some() && self.settings.limits.health_checks;
        let class = &self.settings.classes[job.class];
        let silent = engine.unheard >= OUT_AFTER || (self.pace.tiny && !engine.is_fresh(self.now));
        if unproven || silent || self.now < engine.rest_until || !self.may_class(job.class, engine) {
            return false;
        }
        let total = engine.own.threads + engine.others * mix.threads;
        let full = self.pace.full + if class.is_sensitive() { SENSITIVE_ROOM } else { 0.0 };
        let free = if engine.lag > LAG_BUSY { full / 2.0 } else { full };
        let jammed = engine.slow > PRESSURE_SLOW || engine.lag > LAG_JAM;
        let pressed = jammed || total + class.threads / 2.0 > free * engine.able;
        let cap = engine.cores * self.pace.full * self.pace.part * (PRESSURE_SLOW / engine.slow).min(1.0);
        let fits = engine.own.threads == 0.0 || engine.own.threads + class.threads <= cap.max(CAP_LEAST);
        let least = job.memory.min(self.classes[job.class].memory);
        (!pressed || (fits && !self.pace.tiny)) && !engine.is_crammed(least, mix)
    }

    fn takes(&self, job: &Job, engine: &Engine, mix: &Load) -> bool {
        let standing = job.data_set.is_some_and(|set| self.stands_on(engine, set));
        !standing && !engine.is_crammed(job.memory, mix) && self.is_harmless(job, Some(&engine.entry))
    }

    /// Requests beyond those that clients can have open here before they find no connection.
    fn excess(&self) -> usize {
        let most = self
            .settings
            .limits
            .max_open_requests
            .map_or(usize::MAX, |most| (CROWDED * most as f64) as usize);
        self.jobs.len().saturating_sub(most)
    }

    /// Whether a load would stand still: held there, or (once crowded) the place is another gateway's.
    fn stands_on(&self, engine: &Engine, set: u64) -> bool {
        let place = engine.place.wrapping_add(set as usize);
        let theirs = place % self.settings.gateway_count.max(1) != self.settings.gateway_index;
        engine.loading.contains(&set) || (theirs && self.excess() > 0)
    }

    fn is_held(&self, set: u64) -> bool {
        self.engines.values().all(|to| to.entry.state != EngineState::Ready || self.stands_on(to, set))
    }

    /// The mean work of a request, by what was finished of late; that of the lightest class at least.
    fn mean_work(&self) -> Millis {
        let least = self.classes.iter().map(|stats| stats.work).fold(f64::INFINITY, f64::min);
        (self.pace.rate / self.pace.arrival_rate.max(f64::MIN_POSITIVE)).max(least)
    }

    /// The mean query of this gateway now in flight: by it other gateways' load is judged.
    fn mix(&self) -> Load {
        self.own.mean_with(Load { queries: 1.0, threads: 1.0, ..Load::default() })
    }

    /// The guard before a send, the same for a whole class: rules 3, 6 and 4 (not right after the start).
    fn may_class(&self, class: usize, engine: &Engine) -> bool {
        let (told, entry) = (&self.settings.classes[class], &engine.entry);
        let placed = told.allowed_kinds.as_ref().is_none_or(|kinds| kinds.contains(&entry.kind))
            && told.allowed_zones.as_ref().is_none_or(|zones| zones.contains(&entry.zone));
        let paid = self.now - self.settings.rules.overload_window_ms >= self.born && engine.credit >= 0.0;
        entry.state == EngineState::Ready && placed && (self.now >= engine.cold_until || paid)
    }

    /// The guard before every send, as far as the request goes: rules 1, 2, 5 and 7.
    fn may_run(&self, id: RequestId, job: &Job) -> bool {
        let turn = job.key.and_then(|key| self.lines.get(&key)).is_none_or(|line| {
            line.ids.front() == Some(&id) && (job.sent > 0 || self.now >= line.rest_until)
        });
        let fresh = job.sent < self.settings.limits.max_attempts && (job.sent == 0 || self.may_repeat());
        turn && fresh && !job.bound && self.now < job.deadline && !self.is_out(id)
    }

    fn may_repeat(&self) -> bool {
        self.settings.rules.retry_budget.is_none_or(|budget| {
            let since = self.now - budget.window_ms;
            let (taken, used) = (self.pace.taken.after(since) as f64, self.pace.extras.since(since) as f64);
            used + 1.0 <= budget.floor + budget.ratio * taken
        })
    }

    fn is_out(&self, id: RequestId) -> bool {
        self.attempts.range((id, 0)..=(id, u32::MAX)).next().is_some()
    }

    /// Rule 2: whether one more attempt, on that engine or on the best one, does no harm.
    fn is_harmless(&self, job: &Job, entry: Option<&EngineEntry>) -> bool {
        match (self.settings.classes[job.class].effect, job.maybe) {
            (Effect::Repeatable, _) | (_, None) => true,
            (Effect::Once, Some(_)) => false,
            (Effect::Keyed { scope, window_ms }, Some((_, at, zone, cell))) => {
                let same = entry.is_none_or(|entry| match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => zone == entry.zone,
                    DedupScope::Cell => cell.is_some() && cell == entry.cell,
                });
                same && self.now + self.settings.step_ms < at + window_ms
            }
        }
    }

    fn try_send(&mut self, id: RequestId) -> Option<()> {
        let to = self.pick(id)?;
        self.unhold(id);
        let (job, engine) = (self.jobs.get_mut(&id)?, self.engines.get_mut(&to)?);
        let class = &self.settings.classes[job.class];
        if self.settings.engines.priorities {
            let priority = if job.rank.0 >= BEYOND_BAND { 0 } else { 1 + 2 * u8::from(class.is_sensitive()) };
            self.out.push(Action::SetTerms { request: id, memory_mb: 0.0, priority });
        }
        if job.sent > 0 {
            self.pace.extras.push(self.now);
        }
        job.maybe.get_or_insert((job.sent, self.now, engine.entry.zone, engine.entry.cell));
        let load = Load { queries: 1.0, threads: class.threads, work: job.work, memory: job.memory };
        engine.own.add(load, 1.0);
        engine.filled += job.memory / engine.memory_mb * self.pace.crowd;
        self.own.add(load, 1.0);
        engine.credit -= if self.now < engine.cold_until { self.classes[job.class].work } else { 0.0 };
        engine.loading.extend(job.data_set);
        let (class, data_set) = (job.class, job.data_set);
        let attempt = Attempt { engine: to, at: self.now, class, load, data_set, key: job.key };
        self.attempts.insert((id, job.sent), attempt);
        job.sent += 1;
        self.out.push(Action::Send { request: id, engine: to, timeout_ms: 0.0 });
        Some(())
    }

    /// The one path for final answers: refused where a retry is harmless, failed where it may not be.
    fn finish(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.bound) else { return };
        let effect = self.settings.classes[job.class].effect;
        let scoped = matches!(effect, Effect::Keyed { scope, .. } if scope != DedupScope::All);
        let harmless = self.is_harmless(job, None) && !(scoped && job.maybe.is_some());
        let retry_after_ms = self.settings.limits.max_retry_after_ms.unwrap_or(0.0);
        let refusal = Action::Reject { request: id, retry_after_ms };
        self.out.push(if harmless { refusal } else { Action::Fail(id) });
        self.record(id, None);
        self.drop_job(id);
    }

    /// Forgets a request that is over; what still runs for it is cancelled where that is allowed.
    fn drop_job(&mut self, id: RequestId) {
        self.unhold(id);
        let Some(job) = self.jobs.remove(&id) else { return };
        let running =
            self.attempts.range((id, 0)..=(id, u32::MAX)).filter(|_| self.settings.limits.cancellation);
        self.out.extend(running.map(|(name, _)| Action::Cancel { request: id, attempt: name.1 }));
        self.leave_line(id, job.key);
    }

    /// Rule 5: a request leaves its key's line once it is over and none of its attempts is out.
    fn leave_line(&mut self, id: RequestId, key: Option<OrderKey>) {
        if let Some(key) = key.filter(|_| !self.jobs.contains_key(&id) && !self.is_out(id)) {
            self.lines.entry(key).or_default().ids.retain(|other| *other != id);
        }
    }

    fn hold(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        match self.settings.classes[job.class].is_sensitive() {
            true => drop(self.sensitive.insert((job.rank, id))),
            false => self.classes[job.class].held += usize::from(self.queue.push(job.tenant, job.rank, id.0)),
        };
    }

    fn unhold(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.sensitive.remove(&(job.rank, id));
        self.classes[job.class].held -= usize::from(self.queue.take(job.tenant, job.rank, id.0));
    }

    fn record(&mut self, id: RequestId, served: Option<Millis>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let u = served.map_or(U_LOST, |_| if self.now <= job.aim_at { 0.0 } else { U_LATE });
        let served = served.map(|service| (self.now - job.arrived, service));
        if let Some(tenant) = self.tenants.get_mut(&job.tenant) {
            tenant.streams[job.class].done.push(self.now, served, u);
        }
    }

    /// Predicts ends: past its aim, best effort goes behind all others; past its deadline it is refused now.
    fn sweep(&mut self) {
        let slow = self.pace.slow.clamp(1.0, PRESSURE_SLOW);
        let alone = |job: &Job| job.work / self.settings.classes[job.class].threads;
        let past = |id: &RequestId| self.now + alone(&self.jobs[id]) > self.jobs[id].aim_at;
        let mut over: Vec<_> = self.sensitive.iter().map(|(_, id)| *id).filter(past).collect();
        let up = |to: &&Engine| to.entry.state == EngineState::Ready && to.down_since.is_none();
        let cores: f64 = self.engines.values().filter(up).map(|engine| engine.cores).sum();
        let rate = self.pace.rate.max(SURE_RATE * cores * self.pace.part / slow).max(0.01);
        // Loads on one data set run one after another on each engine: those past their aim only hold places.
        let slots = self.engines.values().filter(up).count().max(1) as f64;
        let (mut queues, mut ahead, mut late) = (BTreeMap::<u64, f64>::new(), 0.0, Vec::new());
        for id in self.queue.sorted().into_iter().map(RequestId) {
            let job = &self.jobs[&id];
            let end = self.now + ahead / rate + alone(job) * slow;
            let queue = job.data_set.map_or(0.0, |set| {
                let queue = queues.entry(set).or_default();
                std::mem::replace(queue, *queue + 1.0)
            });
            let turn = self.classes[job.class].elapsed.max(alone(job)) * (1.0 + queue / slots);
            let blocked = self.excess() > 0 && job.data_set.is_some_and(|set| self.is_held(set));
            let stands = blocked || (queue > 0.0 && self.now + turn > job.aim_at);
            if stands || end > job.deadline || (end > job.aim_at && (job.rank.0 >= BEYOND_BAND)) {
                over.push(id);
            } else if end > job.aim_at && job.rank.0 & LATE_BAND == 0 {
                late.push(id);
            } else {
                ahead += job.work;
            }
        }
        // Once crowded, a place is worth the mean of what is open: what is worth less leaves it, last first.
        let worth = |id: &RequestId| self.settings.classes[self.jobs[id].class].priority_weight;
        let mean = self.jobs.keys().map(worth).sum::<f64>() / self.jobs.len().max(1) as f64;
        let all = self.queue.sorted().into_iter().map(RequestId).chain(self.sensitive.iter().map(|at| at.1));
        over.extend(all.rev().filter(|id| worth(id) < mean).take(self.excess().saturating_sub(over.len())));
        for id in late {
            self.unhold(id);
            self.jobs.entry(id).and_modify(|job| job.rank.0 |= LATE_BAND);
            self.hold(id);
        }
        over.into_iter().for_each(|id| self.finish(id));
    }

    /// Learns needs and pace from an answer. Work that is not told is the best mean time of the class.
    fn learn(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let (threads, stats) = (attempt.load.threads, &mut self.classes[attempt.class]);
        stats.seen = (stats.seen + 1.0).min(LEARN_OVER);
        let part = 1.0 / stats.seen;
        stats.elapsed += part.max(1.0 / BEST_OVER) * (end.elapsed_ms - stats.elapsed);
        stats.best = if stats.seen < BEST_OVER { stats.elapsed } else { stats.best.min(stats.elapsed) };
        let untold = Usage { work_ms: stats.best * threads, memory_mb: stats.memory };
        let (told, part) = end.usage.map_or((untold, 1.0), |told| (told, part));
        stats.work += part * (told.work_ms - stats.work);
        stats.memory += part * (told.memory_mb - stats.memory);
        stats.bias *= (told.work_ms / attempt.load.work).clamp(0.2, 5.0).powf(part.min(0.02));
        self.pace.finished += told.work_ms;
        let alone = (told.work_ms / threads).max(1.0);
        let took = if end.usage.is_some() { end.elapsed_ms } else { stats.elapsed };
        if end.usage.is_none() || !self.settings.classes[attempt.class].is_sensitive() {
            self.pace.stretch += STRETCH_WEIGHT * ((took / alone).min(STRETCH_MOST) - self.pace.stretch);
        }
        if let Some(engine) = self.engines.get_mut(&attempt.engine) {
            engine.reported = Some(self.now); // a freed slot is word as well: what answers is not jammed
            engine.slow += SLOW_WEIGHT * ((end.elapsed_ms / alone).min(50.0) - engine.slow);
        }
    }

    /// Health by outcomes: a full engine rests, an unreachable one is down until it answers, then cold.
    fn mark(&mut self, id: EngineId, outcome: Outcome) {
        let mean = self.mean_work();
        let Some(engine) = self.engines.get_mut(&id) else { return };
        match outcome {
            Outcome::Served => {
                (engine.failures, engine.unheard) = (0, 0);
                let Some(since) = engine.down_since.take() else { return };
                let restarted = f64::from(self.now - since > RESTART_MS);
                let warm = restarted * (self.now + self.settings.rules.warm_up_ms);
                engine.chill(warm, self.now, mean, &mut self.rng);
                (engine.slow, engine.others) = (1.0, 0.0);
                self.out.push(Action::Log(LogMessage::EngineUp(id)));
            }
            Outcome::Full => engine.rest_until = self.now + FULL_REST_MS,
            Outcome::NoConnection | Outcome::ConnectionLost => {
                let lost = (outcome == Outcome::ConnectionLost).then_some(self.now);
                let again = lost.zip(engine.lost_at).is_some_and(|(now, before)| now - before < ONE_LOSS_MS);
                engine.lost_at = lost.or(engine.lost_at);
                engine.failures += u32::from(!again);
                engine.rest_until = self.now + DOWN_REST_MS;
                if engine.failures == OUT_AFTER && !again {
                    engine.down_since = Some(self.now);
                    self.out.push(Action::Log(LogMessage::EngineDown(id)));
                }
            }
            _ => {}
        }
    }

    /// A probe served beside the queries takes long on a jammed engine, which by its busy share looks idle.
    fn note_lag(&mut self, id: EngineId, elapsed: Millis) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let least = self.pace.least.entry(engine.entry.zone).or_insert(elapsed);
        *least = least.min(elapsed);
        let lag = elapsed - *least;
        let base = self.pace.least.values().fold(f64::INFINITY, |all, one| all.min(*one));
        engine.lag = if self.pace.tiny { lag / base } else { 0.0 };
    }

    fn note_report(&mut self, id: EngineId, report: Option<LoadReport>) {
        let threads = self.mix().threads;
        let alike = self.own.queries / self.pace.listed.max(1) as f64 * (1.0 / self.pace.part - 1.0);
        let (Some(engine), Some(report)) = (self.engines.get_mut(&id), report) else { return };
        engine.unheard = 0;
        let own = engine.probe.take().unwrap_or(engine.own);
        let known = !self.pace.tiny || engine.reported.is_some_and(|at| self.now - at < 2.0 * FRESH_MS);
        engine.reported = Some(self.now); // also without figures
        // The others go by the same word: each takes its part of the room, and a part of a query as often.
        engine.crowd = if self.pace.tiny { self.pace.crowd * self.rng.rand_float() } else { 0.0 };
        engine.filled = report.memory.filter(|_| self.pace.tiny).unwrap_or(engine.filled);
        let step = READERS_STEP * report.memory.map_or(0.0, |told| f64::from(told > 1.0) - OVERFULL);
        self.pace.readers = (self.pace.readers * (1.0 + step)).clamp(READERS_BOUNDS.0, READERS_BOUNDS.1);
        // A busy share says nothing past 1: there the other gateways are taken to be like this one.
        let by_cores = |busy: f64| {
            let seen = (busy * engine.cores - own.threads) / threads;
            if busy >= PRESSURE_BUSY { seen.max(alike) } else { seen }
        };
        let others = report.in_flight.map(|count| count - own.queries).or(report.busy.map(by_cores));
        let change = others.map_or(0.0, |others| others.max(0.0) - engine.others);
        engine.others += if known { OTHERS_WEIGHT } else { 1.0 } * change;
    }

    /// Probes every engine, as often as this gateway's traffic allows; those that are down in any case.
    fn probe_all(&mut self) {
        let every = self.pace.listed as f64 / (PROBES_PER_REQUEST * self.pace.arrival_rate.max(0.001));
        self.pace.probe_at = self.now + every.clamp(PROBE_LEAST_MS, 4.0 * PROBE_LEAST_MS);
        let lost = |to: &Engine| to.down_since.is_some() || to.unheard >= OUT_AFTER;
        let due = |to: &&mut Engine| (!self.pace.tiny || lost(to)) && to.entry.state != EngineState::Removed;
        for engine in self.engines.values_mut().filter(due) {
            engine.probe = Some(engine.own);
            self.out.push(Action::HealthCheck(engine.entry.id));
        }
    }
}

pub mod learned_state;
#[cfg(test)]
mod tests;
