//! Discovery of the engines: starts with the list in the configuration, then polls the name service over DNS.
//!
//! Queries are sent at a fixed interval. Each response is used when it arrives, however late: the serial of its list
//! shows which list is the newest.
//!
//! Each query requests the SRV records of the configured service. A response lists all engines. The first two labels of
//! an SRV target are the engine's name and zone, its A record is the address, and its TXT records hold kind, cell and
//! start time. The SOA serial is the version of the list. The core receives only the engines that changed.

pub mod dns;
mod endpoint_list;
mod poll_log;
mod query_client;
mod query_paths;

pub use endpoint_list::EngineList;

use crate::clock::Clock;
use crate::core::{Engine, EngineListUpdate, Input};
use crate::decision::EngineState;
use crate::service::{ServiceEnded, ServiceHandle};
use poll_log::PollLog;
use query_client::{QueryClient, ReceivedResponse};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Interval, MissedTickBehavior};

/// Time between two queries. An event counts as announced 1.5 s after it happened at the latest, and a draining engine
/// may receive work for 0.5 s more. Two lost responses in a row must fit into that time.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
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
    Socket(#[from] io::Error),
    #[error("no response within {} ms", POLL_INTERVAL.as_millis())]
    NoResponse,
    #[error("{0}")]
    Discovery(#[from] DiscoveryError),
}

/// What the configuration says about discovery. A reload replaces it.
#[derive(Debug, Clone)]
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
    let mut poller = Poller::new(&target.borrow_and_update(), handle, clock, seed);
    loop {
        // What an event leads to is done outside of this wait, so that a new target does not interrupt it.
        let event = poller.next_event(&mut target).await;
        let handled = match event {
            PollEvent::QueryDue => {
                poller.send_query().await;
                Ok(())
            }
            PollEvent::Received(received) => poller.handle_received(received).await,
            PollEvent::TargetChanged => {
                let new_target = target.borrow_and_update().clone();
                poller.set_target(&new_target).await
            }
            PollEvent::TargetClosed => Err(ServiceEnded),
        };
        if handled.is_err() {
            return;
        }
    }
}

/// What a poller waits for.
enum PollEvent {
    QueryDue,
    Received(Result<ReceivedResponse, QueryError>),
    TargetChanged,
    /// No target will follow: the program ends.
    TargetClosed,
}

/// Polls one name service, and notifies the core of changed engines.
struct Poller {
    list: EngineList,
    handle: ServiceHandle,
    clock: Clock,
    rng: oorandom::Rand32,
    /// `None` without a name service.
    client: Option<QueryClient>,
    interval: Interval,
    /// Whether the last query was followed by no usable response so far.
    response_due: bool,
    /// The last error since the last query was sent.
    last_error: Option<QueryError>,
    log: PollLog,
}

impl Poller {
    fn new(target: &DiscoveryTarget, handle: ServiceHandle, clock: Clock, seed: u64) -> Poller {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Poller {
            list: target.configured_engines.clone(),
            handle,
            clock,
            rng: oorandom::Rand32::new(seed),
            client: target.resolver.map(|resolver| QueryClient::new(resolver, &target.service, clock)),
            interval,
            response_due: false,
            last_error: None,
            log: PollLog::default(),
        }
    }

    async fn next_event(&mut self, target: &mut watch::Receiver<DiscoveryTarget>) -> PollEvent {
        let Some(client) = &mut self.client else { return target_event(target).await };
        tokio::select! {
            biased;
            event = target_event(target) => event,
            _ = self.interval.tick() => PollEvent::QueryDue,
            received = client.receive() => PollEvent::Received(received),
        }
    }

    async fn send_query(&mut self) {
        let Some(client) = &mut self.client else { return };
        if self.response_due {
            self.log.failed(&self.last_error.take().unwrap_or(QueryError::NoResponse));
        }
        self.response_due = true;
        let id = (self.rng.rand_u32() & 0xffff) as u16;
        let sent = tokio::time::timeout(POLL_INTERVAL, client.send(id)).await;
        self.last_error = sent.unwrap_or_else(|elapsed| Err(io::Error::from(elapsed).into())).err();
    }

    async fn handle_received(
        &mut self,
        received: Result<ReceivedResponse, QueryError>,
    ) -> Result<(), ServiceEnded> {
        let listed = received.and_then(|received| {
            let listed = listed_engines(&received.response, &self.clock)?;
            self.log.responded(received.delay);
            Ok(listed)
        });
        match listed {
            Ok(listed) => {
                self.response_due = false;
                let changed = self.list.update(listed.serial, listed.engines);
                self.notify(changed).await
            }
            Err(error) => {
                self.last_error = Some(error);
                Ok(())
            }
        }
    }

    /// Applies the configured list of a new target, and queries its name service at once. Open queries to the same name
    /// service stay open.
    async fn set_target(&mut self, target: &DiscoveryTarget) -> Result<(), ServiceEnded> {
        let same_client =
            |client: &QueryClient, resolver: SocketAddr| client.queries(resolver, &target.service);
        self.client = target.resolver.map(|resolver| match self.client.take() {
            Some(client) if same_client(&client, resolver) => client,
            _ => {
                self.response_due = false;
                QueryClient::new(resolver, &target.service, self.clock)
            }
        });
        self.interval.reset_immediately();
        let changed = self.list.update_from(&target.configured_engines);
        self.notify(changed).await
    }

    /// Notifies the core of changed engines.
    async fn notify(&self, changed: Vec<Engine>) -> Result<(), ServiceEnded> {
        if changed.is_empty() {
            return Ok(());
        }
        self.handle.notify(Input::Engines(EngineListUpdate::Changed(changed))).await
    }
}

async fn target_event(target: &mut watch::Receiver<DiscoveryTarget>) -> PollEvent {
    match target.changed().await {
        Ok(()) => PollEvent::TargetChanged,
        Err(_) => PollEvent::TargetClosed,
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
