//! Where, how often and in what order a request is executed.

use super::*;

#[test]
fn work_that_is_not_idempotent_and_may_have_executed_fails_and_is_not_retried() {
    let class = ClassSettings { effect: Effect::Once, ..ClassSettings::default() };
    let mut gateway = gateway(settings(class), &[engine(1), engine(2)]);
    assert_eq!(sends(&arrive(&mut gateway, 1.0, request(1))).len(), 1);
    let out = end_attempt(&mut gateway, 20.0, 1, 0, Outcome::ConnectionLost);
    assert!(out.contains(&Action::Fail(RequestId(1))), "{out:?}");
    assert!(sends(&out).is_empty());
}

#[test]
fn work_that_is_not_idempotent_and_never_executed_is_retried() {
    let class = ClassSettings { effect: Effect::Once, ..ClassSettings::default() };
    let mut gateway = gateway(settings(class), &[engine(1), engine(2)]);
    arrive(&mut gateway, 1.0, request(1));
    assert_eq!(sends(&end_attempt(&mut gateway, 20.0, 1, 0, Outcome::EngineFull)).len(), 1);
}

#[test]
fn a_draining_engine_gets_nothing_and_the_request_is_rejected_in_time() {
    let mut gateway = gateway(settings(ClassSettings::default()), &[engine(1)]);
    let drained = EngineEntry { state: EngineState::Draining, ..engine(1) };
    gateway.handle(1.0, Event::EngineList(EngineListEvent::Update(vec![drained])), &mut Vec::new());
    let out = arrive(&mut gateway, 2.0, request(1));
    assert!(sends(&out).is_empty());
    let timer = out.iter().find_map(|action| match action {
        Action::Timer { token: 2, after_ms } => Some(*after_ms),
        _ => None,
    });
    let after = timer.expect("a request has its own timer");
    assert!(after < 5000.0);
    let mut out = Vec::new();
    gateway.handle(2.0 + after, Event::Timer(2), &mut out);
    assert!(out.iter().any(|action| matches!(action, Action::Reject { request: RequestId(1), .. })));
}

#[test]
fn requests_of_one_key_run_in_order_and_the_key_pauses_after_an_unknown_end() {
    let class = ClassSettings { in_order: true, effect: Effect::Once, ..ClassSettings::default() };
    let mut settings = settings(class);
    settings.rules.order_key_pause_ms = 100.0;
    let mut gateway = gateway(settings, &[engine(1), engine(2)]);
    let keyed = |id| Request { key: Some(OrderKey(9)), ..request(id) };
    assert_eq!(sends(&arrive(&mut gateway, 1.0, keyed(1))).len(), 1);
    assert!(sends(&arrive(&mut gateway, 2.0, keyed(2))).is_empty());
    assert!(sends(&end_attempt(&mut gateway, 30.0, 1, 0, Outcome::TimedOut)).is_empty());
    let mut out = Vec::new();
    gateway.handle(129.0, Event::Timer(0), &mut out);
    assert!(sends(&out).is_empty());
    gateway.handle(131.0, Event::Timer(0), &mut out);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn a_restricted_class_waits_rather_than_run_on_another_kind() {
    let class = ClassSettings { allowed_kinds: Some(vec![KindId(1)]), ..ClassSettings::default() };
    let mut gateway = gateway(settings(class), &[engine(1)]);
    assert!(sends(&arrive(&mut gateway, 1.0, request(1))).is_empty());
    let right = EngineEntry { kind: KindId(1), ..engine(2) };
    let mut out = Vec::new();
    gateway.handle(2.0, Event::EngineList(EngineListEvent::Update(vec![right])), &mut out);
    assert_eq!(sends(&out), vec![(1, 2)]);
}

#[test]
fn retries_stay_within_their_budget() {
    let mut settings = settings(ClassSettings::default());
    settings.rules.retry_budget = Some(RetryBudget { floor: 1.0, ratio: 0.0, window_ms: 1000.0 });
    let mut gateway = gateway(settings, &[engine(1), engine(2), engine(3)]);
    for id in [1, 2] {
        arrive(&mut gateway, 1.0, request(id));
    }
    assert_eq!(sends(&end_attempt(&mut gateway, 2.0, 1, 0, Outcome::ServerError)).len(), 1);
    assert!(sends(&end_attempt(&mut gateway, 3.0, 2, 0, Outcome::ServerError)).is_empty());
    let mut out = Vec::new();
    gateway.handle(1010.0, Event::Timer(0), &mut out);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn a_keyed_request_that_may_have_executed_stays_in_its_cell_and_window() {
    let effect = Effect::Keyed { scope: DedupScope::Cell, window_ms: 500.0 };
    let class = ClassSettings { effect, ..ClassSettings::default() };
    let cell = |id, cell| EngineEntry { cell: Some(CellId(cell)), ..engine(id) };
    let mut gateway = gateway(settings(class), &[cell(1, 1), cell(2, 1), cell(3, 2)]);
    let first = sends(&arrive(&mut gateway, 1.0, request(1)))[0].1;
    let out = end_attempt(&mut gateway, 30.0, 1, 0, Outcome::ServerError);
    match first {
        3 => assert_eq!(sends(&out), vec![(1, 3)]),
        _ => assert!(sends(&out)[0].1 != 3),
    }
    let out = end_attempt(&mut gateway, 600.0, 1, 1, Outcome::ServerError);
    assert!(out.contains(&Action::Fail(RequestId(1))), "{out:?}");
}

#[test]
fn unknown_ids_and_late_events_have_no_effect() {
    let mut gateway = gateway(settings(ClassSettings::default()), &[engine(1)]);
    let mut out = end_attempt(&mut gateway, 1.0, 77, 3, Outcome::Served);
    gateway.handle(2.0, Event::ClientDisconnected(RequestId(5)), &mut out);
    gateway.handle(3.0, Event::Timer(u64::MAX), &mut out);
    gateway.handle(
        4.0,
        Event::HealthChecked { engine: EngineId(4), outcome: Outcome::Served, elapsed_ms: 1.0, report: None },
        &mut out,
    );
    let note = ProgressNote::Progress(0.5);
    gateway.handle(5.0, Event::ProgressNote { request: RequestId(5), attempt: 0, note }, &mut out);
    assert!(out.is_empty(), "{out:?}");
}

fn lose_attempt(gateway: &mut Scheduler, now: f64, request: u64, outcome: Outcome) -> Vec<Action> {
    let mut out = Vec::new();
    let event = Event::AttemptLost { request: RequestId(request), attempt: 0, outcome };
    gateway.handle(now, event, &mut out);
    out
}

/// Guards against a retry beside an attempt that is lost, but that its engine still executes.
#[test]
fn a_lost_attempt_is_retried_only_once_it_has_ended() {
    let mut gateway = gateway(settings(ClassSettings::default()), &[engine(1), engine(2)]);
    arrive(&mut gateway, 1.0, request(1));
    assert!(sends(&lose_attempt(&mut gateway, 20.0, 1, Outcome::ConnectionLost)).is_empty());
    assert_eq!(sends(&end_attempt(&mut gateway, 40.0, 1, 0, Outcome::ConnectionLost)).len(), 1);
}

/// An engine that does not drop a lost attempt must not hold a client to its deadline where that may go elsewhere.
#[test]
fn a_request_whose_lost_attempt_does_not_end_is_rejected_unless_it_has_a_key() {
    let keyed = Effect::Keyed { scope: DedupScope::All, window_ms: 4000.0 };
    for (effect, rejected) in [(Effect::Repeatable, true), (keyed, false)] {
        let class = ClassSettings { effect, ..ClassSettings::default() };
        let mut gateway = gateway(settings(class), &[engine(1), engine(2)]);
        arrive(&mut gateway, 1.0, request(1));
        lose_attempt(&mut gateway, 20.0, 1, Outcome::ConnectionLost);
        let mut out = Vec::new();
        gateway.handle(540.0, Event::Timer(0), &mut out);
        let is_rejected = |action: &Action| matches!(action, Action::Reject { request: RequestId(1), .. });
        assert_eq!(out.iter().any(is_rejected), rejected, "{effect:?}: {out:?}");
    }
}

/// Guards against a second execution for a client that sends its request again.
#[test]
fn a_request_that_was_possibly_executed_before_keeps_to_its_window_and_scope() {
    let prior = PriorExecution { at: 0.0, zone: ZoneId(0), cell: Some(CellId(1)) };
    let again = |now: f64, effect| {
        let class = ClassSettings { effect, ..ClassSettings::default() };
        let elsewhere = EngineEntry { cell: Some(CellId(2)), ..engine(2) };
        let same_cell = EngineEntry { cell: Some(CellId(1)), ..engine(1) };
        let mut gateway = gateway(settings(class), &[same_cell, elsewhere]);
        arrive(&mut gateway, now, Request { prior_execution: Some(prior), ..request(1) })
    };
    let keyed = Effect::Keyed { scope: DedupScope::Cell, window_ms: 1000.0 };
    assert_eq!(sends(&again(500.0, keyed)), [(1, 1)]);
    assert!(again(1001.0, keyed).contains(&Action::Fail(RequestId(1))));
    assert!(again(500.0, Effect::Once).contains(&Action::Fail(RequestId(1))));
    assert_eq!(sends(&again(500.0, Effect::Repeatable)).len(), 1);
}
