//! Checks the state machine against the table in `lib.rs`: each event in each phase, each pair of events in both
//! orders, and the invariants for any order of events.

use sanddyke_lifecycle::{Event, Lifecycle, ListenSocket, Phase, TransitionError};

fn after(socket: ListenSocket, events: &[Event]) -> Lifecycle {
    let mut lifecycle = Lifecycle::new(socket);
    for event in events {
        let _rejected = lifecycle.apply(*event);
    }
    lifecycle
}

const STARTED: [Event; 2] = [Event::EngineListLoaded, Event::EnginesChecked];

/// Returns one lifecycle in each phase.
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
fn every_event_in_every_phase_agrees_with_the_table() {
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
        for (mut lifecycle, expected) in phases().into_iter().zip(expected) {
            let before = lifecycle;
            let found = lifecycle.apply(event);
            assert_eq!(found, expected, "{event:?} when {}", before.phase());
            if found.is_err() {
                assert_eq!(lifecycle, before, "{event:?} was rejected but changed the lifecycle");
            }
        }
    }
}

/// Covers the pairs that lead to the same phase in both orders, and those whose order matters.
#[test]
fn every_pair_of_events_leads_to_its_phase() {
    use Event::{EngineListLoaded, EnginesChecked, LastResponseSent, Quiesce, Resume, Terminate};
    for socket in [ListenSocket::Exclusive, ListenSocket::Shared] {
        let pair = |first, second| after(socket, &[&STARTED[..], &[first, second]].concat()).phase();
        let terminated = if socket == ListenSocket::Exclusive { Phase::Stopping } else { Phase::HandedOver };
        for first in Event::ALL {
            for second in Event::ALL {
                let expected = match (first, second) {
                    (Terminate, LastResponseSent) => Phase::Ended,
                    (Terminate, _) | (_, Terminate) => terminated,
                    (Quiesce, Resume) => Phase::Ready,
                    (Quiesce, _) | (_, Quiesce) => Phase::Drained,
                    _ => Phase::Ready,
                };
                assert_eq!(pair(first, second), expected, "{first:?} then {second:?}");
            }
        }
        // A drain before the start is complete: after the resume, the start still has to be completed.
        assert_eq!(after(socket, &[Quiesce, EngineListLoaded, Resume]).phase(), Phase::Starting);
        assert_eq!(after(socket, &[Quiesce, EnginesChecked, EngineListLoaded, Resume]).phase(), Phase::Ready);
    }
}

/// For every order of five events: a terminated or drained server never reports ready, and the stages after SIGTERM
/// are never left for an earlier one.
#[test]
fn no_order_of_events_makes_a_terminated_server_serve_again() {
    for number in 0..7usize.pow(5) {
        let order: Vec<Event> = (0..5).map(|at| Event::ALL[number / 7usize.pow(at) % 7]).collect();
        let mut lifecycle =
            Lifecycle::new(if number % 2 == 0 { ListenSocket::Exclusive } else { ListenSocket::Shared });
        let mut terminated = false;
        let mut drained = false;
        let mut ended = false;
        for event in &order {
            let applied = lifecycle.apply(*event).is_ok();
            terminated |= *event == Event::Terminate;
            drained = applied && *event == Event::Quiesce || drained && !(applied && *event == Event::Resume);
            ended |= terminated && *event == Event::LastResponseSent;
            assert_eq!(lifecycle.is_shutting_down(), terminated, "{order:?}");
            assert!(!lifecycle.is_ready() || !terminated && !drained, "{order:?}");
            assert_eq!(lifecycle.phase() == Phase::Ended, ended, "{order:?}");
            assert!(lifecycle.keeps_idle_connections() <= lifecycle.accepts_connections(), "{order:?}");
            assert_eq!(lifecycle.keeps_idle_connections(), !terminated && !drained, "{order:?}");
        }
    }
}
