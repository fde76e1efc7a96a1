//! Tests of clients that leave with input behind their request that the program has not read.

mod common;

use common::engines;
use common::{Program, request, settings, start, wait_until};
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Time from a client's close after which no attempt of its requests may begin.
const CLOSE_NOTICED: Duration = Duration::from_millis(100);
/// Long requests that occupy the engine. More than it gets at a time.
const OCCUPYING_REQUESTS: usize = 60;

/// Sends requests that run until their clients leave, and waits until the engine gets no more of them.
fn occupy(program: &Program, engine: &engines::Engine) -> Vec<TcpStream> {
    let occupying = (0..OCCUPYING_REQUESTS)
        .map(|number| program.send(&format!("s{number}"), "lookup", 5000, None, "SELECT slow"))
        .collect();
    let mut before = 0;
    wait_until("the engine gets no more requests", || {
        std::thread::sleep(Duration::from_millis(300));
        let count = engine.count("SELECT slow");
        std::mem::replace(&mut before, count) == count && count > 0
    });
    assert!(before < OCCUPYING_REQUESTS, "requests wait for the engine");
    occupying
}

/// Guards against a request that is sent to an engine although its client has left: the close lay behind what the client
/// had sent ahead, which was read too slowly.
#[rstest]
#[case::much_input(12_000)]
#[case::little_input(100)]
fn the_close_of_a_client_is_noticed_behind_its_input(#[case] statement_bytes: usize) {
    let engine = engines::line_protocol();
    let mut settings = settings();
    settings["familyInfo"]["tellsEveryMs"] = json!(10_000);
    let program = start(&[engine.address], json!({ "settings": settings }));
    let occupying = occupy(&program, &engine);
    let statement = format!("SELECT late {}", "x".repeat(statement_bytes));
    let input: String = (0..300)
        .map(|number| {
            let id = format!("{number:016x}");
            let fields = [("X-Txn", id.as_str()), ("X-Ttl-Ms", "5000"), ("X-Merchant", "acme")];
            request("POST", "/do/lookup", &fields, &statement)
        })
        .collect();
    let mut stream = TcpStream::connect(program.http).unwrap();
    stream.write_all(input.as_bytes()).unwrap();
    drop(stream);
    std::thread::sleep(CLOSE_NOTICED);
    drop(occupying);
    wait_until("the engine is free again", || {
        let mut probe = program.send("p", "lookup", 4000, None, "SELECT ok");
        common::read_reply(&mut probe).is_some_and(|reply| reply.status == 200)
    });
    assert_eq!(engine.count("SELECT late"), 0);
}

/// Guards against a request that runs twice because it comes again after its client has left.
#[test]
fn a_request_that_comes_again_after_its_client_left_is_not_executed_again() {
    let engine = engines::line_protocol();
    let program = start(&[engine.address], json!({}));
    for number in 0..5 {
        let id = format!("r{number}");
        let statement = format!("SELECT slow {number}.");
        drop(program.send(&id, "post", 4000, None, &statement));
        wait_until("the first attempt is in flight or was dropped", || {
            std::thread::sleep(Duration::from_millis(50));
            true
        });
        let mut again = program.send(&id, "post", 1000, None, &statement);
        assert!(common::read_reply(&mut again).is_some(), "an answer");
        assert!(engine.count(&statement) <= 1, "{}", engine.count(&statement));
    }
}
