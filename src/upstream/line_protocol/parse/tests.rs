//! Parsing of responses cut into two parts at each byte, and of bytes that don't follow the protocol.

use super::*;
use sanddyke_testbed::cost::cost_ratio;

#[test]
fn response_cut_at_any_byte_is_parsed() {
    let sent = b"9b1f 200 sheets=2,toil=120.5,room=64 4\r\na\tb\n\r\nt1 alive l=util:0.61;queue:2;zz:1\r\n";
    for cut in 0..sent.len() {
        let mut buffer = BytesMut::from(&sent[..cut]);
        let mut parser = ResponseParser::default();
        let mut responses = Vec::new();
        while let Some(response) = parser.next(&mut buffer).unwrap() {
            responses.push(response);
        }
        buffer.extend_from_slice(&sent[cut..]);
        while let Some(response) = parser.next(&mut buffer).unwrap() {
            responses.push(response);
        }
        assert_eq!(responses.len(), 2, "cut at {cut}");
        assert_eq!(responses[0].fields.page_count, Some(2));
        assert_eq!(responses[0].fields.usage, Some(Usage { work_ms: 120.5, memory_mb: 64.0 }));
        assert_eq!(rows(&responses[0].body).unwrap(), vec![vec![Some("a".to_owned()), Some("b".to_owned())]]);
        assert_eq!(responses[1].fields.report.unwrap().busy, Some(0.61));
    }
}

#[test]
fn invalid_bytes_are_an_error() {
    for bad in [
        "x 201 - 0\r\n",
        "x\r\n",
        "x 200 - 99999999\r\n",
        "x 200 sheets=-1 0\r\n",
        "x 200 - 1\r\nabcd",
        "\r\n",
    ] {
        assert!(ResponseParser::default().next(&mut BytesMut::from(bad)).is_err(), "{bad:?}");
    }
    let endless = vec![b'x'; MAX_LINE_BYTES + 1];
    assert!(ResponseParser::default().next(&mut BytesMut::from(&endless[..])).is_err());
}

/// Parses a response of which each byte arrives by itself.
fn parse_bytewise(sent: &[u8]) {
    let mut parser = ResponseParser::default();
    let mut buffer = BytesMut::new();
    let (last, others) = sent.split_last().unwrap();
    for byte in others {
        buffer.extend_from_slice(&[*byte]);
        assert!(parser.next(&mut buffer).unwrap().is_none());
    }
    buffer.extend_from_slice(&[*last]);
    assert!(parser.next(&mut buffer).unwrap().is_some());
}

fn response(field_count: usize, body_bytes: usize) -> Vec<u8> {
    let fields = vec!["unknown=value"; field_count].join(",");
    format!("9b1f 200 {fields} {body_bytes}\r\n{}\r\n", "b".repeat(body_bytes)).into_bytes()
}

/// Guards against an engine that sends a response in small pieces and so delays all others: with each piece, the whole
/// line was searched for its end.
#[test]
fn the_cost_of_a_line_in_pieces_grows_in_proportion_to_its_length() {
    let (short, long) = (response(18, 0), response(288, 0));
    let ratio = cost_ratio(|| parse_bytewise(&short), || parse_bytewise(&long));
    assert!(ratio < 4.0 * 16.0, "{ratio}");
}

/// Guards against the same delay by a body in small pieces: with each piece, the line was parsed again.
#[test]
fn the_cost_of_a_body_in_pieces_does_not_depend_on_the_line() {
    let (short, long) = (response(1, 20_000), response(200, 20_000));
    let ratio = cost_ratio(|| parse_bytewise(&short), || parse_bytewise(&long));
    assert!(ratio < 4.0, "{ratio}");
}
