//! One record as a line of text.

use crate::{Decision, EngineSnapshot, Entry, Event, RequestReceived, Response};

/// Describes the event of an entry in one line, without its time.
pub fn describe(entry: &Entry) -> String {
    let text = |reference: u32| entry.string(reference);
    match &entry.record.event {
        Some(Event::RequestReceived(received)) => describe_request(entry, received),
        Some(Event::RequestQueued(queued)) => format!("held: {}", text(queued.reason)),
        Some(Event::Decision(decision)) => describe_decision(entry, decision),
        Some(Event::AttemptDispatched(dispatched)) => {
            format!("attempt {} sent to {}", dispatched.attempt, text(dispatched.engine))
        }
        Some(Event::AttemptProgress(progress)) => {
            format!("attempt {}: {} {}", progress.attempt, text(progress.measure), progress.value)
        }
        Some(Event::AttemptEnded(ended)) => {
            let engine = text(ended.engine);
            let outcome = text(ended.outcome);
            let work_ms = ended.work_us as f64 / 1000.0;
            format!("attempt {} ended on {engine}: {outcome}, {work_ms:.1} ms of work", ended.attempt)
        }
        Some(Event::Response(response)) => describe_response(entry, response),
        Some(Event::EngineChanged(engine)) => {
            format!("engine {}: {}", text(engine.engine), text(engine.state))
        }
        Some(Event::TenantChanged(tenant)) => {
            format!("tenant {}: {}, share {:.4}", text(tenant.tenant), text(tenant.state), tenant.quota)
        }
        Some(Event::ProgramEvent(program)) => format!("program: {}", text(program.name)),
        Some(Event::RecordsDropped(dropped)) => {
            format!("{} records dropped: {}", dropped.records, text(dropped.reason))
        }
        None => format!("a record of a later version, {} bytes", entry.bytes.len()),
    }
}

fn describe_request(entry: &Entry, received: &RequestReceived) -> String {
    format!(
        "taken: {} of {}, {} bytes, {:.0} ms to go, try {}",
        entry.string(received.class),
        entry.string(received.tenant),
        received.statement_bytes,
        received.budget_us as f64 / 1000.0,
        received.client_attempt.max(1)
    )
}

fn describe_decision(entry: &Entry, decision: &Decision) -> String {
    let selected = describe_engine(entry, decision.selected.as_ref());
    let alternative = describe_engine(entry, decision.alternative.as_ref());
    format!("decided: {selected} ({}), not {alternative}", entry.string(decision.reason))
}

fn describe_engine(entry: &Entry, engine: Option<&EngineSnapshot>) -> String {
    let Some(engine) = engine else { return "-".to_owned() };
    format!(
        "{} (own {}, others {:.1}, slow {:.2}, weight {:.3})",
        entry.string(engine.engine),
        engine.own_in_flight,
        engine.other_in_flight,
        engine.slowdown,
        engine.weight
    )
}

fn describe_response(entry: &Entry, response: &Response) -> String {
    let reason = match response.reason {
        0 => String::new(),
        reference => format!(", {}", entry.string(reference)),
    };
    format!("answered: {}{reason}, {} bytes", entry.string(response.end), response.bytes)
}
