//! Parsing of responses cut into two parts at each byte, and of bytes that don't follow the protocol.

use super::*;

#[test]
fn response_cut_at_any_byte_is_parsed() {
    let sent = b"9b1f 200 sheets=2,toil=120.5,room=64 4\r\na\tb\n\r\nt1 alive l=util:0.61;queue:2;zz:1\r\n";
    for cut in 0..sent.len() {
        let mut buffer = BytesMut::from(&sent[..cut]);
        let mut responses = Vec::new();
        while let Some(response) = next(&mut buffer).unwrap() {
            responses.push(response);
        }
        buffer.extend_from_slice(&sent[cut..]);
        while let Some(response) = next(&mut buffer).unwrap() {
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
        assert!(next(&mut BytesMut::from(bad)).is_err(), "{bad:?}");
    }
    assert!(next(&mut BytesMut::from(&vec![b'x'; MAX_LINE_BYTES + 1][..])).is_err());
}
