//! Unit tests of the decision module at the boundaries of its rules, without a simulator.

mod below_minimum_cap;
mod data_sets;
mod execution;
mod health;
mod shares_and_capacity;

use sanddyke::*;

fn engine(id: u64) -> EngineEntry {
    EngineEntry { id: EngineId(id), state: EngineState::Ready, weight: 1.0, ..EngineEntry::default() }
}

fn scheduler(settings: Settings, engines: &[EngineEntry]) -> Scheduler {
    let mut scheduler = Scheduler::new(settings, 1, 0.0);
    scheduler.handle(0.0, Event::EngineList(EngineListEvent::Restored(engines.to_vec())), &mut Vec::new());
    scheduler
}

fn settings(class: ClassSettings) -> Settings {
    Settings {
        classes: vec![class],
        kinds: vec![KindSettings { cores: Some(8.0), memory_mb: None }; 2],
        ..Settings::default()
    }
}

fn arrive(scheduler: &mut Scheduler, now: f64, request: Request) -> Vec<Action> {
    let mut out = Vec::new();
    scheduler.handle(now, Event::Request(request), &mut out);
    out
}

fn end_attempt(
    scheduler: &mut Scheduler,
    now: f64,
    request: u64,
    attempt: u32,
    outcome: Outcome,
) -> Vec<Action> {
    let mut out = Vec::new();
    let end = AttemptEnd {
        request: RequestId(request),
        attempt,
        outcome,
        elapsed_ms: 10.0,
        request_closed: outcome == Outcome::Served,
        usage: None,
        report: None,
    };
    scheduler.handle(now, Event::AttemptEnded(end), &mut out);
    out
}

fn request(id: u64) -> Request {
    Request { id: RequestId(id), remaining_ms: 5000.0, ..Request::default() }
}

fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    let send = |action: &Action| match action {
        Action::Send { request, engine, .. } => Some((request.0, engine.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn health_checks(actions: &[Action]) -> Vec<u64> {
    let check = |action: &Action| match action {
        Action::HealthCheck(engine) => Some(engine.0),
        _ => None,
    };
    actions.iter().filter_map(check).collect()
}

fn answer_check(scheduler: &mut Scheduler, now: f64, engine: u64, elapsed_ms: f64) -> Vec<Action> {
    let mut out = Vec::new();
    let event =
        Event::HealthChecked { engine: EngineId(engine), outcome: Outcome::Served, elapsed_ms, report: None };
    scheduler.handle(now, event, &mut out);
    out
}

fn scheduler_of_300_managers() -> Scheduler {
    let settings = Settings { manager_count: 300, ..settings(ClassSettings::default()) };
    scheduler(settings, &[engine(1), engine(2), engine(3), engine(4)])
}
