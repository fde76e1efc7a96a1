//! Tests of stored results.

use super::*;
use crate::lifecycle::LifecycleHandle;
use sanddyke_lifecycle::ListenSocket;

const PAGE_BYTES: usize = 100_000;

struct Fixture {
    lifecycle: LifecycleHandle,
    pages: ResultPages,
    now: Instant,
}

impl Fixture {
    fn new() -> Fixture {
        let lifecycle = LifecycleHandle::new(ListenSocket::Exclusive);
        Fixture { lifecycle, pages: ResultPages::new(&MemoryBudget::new(usize::MAX)), now: Instant::now() }
    }

    fn insert(&mut self, client_request_id: &str, time_to_live: Duration) -> Option<Page> {
        let undelivered = self.lifecycle.track_result();
        let pages = vec!["x".repeat(PAGE_BYTES), "y".repeat(PAGE_BYTES)];
        let expires_at = self.now + time_to_live;
        self.pages.insert(NewResult { client_request_id, pages, expires_at, undelivered }, self.now)
    }
}

/// Guards against a client that loses the rows of its result to the results of others: the oldest was evicted, although
/// its client still fetched it.
#[test]
fn a_result_in_delivery_is_never_evicted() {
    let mut fixture = Fixture::new();
    let hour = Duration::from_secs(3600);
    let stored = (0..100).filter(|number| fixture.insert(&format!("{number}"), hour).is_some()).count();
    assert!((10..MAX_BYTES / PAGE_BYTES / 2 + 1).contains(&stored), "{stored}");
    assert_eq!(fixture.lifecycle.undelivered_results(), stored);
    assert!((0..stored).all(|number| fixture.pages.get(&format!("/page/{number}/1")).is_some()));
    fixture.pages.record_delivery("0", fixture.now);
    assert!(fixture.pages.get("/page/0/1").is_some(), "may be called again after a broken connection");
    fixture.now += RETRY_TIME;
    assert!(fixture.insert("next", hour).is_some());
    assert_eq!(fixture.pages.get("/page/0/1"), None);
}

/// Guards against a shutdown that waits for clients that no longer want the rest of their results.
#[test]
fn a_result_is_in_delivery_until_its_last_page_is_sent_or_its_client_has_given_it_up() {
    let mut fixture = Fixture::new();
    for name in ["read", "deleted", "expired", "replaced"] {
        assert!(fixture.insert(name, Duration::from_secs(5)).is_some());
    }
    assert_eq!(fixture.lifecycle.undelivered_results(), 4);
    assert!(fixture.pages.get("/page/read/1").is_some_and(|page| page.is_last));
    fixture.pages.record_delivery("read", fixture.now);
    assert!(!fixture.pages.is_undelivered("read"));
    assert!(fixture.pages.remove("/page/deleted/1"));
    assert!(fixture.insert("replaced", Duration::from_secs(60)).is_some());
    assert_eq!(fixture.lifecycle.undelivered_results(), 2);
    fixture.pages.remove_expired(fixture.now + Duration::from_secs(5));
    assert_eq!(fixture.lifecycle.undelivered_results(), 1);
    assert!(fixture.pages.is_undelivered("replaced"));
}
