//! Tests of PRELOGIN and LOGIN7 messages.

use super::*;

#[test]
fn a_login_is_read_as_it_was_written_and_rejected_when_truncated() {
    let sent =
        Login { user: "ann".into(), password: "pâss".into(), app: "x".into(), database: "acme".into() };
    let data = login(&sent);
    assert_eq!(read_login(&data), Ok(sent));
    for cut in 0..data.len() {
        assert!(read_login(&data[..cut]).is_err(), "cut at {cut}");
    }
    assert_eq!(read_prelogin(&prelogin(ENCRYPT_NOT_SUPPORTED)), Ok(Some(ENCRYPT_NOT_SUPPORTED)));
}
