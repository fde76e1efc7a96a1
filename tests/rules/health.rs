//! Engines that fail, hang or warm up.

use super::*;

/// A gateway that has just started does not know what it sent before, and an engine that warms up gets little.
#[test]
fn an_engine_that_warms_up_gets_its_budget_and_nothing_right_after_a_restart() {
    let mut settings = settings(ClassSettings::default());
    settings.rules = Rules {
        initial_capacity_fraction: 0.33,
        warm_up_ms: 15_000.0,
        overload_factor: 2.0,
        overload_window_ms: 2000.0,
        ..settings.rules
    };
    let starting = EngineEntry { started_at: Some(1.0), ..engine(1) };
    let mut gateway = gateway(settings, &[starting]);
    assert!(sends(&arrive(&mut gateway, 100.0, request(1))).is_empty());
    // Time alone opens an engine again at the next upkeep, 20 ms apart.
    let mut out = Vec::new();
    gateway.handle(2090.0, Event::Timer(0), &mut out);
    let mut sent = sends(&out).len();
    for id in 2..100 {
        sent += sends(&arrive(&mut gateway, 2100.0, request(id))).len();
    }
    // 2 x 33% x 85% x 8 cores x 2,000 ms is room for 17 queries of 500 ms; half of it is used.
    assert!((1..=9).contains(&sent), "{sent}");
}

/// Guards against blaming an engine for answers that were damaged on the way: it gets the next request at once, where
/// one whose connections break pauses.
#[test]
fn an_engine_whose_answers_are_damaged_on_the_way_does_not_pause() {
    for (outcome, many) in [(Outcome::CorruptedResponse, 1), (Outcome::ConnectionLost, 0)] {
        let class = ClassSettings { effect: Effect::Once, ..ClassSettings::default() };
        let mut gateway = gateway(settings(class), &[engine(1)]);
        arrive(&mut gateway, 1.0, request(1));
        let out = end_attempt(&mut gateway, 20.0, 1, 0, outcome);
        assert!(out.contains(&Action::Fail(RequestId(1))), "it may have run: {out:?}");
        assert_eq!(sends(&arrive(&mut gateway, 21.0, request(2))).len(), many, "{outcome:?}");
    }
}

/// Guards against a health check that was never sent, and ended after 0 ms, as the fastest one: compared with it every
/// engine looked jammed for good.
#[test]
fn an_unanswered_health_check_tells_no_latency() {
    let mut gateway = gateway_of_300();
    let event =
        |engine, outcome, elapsed_ms| Event::HealthChecked { engine, outcome, elapsed_ms, report: None };
    for engine in 1..=4 {
        gateway.handle(1.0, event(EngineId(engine), Outcome::NoConnection, 0.0), &mut Vec::new());
    }
    let checked = health_checks(&arrive(&mut gateway, 600.0, request(1)));
    answer_check(&mut gateway, 602.0, checked[0], 2.0);
    assert_eq!(sends(&answer_check(&mut gateway, 602.0, checked[1], 2.0)).len(), 1);
}

fn end_check(gateway: &mut Scheduler, now: f64, outcome: Outcome) -> Vec<Action> {
    let mut out = Vec::new();
    let event = Event::HealthChecked { engine: EngineId(1), outcome, elapsed_ms: 250.0, report: None };
    gateway.handle(now, event, &mut out);
    out
}

/// Guards against an engine that hangs with its connections up: it got every request until its connections were closed.
#[test]
fn an_engine_that_leaves_health_checks_unanswered_gets_nothing_until_it_answers() {
    let mut gateway = gateway(settings(ClassSettings::default()), &[engine(1)]);
    end_check(&mut gateway, 300.0, Outcome::TimedOut);
    assert_eq!(sends(&arrive(&mut gateway, 301.0, request(1))), vec![(1, 1)], "one may be lost");
    end_check(&mut gateway, 600.0, Outcome::TimedOut);
    assert!(sends(&arrive(&mut gateway, 601.0, request(2))).is_empty());
    assert_eq!(sends(&end_check(&mut gateway, 900.0, Outcome::Served)), vec![(2, 1)]);
}

/// Guards against one broken connection that counts once for each request on it, and so ejects its engine.
#[test]
fn one_broken_connection_is_one_failure() {
    for (second, downs) in [(20.0, 0), (900.0, 1)] {
        let mut gateway = gateway(settings(ClassSettings::default()), &[engine(1)]);
        arrive(&mut gateway, 1.0, request(1));
        arrive(&mut gateway, 1.0, request(2));
        end_attempt(&mut gateway, 20.0, 1, 0, Outcome::ConnectionLost);
        let out = end_attempt(&mut gateway, second, 2, 0, Outcome::ConnectionLost);
        let down = |action: &&Action| matches!(action, Action::Log(LogMessage::EngineDown(_)));
        assert_eq!(out.iter().filter(down).count(), downs, "{second}: {out:?}");
    }
}

/// Guards against a fleet that cancels and retries all it runs once its engines slow down: a gateway below the minimum
/// cap knows no pace to judge an attempt by.
#[rstest::rstest]
#[case(1, 1)]
#[case(300, 0)]
fn only_a_gateway_above_the_minimum_cap_cancels_a_runaway_attempt(
    #[case] gateways: usize,
    #[case] cancelled: usize,
) {
    let settings = Settings { manager_count: gateways, ..settings(ClassSettings::default()) };
    let mut gateway = gateway(settings, &[engine(1)]);
    arrive(&mut gateway, 1.0, request(1));
    answer_check(&mut gateway, 3.0, 1, 2.0);
    let (mut out, note) = (Vec::new(), ProgressNote::Progress(0.01));
    gateway.handle(403.0, Event::ProgressNote { request: RequestId(1), attempt: 0, note }, &mut out);
    let cancel = |action: &&Action| matches!(action, Action::Cancel { .. });
    assert_eq!(out.iter().filter(cancel).count(), cancelled, "{out:?}");
}

/// Guards against a fleet that leaves an engine idle that warms up, as no gateway's fraction of its budget is a whole
/// query, and against one that sends all at once as it is listed: a hundred gateways on one clock, counted in any
/// window.
#[test]
fn a_hundred_gateways_together_use_an_engine_that_warms_up_within_its_budget() {
    let rules = Rules {
        initial_capacity_fraction: 0.31,
        warm_up_ms: 12_000.0,
        overload_factor: 2.5,
        overload_window_ms: 1500.0,
        ..Settings::default().rules
    };
    let settings = Settings { manager_count: 100, rules, ..settings(ClassSettings::default()) };
    let work = 500.0; // a class's work until answers report it: half its latency objective
    let mut sent = Vec::new();
    for seed in 0..100 {
        let mut gateway = Scheduler::new(settings.clone(), seed, 0.0);
        let starting = EngineEntry { started_at: Some(2000.0), ..engine(1) };
        for step in 0..600u64 {
            let now = 20.0 * step as f64;
            let mut out = Vec::new();
            if step == 100 {
                gateway.handle(now, Event::EngineList(EngineListEvent::Update(vec![starting])), &mut out);
            }
            if step >= 100 {
                out.extend(answer_check(&mut gateway, now, 1, 2.0));
                out.extend(arrive(&mut gateway, now, Request { remaining_ms: 100.0, ..request(step) }));
            }
            gateway.handle(now, Event::Timer(0), &mut out);
            for (request, _) in sends(&out) {
                sent.push(now);
                end_attempt(&mut gateway, now, request, 0, Outcome::Served);
            }
        }
    }
    sent.sort_by(f64::total_cmp);
    // What it can do at least, and the rule's multiple of that.
    let most = 2.5 * 0.31 * 8.0 * 1500.0;
    let window =
        |from: &f64| sent.iter().filter(|at| (*from..from + 1500.0).contains(*at)).count() as f64 * work;
    let worst = sent.iter().map(window).fold(0.0, f64::max);
    let first: f64 = sent.iter().filter(|at| **at < 5000.0).count() as f64 * work;
    assert!(first > 0.1 * 2.0 * most, "hardly used in its first 3 s: {first} of {}", 2.0 * most);
    assert!(worst <= 2.0 * most, "{worst} in one window, at most {most} while it is coldest");
    let early = window(&2000.0);
    assert!(early <= most, "{early} in its first window, at most {most}");
}
