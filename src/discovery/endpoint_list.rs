//! The endpoint list of the engines, with the serial of the last response that changed it.

use crate::core::Engine;
use crate::decision::EngineState;
use std::collections::BTreeMap;

/// The listed engines by name, and the serial of the list.
#[derive(Debug, Clone, Default)]
pub struct EngineList {
    serial: u32,
    engines: BTreeMap<String, Engine>,
}

impl EngineList {
    /// Applies a list from the configuration. A complete list replaces all engines; another one updates those that it
    /// names.
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

    /// Returns all engines of the list. Removed engines are not in it.
    pub fn engines(&self) -> Vec<Engine> {
        self.engines.values().cloned().collect()
    }

    /// Replaces the list by one with a higher serial, and returns the changed engines, removed ones first. A list whose
    /// serial is not higher is ignored: it arrived late.
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

    /// Like [`EngineList::update`], with the serial and engines of another list.
    pub fn update_from(&mut self, other: &EngineList) -> Vec<Engine> {
        self.update(other.serial, other.engines())
    }
}
