//! What ends something, and what crosses it: `docs/endings.md` has a row for each.

mod common;

use common::engines::{self, Blocked, Late};
use common::{Program, TOKEN, endpoint, names, on_platform, read_reply, request, settings, start, until};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The platform's SIGKILL comes so long after SIGTERM, where the longest deadline is 3 s or more.
const FORCE: Duration = Duration::from_millis(3700);
/// New connections come no more by then (0.8 s), also on a busy machine.
const DOORS_SHUT: Duration = Duration::from_millis(1200);

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

/// Settings under which an engine that says nothing is not given up for long.
fn unhurried() -> Value {
    let mut settings = settings();
    settings["familyInfo"]["tellsEveryMs"] = json!(10_000);
    settings["classes"][3]["deadlineMs"] = json!(20_000);
    json!({ "settings": settings })
}

/// A statement that no socket of [`Blocked`] has room for.
fn long(word: &str) -> String {
    format!("SELECT {word} {}", "x".repeat(60_000))
}

/// Two parts of a request, to be sent one after the other.
fn halves(name: &str) -> (String, String) {
    let fields = [("X-Txn", name), ("X-Ttl-Ms", "4000"), ("X-Merchant", "acme")];
    let mut first = request("POST", "/do/lookup", &fields, "SELECT ok");
    let second = first.split_off(first.len() - 5);
    (first, second)
}

/// Guards against a planned restart that leaves requests to SIGKILL: a client whose deadline is beyond it got no
/// answer. (Seen on the bench: of 288 restarts 273 ended by force, with up to 7 requests open.)
#[rstest]
#[case("report", 503)]
#[case("post", 500)]
fn a_planned_restart_gives_every_answer_before_it_ends_by_force(#[case] class: &str, #[case] status: u16) {
    let engine = engines::lines();
    let mut program = on_platform(&[engine.address], unhurried());
    let mut open = program.send("t", class, 15_000, None, "SELECT slow");
    until("it runs", || engine.count("REQ") == 1);
    let began = Instant::now();
    program.terminate();
    assert_eq!(read_reply(&mut open).map(|reply| reply.status), Some(status));
    assert!(program.wait().success());
    assert!(began.elapsed() < FORCE, "{:?}", began.elapsed());
    until("its work is stopped", || engine.count("STOP") == 1);
}

/// Guards against an end under a request whose last bytes are on the way when clients stop coming.
#[test]
fn a_request_half_read_when_the_doors_shut_is_answered() {
    let engine = engines::lines();
    let mut program = on_platform(&[engine.address], json!({}));
    let (mut stream, (first, second)) = (program.connect(), halves("00000000000000aa"));
    stream.write_all(first.as_bytes()).unwrap();
    program.terminate();
    std::thread::sleep(DOORS_SHUT);
    stream.write_all(second.as_bytes()).unwrap();
    assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(503));
    assert!(program.wait().success());
}

/// Guards against a close of the listening socket over connections that nobody had taken yet.
#[test]
fn who_stands_in_the_queue_when_the_doors_shut_is_answered() {
    let engine = engines::lines();
    let mut program = on_platform(&[engine.address], json!({}));
    program.terminate();
    until("the health check says so", || program.call("GET", "/check", &[], "").status == 503);
    program.pause(true);
    let mut waiting: Vec<TcpStream> =
        (0..8).map(|number| program.send(&number.to_string(), "lookup", 4000, None, "SELECT ok")).collect();
    std::thread::sleep(DOORS_SHUT);
    program.pause(false);
    for stream in &mut waiting {
        assert!(read_reply(stream).is_some(), "a connection that was accepted has its answer");
    }
    assert!(program.wait().success());
}

/// Guards against a connection that brings nothing and holds up the end, or is cut without a shutdown.
#[test]
fn a_silent_connection_holds_up_no_end() {
    let engine = engines::lines();
    let mut program = on_platform(&[engine.address], json!({}));
    let silent: Vec<TcpStream> = (0..4).map(|_| program.connect()).collect();
    let began = Instant::now();
    program.terminate();
    assert!(program.wait().success());
    assert!(began.elapsed() < ms(2200), "{:?}", began.elapsed());
    drop(silent);
}

/// Guards against a client whose leaving is not seen behind what it has sent ahead: its request ran, or was sent
/// on, for nobody.
#[test]
fn a_client_that_has_sent_much_ahead_is_seen_to_leave() {
    let engine = engines::lines();
    let program = start(&[engine.address], unhurried());
    let mut stream = program.send("t", "report", 15_000, None, "SELECT slow");
    until("it runs", || engine.count("REQ") == 1);
    stream.write_all(&vec![b'x'; 200_000]).unwrap();
    drop(stream);
    let began = Instant::now();
    until("its work is stopped", || engine.count("STOP") == 1);
    assert!(began.elapsed() < ms(5000), "{:?}", began.elapsed());
}

/// What a client has sent ahead beyond what is kept costs it its connection, and not its answer.
#[test]
fn a_client_that_sends_for_ever_has_its_answer_and_no_more() {
    let engine = engines::lines();
    let program = start(&[engine.address], json!({}));
    let mut stream = program.send("t", "lookup", 4000, None, "SELECT nap");
    until("it runs", || engine.count("REQ") == 1);
    stream.write_all(&vec![b'x'; 150_000]).unwrap();
    let reply = read_reply(&mut stream).expect("an answer");
    assert_eq!((reply.status, reply.field("Connection")), (200, Some("close")));
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

/// Guards against an idle connection on which probes go unanswered for ever: the engine was out until its idle time.
#[test]
fn a_connection_on_which_only_probes_are_unanswered_is_left() {
    let blocked = Blocked::start();
    let mut settings = settings();
    settings["allowed"]["connectTimeoutMs"] = json!(250);
    let program = start(&[blocked.engine.address], json!({ "settings": settings }));
    std::thread::sleep(ms(4000)); // the first connection has been silent for 3 s
    let reply = read_reply(&mut program.send("r", "lookup", 4900, None, "SELECT 1")).unwrap();
    assert_eq!((reply.status, blocked.engine.count("SELECT 1")), (200, 1));
}

/// Guards against work that is given up as lost in the middle of it, and never served: where engines tell nothing
/// of a request that runs, their silence on it says nothing.
#[rstest]
fn work_of_which_engines_tell_nothing_runs_to_its_end(#[values(true, false)] probes: bool) {
    let engine = engines::lines();
    let program = start(&[engine.address], if probes { json!({}) } else { quiet(250) });
    let reply = read_reply(&mut program.send("r", "report", 15_000, None, "SELECT long nap")).unwrap();
    assert_eq!((reply.status, engine.count("SELECT long nap")), (200, 1));
}

/// Guards against a repeat that engines no longer take for one, as it stood behind a connection that came up late.
#[test]
fn a_repeat_is_not_written_once_the_window_is_over() {
    let (first, late) = (engines::lines(), Late::lines());
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
    until("it runs", || first.count("REQ") == 1);
    program.reload("known", known(2, ["draining", "ready"]));
    until("the repeat waits for its connection", || {
        std::thread::sleep(ms(100)); // so many calls at once are taken and no more
        let state = program.admin("GET", "/engines", TOKEN).json();
        let waits = |one: &Value| one["name"] == "late" && one["attempts_out"] == 1;
        state["engines"].as_array().unwrap().iter().any(waits)
    });
    std::thread::sleep(ms(2000));
    let engine = late.go_on();
    assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(500));
    assert_eq!(engine.count("REQ"), 0, "{:?}", engine.seen);
}
