//! Tests of how requests, connections and the program end while other events happen concurrently. `docs/endings.md` has
//! a row for each case.

mod common;

use common::engines::{self, BlockedEngine, Engine, LateEngine, Unblock};
use common::{
    Program, TOKEN, dns, endpoint, read_reply, request, settings, start, start_on_platform, wait_until,
};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time between SIGTERM and the platform's SIGKILL if the longest deadline is 3 s or more.
const KILL_DELAY: Duration = Duration::from_millis(3700);
/// Time after SIGTERM by which the program has stopped accepting connections (after 0.8 s), with a margin for a busy
/// machine.
const ACCEPT_STOPPED: Duration = Duration::from_millis(1200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Settings without health checks and without a limit on the engines' load, so that connections carry only requests.
fn quiet(connect_ms: u64) -> Value {
    let mut settings = settings();
    settings["allowed"]["probes"] = json!(false);
    settings["allowed"]["connectTimeoutMs"] = json!(connect_ms);
    settings["familyInfo"]["kindCores"] = json!([1000]);
    json!({ "settings": settings })
}

/// Settings with a long interval of progress notes (10 s), so that a silent attempt is not treated as lost.
fn slow_progress_reports() -> Value {
    let mut settings = settings();
    settings["familyInfo"]["tellsEveryMs"] = json!(10_000);
    settings["classes"][3]["deadlineMs"] = json!(20_000);
    json!({ "settings": settings })
}

/// A statement that does not fit into the socket buffers of [`BlockedEngine`].
fn long(word: &str) -> String {
    format!("SELECT {word} {}", "x".repeat(60_000))
}

/// A request in two parts, to be sent separately.
fn halves(name: &str) -> (String, String) {
    let fields = [("X-Txn", name), ("X-Ttl-Ms", "4000"), ("X-Merchant", "acme")];
    let mut first = request("POST", "/do/lookup", &fields, "SELECT ok");
    let second = first.split_off(first.len() - 5);
    (first, second)
}

/// Guards against requests that are still open at SIGKILL: a client whose deadline was later got no answer. (Observed
/// in the testbed: 273 of 288 restarts ended by SIGKILL, with up to 7 requests open.)
#[rstest]
#[case("report", 503)]
#[case("post", 500)]
fn graceful_shutdown_sends_every_answer_before_sigkill(#[case] class: &str, #[case] status: u16) {
    let engine = engines::line_protocol();
    let mut program = start_on_platform(&[engine.address], slow_progress_reports());
    let mut open = program.send("t", class, 15_000, None, "SELECT slow");
    wait_until("the request is in flight", || engine.count("REQ") == 1);
    let began = Instant::now();
    program.terminate();
    assert_eq!(read_reply(&mut open).map(|reply| reply.status), Some(status));
    assert!(program.wait().success());
    assert!(began.elapsed() < KILL_DELAY, "{:?}", began.elapsed());
    wait_until("the engine receives STOP", || engine.count("STOP") == 1);
}

/// Guards against a shutdown that ends before a partly received request is answered.
#[test]
fn a_request_half_received_when_accepting_stops_is_answered() {
    let engine = engines::line_protocol();
    let mut program = start_on_platform(&[engine.address], json!({}));
    let (mut stream, (first, second)) = (program.connect(), halves("00000000000000aa"));
    stream.write_all(first.as_bytes()).unwrap();
    program.terminate();
    std::thread::sleep(ACCEPT_STOPPED);
    stream.write_all(second.as_bytes()).unwrap();
    assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(503));
    assert!(program.wait().success());
}

/// Guards against closing the listening socket while connections are in its backlog, which resets them.
#[test]
fn a_connection_in_the_backlog_when_accepting_stops_is_answered() {
    let engine = engines::line_protocol();
    let mut program = start_on_platform(&[engine.address], json!({}));
    program.terminate();
    wait_until("the health check answers 503", || program.call("GET", "/check", &[], "").status == 503);
    program.pause(true);
    let mut waiting: Vec<TcpStream> =
        (0..8).map(|number| program.send(&number.to_string(), "lookup", 4000, None, "SELECT ok")).collect();
    std::thread::sleep(ACCEPT_STOPPED);
    program.pause(false);
    for stream in &mut waiting {
        assert!(read_reply(stream).is_some(), "a connection in the backlog was closed without an answer");
    }
    assert!(program.wait().success());
}

/// Guards against a connection without a request that delays the shutdown, or is reset.
#[test]
fn a_silent_connection_does_not_delay_shutdown() {
    let engine = engines::line_protocol();
    let mut program = start_on_platform(&[engine.address], json!({}));
    let silent: Vec<TcpStream> = (0..4).map(|_| program.connect()).collect();
    let began = Instant::now();
    program.terminate();
    assert!(program.wait().success());
    assert!(began.elapsed() < ms(2200), "{:?}", began.elapsed());
    drop(silent);
}

/// Guards against a disconnect that is not noticed behind pipelined input, so that the request is executed or retried
/// without a client.
#[test]
fn the_disconnect_of_a_client_with_much_pipelined_input_is_noticed() {
    let engine = engines::line_protocol();
    let program = start(&[engine.address], slow_progress_reports());
    let mut stream = program.send("t", "report", 15_000, None, "SELECT slow");
    wait_until("the request is in flight", || engine.count("REQ") == 1);
    stream.write_all(&vec![b'x'; 200_000]).unwrap();
    drop(stream);
    let began = Instant::now();
    wait_until("the engine receives STOP", || engine.count("STOP") == 1);
    assert!(began.elapsed() < ms(5000), "{:?}", began.elapsed());
}

/// Guards against pipelined input beyond the input buffer that costs a client its answer. The client gets its answer,
/// and its connection is closed.
#[test]
fn a_client_that_never_stops_sending_gets_its_answer_and_is_closed() {
    let engine = engines::line_protocol();
    let program = start(&[engine.address], json!({}));
    let mut stream = program.send("t", "lookup", 4000, None, "SELECT nap");
    wait_until("the request is in flight", || engine.count("REQ") == 1);
    stream.write_all(&vec![b'x'; 150_000]).unwrap();
    let reply = read_reply(&mut stream).expect("an answer");
    assert_eq!((reply.status, reply.field("Connection")), (200, Some("close")));
}

/// Guards against an attempt on a draining engine. A request that was queued until its connection was established was
/// written even though the engine had started to drain.
#[test]
fn a_draining_engine_is_sent_nothing_queued_behind_a_late_connection() {
    let late = LateEngine::line_protocol();
    let resolver = dns::server(vec![late.engine.address]);
    let mut more = quiet(10_000);
    more["resolver"] = json!("127.0.0.1:9");
    let program = start(&[late.engine.address], more);
    let mut stream = program.send("r", "lookup", 4900, None, "SELECT 1");
    let state = || program.admin("GET", "/engines", TOKEN).json()["engines"][0].clone();
    wait_until("the attempt is listed", || state()["attempts_out"] == 1);
    program.reload("resolver", json!(resolver.to_string()));
    wait_until("the engine drains", || state()["state"] == "draining");
    let engine = late.accept_connections();
    assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(503));
    std::thread::sleep(ms(300));
    assert_eq!(engine.count("SELECT 1"), 0, "{:?}", engine.received);
}

fn blocked() -> (Program, BlockedEngine) {
    let blocked = BlockedEngine::start();
    let program = start(&[blocked.engine.address], quiet(250));
    (program, blocked)
}

/// Sends a request that does not fit into the engine's socket buffers, and waits until a part of it is written.
fn send_in_part(program: &Program, class: &str, word: &str) -> TcpStream {
    let stream = program.send(word, class, 4900, None, &long(word));
    let out = || program.admin("GET", "/engines", TOKEN).json()["engines"][0]["attempts_out"].clone();
    wait_until("the attempt is listed", || out() == 1);
    std::thread::sleep(ms(200));
    stream
}

/// Guards against a request that is written to an engine after its final answer, because it was queued behind a request
/// that the engine had not read.
#[test]
fn a_request_queued_behind_a_blocked_engine_is_not_written_once_answered() {
    let (program, blocked) = blocked();
    let _first = send_in_part(&program, "lookup", "first");
    let reply = read_reply(&mut program.send("over", "lookup", 300, None, "SELECT over")).unwrap();
    assert_eq!(reply.status, 503);
    blocked.unblock(Unblock::Read);
    wait_until("the engine has read the first request", || blocked.engine.count("SELECT first") == 1);
    let served = read_reply(&mut program.send("next", "lookup", 4000, None, "SELECT next")).unwrap();
    assert_eq!((served.status, blocked.engine.count("SELECT over")), (200, 0));
}

/// Guards against writing the rest of a partly written request after its client has disconnected.
#[test]
fn the_rest_of_a_request_is_not_written_after_its_client_disconnected() {
    let (program, blocked) = blocked();
    drop(send_in_part(&program, "lookup", "gone"));
    let out = || program.admin("GET", "/engines", TOKEN).json()["engines"][0]["attempts_out"].clone();
    wait_until("the attempt has ended", || out() == 0);
    std::thread::sleep(ms(100));
    blocked.unblock(Unblock::Read);
    let served = read_reply(&mut program.send("next", "lookup", 4000, None, "SELECT next")).unwrap();
    assert_eq!((served.status, blocked.engine.count("SELECT gone")), (200, 0));
}

/// Guards against a non-idempotent request that fails although it was never executed: its engine can't have received it
/// completely.
#[test]
fn a_non_idempotent_request_written_in_part_is_retried() {
    let (program, blocked) = blocked();
    let mut stream = send_in_part(&program, "post", "unsafe");
    blocked.unblock(Unblock::Close);
    assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(200));
    assert_eq!(blocked.engine.count("SELECT unsafe"), 1);
}

/// Guards against a socket to the name service that receives no more answers. Queries are then sent from a new socket.
#[test]
fn the_name_service_is_polled_from_a_new_socket_when_one_gets_no_answers() {
    let (old, new) = (engines::line_protocol(), engines::line_protocol());
    let both = vec![old.address, new.address];
    let mut unanswered: Option<SocketAddr> = None;
    let resolver = dns::server_for(both.clone(), move |from| *unanswered.get_or_insert(from) != from);
    let program = start(&both, json!({"resolver": resolver.to_string()}));
    let state = || program.admin("GET", "/engines", TOKEN).json()["engines"][0]["state"].clone();
    wait_until("the first engine drains", || state() == "draining");
}

/// Guards against an idle connection whose health checks are never answered. Its engine was unavailable until the
/// connection's idle timeout.
#[test]
fn a_connection_with_only_unanswered_health_checks_is_replaced() {
    let blocked = BlockedEngine::start();
    let mut settings = settings();
    settings["allowed"]["connectTimeoutMs"] = json!(250);
    let program = start(&[blocked.engine.address], json!({ "settings": settings }));
    std::thread::sleep(ms(4000)); // the first connection has been silent for 3 s
    let reply = read_reply(&mut program.send("r", "lookup", 4900, None, "SELECT 1")).unwrap();
    assert_eq!((reply.status, blocked.engine.count("SELECT 1")), (200, 1));
}

/// Guards against an engine that stays ejected for good, because each of its answers to a health check comes after the
/// time-out and was dropped.
#[rstest]
#[case(engines::line_protocol(), json!({ "wire": "lines" }))]
#[case(engines::tds(), json!({ "wire": "tds", "user": "u" }))]
fn an_engine_whose_health_checks_are_answered_late_is_used(#[case] engine: Engine, #[case] wire: Value) {
    engine.delay_health_checks(ms(400));
    let mut settings = settings();
    settings["allowed"]["connectTimeoutMs"] = json!(250);
    let program = start(&[engine.address], json!({ "settings": settings, "engines": wire }));
    std::thread::sleep(ms(4000)); // more than two health checks have timed out
    let reply = read_reply(&mut program.send("r", "lookup", 4900, None, "SELECT ok")).unwrap();
    assert_eq!(reply.status, 200);
}

/// Guards against attempts that are treated as lost while they are in flight, so that long requests are never served.
/// If engines send no progress notes, their absence is no sign of a loss.
#[rstest]
fn an_attempt_without_progress_reports_runs_to_its_end(#[values(true, false)] health_checks: bool) {
    let engine = engines::line_protocol();
    let program = start(&[engine.address], if health_checks { json!({}) } else { quiet(250) });
    let reply = read_reply(&mut program.send("r", "report", 15_000, None, "SELECT long nap")).unwrap();
    assert_eq!((reply.status, engine.count("SELECT long nap")), (200, 1));
}

/// Guards against a retry that is written after its deduplication window, because it was queued until a connection was
/// established. Engines no longer recognise it as a retry.
#[test]
fn a_retry_is_not_written_after_the_deduplication_window() {
    let (first, late) = (engines::line_protocol(), LateEngine::line_protocol());
    let known = |rev: u32, statuses: [&str; 2]| {
        let mut both = [endpoint("e0", first.address), endpoint("late", late.engine.address)];
        both.iter_mut().zip(statuses).for_each(|(one, status)| one["status"] = json!(status));
        json!({"rev": rev, "notices": [{"rev": rev, "pool": {"snapshot": true, "endpoints": both}}]})
    };
    let mut more = quiet(10_000);
    more["settings"]["classes"][2]["windowMs"] = json!(2000);
    more["known"] = known(1, ["ready", "draining"]);
    let program = start(&[first.address], more);
    let mut stream = program.send("k", "load", 8000, Some("key"), "LOAD nap then fail");
    wait_until("the request is in flight", || first.count("REQ") == 1);
    program.reload("known", known(2, ["draining", "ready"]));
    wait_until("the retry is queued for the late engine", || {
        std::thread::sleep(ms(100)); // the API limits the rate of calls
        let state = program.admin("GET", "/engines", TOKEN).json();
        let waits = |one: &Value| one["name"] == "late" && one["attempts_out"] == 1;
        state["engines"].as_array().unwrap().iter().any(waits)
    });
    std::thread::sleep(ms(2000));
    let engine = late.accept_connections();
    assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(500));
    assert_eq!(engine.count("REQ"), 0, "{:?}", engine.received);
}

/// Guards against an engine that works on a request longer than its client waits. The request was written with the time
/// budget that was left when the connection was requested, not when the request was written.
#[test]
fn a_request_written_late_has_the_time_that_its_client_has_left() {
    const TIME_BUDGET_MS: u64 = 4000;
    let late = LateEngine::line_protocol();
    let program = start(&[late.engine.address], quiet(3000));
    let sent = Instant::now();
    let client = program.send("t", "lookup", TIME_BUDGET_MS, None, "SELECT ok");
    std::thread::sleep(ms(500));
    let engine = late.accept_connections();
    wait_until("the engine has received the request", || engine.count("REQ") == 1);
    let waited_ms = u64::try_from(sent.elapsed().as_millis()).unwrap();
    let line = engine.received.lock().unwrap().iter().find(|line| line.starts_with("REQ")).unwrap().clone();
    let patience = line.split("patience=").nth(1).and_then(|rest| rest.split(',').next()).unwrap();
    let patience_ms: u64 = patience.parse().unwrap();
    assert!(
        patience_ms <= TIME_BUDGET_MS - waited_ms + 150,
        "time budget sent {patience_ms} ms, after waiting {waited_ms} ms: {line}"
    );
    drop(client);
}
