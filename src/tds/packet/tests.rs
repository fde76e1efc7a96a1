//! Tests of how messages are assembled from packets.

use super::*;

#[test]
fn a_message_received_in_two_parts_is_assembled() {
    let data: Vec<u8> = (0..10_000u32).map(|at| at as u8).collect();
    let sent = message(SQL_BATCH, &data);
    for cut in (0..sent.len()).step_by(7) {
        let (mut messages, mut buffer) =
            (MessageAssembler::new(MAX_MESSAGE_BYTES), BytesMut::from(&sent[..cut]));
        assert_eq!(messages.next(&mut buffer).unwrap(), None, "cut at {cut}");
        buffer.extend_from_slice(&sent[cut..]);
        let complete = messages.next(&mut buffer).unwrap().unwrap();
        assert_eq!((complete.kind, &complete.data), (SQL_BATCH, &data));
    }
}

#[test]
fn packets_with_an_invalid_header_are_malformed() {
    assert!(next_packet(&mut BytesMut::from(&[1, 1, 0, 7, 0, 0, 0, 0][..])).is_err());
    assert!(next_packet(&mut BytesMut::from(&b"GET / HTTP/1.1\r\n"[..])).is_err());
}

/// Guards against clients that have megabytes in memory before they log in.
#[test]
fn a_message_above_the_maximum_is_an_error() {
    let mut messages = MessageAssembler::new(10_000);
    assert!(messages.next(&mut BytesMut::from(&message(LOGIN7, &[0; 10_000])[..])).unwrap().is_some());
    let long = message(LOGIN7, &[0; 10_001]);
    assert_eq!(
        messages.next(&mut BytesMut::from(&long[..])),
        Err(TdsError::MessageTooLong { max_bytes: 10_000 })
    );
}
