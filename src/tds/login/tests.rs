//! Tests of PRELOGIN and LOGIN7 messages.

use super::*;

#[test]
fn a_login_round_trips_and_a_truncated_one_is_rejected() {
    let sent =
        Login { user: "ann".into(), password: "pâss".into(), app: "x".into(), database: "acme".into() };
    let data = login(&sent);
    assert_eq!(read_login(&data), Ok(sent));
    for cut in 0..data.len() {
        assert!(read_login(&data[..cut]).is_err(), "cut at {cut}");
    }
    assert_eq!(read_prelogin(&prelogin(ENCRYPT_NOT_SUPPORTED)), Ok(Some(ENCRYPT_NOT_SUPPORTED)));
}
