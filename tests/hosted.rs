//! The hosted service: tenants changed over the administration API while requests run, the store under SIGKILL,
//! and the documents that are made from the code.

mod common;

use common::engines;
use common::{Program, Reply, TOKEN, read_reply, request, start, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A folder of the test's own, for its store.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("sanddyke-store-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn config(&self) -> Value {
        json!({"store": {"path": self.0.join("state.redb"), "backups": self.0}})
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _gone = std::fs::remove_dir_all(&self.0);
    }
}

fn call(
    program: &Program,
    token: &str,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &str,
) -> Reply {
    let mut stream = TcpStream::connect(program.admin).unwrap();
    let bearer = format!("Bearer {token}");
    let mut all = vec![("Authorization", bearer.as_str())];
    all.extend(fields);
    stream.write_all(request(method, target, &all, body).as_bytes()).unwrap();
    read_reply(&mut stream).expect("an answer")
}

fn root(program: &Program, method: &str, target: &str, body: Value) -> Reply {
    let body = if body.is_null() { String::new() } else { body.to_string() };
    call(program, TOKEN, method, target, &[("If-Match", "*")], &body)
}

fn create(program: &Program, name: &str, spec: Value) {
    let mut body = spec;
    body["name"] = json!(name);
    let reply = root(program, "POST", "/v1/tenants", body);
    assert_eq!(reply.status, 201, "{}", reply.body);
}

/// One client's request for a tenant, sent and not yet answered.
fn send(
    program: &Program,
    tenant: &str,
    class: &str,
    number: u64,
    key: Option<&str>,
    statement: &str,
) -> TcpStream {
    let (txn, class) = (format!("{number:016x}"), format!("/do/{class}"));
    let mut fields = vec![("X-Txn", txn.as_str()), ("X-Ttl-Ms", "9000"), ("X-Merchant", tenant)];
    fields.extend(key.map(|key| ("X-Txn-Key", key)));
    let mut stream = TcpStream::connect(program.http).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(request("POST", &class, &fields, statement).as_bytes()).unwrap();
    stream
}

fn ask(program: &Program, tenant: &str, number: u64) -> Reply {
    read_reply(&mut send(program, tenant, "lookup", number, None, "SELECT ok")).unwrap()
}

#[test]
fn a_tenant_lives_from_its_creation_to_its_removal() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    assert_eq!(ask(&program, "acme", 1).status, 200, "the settings' tenants are the first import");
    assert_eq!(ask(&program, "glannau", 2).status, 400, "nobody else is known");
    create(&program, "glannau", json!({"weight": 3.0}));
    assert_eq!(ask(&program, "glannau", 3).status, 200);
    let told = root(&program, "GET", "/v1/tenants/glannau", Value::Null);
    assert_eq!((&told.json()["share"], told.field("ETag")), (&json!(0.75), Some("\"2\"")));
    let suspended = root(&program, "POST", "/v1/tenants/glannau/suspend", Value::Null);
    assert_eq!((suspended.status, &suspended.json()["share"]), (200, &json!(0.0)));
    let refused = ask(&program, "glannau", 4);
    assert_eq!((refused.status, &refused.json()["reason"]), (403, &json!("tenant_suspended")));
    assert!(refused.field("Retry-After").is_some());
    root(&program, "POST", "/v1/tenants/glannau/resume", Value::Null);
    assert_eq!(ask(&program, "glannau", 5).status, 200);
    root(&program, "POST", "/v1/tenants/glannau/drain", Value::Null);
    assert_eq!(ask(&program, "glannau", 6).json()["reason"], "tenant_draining");
    assert_eq!(root(&program, "DELETE", "/v1/tenants/glannau", Value::Null).status, 200);
    assert_eq!(ask(&program, "glannau", 7).status, 400);
    let audit = root(&program, "GET", "/v1/audit", Value::Null).json();
    let ops: Vec<&str> = audit["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| entry["what"]["record"]["change"]["op"].as_str().unwrap())
        .collect();
    let expected =
        ["remove_tenant", "move_tenant", "move_tenant", "move_tenant", "create_tenant", "create_tenant"];
    assert_eq!(ops, expected);
    assert_eq!(audit["entries"][5]["who"], "settings");
}

/// Each limit refuses with its own code and status on both fronts' terms, and tells when to come back.
#[rstest]
#[case(json!({"classes": ["report"]}), 403, "tenant_class")]
#[case(json!({"statement_bytes": 4}), 413, "tenant_statement_bytes")]
#[case(json!({"requests_per_s": 0.01, "burst": 1.0}), 429, "tenant_rate")]
#[case(json!({"open_requests": 1}), 429, "tenant_open")]
#[case(json!({"result_bytes": 1}), 500, "tenant_result_bytes")]
fn a_limit_refuses_with_its_code(#[case] limits: Value, #[case] status: u16, #[case] code: &str) {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    create(&program, "t", json!({"limits": limits}));
    let _open = match code {
        "tenant_rate" => {
            Some(ask(&program, "t", 1)).map(|reply| assert_eq!(reply.status, 200)).map(|()| None)
        }
        "tenant_open" => Some(Some(send(&program, "t", "lookup", 1, None, "SELECT slow"))),
        _ => None,
    };
    if code == "tenant_open" {
        wait_until("it runs", || engine.count("REQ") == 1);
    }
    let refused = ask(&program, "t", 2);
    assert_eq!((refused.status, refused.json()["reason"].as_str()), (status, Some(code)), "{}", refused.body);
    assert_eq!(refused.field("Retry-After").is_some(), status == 429);
    let metrics = program.admin("GET", "/metrics", TOKEN).body;
    let line = format!("sanddyke_tenant_refusals_total{{tenant=\"t\",reason=\"{code}\"}} 1");
    assert!(metrics.contains(&line), "{metrics}");
}

/// Two operators change one tenant at once: one is told, and nothing is lost.
#[test]
fn of_two_changes_at_once_one_is_told() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let seen = root(&program, "GET", "/v1/tenants/acme", Value::Null).field("ETag").unwrap().to_owned();
    let change =
        |body: &str| call(&program, TOKEN, "PATCH", "/v1/tenants/acme", &[("If-Match", &seen)], body).status;
    let mut statuses = std::thread::scope(|scope| {
        let one = scope.spawn(|| change(r#"{"weight": 7}"#));
        let other = scope.spawn(|| change(r#"{"quota_rps": 70}"#));
        [one.join().unwrap(), other.join().unwrap()]
    });
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 412]);
    let tenant = root(&program, "GET", "/v1/tenants/acme", Value::Null).json();
    let changed = (tenant["weight"] == 7.0, tenant["quota_rps"] == 70.0);
    assert!(changed.0 != changed.1, "one of both: {tenant}");
    assert_eq!(call(&program, TOKEN, "PATCH", "/v1/tenants/acme", &[], "{}").status, 428);
}

/// A token of one tenant reads and changes nothing of another, and learns not even its name.
#[test]
fn a_tenants_token_sees_its_tenant_only() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    create(&program, "own", json!({}));
    create(&program, "other", json!({}));
    let body = json!({"role": "tenant_admin", "tenants": ["own"], "note": "a council"});
    let made = root(&program, "POST", "/v1/tokens", body).json();
    let secret = made["secret"].as_str().unwrap();
    let own = |method: &str, target: &str, body: &str| {
        call(&program, secret, method, target, &[("If-Match", "*")], body)
    };
    let names = own("GET", "/v1/tenants", "").json();
    assert_eq!(
        (names["tenants"].as_array().unwrap().len(), &names["tenants"][0]["name"]),
        (1, &json!("own"))
    );
    assert_eq!(own("PATCH", "/v1/tenants/own", r#"{"labels": {"site": "north"}}"#).status, 200);
    let _open = send(&program, "other", "report", 9, None, "SELECT slow");
    wait_until("it runs", || engine.count("REQ") == 1);
    let before = root(&program, "GET", "/v1/export", Value::Null).body;
    let denied = [
        ("GET", "/v1/tenants/other", "", 404),
        ("PATCH", "/v1/tenants/other", r#"{"labels": {}}"#, 404),
        ("DELETE", "/v1/tenants/other", "", 404),
        ("POST", "/v1/tenants/other/suspend", "", 404),
        ("GET", "/v1/audit?tenant=other", "", 404),
        ("DELETE", "/v1/requests/0000000000000009", "", 404),
        ("PATCH", "/v1/tenants/own", r#"{"weight": 99}"#, 403),
        ("POST", "/v1/tenants/own/suspend", "", 403),
        ("DELETE", "/v1/tenants/own", "", 403),
        ("POST", "/v1/tenants", r#"{"name": "mine"}"#, 403),
        ("GET", "/v1/tokens", "", 403),
        ("GET", "/v1/shares", "", 403),
        ("GET", "/v1/export", "", 403),
        ("POST", "/v1/import", "format = 1", 403),
        ("POST", "/v1/backups", "", 403),
        ("GET", "/metrics", "", 403),
        ("GET", "/tenants", "", 403),
        ("GET", "/engines", "", 403),
    ];
    for (method, target, body, status) in denied {
        let reply = own(method, target, body);
        assert_eq!(reply.status, status, "{method} {target}: {}", reply.body);
    }
    assert_eq!(own("GET", "/v1/requests", "").json()["requests"], json!([]));
    for target in ["/v1/audit", "/v1/watch?after=0&wait_ms=0"] {
        let told = own("GET", target, "").body;
        assert!(told.contains("own") && !told.contains("other"), "{target}: {told}");
    }
    assert_eq!(root(&program, "GET", "/v1/export", Value::Null).body, before);
    let viewer = root(&program, "POST", "/v1/tokens", json!({"role": "viewer"})).json();
    let sees = |method, target| call(&program, viewer["secret"].as_str().unwrap(), method, target, &[], "");
    assert_eq!((sees("GET", "/v1/shares").status, sees("POST", "/v1/tenants/own/drain").status), (200, 403));
    let id = made["id"].as_str().unwrap();
    let turned = root(&program, "POST", &format!("/v1/tokens/{id}/rotate"), json!({"overlap_ms": 60000}));
    let fresh = turned.json()["secret"].as_str().unwrap().to_owned();
    for secret in [secret, &fresh] {
        assert_eq!(call(&program, secret, "GET", "/v1/self", &[], "").status, 200);
    }
    assert_eq!(root(&program, "DELETE", &format!("/v1/tokens/{id}"), Value::Null).status, 200);
    assert_eq!(call(&program, &fresh, "GET", "/v1/self", &[], "").status, 401);
    let kept = std::fs::read(folder.0.join("state.redb")).unwrap();
    let told = secret.rsplit('_').next().unwrap().as_bytes();
    assert!(!kept.windows(told.len()).any(|part| part == told), "the secret is not in the store");
}

#[test]
fn a_creation_with_a_key_is_made_once() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let post = |key: &str, body: &str| {
        call(&program, TOKEN, "POST", "/v1/tenants", &[("Idempotency-Key", key)], body)
    };
    assert_eq!(post("k1", r#"{"name": "a"}"#).status, 201);
    let again = post("k1", r#"{"name": "a"}"#);
    assert_eq!((again.status, again.field("Idempotent-Replayed")), (201, Some("true")));
    assert_eq!(post("k1", r#"{"name": "b"}"#).status, 422);
    assert_eq!(post("k2", r#"{"name": "a"}"#).status, 409);
}

#[test]
fn a_dry_run_tells_shares_and_changes_nothing() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let told =
        root(&program, "POST", "/v1/tenants?dry_run=true", json!({"name": "new", "weight": 3.0})).json();
    let shares = json!([{"tenant": "acme", "before": 1.0, "after": 0.25}, {"tenant": "new", "before": 0.0, "after": 0.75}]);
    assert_eq!((&told["dry_run"], &told["shares"]), (&json!(true), &shares));
    assert_eq!(root(&program, "GET", "/v1/tenants/new", Value::Null).status, 404);
}

#[test]
fn pages_go_through_all_tenants_once() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    (0..25).for_each(|number| create(&program, &format!("t{number}"), json!({})));
    let (mut names, mut cursor) = (Vec::new(), String::new());
    loop {
        let told = root(&program, "GET", &format!("/v1/tenants?limit=7{cursor}"), Value::Null).json();
        let page = told["tenants"].as_array().unwrap();
        assert!(page.len() <= 7);
        names.extend(page.iter().map(|tenant| tenant["name"].as_str().unwrap().to_owned()));
        match told["next"].as_str() {
            Some(next) => cursor = format!("&cursor={next}"),
            None => break,
        }
    }
    let expected: Vec<String> =
        ["acme".to_owned()].into_iter().chain((0..25).map(|n| format!("t{n}"))).collect();
    assert_eq!(names, expected);
}

/// A watcher is told of a change when it comes, resumes from where it was, and lists anew where that is gone.
#[test]
fn a_watcher_misses_nothing() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let began = Instant::now();
    let told = std::thread::scope(|scope| {
        let waiting =
            scope.spawn(|| root(&program, "GET", "/v1/watch?after=1&wait_ms=20000", Value::Null).json());
        std::thread::sleep(Duration::from_millis(300));
        create(&program, "late", json!({}));
        waiting.join().unwrap()
    });
    assert!(began.elapsed() < Duration::from_secs(10), "it is told at once, not at the end of its time");
    let op = |change: &Value| {
        (change["record"]["change"]["op"].clone(), change["record"]["change"]["name"].clone())
    };
    assert_eq!(op(&told["changes"][0]), (json!("create_tenant"), json!("late")));
    create(&program, "later", json!({}));
    let next = told["next"].as_u64().unwrap();
    let resumed = root(&program, "GET", &format!("/v1/watch?after={next}&wait_ms=0"), Value::Null).json();
    assert_eq!(resumed["changes"].as_array().unwrap().len(), 1);
    assert_eq!(op(&resumed["changes"][0]).1, "later");
    assert_eq!(root(&program, "GET", "/v1/watch?after=999&wait_ms=0", Value::Null).status, 410);
}

/// A share is changed, and a tenant suspended, removed and added again under one name, while loads are in
/// flight: every request is answered once, and no load runs twice.
#[test]
fn changes_in_mid_run_lose_and_repeat_nothing() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    create(&program, "t", json!({}));
    let mut first: Vec<TcpStream> = (0..4)
        .map(|number| match number % 3 {
            0 => {
                let key = format!("load-{number}");
                send(&program, "t", "load", number, Some(&key), &format!("LOAD slow n{number} s_{number}.t"))
            }
            _ => send(&program, "t", "report", number, None, &format!("SELECT slow n{number} x")),
        })
        .collect();
    wait_until("loads and reports are in flight", || engine.count("REQ") == 4);
    assert_eq!(root(&program, "PATCH", "/v1/tenants/t", json!({"weight": 9.0})).status, 200);
    root(&program, "POST", "/v1/tenants/t/suspend", Value::Null);
    assert_eq!(root(&program, "DELETE", "/v1/tenants/t", Value::Null).status, 200);
    assert_eq!(ask(&program, "t", 100).json()["reason"], "tenant_removed", "the name is nobody's");
    create(&program, "t", json!({"weight": 2.0}));
    assert_eq!(ask(&program, "t", 101).status, 200, "the new tenant of that name is served at once");
    let told = root(&program, "GET", "/v1/tenants/t", Value::Null).json();
    assert_eq!(told["usage"]["open"], 0, "and has nothing of the old one's: {told}");
    let stop = root(&program, "GET", "/v1/requests", Value::Null).json();
    assert_eq!(stop["requests"].as_array().unwrap().len(), 4, "the old one's work goes on");
    for open in stop["requests"].as_array().unwrap() {
        let name = open["name"].as_str().unwrap();
        assert_eq!(root(&program, "DELETE", &format!("/v1/requests/{name}"), Value::Null).status, 200);
    }
    for stream in &mut first {
        assert_eq!(read_reply(stream).expect("each is answered").json()["fault"], "Cancelled");
        let mut rest = [0];
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        assert!(!matches!(stream.read(&mut rest), Ok(1..)), "and once");
    }
    for number in 0..4 {
        assert_eq!(engine.count(&format!("n{number} ")), 1, "request {number} ran once");
    }
}

/// Bodies, heads and targets that make no sense are answered with a problem or a close, and change nothing.
#[test]
fn what_makes_no_sense_changes_nothing() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    create(&program, "t", json!({"limits": {"open_requests": 5}}));
    let before = root(&program, "GET", "/v1/export", Value::Null).body;
    let mut rng = 0x2545_f491_4f6c_dd1d_u64;
    let mut random = move |below: usize| {
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        rng as usize % below
    };
    let good = [
        request(
            "PATCH",
            "/v1/tenants/t",
            &[("Authorization", &format!("Bearer {TOKEN}"))],
            r#"{"weight": 2}"#,
        ),
        request(
            "POST",
            "/v1/tenants?dry_run=true",
            &[("Authorization", &format!("Bearer {TOKEN}"))],
            r#"{"name": "u"}"#,
        ),
        request("DELETE", "/v1/tenants/t", &[("Authorization", &format!("Bearer {TOKEN}x"))], ""),
    ];
    let mut answered = 0;
    for _ in 0..150 {
        let mut bytes = good[random(good.len())].clone().into_bytes();
        for _ in 0..=random(4) {
            let at = random(bytes.len());
            match random(3) {
                0 => bytes[at] = random(256) as u8,
                1 => drop(bytes.remove(at)),
                _ => bytes.insert(at, random(256) as u8),
            }
        }
        let mut stream = TcpStream::connect(program.admin).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let _closed = stream.write_all(&bytes);
        // Half a request is over with this, whatever its length said.
        let _closed = stream.shutdown(std::net::Shutdown::Write);
        answered += usize::from(read_reply(&mut stream).is_some_and(|reply| reply.status != 201));
    }
    assert!(answered > 50, "{answered} were answered");
    for (body, status) in [
        ("{", 400),
        (r#"{"name": "a/b"}"#, 422),
        (r#"{"name": "ok", "weigth": 1}"#, 422),
        (r#"{"name": "ok", "weight": -1}"#, 422),
        (r#"{"name": "ok", "group": "none"}"#, 404),
        (r#"{"name": 7}"#, 422),
        (r#"[]"#, 400),
    ] {
        let reply = call(&program, TOKEN, "POST", "/v1/tenants", &[], body);
        assert_eq!(reply.status, status, "{body}: {}", reply.body);
        assert!(
            reply.json()["type"].as_str().unwrap().starts_with("urn:sanddyke:problem:"),
            "{}",
            reply.body
        );
    }
    assert_eq!(root(&program, "GET", "/v1/tenants?limit=0", Value::Null).status, 400);
    assert_eq!(root(&program, "GET", "/v1/tenants?shape=round", Value::Null).status, 400);
    assert_eq!(root(&program, "PUT", "/v1/tenants/t", Value::Null).status, 405);
    let long = "x".repeat(2 << 20);
    assert_eq!(call(&program, TOKEN, "POST", "/v1/import", &[], &long).status, 413);
    wait_until("the bucket has calls again", || {
        root(&program, "GET", "/v1/export", Value::Null).status == 200
    });
    assert_eq!(root(&program, "GET", "/v1/export", Value::Null).body, before);
}

/// SIGKILL at random moments of a storm of changes: after each start all that was acknowledged is there, and
/// nothing half.
#[test]
fn all_that_was_acknowledged_survives_sigkill() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let mut acknowledged = 0;
    for round in 0..6u64 {
        let mut program = start(&[engine.address], folder.config());
        let exported = root(&program, "GET", "/v1/export", Value::Null).body;
        let document: toml::Value = toml::from_str(&exported).unwrap();
        let there = |name: &str| document.get("tenants").and_then(|all| all.get(name)).is_some();
        for number in 0..acknowledged {
            assert!(there(&format!("t{number}")), "round {round}: t{number} of {acknowledged} is lost");
        }
        let audit = root(&program, "GET", "/v1/audit?limit=1", Value::Null).json();
        let shares = root(&program, "GET", "/v1/shares", Value::Null).json();
        assert_eq!(audit["entries"][0]["number"], shares["generation"], "round {round}: one entry a change");
        if there(&format!("t{acknowledged}")) {
            acknowledged += 1; // it was on the disk, only its answer was not on its way
        }
        let (address, from) = (program.admin, acknowledged);
        let count = Arc::new(AtomicUsize::new(from));
        let counted = count.clone();
        let storm = std::thread::spawn(move || {
            let mut made = from;
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            loop {
                let body = json!({"name": format!("t{made}"), "weight": 1.5}).to_string();
                let bearer = format!("Bearer {TOKEN}");
                let sent = stream.write_all(
                    request("POST", "/v1/tenants", &[("Authorization", &bearer)], &body).as_bytes(),
                );
                match sent.ok().and_then(|()| read_reply(&mut stream)) {
                    Some(reply) if reply.status == 201 => {
                        made += 1;
                        counted.store(made, Ordering::Relaxed);
                    }
                    Some(reply) => assert_eq!(reply.status, 429, "{}", reply.body),
                    None => return made,
                }
            }
        });
        let wanted = from + 4 + 5 * round as usize;
        wait_until("the storm is on", || count.load(Ordering::Relaxed) >= wanted);
        std::thread::sleep(Duration::from_micros(731 * round));
        program.kill();
        acknowledged = storm.join().unwrap();
    }
    assert!(acknowledged >= 90, "{acknowledged} changes in all");
}

#[test]
fn a_store_that_cannot_be_used_ends_the_start_with_one_message() {
    let folder = Folder::new();
    let path = folder.0.join("state.redb");
    std::fs::write(&path, "this is no store").unwrap();
    let mut config = common::admin_only_config(&folder.0);
    config["store"] = json!({"path": path});
    std::fs::write(folder.0.join("config.json"), config.to_string()).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_sanddyke"))
        .args(["--config".as_ref(), folder.0.join("config.json").as_os_str()])
        .env("RUST_LOG", "error")
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(
        said.contains("store.path") && said.contains("state.redb") && said.lines().count() == 1,
        "{said}"
    );
    assert_eq!(std::fs::read(&path).unwrap(), b"this is no store");
}

/// A backup that is made while the program runs is restored by the command line, which keeps what was there.
#[test]
fn a_backup_is_restored() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let path = folder.0.join("state.redb");
    let run = |arguments: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_sanddyke")).args(arguments).output().unwrap()
    };
    let copy = {
        let program = start(&[engine.address], folder.config());
        create(&program, "kept", json!({"weight": 4.0}));
        let copy =
            root(&program, "POST", "/v1/backups", Value::Null).json()["path"].as_str().unwrap().to_owned();
        create(&program, "after", json!({}));
        let busy = run(&["export", path.to_str().unwrap()]);
        assert_eq!(busy.status.code(), Some(4), "the program has it open: {busy:?}");
        copy
    };
    let restored = run(&["restore", &copy, path.to_str().unwrap()]);
    assert!(restored.status.success(), "{restored:?}");
    let exported = String::from_utf8(run(&["export", path.to_str().unwrap()]).stdout).unwrap();
    assert!(exported.contains("kept") && !exported.contains("after"), "{exported}");
    let document = folder.0.join("tenants.toml");
    std::fs::write(&document, exported.replace("weight = 4.0", "weight = 5.0")).unwrap();
    let import = |more: &[&str]| {
        let mut arguments = vec!["import", path.to_str().unwrap(), document.to_str().unwrap()];
        arguments.extend(more);
        String::from_utf8(run(&arguments).stdout).unwrap()
    };
    assert!(import(&["--dry-run"]).starts_with("1 changes would be made"), "{}", import(&["--dry-run"]));
    assert_eq!(import(&[]), "1 changes made\n");
    assert_eq!(import(&["--prune"]), "0 changes made\n");
}

/// The documents in `docs/` are what the code says. `sanddyke openapi` and `sanddyke schema` print them.
#[rstest]
#[case("openapi", "docs/openapi.json")]
#[case("schema", "docs/config.schema.json")]
fn documents_are_up_to_date(#[case] command: &str, #[case] path: &str) {
    let printed = std::process::Command::new(env!("CARGO_BIN_EXE_sanddyke")).arg(command).output().unwrap();
    let kept = std::fs::read_to_string(path).unwrap();
    assert!(
        String::from_utf8(printed.stdout).unwrap() == kept,
        "make {path} anew: sanddyke {command} > {path}"
    );
}

/// The certificate files of a listener, signed by an authority that is made for the test.
fn certificates(folder: &Folder, name: &str) -> (String, rcgen::Issuer<'static, rcgen::KeyPair>) {
    let mut authority = rcgen::CertificateParams::new(Vec::new()).unwrap();
    authority.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let key = rcgen::KeyPair::generate().unwrap();
    let own = authority.self_signed(&key).unwrap();
    std::fs::write(folder.0.join(format!("{name}-ca.pem")), own.pem()).unwrap();
    (own.pem(), rcgen::Issuer::new(authority, key))
}

fn sign(folder: &Folder, issuer: &rcgen::Issuer<'static, rcgen::KeyPair>, name: &str, host: &str) {
    let key = rcgen::KeyPair::generate().unwrap();
    let params = rcgen::CertificateParams::new(vec![host.to_owned()]).unwrap();
    let certificate = params.signed_by(&key, issuer).unwrap();
    std::fs::write(folder.0.join(format!("{name}.pem")), certificate.pem()).unwrap();
    std::fs::write(folder.0.join(format!("{name}-key.pem")), key.serialize_pem()).unwrap();
}

/// The API is encrypted, lets in callers with a certificate only, and takes a new certificate at SIGHUP.
#[test]
fn an_encrypted_api_wants_a_certificate_and_reads_its_own_again() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let (_, servers) = certificates(&folder, "server");
    let (_, operators) = certificates(&folder, "operators");
    let mut config = folder.config();
    let file = |name: &str| folder.0.join(name);
    config["admin"] = json!({"certificate": file("api.pem"), "private_key": file("api-key.pem"),
                             "client_ca": file("operators-ca.pem")});
    sign(&folder, &operators, "me", "me");
    // The address is known once the program has started, so the first certificate is for every such address.
    let addresses: Vec<String> = (1..=254).map(|last| format!("127.0.0.{last}")).collect();
    let key = rcgen::KeyPair::generate().unwrap();
    let params = rcgen::CertificateParams::new(addresses).unwrap();
    std::fs::write(file("api.pem"), params.signed_by(&key, &servers).unwrap().pem()).unwrap();
    std::fs::write(file("api-key.pem"), key.serialize_pem()).unwrap();
    let program = start(&[engine.address], config);
    let client = |identity: bool| {
        sanddyke_client::Client::new(sanddyke_client::Options {
            url: format!("https://{}", program.admin),
            token: TOKEN.to_owned(),
            ca: Some(file("server-ca.pem")),
            identity: identity.then(|| sanddyke_client::Identity {
                certificate: file("me.pem"),
                private_key: file("me-key.pem"),
            }),
        })
        .unwrap()
    };
    assert!(client(true).get("/v1/self").is_err(), "the certificate is for other addresses");
    sign(&folder, &servers, "api", &program.admin.ip().to_string());
    program.hangup();
    wait_until("the new certificate is used", || client(true).get("/v1/self").is_ok());
    assert_eq!(client(true).get("/v1/self").unwrap()["id"], "root");
    assert!(client(false).get("/v1/self").is_err(), "no certificate, no call");
    let made = client(true).create_tenant("t", &Default::default(), Some("k")).unwrap();
    assert_eq!(made["name"], "t");
}

/// The client's pages, updates and problems, against the program.
#[test]
fn the_client_goes_through_pages_and_works_out_an_update_anew() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let options = sanddyke_client::Options {
        url: format!("http://{}", program.admin),
        token: TOKEN.to_owned(),
        ..Default::default()
    };
    let client = sanddyke_client::Client::new(options).unwrap();
    let mut spoilt = false;
    let updated = client.update("/v1/tenants/acme", |seen| {
        if !std::mem::replace(&mut spoilt, true) {
            // Another operator comes between, once.
            root(&program, "PATCH", "/v1/tenants/acme", json!({"quota_rps": 5.0}));
        }
        json!({"weight": seen["weight"].as_f64().unwrap() + 1.0})
    });
    let updated = updated.unwrap();
    assert_eq!(
        (&updated["weight"], &updated["quota_rps"]),
        (&json!(2.0), &json!(5.0)),
        "both changes are there"
    );
    let names: Vec<_> = client.tenants("&state=active").map(|row| row.unwrap()["name"].clone()).collect();
    assert_eq!(names, ["acme"]);
    match client.get("/v1/tenants/none").unwrap_err() {
        sanddyke_client::Error::Problem { status: 404, code, .. } => assert_eq!(code, "not_found"),
        other => panic!("{other}"),
    }
}
