//! Shares of tenants, queueing time limits, and shedding near the limit of open requests.

use super::*;

/// Guards against requests that stay queued longer than clients of their class wait. A queued sensitive request is
/// rejected earlier after clients have disconnected early.
#[test]
fn early_disconnects_shorten_the_queueing_time_limit_of_their_class() {
    let class =
        ClassSettings { latency_objective_ms: 800.0, deadline_ms: 4000.0, ..ClassSettings::default() };
    let rejected_at = |disconnects: u64| {
        let mut scheduler = scheduler(settings(class.clone()), &[]);
        for id in 0..disconnects {
            arrive(&mut scheduler, 1.0, request(id));
            scheduler.handle(101.0, Event::ClientDisconnected(RequestId(id)), &mut Vec::new());
        }
        arrive(&mut scheduler, 102.0, request(1000));
        (102..1000).map(f64::from).find(|now| {
            let mut out = Vec::new();
            scheduler.handle(*now, Event::Timer(0), &mut out);
            out.iter().any(|action| matches!(action, Action::Reject { .. }))
        })
    };
    assert!(
        rejected_at(100).expect("rejected early") + 200.0
            < rejected_at(0).expect("rejected at its latency objective")
    );
}

/// Guards against a manager that has just started and treats its first requests as beyond their tenant's share.
#[test]
fn the_first_requests_after_a_start_are_within_their_share() {
    let mut settings = settings(ClassSettings { latency_objective_ms: 2000.0, ..ClassSettings::default() });
    settings.tenants = vec![TenantSettings { share: 1.0, quota_per_s: 10.0, group: None }];
    settings.engines.priorities = true;
    let mut scheduler = scheduler(settings, &[engine(1)]);
    let out = arrive(&mut scheduler, 1.0, Request { tenant: Some(TenantId(0)), ..request(1) });
    assert!(
        out.iter().any(|action| matches!(action, Action::SetAttemptOptions { priority: 1, .. })),
        "{out:?}"
    );
}

/// Guards against queued requests of low weight that occupy all connections, so that clients with requests of any
/// weight get none. (Observed in benchmarks: 89 to 276 requests a run were not admitted.)
#[test]
fn near_the_connection_limit_requests_of_low_weight_are_rejected() {
    let class = |worth: f64| ClassSettings {
        latency_objective_ms: 1e4,
        deadline_ms: 1e14,
        priority_weight: worth,
        ..ClassSettings::default()
    };
    let classes = vec![class(1.0), class(8.0)];
    let limits = Limits { max_open_requests: Some(20), ..Settings::default().limits };
    let rejected_with_other_process = |used_by_other_process: usize, cheap: u64, expensive: u64| {
        let settings = Settings { classes: classes.clone(), limits, ..Settings::default() };
        let mut scheduler = Scheduler::new(settings, 1, 0.0);
        scheduler.set_max_open_requests(Some(20 - used_by_other_process));
        let one =
            |id: u64| Request { class: ClassId(usize::from(id >= 100)), remaining_ms: 1e14, ..request(id) };
        (0..cheap).chain(100..100 + expensive).for_each(|id| drop(arrive(&mut scheduler, 1.0, one(id))));
        let mut out = Vec::new();
        scheduler.handle(30.0, Event::Timer(0), &mut out);
        let ended = |action: &Action| match action {
            Action::Reject { request, .. } => Some(request.0),
            _ => None,
        };
        out.iter().filter_map(ended).collect::<Vec<_>>()
    };
    let rejected = |cheap, expensive| rejected_with_other_process(0, cheap, expensive);
    // 17 of the 20 connections may be used: 85 %.
    assert_eq!(rejected(12, 5), [0u64; 0]);
    assert_eq!(rejected(12, 7), [11, 10], "the latest are rejected first, and no more than necessary");
    assert_eq!(rejected(1, 22), [0], "requests of the same weight as the arriving ones stay queued");
    // Another process of this manager uses four of the connections, so 13 of the 16 may be used here.
    assert_eq!(rejected_with_other_process(4, 12, 4), [11, 10, 9]);
}
