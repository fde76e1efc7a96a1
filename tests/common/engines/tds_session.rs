//! A connection to an emulated engine with TDS.

use super::{Controls, Received};
use std::io::{Read, Write};
use std::net::TcpStream;

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

/// Writes a response in packets of 37 bytes of data, so that tokens are split. Unless `complete`, the last packet is
/// not marked as the end of the message.
fn respond(out: &mut TcpStream, data: &[u8], complete: bool) -> std::io::Result<()> {
    let parts: Vec<&[u8]> = data.chunks(37).collect();
    for (index, part) in parts.iter().enumerate() {
        let last = u8::from(complete && index + 1 == parts.len());
        let length = (part.len() as u16 + 8).to_be_bytes();
        out.write_all(&[&[4, last, length[0], length[1], 0, 0, 1, 0][..], part].concat())?;
    }
    Ok(())
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
pub fn speak_tds(mut stream: TcpStream, received: &Received, controls: &Controls) -> std::io::Result<()> {
    loop {
        let message = read_message(&mut stream);
        controls.wait_while_paused();
        let message = message?;
        match message.kind {
            0x12 => respond(&mut stream, &[1, 0, 6, 0, 1, 0xff, 2], true)?,
            0x10 => {
                let ack = token(0xad, &[1, 0x74, 0, 0, 4, 0, 16, 0, 0, 0]);
                respond(&mut stream, &[ack, done(0)].concat(), true)?;
            }
            0x06 => {
                received.lock().unwrap().push("ATTENTION".to_owned());
                respond(&mut stream, &done(0x20), true)?;
            }
            _ => {
                if !execute(&mut stream, &statement(&message.data), received, controls)? {
                    return Ok(());
                }
            }
        }
    }
}

/// The statement of a batch, which follows headers of 22 bytes.
fn statement(batch: &[u8]) -> String {
    let pairs = batch[22..].chunks(2);
    let units: Vec<u16> = pairs.map(|pair| u16::from_le_bytes([pair[0], pair[1]])).collect();
    String::from_utf16(&units).unwrap()
}

/// Executes a statement; false if it closes the connection.
fn execute(
    stream: &mut TcpStream,
    statement: &str,
    received: &Received,
    controls: &Controls,
) -> std::io::Result<bool> {
    let has = |word: &str| statement.contains(word);
    if has("dm_engine_load") {
        let load = [columns(&["util", "queue", "x0", "x1"]), row(&["0.1", "0", "0.1", "0.1"]), done(0x10)];
        std::thread::sleep(controls.health_check_delay());
        respond(stream, &load.concat(), true)?;
        return Ok(true);
    }
    received.lock().unwrap().push(statement.to_owned());
    let failed = |number| [message(0xaa, number, "no"), done(2)].concat();
    let mute = has("mute") && received.lock().unwrap().len() == 1;
    if has("slow") || mute {
        respond(stream, &message(0xab, 50100, "share=0.1"), false)?;
    } else if has("fail") {
        respond(stream, &failed(547), true)?;
    } else if has("full") {
        respond(stream, &failed(10928), true)?;
    } else if has("die") {
        return Ok(false);
    } else if has("garble") {
        stream.write_all(b"what is this, no packet at all")?;
    } else {
        let report = message(0xab, 50100, "toil=100 room=8");
        let rows = [columns(&["x", "y"]), row(&["a", "b"]), row(&["c", "d"]), report, done(0x10)];
        respond(stream, &rows.concat(), true)?;
    }
    Ok(true)
}
