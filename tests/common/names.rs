//! A stand-in name service (RFC 1035): its first answer is lost, its second cut short, and from then on it
//! tells that the first engine drains.

use std::net::{SocketAddr, UdpSocket};

fn name(text: &str) -> Vec<u8> {
    let labels = text.split('.').flat_map(|label| [&[label.len() as u8][..], label.as_bytes()].concat());
    labels.chain([0]).collect()
}

fn record(owner: &str, kind: u8, data: &[u8]) -> Vec<u8> {
    let length = (data.len() as u16).to_be_bytes();
    [name(owner), vec![0, kind, 0, 1, 0, 0, 0, 0], length.to_vec(), data.to_vec()].concat()
}

pub fn service(engines: Vec<SocketAddr>) -> SocketAddr {
    service_for(engines, |_| true)
}

/// One that hears only some of those who ask.
pub fn service_for(
    engines: Vec<SocketAddr>,
    mut hears: impl FnMut(SocketAddr) -> bool + Send + 'static,
) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut asked = 0;
        let mut buffer = [0; 512];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            if !hears(from) {
                continue;
            }
            asked += 1;
            let question = &buffer[12..length];
            let (mut services, mut more) = (Vec::new(), Vec::new());
            for (at, engine) in engines.iter().enumerate() {
                let target = format!("e{at}.a.hosts");
                let draining = u8::from(at == 0);
                let port = engine.port().to_be_bytes();
                let data = [vec![0, draining, 0, 10, port[0], port[1]], name(&target)].concat();
                services.extend(record("_api._tcp.svc.local", 33, &data));
                more.extend(record(&target, 1, &[127, 0, 0, 1]));
                more.extend(record(&target, 16, b"\x08kind=std\x06cell=0\x09started=0"));
            }
            let soa = [name("svc.local"), name("x.svc.local"), vec![0, 0, 0, 2], vec![0; 16]].concat();
            let count = engines.len() as u8;
            let flags = if asked == 2 { 0x86 } else { 0x84 };
            let head = [buffer[0], buffer[1], flags, 0, 0, 1, 0, count, 0, 1, 0, 2 * count];
            let answer = [&head[..], question, &services, &record("svc.local", 6, &soa), &more].concat();
            if asked > 1 {
                let cut = if asked == 2 { answer.len() / 2 } else { answer.len() };
                let _sent = socket.send_to(&answer[..cut], from);
            }
        }
    });
    address
}
