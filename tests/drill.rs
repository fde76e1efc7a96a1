//! Tests of the simulator adapter as a process: a short session, and the errors for invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ENV: &str = r#"{"allowed":{"attemptsCap":3},"classes":[{"deadlineMs":1500,"idempotency":"repeatable","name":"lookup","targetMs":300,"worth":1}],"discovery":"pushed","models":["std"],"replicasOfMe":1,"report":{"columns":[]},"safety":{"coldFrom":0.33,"overloadFactor":2,"tipAfterMs":2000,"warmUpMs":15000},"stepMs":5,"unheardOf":7}"#;

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sanddyke-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter stops reading early at invalid input, so the write may fail.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn launch_with_one_engine() -> String {
    format!(
        "BATCH 1000\nLAUNCH 0 7 {ENV}\nLIST 0 1\nROW 51 - 0 active std 1 hall\nREGISTRY 0 1 restored 0\nEOF_BATCH\n"
    )
}

#[test]
fn a_request_is_sent_to_the_listed_engine() {
    let batch = "BATCH 1005\nINGRESS 0 req-1 11 0 - - 0 1500 lookup -\nEOF_BATCH\n";
    let output = run_adapter(&(launch_with_one_engine() + batch));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(text.matches("READY\n").count(), 2, "{text}");
    assert!(text.contains("ROUTE 0 req-1 51 "), "{text}");
}

#[test]
fn invalid_input_ends_the_adapter_with_one_error_line_that_has_the_line_number() {
    let cases = [
        ("BATCH 1000\nGREETING 0\n", "line 2: unknown event \"GREETING\""),
        ("BATCH noon\n", "line 1: BATCH: field clock: cannot read \"noon\""),
        ("BATCH 1000\nWAKEUP 0\n", "line 2: WAKEUP: 2 fields"),
        ("BATCH 1000\n", "line 1: input ended inside a batch"),
        ("BATCH 1000\nLAUNCH 0 7 {}\n", "line 2: LAUNCH: field env: missing field `allowed`"),
    ];
    for (input, message) in cases {
        let output = run_adapter(input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{input:?}");
        assert!(stderr.contains(message), "{input:?}: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}
