//! Hand over: what this process has learnt, by names that another process knows, whatever numbers it gives.

use super::{Core, FNV};
use crate::clock::Micros;
use crate::decision::EngineId;
use crate::decision::learned_state::{
    LearnedClass, LearnedEngine, LearnedEngineEntry, LearnedRates, LearnedState,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// So many classes and engines at most are passed on: a few hundred bytes each.
const MOST: usize = 512;

/// What is passed on. Keys that a version does not know are passed over, and those that it misses have their
/// first values.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    /// Levels of the whole manager.
    pub pace: LearnedRates,
    /// By the class's name.
    pub classes: BTreeMap<String, LearnedClass>,
    /// By the engine's name.
    pub engines: BTreeMap<String, LearnedEngine>,
}

/// All workload managers give an engine the same number, in whatever order they hear of it.
pub(super) fn engine_number(name: &str) -> u64 {
    name.bytes().fold(FNV.0, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV.1))
}

impl Core {
    /// What this process has learnt.
    pub fn handover_state(&self) -> HandoverState {
        let learnt = self.gateway.learned_state();
        let classes = self.front.classes.iter().zip(learnt.classes);
        let named =
            |entry: LearnedEngineEntry| Some((self.engines.get(&entry.id.0)?.name.clone(), entry.learned));
        HandoverState {
            pace: learnt.rates,
            classes: classes.filter_map(|(name, of)| Some((name.clone(), of?))).take(MOST).collect(),
            engines: learnt.engines.into_iter().filter_map(named).take(MOST).collect(),
        }
    }

    /// Goes on from what another process has learnt, so long ago.
    pub(super) fn restore(&mut self, handover: &HandoverState, age: Micros) {
        let learnt = LearnedState {
            rates: handover.pace.clone(),
            classes: self.front.classes.iter().map(|name| handover.classes.get(name).cloned()).collect(),
            engines: handover
                .engines
                .iter()
                .map(|(name, engine)| LearnedEngineEntry {
                    id: EngineId(engine_number(name)),
                    learned: engine.clone(),
                })
                .collect(),
        };
        self.gateway.restore(&learnt, age.as_ms());
    }

    /// Whether most of the ready engines have answered something: only then are requests placed as well as by a
    /// process that has run for long. Where engines can't be asked, it is so from the start.
    pub fn engines_checked(&self) -> bool {
        use crate::decision::EngineState::Ready;
        let ready = || self.engines.values().filter(|engine| engine.state == Ready);
        let heard = ready().filter(|engine| engine.heard).count();
        !self.front.settings.limits.health_checks || heard * HEARD_PART.1 >= ready().count() * HEARD_PART.0
    }
}

/// The part of the engines that must have answered: one that is cut off must not keep a new version from its work.
const HEARD_PART: (usize, usize) = (3, 4);
