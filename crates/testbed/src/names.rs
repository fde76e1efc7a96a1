//! A name service on loopback (RFC 1035, RFC 2782): SRV records of the engines with their addresses and texts,
//! under a serial that each change raises. An engine that drains has priority 1.

use crate::experiment::Listed;
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, ResourceRecord};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::UdpSocket;

/// The name that the engines are listed under.
pub const SERVICE: &str = "_api._tcp.svc.local";

#[derive(Debug)]
struct State {
    serial: u32,
    engines: Vec<(SocketAddr, Listed)>,
}

/// The service; it ends with the runtime.
#[derive(Debug)]
pub struct Names {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl State {
    /// The answer to a question, where it can be read.
    fn answer(&self, asked: &[u8]) -> Option<Vec<u8>> {
        let asked = Packet::parse(asked).ok()?;
        let question = asked.questions.first()?.clone();
        let mut answer = Packet::new_reply(asked.id());
        answer.set_flags(PacketFlag::AUTHORITATIVE_ANSWER);
        let record = |name: String, data| -> Option<ResourceRecord<'static>> {
            Some(ResourceRecord::new(Name::new(&name).ok()?.into_owned(), CLASS::IN, 0, data))
        };
        if question.qname.to_string() == SERVICE {
            for (number, (address, listed)) in self.engines.iter().enumerate() {
                let (IpAddr::V4(ip), true) = (address.ip(), *listed != Listed::Gone) else { continue };
                let host = format!("e{number}.a.hosts");
                let target = Name::new(&host).ok()?.into_owned();
                let priority = u16::from(*listed == Listed::Draining);
                let service = SRV { priority, weight: 10, port: address.port(), target };
                answer.answers.push(record(SERVICE.to_owned(), RData::SRV(service))?);
                answer.additional_records.push(record(host.clone(), RData::A(A::from(ip)))?);
                let text = TXT::new().with_string("kind=std").ok()?.with_string("cell=0").ok()?;
                let text = text.with_string("started=0").ok()?;
                answer.additional_records.push(record(host, RData::TXT(text))?);
            }
        }
        let soa = SOA {
            mname: Name::new_unchecked("svc.local"),
            rname: Name::new_unchecked("rig.svc.local"),
            serial: self.serial,
            refresh: 1,
            retry: 1,
            expire: 1,
            minimum: 0,
        };
        answer.name_servers.push(record("svc.local".to_owned(), RData::SOA(soa))?);
        answer.questions.push(question);
        answer.build_bytes_vec().ok()
    }
}

impl Names {
    /// Starts it, with all engines ready.
    pub async fn start(engines: &[SocketAddr]) -> std::io::Result<Names> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let engines = engines.iter().map(|address| (*address, Listed::Ready)).collect();
        let state = Arc::new(Mutex::new(State { serial: 2, engines }));
        let names = Names { address, state: state.clone() };
        tokio::spawn(async move {
            let mut buffer = [0; 1500];
            while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
                let answer = state.lock().unwrap_or_else(PoisonError::into_inner).answer(&buffer[..length]);
                if let Some(answer) = answer {
                    let _lost = socket.send_to(&answer, from).await;
                }
            }
        });
        Ok(names)
    }

    /// Lists an engine in another way from now on.
    pub fn list(&self, number: usize, listed: Listed) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.serial += 1;
        if let Some(engine) = state.engines.get_mut(number) {
            engine.1 = listed;
        }
    }
}
