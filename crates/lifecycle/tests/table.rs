//! The table of `lib.rs`, held to the code: each event in each phase, each pair of events in either order, and
//! what must hold whatever comes.

use sanddyke_lifecycle::{Event, Lifecycle, ListenSocket, Phase, TransitionError};

fn after(socket: ListenSocket, events: &[Event]) -> Lifecycle {
    let mut life = Lifecycle::new(socket);
    for event in events {
        let _refused = life.apply(*event);
    }
    life
}

const STARTED: [Event; 2] = [Event::EngineListLoaded, Event::EnginesChecked];

/// A life in each phase.
fn phases() -> Vec<Lifecycle> {
    use Event::{LastResponseSent, Quiesce, Terminate};
    let with = |socket, more: &[Event]| after(socket, &[&STARTED[..], more].concat());
    vec![
        after(ListenSocket::Exclusive, &[]),
        with(ListenSocket::Exclusive, &[]),
        with(ListenSocket::Exclusive, &[Quiesce]),
        with(ListenSocket::Exclusive, &[Terminate]),
        with(ListenSocket::Shared, &[Terminate]),
        with(ListenSocket::Exclusive, &[Terminate, LastResponseSent]),
    ]
}

#[test]
fn every_event_in_every_phase_does_what_the_table_says() {
    use Phase::{Drained, Ended, HandedOver, Ready, Starting, Stopping};
    let stopping = Err(TransitionError::Stopping);
    let ended = Err(TransitionError::Ended);
    let serving = Err(TransitionError::Serving);
    let none = Ok(None);
    let table = [
        (Event::EngineListLoaded, [none, none, none, none, none, none]),
        (Event::EnginesChecked, [none, none, none, none, none, none]),
        (Event::Quiesce, [Ok(Some(Drained)), Ok(Some(Drained)), none, stopping, stopping, ended]),
        (Event::Resume, [none, none, Ok(Some(Ready)), stopping, stopping, ended]),
        (Event::Terminate, [Ok(Some(Stopping)), Ok(Some(Stopping)), Ok(Some(Stopping)), none, none, none]),
        (Event::Reload, [none, none, none, stopping, stopping, ended]),
        (Event::LastResponseSent, [serving, serving, serving, Ok(Some(Ended)), Ok(Some(Ended)), none]),
    ];
    let at: Vec<Phase> = phases().iter().map(Lifecycle::phase).collect();
    assert_eq!(at, [Starting, Ready, Drained, Stopping, HandedOver, Ended]);
    assert_eq!(table.len(), Event::ALL.len());
    for (event, expected) in table {
        for (mut life, expected) in phases().into_iter().zip(expected) {
            let before = life;
            let found = life.apply(event);
            assert_eq!(found, expected, "{event:?} when {}", before.phase());
            if found.is_err() {
                assert_eq!(life, before, "{event:?} was refused and changed something");
            }
        }
    }
}

/// Pairs in either order that lead to one phase, and those in which the order counts.
#[test]
fn pairs_of_events_in_either_order() {
    use Event::{EngineListLoaded, EnginesChecked, LastResponseSent, Quiesce, Resume, Terminate};
    for socket in [ListenSocket::Exclusive, ListenSocket::Shared] {
        let pair = |first, second| after(socket, &[&STARTED[..], &[first, second]].concat()).phase();
        let left = if socket == ListenSocket::Exclusive { Phase::Stopping } else { Phase::HandedOver };
        for first in Event::ALL {
            for second in Event::ALL {
                let expected = match (first, second) {
                    (Terminate, LastResponseSent) => Phase::Ended,
                    (Terminate, _) | (_, Terminate) => left,
                    (Quiesce, Resume) => Phase::Ready,
                    (Quiesce, _) | (_, Quiesce) => Phase::Drained,
                    _ => Phase::Ready,
                };
                assert_eq!(pair(first, second), expected, "{first:?} then {second:?}");
            }
        }
        // Drained before it could serve: resumed, it has still to hear of its back ends.
        assert_eq!(after(socket, &[Quiesce, EngineListLoaded, Resume]).phase(), Phase::Starting);
        assert_eq!(after(socket, &[Quiesce, EnginesChecked, EngineListLoaded, Resume]).phase(), Phase::Ready);
    }
}

/// Whatever comes, in whatever order: a server that leaves never says that it is ready again, one that is not
/// ready never says so, and the phases after SIGTERM only go on.
#[test]
fn no_order_of_events_brings_a_server_back() {
    for number in 0..7usize.pow(5) {
        let order: Vec<Event> = (0..5).map(|at| Event::ALL[number / 7usize.pow(at) % 7]).collect();
        let mut life =
            Lifecycle::new(if number % 2 == 0 { ListenSocket::Exclusive } else { ListenSocket::Shared });
        let mut left = false;
        let (mut drained, mut ended) = (false, false);
        for event in &order {
            let taken = life.apply(*event).is_ok();
            left |= *event == Event::Terminate;
            drained = taken && *event == Event::Quiesce || drained && !(taken && *event == Event::Resume);
            ended |= left && *event == Event::LastResponseSent;
            assert_eq!(life.is_shutting_down(), left, "{order:?}");
            assert!(!life.is_ready() || !left && !drained, "{order:?}");
            assert_eq!(life.phase() == Phase::Ended, ended, "{order:?}");
            assert!(life.keeps_idle_connections() <= life.accepts_connections(), "{order:?}");
            assert_eq!(life.keeps_idle_connections(), !left && !drained, "{order:?}");
        }
    }
}
