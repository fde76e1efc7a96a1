//! A request has at most one attempt in flight: on an engine from its last byte read until its end is written, or the
//! engine has read the stop or the close. `docs/incidents/0001-retry-beside-a-running-attempt.md` has the reason.

mod common;

use common::engines::{self, Engine};
use common::{Program, endpoint, read_reply, settings, start, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Engines report progress at this interval; the program gives an attempt up after three without a report.
const PROGRESS_INTERVAL_MS: u64 = 500;
/// A pause of an engine that begins before the program gives its attempt up, and lasts beyond that; it ends before
/// clients are sent away (0.5 s after the attempt was given up).
const BEFORE_GIVE_UP: Duration = Duration::from_millis(1100);
const BEYOND_GIVE_UP: Duration = Duration::from_millis(650);
/// Engines that are new in the list get requests once they have been checked.
const NEW_ENGINES_READY: Duration = Duration::from_millis(1400);
/// A request that can't be retried is answered within this time: three reports are missing, then the engine has half a
/// second to read the close. The rest is for a busy machine.
const ANSWERED_WITHIN: Duration = Duration::from_millis(3500);
/// How long clients wait.
const TIME_BUDGET_MS: u64 = 4900;

fn with_progress_reports() -> Value {
    let mut settings = settings();
    settings["familyInfo"]["tellsEveryMs"] = json!(PROGRESS_INTERVAL_MS);
    json!({ "settings": settings })
}

/// Three engines, and a program in front of them that knows the first only.
struct Service {
    program: Program,
    engines: Vec<Engine>,
}

impl Service {
    fn start(overrides: Value) -> Service {
        Service::on((0..3).map(|_| engines::line_protocol()).collect(), overrides)
    }

    /// One on engines that speak TDS.
    fn start_on_tds() -> Service {
        let mut overrides = with_progress_reports();
        overrides["engines"] = json!({"wire": "tds", "user": "u"});
        Service::on((0..3).map(|_| engines::tds()).collect(), overrides)
    }

    fn on(engines: Vec<Engine>, overrides: Value) -> Service {
        let program = start(&[engines[0].address], overrides);
        Service { program, engines }
    }

    /// Sends a request with each of these statements, and waits until all are on the first engine.
    fn send_to_first(&self, class: &str, statements: &[&str]) -> Vec<TcpStream> {
        let numbered = statements.iter().enumerate();
        let send = |(number, statement): (usize, &&str)| {
            self.program.send(&name(number), class, TIME_BUDGET_MS, None, statement)
        };
        let clients = numbered.map(send).collect();
        wait_until("each request is on the engine", || self.engines[0].count("SELECT") == statements.len());
        clients
    }

    /// Lists the other engines as ready and the first as draining, so that retries go to the others.
    fn drain_first(&self) {
        let numbered = self.engines.iter().enumerate();
        let mut endpoints: Vec<Value> =
            numbered.map(|(number, engine)| endpoint(&format!("e{number}"), engine.address)).collect();
        endpoints[0]["status"] = json!("draining");
        let list = json!([{"rev": 2, "pool": {"snapshot": true, "endpoints": endpoints}}]);
        self.program.reload("known", json!({"rev": 2, "notices": list}));
    }

    /// How many requests the other engines have read.
    fn elsewhere(&self) -> usize {
        self.engines[1..].iter().map(|engine| engine.count("SELECT")).sum()
    }
}

fn name(number: usize) -> String {
    format!("{number:02}")
}

/// Guards against two attempts at once where an engine that is silent about a request, or about all, has not read its
/// stop or the close yet.
#[rstest]
#[case::about_some(&["SELECT slow", "SELECT slow", "SELECT slow", "SELECT chatty"])]
#[case::about_all(&["SELECT slow", "SELECT slow", "SELECT slow", "SELECT slow"])]
fn a_request_given_up_as_silent_is_not_retried_before_its_engine_has_read_the_stop(
    #[case] statements: &[&str],
) {
    let service = Service::start(with_progress_reports());
    let clients = service.send_to_first("lookup", statements);
    service.drain_first();
    std::thread::sleep(BEFORE_GIVE_UP);
    service.engines[0].pause(true);
    std::thread::sleep(BEYOND_GIVE_UP);
    assert_eq!(service.elsewhere(), 0, "a second attempt began, and the engine has read no stop");
    service.engines[0].pause(false);
    wait_until("requests are retried", || service.elsewhere() > 0);
    drop(clients);
}

/// Guards against a request that is retried beside an attempt on an engine that hangs, and against one whose client
/// waits to its deadline for nothing. Its client may repeat a request of a repeatable class (503) and not one that may
/// have been executed (500).
#[rstest]
#[case("lookup", 503)]
#[case("post", 500)]
fn a_request_on_an_engine_that_hangs_is_answered_and_not_retried(#[case] class: &str, #[case] status: u16) {
    let service = Service::start(with_progress_reports());
    let mut clients = service.send_to_first(class, &["SELECT slow"]);
    service.engines[0].pause(true);
    service.drain_first();
    let began = Instant::now();
    assert_eq!(read_reply(&mut clients[0]).map(|reply| reply.status), Some(status));
    assert!(began.elapsed() < ANSWERED_WITHIN, "{:?}", began.elapsed());
    assert_eq!(service.elsewhere(), 0);
}

/// Guards against two attempts with one idempotency key: they wait for the engine, as a client's retry has the same key.
#[test]
fn a_request_with_a_key_waits_until_the_hung_engine_has_read_the_close() {
    let service = Service::start(with_progress_reports());
    let client = service.program.send("k", "load", 12_000, Some("key"), "SELECT mute");
    wait_until("it is on the engine", || service.engines[0].count("REQ") == 1);
    service.engines[0].pause(true);
    service.drain_first();
    std::thread::sleep(ANSWERED_WITHIN);
    assert_eq!(service.elsewhere(), 0, "a second attempt began, and the engine has not read the close");
    service.engines[0].pause(false);
    wait_until("it is retried", || service.elsewhere() == 1);
    drop(client);
}

/// Guards against two attempts at once where a client resends a request, or retries one with the same key, while the
/// engine has not read the stop of the attempt before.
#[rstest]
#[case::resent("report", "r", "r", None)]
#[case::retried("load", "r", "s", Some("key"))]
fn a_client_that_comes_again_waits_until_the_engine_has_read_the_stop(
    #[case] class: &str,
    #[case] first: &str,
    #[case] second: &str,
    #[case] key: Option<&str>,
) {
    let service = Service::start(with_progress_reports());
    let client = service.program.send(first, class, TIME_BUDGET_MS, key, "SELECT slow");
    wait_until("it is on the engine", || service.engines[0].count("REQ") == 1);
    service.engines[0].pause(true);
    service.drain_first();
    drop(client);
    std::thread::sleep(NEW_ENGINES_READY);
    let again = service.program.send(second, class, TIME_BUDGET_MS, key, "SELECT slow");
    std::thread::sleep(NEW_ENGINES_READY);
    assert_eq!(service.elsewhere(), 0, "a second attempt began, and the engine has not read the stop");
    service.engines[0].pause(false);
    wait_until("it is sent", || service.elsewhere() == 1);
    drop(again);
}

/// Guards against an answer that an engine repeats late, and that is taken for the answer to the retry: a third attempt
/// began beside the second.
#[test]
fn a_repeated_answer_is_not_taken_for_that_of_the_retry() {
    let engine = engines::line_protocol();
    let program = start(&[engine.address], with_progress_reports());
    let client = program.send("t", "lookup", TIME_BUDGET_MS, None, "SELECT stutter");
    wait_until("it is retried", || engine.count("REQ") == 2);
    std::thread::sleep(BEYOND_GIVE_UP);
    assert_eq!(engine.count("REQ"), 2, "{:?}", engine.received);
    drop(client);
}

/// Guards against two attempts at once on engines that speak TDS: each session carries one request, and is closed.
#[test]
fn a_request_given_up_on_tds_is_not_retried_before_its_engine_has_read_the_close() {
    let service = Service::start_on_tds();
    let clients = service.send_to_first("lookup", &["SELECT slow", "SELECT slow"]);
    service.drain_first();
    std::thread::sleep(BEFORE_GIVE_UP);
    service.engines[0].pause(true);
    std::thread::sleep(BEYOND_GIVE_UP);
    assert_eq!(service.elsewhere(), 0, "a second attempt began, and the engine has not read the close");
    service.engines[0].pause(false);
    wait_until("requests are retried", || service.elsewhere() > 0);
    drop(clients);
}
