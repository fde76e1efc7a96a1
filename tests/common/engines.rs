//! Stand-in engines on lines and on TDS. What a statement holds decides what they do with it: `ok`, `big`,
//! `fail`, `full`, `die`, `garble`, `torn`, `huge`, `twice`, `mute`, `trickle`, `nap`, which takes 0.3 s (a `long nap` 4 s, and one `then fail` ends in an error), and `slow`, which runs until it is stopped.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// What an engine was sent, in order: the words of its lines, or the statements and attentions of TDS.
pub type Seen = Arc<Mutex<Vec<String>>>;

pub struct Engine {
    pub address: SocketAddr,
    pub seen: Seen,
}

impl Engine {
    pub fn count(&self, what: &str) -> usize {
        self.seen.lock().unwrap().iter().filter(|line| line.contains(what)).count()
    }
}

fn serve(each: fn(TcpStream, Seen)) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = Engine { address: listener.local_addr().unwrap(), seen: Seen::default() };
    let seen = engine.seen.clone();
    std::thread::spawn(move || accept(&listener, &seen, each));
    engine
}

fn accept(listener: &TcpListener, seen: &Seen, each: fn(TcpStream, Seen)) {
    for stream in listener.incoming().flatten() {
        let seen = seen.clone();
        std::thread::spawn(move || each(stream, seen));
    }
}

/// An engine of either wire whose connections come up late: its socket's queue is full, and the first packets of who
/// comes are dropped until it is told to go on. They come again by themselves about a second after the first.
pub struct Late {
    pub engine: Engine,
    waiting: Vec<TcpStream>,
    listener: TcpListener,
    each: fn(TcpStream, Seen),
}

impl Late {
    pub fn lines() -> Late {
        Late::start(|stream, seen| drop(speak_lines(stream, &seen)))
    }

    pub fn tds() -> Late {
        Late::start(|stream, seen| drop(speak_tds(stream, &seen)))
    }

    fn start(each: fn(TcpStream, Seen)) -> Late {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(1).unwrap().into_std().unwrap()
        });
        listener.set_nonblocking(false).unwrap();
        let address = listener.local_addr().unwrap();
        let mut waiting = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, std::time::Duration::from_millis(100)) {
            waiting.push(stream);
        }
        Late { engine: Engine { address, seen: Seen::default() }, waiting, listener, each }
    }

    /// Takes connections from now on.
    pub fn go_on(self) -> Engine {
        for _ in &self.waiting {
            drop(self.listener.accept().unwrap());
        }
        let (seen, each) = (self.engine.seen.clone(), self.each);
        std::thread::spawn(move || accept(&self.listener, &seen, each));
        self.engine
    }
}

/// An engine on lines that reads nothing of its first connection until it is told, and has little room for what
/// it does not read.
pub struct Blocked {
    pub engine: Engine,
    go_on: std::sync::mpsc::Sender<bool>,
}

impl Blocked {
    pub fn start() -> Blocked {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // The sender's room grows with the segments that its peer takes.
        socket.set_tcp_mss(88).unwrap();
        socket.set_recv_buffer_size(1).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(16).unwrap();
        let listener = TcpListener::from(socket);
        let engine = Engine { address: listener.local_addr().unwrap(), seen: Seen::default() };
        let seen = engine.seen.clone();
        let (go_on, told) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let (first, _) = listener.accept().unwrap();
            let seen_first = seen.clone();
            std::thread::spawn(move || {
                if told.recv() == Ok(true) {
                    drop(speak_lines(first, &seen_first));
                }
            });
            accept(&listener, &seen, |stream, seen| drop(speak_lines(stream, &seen)));
        });
        Blocked { engine, go_on }
    }

    /// Reads from now on, or else closes the connection unread; others are served as usual.
    pub fn go_on(&self, reads: bool) {
        self.go_on.send(reads).unwrap();
    }
}

pub fn lines() -> Engine {
    serve(|stream, seen| drop(speak_lines(stream, &seen)))
}

fn speak_lines(stream: TcpStream, seen: &Seen) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    let mut big: HashMap<String, bool> = HashMap::new();
    let mut huge = false;
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            seen.lock().unwrap().push("END OF CONNECTION".to_owned());
            return Ok(());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let id = words[1];
        if matches!(words[0], "STAT" | "HELO") {
            write!(out, "{id} alive l=util:0.1;queue:0;x0:0.1;x1:0.1\r\n")?;
            continue;
        }
        if words[0] == "FETCH" {
            seen.lock().unwrap().push(line.trim_end().to_owned());
            if big[id] {
                return Ok(()); // dies between pages
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
        seen.lock().unwrap().push(format!("{} {statement}", line.trim_end()));
        let has = |word: &str| statement.contains(word);
        // The first try of such a statement goes wrong, and the next is served.
        let first = |word: &str| {
            has(word) && seen.lock().unwrap().iter().filter(|line| line.contains(word)).count() == 1
        };
        if first("mute") {
            write!(out, "{id} status n=share,val=0.1 0\r\n\r\n")?;
        } else if first("trickle") {
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
            // A good answer that brings more than belongs to it: under an id that nobody has, and again.
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
            // The first try of a `big once` ends between its pages.
            let again = seen.lock().unwrap().iter().filter(|line| line.contains("big once")).count() > 1;
            big.insert(id.to_owned(), has("once") && !again);
            write!(out, "{id} 200 sheets=3,toil=100,room=8 8\r\na\tb\nc\td\n\r\n")?;
        } else if words[0] == "REQ" {
            write!(out, "{id} 200 sheets=1,toil=100,room=8 8\r\na\tb\nc\td\n\r\n")?;
        }
    }
}

pub fn tds() -> Engine {
    serve(|stream, seen| drop(speak_tds(stream, &seen)))
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

/// Writes an answer in packets of odd sizes, so that tokens are cut anywhere.
fn answer(out: &mut TcpStream, data: &[u8], whole: bool) -> std::io::Result<()> {
    let parts: Vec<&[u8]> = data.chunks(37).collect();
    for (at, part) in parts.iter().enumerate() {
        let last = u8::from(whole && at + 1 == parts.len());
        let length = (part.len() as u16 + 8).to_be_bytes();
        out.write_all(&[&[4, last, length[0], length[1], 0, 0, 1, 0][..], part].concat())?;
    }
    Ok(())
}

fn speak_tds(mut stream: TcpStream, seen: &Seen) -> std::io::Result<()> {
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
            0x12 => answer(&mut stream, &[1, 0, 6, 0, 1, 0xff, 2], true)?,
            0x10 => {
                let ack = token(0xad, &[1, 0x74, 0, 0, 4, 0, 16, 0, 0, 0]);
                answer(&mut stream, &[ack, done(0)].concat(), true)?;
            }
            0x06 => {
                seen.lock().unwrap().push("ATTENTION".to_owned());
                answer(&mut stream, &done(0x20), true)?;
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
                    answer(&mut stream, &load.concat(), true)?;
                    continue;
                }
                seen.lock().unwrap().push(statement.clone());
                let failed = |number| [message(0xaa, number, "no"), done(2)].concat();
                let mute = has("mute") && seen.lock().unwrap().len() == 1;
                if has("slow") || mute {
                    answer(&mut stream, &message(0xab, 50100, "share=0.1"), false)?;
                } else if has("fail") {
                    answer(&mut stream, &failed(547), true)?;
                } else if has("full") {
                    answer(&mut stream, &failed(10928), true)?;
                } else if has("die") {
                    return Ok(());
                } else if has("garble") {
                    stream.write_all(b"what is this, no packet at all")?;
                } else {
                    let told = message(0xab, 50100, "toil=100 room=8");
                    let rows = [columns(&["x", "y"]), row(&["a", "b"]), row(&["c", "d"]), told, done(0x10)];
                    answer(&mut stream, &rows.concat(), true)?;
                }
            }
        }
    }
}
