//! The status reports of the managers, from which the controller of a rolling restart determines its steps.

use crate::lease::Incarnation;
use crate::lease_holder::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Status that a manager reports of itself. The wire format depends on the order of fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Whether the manager accepts requests.
    pub ready: bool,
    /// Whether the manager is drained and accepts no requests. Requests that it accepted before may still be open.
    pub drained: bool,
    /// Number of the manager's unanswered requests and open connections.
    pub open_requests: u64,
    /// Time of the report by the manager's own clock, because reports may arrive out of order.
    pub reported_at_us: Micros,
}

/// A status with the incarnation that reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedStatus {
    /// The manager and the incarnation that sent the report.
    pub incarnation: Incarnation,
    /// Status at the time of the report.
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
    /// The latest status of a manager; `None` if it has reported none.
    pub fn get(&self, name: &str) -> Option<&ReportedStatus> {
        self.0.get(name)
    }

    /// Records a report, unless a later one of the same manager is known.
    pub fn update(&mut self, incarnation: Incarnation, status: MemberStatus) {
        let reported = ReportedStatus { incarnation, status };
        let known = self.0.get(&reported.incarnation.name);
        if known.is_none_or(|known| reported.sequence() >= known.sequence()) {
            self.0.insert(reported.incarnation.name.clone(), reported);
        }
    }

    /// Removes the status of a manager.
    pub fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }
}

/// The current stage of a member, and since when the controller has observed it.
#[derive(Debug, Clone, Copy)]
struct StageStart {
    is_returning: bool,
    since_us: Micros,
}

/// What the current controller has observed. Observations are not saved, so each controller starts without any.
#[derive(Debug, Default)]
pub struct Observations {
    /// Latest status of each manager.
    pub statuses: MemberStatuses,
    stage_starts: BTreeMap<String, StageStart>,
}

impl Observations {
    /// How long a member has been in its stage, in microseconds, as observed by this controller. The first call for a
    /// stage returns 0.
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
