//! Expiry by age, and the limit of stored client request ids.

use super::*;

#[test]
fn a_request_is_remembered_for_the_time_and_forgotten_after_it() {
    let mut carried = CarriedRequests::default();
    carried.insert(Micros(0), "a");
    carried.insert(RETENTION, "b");
    assert!(carried.contains("a") && carried.contains("b"));
    carried.insert(RETENTION + Micros(1), "c");
    assert!(!carried.contains("a") && carried.contains("b"));
}

#[test]
fn no_more_are_remembered_than_the_limit() {
    let mut carried = CarriedRequests::default();
    for number in 0..2 * MAX_REQUESTS {
        carried.insert(Micros(0), &number.to_string());
    }
    assert!(carried.names.len() <= MAX_REQUESTS && carried.by_age.len() <= MAX_REQUESTS);
}
