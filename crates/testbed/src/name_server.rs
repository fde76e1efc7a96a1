//! A DNS server on loopback (RFC 1035, RFC 2782). It serves SRV records of the engines with their addresses and TXT
//! records, and an SOA serial that every change increments. A draining engine has priority 1, a ready one 0.

use oorandom::Rand32;
use serde::Deserialize;
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, Question, ResourceRecord};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Service name of the engines' SRV records.
pub const SERVICE: &str = "_api._tcp.svc.local";
/// The DNS zone of [`SERVICE`].
const ZONE: &str = "svc.local";
/// Maximum length of a query, which is the payload of one Ethernet frame.
const MAX_QUERY_BYTES: usize = 1500;
/// Seed of the delays of responses.
const DELAY_SEED: u64 = 1;

/// State in which the name server lists an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// The engine accepts requests.
    Ready,
    /// The engine completes its requests and accepts no new ones.
    Draining,
    /// The engine is not listed.
    #[serde(rename = "gone")]
    Removed,
}

#[derive(Debug, Clone, Copy)]
struct Endpoint {
    address: SocketAddr,
    state: EndpointState,
}

#[derive(Debug)]
struct Zone {
    serial: u32,
    endpoints: Vec<Endpoint>,
}

/// How long the name server takes to respond: for each query a random time from the shortest to the longest, so that
/// responses of an uneven delay overtake each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseDelay {
    /// The shortest time.
    pub shortest: Duration,
    /// The longest time.
    pub longest: Duration,
}

impl ResponseDelay {
    fn sample(self, rng: &mut Rand32) -> Duration {
        self.shortest + (self.longest - self.shortest).mul_f32(rng.rand_float())
    }
}

/// A running name server, which stops with the runtime.
#[derive(Debug)]
pub struct NameServer {
    /// Listen address (UDP).
    pub address: SocketAddr,
    zone: Arc<Mutex<Zone>>,
    is_silent: Arc<AtomicBool>,
}

impl NameServer {
    /// Starts a name server that lists all engines as ready, and responds at once.
    ///
    /// # Errors
    /// Fails if no socket can be bound.
    pub async fn start(engines: &[SocketAddr]) -> std::io::Result<NameServer> {
        NameServer::start_slow(engines, ResponseDelay::default()).await
    }

    /// Starts a name server that lists all engines as ready, and responds late. A response has the list of the moment
    /// in which it is sent.
    ///
    /// # Errors
    /// Fails if no socket can be bound.
    pub async fn start_slow(engines: &[SocketAddr], delay: ResponseDelay) -> std::io::Result<NameServer> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let endpoint = |address: &SocketAddr| Endpoint { address: *address, state: EndpointState::Ready };
        let zone = Zone { serial: 2, endpoints: engines.iter().map(endpoint).collect() };
        let zone = Arc::new(Mutex::new(zone));
        let is_silent = Arc::<AtomicBool>::default();
        tokio::spawn(serve(Arc::new(socket), zone.clone(), is_silent.clone(), delay));
        Ok(NameServer { address, zone, is_silent })
    }

    /// Sets whether queries are left unanswered.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    /// Sets the state of the engine with this index and increments the zone's serial.
    pub fn set_state(&self, engine: usize, state: EndpointState) {
        let mut zone = self.zone.lock().unwrap_or_else(PoisonError::into_inner);
        zone.serial += 1;
        if let Some(endpoint) = zone.endpoints.get_mut(engine) {
            endpoint.state = state;
        }
    }
}

async fn serve(
    socket: Arc<UdpSocket>,
    zone: Arc<Mutex<Zone>>,
    is_silent: Arc<AtomicBool>,
    delay: ResponseDelay,
) {
    let mut rng = Rand32::new(DELAY_SEED);
    let mut buffer = [0; MAX_QUERY_BYTES];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        if is_silent.load(Ordering::Relaxed) {
            continue;
        }
        let (socket, zone, query) = (socket.clone(), zone.clone(), buffer[..length].to_vec());
        let delay = delay.sample(&mut rng);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let response = zone.lock().unwrap_or_else(PoisonError::into_inner).respond(&query);
            if let Some(response) = response {
                // The resolver repeats a query whose response was lost.
                let _ = socket.send_to(&response, from).await;
            }
        });
    }
}

impl Zone {
    /// Builds the response to a query; `None` if the query cannot be parsed or the response cannot be built.
    fn respond(&self, query: &[u8]) -> Option<Vec<u8>> {
        let query = Packet::parse(query).ok()?;
        let question: Question = query.questions.first()?.clone();
        let mut response = Packet::new_reply(query.id());
        response.set_flags(PacketFlag::AUTHORITATIVE_ANSWER);
        if question.qname.to_string() == SERVICE {
            for (number, endpoint) in self.endpoints.iter().enumerate() {
                if let IpAddr::V4(ip) = endpoint.address.ip()
                    && endpoint.state != EndpointState::Removed
                {
                    add_endpoint(&mut response, number, ip, *endpoint)?;
                }
            }
        }
        response.name_servers.push(record(ZONE, RData::SOA(self.start_of_authority()))?);
        response.questions.push(question);
        response.build_bytes_vec().ok()
    }

    fn start_of_authority(&self) -> SOA<'static> {
        SOA {
            mname: Name::new_unchecked(ZONE),
            rname: Name::new_unchecked("rig.svc.local"),
            serial: self.serial,
            refresh: 1,
            retry: 1,
            expire: 1,
            minimum: 0,
        }
    }
}

/// Adds the SRV record of an engine, and its A and TXT records. `None` if a record cannot be built.
fn add_endpoint(response: &mut Packet, number: usize, ip: Ipv4Addr, endpoint: Endpoint) -> Option<()> {
    let host = format!("e{number}.a.hosts");
    let service = SRV {
        priority: u16::from(endpoint.state == EndpointState::Draining),
        weight: 10,
        port: endpoint.address.port(),
        target: Name::new(&host).ok()?.into_owned(),
    };
    let attributes = TXT::new().with_string("kind=std").ok()?.with_string("cell=0").ok()?;
    let attributes = attributes.with_string("started=0").ok()?;
    response.answers.push(record(SERVICE, RData::SRV(service))?);
    response.additional_records.push(record(&host, RData::A(A::from(ip)))?);
    response.additional_records.push(record(&host, RData::TXT(attributes))?);
    Some(())
}

fn record(name: &str, data: RData<'static>) -> Option<ResourceRecord<'static>> {
    Some(ResourceRecord::new(Name::new(name).ok()?.into_owned(), CLASS::IN, 0, data))
}
