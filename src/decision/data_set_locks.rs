//! Data-set locks: a load locks its data set on its engine while it runs. A second load on that data set
//! would wait there with its client's connection open.

use super::engines::Engine;
use super::scheduler::Scheduler;

impl Scheduler {
    /// Whether a load on this data set would wait on the engine: the data set is locked there or, if clients
    /// have few connections left, the pair of engine and data set is assigned to another manager.
    pub(super) fn is_data_set_locked_on(&self, engine: &Engine, data_set: u64) -> bool {
        if engine.locked_data_sets.contains(&data_set) {
            return true;
        }
        let pair = engine.index.wrapping_add(data_set as usize);
        let owner = pair % self.settings.manager_count.max(1);
        owner != self.settings.manager_index && self.open_request_excess() > 0
    }

    /// Whether a load on this data set would wait on every engine.
    pub(super) fn is_data_set_locked_everywhere(&self, data_set: u64) -> bool {
        let mut engines = self.engines.values();
        engines.all(|engine| !engine.is_ready() || self.is_data_set_locked_on(engine, data_set))
    }
}
