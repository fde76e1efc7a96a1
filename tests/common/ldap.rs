//! An emulated LDAP directory (RFC 4511). It accepts binds with the password `right`, and has one entry, with the
//! attribute `o=acme`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Encodes a BER element: tag, length, value.
fn tlv(tag: u8, parts: &[&[u8]]) -> Vec<u8> {
    let data = parts.concat();
    assert!(data.len() < 128, "short form only");
    [&[tag, data.len() as u8][..], &data].concat()
}

/// Encodes an LDAPResult with this result code.
fn result(tag: u8, code: u8) -> Vec<u8> {
    tlv(tag, &[&[0x0a, 1, code], &[4, 0], &[4, 0]])
}

/// Starts a directory, and returns its address.
pub fn directory() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || drop(serve(stream)));
        }
    });
    address
}

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    loop {
        let mut head = [0; 2];
        stream.read_exact(&mut head)?;
        let length = match head[1] {
            short if short < 0x80 => usize::from(short),
            long => {
                let mut bytes = vec![0; usize::from(long & 0x7f)];
                stream.read_exact(&mut bytes)?;
                bytes.iter().fold(0, |all, byte| all << 8 | usize::from(*byte))
            }
        };
        let mut data = vec![0; length];
        stream.read_exact(&mut data)?;
        let after_id = 2 + usize::from(data[1]);
        let (id, operation) = (data[..after_id].to_vec(), data[after_id]);
        let has = |text: &[u8]| data.windows(text.len()).any(|part| part == text);
        let answers = match operation {
            0x60 => vec![result(0x61, if has(b"right") { 0 } else { 49 })],
            0x63 => {
                let values = tlv(0x31, &[&tlv(4, &[b"acme"])]);
                let attribute = tlv(0x30, &[&tlv(4, &[b"o"]), &values]);
                let entry = tlv(0x64, &[&tlv(4, &[b"uid=ann"]), &tlv(0x30, &[&attribute])]);
                vec![entry, result(0x65, 0)]
            }
            _ => return Ok(()),
        };
        for answer in answers {
            stream.write_all(&tlv(0x30, &[&id, &answer]))?;
        }
    }
}
