//! `sanddykectl` against a stub of the administration API: the calls it sends, its output and its exit codes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

/// Starts a stub of the API that selects the response by the request target. Returns its address and the recorded calls:
/// method, target and body, followed by `[If-Match 7]` if the call has the entity tag that the stub returns.
fn start_stub_api() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, calls) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(Vec::new())));
    let recorded = calls.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut out = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            let (mut head, mut length) = (String::new(), 0);
            while !head.ends_with("\r\n\r\n") {
                let line_start = head.len();
                if input.read_line(&mut head).unwrap_or(0) == 0 {
                    break;
                }
                let line = head[line_start..].to_lowercase();
                length = line.strip_prefix("content-length:").map_or(length, |n| n.trim().parse().unwrap());
            }
            let mut body = vec![0; length];
            input.read_exact(&mut body).unwrap();
            let request_line = head.lines().next().unwrap_or("").to_owned();
            let call =
                format!("{} {}", request_line.trim_end_matches(" HTTP/1.1"), String::from_utf8_lossy(&body));
            let has_etag = head.to_lowercase().contains("if-match: \"7\"");
            recorded.lock().unwrap().push(format!(
                "{}{}",
                call.trim_end(),
                if has_etag { " [If-Match 7]" } else { "" }
            ));
            let (status, body) = match request_line.split(' ').nth(1).unwrap_or("") {
                "/v1/tenants?limit=500" => {
                    (200, r#"{"tenants": [{"name": "a", "state": "active", "share": 0.5}], "next": "4"}"#)
                }
                "/v1/tenants?limit=500&cursor=4" => {
                    (200, r#"{"tenants": [{"name": "b", "state": "draining", "share": 0.5}], "next": null}"#)
                }
                "/v1/tenants/a" => (200, r#"{"name": "a", "weight": 2.0}"#),
                "/v1/tenants/none" => (
                    404,
                    r#"{"type": "urn:sanddyke:problem:not_found", "title": "not found", "status": 404, "detail": "no tenant of this name"}"#,
                ),
                "/v1/tenants" => (
                    409,
                    r#"{"type": "urn:sanddyke:problem:exists", "title": "exists", "status": 409, "detail": "there already"}"#,
                ),
                _ => (
                    401,
                    r#"{"type": "urn:sanddyke:problem:unauthorized", "title": "unauthorized", "status": 401, "detail": "no"}"#,
                ),
            };
            let _write_result = write!(
                out,
                "HTTP/1.1 {status} X\r\nETag: \"7\"\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
    });
    (address, calls)
}

fn run_ctl(address: SocketAddr, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sanddykectl"))
        .args(arguments)
        .env("SANDDYKE_URL", format!("http://{address}"))
        .env("SANDDYKE_TOKEN", "a-token-for-the-test")
        .env_remove("HOME")
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn pages_of_a_list_are_joined_into_one_table() {
    let (address, _) = start_stub_api();
    let table = text(&run_ctl(address, &["tenants", "list"]).stdout);
    let names: Vec<&str> = table.lines().map(|line| line.split_whitespace().next().unwrap()).collect();
    assert_eq!(names, ["NAME", "a", "b"], "{table}");
    let json = run_ctl(address, &["--json", "tenants", "list"]).stdout;
    let json: serde_json::Value = serde_json::from_slice(&json).unwrap();
    assert_eq!(json["tenants"][1]["name"], "b");
}

#[test]
fn an_update_sends_only_the_given_fields_and_the_entity_tag_it_read() {
    let (address, calls) = start_stub_api();
    let output = run_ctl(
        address,
        &["tenants", "set", "a", "--weight", "3", "--limit", "burst=", "--limit", "classes=x,y"],
    );
    assert!(output.status.success(), "{}", text(&output.stderr));
    let expected =
        r#"PATCH /v1/tenants/a {"limits":{"burst":null,"classes":["x","y"]},"weight":3.0} [If-Match 7]"#;
    assert_eq!(calls.lock().unwrap().last().unwrap(), expected);
}

#[test]
fn each_error_has_its_exit_code_and_leaves_standard_output_empty() {
    let (address, _) = start_stub_api();
    let cases: [(&[&str], i32, &str); 6] = [
        (&["tenants", "show", "none"], 6, "no tenant of this name"),
        (&["tenants", "create", "a"], 7, "there already"),
        (&["shares"], 5, "unauthorized"),
        (&["tenants", "set", "a", "--limit", "burst"], 2, "KEY=VALUE"),
        (&["--profiles", "/none/ctl.toml", "shares"], 3, "/none/ctl.toml"),
        (&["no-such-command"], 2, "unrecognized"),
    ];
    for (arguments, code, message) in cases {
        let output = run_ctl(address, arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", text(&output.stderr));
        assert!(text(&output.stderr).contains(message) && output.stdout.is_empty(), "{arguments:?}");
    }
    let closed_port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(run_ctl(closed_port, &["shares"]).status.code(), Some(4));
}

#[test]
fn help_and_shell_completions_are_printed() {
    let (address, _) = start_stub_api();
    for arguments in [
        &["--help"][..],
        &["tenants", "--help"],
        &["tenants", "plan", "--help"],
        &["tokens", "create", "--help"],
    ] {
        let output = run_ctl(address, arguments);
        assert!(
            output.status.success() && text(&output.stdout).contains("Usage: sanddykectl"),
            "{arguments:?}"
        );
    }
    for shell in ["bash", "zsh", "fish"] {
        let script = text(&run_ctl(address, &["completions", shell]).stdout);
        assert!(script.contains("sanddykectl") && script.len() > 1000, "{shell}");
    }
}
