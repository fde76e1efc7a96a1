//! The command line against a stand-in of the API: what it sends, what it prints, and its exit codes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

/// Answers every call by its target, and remembers the calls.
fn service() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, calls) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(Vec::new())));
    let seen = calls.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut out = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            let (mut head, mut length) = (String::new(), 0);
            while !head.ends_with("\r\n\r\n") {
                let from = head.len();
                if input.read_line(&mut head).unwrap_or(0) == 0 {
                    break;
                }
                let line = head[from..].to_lowercase();
                length = line.strip_prefix("content-length:").map_or(length, |n| n.trim().parse().unwrap());
            }
            let mut body = vec![0; length];
            input.read_exact(&mut body).unwrap();
            let first = head.lines().next().unwrap_or("").to_owned();
            let call = format!("{} {}", first.trim_end_matches(" HTTP/1.1"), String::from_utf8_lossy(&body));
            let tagged = head.to_lowercase().contains("if-match: \"7\"");
            seen.lock().unwrap().push(format!("{}{}", call.trim_end(), if tagged { " if 7" } else { "" }));
            let (status, body) = match first.split(' ').nth(1).unwrap_or("") {
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
            let _sent = write!(
                out,
                "HTTP/1.1 {status} X\r\nETag: \"7\"\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
    });
    (address, calls)
}

fn ctl(address: SocketAddr, arguments: &[&str]) -> Output {
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
fn a_list_of_pages_is_one_table() {
    let (address, _) = service();
    let shown = text(&ctl(address, &["tenants", "list"]).stdout);
    let names: Vec<&str> = shown.lines().map(|line| line.split_whitespace().next().unwrap()).collect();
    assert_eq!(names, ["NAME", "a", "b"], "{shown}");
    let json = ctl(address, &["--json", "tenants", "list"]).stdout;
    let json: serde_json::Value = serde_json::from_slice(&json).unwrap();
    assert_eq!(json["tenants"][1]["name"], "b");
}

#[test]
fn a_change_carries_what_was_given_and_the_tag_that_was_seen() {
    let (address, calls) = service();
    let done = ctl(
        address,
        &["tenants", "set", "a", "--weight", "3", "--limit", "burst=", "--limit", "classes=x,y"],
    );
    assert!(done.status.success(), "{}", text(&done.stderr));
    let expected = r#"PATCH /v1/tenants/a {"limits":{"burst":null,"classes":["x","y"]},"weight":3.0} if 7"#;
    assert_eq!(calls.lock().unwrap().last().unwrap(), expected);
}

#[test]
fn exit_codes_tell_what_was_wrong_and_nothing_is_printed() {
    let (address, _) = service();
    let cases: [(&[&str], i32, &str); 6] = [
        (&["tenants", "show", "none"], 6, "no tenant of this name"),
        (&["tenants", "create", "a"], 7, "there already"),
        (&["shares"], 5, "unauthorized"),
        (&["tenants", "set", "a", "--limit", "burst"], 2, "KEY=VALUE"),
        (&["--profiles", "/none/ctl.toml", "shares"], 3, "/none/ctl.toml"),
        (&["no-such-command"], 2, "unrecognized"),
    ];
    for (arguments, code, said) in cases {
        let output = ctl(address, arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {}", text(&output.stderr));
        assert!(text(&output.stderr).contains(said) && output.stdout.is_empty(), "{arguments:?}");
    }
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(ctl(nobody, &["shares"]).status.code(), Some(4));
}

#[test]
fn every_level_has_help_and_shells_have_completions() {
    let (address, _) = service();
    for level in [
        &["--help"][..],
        &["tenants", "--help"],
        &["tenants", "plan", "--help"],
        &["tokens", "create", "--help"],
    ] {
        let output = ctl(address, level);
        assert!(output.status.success() && text(&output.stdout).contains("Usage: sanddykectl"), "{level:?}");
    }
    for shell in ["bash", "zsh", "fish"] {
        let script = text(&ctl(address, &["completions", shell]).stdout);
        assert!(script.contains("sanddykectl") && script.len() > 1000, "{shell}");
    }
}
