//! A trace file of an earlier build (commit a8d3c0b): this build reads it, and generates the same bytes.

use std::path::Path;
use std::process::Command;

fn fixture(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/fixtures").join(name)
}

#[test]
fn a_trace_of_an_earlier_build_is_read() {
    let program = env!("CARGO_BIN_EXE_sanddyke-trace");
    let printed = Command::new(program).args(["--json", "cat"]).arg(fixture("trace.bin")).output().unwrap();
    assert!(printed.status.success());
    assert!(printed.stdout == std::fs::read(fixture("trace.jsonl")).unwrap(), "the records differ");
}

#[test]
fn a_generated_trace_has_the_same_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let program = env!("CARGO_BIN_EXE_sanddyke-trace");
    let plan = ["--requests", "40", "--managers", "2", "--skew-ms", "2", "--seed", "7", "--out-dir"];
    let ended = Command::new(program).arg("generate").args(plan).arg(folder.path()).status().unwrap();
    assert!(ended.success());
    let written = std::fs::read(folder.path().join("m0.trace")).unwrap();
    assert!(written == std::fs::read(fixture("trace.bin")).unwrap(), "the file differs");
}
