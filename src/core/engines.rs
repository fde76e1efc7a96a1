//! The table of engines: those in the endpoint list, and removed ones that still have attempts.

use super::{Command, ConnectionEnd, Core, Engine, EngineListUpdate, HealthCheckResult};
use crate::clock::Micros;
use crate::decision::{CellId, EngineEntry, EngineId, EngineListEvent, EngineState, Event, KindId, ZoneId};
use crate::settings::number;
use std::collections::HashSet;

/// The quarters of the ready engines that must have answered a health check before a new process is ready. It is
/// not all of them, because one unreachable engine must not block the start of a new version.
const REQUIRED_CHECKED_QUARTERS: usize = 3;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// An engine in the endpoint list, or a removed one that still has attempts.
#[derive(Debug)]
pub(super) struct KnownEngine {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) kind: String,
    pub(super) zone_id: ZoneId,
    pub(super) cell: Option<CellId>,
    pub(super) state: EngineState,
    pub(super) attempts_in_flight: usize,
    /// Whether the engine has answered a health check of this process.
    has_answered_health_check: bool,
}

/// Returns an engine's number: the 64-bit FNV-1a hash of its name. All managers compute the same number,
/// independently of the order in which they receive the engines.
pub(super) fn engine_number(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    name.bytes().fold(FNV_OFFSET_BASIS, step)
}

impl Core {
    /// Applies an update of the engine list.
    pub(super) fn update_engines(&mut self, now: Micros, update: EngineListUpdate, out: &mut Vec<Command>) {
        let event = match update {
            EngineListUpdate::Initial(engines) => {
                EngineListEvent::Restored(self.record_engines(engines, out))
            }
            EngineListUpdate::Complete(engines) => {
                EngineListEvent::Replace(self.record_engines(engines, out))
            }
            EngineListUpdate::Changed(engines) => EngineListEvent::Update(self.record_engines(engines, out)),
        };
        if let EngineListEvent::Replace(entries) | EngineListEvent::Restored(entries) = &event {
            self.mark_unlisted_as_removed(entries);
        }
        self.revoke_permits_on_unready_engines();
        self.notify_scheduler(now, Event::EngineList(event), out);
        let engines: Vec<u64> = self.engines.keys().copied().collect();
        for engine in engines {
            self.delete_if_unused(engine, out);
        }
    }

    /// Records engines in the table, and returns their entries for the scheduler.
    fn record_engines(&mut self, engines: Vec<Engine>, out: &mut Vec<Command>) -> Vec<EngineEntry> {
        let mut entries = Vec::with_capacity(engines.len());
        for engine in engines {
            let id = engine_number(&engine.name);
            let cell = engine.cell.map(CellId);
            let zone_id = ZoneId(number(&mut self.service_settings.zones, &engine.zone));
            entries.push(EngineEntry {
                id: EngineId(id),
                started_at: engine.started_at.map(Micros::as_ms),
                cell,
                state: engine.state,
                kind: KindId(number(&mut self.service_settings.kinds, &engine.kind)),
                weight: engine.weight,
                zone: zone_id,
            });
            out.push(Command::UpdateEngine {
                engine: id,
                name: engine.name.clone(),
                address: engine.address,
                state: engine.state,
            });
            let before = self.engines.get(&id);
            let known = KnownEngine {
                name: engine.name,
                zone: engine.zone,
                kind: engine.kind,
                zone_id,
                cell,
                state: engine.state,
                attempts_in_flight: before.map_or(0, |known| known.attempts_in_flight),
                has_answered_health_check: before.is_some_and(|known| known.has_answered_health_check),
            };
            self.engines.insert(id, known);
        }
        entries
    }

    /// Marks engines that a complete list does not name as removed.
    fn mark_unlisted_as_removed(&mut self, listed: &[EngineEntry]) {
        let listed: HashSet<u64> = listed.iter().map(|entry| entry.id.0).collect();
        for (id, engine) in &mut self.engines {
            if !listed.contains(id) {
                engine.state = EngineState::Removed;
            }
        }
    }

    /// Revokes the permits of attempts on engines that are not ready. An attempt may still be queued, for example
    /// behind a connection that is being established, and such an engine accepts no new attempts.
    fn revoke_permits_on_unready_engines(&self) {
        for attempt in self.attempts.values() {
            let engine = self.engines.get(&attempt.engine);
            if !engine.is_some_and(|engine| engine.state == EngineState::Ready) {
                attempt.permit.revoke();
            }
        }
    }

    /// Deletes a removed engine from the table if it has no attempts. Otherwise the table would grow, because new
    /// engines are listed continually.
    pub(super) fn delete_if_unused(&mut self, engine: u64, out: &mut Vec<Command>) {
        let is_unused =
            |known: &KnownEngine| known.state == EngineState::Removed && known.attempts_in_flight == 0;
        if self.engines.get(&engine).is_some_and(is_unused) {
            self.engines.remove(&engine);
            out.push(Command::RemoveEngine { engine });
        }
    }

    /// Handles the result of a health check.
    pub(super) fn health_checked(&mut self, now: Micros, result: &HealthCheckResult, out: &mut Vec<Command>) {
        self.log_health_check(now, result);
        if let Some(known) = self.engines.get_mut(&result.engine) {
            known.has_answered_health_check |= result.end == ConnectionEnd::Answered;
        }
        let event = Event::HealthChecked {
            engine: EngineId(result.engine),
            outcome: result.end.outcome(),
            elapsed_ms: result.elapsed.as_ms(),
            report: result.report,
        };
        self.notify_scheduler(now, event, out);
    }

    /// Logs a health check; -1 stands for a value that was not reported. Tools parse this line, so its text stays
    /// as it is.
    fn log_health_check(&self, now: Micros, result: &HealthCheckResult) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let engine = self.engines.get(&result.engine).map_or("?", |engine| &engine.name);
        let report = result.report.unwrap_or_default();
        let load = [report.busy, report.queued, report.memory, report.disks].map(|one| one.unwrap_or(-1.0));
        log::debug!(
            "probe at={} us={} engine={engine} end={:?} load={load:?}",
            now.0,
            result.elapsed.0,
            result.end
        );
    }

    /// Returns whether enough of the ready engines have answered a health check. Before that, the scheduler
    /// selects engines less well than in a process that has been running for a while. If health checks are
    /// disabled, this is always true.
    pub fn engines_checked(&self) -> bool {
        if !self.service_settings.settings.limits.health_checks {
            return true;
        }
        let ready = self.engines.values().filter(|engine| engine.state == EngineState::Ready);
        let ready_count = ready.clone().count();
        let answered_count = ready.filter(|engine| engine.has_answered_health_check).count();
        answered_count * 4 >= ready_count * REQUIRED_CHECKED_QUARTERS
    }
}
