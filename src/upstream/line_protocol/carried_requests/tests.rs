//! Expiry by age, and the limit of stored client request ids.

use super::*;

#[test]
fn request_expires_after_the_retention_time() {
    let mut carried = CarriedRequests::default();
    carried.insert(Micros(0), "a");
    carried.insert(RETENTION, "b");
    assert!(carried.contains("a") && carried.contains("b"));
    carried.insert(RETENTION + Micros(1), "c");
    assert!(!carried.contains("a") && carried.contains("b"));
}

#[test]
fn number_of_stored_requests_is_limited() {
    let mut carried = CarriedRequests::default();
    for number in 0..2 * MAX_REQUESTS {
        carried.insert(Micros(0), &number.to_string());
    }
    assert!(carried.client_request_ids.len() <= MAX_REQUESTS && carried.by_age.len() <= MAX_REQUESTS);
}
