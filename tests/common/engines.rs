//! Emulated engines, for the line protocol and for TDS. Words in a statement decide how it is executed:
//!
//! - `ok`, and any other: two rows;
//! - `big`: a result of several pages, in which the connection is closed (`big once`: at the first attempt only);
//! - `huge`: a result that is longer than any that is collected;
//! - `fail`, `full`: an error, or a rejection;
//! - `die`: the connection is closed;
//! - `garble`, `torn`: a malformed response, or an incomplete row;
//! - `twice`: a response to an unknown request, then the proper one twice;
//! - `mute`, `trickle`: at the first attempt a response that never comes, or comes byte by byte;
//! - `nap`: 0.3 s of work (`long nap`: 4 s; with `then fail` it ends in an error);
//! - `slow`: work until it is cancelled.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// What an engine has received, in order: the lines, or the statements and attentions of TDS.
pub type Received = Arc<Mutex<Vec<String>>>;

/// A running engine.
pub struct Engine {
    /// The address that it listens at.
    pub address: SocketAddr,
    /// What it has received.
    pub received: Received,
}

impl Engine {
    /// How many entries of what it has received contain a text.
    pub fn count(&self, text: &str) -> usize {
        self.received.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }
}

type ServeConnection = fn(TcpStream, Received);

fn start(serve: ServeConnection) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = Engine { address: listener.local_addr().unwrap(), received: Received::default() };
    let received = engine.received.clone();
    std::thread::spawn(move || accept(&listener, &received, serve));
    engine
}

fn accept(listener: &TcpListener, received: &Received, serve: ServeConnection) {
    for stream in listener.incoming().flatten() {
        let received = received.clone();
        std::thread::spawn(move || serve(stream, received));
    }
}

/// An engine that does not accept connections yet: the backlog of its socket is full, so the kernel drops the first
/// packet of each connection. Clients send it again about a second later.
pub struct LateEngine {
    /// The engine.
    pub engine: Engine,
    /// The connections that fill the backlog.
    backlog: Vec<TcpStream>,
    listener: TcpListener,
    serve: ServeConnection,
}

impl LateEngine {
    /// One with the line protocol.
    pub fn line_protocol() -> LateEngine {
        LateEngine::start(|stream, received| drop(speak_line_protocol(stream, &received)))
    }

    /// One with TDS.
    pub fn tds() -> LateEngine {
        LateEngine::start(|stream, received| drop(speak_tds(stream, &received)))
    }

    fn start(serve: ServeConnection) -> LateEngine {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(1).unwrap().into_std().unwrap()
        });
        listener.set_nonblocking(false).unwrap();
        let address = listener.local_addr().unwrap();
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, std::time::Duration::from_millis(100)) {
            backlog.push(stream);
        }
        let engine = Engine { address, received: Received::default() };
        LateEngine { engine, backlog, listener, serve }
    }

    /// Accepts connections from now on.
    pub fn accept_connections(self) -> Engine {
        for _ in &self.backlog {
            drop(self.listener.accept().unwrap());
        }
        let received = self.engine.received.clone();
        std::thread::spawn(move || accept(&self.listener, &received, self.serve));
        self.engine
    }
}

/// What a [`BlockedEngine`] does with its first connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Unblock {
    /// It reads what was sent.
    Read,
    /// It closes the connection without reading.
    Close,
}

/// An engine of the line protocol that does not read from its first connection, whose receive buffer is small. Other
/// connections are served as usual.
pub struct BlockedEngine {
    /// The engine.
    pub engine: Engine,
    unblock: std::sync::mpsc::Sender<Unblock>,
}

impl BlockedEngine {
    /// Starts one.
    pub fn start() -> BlockedEngine {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // The sender's window grows with the size of the segments that its peer accepts.
        socket.set_tcp_mss(88).unwrap();
        socket.set_recv_buffer_size(1).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(16).unwrap();
        let listener = TcpListener::from(socket);
        let engine = Engine { address: listener.local_addr().unwrap(), received: Received::default() };
        let received = engine.received.clone();
        let (unblock, unblocked) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let (first, _) = listener.accept().unwrap();
            let received_first = received.clone();
            std::thread::spawn(move || {
                if unblocked.recv() == Ok(Unblock::Read) {
                    drop(speak_line_protocol(first, &received_first));
                }
            });
            accept(&listener, &received, |stream, received| drop(speak_line_protocol(stream, &received)));
        });
        BlockedEngine { engine, unblock }
    }

    /// Reads from the first connection from now on, or closes it.
    pub fn unblock(&self, action: Unblock) {
        self.unblock.send(action).unwrap();
    }
}

/// Starts an engine with the line protocol.
pub fn line_protocol() -> Engine {
    start(|stream, received| drop(speak_line_protocol(stream, &received)))
}

fn speak_line_protocol(stream: TcpStream, received: &Received) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    let mut big: HashMap<String, bool> = HashMap::new();
    let mut huge = false;
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            received.lock().unwrap().push("END OF CONNECTION".to_owned());
            return Ok(());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let id = words[1];
        if matches!(words[0], "STAT" | "HELO") {
            write!(out, "{id} alive l=util:0.1;queue:0;x0:0.1;x1:0.1\r\n")?;
            continue;
        }
        if words[0] == "FETCH" {
            received.lock().unwrap().push(line.trim_end().to_owned());
            if big[id] {
                return Ok(()); // closes the connection between pages
            }
            if huge {
                write!(out, "{id} chunk sheet={} 60000\r\n{}\n\r\n", words[2], "x".repeat(59_999))?;
                continue;
            }
            write!(out, "{id} chunk sheet={} 4\r\ne\tf\n\r\n", words[2])?;
            continue;
        }
        let mut statement = String::new();
        if words[0] == "REQ" {
            let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
            input.read_exact(&mut body)?;
            statement = String::from_utf8(body).unwrap().trim_end().to_owned();
        }
        received.lock().unwrap().push(format!("{} {statement}", line.trim_end()));
        let has = |word: &str| statement.contains(word);
        // Only the first attempt of such a statement goes wrong.
        let first_attempt = |word: &str| {
            has(word) && received.lock().unwrap().iter().filter(|line| line.contains(word)).count() == 1
        };
        if first_attempt("mute") {
            write!(out, "{id} status n=share,val=0.1 0\r\n\r\n")?;
        } else if first_attempt("trickle") {
            write!(out, "{id} 200 sheets=1,toil=100,room=8 9000\r\n")?;
            while out.write_all(b"x").is_ok() {
                std::thread::sleep(std::time::Duration::from_millis(100));
            }
        } else if has("nap") {
            let (mut out, id) = (out.try_clone()?, id.to_owned());
            let ms = if has("long nap") { 4000 } else { 300 };
            let end = match has("then fail") {
                true => "500 - 0\r\n\r\n",
                false => "200 sheets=1,toil=100,room=8 4\r\na\tb\n\r\n",
            };
            std::thread::spawn(move || {
                std::thread::sleep(std::time::Duration::from_millis(ms));
                write!(out, "{id} {end}")
            });
        } else if has("slow") {
            write!(out, "{id} status n=share,val=0.1 0\r\n\r\n")?;
        } else if has("fail") {
            write!(out, "{id} 500 - 0\r\n\r\n")?;
        } else if has("full") {
            write!(out, "{id} 503 - 0\r\n\r\n")?;
        } else if has("die") {
            return Ok(());
        } else if has("garble") {
            write!(out, "what is this\r\n")?;
        } else if has("twice") {
            // A valid response, with others that nobody waits for: one of an unknown id, and the same again.
            let first = format!("{id} 200 sheets=2,toil=100,room=8 8\r\na\tb\nc\td\n\r\n");
            big.insert(id.to_owned(), false);
            write!(out, "00000000000000ee 200 sheets=1 4\r\nx\ty\n\r\n{first}{first}")?;
        } else if has("huge") {
            huge = true;
            big.insert(id.to_owned(), false);
            write!(out, "{id} 200 sheets=64,toil=100,room=8 4\r\na\tb\n\r\n")?;
        } else if has("torn") {
            write!(out, "{id} 200 sheets=1,toil=100,room=8 6\r\na\tb\nc\t\r\n")?;
        } else if has("big") {
            // The first attempt of a `big once` ends between its pages.
            let is_retry =
                received.lock().unwrap().iter().filter(|line| line.contains("big once")).count() > 1;
            big.insert(id.to_owned(), has("once") && !is_retry);
            write!(out, "{id} 200 sheets=3,toil=100,room=8 8\r\na\tb\nc\td\n\r\n")?;
        } else if words[0] == "REQ" {
            write!(out, "{id} 200 sheets=1,toil=100,room=8 8\r\na\tb\nc\td\n\r\n")?;
        }
    }
}

/// Starts an engine with TDS.
pub fn tds() -> Engine {
    start(|stream, received| drop(speak_tds(stream, &received)))
}

fn utf16(text: &str) -> Vec<u8> {
    text.encode_utf16().flat_map(u16::to_le_bytes).collect()
}

fn token(kind: u8, data: &[u8]) -> Vec<u8> {
    [&[kind][..], &(data.len() as u16).to_le_bytes(), data].concat()
}

/// An ERROR or INFO token, as MS-TDS 2.2.7.10 has it.
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

/// Writes a response in packets of an odd size, so that tokens are split anywhere. Without `complete` more follows.
fn respond(out: &mut TcpStream, data: &[u8], complete: bool) -> std::io::Result<()> {
    let parts: Vec<&[u8]> = data.chunks(37).collect();
    for (index, part) in parts.iter().enumerate() {
        let last = u8::from(complete && index + 1 == parts.len());
        let length = (part.len() as u16 + 8).to_be_bytes();
        out.write_all(&[&[4, last, length[0], length[1], 0, 0, 1, 0][..], part].concat())?;
    }
    Ok(())
}

fn speak_tds(mut stream: TcpStream, received: &Received) -> std::io::Result<()> {
    loop {
        let (mut data, mut kind) = (Vec::new(), 0);
        loop {
            let mut head = [0; 8];
            stream.read_exact(&mut head)?;
            let mut part = vec![0; usize::from(u16::from_be_bytes([head[2], head[3]])) - 8];
            stream.read_exact(&mut part)?;
            data.extend(part);
            kind = head[0].max(kind);
            if head[1] & 1 == 1 {
                break;
            }
        }
        match kind {
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
                let units: Vec<u16> =
                    data[22..].chunks(2).map(|pair| u16::from_le_bytes([pair[0], pair[1]])).collect();
                let statement = String::from_utf16(&units).unwrap();
                let has = |word: &str| statement.contains(word);
                if has("dm_engine_load") {
                    let load = [
                        columns(&["util", "queue", "x0", "x1"]),
                        row(&["0.1", "0", "0.1", "0.1"]),
                        done(0x10),
                    ];
                    respond(&mut stream, &load.concat(), true)?;
                    continue;
                }
                received.lock().unwrap().push(statement.clone());
                let failed = |number| [message(0xaa, number, "no"), done(2)].concat();
                let mute = has("mute") && received.lock().unwrap().len() == 1;
                if has("slow") || mute {
                    respond(&mut stream, &message(0xab, 50100, "share=0.1"), false)?;
                } else if has("fail") {
                    respond(&mut stream, &failed(547), true)?;
                } else if has("full") {
                    respond(&mut stream, &failed(10928), true)?;
                } else if has("die") {
                    return Ok(());
                } else if has("garble") {
                    stream.write_all(b"what is this, no packet at all")?;
                } else {
                    let report = message(0xab, 50100, "toil=100 room=8");
                    let rows = [columns(&["x", "y"]), row(&["a", "b"]), row(&["c", "d"]), report, done(0x10)];
                    respond(&mut stream, &rows.concat(), true)?;
                }
            }
        }
    }
}
