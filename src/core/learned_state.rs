//! The learned state that one process hands over to the next: by names, which both know, not by numbers.

use super::Core;
use super::engines::engine_number;
use crate::clock::Micros;
use crate::decision::EngineId;
use crate::decision::learned_state::{
    LearnedClass, LearnedEngine, LearnedEngineEntry, LearnedRates, LearnedState,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most classes, and the most engines, that are handed over: an entry has a few hundred bytes.
const MAX_ENTRIES: usize = 512;

/// Learned state. Keys that a version does not know are ignored, and those that are missing have their initial
/// values.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    /// Rates of the whole manager.
    #[serde(rename = "pace")]
    pub rates: LearnedRates,
    /// By the class's name.
    pub classes: BTreeMap<String, LearnedClass>,
    /// By the engine's name.
    pub engines: BTreeMap<String, LearnedEngine>,
}

impl Core {
    /// What this process has learned.
    pub fn handover_state(&self) -> HandoverState {
        let learned = self.gateway.learned_state();
        let classes = self.front.classes.iter().zip(learned.classes);
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

    /// Restores what another process had learned `age` ago.
    pub(super) fn restore(&mut self, state: &HandoverState, age: Micros) {
        let classes = self.front.classes.iter().map(|name| state.classes.get(name).cloned());
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
        self.gateway.restore(&learned, age.as_ms());
    }
}
