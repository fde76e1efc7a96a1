//! Exports and restores the learned state that a process passes to its successor. Classes and engines are
//! identified by name, because their numbers may differ between the two processes.

use super::Core;
use super::engines::engine_number;
use crate::clock::Micros;
use crate::decision::EngineId;
use crate::decision::learned_state::{
    LearnedClass, LearnedEngine, LearnedEngineEntry, LearnedRates, LearnedState,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of classes, and of engines, that are exported. An entry has a few hundred bytes.
const MAX_ENTRIES: usize = 512;

/// Learned state that is passed between processes, possibly of different versions. Unknown keys are ignored, and
/// missing keys have their initial values.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    /// Rates measured over the whole manager.
    #[serde(rename = "pace")]
    pub rates: LearnedRates,
    /// Learned values of classes, by the class's name.
    pub classes: BTreeMap<String, LearnedClass>,
    /// Learned values of engines, by the engine's name.
    pub engines: BTreeMap<String, LearnedEngine>,
}

impl Core {
    /// Exports the learned state of this process.
    pub fn handover_state(&self) -> HandoverState {
        let learned = self.scheduler.learned_state();
        let classes = self.service_settings.classes.iter().zip(learned.classes);
        let named_classes = classes.filter_map(|(name, class)| Some((name.clone(), class?)));
        let named_engines = learned.engines.into_iter().filter_map(|entry| {
            let known = self.engines.get(&entry.id.0)?;
            Some((known.name.clone(), entry.learned))
        });
        HandoverState {
            rates: learned.rates,
            classes: named_classes.take(MAX_ENTRIES).collect(),
            engines: named_engines.take(MAX_ENTRIES).collect(),
        }
    }

    /// Restores state that another process exported `age` ago.
    pub(super) fn restore(&mut self, state: &HandoverState, age: Micros) {
        let classes = self.service_settings.classes.iter().map(|name| state.classes.get(name).cloned());
        let engines = state.engines.iter();
        let numbered_engines = engines.map(|(name, engine)| LearnedEngineEntry {
            id: EngineId(engine_number(name)),
            learned: engine.clone(),
        });
        let learned = LearnedState {
            rates: state.rates.clone(),
            classes: classes.collect(),
            engines: numbered_engines.collect(),
        };
        self.scheduler.restore(&learned, age.as_ms());
    }
}
