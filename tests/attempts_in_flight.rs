//! A request has at most one attempt in flight: on an engine from its last byte read until its end is written, or the
//! engine has read the stop or the close. `docs/incidents/0001-retry-beside-a-running-attempt.md` has the reason.

mod common;

use common::engines::{self, Engine};
use common::{Program, settings, start, wait_until};
use serde_json::{Value, json};
use std::net::TcpStream;
use std::time::Duration;

/// Engines report progress at this interval; the program gives an attempt up after three without a report.
const PROGRESS_INTERVAL_MS: u64 = 500;
/// A pause of an engine that begins before the program gives its attempt up, and lasts beyond that.
const BEFORE_GIVE_UP: Duration = Duration::from_millis(1100);
const BEYOND_GIVE_UP: Duration = Duration::from_millis(900);

fn with_progress_reports() -> Value {
    let mut settings = settings();
    settings["familyInfo"]["tellsEveryMs"] = json!(PROGRESS_INTERVAL_MS);
    json!({ "settings": settings })
}

/// Requests that are sent at once, so that each engine has some, and their retries are spread over all engines.
const REQUESTS: usize = 12;

/// Three engines, and a program in front of them.
struct Service {
    program: Program,
    engines: Vec<Engine>,
}

impl Service {
    fn start(overrides: Value) -> Service {
        let engines: Vec<Engine> = (0..3).map(|_| engines::line_protocol()).collect();
        let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
        Service { program: start(&addresses, overrides), engines }
    }

    /// Sends several requests that run until they are cancelled, and waits until each is on an engine.
    fn send_slow_requests(&self) -> Vec<TcpStream> {
        let send = |number: usize| self.program.send(&name(number), "lookup", 4900, None, "SELECT slow");
        let clients = (0..REQUESTS).map(send).collect();
        wait_until("each request is on an engine", || self.attempts().len() == REQUESTS);
        clients
    }

    /// The ids of the requests that all engines have read, once for each attempt.
    fn attempts(&self) -> Vec<String> {
        self.engines.iter().flat_map(attempts_on).collect()
    }

    /// The attempts of a request that engines have read.
    fn attempts_of(&self, id: &str) -> usize {
        self.attempts().iter().filter(|attempt| *attempt == id).count()
    }
}

fn name(number: usize) -> String {
    format!("{number:02}")
}

/// The ids of the requests that an engine has read, once for each attempt.
fn attempts_on(engine: &Engine) -> Vec<String> {
    let received = engine.received.lock().unwrap();
    let requests = received.iter().filter_map(|line| line.strip_prefix("REQ "));
    requests.map(|request| request.split(' ').next().unwrap().to_owned()).collect()
}

/// Guards against two attempts at once where an engine that is silent about a request has not read its stop yet.
#[test]
fn a_request_given_up_as_silent_is_not_retried_before_its_engine_has_read_the_stop() {
    let service = Service::start(with_progress_reports());
    let clients = service.send_slow_requests();
    let paused = &service.engines[0];
    let ids = attempts_on(paused);
    std::thread::sleep(BEFORE_GIVE_UP);
    paused.pause(true);
    std::thread::sleep(BEYOND_GIVE_UP);
    for id in &ids {
        assert_eq!(service.attempts_of(id), 1, "{id} has a second attempt, and the engine has read no stop");
    }
    paused.pause(false);
    for id in &ids {
        wait_until("the request is retried", || service.attempts_of(id) >= 2);
        assert_eq!(paused.count(&format!("STOP {id}")), 1);
    }
    drop(clients);
}
