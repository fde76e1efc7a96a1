//! Discovery of the engines: starts with the list in the configuration, then polls the name service over DNS.
//!
//! Each query requests the SRV records of the configured service. A response lists all engines. The first two labels of
//! an SRV target are the engine's name and zone, its A record is the address, and its TXT records hold kind, cell and
//! start time. The SOA serial is the version of the list. The core receives only the engines that changed.

pub mod dns;
mod endpoint_list;
mod queries;

pub use endpoint_list::EngineList;

use crate::clock::Clock;
use crate::core::{Engine, EngineListUpdate, Input};
use crate::decision::EngineState;
use crate::service::{ServiceEnded, ServiceHandle};
use queries::QuerySocket;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time between two queries. An event counts as announced 1.5 s after it happened at the latest, and a draining engine
/// may receive work for 0.5 s more. Two lost responses in a row must fit into that time.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Upper limit of a response. It is above the longest response that the name service sends.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// After this many consecutive failures the queries are sent from a new socket. All responses to one socket may be lost
/// on the network path, and an event must be known 1.5 s after it happened.
const FAILURES_BEFORE_NEW_SOCKET: u32 = 3;
/// Of consecutive failures, the first of each group of this many is logged as a warning, the others at debug level.
const FAILURES_PER_WARNING: u32 = 25;
/// SRV weight of an engine of relative size 1.
const SRV_WEIGHT_UNIT: f64 = 10.0;

/// Why a response of the name service could not be used.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The message is not DNS, or is not a response.
    #[error("response is not a valid DNS response")]
    Malformed,
    /// The truncation flag is set, so the response does not list all engines.
    #[error("response is truncated")]
    Truncated,
    /// The response has an error code (RFC 1035, section 4.1.1).
    #[error("response has error code {0}")]
    ErrorCode(u8),
    /// A record or label that the list or an engine needs is missing; the value says which.
    #[error("response has no {0}")]
    Missing(&'static str),
}

/// Why a query returned no list.
#[derive(Debug, Error)]
enum QueryError {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("no response within {} ms", POLL_INTERVAL.as_millis())]
    NoResponse,
    #[error("{0}")]
    Discovery(#[from] DiscoveryError),
}

/// What the configuration says about discovery. A reload replaces it.
#[derive(Debug)]
pub struct DiscoveryTarget {
    /// Address of the name service. Without one, the configured list is used unchanged.
    pub resolver: Option<SocketAddr>,
    /// DNS name whose SRV records are queried.
    pub service: String,
    /// The list in the configuration.
    pub configured_engines: EngineList,
}

/// The complete list of one response.
struct ListedEngines {
    serial: u32,
    engines: Vec<Engine>,
}

/// Polls the name service until this program's service ends. A changed target takes effect at once. The current list
/// and its serial are kept then.
pub async fn run(
    mut target: watch::Receiver<DiscoveryTarget>,
    handle: ServiceHandle,
    clock: Clock,
    seed: u64,
) {
    let mut list = target.borrow_and_update().configured_engines.clone();
    let mut rng = oorandom::Rand32::new(seed);
    loop {
        let (resolver, service) = {
            let target = target.borrow_and_update();
            (target.resolver, target.service.clone())
        };
        let mut poller =
            Poller { service: &service, list: &mut list, handle: &handle, clock: &clock, rng: &mut rng };
        let target_changed = tokio::select! {
            changed = target.changed() => changed.is_ok(),
            ServiceEnded = poller.poll(resolver) => false,
        };
        if !target_changed {
            return;
        }
        let changed = list.update_from(&target.borrow_and_update().configured_engines);
        if notify(&handle, changed).await.is_err() {
            return;
        }
    }
}

/// Notifies the core of changed engines.
async fn notify(handle: &ServiceHandle, changed: Vec<Engine>) -> Result<(), ServiceEnded> {
    if changed.is_empty() {
        return Ok(());
    }
    handle.notify(Input::Engines(EngineListUpdate::Changed(changed))).await
}

/// Polls one name service.
struct Poller<'a> {
    service: &'a str,
    list: &'a mut EngineList,
    handle: &'a ServiceHandle,
    clock: &'a Clock,
    rng: &'a mut oorandom::Rand32,
}

impl Poller<'_> {
    /// Polls at [`POLL_INTERVAL`]. Returns only once this program's service has ended.
    async fn poll(&mut self, resolver: Option<SocketAddr>) -> ServiceEnded {
        let Some(resolver) = resolver else { return std::future::pending().await };
        let mut buffer = vec![0; MAX_RESPONSE_BYTES];
        let mut failures = ConsecutiveFailures::default();
        let mut queries = None;
        loop {
            let deadline = Instant::now() + POLL_INTERVAL;
            match self.query(resolver, &mut queries, &mut buffer, deadline).await {
                Ok(listed) => {
                    failures.reset();
                    let changed = self.list.update(listed.serial, listed.engines);
                    if let Err(ended) = notify(self.handle, changed).await {
                        return ended;
                    }
                }
                Err(error) => {
                    if failures.record(&error) {
                        queries = None;
                    }
                }
            }
            tokio::time::sleep_until(deadline).await;
        }
    }

    async fn query(
        &mut self,
        resolver: SocketAddr,
        queries: &mut Option<QuerySocket>,
        buffer: &mut [u8],
        deadline: Instant,
    ) -> Result<ListedEngines, QueryError> {
        let id = (self.rng.rand_u32() & 0xffff) as u16;
        let queries = match queries {
            Some(queries) => queries,
            None => queries.insert(QuerySocket::connect(resolver).await?),
        };
        queries.send(self.service, id).await?;
        let response = queries.response(buffer, deadline).await?;
        Ok(listed_engines(&response, self.clock)?)
    }
}

/// Number of consecutive queries that failed.
#[derive(Default)]
struct ConsecutiveFailures(u32);

impl ConsecutiveFailures {
    fn reset(&mut self) {
        if self.0 >= FAILURES_PER_WARNING {
            log::info!(count = self.0; "name service: responds again after failed queries");
        }
        self.0 = 0;
    }

    /// Counts and logs a failure. Returns true if the next query has to use a new socket.
    fn record(&mut self, error: &QueryError) -> bool {
        self.0 += 1;
        match self.0 % FAILURES_PER_WARNING {
            1 => log::warn!(error:%, count = self.0; "name service: query failed"),
            _ => log::debug!(error:%, count = self.0; "name service: query failed"),
        }
        self.0.is_multiple_of(FAILURES_BEFORE_NEW_SOCKET)
    }
}

/// Returns the engines that a response lists, and the serial of the list.
fn listed_engines(response: &dns::Response, clock: &Clock) -> Result<ListedEngines, DiscoveryError> {
    let mut engines = Vec::with_capacity(response.srv_records.len());
    for service in &response.srv_records {
        engines.push(listed_engine(service, response, clock)?);
    }
    let serial = response.serial.ok_or(DiscoveryError::Missing("SOA record with the serial of the list"))?;
    Ok(ListedEngines { serial, engines })
}

fn listed_engine(
    service: &dns::SrvRecord,
    response: &dns::Response,
    clock: &Clock,
) -> Result<Engine, DiscoveryError> {
    let mut labels = service.target.split('.');
    let name = labels
        .next()
        .filter(|name| !name.is_empty())
        .ok_or(DiscoveryError::Missing("engine name in an SRV target"))?;
    let zone = labels.next().ok_or(DiscoveryError::Missing("zone in an SRV target"))?;
    let address = response
        .addresses
        .get(&service.target)
        .ok_or(DiscoveryError::Missing("A record for an SRV target"))?;
    let texts = response.texts.get(&service.target).map_or(&[][..], Vec::as_slice);
    let text = |key: &str| texts.iter().find_map(|text| text.strip_prefix(key)?.strip_prefix('='));
    let started_unix_ms: i64 = text("started").and_then(|value| value.parse().ok()).unwrap_or(0);
    Ok(Engine {
        name: name.to_owned(),
        address: SocketAddr::from((Ipv4Addr::from(*address), service.port)),
        zone: zone.to_owned(),
        kind: text("kind").unwrap_or("").to_owned(),
        cell: text("cell").and_then(|value| value.parse().ok()),
        state: if service.priority == 0 { EngineState::Ready } else { EngineState::Draining },
        weight: f64::from(service.weight) / SRV_WEIGHT_UNIT,
        started_at: (started_unix_ms != 0).then(|| clock.from_unix_ms(started_unix_ms)),
    })
}

#[cfg(test)]
mod tests;
