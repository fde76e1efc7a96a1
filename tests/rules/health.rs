//! Engines that fail, hang or warm up.

use super::*;

/// Guards against overload of a warming-up engine. A manager that has just started does not know what it sent before
/// its restart, so it sends nothing during the first overload window.
#[test]
fn a_warming_up_engine_is_sent_at_most_its_budget_and_nothing_just_after_a_restart() {
    let mut settings = settings(ClassSettings::default());
    settings.rules = Rules {
        initial_capacity_fraction: 0.33,
        warm_up_ms: 15_000.0,
        overload_factor: 2.0,
        overload_window_ms: 2000.0,
        ..settings.rules
    };
    let starting = EngineEntry { started_at: Some(1.0), ..engine(1) };
    let mut scheduler = scheduler(settings, &[starting]);
    assert!(sends(&arrive(&mut scheduler, 100.0, request(1))).is_empty());
    // The end of the window takes effect at the next periodic maintenance, 20 ms apart.
    let mut out = Vec::new();
    scheduler.handle(2090.0, Event::Timer(0), &mut out);
    let mut sent = sends(&out).len();
    for id in 2..100 {
        sent += sends(&arrive(&mut scheduler, 2100.0, request(id))).len();
    }
    // 2 x 33% x 85% x 8 cores x 2,000 ms is room for 17 queries of 500 ms; half of it is used.
    assert!((1..=9).contains(&sent), "{sent}");
}

/// Guards against a pause of an engine whose responses are corrupted in transit. It is sent the next request at once,
/// whereas an engine whose connection is lost is paused.
#[test]
fn an_engine_is_not_paused_for_responses_corrupted_in_transit() {
    for (outcome, many) in [(Outcome::CorruptedResponse, 1), (Outcome::ConnectionLost, 0)] {
        let class = ClassSettings { effect: Effect::Once, ..ClassSettings::default() };
        let mut scheduler = scheduler(settings(class), &[engine(1)]);
        arrive(&mut scheduler, 1.0, request(1));
        let out = end_attempt(&mut scheduler, 20.0, 1, 0, outcome);
        assert!(out.contains(&Action::Fail(RequestId(1))), "possibly executed: {out:?}");
        assert_eq!(sends(&arrive(&mut scheduler, 21.0, request(2))).len(), many, "{outcome:?}");
    }
}

/// Guards against a health check that was never sent (no connection, 0 ms) as the lowest latency. Compared with it,
/// every engine looked congested permanently.
#[test]
fn an_unanswered_health_check_is_no_latency_sample() {
    let mut scheduler = scheduler_of_300_managers();
    let event =
        |engine, outcome, elapsed_ms| Event::HealthChecked { engine, outcome, elapsed_ms, report: None };
    for engine in 1..=4 {
        scheduler.handle(1.0, event(EngineId(engine), Outcome::NoConnection, 0.0), &mut Vec::new());
    }
    let checked = health_checks(&arrive(&mut scheduler, 600.0, request(1)));
    answer_check(&mut scheduler, 602.0, checked[0], 2.0);
    assert_eq!(sends(&answer_check(&mut scheduler, 602.0, checked[1], 2.0)).len(), 1);
}

fn end_check(scheduler: &mut Scheduler, now: f64, outcome: Outcome) -> Vec<Action> {
    let mut out = Vec::new();
    let event = Event::HealthChecked { engine: EngineId(1), outcome, elapsed_ms: 250.0, report: None };
    scheduler.handle(now, event, &mut out);
    out
}

/// Guards against an engine that hangs with open connections. It was sent every request until its connections were
/// closed.
#[test]
fn an_engine_that_answers_no_health_checks_is_sent_nothing_until_it_answers_one() {
    let mut scheduler = scheduler(settings(ClassSettings::default()), &[engine(1)]);
    end_check(&mut scheduler, 300.0, Outcome::TimedOut);
    assert_eq!(
        sends(&arrive(&mut scheduler, 301.0, request(1))),
        vec![(1, 1)],
        "a single unanswered check is tolerated"
    );
    end_check(&mut scheduler, 600.0, Outcome::TimedOut);
    assert!(sends(&arrive(&mut scheduler, 601.0, request(2))).is_empty());
    assert_eq!(sends(&end_check(&mut scheduler, 900.0, Outcome::Served)), vec![(2, 1)]);
}

/// Guards against a broken connection that counts as one failure for each request on it and so ejects its engine.
#[test]
fn a_broken_connection_with_several_requests_counts_as_one_failure() {
    for (second, downs) in [(20.0, 0), (900.0, 1)] {
        let mut scheduler = scheduler(settings(ClassSettings::default()), &[engine(1)]);
        arrive(&mut scheduler, 1.0, request(1));
        arrive(&mut scheduler, 1.0, request(2));
        end_attempt(&mut scheduler, 20.0, 1, 0, Outcome::ConnectionLost);
        let out = end_attempt(&mut scheduler, second, 2, 0, Outcome::ConnectionLost);
        let down = |action: &&Action| matches!(action, Action::Log(LogMessage::EngineDown(_)));
        assert_eq!(out.iter().filter(down).count(), downs, "{second}: {out:?}");
    }
}

/// Guards against managers that cancel and retry all their attempts once engines slow down. A manager below the minimum
/// cap has too few attempts to know the usual pace of progress.
#[rstest::rstest]
#[case(1, 1)]
#[case(300, 0)]
fn only_a_manager_above_the_minimum_cap_cancels_a_runaway_attempt(
    #[case] managers: usize,
    #[case] cancelled: usize,
) {
    let settings = Settings { manager_count: managers, ..settings(ClassSettings::default()) };
    let mut scheduler = scheduler(settings, &[engine(1)]);
    arrive(&mut scheduler, 1.0, request(1));
    answer_check(&mut scheduler, 3.0, 1, 2.0);
    let (mut out, note) = (Vec::new(), ProgressNote::Progress(0.01));
    scheduler.handle(403.0, Event::ProgressNote { request: RequestId(1), attempt: 0, note }, &mut out);
    let cancel = |action: &&Action| matches!(action, Action::Cancel { .. });
    assert_eq!(out.iter().filter(cancel).count(), cancelled, "{out:?}");
}

/// Guards against two failures of a hundred managers with a warming-up engine. It stays idle if no manager's fraction
/// of its budget is a whole query, and it is overloaded if all send at once when it is listed. The managers share one
/// clock; the bound holds for the sum of their attempts in every window.
#[test]
fn a_hundred_managers_together_stay_within_the_budget_of_a_warming_up_engine() {
    let rules = Rules {
        initial_capacity_fraction: 0.31,
        warm_up_ms: 12_000.0,
        overload_factor: 2.5,
        overload_window_ms: 1500.0,
        ..Settings::default().rules
    };
    let settings = Settings { manager_count: 100, rules, ..settings(ClassSettings::default()) };
    let work = 500.0; // the assumed work of a class until responses report it: half of its latency objective
    let mut sent = Vec::new();
    for seed in 0..100 {
        let mut scheduler = Scheduler::new(settings.clone(), seed, 0.0);
        let starting = EngineEntry { started_at: Some(2000.0), ..engine(1) };
        for step in 0..600u64 {
            let now = 20.0 * step as f64;
            let mut out = Vec::new();
            if step == 100 {
                scheduler.handle(now, Event::EngineList(EngineListEvent::Update(vec![starting])), &mut out);
            }
            if step >= 100 {
                out.extend(answer_check(&mut scheduler, now, 1, 2.0));
                out.extend(arrive(&mut scheduler, now, Request { remaining_ms: 100.0, ..request(step) }));
            }
            scheduler.handle(now, Event::Timer(0), &mut out);
            for (request, _) in sends(&out) {
                sent.push(now);
                end_attempt(&mut scheduler, now, request, 0, Outcome::Served);
            }
        }
    }
    sent.sort_by(f64::total_cmp);
    // The lowest capacity while warming up, times the rule's overload factor.
    let most = 2.5 * 0.31 * 8.0 * 1500.0;
    let window =
        |from: &f64| sent.iter().filter(|at| (*from..from + 1500.0).contains(*at)).count() as f64 * work;
    let worst = sent.iter().map(window).fold(0.0, f64::max);
    let first: f64 = sent.iter().filter(|at| **at < 5000.0).count() as f64 * work;
    assert!(first > 0.1 * 2.0 * most, "sent in the first 3 s: {first} ms of work of {} ms", 2.0 * most);
    assert!(
        worst <= 2.0 * most,
        "sent in one window: {worst} ms of work, limit at initial capacity {most} ms"
    );
    let early = window(&2000.0);
    assert!(early <= most, "sent in the first window: {early} ms of work, limit {most} ms");
}
