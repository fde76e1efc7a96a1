//! Loads that lock their data set.

use super::*;

/// Guards against loads that wait on an engine for the lock that another load holds on their data set. In benchmarks
/// such loads occupied two thirds of the clients' connections.
#[test]
fn a_load_waits_while_its_data_set_is_locked_and_loads_on_other_data_sets_do_not() {
    let class = ClassSettings { locks_data_set: true, ..ClassSettings::default() };
    let mut scheduler = scheduler(settings(class), &[engine(1)]);
    let load = |id, data_set| Request { data_set, ..request(id) };
    assert_eq!(sends(&arrive(&mut scheduler, 1.0, load(1, 7))).len(), 1);
    assert!(sends(&arrive(&mut scheduler, 2.0, load(2, 7))).is_empty());
    assert_eq!(sends(&arrive(&mut scheduler, 3.0, load(3, 8))), vec![(3, 1)]);
    assert_eq!(sends(&end_attempt(&mut scheduler, 40.0, 1, 0, Outcome::Served)), vec![(2, 1)]);
}

/// Guards against a queue for one data set that occupies its clients' connections until they disconnect.
#[test]
fn a_load_whose_queue_exceeds_its_latency_objective_is_rejected_at_once() {
    let class = ClassSettings { locks_data_set: true, ..ClassSettings::default() };
    let mut scheduler = scheduler(settings(class), &[engine(1)]);
    (1..=20).for_each(|id| drop(arrive(&mut scheduler, 1.0, Request { data_set: 7, ..request(id) })));
    let mut out = Vec::new();
    scheduler.handle(25.0, Event::Timer(0), &mut out);
    let rejected = out.iter().filter(|action| matches!(action, Action::Reject { .. })).count();
    assert!((10..19).contains(&rejected), "{rejected}: {out:?}");
}

/// Guards against loads that wait for a lock while clients have no connection left for other requests.
#[test]
fn a_load_that_waits_for_a_lock_is_rejected_when_clients_can_open_few_more() {
    let class = ClassSettings { locks_data_set: true, ..ClassSettings::default() };
    let rejected = |max_open| {
        let mut settings = settings(class.clone());
        settings.limits.max_open_requests = max_open;
        let mut scheduler = scheduler(settings, &[engine(1)]);
        (1..=2).for_each(|id| drop(arrive(&mut scheduler, 1.0, Request { data_set: 7, ..request(id) })));
        let mut out = Vec::new();
        scheduler.handle(25.0, Event::Timer(0), &mut out);
        out.iter().any(|action| matches!(action, Action::Reject { request: RequestId(2), .. }))
    };
    assert!(rejected(Some(2)) && !rejected(Some(100)) && !rejected(None));
}

/// Guards against loads of several managers that wait for each other on the same engine.
#[test]
fn near_the_connection_limit_each_engine_runs_a_data_sets_loads_of_one_manager() {
    let class = ClassSettings { locks_data_set: true, ..ClassSettings::default() };
    let places = |me, max_open| {
        let mut settings = settings(class.clone());
        (settings.manager_count, settings.manager_index, settings.limits.max_open_requests) =
            (2, me, max_open);
        let mut scheduler = scheduler(settings, &[engine(1), engine(2)]);
        let load = |id| Request { data_set: 7, ..request(id) };
        let taken = (1..=2).flat_map(|id| sends(&arrive(&mut scheduler, 1.0, load(id))));
        taken.map(|(_, engine)| engine).collect::<Vec<_>>()
    };
    let (first, second) = (places(0, Some(1)), places(1, Some(1)));
    assert!(first.len() == 1 && second.len() == 1 && first != second, "{first:?} {second:?}");
    assert_eq!(places(0, None).len(), 2);
}
