//! What ends something, and what crosses it: `docs/endings.md` has a row for each.

mod common;

use common::engines::{self, Blocked, Late};
use common::{Program, TOKEN, names, on_platform, read_reply, request, settings, start, until};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Settings under which the program asks engines nothing and fills them as it likes, so that only requests are on
/// the connections.
fn quiet(connect_ms: u64) -> Value {
    let mut settings = settings();
    settings["allowed"]["probes"] = json!(false);
    settings["allowed"]["connectTimeoutMs"] = json!(connect_ms);
    settings["familyInfo"]["kindCores"] = json!([1000]);
    json!({ "settings": settings })
}

/// A statement that no socket of [`Blocked`] has room for.
fn long(word: &str) -> String {
    format!("SELECT {word} {}", "x".repeat(60_000))
}

/// Guards against a send to an engine that drains: what stood behind a connection that came up late was written
/// whenever it was up.
#[test]
fn a_draining_engine_gets_nothing_that_stood_behind_a_late_connection() {
    let late = Late::lines();
    let resolver = names::service(vec![late.engine.address]);
    let mut more = quiet(10_000);
    more["resolver"] = json!("127.0.0.1:9");
    let program = start(&[late.engine.address], more);
    let mut stream = program.send("r", "lookup", 4900, None, "SELECT 1");
    let state = || program.admin("GET", "/engines", TOKEN).json()["engines"][0].clone();
    until("it is sent", || state()["attempts_out"] == 1);
    program.reload("resolver", json!(resolver.to_string()));
    until("the engine drains", || state()["state"] == "draining");
    let engine = late.go_on();
    assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(503));
    std::thread::sleep(ms(300));
    assert_eq!(engine.count("SELECT 1"), 0, "{:?}", engine.seen);
}

fn blocked() -> (Program, Blocked) {
    let blocked = Blocked::start();
    let program = start(&[blocked.engine.address], quiet(250));
    (program, blocked)
}

/// Sends a request that the engine has no room for, and waits until it is there in part.
fn in_part(program: &Program, class: &str, word: &str) -> TcpStream {
    let stream = program.send(word, class, 4900, None, &long(word));
    let out = || program.admin("GET", "/engines", TOKEN).json()["engines"][0]["attempts_out"].clone();
    until("it is sent", || out() == 1);
    std::thread::sleep(ms(200));
    stream
}

/// Guards against a request that reaches an engine after its answer, as it stood behind others that the engine did
/// not read.
#[test]
fn what_waits_behind_an_engine_that_reads_nothing_is_not_written_once_it_is_over() {
    let (program, blocked) = blocked();
    let _first = in_part(&program, "lookup", "first");
    let reply = read_reply(&mut program.send("over", "lookup", 300, None, "SELECT over")).unwrap();
    assert_eq!(reply.status, 503);
    blocked.go_on(true);
    until("the engine reads on", || blocked.engine.count("SELECT first") == 1);
    let served = read_reply(&mut program.send("next", "lookup", 4000, None, "SELECT next")).unwrap();
    assert_eq!((served.status, blocked.engine.count("SELECT over")), (200, 0));
}

/// Guards against the rest of a request that is written after its client has left.
#[test]
fn the_rest_of_a_request_is_not_written_once_it_is_over() {
    let (program, blocked) = blocked();
    drop(in_part(&program, "lookup", "gone"));
    let out = || program.admin("GET", "/engines", TOKEN).json()["engines"][0]["attempts_out"].clone();
    until("it is given up", || out() == 0);
    std::thread::sleep(ms(100));
    blocked.go_on(true);
    let served = read_reply(&mut program.send("next", "lookup", 4000, None, "SELECT next")).unwrap();
    assert_eq!((served.status, blocked.engine.count("SELECT gone")), (200, 0));
}

/// Guards against unsafe work that is failed although it surely never ran: its engine can't have the whole of it.
#[test]
fn unsafe_work_that_was_written_in_part_is_sent_again() {
    let (program, blocked) = blocked();
    let mut stream = in_part(&program, "post", "unsafe");
    blocked.go_on(false);
    assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(200));
    assert_eq!(blocked.engine.count("SELECT unsafe"), 1);
}

/// Guards against a way to the name service that has fallen silent for good: the questions go out by another.
#[test]
fn a_name_service_that_hears_one_socket_no_more_is_asked_from_another() {
    let (old, new) = (engines::lines(), engines::lines());
    let both = vec![old.address, new.address];
    let mut deaf: Option<SocketAddr> = None;
    let resolver = names::service_for(both.clone(), move |from| *deaf.get_or_insert(from) != from);
    let program = start(&both, json!({"resolver": resolver.to_string()}));
    let state = || program.admin("GET", "/engines", TOKEN).json()["engines"][0]["state"].clone();
    until("the first engine drains", || state() == "draining");
}
