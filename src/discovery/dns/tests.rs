//! Parsing of a complete response, of one cut off at each byte, and of one with a cycle of compression pointers.

use super::*;

/// A response with one engine and compressed names.
fn sample() -> Vec<u8> {
    let mut bytes = query(7, "_api._tcp.svc.local");
    bytes[2] = 0x84;
    bytes[7] = 1; // one SRV
    bytes[9] = 1; // one SOA
    bytes[11] = 2; // A and TXT
    bytes.extend(b"\xc0\x0c\0\x21\0\x01\0\0\0\0\0\x17\0\0\0\x28\x1f\x90\x04s-0a\x04east\x05hosts\0");
    let target = bytes.len() - 17;
    bytes.extend(
        b"\xc0\x0c\0\x06\0\x01\0\0\0\0\0\x18\xc0\x0c\xc0\x0c\0\0\0\x2a\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0",
    );
    bytes.extend([0xc0, target as u8]);
    bytes.extend(b"\0\x01\0\x01\0\0\0\0\0\x04\x7f\0\0\x09");
    bytes.extend([0xc0, target as u8]);
    bytes.extend(b"\0\x10\0\x01\0\0\0\0\0\x13\x08kind=std\x09started=0");
    bytes
}

#[test]
fn complete_response_is_parsed() {
    let response = parse(&sample()).unwrap();
    assert_eq!(response.serial, Some(42));
    let target = "s-0a.east.hosts".to_owned();
    assert_eq!(
        response.srv_records,
        vec![SrvRecord { priority: 0, weight: 40, port: 8080, target: target.clone() }]
    );
    assert_eq!(response.addresses[&target], [127, 0, 0, 9]);
    assert_eq!(response.texts[&target], vec!["kind=std", "started=0"]);
}

#[test]
fn incomplete_response_or_pointer_cycle_is_an_error() {
    let complete = sample();
    for cut in 0..complete.len() {
        assert!(parse(&complete[..cut]).is_err(), "cut at {cut}");
    }
    let mut truncated = complete.clone();
    truncated[2] |= 0x02;
    assert!(matches!(parse(&truncated), Err(DiscoveryError::Truncated)));
    let mut cycle = complete;
    cycle[12..14].copy_from_slice(&[0xc0, 0x0c]);
    assert!(parse(&cycle).is_err());
}
