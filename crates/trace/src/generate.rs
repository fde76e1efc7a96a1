//! Generates synthetic traces from a seed.
//!
//! The simulated managers have clocks with different offsets. Clients whose request is rejected retry it at a random
//! manager. Requests of the class `load` have an idempotency key, by which their attempts at different managers are
//! matched.
//!
//! The same plan produces the same bytes, because the order of the random samples and of the strings determines the
//! output.

use crate::{
    AttemptDispatched, AttemptEnded, Decision, EngineSnapshot, Event, Header, ProgramEvent, Record,
    RequestQueued, RequestReceived, Response, TraceError, Writer,
};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Write;

/// Size and seed of the generated traces.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of client requests, retries not counted.
    pub requests: u64,
    /// Offset of each manager's clock from the true time (us), positive if it is ahead. Its length is the number of
    /// managers.
    pub clock_offsets_us: Vec<i64>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of tenants, named `council-0` upwards.
    pub tenants: u32,
}

/// A query class of the synthetic load.
struct Class {
    name: &'static str,
    mean_execution_us: f64,
    has_idempotency_key: bool,
}

const CLASSES: [Class; 3] = [
    Class { name: "lookup", mean_execution_us: 5_000.0, has_idempotency_key: false },
    Class { name: "report", mean_execution_us: 400_000.0, has_idempotency_key: false },
    Class { name: "load", mean_execution_us: 900_000.0, has_idempotency_key: true },
];
/// Thresholds on a uniform sample from 0 to 1. Above the first a request is a `report`, above the second a `load`.
const REPORT_ABOVE: f64 = 0.7;
const LOAD_ABOVE: f64 = 0.95;

/// Unix time at true time 0 (us).
const START_UNIX_US: i64 = 1_700_000_000_000_000;
const MEAN_INTERARRIVAL_US: f64 = 1000.0;
const ENGINES: u64 = 8;
const BUDGET_US: u64 = 20_000_000;
/// Fraction of the requests that wait in the queue, and their mean wait (us).
const QUEUED_FRACTION: f64 = 0.2;
const MEAN_QUEUE_WAIT_US: f64 = 200_000.0;
/// Time from reception to queueing, and from reception to the dispatch of a request that does not wait (us).
const QUEUE_DELAY_US: f64 = 20.0;
const DISPATCH_DELAY_US: f64 = 50.0;
/// Fraction of the requests that are rejected, and the wait before a retry that half of the rejections recommend (us).
const REJECTED_FRACTION: f64 = 0.05;
const RETRY_AFTER_US: f64 = 500_000.0;
const MAX_CLIENT_ATTEMPTS: u32 = 3;
/// Time from a rejection to the reception of the retry (us): the minimum, and the mean of the part above it.
const MIN_RETRY_LATENCY_US: f64 = 300.0;
const MEAN_EXTRA_RETRY_LATENCY_US: f64 = 300.0;
/// Fraction of the attempts whose connection is lost, and the time until the second attempt (us).
const LOST_FRACTION: f64 = 0.01;
const RETRY_DELAY_US: f64 = 200.0;
const MIN_EXECUTION_US: f64 = 300.0;
const WORK_US: u64 = 1000;
const RESULT_BYTES: u64 = 900;
/// Time from the last arrival to the end of the traces (us).
const DRAIN_US: i64 = 60_000_000;

/// The next step in the processing of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Receive,
    Queue,
    Dispatch { attempt: u32 },
    EndAttempt { attempt: u32 },
}

/// One client attempt of a request, at one manager.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    client: u64,
    /// Position in [`CLASSES`].
    class: usize,
    tenant: u32,
    client_attempt: u32,
    manager: usize,
    /// Number of the request at its manager; 0 until it is received.
    number: u64,
    /// Number of the engine that executes the current attempt.
    engine: u64,
}

/// A step and its true time. Steps are ordered by time, then by the order in which they were scheduled.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledStep {
    at_us: u64,
    sequence: u64,
    step: Step,
    request: Request,
}

/// The pending steps, earliest first.
#[derive(Default)]
struct Schedule {
    steps: BinaryHeap<Reverse<ScheduledStep>>,
    last_sequence: u64,
}

impl Schedule {
    fn add(&mut self, at_us: u64, step: Step, request: Request) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.steps.push(Reverse(ScheduledStep { at_us, sequence, step, request }));
    }

    fn add_after(&mut self, now_us: u64, delay_us: f64, step: Step, request: Request) {
        self.add(now_us + delay_us.max(1.0) as u64, step, request);
    }

    fn next_at_us(&self) -> Option<u64> {
        self.steps.peek().map(|Reverse(scheduled)| scheduled.at_us)
    }

    fn pop(&mut self) -> Option<ScheduledStep> {
        self.steps.pop().map(|Reverse(scheduled)| scheduled)
    }
}

/// Writes the trace of one manager.
struct ManagerTrace<W> {
    writer: Writer<W>,
    clock_offset_us: i64,
    last_request: u64,
}

impl<W: Write> ManagerTrace<W> {
    fn start(plan: &Plan, manager: usize, clock_offset_us: i64, out: W) -> Result<Self, TraceError> {
        let header = Header {
            program: env!("CARGO_PKG_VERSION").to_owned(),
            manager: format!("m{manager}"),
            unix_us: START_UNIX_US - clock_offset_us,
            derivation: vec![format!("generated from seed {}", plan.seed)],
            ..Header::default()
        };
        let mut trace = ManagerTrace { writer: Writer::new(out, header)?, clock_offset_us, last_request: 0 };
        let name = trace.writer.string("start");
        trace.record(0, 0, Event::ProgramEvent(ProgramEvent { name }))?;
        Ok(trace)
    }

    /// Records an event at a true time (us). `request` is 0 if the event concerns no request.
    fn record(&mut self, at_us: i64, request: u64, event: Event) -> Result<(), TraceError> {
        let at_us = at_us + self.clock_offset_us;
        self.writer.write(&Record { at_us, request, manager: 0, event: Some(event) })
    }

    fn finish(mut self, at_us: i64) -> Result<(), TraceError> {
        let name = self.writer.string("stop");
        self.record(at_us, 0, Event::ProgramEvent(ProgramEvent { name }))?;
        self.writer.finish()?;
        Ok(())
    }
}

/// Writes one trace for each manager of the plan. `open` opens the output for the manager at a position, from 0.
///
/// # Errors
/// Fails if an output cannot be opened or written.
pub fn generate<W: Write>(
    plan: &Plan,
    mut open: impl FnMut(usize) -> std::io::Result<W>,
) -> Result<(), TraceError> {
    let mut traces = Vec::new();
    for (manager, clock_offset_us) in plan.clock_offsets_us.iter().enumerate() {
        traces.push(ManagerTrace::start(plan, manager, *clock_offset_us, open(manager)?)?);
    }
    let rng = Rand64::new(plan.seed.into());
    let mut generator = Generator { plan, rng, traces, schedule: Schedule::default() };
    let last_arrival_us = generator.run()?;
    for trace in generator.traces {
        trace.finish(last_arrival_us as i64 + DRAIN_US)?;
    }
    Ok(())
}

struct Generator<'a, W> {
    plan: &'a Plan,
    rng: Rand64,
    traces: Vec<ManagerTrace<W>>,
    schedule: Schedule,
}

impl<W: Write> Generator<'_, W> {
    /// Generates all requests and their steps. Returns the time at which the next request would arrive (us).
    fn run(&mut self) -> Result<f64, TraceError> {
        let mut clients = 0;
        let mut arrival_us = 0.0;
        loop {
            let next_step_us = self.schedule.next_at_us().unwrap_or(u64::MAX);
            if clients < self.plan.requests && arrival_us as u64 <= next_step_us {
                clients += 1;
                let request = self.sample_request(clients);
                self.schedule.add(arrival_us as u64, Step::Receive, request);
                arrival_us += self.sample_exponential(MEAN_INTERARRIVAL_US);
                continue;
            }
            let Some(ScheduledStep { at_us, step, request, .. }) = self.schedule.pop() else {
                return Ok(arrival_us);
            };
            match step {
                Step::Receive => self.receive(at_us, request)?,
                Step::Queue => self.queue(at_us, request)?,
                Step::Dispatch { attempt: 0 } if self.rng.rand_float() < REJECTED_FRACTION => {
                    self.reject(at_us, request)?;
                }
                Step::Dispatch { attempt } => self.dispatch(at_us, request, attempt)?,
                Step::EndAttempt { attempt } => self.end_attempt(at_us, request, attempt)?,
            }
        }
    }

    fn sample_exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.rng.rand_float()).ln() * mean
    }

    fn sample_manager(&mut self) -> usize {
        self.rng.rand_range(0..self.plan.clock_offsets_us.len() as u64) as usize
    }

    fn sample_request(&mut self, client: u64) -> Request {
        let class_sample = self.rng.rand_float();
        let class = usize::from(class_sample > REPORT_ABOVE) + usize::from(class_sample > LOAD_ABOVE);
        // Squaring the sample gives tenants with lower numbers more requests.
        let tenant = (self.rng.rand_float().powi(2) * f64::from(self.plan.tenants)) as u32;
        let manager = self.sample_manager();
        Request { client, class, tenant, client_attempt: 1, manager, number: 0, engine: 0 }
    }

    fn receive(&mut self, at_us: u64, mut request: Request) -> Result<(), TraceError> {
        let trace = &mut self.traces[request.manager];
        trace.last_request += 1;
        request.number = trace.last_request;
        let class = &CLASSES[request.class];
        let writer = &mut trace.writer;
        let received = RequestReceived {
            budget_us: BUDGET_US,
            statement_bytes: 40 + self.rng.rand_range(0..400) as u32,
            client_attempt: request.client_attempt,
            class: writer.string(class.name),
            tenant: writer.string(&format!("council-{}", request.tenant)),
            name: writer.string(&format!("c{:x}-{}", request.client, request.client_attempt)),
            key: match class.has_idempotency_key {
                true => writer.string(&format!("k{:x}", request.client)),
                false => 0,
            },
            frontend: writer.string("http"),
        };
        trace.record(at_us as i64, request.number, Event::RequestReceived(received))?;
        if self.rng.rand_float() < QUEUED_FRACTION {
            self.schedule.add_after(at_us, QUEUE_DELAY_US, Step::Queue, request);
        } else {
            self.schedule.add_after(at_us, DISPATCH_DELAY_US, Step::Dispatch { attempt: 0 }, request);
        }
        Ok(())
    }

    fn queue(&mut self, at_us: u64, request: Request) -> Result<(), TraceError> {
        let trace = &mut self.traces[request.manager];
        let reason = trace.writer.string("no_room");
        trace.record(at_us as i64, request.number, Event::RequestQueued(RequestQueued { reason }))?;
        let wait_us = self.sample_exponential(MEAN_QUEUE_WAIT_US);
        self.schedule.add_after(at_us, wait_us, Step::Dispatch { attempt: 0 }, request);
        Ok(())
    }

    fn reject(&mut self, at_us: u64, mut request: Request) -> Result<(), TraceError> {
        let trace = &mut self.traces[request.manager];
        let end = trace.writer.string("refused");
        let reason = trace.writer.string("no_time");
        // The other half of the rejected clients may retry immediately.
        let retry_after_us = if self.rng.rand_float() < 0.5 { 0.0 } else { RETRY_AFTER_US };
        let response = Response { retry_after_us: retry_after_us as u64, bytes: 0, end, reason };
        trace.record(at_us as i64, request.number, Event::Response(response))?;
        if request.client_attempt < MAX_CLIENT_ATTEMPTS {
            request.client_attempt += 1;
            request.manager = self.sample_manager();
            let retry_latency_us =
                MIN_RETRY_LATENCY_US + self.sample_exponential(MEAN_EXTRA_RETRY_LATENCY_US);
            self.schedule.add_after(at_us, retry_after_us + retry_latency_us, Step::Receive, request);
        }
        Ok(())
    }

    fn dispatch(&mut self, at_us: u64, mut request: Request, attempt: u32) -> Result<(), TraceError> {
        request.engine = self.rng.rand_range(0..ENGINES);
        let alternative = (request.engine + 1 + self.rng.rand_range(0..ENGINES - 1)) % ENGINES;
        let weight = self.rng.rand_float() as f32;
        let trace = &mut self.traces[request.manager];
        let decision = Decision {
            selected: Some(engine_snapshot(&mut trace.writer, request.engine, weight)),
            alternative: Some(engine_snapshot(&mut trace.writer, alternative, weight + 0.1)),
            reason: trace.writer.string("lighter"),
        };
        trace.record(at_us as i64, request.number, Event::Decision(decision))?;
        let engine = trace.writer.string(&engine_name(request.engine));
        let dispatched = AttemptDispatched { attempt, engine };
        trace.record(at_us as i64, request.number, Event::AttemptDispatched(dispatched))?;
        let execution_us = self.sample_exponential(CLASSES[request.class].mean_execution_us);
        let execution_us = execution_us.max(MIN_EXECUTION_US);
        self.schedule.add_after(at_us, execution_us, Step::EndAttempt { attempt }, request);
        Ok(())
    }

    fn end_attempt(&mut self, at_us: u64, request: Request, attempt: u32) -> Result<(), TraceError> {
        let lost = self.rng.rand_float() < LOST_FRACTION;
        let trace = &mut self.traces[request.manager];
        let outcome = trace.writer.string(if lost { "ConnectionLost" } else { "Served" });
        let engine = trace.writer.string(&engine_name(request.engine));
        let ended = AttemptEnded { attempt, work_us: WORK_US, outcome, engine };
        trace.record(at_us as i64, request.number, Event::AttemptEnded(ended))?;
        if lost && attempt == 0 {
            self.schedule.add_after(at_us, RETRY_DELAY_US, Step::Dispatch { attempt: 1 }, request);
            return Ok(());
        }
        let end = trace.writer.string(if lost { "failed" } else { "served" });
        let response = Response { end, bytes: RESULT_BYTES, ..Response::default() };
        trace.record(at_us as i64, request.number, Event::Response(response))
    }
}

fn engine_name(number: u64) -> String {
    format!("e{number}")
}

fn engine_snapshot<W: Write>(writer: &mut Writer<W>, number: u64, weight: f32) -> EngineSnapshot {
    EngineSnapshot {
        number,
        own_in_flight: 3,
        other_in_flight: 1.5,
        slowdown: 1.0,
        weight,
        engine: writer.string(&engine_name(number)),
    }
}
