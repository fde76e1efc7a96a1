//! Who gives way.

use super::*;

/// Guards against a crowd in which a new connection gave way before its request came, while others that
/// had long been answered stayed.
#[test]
fn a_connection_whose_request_is_on_its_way_gives_way_last() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut places = Places::default();
    let _busy = places.add(Standing::Busy, start);
    let held = places.add(Standing::Idle, start + ms(400));
    let silent = places.add(Standing::Silent, start + ms(450));
    let young = places.add(Standing::Silent, start + ms(900));
    let answered = places.add(Standing::Idle, start + ms(950));
    let refused = places.add(Standing::Ending, start + ms(999));
    for expected in [refused, silent, held, young, answered] {
        assert_eq!(places.spare(start + ms(1000)), Some(expected));
        places.remove(expected);
    }
    assert_eq!(places.spare(start + ms(1000)), None, "who is owed an answer stays");
}
