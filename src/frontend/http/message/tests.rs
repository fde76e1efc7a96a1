//! Tests of how HTTP requests are parsed.

use super::{MAX_BODY_BYTES, read_head};
use bytes::BytesMut;

#[test]
fn a_request_split_at_any_byte_is_parsed() {
    let sent = b"POST /do/report HTTP/1.1\r\nX-Txn: 9b\r\nContent-Length: 3\r\n\r\nabc";
    for cut in 0..sent.len() {
        let mut buffer = BytesMut::from(&sent[..cut]);
        if let Some(head) = read_head(&mut buffer, MAX_BODY_BYTES).unwrap() {
            assert!(head.take(&mut buffer).is_none(), "cut at {cut}");
        }
        buffer.extend_from_slice(&sent[cut..]);
        let request = read_head(&mut buffer, MAX_BODY_BYTES).unwrap().unwrap().take(&mut buffer).unwrap();
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
        assert_eq!(
            read_head(&mut BytesMut::from(text), MAX_BODY_BYTES).unwrap_err().status(),
            status,
            "{text}"
        );
    }
}
