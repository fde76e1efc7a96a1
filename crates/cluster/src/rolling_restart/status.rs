//! Status of the managers, as the controller of a rolling restart observes it.

use crate::lease::Incarnation;
use crate::lease_holder::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Status of a manager, as reported by itself. The order of fields is that of the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// It accepts work.
    pub ready: bool,
    /// It is drained.
    pub drained: bool,
    /// Number of its open requests and connections.
    pub open_requests: u64,
    /// When it reported, by its own clock: reports may overtake each other.
    pub reported_at_us: Micros,
}

/// A status with the incarnation that reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedStatus {
    /// The reporting incarnation.
    pub incarnation: Incarnation,
    /// Its status.
    pub status: MemberStatus,
}

impl ReportedStatus {
    fn sequence(&self) -> (u64, Micros) {
        (self.incarnation.number, self.status.reported_at_us)
    }
}

/// The latest status of each manager, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberStatuses(BTreeMap<String, ReportedStatus>);

impl MemberStatuses {
    /// The latest status of a manager.
    pub fn get(&self, name: &str) -> Option<&ReportedStatus> {
        self.0.get(name)
    }

    /// Takes a report over, unless a later one is known.
    pub fn update(&mut self, incarnation: Incarnation, status: MemberStatus) {
        let reported = ReportedStatus { incarnation, status };
        let known = self.0.get(&reported.incarnation.name);
        if known.is_none_or(|known| reported.sequence() >= known.sequence()) {
            self.0.insert(reported.incarnation.name.clone(), reported);
        }
    }

    /// Forgets a manager.
    pub fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }
}

/// Since when a member is in its stage.
#[derive(Debug, Clone, Copy)]
struct StageStart {
    is_returning: bool,
    since_us: Micros,
}

/// What one holder of the lease has observed. Each holder starts without observations.
#[derive(Debug, Default)]
pub struct Observations {
    /// Status of the managers.
    pub statuses: MemberStatuses,
    stage_starts: BTreeMap<String, StageStart>,
}

impl Observations {
    /// How long a member has been in its stage, as observed by this holder.
    pub(super) fn time_in_stage_us(&mut self, name: &str, is_returning: bool, now: Micros) -> Micros {
        let current = StageStart { is_returning, since_us: now };
        let start = self.stage_starts.entry(name.to_owned()).or_insert(current);
        if start.is_returning != is_returning {
            *start = current;
        }
        now - start.since_us
    }

    pub(super) fn retain_stage_times(&mut self, is_retained: impl Fn(&str) -> bool) {
        self.stage_starts.retain(|name, _| is_retained(name));
    }

    pub(super) fn clear_stage_times(&mut self) {
        self.stage_starts.clear();
    }
}
