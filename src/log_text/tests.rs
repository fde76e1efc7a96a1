//! Tests of text in log lines.

use super::*;

/// Guards against an engine or a directory whose message looks like further lines of the log, or fills it.
#[test]
fn text_in_the_log_is_one_line_of_limited_length() {
    assert_eq!(
        single_line("no \"x\" é\r\n[INFO] n1 is ready\u{85}"),
        "no \"x\" é\\r\\n[INFO] n1 is ready\\u{85}"
    );
    assert_eq!(single_line(&"x".repeat(10_000)).len(), MAX_CHARS);
}
