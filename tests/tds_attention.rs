//! Tests of the Attention signal, with which a TDS client cancels its request.

mod common;

use common::engines::{self, Engine};
use common::tds_client::TdsClient;
use common::{Program, start, wait_until};
use rstest::rstest;
use sanddyke::tds::{packet, token};
use serde_json::json;
use std::time::Duration;

/// The type of COLMETADATA, with which a result begins.
const COLMETADATA: u8 = 0x81;
/// The length of a DONE token.
const DONE_BYTES: usize = 13;

fn service(wire: &str) -> (Program, Engine) {
    let engine = if wire == "tds" { engines::tds() } else { engines::line_protocol() };
    let program = start(&[engine.address], json!({"engines": {"wire": wire, "user": "u"}}));
    (program, engine)
}

fn batch(statement: &str) -> Vec<u8> {
    packet::message(packet::SQL_BATCH, &token::batch(statement))
}

fn attention() -> Vec<u8> {
    packet::message(packet::ATTENTION, &[])
}

/// Checks that a response is one DONE token with DONE_ATTN.
fn assert_acknowledgement(response: &[u8]) {
    assert_eq!((response.len(), &response[..3]), (DONE_BYTES, &[0xfd, 0x20, 0x00][..]), "{response:?}");
}

/// Checks that the next response on the connection belongs to the next request, and is complete.
fn assert_served_next(client: &mut TdsClient) {
    client.send_bytewise(&batch("SELECT ok"));
    assert_eq!(client.read()[0], COLMETADATA);
}

/// An Attention during a request cancels it. The response is exactly one DONE token with DONE_ATTN.
#[rstest]
fn an_attention_cancels_a_request_and_is_acknowledged_once(#[values("lines", "tds")] wire: &str) {
    let (program, engine) = service(wire);
    let mut client = TdsClient::connect(&program);
    client.send_bytewise(&batch("/*class='report'*/ SELECT slow"));
    wait_until("the request is in flight", || engine.count("slow") == 1);
    client.send_bytewise(&attention());
    assert_acknowledgement(&client.read());
    let stop = if wire == "lines" { "STOP" } else { "ATTENTION" };
    wait_until("the engine receives the cancellation", || engine.count(stop) == 1);
    assert_served_next(&mut client);
}

/// Guards against an Attention that arrives together with its batch and is not noticed until more input comes, so that
/// the request runs to its end. `sent_at_once` bytes of the Attention arrive with the batch.
#[rstest]
fn an_attention_is_noticed_however_it_arrives(
    #[values("lines", "tds")] wire: &str,
    #[values(1, 7, 8)] sent_at_once: usize,
) {
    let (program, _engine) = service(wire);
    let mut client = TdsClient::connect(&program);
    let attention = attention();
    let (first, rest) = attention.split_at(sent_at_once);
    client.send(&[&batch("/*class='report'*/ SELECT slow")[..], first].concat());
    std::thread::sleep(Duration::from_millis(20));
    client.send(rest);
    assert_acknowledgement(&client.read());
    assert_served_next(&mut client);
}
