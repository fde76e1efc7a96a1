//! A connection to an emulated engine with the line protocol.

use super::{Controls, Received};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const TWO_ROWS: &str = "200 sheets=1,toil=100,room=8 8\r\na\tb\nc\td\n\r\n";
const PROGRESS: &str = "status n=share,val=0.1 0\r\n\r\n";
const WAITS_FOR_MEMORY: &str = "status n=held,val=1 0\r\n\r\n";

/// Serves a connection until it is closed, or a statement closes it.
pub fn speak_line_protocol(
    stream: TcpStream,
    received: &Received,
    controls: &Controls,
) -> std::io::Result<()> {
    let out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    let mut session = Session { out, received, closes_at_fetch: HashMap::new(), huge: false };
    loop {
        let mut line = String::new();
        let length = input.read_line(&mut line)?;
        controls.wait_while_paused();
        if length == 0 {
            session.record("END OF CONNECTION".to_owned());
            // Shuts the socket down also for threads that are still writing responses.
            return session.out.shutdown(std::net::Shutdown::Both);
        }
        let line = line.trim_end();
        let words: Vec<&str> = line.split(' ').collect();
        let open = match words[0] {
            "STAT" | "HELO" => session.report_load(words[1], controls.health_check_delay())?,
            "FETCH" => {
                session.record(line.to_owned());
                session.send_page(words[1], words[2])?
            }
            "REQ" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                input.read_exact(&mut body)?;
                let body = String::from_utf8(body).unwrap();
                let statement = body.trim_end();
                session.record(format!("{line} {statement}"));
                session.execute(words[1], statement)?
            }
            _ => {
                session.record(format!("{line} "));
                true
            }
        };
        if !open {
            return Ok(());
        }
    }
}

/// The state of a connection. Methods with a boolean result return false if the connection is to be closed.
struct Session<'a> {
    out: TcpStream,
    received: &'a Received,
    /// For each request with several pages, whether the connection is closed when the second is fetched.
    closes_at_fetch: HashMap<String, bool>,
    /// Whether pages are as long as they may be.
    huge: bool,
}

impl Session<'_> {
    fn record(&self, entry: String) {
        self.received.lock().unwrap().push(entry);
    }

    /// The number of received entries that contain a text.
    fn count(&self, text: &str) -> usize {
        self.received.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }

    /// Answers a health check after some time, while other requests of the connection are served.
    fn report_load(&mut self, id: &str, delay: Duration) -> std::io::Result<bool> {
        let response = format!("{id} alive l=util:0.1;queue:0;x0:0.1;x1:0.1\r\n");
        if delay.is_zero() {
            self.out.write_all(response.as_bytes())?;
            return Ok(true);
        }
        let mut out = self.out.try_clone()?;
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            out.write_all(response.as_bytes())
        });
        Ok(true)
    }

    fn send_page(&mut self, id: &str, page: &str) -> std::io::Result<bool> {
        if self.closes_at_fetch[id] {
            return Ok(false);
        }
        if self.huge {
            write!(self.out, "{id} chunk sheet={page} 60000\r\n{}\n\r\n", "x".repeat(59_999))?;
        } else {
            write!(self.out, "{id} chunk sheet={page} 4\r\ne\tf\n\r\n")?;
        }
        Ok(true)
    }

    /// Executes a statement according to the words in it.
    fn execute(&mut self, id: &str, statement: &str) -> std::io::Result<bool> {
        let has = |word: &str| statement.contains(word);
        // Such a statement fails only at its first attempt.
        let first_attempt = |word: &str| has(word) && self.count(word) == 1;
        if first_attempt("mute") {
            write!(self.out, "{id} {PROGRESS}")?;
        } else if first_attempt("stutter") {
            self.fail_twice(id)?;
        } else if first_attempt("trickle") {
            self.trickle(id)?;
        } else if has("nap") {
            self.nap(id, statement)?;
        } else if has("chatty") {
            self.report_progress_until_closed(id)?;
        } else if has("slow") || has("stutter") {
            write!(self.out, "{id} {PROGRESS}")?;
        } else if has("fail") {
            write!(self.out, "{id} 500 - 0\r\n\r\n")?;
        } else if has("full") {
            write!(self.out, "{id} 503 - 0\r\n\r\n")?;
        } else if has("die") {
            return Ok(false);
        } else if has("garble") {
            write!(self.out, "what is this\r\n")?;
        } else if has("twice") {
            self.respond_twice(id)?;
        } else if has("huge") {
            self.huge = true;
            self.closes_at_fetch.insert(id.to_owned(), false);
            write!(self.out, "{id} 200 sheets=64,toil=100,room=8 4\r\na\tb\n\r\n")?;
        } else if has("torn") {
            write!(self.out, "{id} 200 sheets=1,toil=100,room=8 6\r\na\tb\nc\t\r\n")?;
        } else if has("big") {
            // The first attempt of a `big once` ends between its pages.
            let is_retry = self.count("big once") > 1;
            self.closes_at_fetch.insert(id.to_owned(), has("once") && !is_retry);
            write!(self.out, "{id} 200 sheets=3,toil=100,room=8 8\r\na\tb\nc\td\n\r\n")?;
        } else {
            write!(self.out, "{id} {TWO_ROWS}")?;
        }
        Ok(true)
    }

    /// Sends a response byte by byte until the connection is closed, while the connection is still read.
    fn trickle(&mut self, id: &str) -> std::io::Result<()> {
        let mut out = self.out.try_clone()?;
        write!(out, "{id} 200 sheets=1,toil=100,room=8 9000\r\n")?;
        std::thread::spawn(move || {
            while out.write_all(b"x").is_ok() {
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        Ok(())
    }

    /// Sends progress notes of a request until the connection is closed. The program ignores those after its STOP.
    fn report_progress_until_closed(&self, id: &str) -> std::io::Result<()> {
        let mut out = self.out.try_clone()?;
        let id = id.to_owned();
        std::thread::spawn(move || {
            while write!(out, "{id} {WAITS_FOR_MEMORY}").is_ok() {
                std::thread::sleep(Duration::from_millis(200));
            }
        });
        Ok(())
    }

    /// Responds after some time, while other requests of the connection are served.
    fn nap(&self, id: &str, statement: &str) -> std::io::Result<()> {
        let mut out = self.out.try_clone()?;
        let id = id.to_owned();
        let ms = if statement.contains("long nap") { 4000 } else { 300 };
        let response = match statement.contains("then fail") {
            true => "500 - 0\r\n\r\n",
            false => "200 sheets=1,toil=100,room=8 4\r\na\tb\n\r\n",
        };
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(ms));
            write!(out, "{id} {response}")
        });
        Ok(())
    }

    /// Responds with an error, and repeats it later.
    fn fail_twice(&mut self, id: &str) -> std::io::Result<()> {
        let mut out = self.out.try_clone()?;
        let response = format!("{id} 500 - 0\r\n\r\n");
        out.write_all(response.as_bytes())?;
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(150));
            out.write_all(response.as_bytes())
        });
        Ok(())
    }

    /// Sends a response for an unknown id, and then the valid response twice.
    fn respond_twice(&mut self, id: &str) -> std::io::Result<()> {
        let response = format!("{id} 200 sheets=2,toil=100,room=8 8\r\na\tb\nc\td\n\r\n");
        self.closes_at_fetch.insert(id.to_owned(), false);
        write!(self.out, "00000000000000ee 200 sheets=1 4\r\nx\ty\n\r\n{response}{response}")
    }
}
