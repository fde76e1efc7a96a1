//! On which engine, how often and in which order a request is executed.

use super::*;

#[test]
fn a_possibly_executed_non_idempotent_request_fails_without_a_retry() {
    let class = ClassSettings { effect: Effect::Once, ..ClassSettings::default() };
    let mut scheduler = scheduler(settings(class), &[engine(1), engine(2)]);
    assert_eq!(sends(&arrive(&mut scheduler, 1.0, request(1))).len(), 1);
    let out = end_attempt(&mut scheduler, 20.0, 1, 0, Outcome::ConnectionLost);
    assert!(out.contains(&Action::Fail(RequestId(1))), "{out:?}");
    assert!(sends(&out).is_empty());
}

#[test]
fn a_never_executed_non_idempotent_request_is_retried() {
    let class = ClassSettings { effect: Effect::Once, ..ClassSettings::default() };
    let mut scheduler = scheduler(settings(class), &[engine(1), engine(2)]);
    arrive(&mut scheduler, 1.0, request(1));
    assert_eq!(sends(&end_attempt(&mut scheduler, 20.0, 1, 0, Outcome::EngineFull)).len(), 1);
}

#[test]
fn a_draining_engine_is_sent_nothing_and_the_request_is_rejected_before_its_deadline() {
    let mut scheduler = scheduler(settings(ClassSettings::default()), &[engine(1)]);
    let drained = EngineEntry { state: EngineState::Draining, ..engine(1) };
    scheduler.handle(1.0, Event::EngineList(EngineListEvent::Update(vec![drained])), &mut Vec::new());
    let out = arrive(&mut scheduler, 2.0, request(1));
    assert!(sends(&out).is_empty());
    let timer = out.iter().find_map(|action| match action {
        Action::Timer { token: 2, after_ms } => Some(*after_ms),
        _ => None,
    });
    let after = timer.expect("a request has its own timer");
    assert!(after < 5000.0);
    let mut out = Vec::new();
    scheduler.handle(2.0 + after, Event::Timer(2), &mut out);
    assert!(out.iter().any(|action| matches!(action, Action::Reject { request: RequestId(1), .. })));
}

#[test]
fn requests_with_one_order_key_are_sent_in_order_and_pause_after_an_unknown_outcome() {
    let class = ClassSettings { in_order: true, effect: Effect::Once, ..ClassSettings::default() };
    let mut settings = settings(class);
    settings.rules.order_key_pause_ms = 100.0;
    let mut scheduler = scheduler(settings, &[engine(1), engine(2)]);
    let keyed = |id| Request { key: Some(OrderKey(9)), ..request(id) };
    assert_eq!(sends(&arrive(&mut scheduler, 1.0, keyed(1))).len(), 1);
    assert!(sends(&arrive(&mut scheduler, 2.0, keyed(2))).is_empty());
    assert!(sends(&end_attempt(&mut scheduler, 30.0, 1, 0, Outcome::TimedOut)).is_empty());
    let mut out = Vec::new();
    scheduler.handle(129.0, Event::Timer(0), &mut out);
    assert!(sends(&out).is_empty());
    scheduler.handle(131.0, Event::Timer(0), &mut out);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn a_request_of_a_restricted_class_waits_for_an_engine_of_an_allowed_kind() {
    let class = ClassSettings { allowed_kinds: Some(vec![KindId(1)]), ..ClassSettings::default() };
    let mut scheduler = scheduler(settings(class), &[engine(1)]);
    assert!(sends(&arrive(&mut scheduler, 1.0, request(1))).is_empty());
    let right = EngineEntry { kind: KindId(1), ..engine(2) };
    let mut out = Vec::new();
    scheduler.handle(2.0, Event::EngineList(EngineListEvent::Update(vec![right])), &mut out);
    assert_eq!(sends(&out), vec![(1, 2)]);
}

#[test]
fn retries_do_not_exceed_the_retry_budget() {
    let mut settings = settings(ClassSettings::default());
    settings.rules.retry_budget = Some(RetryBudget { floor: 1.0, ratio: 0.0, window_ms: 1000.0 });
    let mut scheduler = scheduler(settings, &[engine(1), engine(2), engine(3)]);
    for id in [1, 2] {
        arrive(&mut scheduler, 1.0, request(id));
    }
    assert_eq!(sends(&end_attempt(&mut scheduler, 2.0, 1, 0, Outcome::ServerError)).len(), 1);
    assert!(sends(&end_attempt(&mut scheduler, 3.0, 2, 0, Outcome::ServerError)).is_empty());
    let mut out = Vec::new();
    scheduler.handle(1010.0, Event::Timer(0), &mut out);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn a_possibly_executed_keyed_request_is_retried_only_in_its_cell_and_window() {
    let effect = Effect::Keyed { scope: DedupScope::Cell, window_ms: 500.0 };
    let class = ClassSettings { effect, ..ClassSettings::default() };
    let cell = |id, cell| EngineEntry { cell: Some(CellId(cell)), ..engine(id) };
    let mut scheduler = scheduler(settings(class), &[cell(1, 1), cell(2, 1), cell(3, 2)]);
    let first = sends(&arrive(&mut scheduler, 1.0, request(1)))[0].1;
    let out = end_attempt(&mut scheduler, 30.0, 1, 0, Outcome::ServerError);
    match first {
        3 => assert_eq!(sends(&out), vec![(1, 3)]),
        _ => assert!(sends(&out)[0].1 != 3),
    }
    let out = end_attempt(&mut scheduler, 600.0, 1, 1, Outcome::ServerError);
    assert!(out.contains(&Action::Fail(RequestId(1))), "{out:?}");
}

#[test]
fn unknown_ids_and_late_events_have_no_effect() {
    let mut scheduler = scheduler(settings(ClassSettings::default()), &[engine(1)]);
    let mut out = end_attempt(&mut scheduler, 1.0, 77, 3, Outcome::Served);
    scheduler.handle(2.0, Event::ClientDisconnected(RequestId(5)), &mut out);
    scheduler.handle(3.0, Event::Timer(u64::MAX), &mut out);
    scheduler.handle(
        4.0,
        Event::HealthChecked { engine: EngineId(4), outcome: Outcome::Served, elapsed_ms: 1.0, report: None },
        &mut out,
    );
    let note = ProgressNote::Progress(0.5);
    scheduler.handle(5.0, Event::ProgressNote { request: RequestId(5), attempt: 0, note }, &mut out);
    assert!(out.is_empty(), "{out:?}");
}

fn lose_attempt(scheduler: &mut Scheduler, now: f64, request: u64, outcome: Outcome) -> Vec<Action> {
    let mut out = Vec::new();
    let event = Event::AttemptLost { request: RequestId(request), attempt: 0, outcome };
    scheduler.handle(now, event, &mut out);
    out
}

/// Guards against a retry while a lost attempt of the request is still in flight.
#[test]
fn a_lost_attempt_is_retried_only_once_it_has_ended() {
    let mut scheduler = scheduler(settings(ClassSettings::default()), &[engine(1), engine(2)]);
    arrive(&mut scheduler, 1.0, request(1));
    assert!(sends(&lose_attempt(&mut scheduler, 20.0, 1, Outcome::ConnectionLost)).is_empty());
    assert_eq!(sends(&end_attempt(&mut scheduler, 40.0, 1, 0, Outcome::ConnectionLost)).len(), 1);
}

/// Guards against a client that waits until its deadline because an engine does not discard a lost attempt. The client
/// is rejected early where it may resend its request elsewhere.
#[test]
fn a_request_whose_lost_attempt_does_not_end_is_rejected_unless_it_has_a_key() {
    let keyed = Effect::Keyed { scope: DedupScope::All, window_ms: 4000.0 };
    for (effect, rejected) in [(Effect::Repeatable, true), (keyed, false)] {
        let class = ClassSettings { effect, ..ClassSettings::default() };
        let mut scheduler = scheduler(settings(class), &[engine(1), engine(2)]);
        arrive(&mut scheduler, 1.0, request(1));
        lose_attempt(&mut scheduler, 20.0, 1, Outcome::ConnectionLost);
        let mut out = Vec::new();
        scheduler.handle(540.0, Event::Timer(0), &mut out);
        let is_rejected = |action: &Action| matches!(action, Action::Reject { request: RequestId(1), .. });
        assert_eq!(out.iter().any(is_rejected), rejected, "{effect:?}: {out:?}");
    }
}

/// Guards against a second execution of a request that its client resends.
#[test]
fn a_resent_request_that_was_possibly_executed_stays_in_its_window_and_scope() {
    let prior = PriorExecution { at: 0.0, zone: ZoneId(0), cell: Some(CellId(1)) };
    let again = |now: f64, effect| {
        let class = ClassSettings { effect, ..ClassSettings::default() };
        let elsewhere = EngineEntry { cell: Some(CellId(2)), ..engine(2) };
        let same_cell = EngineEntry { cell: Some(CellId(1)), ..engine(1) };
        let mut scheduler = scheduler(settings(class), &[same_cell, elsewhere]);
        arrive(&mut scheduler, now, Request { prior_execution: Some(prior), ..request(1) })
    };
    let keyed = Effect::Keyed { scope: DedupScope::Cell, window_ms: 1000.0 };
    assert_eq!(sends(&again(500.0, keyed)), [(1, 1)]);
    assert!(again(1001.0, keyed).contains(&Action::Fail(RequestId(1))));
    assert!(again(500.0, Effect::Once).contains(&Action::Fail(RequestId(1))));
    assert_eq!(sends(&again(500.0, Effect::Repeatable)).len(), 1);
}
