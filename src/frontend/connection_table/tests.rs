//! Tests of the order in which connections are evicted.

use super::*;

/// Guards against evicting a new connection before its request arrives, in a burst of connections, while connections
/// that have been idle for longer stay open.
#[test]
fn a_connection_whose_request_may_be_in_transit_is_evicted_last() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut table = ConnectionTable::default();
    let _busy = table.add(ConnectionState::Busy, start);
    let idle = table.add(ConnectionState::Idle, start + ms(400));
    let awaiting = table.add(ConnectionState::AwaitingFirstRequest, start + ms(450));
    let new_awaiting = table.add(ConnectionState::AwaitingFirstRequest, start + ms(900));
    let new_idle = table.add(ConnectionState::Idle, start + ms(950));
    let closing = table.add(ConnectionState::Closing, start + ms(999));
    for expected in [closing, awaiting, idle, new_awaiting, new_idle] {
        assert_eq!(table.eviction_candidate(start + ms(1000)), Some(expected));
        table.remove(expected);
    }
    assert_eq!(
        table.eviction_candidate(start + ms(1000)),
        None,
        "a connection with a pending response stays"
    );
}
