//! Tests of how HTTP requests are parsed.

use super::{MAX_BODY_BYTES, RequestParser};
use bytes::BytesMut;

#[test]
fn a_request_split_at_any_byte_is_parsed() {
    let sent = b"POST /do/report HTTP/1.1\r\nX-Txn: 9b\r\nContent-Length: 3\r\n\r\nabc";
    for cut in 0..sent.len() {
        let mut buffer = BytesMut::from(&sent[..cut]);
        let mut parser = RequestParser::new(MAX_BODY_BYTES);
        assert!(parser.next(&mut buffer).unwrap().is_none(), "cut at {cut}");
        buffer.extend_from_slice(&sent[cut..]);
        let request = parser.next(&mut buffer).unwrap().unwrap();
        assert_eq!((request.field("x-txn"), &request.body[..]), (Some("9b"), &b"abc"[..]));
    }
}

#[test]
fn an_ambiguous_or_malformed_request_is_rejected() {
    let bad = [
        ("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        ("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
        ("GET / HTTP/1.1\r\nX y: 1\r\n\r\n", 400),
        ("nonsense\r\n\r\n", 400),
    ];
    for (text, status) in bad {
        let parsed = RequestParser::new(MAX_BODY_BYTES).next(&mut BytesMut::from(text));
        assert_eq!(parsed.unwrap_err().status(), status, "{text}");
    }
}

/// Parses a request of which each byte arrives by itself. Returns the number of bytes that were examined.
fn examined_bytes(sent: &[u8]) -> usize {
    let mut parser = RequestParser::new(MAX_BODY_BYTES);
    let mut buffer = BytesMut::new();
    let (last, others) = sent.split_last().unwrap();
    for byte in others {
        buffer.extend_from_slice(&[*byte]);
        assert!(parser.next(&mut buffer).unwrap().is_none());
    }
    buffer.extend_from_slice(&[*last]);
    assert!(parser.next(&mut buffer).unwrap().is_some());
    parser.examined_bytes()
}

fn request(fields: usize, value_bytes: usize, body_bytes: usize) -> Vec<u8> {
    let field = format!("X-Field: {}\r\n", "v".repeat(value_bytes));
    let body = "b".repeat(body_bytes);
    format!("POST / HTTP/1.1\r\n{}Content-Length: {body_bytes}\r\n\r\n{body}", field.repeat(fields))
        .into_bytes()
}

/// How often a byte of a head is examined: as a part of each of the four places where the end may begin, and once when
/// the head is parsed.
const EXAMINATIONS_PER_BYTE: usize = 5;

/// Guards against a client that sends its request in small pieces and so delays all others: with each piece, the whole
/// head was searched for its end.
#[test]
fn the_cost_of_a_head_in_pieces_grows_in_proportion_to_its_length() {
    for fields in [1, 16] {
        let sent = request(fields, 900, 0);
        let examined = examined_bytes(&sent);
        assert!(examined <= EXAMINATIONS_PER_BYTE * sent.len(), "{examined} of {}", sent.len());
    }
}

/// Guards against the same delay by a body in small pieces: with each piece, the head was parsed again.
#[test]
fn the_cost_of_a_body_in_pieces_does_not_depend_on_the_head() {
    for (fields, value_bytes) in [(1, 10), (60, 200)] {
        let head_bytes = request(fields, value_bytes, 0).len() + "20000".len() - "0".len();
        let examined = examined_bytes(&request(fields, value_bytes, 20_000));
        assert!(examined <= EXAMINATIONS_PER_BYTE * head_bytes, "{examined} of {head_bytes}");
    }
}
