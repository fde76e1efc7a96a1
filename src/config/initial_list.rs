//! The endpoint list at the start, built from the watch events under the key `known`.

use super::file::{Endpoint, KnownKeys, Status};
use crate::clock::Clock;
use crate::core::Engine;
use crate::decision::EngineState;
use crate::discovery::EngineList;

/// Applies the events in order. The first event and each event marked as a snapshot replace the whole list; the others
/// update it.
pub(super) fn initial_list(known: KnownKeys, clock: &Clock) -> EngineList {
    let mut list = EngineList::default();
    for (index, notice) in known.notices.into_iter().enumerate() {
        let serial = known.rev.unwrap_or(notice.rev);
        let complete = index == 0 || notice.pool.snapshot;
        let engines = notice.pool.endpoints.into_iter().map(|endpoint| engine(endpoint, clock)).collect();
        list.apply_initial(serial, complete, engines);
    }
    list
}

fn engine(endpoint: Endpoint, clock: &Clock) -> Engine {
    Engine {
        name: endpoint.name,
        address: endpoint.address,
        zone: endpoint.zone,
        kind: endpoint.kind,
        cell: endpoint.group,
        state: match endpoint.status {
            Status::Ready => EngineState::Ready,
            Status::Draining => EngineState::Draining,
            Status::Gone => EngineState::Removed,
        },
        weight: endpoint.weight,
        started_at: (endpoint.since_ms != 0.0).then(|| clock.from_unix_ms(endpoint.since_ms as i64)),
    }
}
