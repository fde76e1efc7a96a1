//! What `.ci/run` passes over: `KNOWN-RED.txt`, read by `.ci/known-red`, with a stand-in for `make`.

use rstest::rstest;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Says which tests there are, notes how it is called, and fails where a test called `red` is run.
const MAKE: &str = r#"#!/bin/sh
case "$*" in
*--list*) printf 'red: test\nother::red: test\ngreen: test\n' ;;
*) echo "$*" >>calls; case "$*" in *"--exact red") exit 1 ;; esac ;;
esac
"#;

fn run(name: &str, known: Option<&str>) -> (Output, String) {
    let folder: PathBuf =
        std::env::temp_dir().join(format!("sanddyke-known-red-{name}-{}", std::process::id()));
    std::fs::create_dir_all(folder.join(".ci")).unwrap();
    let executable = |path: &str, text: &str| {
        std::fs::write(folder.join(path), text).unwrap();
        std::fs::set_permissions(folder.join(path), std::fs::Permissions::from_mode(0o755)).unwrap();
    };
    executable("make", MAKE);
    executable(".ci/known-red", include_str!("../.ci/known-red"));
    if let Some(known) = known {
        std::fs::write(folder.join("KNOWN-RED.txt"), known).unwrap();
    }
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").unwrap());
    let output = Command::new("bash").arg(folder.join(".ci/known-red")).env("PATH", path).output().unwrap();
    let calls = std::fs::read_to_string(folder.join("calls")).unwrap_or_default();
    std::fs::remove_dir_all(&folder).unwrap();
    (output, calls)
}

#[test]
fn without_the_file_nothing_is_passed_over() {
    let (output, calls) = run("none", None);
    assert!(output.status.success());
    assert_eq!(calls, "test\n");
}

#[test]
fn a_known_red_test_is_run_apart_and_printed_and_all_else_strictly() {
    let (output, calls) = run("one", Some("red | make test | the cause | 27\n"));
    let said = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{said}");
    assert_eq!(calls, "test ARGS=-- --exact --skip red\ntest ARGS=-- --exact red\n");
    assert!(said.contains("known red: red, make test (the cause; issue 27)"), "{said}");
    assert!(said.contains("known red, and failed: red"), "{said}");
}

/// A script or a seed is printed, and neither run nor a reason to pass over a test.
#[test]
fn a_known_red_script_is_printed_and_all_tests_are_run() {
    let (output, calls) = run("printed", Some("- | soak seed 4 | the cause | 27\n"));
    let said = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{said}");
    assert_eq!(calls, "test\n");
    assert!(said.contains("known red, not run: soak seed 4 (the cause; issue 27)"), "{said}");
}

#[rstest]
#[case("nobody", "there | c | is no such test | 27\n", "no such test: there")]
#[case("part", "re | c | only a part of a name | 27\n", "no such test: re")]
#[case("field", "red | c | the cause\n", "not TEST | COMMAND AND SEED | SEEN | ISSUE")]
#[case("more", "red | c | the cause | 27 | 28\n", "not TEST | COMMAND AND SEED | SEEN | ISSUE")]
#[case("empty", "red | c | | 27\n", "not TEST | COMMAND AND SEED | SEEN | ISSUE")]
#[case("script", "- | | the cause | 27\n", "not TEST | COMMAND AND SEED | SEEN | ISSUE")]
#[case("four", "red|c|a|1\ngreen|c|b|2\nother::red|c|c|3\nred|c|d|4\n", "three at most")]
fn a_file_that_says_too_little_or_too_much_fails(#[case] name: &str, #[case] known: &str, #[case] why: &str) {
    let (output, calls) = run(name, Some(known));
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && said.contains(why), "{said}");
    assert_eq!(calls, "", "nothing is run");
}
