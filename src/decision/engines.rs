//! Engines as the gateway tracks them, and updates of the engine list.

use super::gateway::Gateway;
use super::load_reports::ReportedLoad;
use super::outliers::EngineHealth;
use super::slow_start::SlowStart;
use super::types::{Action, EngineEntry, EngineListEvent, EngineState, KindSettings, Millis};
use sanddyke_statistics::Load;

/// An engine that returns to the list under its name within this time is not new (ms). Ours.
const REMOVED_RETENTION_MS: Millis = 30_000.0;
/// Local queries above which a removed engine is retained: its attempts have yet to end.
const IN_FLIGHT_QUERIES: f64 = 0.5;
/// Cores of an engine of an unknown kind.
const DEFAULT_CORES: f64 = 1.0;
/// The list is polled this many times in the interval that is allowed.
const POLLS_PER_INTERVAL: f64 = 3.0;

/// All that is known of one engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// Its entry in the list.
    pub(super) entry: EngineEntry,
    /// Its index among the engines, by id.
    pub(super) index: usize,
    removed_at: Option<Millis>,
    pub(super) cores: f64,
    /// Infinite where it is not configured.
    pub(super) memory_mb: f64,
    /// Load of this gateway's own attempts.
    pub(super) local_load: Load,
    /// Data sets that loads of this gateway have locked here: another load on one of them would wait.
    pub(super) locked_data_sets: Vec<u64>,
    pub(super) slow_start: SlowStart,
    pub(super) health: EngineHealth,
    pub(super) reported: ReportedLoad,
}

impl Engine {
    fn new(kind: KindSettings) -> Engine {
        Engine {
            cores: kind.cores.unwrap_or(DEFAULT_CORES).max(DEFAULT_CORES),
            memory_mb: kind.memory_mb.unwrap_or(f64::INFINITY),
            health: EngineHealth::new(),
            ..Engine::default()
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    pub(super) fn is_listed(&self) -> bool {
        self.entry.state != EngineState::Removed
    }

    /// Notes since when the engine is out of the list.
    fn track_removal(&mut self, now: Millis) {
        self.removed_at = if self.is_listed() { None } else { self.removed_at.or(Some(now)) };
    }

    fn is_forgettable(&self, now: Millis) -> bool {
        let is_removed_for_long = self.removed_at.is_some_and(|at| now - at > REMOVED_RETENTION_MS);
        is_removed_for_long && self.local_load.queries <= IN_FLIGHT_QUERIES
    }
}

impl Gateway {
    pub(super) fn on_engine_list(&mut self, update: EngineListEvent) {
        // What the first complete list, or a saved one, contains has not just started.
        let first_list = self.engines.is_empty();
        let (entries, is_complete, newcomers_just_started) = match update {
            EngineListEvent::Update(entries) => (entries, false, true),
            EngineListEvent::Replace(entries) => (entries, true, !first_list),
            EngineListEvent::Restored(entries) => (entries, true, false),
            EngineListEvent::Unavailable => return,
        };
        if is_complete {
            for engine in self.engines.values_mut() {
                engine.entry.state = EngineState::Removed;
            }
        }
        let mean_work_ms = self.mean_work_ms();
        for entry in entries {
            self.update_engine(entry, newcomers_just_started, mean_work_ms);
        }
        self.forget_removed_engines();
        self.capacity.listed_engines = self.engines.values().filter(|engine| engine.is_listed()).count();
        self.reset_engine_sampler();
    }

    fn update_engine(&mut self, entry: EngineEntry, newcomers_just_started: bool, mean_work_ms: Millis) {
        let rules = &self.settings.rules;
        let kind = self.settings.kinds.get(entry.kind.0).copied().unwrap_or_default();
        let is_new = !self.engines.contains_key(&entry.id);
        let just_started = (is_new && newcomers_just_started).then_some(self.now);
        let engine = self.engines.entry(entry.id).or_insert_with(|| Engine::new(kind));
        let started_at = entry.started_at.or(just_started);
        let warm_at = started_at.map_or(0.0, |at| at + rules.warm_up_ms);
        engine.entry = entry;
        engine.slow_start.begin(warm_at, self.now, mean_work_ms, &mut self.rng);
        engine.slow_start.update(self.now, 0.0, engine.cores, rules, self.settings.gateway_count);
    }

    /// New engines come under new names all day long: one that has been out of the list for long is forgotten.
    fn forget_removed_engines(&mut self) {
        let now = self.now;
        self.engines.retain(|_, engine| {
            engine.track_removal(now);
            !engine.is_forgettable(now)
        });
        for (index, engine) in self.engines.values_mut().enumerate() {
            engine.index = index;
        }
    }

    /// Every ready engine may have capacity for every class again.
    pub(super) fn reset_engine_sampler(&mut self) {
        let ready = self.engines.values().filter(|engine| engine.is_ready());
        self.engine_sampler.reset(ready.map(|engine| engine.entry.id));
    }

    /// Asks for the engine list where it has to be polled.
    pub(super) fn poll_engine_list(&mut self) {
        if self.settings.poll_engine_list && self.now >= self.next_list_poll_at {
            let interval_ms = self.settings.rules.poll_interval_ms / POLLS_PER_INTERVAL;
            self.next_list_poll_at = self.now + interval_ms;
            self.actions.push(Action::Subscribe);
        }
    }
}
