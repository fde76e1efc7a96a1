//! The number of sessions ahead, and which of them a request takes.

use super::*;

/// Opens the sessions that are missing. Returns them.
fn open_missing(ahead: &mut SessionsAhead, next_number: &mut ConnectionNumber) -> Vec<ConnectionNumber> {
    let opened: Vec<ConnectionNumber> = (0..ahead.missing()).map(|index| *next_number + index).collect();
    *next_number += opened.len();
    for number in &opened {
        ahead.add_opening(*number);
    }
    opened
}

fn open_all(ahead: &mut SessionsAhead, next_number: &mut ConnectionNumber) {
    for number in open_missing(ahead, next_number) {
        ahead.mark_ready(number);
    }
}

/// Guards against a limit of descriptors that a burst exceeds.
#[test]
fn a_burst_raises_the_number_up_to_its_limit() {
    let (mut ahead, mut next) = (SessionsAhead::new(), 0);
    for _ in 0..100 {
        assert_eq!(ahead.take(), None);
    }
    assert_eq!(open_missing(&mut ahead, &mut next).len(), MAX_TARGET);
    assert_eq!(ahead.missing(), 0);
}

/// Guards against sessions that stay open although no request needs them.
#[test]
fn sessions_that_no_request_needs_are_removed() {
    let (mut ahead, mut next) = (SessionsAhead::new(), 0);
    for _ in 0..100 {
        ahead.take();
    }
    open_all(&mut ahead, &mut next);
    assert!(ahead.review().is_empty(), "until the first review, all were needed");
    let removed: usize = (0..10).map(|_| ahead.review().len()).sum();
    assert_eq!(removed, MAX_TARGET - MIN_TARGET);
}

/// Guards against a number that falls while requests need the sessions.
#[test]
fn sessions_that_requests_need_are_retained() {
    let (mut ahead, mut next) = (SessionsAhead::new(), 0);
    for _ in 0..4 {
        ahead.take();
    }
    open_all(&mut ahead, &mut next);
    let ready = ahead.ready.len();
    for _ in 0..20 {
        while ahead.take().is_some_and(|_| !ahead.ready.is_empty()) {}
        open_all(&mut ahead, &mut next);
        assert!(ahead.review().is_empty());
    }
    assert_eq!(ahead.ready.len(), ready);
}

/// The session whose login was answered first is taken first; one that is being opened only if none is ready.
#[test]
fn the_oldest_ready_session_is_taken() {
    let mut ahead = SessionsAhead::new();
    for number in 1..=3 {
        ahead.add_opening(number);
    }
    ahead.mark_ready(2);
    ahead.mark_ready(1);
    assert_eq!([ahead.take(), ahead.take(), ahead.take(), ahead.take()], [Some(2), Some(1), Some(3), None]);
}

/// Guards against a session that a request has taken, and that is closed because its state changed at the same time.
#[test]
fn a_session_that_a_request_has_taken_is_not_discarded() {
    let mut ahead = SessionsAhead::new();
    ahead.add_opening(1);
    ahead.mark_ready(1);
    ahead.add_opening(2);
    assert_eq!(ahead.take(), Some(1));
    assert!(!ahead.discard(1));
    ahead.mark_ready(1);
    assert!(ahead.discard(2));
    assert_eq!(ahead.take(), None);
}

/// Guards against sessions at a former address.
#[test]
fn no_session_is_left_after_a_change_of_the_address() {
    let mut ahead = SessionsAhead::new();
    ahead.add_opening(1);
    ahead.add_opening(2);
    ahead.mark_ready(2);
    assert_eq!(ahead.clear(), vec![2, 1]);
    assert_eq!(ahead.take(), None);
}
