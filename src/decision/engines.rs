//! Engines, as the scheduler tracks them, and updates of the engine list.

use super::load_reports::ReportedLoad;
use super::outliers::EngineHealth;
use super::scheduler::Scheduler;
use super::slow_start::SlowStart;
use super::types::{Action, EngineEntry, EngineListEvent, EngineState, KindSettings, Millis};
use sanddyke_statistics::Load;

/// An engine that returns to the list under its id within this time does not count as new (ms).
const REMOVED_RETENTION_MS: Millis = 30_000.0;
/// A removed engine is retained while its local queries exceed this: it has attempts in flight.
const IN_FLIGHT_QUERIES: f64 = 0.5;
/// Cores of an engine of an unknown kind, and the minimum for any engine.
const DEFAULT_CORES: f64 = 1.0;
/// Number of polls within the maximum poll interval.
const POLLS_PER_INTERVAL: f64 = 3.0;

/// State of one engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// Entry in the engine list.
    pub(super) entry: EngineEntry,
    /// Index among the engines in order of id.
    pub(super) index: usize,
    /// Time since which the engine is out of the list; `None` while it is listed.
    removed_at: Option<Millis>,
    /// Cores, by the engine's kind.
    pub(super) cores: f64,
    /// Memory (MB), by the engine's kind; infinite if not configured.
    pub(super) memory_mb: f64,
    /// Load of this manager's attempts on the engine.
    pub(super) local_load: Load,
    /// Data sets that loads of this manager have locked here. Another load on one of them would wait.
    pub(super) locked_data_sets: Vec<u64>,
    pub(super) slow_start: SlowStart,
    pub(super) health: EngineHealth,
    pub(super) reported: ReportedLoad,
}

impl Engine {
    /// An engine of this kind, without measurements.
    fn new(kind: KindSettings) -> Engine {
        Engine {
            cores: kind.cores.unwrap_or(DEFAULT_CORES).max(DEFAULT_CORES),
            memory_mb: kind.memory_mb.unwrap_or(f64::INFINITY),
            health: EngineHealth::new(),
            ..Engine::default()
        }
    }

    /// Whether the engine accepts requests.
    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    /// Whether the engine is in the list, ready or draining.
    pub(super) fn is_listed(&self) -> bool {
        self.entry.state != EngineState::Removed
    }

    /// Records the time at which the engine left the list.
    fn track_removal(&mut self, now: Millis) {
        self.removed_at = if self.is_listed() { None } else { self.removed_at.or(Some(now)) };
    }

    /// Whether the retention period after removal has passed and no attempt is in flight.
    fn is_expired(&self, now: Millis) -> bool {
        let is_removed_for_long = self.removed_at.is_some_and(|at| now - at > REMOVED_RETENTION_MS);
        is_removed_for_long && self.local_load.queries <= IN_FLIGHT_QUERIES
    }
}

/// Assumed start time of an engine that is new in the list, if the list states none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NewEngines {
    /// Now, because the list has changed.
    JustStarted,
    /// Long ago, because this is the first list or a saved one.
    StartedLongAgo,
}

impl Scheduler {
    /// The engine list changed, or could not be fetched.
    pub(super) fn on_engine_list(&mut self, update: EngineListEvent) {
        match update {
            EngineListEvent::Update(entries) => self.apply_entries(entries, NewEngines::JustStarted),
            EngineListEvent::Replace(entries) => {
                let is_first_list = self.engines.is_empty();
                let new_engines =
                    if is_first_list { NewEngines::StartedLongAgo } else { NewEngines::JustStarted };
                self.mark_all_removed();
                self.apply_entries(entries, new_engines);
            }
            EngineListEvent::Restored(entries) => {
                self.mark_all_removed();
                self.apply_entries(entries, NewEngines::StartedLongAgo);
            }
            EngineListEvent::Unavailable => {}
        }
    }

    /// Marks all engines as removed before the entries of a complete list are applied.
    fn mark_all_removed(&mut self) {
        for engine in self.engines.values_mut() {
            engine.entry.state = EngineState::Removed;
        }
    }

    /// Applies entries of the list.
    fn apply_entries(&mut self, entries: Vec<EngineEntry>, new_engines: NewEngines) {
        let mean_work_ms = self.mean_work_ms();
        for entry in entries {
            self.update_engine(entry, new_engines, mean_work_ms);
        }
        self.expire_removed_engines();
        self.capacity.listed_engines = self.engines.values().filter(|engine| engine.is_listed()).count();
        self.reset_engine_sampler();
    }

    /// Applies an entry of the list, and starts or continues the engine's slow start.
    fn update_engine(&mut self, entry: EngineEntry, new_engines: NewEngines, mean_work_ms: Millis) {
        let rules = &self.settings.rules;
        let kind = self.settings.kinds.get(entry.kind.0).copied().unwrap_or_default();
        let is_new = !self.engines.contains_key(&entry.id);
        let just_started = is_new && new_engines == NewEngines::JustStarted;
        let engine = self.engines.entry(entry.id).or_insert_with(|| Engine::new(kind));
        let started_at = entry.started_at.or(just_started.then_some(self.now));
        let warm_at = started_at.map_or(0.0, |at| at + rules.warm_up_ms);
        engine.entry = entry;
        engine.slow_start.begin(warm_at, self.now, mean_work_ms, &mut self.rng);
        engine.slow_start.update(self.now, 0.0, engine.cores, rules, self.settings.manager_count);
    }

    /// Expires engines that were removed long ago. New engines constantly arrive under new names, so the map
    /// would grow otherwise.
    fn expire_removed_engines(&mut self) {
        let now = self.now;
        self.engines.retain(|_, engine| {
            engine.track_removal(now);
            !engine.is_expired(now)
        });
        for (index, engine) in self.engines.values_mut().enumerate() {
            engine.index = index;
        }
    }

    /// Makes every ready engine a candidate for every class again.
    pub(super) fn reset_engine_sampler(&mut self) {
        let ready = self.engines.values().filter(|engine| engine.is_ready());
        self.engine_sampler.reset(ready.map(|engine| engine.entry.id));
    }

    /// Polls the engine list if it has to be polled and a poll is due.
    pub(super) fn poll_engine_list(&mut self) {
        if self.settings.poll_engine_list && self.now >= self.next_list_poll_at {
            let interval_ms = self.settings.rules.poll_interval_ms / POLLS_PER_INTERVAL;
            self.next_list_poll_at = self.now + interval_ms;
            self.actions.push(Action::Subscribe);
        }
    }
}
