//! A connection to an emulated engine with TDS.

use super::tds_faults::{DelayedCopy, TdsResponse};
use super::{Controls, Received};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The work of an `echo`.
const ECHO_WORK: Duration = Duration::from_millis(20);

fn utf16(text: &str) -> Vec<u8> {
    text.encode_utf16().flat_map(u16::to_le_bytes).collect()
}

fn token(kind: u8, data: &[u8]) -> Vec<u8> {
    [&[kind][..], &(data.len() as u16).to_le_bytes(), data].concat()
}

/// An ERROR or INFO token (MS-TDS 2.2.7.10).
fn message(kind: u8, number: u32, text: &str) -> Vec<u8> {
    let count = (text.len() as u16).to_le_bytes();
    token(kind, &[&number.to_le_bytes()[..], &[1, 16], &count, &utf16(text), &[0, 0], &[0; 4]].concat())
}

fn done(status: u16) -> Vec<u8> {
    [&[0xfd][..], &status.to_le_bytes(), &[0xc1, 0], &[0; 8]].concat()
}

fn columns(names: &[&str]) -> Vec<u8> {
    let mut out = [&[0x81][..], &(names.len() as u16).to_le_bytes()].concat();
    for name in names {
        out.extend([0, 0, 0, 0, 9, 0, 0xe7, 0x40, 0x1f, 9, 4, 0xd0, 0, 0x34, name.len() as u8]);
        out.extend(utf16(name));
    }
    out
}

fn row(cells: &[&str]) -> Vec<u8> {
    let mut out = vec![0xd1];
    for cell in cells {
        out.extend((cell.len() as u16 * 2).to_le_bytes());
        out.extend(utf16(cell));
    }
    out
}

/// Splits a response into packets of 37 bytes of data, so that tokens are split. Unless `complete`, the last packet is
/// not marked as the end of the message.
fn packets(data: &[u8], complete: bool) -> Vec<Vec<u8>> {
    let parts: Vec<&[u8]> = data.chunks(37).collect();
    let packet = |(index, part): (usize, &&[u8])| {
        let last = u8::from(complete && index + 1 == parts.len());
        let length = (part.len() as u16 + 8).to_be_bytes();
        [&[4, last, length[0], length[1], 0, 0, 1, 0][..], part].concat()
    };
    parts.iter().enumerate().map(packet).collect()
}

/// The connection of an engine to its client, with the faults of the engine.
struct Connection<'a> {
    stream: TcpStream,
    controls: &'a Controls,
}

impl Connection<'_> {
    /// Writes a response, and its copies if the engine is to send some.
    fn respond(&mut self, response: TdsResponse, data: &[u8]) -> std::io::Result<()> {
        let packets = packets(data, true);
        let copy = self.controls.tds_faults().copy(response, &packets);
        let at_once = copy.as_ref().filter(|copy| copy.delay.is_zero()).map(|copy| &copy.bytes[..]);
        self.stream.write_all(&[&packets.concat(), at_once.unwrap_or_default()].concat())?;
        if let Some(copy) = copy.filter(|copy| !copy.delay.is_zero()) {
            self.write_later(copy)?;
        }
        Ok(())
    }

    fn write_later(&self, copy: DelayedCopy) -> std::io::Result<()> {
        let mut stream = self.stream.try_clone()?;
        std::thread::spawn(move || {
            std::thread::sleep(copy.delay);
            let _closed = stream.write_all(&copy.bytes);
        });
        Ok(())
    }
}

/// A message from a client.
struct ClientMessage {
    kind: u8,
    data: Vec<u8>,
}

/// Reads a message. An Attention may interrupt another message. The packet type with the higher number is the
/// message's.
fn read_message(stream: &mut TcpStream) -> std::io::Result<ClientMessage> {
    let mut message = ClientMessage { kind: 0, data: Vec::new() };
    loop {
        let mut head = [0; 8];
        stream.read_exact(&mut head)?;
        let mut part = vec![0; usize::from(u16::from_be_bytes([head[2], head[3]])) - 8];
        stream.read_exact(&mut part)?;
        message.data.extend(part);
        message.kind = head[0].max(message.kind);
        if head[1] & 1 == 1 {
            return Ok(message);
        }
    }
}

/// Serves a connection until it is closed, or a statement closes it.
pub fn speak_tds(stream: TcpStream, received: &Received, controls: &Controls) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut connection = Connection { stream, controls };
    loop {
        let message = read_message(&mut connection.stream);
        controls.wait_while_paused();
        let message = message?;
        match message.kind {
            0x12 => connection.respond(TdsResponse::Prelogin, &[1, 0, 6, 0, 1, 0xff, 2])?,
            0x10 => log_in(&mut connection)?,
            0x06 => {
                received.lock().unwrap().push("ATTENTION".to_owned());
                connection.respond(TdsResponse::Acknowledgement, &done(0x20))?;
            }
            _ => {
                if !execute(&mut connection, &statement(&message.data), received)? {
                    return Ok(());
                }
            }
        }
    }
}

/// Answers LOGIN7.
fn log_in(connection: &mut Connection) -> std::io::Result<()> {
    let faults = connection.controls.tds_faults();
    let environment = if faults.long_login { environment_change() } else { Vec::new() };
    connection.respond(TdsResponse::Login, &[environment, login_ack(), done(0)].concat())?;
    if faults.sends_rows_after_login {
        let rows = [columns(&["x"]), row(&["foreign"]), done(0x10)].concat();
        connection.stream.write_all(&packets(&rows, true).concat())?;
    }
    connection.stream.set_read_timeout(faults.closes_idle_after)
}

/// An ENVCHANGE token that fills a packet together with the LOGINACK, so that the DONE behind them has one of its own.
fn environment_change() -> Vec<u8> {
    token(0xe3, &[0; 21])
}

fn login_ack() -> Vec<u8> {
    token(0xad, &[1, 0x74, 0, 0, 4, 0, 16, 0, 0, 0])
}

/// The statement of a batch, which follows headers of 22 bytes.
fn statement(batch: &[u8]) -> String {
    let pairs = batch[22..].chunks(2);
    let units: Vec<u16> = pairs.map(|pair| u16::from_le_bytes([pair[0], pair[1]])).collect();
    String::from_utf16(&units).unwrap()
}

/// The client request id in the first comment of a statement.
fn client_request_id(statement: &str) -> &str {
    statement.split('\'').nth(1).unwrap()
}

/// Executes a statement; false if it closes the connection.
fn execute(connection: &mut Connection, statement: &str, received: &Received) -> std::io::Result<bool> {
    let has = |word: &str| statement.contains(word);
    if has("dm_engine_load") {
        let load = [columns(&["util", "queue", "x0", "x1"]), row(&["0.1", "0", "0.1", "0.1"]), done(0x10)];
        std::thread::sleep(connection.controls.health_check_delay());
        connection.respond(TdsResponse::LoadReport, &load.concat())?;
        return Ok(true);
    }
    received.lock().unwrap().push(statement.to_owned());
    let failed = |number| [message(0xaa, number, "no"), done(2)].concat();
    let mute = has("mute") && received.lock().unwrap().len() == 1;
    if has("slow") || mute {
        let note = packets(&message(0xab, 50100, "share=0.1"), false);
        connection.stream.write_all(&note.concat())?;
    } else if has("fail") {
        connection.respond(TdsResponse::Result, &failed(547))?;
    } else if has("full") {
        connection.respond(TdsResponse::Result, &failed(10928))?;
    } else if has("die") {
        return Ok(false);
    } else if has("garble") {
        connection.stream.write_all(b"what is this, no packet at all")?;
    } else if has("echo") {
        std::thread::sleep(ECHO_WORK);
        let rows = [columns(&["id"]), row(&[client_request_id(statement)]), done(0x10)];
        connection.respond(TdsResponse::Result, &rows.concat())?;
    } else if has("acknowledged first") || has("logged in first") {
        let stray = if has("logged in") { [login_ack(), done(0)].concat() } else { done(0x20) };
        connection.stream.write_all(&packets(&stray, true).concat())?;
        std::thread::sleep(ECHO_WORK);
        let rows = [columns(&["x"]), row(&["a"]), done(0x10)];
        connection.respond(TdsResponse::Result, &rows.concat())?;
    } else if has("overrun") {
        let rows = [columns(&["x"]), row(&["a"]), done(0x10), row(&["foreign"]), done(0x10)];
        connection.respond(TdsResponse::Result, &rows.concat())?;
    } else {
        let report = message(0xab, 50100, "toil=100 room=8");
        let rows = [columns(&["x", "y"]), row(&["a", "b"]), row(&["c", "d"]), report, done(0x10)];
        connection.respond(TdsResponse::Result, &rows.concat())?;
    }
    Ok(true)
}
