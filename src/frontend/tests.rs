//! Who gives way.

use super::*;

/// Guards against a crowd in which a new connection gave way before its request came, while others that
/// had long been answered stayed.
#[test]
fn a_connection_whose_request_is_on_its_way_gives_way_last() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut places = ConnectionTable::default();
    let _busy = places.add(ConnectionState::Busy, start);
    let held = places.add(ConnectionState::Idle, start + ms(400));
    let silent = places.add(ConnectionState::Silent, start + ms(450));
    let young = places.add(ConnectionState::Silent, start + ms(900));
    let answered = places.add(ConnectionState::Idle, start + ms(950));
    let refused = places.add(ConnectionState::Ending, start + ms(999));
    for expected in [refused, silent, held, young, answered] {
        assert_eq!(places.spare(start + ms(1000)), Some(expected));
        places.remove(expected);
    }
    assert_eq!(places.spare(start + ms(1000)), None, "who is owed an answer stays");
}
