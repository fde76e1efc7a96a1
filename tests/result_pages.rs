//! Tests of how the pages of a result reach a client while the program drains, shuts down or is handed over.

mod common;

use common::engines::{self, Engine};
use common::{Program, Reply, read_reply, request, socket_activation, start, wait_until};
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time after which the program has closed its listener and its idle connections, if nothing is to be delivered. With a
/// margin for a busy machine.
const ALL_CLOSED: Duration = Duration::from_millis(1200);
/// The rows of the engine's result. With the configured page size each has a page of its own.
const ROWS: [[&str; 2]; 4] = [["a", "b"], ["c", "d"], ["e", "f"], ["e", "f"]];

/// How an operator ends the use of a program.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Sigterm,
    Drain,
}

fn paged_program() -> (Program, Engine) {
    let engine = engines::line_protocol();
    let program = start(&[engine.address], json!({ "page_bytes": 8 }));
    (program, engine)
}

fn end(program: &mut Program, end: End) {
    match end {
        End::Sigterm => program.terminate(),
        End::Drain => assert_eq!(program.ops("POST", "/admin/quiesce").unwrap().status, 200),
    }
    wait_until("the program is no longer ready", || program.call("GET", "/check", &[], "").status == 503);
}

fn rows(page: &Reply) -> Vec<[String; 2]> {
    serde_json::from_value(page.json()["result"].clone()).unwrap()
}

fn next_path(page: &Reply) -> Option<String> {
    page.json()["more"].as_str().map(str::to_owned)
}

fn get(stream: &mut TcpStream, path: &str) -> Reply {
    stream.write_all(request("GET", path, &[], "").as_bytes()).unwrap();
    read_reply(stream).expect("a page")
}

/// Fetches the further pages of a result, each with `get`, and checks that all rows came.
fn fetch_rest(first: Reply, mut get: impl FnMut(&str) -> Reply) -> Reply {
    let (mut page, mut found) = (first, Vec::new());
    loop {
        assert_eq!(page.status, 200);
        found.extend(rows(&page));
        let Some(path) = next_path(&page) else { break };
        page = get(&path);
    }
    assert_eq!(found, ROWS);
    page
}

/// Guards against a client that gets the first page of its result and loses the others, because its connection is closed
/// behind the first one, or while it handles it.
#[rstest]
#[case(End::Sigterm)]
#[case(End::Drain)]
fn pages_are_fetched_on_the_same_connection_to_the_last(#[case] how: End) {
    let (mut program, _engine) = paged_program();
    end(&mut program, how);
    let mut stream = program.send("a", "lookup", 15_000, None, "SELECT big");
    let first = read_reply(&mut stream).unwrap();
    std::thread::sleep(ALL_CLOSED);
    let last = fetch_rest(first, |path| get(&mut stream, path));
    assert_eq!(last.field("Connection"), Some("close"));
    if how == End::Sigterm {
        assert!(program.wait().success());
    }
}

/// Guards against the same loss where the client's connection breaks between two pages, or the client asks for its
/// close: the listener was closed by then.
#[test]
fn pages_are_fetched_on_new_connections_after_sigterm() {
    let (mut program, _engine) = paged_program();
    end(&mut program, End::Sigterm);
    let first = read_reply(&mut program.send("a", "lookup", 15_000, None, "SELECT big")).unwrap();
    std::thread::sleep(ALL_CLOSED);
    let rejected = read_reply(&mut program.send("b", "lookup", 900, None, "SELECT ok")).unwrap();
    assert_eq!((rejected.status, rejected.json()["fault"].as_str()), (503, Some("Rejected")));
    fetch_rest(first, |path| program.call("GET", path, &[("Connection", "close")], ""));
    assert!(program.wait().success());
}

/// Guards against a new connection that is closed before its first request arrives, because idle connections are being
/// closed: a client connects first and sends its request a moment later.
#[test]
fn a_page_is_fetched_by_a_client_that_has_connected_a_moment_before() {
    let (mut program, _engine) = paged_program();
    end(&mut program, End::Sigterm);
    let first = read_reply(&mut program.send("a", "lookup", 15_000, None, "SELECT big")).unwrap();
    std::thread::sleep(ALL_CLOSED);
    fetch_rest(first, |path| {
        let mut stream = program.connect();
        std::thread::sleep(Duration::from_millis(20));
        get(&mut stream, path)
    });
    assert!(program.wait().success());
}

/// Guards against pages that no process has after an upgrade: new connections reach the next process.
#[test]
fn a_process_that_is_handed_over_delivers_the_rest_on_open_connections() {
    let engine = engines::line_protocol();
    let sockets = socket_activation(&[engine.address], json!({ "page_bytes": 8 }));
    let mut old = sockets.start();
    let (mut begun, mut idle) = (
        old.send("a", "lookup", 15_000, None, "SELECT big"),
        old.send("b", "lookup", 900, None, "SELECT ok"),
    );
    let first = read_reply(&mut begun).unwrap();
    assert_eq!(read_reply(&mut idle).unwrap().status, 200);
    let _new = sockets.start();
    old.terminate();
    wait_until("the old process is handed over", || {
        idle.write_all(request("GET", "/check", &[], "").as_bytes()).unwrap();
        read_reply(&mut idle).is_none_or(|reply| reply.field("Connection") == Some("close"))
    });
    std::thread::sleep(ALL_CLOSED);
    fetch_rest(first, |path| get(&mut begun, path));
    assert!(old.wait().success());
}

/// Guards against a shutdown that waits for a client that has given up its result, or for a silent one beyond its time.
#[rstest]
#[case::deleted(15_000, true)]
#[case::expired(1_000, false)]
fn a_result_that_nobody_waits_for_does_not_delay_the_shutdown(#[case] ttl_ms: u64, #[case] deletes: bool) {
    let (mut program, _engine) = paged_program();
    end(&mut program, End::Sigterm);
    let began = Instant::now();
    let mut stream = program.send("a", "lookup", ttl_ms, None, "SELECT big");
    let path = next_path(&read_reply(&mut stream).unwrap()).unwrap();
    if deletes {
        assert_eq!(program.call("DELETE", &path, &[], "").status, 200);
    }
    assert!(program.wait().success());
    assert!(began.elapsed() < Duration::from_millis(4000), "{:?}", began.elapsed());
}
