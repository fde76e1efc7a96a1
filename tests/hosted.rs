//! Tests of the hosted service: changes of tenants over the administration API while requests are in flight, the store
//! under SIGKILL, and the documents that are generated from the code.

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

/// A temporary folder for a test's store, removed when this is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
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
        let _removed = std::fs::remove_dir_all(&self.0);
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
    read_reply(&mut stream).expect("a response")
}

/// A call with the root token and `If-Match: *`.
fn call_as_root(program: &Program, method: &str, target: &str, body: Value) -> Reply {
    let body = if body.is_null() { String::new() } else { body.to_string() };
    call(program, TOKEN, method, target, &[("If-Match", "*")], &body)
}

fn create(program: &Program, name: &str, spec: Value) {
    let mut body = spec;
    body["name"] = json!(name);
    let reply = call_as_root(program, "POST", "/v1/tenants", body);
    assert_eq!(reply.status, 201, "{}", reply.body);
}

/// Sends a client's request for a tenant. The response is to be read from the returned connection.
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

fn query(program: &Program, tenant: &str, number: u64) -> Reply {
    read_reply(&mut send(program, tenant, "lookup", number, None, "SELECT ok")).unwrap()
}

#[test]
fn requests_follow_the_state_of_their_tenant_from_creation_to_removal() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    assert_eq!(
        query(&program, "acme", 1).status,
        200,
        "tenants of the settings are imported at the first start"
    );
    assert_eq!(query(&program, "glannau", 2).status, 400, "unknown tenant");
    create(&program, "glannau", json!({"weight": 3.0}));
    assert_eq!(query(&program, "glannau", 3).status, 200);
    let reply = call_as_root(&program, "GET", "/v1/tenants/glannau", Value::Null);
    assert_eq!((&reply.json()["share"], reply.field("ETag")), (&json!(0.75), Some("\"2\"")));
    let suspended = call_as_root(&program, "POST", "/v1/tenants/glannau/suspend", Value::Null);
    assert_eq!((suspended.status, &suspended.json()["share"]), (200, &json!(0.0)));
    let rejected = query(&program, "glannau", 4);
    assert_eq!((rejected.status, &rejected.json()["reason"]), (403, &json!("tenant_suspended")));
    assert!(rejected.field("Retry-After").is_some());
    call_as_root(&program, "POST", "/v1/tenants/glannau/resume", Value::Null);
    assert_eq!(query(&program, "glannau", 5).status, 200);
    call_as_root(&program, "POST", "/v1/tenants/glannau/drain", Value::Null);
    assert_eq!(query(&program, "glannau", 6).json()["reason"], "tenant_draining");
    assert_eq!(call_as_root(&program, "DELETE", "/v1/tenants/glannau", Value::Null).status, 200);
    assert_eq!(query(&program, "glannau", 7).status, 400);
    let audit = call_as_root(&program, "GET", "/v1/audit", Value::Null).json();
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

/// A request beyond a limit is rejected with the limit's own status and reason code, and with `Retry-After` if the
/// status is 429.
#[rstest]
#[case(json!({"classes": ["report"]}), 403, "tenant_class")]
#[case(json!({"statement_bytes": 4}), 413, "tenant_statement_bytes")]
#[case(json!({"requests_per_s": 0.01, "burst": 1.0}), 429, "tenant_rate")]
#[case(json!({"open_requests": 1}), 429, "tenant_open")]
#[case(json!({"result_bytes": 1}), 500, "tenant_result_bytes")]
fn a_request_beyond_a_tenants_limit_is_rejected_with_the_limits_code(
    #[case] limits: Value,
    #[case] status: u16,
    #[case] code: &str,
) {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    create(&program, "t", json!({"limits": limits}));
    let _open = match code {
        "tenant_rate" => {
            Some(query(&program, "t", 1)).map(|reply| assert_eq!(reply.status, 200)).map(|()| None)
        }
        "tenant_open" => Some(Some(send(&program, "t", "lookup", 1, None, "SELECT slow"))),
        _ => None,
    };
    if code == "tenant_open" {
        wait_until("the first request is in flight", || engine.count("REQ") == 1);
    }
    let rejected = query(&program, "t", 2);
    assert_eq!(
        (rejected.status, rejected.json()["reason"].as_str()),
        (status, Some(code)),
        "{}",
        rejected.body
    );
    assert_eq!(rejected.field("Retry-After").is_some(), status == 429);
    let metrics = program.admin("GET", "/metrics", TOKEN).body;
    let line = format!("sanddyke_tenant_refusals_total{{tenant=\"t\",reason=\"{code}\"}} 1");
    assert!(metrics.contains(&line), "{metrics}");
}

/// Guards against a lost update. Of two concurrent changes with the same `If-Match`, one is applied and the other gets
/// status 412.
#[test]
fn of_two_concurrent_changes_with_one_etag_only_one_is_applied() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let etag =
        call_as_root(&program, "GET", "/v1/tenants/acme", Value::Null).field("ETag").unwrap().to_owned();
    let change =
        |body: &str| call(&program, TOKEN, "PATCH", "/v1/tenants/acme", &[("If-Match", &etag)], body).status;
    let mut statuses = std::thread::scope(|scope| {
        let one = scope.spawn(|| change(r#"{"weight": 7}"#));
        let other = scope.spawn(|| change(r#"{"quota_rps": 70}"#));
        [one.join().unwrap(), other.join().unwrap()]
    });
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 412]);
    let tenant = call_as_root(&program, "GET", "/v1/tenants/acme", Value::Null).json();
    let changed = (tenant["weight"] == 7.0, tenant["quota_rps"] == 70.0);
    assert!(changed.0 != changed.1, "expected exactly one change: {tenant}");
    assert_eq!(call(&program, TOKEN, "PATCH", "/v1/tenants/acme", &[], "{}").status, 428);
}

/// Guards against access to other tenants. A token of one tenant can neither read nor change another tenant, and no
/// response contains the other's name.
#[test]
fn a_tenants_token_has_access_to_its_tenant_only() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    create(&program, "own", json!({}));
    create(&program, "other", json!({}));
    let body = json!({"role": "tenant_admin", "tenants": ["own"], "note": "a council"});
    let token = call_as_root(&program, "POST", "/v1/tokens", body).json();
    let secret = token["secret"].as_str().unwrap();
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
    wait_until("the other tenant's request is in flight", || engine.count("REQ") == 1);
    let before = call_as_root(&program, "GET", "/v1/export", Value::Null).body;
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
        let body = own("GET", target, "").body;
        assert!(body.contains("own") && !body.contains("other"), "{target}: {body}");
    }
    assert_eq!(call_as_root(&program, "GET", "/v1/export", Value::Null).body, before);
    let viewer = call_as_root(&program, "POST", "/v1/tokens", json!({"role": "viewer"})).json();
    let as_viewer =
        |method, target| call(&program, viewer["secret"].as_str().unwrap(), method, target, &[], "");
    assert_eq!(
        (as_viewer("GET", "/v1/shares").status, as_viewer("POST", "/v1/tenants/own/drain").status),
        (200, 403)
    );
    let id = token["id"].as_str().unwrap();
    let rotated =
        call_as_root(&program, "POST", &format!("/v1/tokens/{id}/rotate"), json!({"overlap_ms": 60000}));
    let new_secret = rotated.json()["secret"].as_str().unwrap().to_owned();
    for secret in [secret, &new_secret] {
        assert_eq!(call(&program, secret, "GET", "/v1/self", &[], "").status, 200);
    }
    assert_eq!(call_as_root(&program, "DELETE", &format!("/v1/tokens/{id}"), Value::Null).status, 200);
    assert_eq!(call(&program, &new_secret, "GET", "/v1/self", &[], "").status, 401);
    let stored = std::fs::read(folder.0.join("state.redb")).unwrap();
    let secret_part = secret.rsplit('_').next().unwrap().as_bytes();
    assert!(
        !stored.windows(secret_part.len()).any(|part| part == secret_part),
        "the store contains the secret"
    );
}

#[test]
fn a_creation_with_an_idempotency_key_is_applied_once() {
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
fn a_dry_run_returns_shares_and_changes_nothing() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let reply =
        call_as_root(&program, "POST", "/v1/tenants?dry_run=true", json!({"name": "new", "weight": 3.0}))
            .json();
    let shares = json!([{"tenant": "acme", "before": 1.0, "after": 0.25}, {"tenant": "new", "before": 0.0, "after": 0.75}]);
    assert_eq!((&reply["dry_run"], &reply["shares"]), (&json!(true), &shares));
    assert_eq!(call_as_root(&program, "GET", "/v1/tenants/new", Value::Null).status, 404);
}

#[test]
fn pages_contain_each_tenant_once() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    (0..25).for_each(|number| create(&program, &format!("t{number}"), json!({})));
    let (mut names, mut cursor) = (Vec::new(), String::new());
    loop {
        let reply =
            call_as_root(&program, "GET", &format!("/v1/tenants?limit=7{cursor}"), Value::Null).json();
        let page = reply["tenants"].as_array().unwrap();
        assert!(page.len() <= 7);
        names.extend(page.iter().map(|tenant| tenant["name"].as_str().unwrap().to_owned()));
        match reply["next"].as_str() {
            Some(next) => cursor = format!("&cursor={next}"),
            None => break,
        }
    }
    let expected: Vec<String> =
        ["acme".to_owned()].into_iter().chain((0..25).map(|n| format!("t{n}"))).collect();
    assert_eq!(names, expected);
}

/// Guards against callers that get no answer at a graceful shutdown, which did not count the calls of this API.
#[test]
fn a_call_that_waits_is_answered_at_sigterm() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let mut program = start(&[engine.address], folder.config());
    let mut watch = TcpStream::connect(program.admin).unwrap();
    let bearer = format!("Bearer {TOKEN}");
    let call = request("GET", "/v1/watch?wait_ms=20000", &[("Authorization", bearer.as_str())], "");
    watch.write_all(call.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    let began = Instant::now();
    program.terminate();
    let reply = read_reply(&mut watch).expect("an answer before the end");
    assert_eq!((reply.status, &reply.json()["changes"]), (200, &json!([])));
    assert!(program.wait().success());
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
}

/// Guards against missed watch events. A watcher receives a change at once, and can resume after the last one it
/// received. It gets status 410, and has to list again, if its position is unknown.
#[test]
fn a_watcher_receives_every_change() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let began = Instant::now();
    let first = std::thread::scope(|scope| {
        let waiting = scope
            .spawn(|| call_as_root(&program, "GET", "/v1/watch?after=1&wait_ms=20000", Value::Null).json());
        std::thread::sleep(Duration::from_millis(300));
        create(&program, "late", json!({}));
        waiting.join().unwrap()
    });
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "the change was not reported before the end of the poll"
    );
    let op = |change: &Value| {
        (change["record"]["change"]["op"].clone(), change["record"]["change"]["name"].clone())
    };
    assert_eq!(op(&first["changes"][0]), (json!("create_tenant"), json!("late")));
    create(&program, "later", json!({}));
    let next = first["next"].as_u64().unwrap();
    let resumed =
        call_as_root(&program, "GET", &format!("/v1/watch?after={next}&wait_ms=0"), Value::Null).json();
    assert_eq!(resumed["changes"].as_array().unwrap().len(), 1);
    assert_eq!(op(&resumed["changes"][0]).1, "later");
    assert_eq!(call_as_root(&program, "GET", "/v1/watch?after=999&wait_ms=0", Value::Null).status, 410);
}

/// Guards against lost or repeated requests when tenants change. A share is changed, and a tenant suspended, removed
/// and created again under the same name, while its requests are in flight. Every request is answered once, and none is
/// executed twice.
#[test]
fn tenant_changes_neither_lose_nor_repeat_requests_in_flight() {
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
    assert_eq!(call_as_root(&program, "PATCH", "/v1/tenants/t", json!({"weight": 9.0})).status, 200);
    call_as_root(&program, "POST", "/v1/tenants/t/suspend", Value::Null);
    assert_eq!(call_as_root(&program, "DELETE", "/v1/tenants/t", Value::Null).status, 200);
    assert_eq!(query(&program, "t", 100).json()["reason"], "tenant_removed", "the tenant is removed");
    create(&program, "t", json!({"weight": 2.0}));
    assert_eq!(query(&program, "t", 101).status, 200, "the new tenant with the same name is served");
    let tenant = call_as_root(&program, "GET", "/v1/tenants/t", Value::Null).json();
    assert_eq!(tenant["usage"]["open"], 0, "requests of the removed tenant count for the new one: {tenant}");
    let open = call_as_root(&program, "GET", "/v1/requests", Value::Null).json();
    assert_eq!(open["requests"].as_array().unwrap().len(), 4, "requests of the removed tenant continue");
    for request in open["requests"].as_array().unwrap() {
        let client_request_id = request["name"].as_str().unwrap();
        assert_eq!(
            call_as_root(&program, "DELETE", &format!("/v1/requests/{client_request_id}"), Value::Null)
                .status,
            200
        );
    }
    for stream in &mut first {
        assert_eq!(read_reply(stream).expect("a response").json()["fault"], "Cancelled");
        let mut rest = [0];
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        assert!(!matches!(stream.read(&mut rest), Ok(1..)), "a second response");
    }
    for number in 0..4 {
        assert_eq!(engine.count(&format!("n{number} ")), 1, "attempts of request {number}");
    }
}

/// Guards against changes by malformed requests. Mutated requests and invalid bodies and targets are answered with a
/// problem, or their connection is closed; they change nothing.
#[test]
fn malformed_api_requests_change_nothing() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    create(&program, "t", json!({"limits": {"open_requests": 5}}));
    let before = call_as_root(&program, "GET", "/v1/export", Value::Null).body;
    let mut rng = 0x2545_f491_4f6c_dd1d_u64;
    let mut random = move |below: usize| {
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        rng as usize % below
    };
    let valid_requests = [
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
        let mut bytes = valid_requests[random(valid_requests.len())].clone().into_bytes();
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
        // Ends an incomplete request, whatever its Content-Length.
        let _closed = stream.shutdown(std::net::Shutdown::Write);
        answered += usize::from(read_reply(&mut stream).is_some_and(|reply| reply.status != 201));
    }
    assert!(answered > 50, "{answered} of 150 requests were answered");
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
    assert_eq!(call_as_root(&program, "GET", "/v1/tenants?limit=0", Value::Null).status, 400);
    assert_eq!(call_as_root(&program, "GET", "/v1/tenants?shape=round", Value::Null).status, 400);
    assert_eq!(call_as_root(&program, "PUT", "/v1/tenants/t", Value::Null).status, 405);
    let long = "x".repeat(2 << 20);
    assert_eq!(call(&program, TOKEN, "POST", "/v1/import", &[], &long).status, 413);
    wait_until("the rate limit admits calls again", || {
        call_as_root(&program, "GET", "/v1/export", Value::Null).status == 200
    });
    assert_eq!(call_as_root(&program, "GET", "/v1/export", Value::Null).body, before);
}

/// Guards against acknowledged changes that are lost, or applied in part, after SIGKILL. The program is killed at
/// varying times during a series of changes. After each restart all acknowledged changes are present, each with one
/// audit entry.
#[test]
fn acknowledged_changes_survive_sigkill() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let mut acknowledged = 0;
    for round in 0..6u64 {
        let mut program = start(&[engine.address], folder.config());
        let exported = call_as_root(&program, "GET", "/v1/export", Value::Null).body;
        let document: toml::Value = toml::from_str(&exported).unwrap();
        let exists = |name: &str| document.get("tenants").and_then(|all| all.get(name)).is_some();
        for number in 0..acknowledged {
            assert!(exists(&format!("t{number}")), "round {round}: t{number} of {acknowledged} is lost");
        }
        let audit = call_as_root(&program, "GET", "/v1/audit?limit=1", Value::Null).json();
        let shares = call_as_root(&program, "GET", "/v1/shares", Value::Null).json();
        assert_eq!(
            audit["entries"][0]["number"], shares["generation"],
            "round {round}: audit entries and changes differ"
        );
        if exists(&format!("t{acknowledged}")) {
            acknowledged += 1; // it was committed, but the response was not sent before the kill
        }
        let (address, from) = (program.admin, acknowledged);
        let count = Arc::new(AtomicUsize::new(from));
        let counted = count.clone();
        let changes = std::thread::spawn(move || {
            let mut created = from;
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            loop {
                let body = json!({"name": format!("t{created}"), "weight": 1.5}).to_string();
                let bearer = format!("Bearer {TOKEN}");
                let sent = stream.write_all(
                    request("POST", "/v1/tenants", &[("Authorization", &bearer)], &body).as_bytes(),
                );
                match sent.ok().and_then(|()| read_reply(&mut stream)) {
                    Some(reply) if reply.status == 201 => {
                        created += 1;
                        counted.store(created, Ordering::Relaxed);
                    }
                    Some(reply) => assert_eq!(reply.status, 429, "{}", reply.body),
                    None => return created,
                }
            }
        });
        let wanted = from + 4 + 5 * round as usize;
        wait_until("enough changes were made", || count.load(Ordering::Relaxed) >= wanted);
        std::thread::sleep(Duration::from_micros(731 * round));
        program.kill();
        acknowledged = changes.join().unwrap();
    }
    assert!(acknowledged >= 90, "acknowledged changes: {acknowledged}");
}

#[test]
fn a_start_with_an_invalid_store_fails_with_one_log_line() {
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
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(
        stderr.contains("store.path") && stderr.contains("state.redb") && stderr.lines().count() == 1,
        "{stderr}"
    );
    assert_eq!(std::fs::read(&path).unwrap(), b"this is no store");
}

/// A backup made while the program runs can be restored, exported and imported by the command line.
#[test]
fn a_backup_of_a_running_program_can_be_restored() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let path = folder.0.join("state.redb");
    let run = |arguments: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_sanddyke")).args(arguments).output().unwrap()
    };
    let backup = {
        let program = start(&[engine.address], folder.config());
        create(&program, "kept", json!({"weight": 4.0}));
        let backup = call_as_root(&program, "POST", "/v1/backups", Value::Null).json()["path"]
            .as_str()
            .unwrap()
            .to_owned();
        create(&program, "after", json!({}));
        let exported = run(&["export", path.to_str().unwrap()]);
        assert_eq!(exported.status.code(), Some(4), "the store is open in the program: {exported:?}");
        backup
    };
    let restored = run(&["restore", &backup, path.to_str().unwrap()]);
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

/// The documents in `docs/` are equal to the output of `sanddyke openapi` and `sanddyke schema`.
#[rstest]
#[case("openapi", "docs/openapi.json")]
#[case("schema", "docs/config.schema.json")]
fn documents_are_up_to_date(#[case] command: &str, #[case] path: &str) {
    let printed = std::process::Command::new(env!("CARGO_BIN_EXE_sanddyke")).arg(command).output().unwrap();
    let committed = std::fs::read_to_string(path).unwrap();
    assert!(
        String::from_utf8(printed.stdout).unwrap() == committed,
        "{path} is out of date; regenerate it: sanddyke {command} > {path}"
    );
}

/// Creates a certificate authority and writes its certificate to `NAME-ca.pem`.
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

/// Guards against calls without a client certificate when `client_ca` is set, and against a server certificate that is
/// not reloaded on SIGHUP.
#[test]
fn an_encrypted_api_requires_a_client_certificate_and_reloads_its_own() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let (_, servers) = certificates(&folder, "server");
    let (_, operators) = certificates(&folder, "operators");
    let mut config = folder.config();
    let file = |name: &str| folder.0.join(name);
    config["admin"] = json!({"certificate": file("api.pem"), "private_key": file("api-key.pem"),
                             "client_ca": file("operators-ca.pem")});
    sign(&folder, &operators, "me", "me");
    // The program's address is known only after its start, so the first certificate names the addresses 127.0.0.1 to
    // 127.0.0.254.
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
    assert!(client(true).get("/v1/self").is_err(), "the server certificate is for other addresses");
    sign(&folder, &servers, "api", &program.admin.ip().to_string());
    program.hangup();
    wait_until("the new certificate is used", || client(true).get("/v1/self").is_ok());
    assert_eq!(client(true).get("/v1/self").unwrap()["id"], "root");
    assert!(client(false).get("/v1/self").is_err(), "a call without a client certificate");
    let tenant = client(true).create_tenant("t", &Default::default(), Some("k")).unwrap();
    assert_eq!(tenant["name"], "t");
}

/// The client library against the program: pages, problems, and an update that is retried after a concurrent change.
#[test]
fn the_client_library_reads_pages_and_retries_conflicting_updates() {
    let (engine, folder) = (engines::line_protocol(), Folder::new());
    let program = start(&[engine.address], folder.config());
    let options = sanddyke_client::Options {
        url: format!("http://{}", program.admin),
        token: TOKEN.to_owned(),
        ..Default::default()
    };
    let client = sanddyke_client::Client::new(options).unwrap();
    let mut conflict_made = false;
    let updated = client.update("/v1/tenants/acme", |current| {
        if !std::mem::replace(&mut conflict_made, true) {
            // Another operator changes the tenant between the read and the first update.
            call_as_root(&program, "PATCH", "/v1/tenants/acme", json!({"quota_rps": 5.0}));
        }
        json!({"weight": current["weight"].as_f64().unwrap() + 1.0})
    });
    let updated = updated.unwrap();
    assert_eq!(
        (&updated["weight"], &updated["quota_rps"]),
        (&json!(2.0), &json!(5.0)),
        "one of the changes is missing"
    );
    let names: Vec<_> = client.tenants("&state=active").map(|row| row.unwrap()["name"].clone()).collect();
    assert_eq!(names, ["acme"]);
    match client.get("/v1/tenants/none").unwrap_err() {
        sanddyke_client::Error::Problem { status: 404, code, .. } => assert_eq!(code, "not_found"),
        other => panic!("{other}"),
    }
}
