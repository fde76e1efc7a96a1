//! The endpoint list as the name service last reported it.

use crate::core::Engine;
use crate::decision::EngineState;
use std::collections::BTreeMap;

/// The engines that exist, and the serial number of the list.
#[derive(Debug, Clone, Default)]
pub struct EngineList {
    serial: u32,
    engines: BTreeMap<String, Engine>,
}

impl EngineList {
    /// Applies an event of the configuration. A complete list replaces all engines before it.
    pub fn apply_initial(&mut self, serial: u32, complete: bool, engines: Vec<Engine>) {
        self.serial = serial;
        if complete {
            self.engines.clear();
        }
        for engine in engines {
            match engine.state {
                EngineState::Removed => self.engines.remove(&engine.name),
                _ => self.engines.insert(engine.name.clone(), engine),
            };
        }
    }

    /// All engines that are not removed.
    pub fn engines(&self) -> Vec<Engine> {
        self.engines.values().cloned().collect()
    }

    /// Replaces the list by a later one and returns the engines that have changed, removed ones first. An older list
    /// that arrives late changes nothing.
    pub fn update(&mut self, serial: u32, engines: Vec<Engine>) -> Vec<Engine> {
        if serial <= self.serial {
            return Vec::new();
        }
        let new: BTreeMap<String, Engine> =
            engines.into_iter().map(|engine| (engine.name.clone(), engine)).collect();
        let removed = self.engines.values().filter(|old| !new.contains_key(&old.name));
        let mut changed: Vec<Engine> =
            removed.map(|old| Engine { state: EngineState::Removed, ..old.clone() }).collect();
        let differs = |engine: &&Engine| self.engines.get(&engine.name) != Some(*engine);
        changed.extend(new.values().filter(differs).cloned());
        self.serial = serial;
        self.engines = new;
        changed
    }

    /// Replaces the list by another one where that is later; returns the engines that have changed.
    pub fn update_from(&mut self, other: &EngineList) -> Vec<Engine> {
        self.update(other.serial, other.engines())
    }
}
