//! The list of engines: the events of the start, then the name service, asked again and again over DNS.

pub mod dns;

use crate::clock::Clock;
use crate::core::{Engine, EngineListUpdate, Input};
use crate::decision::EngineState;
use crate::service::ServiceHandle;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time between two questions. An event counts as told 1.5 s after it happened at the latest, and a drained
/// engine may be sent work for 0.5 s more: even two lost answers must not take that long.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// So many of the last questions may still be answered.
const MOST_QUESTIONS: usize = 8;
/// The longest answer, with some to spare.
const LONGEST_ANSWER: usize = 16 * 1024;
/// After so many lost answers in a row the questions go out from another socket: on the way of one answers may be
/// lost for good, and what is told must be known 1.5 s after it happened.
const ANOTHER_SOCKET_AFTER: u32 = 3;
/// Log again that the name service says nothing after so many lost answers.
const LOG_EVERY: u32 = 25;

/// Why an answer of the name service could not be used.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// Not an answer to this question, or not DNS.
    #[error("an answer that can't be read")]
    Unreadable,
    /// Cut short: what it lists is not the whole list.
    #[error("an answer that is cut short")]
    Truncated,
    /// The name service refused.
    #[error("the name service answered with code {0}")]
    Code(u8),
    /// A target without its address, or without a zone.
    #[error("an engine without its {0}")]
    Missing(&'static str),
}

/// The list as the name service last told it.
#[derive(Debug, Clone, Default)]
pub struct EngineList {
    serial: u32,
    engines: BTreeMap<String, Engine>,
}

impl EngineList {
    /// Takes over an event of the start.
    pub fn start(&mut self, serial: u32, whole: bool, engines: Vec<Engine>) {
        self.serial = serial;
        if whole {
            self.engines.clear();
        }
        for engine in engines {
            match engine.state {
                EngineState::Removed => self.engines.remove(&engine.name),
                _ => self.engines.insert(engine.name.clone(), engine),
            };
        }
    }

    /// All engines that are not gone.
    pub fn engines(&self) -> Vec<Engine> {
        self.engines.values().cloned().collect()
    }

    /// Takes over an answer, and tells what has changed. An older answer that came late changes nothing.
    pub fn update(&mut self, serial: u32, engines: Vec<Engine>) -> Vec<Engine> {
        if serial <= self.serial {
            return Vec::new();
        }
        self.serial = serial;
        let new: BTreeMap<String, Engine> = engines.into_iter().map(|one| (one.name.clone(), one)).collect();
        let gone = self.engines.values().filter(|old| !new.contains_key(&old.name));
        let mut changed: Vec<Engine> =
            gone.map(|old| Engine { state: EngineState::Removed, ..old.clone() }).collect();
        changed.extend(new.values().filter(|one| self.engines.get(&one.name) != Some(*one)).cloned());
        self.engines = new;
        changed
    }
}

/// What the configuration tells of the name service and of the list.
#[derive(Debug)]
pub struct DiscoveryTarget {
    /// The name service.
    pub resolver: Option<SocketAddr>,
    /// The name that is asked for.
    pub service: String,
    /// The list, as far as the configuration knows it.
    pub listed: EngineList,
}

/// Questions whose answers are still taken: one that comes late is good as well.
#[derive(Debug)]
struct Questions {
    socket: UdpSocket,
    open: VecDeque<u16>,
}

impl Questions {
    async fn new(resolver: SocketAddr) -> Result<Questions, Lost> {
        let here = if resolver.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(here).await?;
        socket.connect(resolver).await?;
        Ok(Questions { socket, open: VecDeque::new() })
    }

    async fn ask(&mut self, service: &str, id: u16) -> Result<(), Lost> {
        self.open.push_back(id);
        if self.open.len() > MOST_QUESTIONS {
            self.open.pop_front();
        }
        self.socket.send(&dns::question(id, service)).await?;
        Ok(())
    }

    /// The answer to the last question, by a time, or else the newest that came to one before it. What answers
    /// no open question is passed over.
    async fn answer(&mut self, buffer: &mut [u8], by: Instant) -> Result<dns::Answer, Lost> {
        let mut late = Err(Lost::Silent);
        loop {
            let Ok(received) = tokio::time::timeout_at(by, self.socket.recv(buffer)).await else {
                return late;
            };
            let message = &buffer[..received?];
            let asked = self.open.iter().position(|id| message.starts_with(&id.to_be_bytes()));
            let Some(at) = asked else { continue };
            // Those asked before it are of no more use.
            self.open.drain(..=at);
            let answer = dns::read(message).map_err(Lost::from);
            if self.open.is_empty() {
                return answer.or(late);
            }
            late = answer.or(late);
        }
    }
}

/// Asks the name service until the service ends. A configuration that was read again counts at once; the list
/// and its numbers go on.
pub async fn run(mut told: watch::Receiver<DiscoveryTarget>, handle: ServiceHandle, clock: Clock, seed: u64) {
    let mut listed = told.borrow_and_update().listed.clone();
    let mut rng = oorandom::Rand32::new(seed);
    loop {
        let (resolver, service) = {
            let told = told.borrow_and_update();
            (told.resolver, told.service.clone())
        };
        let changed = tokio::select! {
            changed = told.changed() => changed.is_ok(),
            () = ask_on(resolver, &service, &mut listed, &handle, &clock, &mut rng) => false,
        };
        if !changed {
            return;
        }
        let newer = told.borrow_and_update().listed.clone();
        let news = listed.update(newer.serial, newer.engines());
        if !news.is_empty() && handle.notify(Input::Engines(EngineListUpdate::Changed(news))).await.is_err() {
            return;
        }
    }
}

/// Asks one name service again and again; ends only with the service itself.
async fn ask_on(
    resolver: Option<SocketAddr>,
    service: &str,
    listed: &mut EngineList,
    handle: &ServiceHandle,
    clock: &Clock,
    rng: &mut oorandom::Rand32,
) {
    let Some(resolver) = resolver else { return std::future::pending().await };
    let mut buffer = vec![0; LONGEST_ANSWER];
    let mut lost = 0u32;
    let mut questions = None;
    loop {
        let by = Instant::now() + ASK_EVERY;
        let id = (rng.rand_u32() & 0xffff) as u16;
        let round = async {
            if questions.is_none() {
                questions = Some(Questions::new(resolver).await?);
            }
            let Some(questions) = &mut questions else { return Err(Lost::Silent) };
            questions.ask(service, id).await?;
            let answer = questions.answer(&mut buffer, by).await?;
            engines(&answer, clock)
        };
        match round.await {
            Ok((serial, engines)) => {
                if lost >= LOG_EVERY {
                    log::info!("name service: answers again");
                }
                lost = 0;
                let changed = listed.update(serial, engines);
                if !changed.is_empty()
                    && handle.notify(Input::Engines(EngineListUpdate::Changed(changed))).await.is_err()
                {
                    return;
                }
            }
            Err(error) => {
                lost += 1;
                if lost.is_multiple_of(ANOTHER_SOCKET_AFTER) {
                    questions = None;
                }
                match lost % LOG_EVERY {
                    1 => log::warn!("name service: {error}"),
                    _ => log::debug!("name service: {error}"),
                }
            }
        }
        tokio::time::sleep_until(by).await;
    }
}

/// What kept an answer away.
#[derive(Debug, Error)]
enum Lost {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("no answer")]
    Silent,
    #[error("{0}")]
    DiscoveryError(#[from] DiscoveryError),
}

fn engines(answer: &dns::Answer, clock: &Clock) -> Result<(u32, Vec<Engine>), Lost> {
    let mut engines = Vec::with_capacity(answer.services.len());
    for service in &answer.services {
        let mut labels = service.target.split('.');
        let name = labels.next().filter(|name| !name.is_empty()).ok_or(DiscoveryError::Missing("name"))?;
        let zone = labels.next().ok_or(DiscoveryError::Missing("zone"))?;
        let address = answer.addresses.get(&service.target).ok_or(DiscoveryError::Missing("address"))?;
        let no_text = Vec::new();
        let texts = answer.texts.get(&service.target).unwrap_or(&no_text);
        let text = |name: &str| {
            texts.iter().find_map(|text| text.strip_prefix(name).and_then(|rest| rest.strip_prefix('=')))
        };
        let since: i64 = text("started").and_then(|told| told.parse().ok()).unwrap_or(0);
        engines.push(Engine {
            name: name.to_owned(),
            address: SocketAddr::from((Ipv4Addr::from(*address), service.port)),
            zone: zone.to_owned(),
            kind: text("kind").unwrap_or("").to_owned(),
            cell: text("cell").and_then(|told| told.parse().ok()),
            state: if service.priority == 0 { EngineState::Ready } else { EngineState::Draining },
            weight: f64::from(service.weight) / 10.0,
            started_at: (since != 0).then(|| clock.from_unix_ms(since)),
        });
    }
    let serial = answer.serial.ok_or(DiscoveryError::Missing("serial"))?;
    Ok((serial, engines))
}

#[cfg(test)]
mod tests;
