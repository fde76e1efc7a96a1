//! Benchmarks of the time that the core and the decision module spend on a request, from its arrival to its final
//! answer, at several numbers of tenants, engines and queued requests. Time is virtual: requests arrive at a fixed rate
//! and engines answer after a fixed time. Only the time inside the core is measured.
//!
//! `cargo bench --bench core` prints each figure. `docs/tenants.md` lists them as ratios of one run.

use criterion::{Criterion, criterion_group, criterion_main};
use sanddyke::clock::Micros;
use sanddyke::core::{
    AttemptEvent, AttemptId, Command, ConnectionEnd, Core, Engine, EngineListUpdate, HealthCheckResult,
    IncomingRequest, Input, Table, TenantUpdate,
};
use sanddyke::decision::{EngineState, LoadReport};
use sanddyke_tenancy::{Generation, State, Tenant, TenantId, TenantSpec};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"allowed":{"attemptsCap":3,"cancel":true,"probes":true,"maxRetryAfterMs":2000},
    "classes":[{"deadlineMs":4000,"idempotency":"repeatable","name":"lookup","targetMs":900,"worth":1},
               {"deadlineMs":9000,"idempotency":"repeatable","name":"report","targetMs":3000,"worth":1}],
    "discovery":"pushed","models":["std"],"replicasOfMe":1,
    "report":{"columns":["util","queue","x0","x1"]},"safety":{"coldFrom":0.33,"overloadFactor":2,
    "tipAfterMs":2000,"warmUpMs":15000},"stepMs":5,"familyInfo":{"kindCores":[8],"tellsEveryMs":500}}"#;

/// Time between two requests; a thousand arrive each second.
const ARRIVAL_INTERVAL_US: i64 = 1000;

#[derive(Debug, Clone, Copy)]
struct Scenario {
    tenants: usize,
    sending: usize,
    engines: usize,
    /// Whether more requests arrive than the engines can serve, so that queues form.
    overloaded: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Answer(AttemptId),
    HealthCheck { engine: u64 },
}

struct Simulation {
    core: Core,
    scenario: Scenario,
    service: i64,
    now: i64,
    next: u64,
    due: BinaryHeap<Reverse<(i64, u64, Due)>>,
    count: u64,
    out: Vec<Command>,
    inside: Duration,
    statement: Arc<str>,
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let service_settings = sanddyke::settings::parse(SETTINGS).expect("good settings");
        // The load is one and a half times the threads of the engines, or a hundredth of them.
        let threads = scenario.engines as i64 * 10;
        let service = if scenario.overloaded {
            threads * 3 / 2 * ARRIVAL_INTERVAL_US
        } else {
            threads / 100 * ARRIVAL_INTERVAL_US + 2 * ARRIVAL_INTERVAL_US
        };
        let mut simulation = Simulation {
            core: Core::new(service_settings, 100_000, 1, Micros(0)).with_tenant_store(),
            scenario,
            service,
            now: 1_000_000,
            next: 0,
            due: BinaryHeap::new(),
            count: 0,
            out: Vec::new(),
            inside: Duration::ZERO,
            statement: "SELECT 1".into(),
        };
        let engine = |number: usize| Engine {
            name: format!("e{number}"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            zone: "a".to_owned(),
            kind: "std".to_owned(),
            cell: None,
            state: EngineState::Ready,
            weight: 1.0,
            started_at: None,
        };
        simulation
            .handle(Input::Engines(EngineListUpdate::Initial((0..scenario.engines).map(engine).collect())));
        let tenant = |number: usize| TenantUpdate::Set {
            tenant: Box::new(Tenant {
                id: TenantId(number as u64 + 1),
                name: format!("t{number}"),
                spec: TenantSpec::default(),
                state: State::Active,
                generation: Generation(1),
            }),
            share: 1.0 / scenario.tenants as f64,
            group: None,
        };
        simulation.handle(Input::Tenants((0..scenario.tenants).map(tenant).collect()));
        simulation.run(8_000); // until queues have formed and windows are full
        simulation
    }

    fn handle(&mut self, input: Input) {
        let began = Instant::now();
        self.core.handle(Micros(self.now), input, &mut self.out);
        self.inside += began.elapsed();
        for command in self.out.drain(..) {
            self.count += 1;
            match command {
                Command::StartAttempt { attempt, .. } => {
                    let due = Due::Answer(attempt);
                    self.due.push(Reverse((self.now + self.service, self.count, due)));
                }
                Command::HealthCheck { engine } => {
                    self.due.push(Reverse((self.now + 500, self.count, Due::HealthCheck { engine })));
                }
                other => drop(black_box(other)),
            }
        }
    }

    /// Simulates this many arrivals, and returns the time spent inside the core.
    fn run(&mut self, requests: u64) -> Duration {
        self.inside = Duration::ZERO;
        for _ in 0..requests {
            let at = self.now + ARRIVAL_INTERVAL_US;
            while let Some(next) = self.next_due().filter(|next| *next <= at) {
                self.now = self.now.max(next);
                self.handle_next_due();
            }
            self.now = at;
            self.next += 1;
            let arrival = IncomingRequest {
                id: self.next,
                client_request_id: format!("r{}", self.next),
                class: if self.next.is_multiple_of(2) { "lookup" } else { "report" }.to_owned(),
                tenant: Some(format!("t{}", self.next as usize % self.scenario.sending)),
                idempotency_key: None,
                statement: self.statement.clone(),
                time_budget: Micros(8_000_000),
            };
            self.handle(Input::RequestReceived(arrival));
        }
        self.inside
    }

    fn next_due(&self) -> Option<i64> {
        let own_due = self.due.peek().map(|Reverse((at, ..))| *at);
        let core_due = self.core.next_wake().map(|at| at.0);
        own_due.into_iter().chain(core_due).min()
    }

    fn handle_next_due(&mut self) {
        if self.due.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
            let Some(Reverse((_, _, due))) = self.due.pop() else { return };
            let report = Some(LoadReport { busy: Some(0.9), ..LoadReport::default() });
            let input = match due {
                Due::Answer(attempt) => {
                    let event = AttemptEvent::Served { table: Table::default(), usage: None, report };
                    Input::Attempt { attempt, event }
                }
                Due::HealthCheck { engine } => Input::HealthChecked(HealthCheckResult {
                    engine,
                    end: ConnectionEnd::Answered,
                    report,
                    elapsed: Micros(500),
                }),
            };
            return self.handle(input);
        }
        self.handle(Input::Tick);
    }
}

fn scenarios(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    group.sample_size(10).measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(200));
    for overloaded in [false, true] {
        for (tenants, sending, engines) in
            [(3, 3, 8), (100, 100, 8), (10_000, 3, 8), (10_000, 100, 8), (10_000, 10_000, 8), (3, 3, 1024)]
        {
            let scenario = Scenario { tenants, sending, engines, overloaded };
            let load = if overloaded { "standing" } else { "idle" };
            let mut simulation = Simulation::new(scenario);
            group.bench_function(
                format!("{load}/{tenants}-tenants-{sending}-send/{engines}-engines"),
                |bencher| {
                    bencher.iter_custom(|requests| simulation.run(requests));
                },
            );
        }
    }
    group.finish();
}

criterion_group!(benches, scenarios);
criterion_main!(benches);
