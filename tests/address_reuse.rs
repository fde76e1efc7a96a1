//! Tests of an engine's process that comes up at the address of one that has gone.

mod common;

use common::{Program, endpoint, read_reply, start, wait_until};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A process of an engine on the line protocol, which can be ended. It answers health checks; a request whose statement
/// contains `hold` is not answered, and of one with `paged` only the first of three pages is sent.
struct EngineProcess {
    address: SocketAddr,
    ended: Arc<AtomicBool>,
    /// The command lines and statements that were received.
    received: Arc<Mutex<Vec<String>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl EngineProcess {
    fn start(address: SocketAddr) -> EngineProcess {
        // Connections of the process before may still be open at this address.
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.bind(&address.into()).unwrap();
        socket.listen(128).unwrap();
        let listener = TcpListener::from(socket);
        let process = EngineProcess {
            address: listener.local_addr().unwrap(),
            ended: Arc::default(),
            received: Arc::default(),
            connections: Arc::default(),
        };
        let (ended, received, connections) =
            (process.ended.clone(), process.received.clone(), process.connections.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                connections.lock().unwrap().push(stream.try_clone().unwrap());
                let received = received.clone();
                std::thread::spawn(move || serve(stream, &received));
            }
        });
        process
    }

    /// Closes the listener. Open connections stay.
    fn close_listener(&self) {
        self.ended.store(true, Ordering::Relaxed);
        drop(TcpStream::connect(self.address));
        wait_until("the listener is closed", || TcpStream::connect(self.address).is_err());
    }

    /// Ends the process: its listener and its connections are closed.
    fn end(&self) {
        self.close_listener();
        for connection in self.connections.lock().unwrap().iter() {
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }

    fn count(&self, text: &str) -> usize {
        self.received.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }
}

fn serve(mut stream: TcpStream, received: &Mutex<Vec<String>>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let answer = match words[..] {
            ["HELO" | "STAT", tag] => format!("{tag} alive l=util:0.1;queue:0;x0:0.1;x1:0.1\r\n"),
            ["REQ", id, _, length] => {
                let mut statement = vec![0; length.parse::<usize>().ok()? + 2];
                reader.read_exact(&mut statement).ok()?;
                let statement = String::from_utf8(statement).ok()?;
                received.lock().unwrap().push(statement.clone());
                match statement.as_str() {
                    text if text.contains("hold") => String::new(),
                    text if text.contains("paged") => {
                        format!("{id} 200 sheets=3,toil=9,room=1 4\r\na\tb\n\r\n")
                    }
                    _ => format!("{id} 200 sheets=1,toil=9,room=1 4\r\na\tb\n\r\n"),
                }
            }
            _ => String::new(),
        };
        received.lock().unwrap().push(line);
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

fn settings_without_progress() -> Value {
    let mut settings = common::settings();
    settings["familyInfo"]["tellsEveryMs"] = json!(10_000);
    json!({ "settings": settings })
}

/// Has the program learn that the old engine has gone and a new one is at its address.
fn list_new_engine(program: &Program, address: SocketAddr) {
    let known = json!({"rev": 2, "notices": [{"rev": 2, "pool": {"index": 2, "snapshot": true,
        "endpoints": [endpoint("new", address)]}}]});
    program.reload("known", known);
}

fn any_address() -> SocketAddr {
    SocketAddr::new(common::unique_address(), 0)
}

/// Guards against work of the old process that the new one gets: a request that may run once, the rest of a result, or
/// commands about requests that it does not know.
#[test]
fn a_process_at_the_address_of_an_ended_one_gets_none_of_its_work() {
    let old = EngineProcess::start(any_address());
    let program = start(&[old.address], settings_without_progress());
    let mut once = program.send("a", "post", 4000, None, "SELECT hold once");
    let mut paged = program.send("b", "post", 4000, None, "SELECT paged once");
    wait_until("both requests are in flight", || old.count("hold once") == 1 && old.count("FETCH") == 2);
    old.end();
    let new = EngineProcess::start(old.address);
    for stream in [&mut once, &mut paged] {
        assert_eq!(read_reply(stream).unwrap().status, 500, "possibly executed");
    }
    list_new_engine(&program, new.address);
    wait_until("the new process is used", || {
        let mut stream = program.send("c", "lookup", 1000, None, "SELECT ok");
        read_reply(&mut stream).is_some_and(|reply| reply.status == 200) && new.count("SELECT ok") > 0
    });
    for text in ["once", "FETCH", "STOP", "NICE", "END"] {
        assert_eq!(new.count(text), 0, "{text}");
    }
}

/// Guards against a second execution beside the first: the old process was cut off and says nothing, but may still
/// execute its requests. An answer of the new process at its address says nothing about them.
#[test]
fn a_process_at_the_address_of_a_silent_one_does_not_end_its_attempts() {
    let old = EngineProcess::start(any_address());
    let program = start(&[old.address], settings_without_progress());
    let mut once = program.send("a", "post", 3000, None, "SELECT hold once");
    let mut keyed = program.send("b", "load", 3000, Some("k1"), "LOAD hold keyed");
    wait_until("both requests are in flight", || old.count("hold once") == 1 && old.count("hold keyed") == 1);
    old.close_listener();
    let new = EngineProcess::start(old.address);
    list_new_engine(&program, new.address);
    wait_until("the new process is used", || {
        let mut stream = program.send("c", "lookup", 1000, None, "SELECT ok");
        read_reply(&mut stream).is_some_and(|reply| reply.status == 200) && new.count("SELECT ok") > 0
    });
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!((new.count("hold once"), new.count("hold keyed")), (0, 0));
    for stream in [&mut once, &mut keyed] {
        assert!(read_reply(stream).is_some(), "an answer in time");
    }
    assert_eq!((new.count("hold once"), new.count("hold keyed")), (0, 0));
    assert_eq!(new.count("STOP"), 0, "commands about the old process's requests");
}
