//! The scenario of a seed: the numbers of managers and engines, and their settings.

use super::history::Effect;
use crate::name_server::ResponseDelay;
use oorandom::Rand64;
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Second byte of the managers' loopback addresses.
const ADDRESS_BLOCK: u8 = 79;
const CLIENT_PORT: u16 = 8080;
const OPERATIONS_PORT: u16 = 19000;
/// The number of managers: at least the first value, below the second.
const MANAGER_COUNT_RANGE: [u64; 2] = [10, 15];
/// Number of loopback addresses reserved for each scenario.
const ADDRESSES_PER_SCENARIO: u8 = 16;
/// The number of engines: at least the first value, below the second.
const ENGINE_COUNT_RANGE: [u64; 2] = [5, 9];
/// Intervals of progress notes; with 0, engines send none.
const PROGRESS_INTERVALS_MS: [u64; 4] = [300, 500, 500, 0];
/// Factors on the deadlines of all classes, one of which is sampled for each scenario.
const DEADLINE_FACTORS: [u64; 3] = [1, 2, 3];
const DEDUPLICATION_WINDOW_MS: u64 = 4000;
/// Shortest and longest delays of the name service's responses, one of which is sampled for each scenario. A change of the
/// list counts as notified 1.5 s after it happened, so a response that takes one second must be used.
const NAME_SERVICE_DELAYS_MS: [[u64; 2]; 3] = [[0, 0], [0, 1000], [1000, 1000]];

/// The number of the next scenario of this process. Each scenario has its own addresses.
static NEXT_SCENARIO: AtomicU8 = AtomicU8::new(0);

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct Class {
    pub(super) name: &'static str,
    pub(super) effect: Effect,
    pub(super) deadline_ms: u64,
    /// Upper bound of a request's execution time on the engine.
    pub(super) max_work_ms: u64,
}

/// The numbers of managers and engines, and the classes of requests, as sampled from a seed.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(super) managers: usize,
    pub(super) engines: usize,
    pub(super) progress_interval: Option<Duration>,
    pub(super) classes: [Class; 4],
    pub(super) name_service_delay: ResponseDelay,
    seed: u64,
    scenario_number: u8,
}

/// The endpoint list in the configuration of a starting manager. `draining` has the numbers of the draining engines.
pub(super) fn endpoint_list(engines: &[SocketAddr], draining: &[usize]) -> Value {
    let endpoints = engines.iter().enumerate().map(|(number, address)| {
        let status = if draining.contains(&number) { "draining" } else { "ready" };
        json!({"name": format!("e{number}"), "address": address.to_string(), "zone": "a", "type": "std",
               "group": 0, "status": status, "weight": 1.0, "since_ms": 0})
    });
    let endpoints: Vec<Value> = endpoints.collect();
    json!({"rev": 1, "notices": [{"rev": 1, "pool": {"snapshot": true, "endpoints": endpoints}}]})
}

impl Scenario {
    pub(super) fn from_seed(seed: u64) -> Scenario {
        let mut rng = Rand64::new(u128::from(seed));
        let interval_ms =
            PROGRESS_INTERVALS_MS[rng.rand_range(0..PROGRESS_INTERVALS_MS.len() as u64) as usize];
        let factor = DEADLINE_FACTORS[rng.rand_range(0..DEADLINE_FACTORS.len() as u64) as usize];
        let keyed = Effect::Keyed { window_ms: DEDUPLICATION_WINDOW_MS };
        let class = |name, effect, deadline_ms, max_work_ms| Class {
            name,
            effect,
            deadline_ms: deadline_ms * factor,
            max_work_ms,
        };
        // Sampled from the seed alone, so that the other values of a seed are those of earlier versions.
        let [shortest, longest] =
            NAME_SERVICE_DELAYS_MS[(seed % NAME_SERVICE_DELAYS_MS.len() as u64) as usize];
        Scenario {
            name_service_delay: ResponseDelay {
                shortest: Duration::from_millis(shortest),
                longest: Duration::from_millis(longest),
            },
            managers: rng.rand_range(MANAGER_COUNT_RANGE[0]..MANAGER_COUNT_RANGE[1]) as usize,
            engines: rng.rand_range(ENGINE_COUNT_RANGE[0]..ENGINE_COUNT_RANGE[1]) as usize,
            progress_interval: (interval_ms > 0).then(|| Duration::from_millis(interval_ms)),
            classes: [
                class("lookup", Effect::Repeatable, 1200, 150),
                class("report", Effect::Repeatable, 2000, 900),
                class("load", keyed, 2000, 700),
                class("post", Effect::Once, 1200, 300),
            ],
            seed,
            scenario_number: NEXT_SCENARIO.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// The time between SIGTERM and SIGKILL of a manager: the longest deadline of a class, of which at most 3 s
    /// count, and a margin.
    pub(super) fn kill_delay(&self) -> Duration {
        const MAX_COUNTED_DEADLINE_MS: u64 = 3000;
        const MARGIN_MS: u64 = 700;
        let longest_ms = self.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0);
        Duration::from_millis(longest_ms.min(MAX_COUNTED_DEADLINE_MS) + MARGIN_MS)
    }

    /// The configuration file of a manager, in the format of the platform.
    pub(super) fn configuration(&self, number: usize, engines: &[SocketAddr], resolver: SocketAddr) -> Value {
        let [process_byte, _] = (std::process::id() as u16).to_le_bytes();
        let block = self.scenario_number.wrapping_mul(ADDRESSES_PER_SCENARIO).wrapping_add(number as u8 + 1);
        let address = IpAddr::from([127, ADDRESS_BLOCK, process_byte, block]);
        json!({
            "name": format!("m{number}"),
            "listen": SocketAddr::new(address, CLIENT_PORT).to_string(),
            "ops": SocketAddr::new(address, OPERATIONS_PORT).to_string(),
            "seed": format!("{:016x}", self.seed.wrapping_add(number as u64)),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "resolver": resolver.to_string(),
            "known": endpoint_list(engines, &[]),
            "settings": self.settings(),
        })
    }

    fn settings(&self) -> Value {
        let classes = self.classes.iter().map(|class| {
            let (idempotency, window_ms) = match class.effect {
                Effect::Repeatable => ("repeatable", DEDUPLICATION_WINDOW_MS),
                Effect::Keyed { window_ms } => ("by_key", window_ms),
                Effect::Once => ("once", DEDUPLICATION_WINDOW_MS),
            };
            json!({"name": class.name, "targetMs": class.deadline_ms / 2, "deadlineMs": class.deadline_ms,
                   "idempotency": idempotency, "dedupScope": "all", "windowMs": window_ms, "worth": 1})
        });
        json!({
            "allowed": {"attemptsCap": 3, "cancel": true, "probes": true, "maxRetryAfterMs": 2000,
                        "connectTimeoutMs": 250},
            "classes": classes.collect::<Vec<_>>(),
            "discovery": "pushed", "models": ["std"], "replicasOfMe": self.managers, "stepMs": 5, "zone": "a",
            "zones": ["a"],
            "familyInfo": {"dop": [1, 1, 1, 1], "kindCores": [200], "loads": [false, false, false, false],
                           "tellsEveryMs": self.progress_interval.map_or(0, |interval| interval.as_millis() as u64)},
            "report": {"columns": ["util", "queue", "x0", "x1"]},
            "safety": {"coldFrom": 0.3, "overloadFactor": 2, "tipAfterMs": 1500, "warmUpMs": 1000},
        })
    }
}
