//! Discovery of the engines: the list in the configuration at the start, then the name service, polled over DNS.
//!
//! Each query is for the SRV records of the configured service. A response lists all engines: the target's labels are
//! the engine's name and zone, its A record the address, its TXT records kind, cell and start time, and the SOA serial
//! numbers the list. Only changes go to the core.

pub mod dns;
mod endpoint_list;
mod queries;

pub use endpoint_list::EngineList;

use crate::clock::Clock;
use crate::core::{Engine, EngineListUpdate, Input};
use crate::decision::EngineState;
use crate::service::{ServiceEnded, ServiceHandle};
use queries::Queries;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time between two queries. An event counts as announced 1.5 s after it happened at the latest, and a draining engine
/// may be sent work for 0.5 s more: even two lost responses must not take that long.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The longest response, with some bytes to spare.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// After this many failures in a row the queries go out from another socket: on the way of one socket responses may be
/// lost for good, and an event must be known 1.5 s after it happened.
const FAILURES_BEFORE_NEW_SOCKET: u32 = 3;
/// A failure is logged again after this many in a row.
const FAILURES_PER_WARNING: u32 = 25;
/// SRV weights are ten times the engine's relative size.
const SRV_WEIGHT_UNIT: f64 = 10.0;

/// Why a response of the name service could not be used.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// Not a response, or not DNS.
    #[error("an answer that can't be read")]
    Unreadable,
    /// Cut short: it does not list all engines.
    #[error("an answer that is cut short")]
    Truncated,
    /// The name service answered with an error code (RFC 1035, section 4.1.1).
    #[error("the name service answered with code {0}")]
    Code(u8),
    /// A record that an engine needs is missing.
    #[error("an engine without its {0}")]
    Missing(&'static str),
}

/// Why a query has brought no list.
#[derive(Debug, Error)]
enum QueryError {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("no answer")]
    NoResponse,
    #[error("{0}")]
    Discovery(#[from] DiscoveryError),
}

/// What to discover, by the configuration.
#[derive(Debug)]
pub struct DiscoveryTarget {
    /// The name service; without one, the configured list stays.
    pub resolver: Option<SocketAddr>,
    /// The name to query.
    pub service: String,
    /// The list as the configuration has it.
    pub listed: EngineList,
}

/// A complete list as the name service reported it.
struct ListedEngines {
    serial: u32,
    engines: Vec<Engine>,
}

/// Polls the name service until the service ends. A changed target takes effect at once; the list and its serial go on.
pub async fn run(
    mut target: watch::Receiver<DiscoveryTarget>,
    handle: ServiceHandle,
    clock: Clock,
    seed: u64,
) {
    let mut list = target.borrow_and_update().listed.clone();
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
        let changed = list.update_from(&target.borrow_and_update().listed);
        if notify(&handle, changed).await.is_err() {
            return;
        }
    }
}

/// Notifies the core of the engines that have changed.
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
    /// Polls again and again; returns only once the service has ended.
    async fn poll(&mut self, resolver: Option<SocketAddr>) -> ServiceEnded {
        let Some(resolver) = resolver else { return std::future::pending().await };
        let mut buffer = vec![0; MAX_RESPONSE_BYTES];
        let mut failures = Failures::default();
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
                    if failures.count(&error) {
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
        queries: &mut Option<Queries>,
        buffer: &mut [u8],
        deadline: Instant,
    ) -> Result<ListedEngines, QueryError> {
        let id = (self.rng.rand_u32() & 0xffff) as u16;
        let queries = match queries {
            Some(queries) => queries,
            None => queries.insert(Queries::connect(resolver).await?),
        };
        queries.send(self.service, id).await?;
        let response = queries.response(buffer, deadline).await?;
        Ok(listed_engines(&response, self.clock)?)
    }
}

/// Queries in a row that have failed.
#[derive(Default)]
struct Failures(u32);

impl Failures {
    fn reset(&mut self) {
        if self.0 >= FAILURES_PER_WARNING {
            log::info!("name service: answers again");
        }
        self.0 = 0;
    }

    /// Counts and logs a failure; true where the next query needs another socket.
    fn count(&mut self, error: &QueryError) -> bool {
        self.0 += 1;
        match self.0 % FAILURES_PER_WARNING {
            1 => log::warn!("name service: {error}"),
            _ => log::debug!("name service: {error}"),
        }
        self.0.is_multiple_of(FAILURES_BEFORE_NEW_SOCKET)
    }
}

/// The engines of a response.
fn listed_engines(response: &dns::Response, clock: &Clock) -> Result<ListedEngines, DiscoveryError> {
    let mut engines = Vec::with_capacity(response.services.len());
    for service in &response.services {
        engines.push(listed_engine(service, response, clock)?);
    }
    let serial = response.serial.ok_or(DiscoveryError::Missing("serial"))?;
    Ok(ListedEngines { serial, engines })
}

fn listed_engine(
    service: &dns::Service,
    response: &dns::Response,
    clock: &Clock,
) -> Result<Engine, DiscoveryError> {
    let mut labels = service.target.split('.');
    let name = labels.next().filter(|name| !name.is_empty()).ok_or(DiscoveryError::Missing("name"))?;
    let zone = labels.next().ok_or(DiscoveryError::Missing("zone"))?;
    let address = response.addresses.get(&service.target).ok_or(DiscoveryError::Missing("address"))?;
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
