//! Tests of the core's handling of attempts, without sockets.

use super::*;
use crate::decision::{EngineState, ProgressNote};
use std::net::{Ipv4Addr, SocketAddr};

fn core() -> (Core, Vec<Command>) {
    let env = r#"{"allowed":{"attemptsCap":3,"cancel":true},"classes":[{"deadlineMs":5000,
        "idempotency":"repeatable","name":"lookup","targetMs":1000,"worth":1}],"discovery":"pushed",
        "models":["std"],"replicasOfMe":1,"report":{},"safety":{"coldFrom":0.33,"overloadFactor":2,
        "tipAfterMs":2000,"warmUpMs":15000},"stepMs":5,"familyInfo":{"kindCores":[8],"tellsEveryMs":500}}"#;
    let service_settings = crate::settings::parse(env).expect("good settings");
    let mut core = Core::new(service_settings, 100, 1, Micros(0));
    let engine = |name: &str| Engine {
        name: name.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: "a".to_owned(),
        kind: "std".to_owned(),
        cell: None,
        state: EngineState::Ready,
        weight: 1.0,
        started_at: None,
    };
    let mut out = Vec::new();
    core.handle(
        Micros(0),
        Input::Engines(EngineListUpdate::Initial(vec![engine("x"), engine("y")])),
        &mut out,
    );
    let incoming = IncomingRequest {
        id: 1,
        client_request_id: "r".to_owned(),
        class: "lookup".to_owned(),
        tenant: None,
        idempotency_key: None,
        statement: "SELECT 1".into(),
        time_budget: Micros(5_000_000),
    };
    core.handle(Micros(10), Input::RequestReceived(incoming), &mut out);
    (core, out)
}

fn attempt_event(core: &mut Core, at: i64, number: u32, event: AttemptEvent) -> Vec<Command> {
    let mut out = Vec::new();
    let attempt = AttemptId { request: 1, number };
    core.handle(Micros(at), Input::Attempt { attempt, event }, &mut out);
    core.handle(Micros(at), Input::Tick, &mut out);
    out
}

fn started_attempts(commands: &[Command]) -> usize {
    commands.iter().filter(|command| matches!(command, Command::StartAttempt { .. })).count()
}

/// Guards against two concurrent executions of a request. A paused engine has not read the cancellation of the first
/// attempt, so the next attempt must wait until it has.
#[test]
fn the_next_attempt_waits_until_the_cancellation_was_read() {
    let (mut core, out) = core();
    assert_eq!(started_attempts(&out), 1);
    let slow_progress = AttemptEvent::ProgressNote(ProgressNote::Progress(0.001));
    let out = attempt_event(&mut core, 1_000_000, 0, slow_progress);
    assert!(out.iter().any(|one| matches!(one, Command::CancelAttempt { confirm: true, .. })), "{out:?}");
    let mut out = Vec::new();
    core.handle(Micros(1_500_000), Input::Tick, &mut out);
    assert_eq!(started_attempts(&out), 0, "{out:?}");
    let end = AttemptEvent::Ended { end: ConnectionEnd::Cancelled, report: None };
    assert_eq!(started_attempts(&attempt_event(&mut core, 1_600_000, 0, end)), 1);
}

/// Guards against a second answer to a request. Reports of its attempts after the final answer have no effect.
#[test]
fn a_second_end_of_an_attempt_answers_nothing() {
    let (mut core, _) = core();
    let served = || AttemptEvent::Served { table: Table::default(), usage: None, report: None };
    let answers =
        |out: Vec<Command>| out.iter().filter(|command| matches!(command, Command::Answer { .. })).count();
    assert_eq!(answers(attempt_event(&mut core, 20_000, 0, served())), 1);
    assert_eq!(answers(attempt_event(&mut core, 30_000, 0, served())), 0);
    assert_eq!(core.open_requests(), 0);
}

/// Guards against memory that grows with the rate of requests: the timers of answered requests stayed until the requests
/// would have been out of time, so one client with small requests at full speed filled the memory.
#[test]
fn the_timers_of_answered_requests_are_removed() {
    let (mut core, _) = core();
    for id in 2..10_000 {
        let incoming = IncomingRequest {
            id,
            client_request_id: id.to_string(),
            class: "lookup".to_owned(),
            tenant: None,
            idempotency_key: None,
            statement: "SELECT 1".into(),
            time_budget: Micros(5_000_000),
        };
        let mut out = Vec::new();
        core.handle(Micros(10), Input::RequestReceived(incoming), &mut out);
        let attempt = AttemptId { request: id, number: 0 };
        let event = AttemptEvent::Served { table: Table::default(), usage: None, report: None };
        core.handle(Micros(10), Input::Attempt { attempt, event }, &mut out);
        core.handle(Micros(10), Input::Tick, &mut out);
        assert!(
            out.iter().any(|command| matches!(command, Command::Answer { request, .. } if *request == id))
        );
    }
    assert_eq!(core.open_requests(), 1);
    assert!(core.timers.len() <= 2 * timers::MIN_COMPACTED_TIMERS, "{}", core.timers.len());
    let mut out = Vec::new();
    core.handle(Micros(5_000_010), Input::Tick, &mut out);
    assert_eq!(core.open_requests(), 0, "the deadline of the open request is still set");
}
