//! Synthetic traces from a seed: managers whose clocks differ, clients that try again at another manager, keyed
//! loads that two of them see.

use crate::{
    AttemptDispatched, AttemptEnded, Decision, EngineSnapshot, Event, Header, ProgramEvent, Record,
    RequestQueued, RequestReceived, Response, TraceError, Writer,
};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Write;

/// What is generated.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Requests of clients, first tries only.
    pub requests: u64,
    /// How far each manager's clock is ahead of the true one (us); as many managers.
    pub skews_us: Vec<i64>,
    /// Seed of it all.
    pub seed: u64,
    /// Tenants.
    pub tenants: u32,
}

const CLASSES: [(&str, f64); 3] = [("lookup", 5_000.0), ("report", 400_000.0), ("load", 900_000.0)];
/// Mean time between two requests (us).
const EVERY_US: f64 = 1000.0;
const ENGINES: u64 = 8;
/// Parts of the attempts that end in each way.
const REFUSED: f64 = 0.05;
const LOST: f64 = 0.01;
const MOST_TRIES: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    RequestReceived,
    RequestQueued,
    AttemptDispatched(u32),
    AttemptEnded(u32),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Story {
    client: u64,
    class: usize,
    tenant: u32,
    client_attempt: u32,
    manager: usize,
    request: u64,
    engine: u64,
}

/// Writes one trace a manager.
pub fn generate<W: Write>(
    plan: &Plan,
    mut open: impl FnMut(usize) -> std::io::Result<W>,
) -> Result<(), TraceError> {
    let mut rng = Rand64::new(plan.seed.into());
    let mut writers = Vec::new();
    for (manager, skew) in plan.skews_us.iter().enumerate() {
        let header = Header {
            program: env!("CARGO_PKG_VERSION").to_owned(),
            manager: format!("m{manager}"),
            unix_us: 1_700_000_000_000_000 - skew,
            derivation: vec![format!("generated from seed {}", plan.seed)],
            ..Header::default()
        };
        let mut writer = Writer::new(open(manager)?, header)?;
        let name = writer.string("start");
        writer.write(&Record {
            at_us: *skew,
            request: 0,
            manager: 0,
            event: Some(Event::ProgramEvent(ProgramEvent { name })),
        })?;
        writers.push(writer);
    }
    let mut next_request = vec![0u64; writers.len()];
    let mut due: BinaryHeap<Reverse<(u64, u64, Step, Story)>> = BinaryHeap::new();
    let (mut clients, mut arrival, mut order) = (0, 0.0, 0);
    while clients < plan.requests || !due.is_empty() {
        let now = due.peek().map_or(u64::MAX, |Reverse((at, ..))| *at);
        if clients < plan.requests && arrival as u64 <= now {
            clients += 1;
            let drawn = rng.rand_float();
            let class = usize::from(drawn > 0.7) + usize::from(drawn > 0.95);
            // The first tenants ask for more than the last.
            let tenant = (rng.rand_float().powi(2) * f64::from(plan.tenants)) as u32;
            let manager = rng.rand_range(0..writers.len() as u64) as usize;
            let story =
                Story { client: clients, class, tenant, client_attempt: 1, manager, request: 0, engine: 0 };
            order += 1;
            due.push(Reverse((arrival as u64, order, Step::RequestReceived, story)));
            arrival += -(1.0 - rng.rand_float()).ln() * EVERY_US;
            continue;
        }
        let Some(Reverse((at, _, step, mut story))) = due.pop() else { break };
        let manager = story.manager;
        let (writer, mine) = (&mut writers[manager], at as i64 + plan.skews_us[manager]);
        let mut later = |after: f64, step: Step, story: Story| {
            order += 1;
            due.push(Reverse((at + after.max(1.0) as u64, order, step, story)));
        };
        match step {
            Step::RequestReceived => {
                next_request[manager] += 1;
                story.request = next_request[manager];
                let load = CLASSES[story.class].0 == "load";
                let taken = RequestReceived {
                    budget_us: 20_000_000,
                    statement_bytes: 40 + rng.rand_range(0..400) as u32,
                    client_attempt: story.client_attempt,
                    class: writer.string(CLASSES[story.class].0),
                    tenant: writer.string(&format!("council-{}", story.tenant)),
                    name: writer.string(&format!("c{:x}-{}", story.client, story.client_attempt)),
                    key: if load { writer.string(&format!("k{:x}", story.client)) } else { 0 },
                    frontend: writer.string("http"),
                };
                writer.write(&Record {
                    at_us: mine,
                    request: story.request,
                    manager: 0,
                    event: Some(Event::RequestReceived(taken)),
                })?;
                let waits = rng.rand_float() < 0.2;
                later(
                    if waits { 20.0 } else { 50.0 },
                    if waits { Step::RequestQueued } else { Step::AttemptDispatched(0) },
                    story,
                );
            }
            Step::RequestQueued => {
                let reason = writer.string("no_room");
                writer.write(&Record {
                    at_us: mine,
                    request: story.request,
                    manager: 0,
                    event: Some(Event::RequestQueued(RequestQueued { reason })),
                })?;
                let wait = -(1.0 - rng.rand_float()).ln() * 200_000.0;
                later(wait, Step::AttemptDispatched(0), story);
            }
            Step::AttemptDispatched(0) if rng.rand_float() < REFUSED => {
                let (end, reason) = (writer.string("refused"), writer.string("no_time"));
                // Half of them may come back at once.
                let wait = if rng.rand_float() < 0.5 { 0.0 } else { 500_000.0 };
                let answer = Response { retry_after_us: wait as u64, bytes: 0, end, reason };
                writer.write(&Record {
                    at_us: mine,
                    request: story.request,
                    manager: 0,
                    event: Some(Event::Response(answer)),
                })?;
                if story.client_attempt < MOST_TRIES {
                    story.client_attempt += 1;
                    story.manager = rng.rand_range(0..plan.skews_us.len() as u64) as usize;
                    // The answer travels to the client, and the next try to a manager.
                    let way = 300.0 - (1.0 - rng.rand_float()).ln() * 300.0;
                    later(wait + way, Step::RequestReceived, story);
                }
            }
            Step::AttemptDispatched(attempt) => {
                story.engine = rng.rand_range(0..ENGINES);
                let other = (story.engine + 1 + rng.rand_range(0..ENGINES - 1)) % ENGINES;
                let weight = rng.rand_float() as f32;
                let mut known = |number: u64, weight: f32| EngineSnapshot {
                    number,
                    own_in_flight: 3,
                    other_in_flight: 1.5,
                    slowdown: 1.0,
                    weight,
                    engine: writer.string(&format!("e{number}")),
                };
                let (picked, other) = (Some(known(story.engine, weight)), Some(known(other, weight + 0.1)));
                let decision =
                    Decision { selected: picked, alternative: other, reason: writer.string("lighter") };
                let request = story.request;
                writer.write(&Record {
                    at_us: mine,
                    request,
                    manager: 0,
                    event: Some(Event::Decision(decision)),
                })?;
                let sent =
                    AttemptDispatched { attempt, engine: writer.string(&format!("e{}", story.engine)) };
                writer.write(&Record {
                    at_us: mine,
                    request,
                    manager: 0,
                    event: Some(Event::AttemptDispatched(sent)),
                })?;
                let took = -(1.0 - rng.rand_float()).ln() * CLASSES[story.class].1;
                later(took.max(300.0), Step::AttemptEnded(attempt), story);
            }
            Step::AttemptEnded(attempt) => {
                let lost = rng.rand_float() < LOST;
                let outcome = writer.string(if lost { "ConnectionLost" } else { "Served" });
                let engine = writer.string(&format!("e{}", story.engine));
                let ended = AttemptEnded { attempt, work_us: 1000, outcome, engine };
                let request = story.request;
                writer.write(&Record {
                    at_us: mine,
                    request,
                    manager: 0,
                    event: Some(Event::AttemptEnded(ended)),
                })?;
                if lost && attempt == 0 {
                    later(200.0, Step::AttemptDispatched(1), story);
                    continue;
                }
                let end = writer.string(if lost { "failed" } else { "served" });
                let answer = Response { end, bytes: 900, ..Response::default() };
                writer.write(&Record {
                    at_us: mine,
                    request,
                    manager: 0,
                    event: Some(Event::Response(answer)),
                })?;
            }
        }
    }
    for (mut writer, skew) in writers.into_iter().zip(&plan.skews_us) {
        let name = writer.string("stop");
        let at_us = arrival as i64 + 60_000_000 + skew;
        writer.write(&Record {
            at_us,
            request: 0,
            manager: 0,
            event: Some(Event::ProgramEvent(ProgramEvent { name })),
        })?;
        writer.finish()?;
    }
    Ok(())
}
