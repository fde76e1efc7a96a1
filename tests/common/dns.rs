//! An emulated DNS server (RFC 1035). It does not answer the first query, truncates the response to the second, and
//! reports the first engine as draining from the third on.

use std::net::{SocketAddr, UdpSocket};

/// Encodes a name as labels.
fn name(text: &str) -> Vec<u8> {
    let labels = text.split('.').flat_map(|label| [&[label.len() as u8][..], label.as_bytes()].concat());
    labels.chain([0]).collect()
}

/// A resource record of class IN with a time to live of 0.
fn record(owner: &str, kind: u8, data: &[u8]) -> Vec<u8> {
    let length = (data.len() as u16).to_be_bytes();
    [name(owner), vec![0, kind, 0, 1, 0, 0, 0, 0], length.to_vec(), data.to_vec()].concat()
}

/// Starts a server with records of these engines.
pub fn server(engines: Vec<SocketAddr>) -> SocketAddr {
    server_for(engines, |_| true)
}

/// Starts a server that answers only the clients for which `answers_client` returns true.
pub fn server_for(
    engines: Vec<SocketAddr>,
    mut answers_client: impl FnMut(SocketAddr) -> bool + Send + 'static,
) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut queries = 0;
        let mut buffer = [0; 512];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            if !answers_client(from) {
                continue;
            }
            queries += 1;
            let question = &buffer[12..length];
            let mut services = Vec::new();
            let mut additional = Vec::new();
            for (index, engine) in engines.iter().enumerate() {
                let target = format!("e{index}.a.hosts");
                let draining = u8::from(index == 0);
                let port = engine.port().to_be_bytes();
                let data = [vec![0, draining, 0, 10, port[0], port[1]], name(&target)].concat();
                services.extend(record("_api._tcp.svc.local", 33, &data));
                additional.extend(record(&target, 1, &[127, 0, 0, 1]));
                additional.extend(record(&target, 16, b"\x08kind=std\x06cell=0\x09started=0"));
            }
            let soa = [name("svc.local"), name("x.svc.local"), vec![0, 0, 0, 2], vec![0; 16]].concat();
            let count = engines.len() as u8;
            let flags = if queries == 2 { 0x86 } else { 0x84 };
            let head = [buffer[0], buffer[1], flags, 0, 0, 1, 0, count, 0, 1, 0, 2 * count];
            let answer =
                [&head[..], question, &services, &record("svc.local", 6, &soa), &additional].concat();
            if queries > 1 {
                let length = if queries == 2 { answer.len() / 2 } else { answer.len() };
                let _sent = socket.send_to(&answer[..length], from);
            }
        }
    });
    address
}
