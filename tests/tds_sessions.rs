//! Tests that a client gets the rows of its own request only, whatever an engine over TDS sends late, twice or in parts.
//! Responses on this wire name no request. `docs/incidents/0007-rows-of-other-requests.md` has the reason.

mod common;

use common::engines::tds_faults::{CopiedPart, Copies, TdsFaults, TdsResponse};
use common::engines::{self, Engine};
use common::{Program, Reply, TOKEN, endpoint, hex, read_reply, settings, start, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time during which requests are sent beside copies. It is longer than the longest delay of a copy.
const LOAD_DURATION: Duration = Duration::from_millis(1000);
/// The time budget of the requests.
const TIME_BUDGET_MS: u64 = 4000;

fn tds() -> Value {
    json!({"engines": {"wire": "tds", "user": "u"}})
}

fn service(faults: TdsFaults) -> (Program, Engine) {
    let engine = engines::tds();
    engine.set_tds_faults(faults);
    (start(&[engine.address], tds()), engine)
}

fn send(program: &Program, name: &str, class: &str, statement: &str) -> Reply {
    read_reply(&mut program.send(name, class, TIME_BUDGET_MS, None, statement)).expect("an answer")
}

/// The result that the engine makes for a request with the statement `echo`.
fn echo_result(name: &str) -> Value {
    json!([[format!("{:0>16}", hex(name))]])
}

/// Sends requests one after the other for some time. Returns how many were served, and fails if one is served with
/// rows that were not made for it.
fn serve_for(program: &Program, duration: Duration) -> Tally {
    let (began, mut tally) = (Instant::now(), Tally::default());
    for number in 0.. {
        if began.elapsed() >= duration {
            break;
        }
        let name = format!("{number:05}");
        let reply = send(program, &name, "lookup", "SELECT echo");
        tally.sent += 1;
        if reply.status == 200 {
            assert_eq!(reply.json()["result"], echo_result(&name), "request {name}: {}", reply.body);
            tally.served += 1;
        }
    }
    tally
}

/// Counts of requests.
#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    served: usize,
}

fn copies(of: TdsResponse, delay_ms: u64, part: CopiedPart) -> TdsFaults {
    let copies = Copies { of, delay: Duration::from_millis(delay_ms), part };
    TdsFaults { copies: Some(copies), ..TdsFaults::default() }
}

/// Guards against a second copy of a response that is read as the response to the next request. A copy may come at any
/// time: with the response, while the session is idle, or while the next request runs.
#[rstest]
fn a_second_copy_of_a_result_reaches_no_client(
    #[values(0, 1, 5, 50, 500)] delay_ms: u64,
    #[values(CopiedPart::All, CopiedPart::FirstHalf, CopiedPart::LastPacket)] part: CopiedPart,
) {
    let (program, _engine) = service(copies(TdsResponse::Result, delay_ms, part));
    let tally = serve_for(&program, LOAD_DURATION);
    assert_eq!(tally.served, tally.sent, "a copy of another response lost a request");
}

/// Guards against a second copy of a load report that is read as the result of a request.
#[rstest]
fn a_second_copy_of_a_load_report_reaches_no_client(#[values(0, 1, 5, 50, 500)] delay_ms: u64) {
    let (program, _engine) = service(copies(TdsResponse::LoadReport, delay_ms, CopiedPart::All));
    let tally = serve_for(&program, LOAD_DURATION);
    assert_eq!(tally.served, tally.sent, "a copy of a load report lost a request");
}

/// Guards against a second copy of an answer of the login that is read as an empty result. A request that meets one is
/// rejected or retried, but never served without its rows.
#[rstest]
fn a_second_copy_of_a_login_answer_is_no_empty_result(
    #[values(TdsResponse::Prelogin, TdsResponse::Login)] of: TdsResponse,
    #[values(0, 1, 5, 50, 500)] delay_ms: u64,
    #[values(CopiedPart::All, CopiedPart::FirstHalf, CopiedPart::LastPacket)] part: CopiedPart,
    #[values(false, true)] long_login: bool,
) {
    let (program, _engine) = service(TdsFaults { long_login, ..copies(of, delay_ms, part) });
    serve_for(&program, LOAD_DURATION);
}

/// Guards against a message that answers something else, and is read as an empty result. The request was possibly
/// executed, so one of a class that must not run twice fails.
#[rstest]
#[case::acknowledgement("POST acknowledged first")]
#[case::login("POST logged in first")]
#[case::tokens_behind_the_end("POST overrun")]
fn a_response_with_parts_of_another_is_not_served(#[case] statement: &str) {
    let (program, engine) = service(TdsFaults::default());
    assert_eq!(send(&program, "r", "post", statement).status, 500);
    assert_eq!(engine.count("POST"), 1, "the request ran twice");
    assert_eq!(send(&program, "s", "lookup", "SELECT echo").json()["result"], echo_result("s"));
}

/// Guards against rows that arrive before any request and are read as the result of the first one. The session is
/// discarded, logged and counted, and no request is lost for it.
#[test]
fn rows_on_an_idle_session_reach_no_client() {
    let (program, engine) = service(TdsFaults::default());
    assert_eq!(send(&program, "a", "lookup", "SELECT echo").status, 200);
    engine.set_tds_faults(TdsFaults { sends_rows_after_login: true, ..TdsFaults::default() });
    for number in 0..4 {
        let name = format!("b{number}");
        let reply = send(&program, &name, "lookup", "SELECT echo");
        assert!(
            reply.status != 200 || reply.json()["result"] == echo_result(&name),
            "rows that nobody requested were served: {}",
            reply.body
        );
    }
    wait_until("a session is discarded for its data", || discarded(&program, "unexpected_data") > 0);
    engine.set_tds_faults(TdsFaults::default());
    wait_until("requests are served again", || send(&program, "c", "lookup", "SELECT echo").status == 200);
}

/// The number of sessions that were discarded for this reason.
fn discarded(program: &Program, reason: &str) -> u64 {
    let page = program.admin("GET", "/metrics", TOKEN).body;
    let series = format!("sanddyke_sessions_discarded_total{{reason=\"{reason}\"}} ");
    page.lines().find_map(|line| line.strip_prefix(&series)).map_or(0, |value| value.parse().unwrap())
}

/// Guards against a request that fails because its engine had closed the session that was open ahead. Nothing of the
/// request was written, so also one that must not run twice is served.
#[test]
fn a_session_ahead_that_the_engine_closes_fails_no_request() {
    let closes_idle_after = Some(Duration::from_millis(60));
    let (program, engine) = service(TdsFaults { closes_idle_after, ..TdsFaults::default() });
    for number in 0..20 {
        let name = format!("{number:02}");
        assert_eq!(send(&program, &name, "post", "POST echo").json()["result"], echo_result(&name));
        // The session is closed, or was closed a moment ago.
        std::thread::sleep(Duration::from_millis(100 + number));
    }
    assert_eq!(engine.count("POST"), 20);
    assert!(discarded(&program, "closed_by_engine") > 0, "no session was open ahead");
}

/// Guards against a request on a session that was opened ahead at the address that the engine had before.
#[test]
fn a_session_ahead_at_a_former_address_carries_no_request() {
    let (program, old) = service(TdsFaults::default());
    assert_eq!(send(&program, "a", "lookup", "SELECT echo").status, 200);
    let new = engines::tds();
    program.reload("known", moved_to(new.address));
    wait_until("the new address has a request", || {
        send(&program, "b", "lookup", "SELECT echo");
        new.count("SELECT echo") > 0
    });
    let requests_before = old.count("SELECT echo");
    for number in 0..10 {
        assert_eq!(send(&program, &format!("c{number}"), "lookup", "SELECT echo").status, 200);
    }
    assert_eq!(old.count("SELECT echo"), requests_before);
}

/// An endpoint list in which the first engine has another address.
fn moved_to(address: SocketAddr) -> Value {
    let list = json!([{"rev": 2, "pool": {"snapshot": true, "endpoints": [endpoint("e0", address)]}}]);
    json!({"rev": 2, "notices": list})
}

/// Guards against a cancellation that crosses the end of its response: the session's further messages belong to no
/// other request.
#[test]
fn a_cancellation_as_the_response_ends_affects_no_other_request() {
    let (program, engine) = service(copies(TdsResponse::Acknowledgement, 5, CopiedPart::All));
    for number in 0..40_u64 {
        let client = program.send(&format!("l{number}"), "lookup", TIME_BUDGET_MS, None, "SELECT echo");
        // The work lasts 20 ms.
        std::thread::sleep(Duration::from_millis(15 + number / 4));
        drop(client);
        let name = format!("n{number}");
        assert_eq!(send(&program, &name, "lookup", "SELECT echo").json()["result"], echo_result(&name));
    }
    wait_until("nothing is in flight", || in_flight(&program) == 0);
    assert!(engine.count("SELECT") >= 40);
}

fn in_flight(program: &Program) -> u64 {
    let page = program.admin("GET", "/metrics", TOKEN).body;
    let value = page.lines().find_map(|line| line.strip_prefix("sanddyke_attempts_possibly_executing "));
    value.unwrap().parse().unwrap()
}

/// Guards against ports that run out: a session a request leaves tens of thousands of them in TIME_WAIT for 60 s, if the
/// program closes its sessions first.
#[test]
fn closed_sessions_leave_no_port_in_time_wait() {
    let (program, engine) = service(TdsFaults::default());
    for number in 0..50 {
        assert_eq!(send(&program, &format!("{number:02}"), "lookup", "SELECT ok").status, 200);
    }
    let time_wait = sockets_to(engine.address, TIME_WAIT);
    assert!(time_wait <= 2, "{time_wait} ports in TIME_WAIT after 50 requests");
}

/// Guards against descriptors and memory that are used up by sessions that are open ahead of requests: an engine with
/// few requests has few.
#[test]
fn few_sessions_are_open_ahead() {
    let (program, engine) = service(TdsFaults::default());
    std::thread::scope(|scope| {
        for number in 0..30 {
            let program = &program;
            scope.spawn(move || send(program, &format!("{number:02}"), "lookup", "SELECT echo"));
        }
    });
    assert!(sockets_to(engine.address, ESTABLISHED) <= MAX_SESSIONS_AHEAD);
    wait_until("an engine without requests has one session ahead", || {
        sockets_to(engine.address, ESTABLISHED) <= 1
    });
}

/// Guards against descriptors that are used up by sessions ahead where there are many engines: all of them together have
/// a sixteenth of the descriptors.
#[test]
fn sessions_ahead_of_many_engines_have_a_common_limit() {
    let engines: Vec<Engine> = (0..20).map(|_| engines::tds()).collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let mut settings = settings();
    settings["allowed"]["probes"] = json!(false);
    let mut overrides = tds();
    overrides["settings"] = settings;
    overrides["limits"] = json!({"sockets": 160});
    let program = start(&addresses, overrides);
    for number in 0..60 {
        send(&program, &format!("{number:02}"), "lookup", "SELECT echo");
    }
    let used = engines.iter().filter(|engine| engine.count("echo") > 0).count();
    assert!(used > 10, "{used} engines were used");
    let ahead: usize = addresses.iter().map(|address| sockets_to(*address, ESTABLISHED)).sum();
    assert!((1..=10).contains(&ahead), "{ahead} sessions ahead");
}

/// Limit of the sessions that are open ahead to one engine.
const MAX_SESSIONS_AHEAD: usize = 16;
// States of a TCP socket in /proc/net/tcp.
const ESTABLISHED: &str = "01";
const TIME_WAIT: &str = "06";

/// The number of sockets with this remote address in a state, by /proc/net/tcp.
fn sockets_to(remote: SocketAddr, state: &str) -> usize {
    let std::net::IpAddr::V4(address) = remote.ip() else { panic!("{remote} is not IPv4") };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.octets()), remote.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let is_counted = |line: &&str| {
        let mut fields = line.split_whitespace().skip(2);
        (fields.next(), fields.next()) == (Some(remote.as_str()), Some(state))
    };
    table.lines().filter(is_counted).count()
}
