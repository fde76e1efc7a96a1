//! Tests that a request has at most one attempt in flight. On an engine, an attempt is in flight from the time at
//! which the engine has read its last byte until the engine has written its end, or has read its cancellation or
//! the close of the connection. `docs/incidents/0001-retry-beside-a-running-attempt.md` has the reason.

mod common;

use common::engines::{self, Engine};
use common::{Program, endpoint, read_reply, settings, start, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The interval at which engines send progress notes. The program treats an attempt as lost after three intervals
/// without one.
const PROGRESS_INTERVAL_MS: u64 = 500;
/// The time between the start of an attempt and the pause of its engine. The program treats the attempt as lost
/// only later.
const ENGINE_PAUSE_DELAY: Duration = Duration::from_millis(1100);
/// The length of the pause. It lasts until after the attempt is lost, but ends before the clients receive an
/// answer, which happens 0.5 s after the loss.
const ENGINE_PAUSE: Duration = Duration::from_millis(650);
/// The time after which engines that are new in the list receive requests. They must answer a health check first.
const NEW_ENGINES_READY_AFTER: Duration = Duration::from_millis(1400);
/// The time within which a request that can't be retried is answered: three progress notes are missing, then the
/// engine has 0.5 s to read the close. The rest is a margin for a busy machine.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3500);
/// The time budget of the clients' requests.
const TIME_BUDGET_MS: u64 = 4900;

fn with_progress_notes() -> Value {
    let mut settings = settings();
    settings["familyInfo"]["tellsEveryMs"] = json!(PROGRESS_INTERVAL_MS);
    json!({ "settings": settings })
}

/// Three engines, and a program whose engine list has only the first.
struct Service {
    program: Program,
    engines: Vec<Engine>,
}

impl Service {
    fn start(overrides: Value) -> Service {
        Service::on((0..3).map(|_| engines::line_protocol()).collect(), overrides)
    }

    /// Starts the program and three engines that use TDS.
    fn start_on_tds() -> Service {
        let mut overrides = with_progress_notes();
        overrides["engines"] = json!({"wire": "tds", "user": "u"});
        Service::on((0..3).map(|_| engines::tds()).collect(), overrides)
    }

    fn on(engines: Vec<Engine>, overrides: Value) -> Service {
        let program = start(&[engines[0].address], overrides);
        Service { program, engines }
    }

    /// Sends one request with each of these statements, and waits until the first engine has received all of them.
    fn send_to_first(&self, class: &str, statements: &[&str]) -> Vec<TcpStream> {
        let numbered = statements.iter().enumerate();
        let send = |(number, statement): (usize, &&str)| {
            self.program.send(&client_request_id(number), class, TIME_BUDGET_MS, None, statement)
        };
        let clients = numbered.map(send).collect();
        wait_until("each request is on the engine", || self.engines[0].count("SELECT") == statements.len());
        clients
    }

    /// Updates the engine list: the first engine is draining and the others are ready, so that retries go to the
    /// others.
    fn drain_first(&self) {
        let numbered = self.engines.iter().enumerate();
        let mut endpoints: Vec<Value> =
            numbered.map(|(number, engine)| endpoint(&format!("e{number}"), engine.address)).collect();
        endpoints[0]["status"] = json!("draining");
        let list = json!([{"rev": 2, "pool": {"snapshot": true, "endpoints": endpoints}}]);
        self.program.reload("known", json!({"rev": 2, "notices": list}));
    }

    /// Returns how many requests the other engines have read.
    fn requests_on_other_engines(&self) -> usize {
        self.engines[1..].iter().map(|engine| engine.count("SELECT")).sum()
    }
}

fn client_request_id(number: usize) -> String {
    format!("{number:02}")
}

/// Guards against two concurrent attempts of a request. The first engine sends no progress notes on one request,
/// or on all, so the attempt is lost; it is paused and has not read the cancellation or the close of the
/// connection yet.
#[rstest]
#[case::no_notes_on_some(&["SELECT slow", "SELECT slow", "SELECT slow", "SELECT chatty"])]
#[case::no_notes_on_any(&["SELECT slow", "SELECT slow", "SELECT slow", "SELECT slow"])]
fn a_lost_attempt_is_not_retried_before_its_engine_has_read_the_cancellation(#[case] statements: &[&str]) {
    let service = Service::start(with_progress_notes());
    let clients = service.send_to_first("lookup", statements);
    service.drain_first();
    std::thread::sleep(ENGINE_PAUSE_DELAY);
    service.engines[0].pause(true);
    std::thread::sleep(ENGINE_PAUSE);
    assert_eq!(
        service.requests_on_other_engines(),
        0,
        "a second attempt started before the engine read the cancellation"
    );
    service.engines[0].pause(false);
    wait_until("requests are retried", || service.requests_on_other_engines() > 0);
    drop(clients);
}

/// Guards against a retry while an attempt is in flight on an engine that hangs, and against a client that waits
/// until its deadline without need. The client may repeat a request of a repeatable class (503), but not one that
/// was possibly executed (500).
#[rstest]
#[case("lookup", 503)]
#[case("post", 500)]
fn a_request_on_a_hung_engine_is_answered_and_not_retried(#[case] class: &str, #[case] status: u16) {
    let service = Service::start(with_progress_notes());
    let mut clients = service.send_to_first(class, &["SELECT slow"]);
    service.engines[0].pause(true);
    service.drain_first();
    let started_at = Instant::now();
    assert_eq!(read_reply(&mut clients[0]).map(|reply| reply.status), Some(status));
    assert!(started_at.elapsed() < MAX_ANSWER_TIME, "{:?}", started_at.elapsed());
    assert_eq!(service.requests_on_other_engines(), 0);
}

/// Guards against two concurrent attempts with one idempotency key. The retry waits for the hung engine, because a
/// client's own retry would have the same key.
#[test]
fn a_request_with_a_key_waits_until_the_hung_engine_has_read_the_close() {
    let service = Service::start(with_progress_notes());
    let client = service.program.send("k", "load", 12_000, Some("key"), "SELECT mute");
    wait_until("it is on the engine", || service.engines[0].count("REQ") == 1);
    service.engines[0].pause(true);
    service.drain_first();
    std::thread::sleep(MAX_ANSWER_TIME);
    assert_eq!(
        service.requests_on_other_engines(),
        0,
        "a second attempt started before the engine read the close of the connection"
    );
    service.engines[0].pause(false);
    wait_until("it is retried", || service.requests_on_other_engines() == 1);
    drop(client);
}

/// Guards against two concurrent attempts when a client resends a request, or retries it with the same idempotency
/// key, and the paused engine has not read the cancellation of the earlier attempt yet.
#[rstest]
#[case::resent("report", "r", "r", None)]
#[case::retried("load", "r", "s", Some("key"))]
fn a_resent_or_retried_request_waits_until_the_engine_has_read_the_cancellation(
    #[case] class: &str,
    #[case] first: &str,
    #[case] second: &str,
    #[case] key: Option<&str>,
) {
    let service = Service::start(with_progress_notes());
    let client = service.program.send(first, class, TIME_BUDGET_MS, key, "SELECT slow");
    wait_until("it is on the engine", || service.engines[0].count("REQ") == 1);
    service.engines[0].pause(true);
    service.drain_first();
    drop(client);
    std::thread::sleep(NEW_ENGINES_READY_AFTER);
    let again = service.program.send(second, class, TIME_BUDGET_MS, key, "SELECT slow");
    std::thread::sleep(NEW_ENGINES_READY_AFTER);
    assert_eq!(
        service.requests_on_other_engines(),
        0,
        "a second attempt started before the engine read the cancellation"
    );
    service.engines[0].pause(false);
    wait_until("it is sent", || service.requests_on_other_engines() == 1);
    drop(again);
}

/// Guards against a late, repeated answer of an engine that is mistaken for the answer to the retry. The third
/// attempt then started while the second was in flight.
#[test]
fn a_repeated_answer_is_not_attributed_to_the_retry() {
    let engine = engines::line_protocol();
    let program = start(&[engine.address], with_progress_notes());
    let client = program.send("t", "lookup", TIME_BUDGET_MS, None, "SELECT stutter");
    wait_until("it is retried", || engine.count("REQ") == 2);
    std::thread::sleep(ENGINE_PAUSE);
    assert_eq!(engine.count("REQ"), 2, "{:?}", engine.received);
    drop(client);
}

/// Guards against two concurrent attempts of a request on engines that use TDS. A session carries one request, and
/// the program closes it when the attempt is lost.
#[test]
fn a_lost_attempt_on_tds_is_not_retried_before_its_engine_has_read_the_close() {
    let service = Service::start_on_tds();
    let clients = service.send_to_first("lookup", &["SELECT slow", "SELECT slow"]);
    service.drain_first();
    std::thread::sleep(ENGINE_PAUSE_DELAY);
    service.engines[0].pause(true);
    std::thread::sleep(ENGINE_PAUSE);
    assert_eq!(
        service.requests_on_other_engines(),
        0,
        "a second attempt started before the engine read the close of the connection"
    );
    service.engines[0].pause(false);
    wait_until("requests are retried", || service.requests_on_other_engines() > 0);
    drop(clients);
}
