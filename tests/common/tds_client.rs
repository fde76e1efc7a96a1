//! A TDS client that writes and reads messages as bytes.

use super::Program;
use sanddyke::tds::{login, packet};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The length of a packet header.
const HEADER_BYTES: usize = 8;

/// A logged-in connection of the tenant `acme`.
pub struct TdsClient(TcpStream);

impl TdsClient {
    /// Connects to the program and logs in. Fails a read that takes 20 s.
    pub fn connect(program: &Program) -> TdsClient {
        let stream = TcpStream::connect(program.tds).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let mut client = TdsClient(stream);
        client.send_bytewise(&packet::message(
            packet::PRELOGIN,
            &login::prelogin(login::ENCRYPT_NOT_SUPPORTED),
        ));
        client.read();
        let credentials = login::Login { user: "ann".into(), database: "acme".into(), ..Default::default() };
        client.send_bytewise(&packet::message(packet::LOGIN7, &login::login(&credentials)));
        client.read();
        client
    }

    /// Sends bytes in one write.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// Sends bytes one by one, so that packets are split at every position.
    pub fn send_bytewise(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.send(&[*byte]);
        }
    }

    /// Reads the data of one packet.
    pub fn read(&mut self) -> Vec<u8> {
        let mut head = [0; HEADER_BYTES];
        self.0.read_exact(&mut head).unwrap();
        let mut data = vec![0; usize::from(u16::from_be_bytes([head[2], head[3]])) - HEADER_BYTES];
        self.0.read_exact(&mut data).unwrap();
        data
    }
}
