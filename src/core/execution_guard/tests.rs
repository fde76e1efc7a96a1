//! Tests of the execution guard's rules, without a core.

use super::*;
use crate::decision::DedupScope;
use rstest::rstest;

const KEYED: Effect = Effect::Keyed { scope: DedupScope::All, window_ms: 1000.0 };

fn request(client_request_id: &str, key: Option<&str>) -> IncomingRequest {
    IncomingRequest {
        id: 0,
        client_request_id: client_request_id.to_owned(),
        class: "load".to_owned(),
        tenant: None,
        idempotency_key: key.map(str::to_owned),
        statement: "SELECT 1".into(),
        time_budget: Micros(5_000_000),
    }
}

fn proposed(request: u64, now_ms: f64, effect: Effect) -> ProposedAttempt {
    ProposedAttempt {
        request,
        engine: 7,
        now: Micros::from_ms(now_ms),
        deadline: Micros::from_ms(5000.0),
        effect,
        deduplication_margin: Micros::from_ms(5.0),
        engine_is_ready: true,
        zone: ZoneId(3),
        cell: None,
    }
}

/// Returns a guard with request 1, and the one attempt of it, which is in flight.
fn guard(effect: Effect) -> (ExecutionGuard, AttemptId) {
    let mut guard = ExecutionGuard::default();
    guard.register(1, &request("a", Some("key"))).expect("nothing is in flight");
    let first = proposed(1, 0.0, effect);
    guard.may_start(&first).expect("it is the first");
    let (attempt, _) = guard.start(&first, &request("a", Some("key")));
    (guard, attempt)
}

#[rstest]
#[case("a", None)]
#[case("b", Some("key"))]
fn a_request_with_an_identity_of_an_attempt_in_flight_is_deferred(
    #[case] client_request_id: &str,
    #[case] key: Option<&str>,
) {
    let (mut guard, attempt) = guard(KEYED);
    guard.request_closed(1, &request("a", Some("key")));
    let deferred = guard.register(2, &request(client_request_id, key));
    assert_eq!(deferred, Err(Deferred { attempts: vec![attempt] }));
    assert_eq!(guard.attempt_ended(attempt, false), vec![2]);
    assert!(guard.register(2, &request(client_request_id, key)).is_ok());
}

#[test]
fn a_request_with_the_key_of_an_open_request_is_deferred_until_that_is_closed_and_its_attempt_ended() {
    let (mut guard, attempt) = guard(KEYED);
    assert!(guard.register(2, &request("b", Some("key"))).is_err());
    assert_eq!(guard.attempt_ended(attempt, false), Vec::<u64>::new());
    assert_eq!(guard.request_closed(1, &request("a", Some("key"))), vec![2]);
}

#[test]
fn a_deferred_request_whose_client_disconnects_is_not_released() {
    let (mut guard, attempt) = guard(KEYED);
    guard.request_closed(1, &request("a", Some("key")));
    assert!(guard.register(2, &request("b", Some("key"))).is_err());
    guard.request_closed(2, &request("b", Some("key")));
    assert_eq!(guard.attempt_ended(attempt, false), Vec::<u64>::new());
    assert!(
        guard.identity_states.is_empty() && guard.histories.is_empty(),
        "the guard still stores state of closed requests"
    );
}

#[rstest]
#[case::second_attempt(Effect::Repeatable, false, 10.0, Some(Violation::AttemptInFlight))]
#[case::possibly_executed(Effect::Once, true, 10.0, Some(Violation::PossiblyExecuted))]
#[case::in_the_window(KEYED, true, 990.0, None)]
#[case::after_the_window(KEYED, true, 996.0, Some(Violation::OutsideDeduplicationWindow))]
#[case::repeatable(Effect::Repeatable, true, 4990.0, None)]
#[case::too_late(Effect::Repeatable, true, 5000.0, Some(Violation::DeadlinePassed))]
fn a_further_attempt_is_allowed_or_counted_as_a_violation(
    #[case] effect: Effect,
    #[case] first_has_ended: bool,
    #[case] now_ms: f64,
    #[case] expected: Option<Violation>,
) {
    let (mut guard, attempt) = guard(effect);
    if first_has_ended {
        guard.attempt_ended(attempt, false);
        guard.record_outcome(attempt, Outcome::ConnectionLost);
    }
    assert_eq!(guard.may_start(&proposed(1, now_ms, effect)).err(), expected);
    let counted: u64 = guard.violations().values().sum();
    assert_eq!(counted, u64::from(expected.is_some()));
}

#[test]
fn an_attempt_that_was_never_executed_may_be_repeated_in_any_class() {
    let (mut guard, attempt) = guard(Effect::Once);
    guard.attempt_ended(attempt, true);
    guard.record_outcome(attempt, Outcome::NoConnection);
    assert_eq!(guard.may_start(&proposed(1, 10.0, Effect::Once)), Ok(()));
}

#[test]
fn nothing_starts_for_a_closed_request_or_on_an_engine_that_is_not_ready() {
    let (mut guard, attempt) = guard(Effect::Repeatable);
    guard.attempt_ended(attempt, false);
    let not_ready = ProposedAttempt { engine_is_ready: false, ..proposed(1, 10.0, Effect::Repeatable) };
    assert_eq!(guard.may_start(&not_ready), Err(Violation::EngineNotReady));
    guard.request_closed(1, &request("a", Some("key")));
    assert_eq!(guard.may_start(&proposed(1, 10.0, Effect::Repeatable)), Err(Violation::RequestClosed));
}

#[test]
fn a_permit_expires_at_the_deadline_or_the_end_of_the_window_and_can_be_revoked() {
    let permit = SendPermit::new(Micros(500), Some(Micros(300)));
    assert_eq!(permit.remaining(Micros(200)), Some(Micros(300)));
    assert_eq!(permit.remaining(Micros(300)), None);
    assert_eq!(SendPermit::new(Micros(500), None).remaining(Micros(500)), None);
    permit.revoke();
    assert_eq!(permit.remaining(Micros(200)), None);
}

/// Guards against a second execution of a statement that a client resends with the same client request id, or retries
/// with the same idempotency key.
#[rstest]
#[case::once("a", None, Effect::Once, 10.0, Some(Violation::PossiblyExecuted))]
#[case::in_the_window("b", Some("key"), KEYED, 990.0, None)]
#[case::after_the_window("b", Some("key"), KEYED, 996.0, Some(Violation::OutsideDeduplicationWindow))]
#[case::another("b", Some("other"), Effect::Once, 10.0, None)]
fn a_resent_or_retried_request_is_checked_against_its_first_possible_execution(
    #[case] client_request_id: &str,
    #[case] key: Option<&str>,
    #[case] effect: Effect,
    #[case] now_ms: f64,
    #[case] expected: Option<Violation>,
) {
    let (mut guard, attempt) = guard(effect);
    guard.request_closed(1, &request("a", Some("key")));
    guard.attempt_ended(attempt, false);
    let execution = guard.register(2, &request(client_request_id, key)).expect("nothing is in flight");
    assert_eq!(execution.is_some(), key != Some("other"));
    assert_eq!(guard.may_start(&proposed(2, now_ms, effect)).err(), expected);
}

#[test]
fn a_resent_request_that_was_never_executed_has_no_possible_execution() {
    let (mut guard, attempt) = guard(Effect::Once);
    guard.request_closed(1, &request("a", Some("key")));
    guard.attempt_ended(attempt, true);
    assert_eq!(guard.register(2, &request("a", Some("key"))), Ok(None));
}
