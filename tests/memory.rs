//! Tests of the memory that clients make the program hold, with the least memory and the most descriptors that the
//! platform's pages name.

mod common;

use common::engines;
use common::{Program, read_reply, request, start, start_on_platform, wait_until};
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 32;
const DESCRIPTORS: usize = 1024;
/// The part of the limit that is left for the program's file, which the operating system counts as well.
const PROGRAM_FILE_MB: usize = 8;
/// Connections of the crowd: more than clients of the platform hold (a third of the descriptors), and as many as the
/// program accepts.
const CROWD: usize = 900;
/// How long a crowd goes on. Its clients are disconnected after 2.5 s, and return.
const DURATION: Duration = Duration::from_secs(4);

/// What each client of the crowd does.
#[derive(Debug, Clone, Copy)]
enum Crowd {
    /// Sends most of a long request and stops.
    StopsWithinBody,
    /// Sends most of a head of short fields and stops.
    StopsWithinHead,
    /// Sends a long request that runs long, and as much behind it.
    SendsAhead,
    /// Sends a long request with a head of many fields, and stops before the body's end.
    ManyFields,
}

impl Crowd {
    fn input(self, number: usize) -> Vec<u8> {
        let id = format!("{number:016x}");
        let fields = [("X-Txn", id.as_str()), ("X-Ttl-Ms", "9000"), ("X-Merchant", "acme")];
        let long = format!("SELECT slow {}", "x".repeat(60_000));
        let mut input = request("POST", "/do/report", &fields, &long).into_bytes();
        match self {
            Crowd::StopsWithinBody => input.truncate(input.len() - 10),
            Crowd::StopsWithinHead => input = [b"GET / HTTP/1.1\r\n", &b"a:\r\n".repeat(3_900)[..]].concat(),
            Crowd::SendsAhead => input.extend_from_slice(&[b'x'; 60_000]),
            Crowd::ManyFields => {
                let many: Vec<(String, String)> =
                    (0..55).map(|number| (format!("X-{number}"), "v".repeat(200))).collect();
                let mut all = fields.to_vec();
                all.extend(many.iter().map(|(name, value)| (name.as_str(), value.as_str())));
                input = request("POST", "/do/report", &all, &long).into_bytes();
                input.truncate(input.len() - 10);
            }
        }
        input
    }
}

/// The memory of the process that is backed by no file, in MB.
fn anonymous_mb(program: &Program) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() / 1024
}

/// Sends usual requests until `stop`, and checks their answers.
fn send_usual_requests(program: &Program, stop: &AtomicBool, answered: &AtomicUsize) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let mut stream = program.send(&format!("u{number}"), "lookup", 4000, None, "SELECT ok FROM s_1.t");
        let reply = read_reply(&mut stream).expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.body);
        answered.fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against clients that make the program hold more than its memory limit, so that it is killed: hundreds of
/// connections, each with a long request that is not complete, or with much behind one that runs.
#[rstest]
#[case(Crowd::StopsWithinBody)]
#[case(Crowd::StopsWithinHead)]
#[case(Crowd::SendsAhead)]
#[case(Crowd::ManyFields)]
fn a_crowd_with_long_input_stays_within_the_memory_limit(#[case] crowd: Crowd) {
    let engine = engines::line_protocol();
    let limits = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let program = start_on_platform(&[engine.address], json!({ "limits": limits }));
    let (stop, answered) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        // The engine runs eight requests at a time, which those of this crowd would occupy.
        if !matches!(crowd, Crowd::SendsAhead) {
            scope.spawn(|| send_usual_requests(&program, &stop, &answered));
        }
        let (began, mut number, mut peak_mb) = (Instant::now(), 0, 0);
        while began.elapsed() < DURATION {
            let mut streams = Vec::new();
            for _ in 0..CROWD {
                number += 1;
                let mut stream = TcpStream::connect(program.http).unwrap();
                // Fails if the connection was evicted for another one.
                let _sent = stream.write_all(&crowd.input(number));
                streams.push(stream);
                if number % 50 == 0 {
                    peak_mb = peak_mb.max(anonymous_mb(&program));
                }
            }
            std::thread::sleep(Duration::from_millis(500));
            peak_mb = peak_mb.max(anonymous_mb(&program));
        }
        stop.store(true, Ordering::Relaxed);
        assert!(peak_mb <= MEMORY_MB - PROGRAM_FILE_MB, "{peak_mb} MB");
    });
    if !matches!(crowd, Crowd::SendsAhead) {
        assert!(answered.load(Ordering::Relaxed) > 20, "{answered:?} usual requests were answered");
    }
}

/// Opens connections that each send `input`, again and again, and returns the peak of the program's memory in MB.
fn peak_with_connections(program: &Program, address: SocketAddr, connections: usize, input: &[u8]) -> usize {
    let (began, mut peak_mb) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_secs(3) {
        let mut streams = Vec::new();
        for _ in 0..connections {
            let mut stream = TcpStream::connect(address).unwrap();
            // Fails if the connection was evicted or rejected.
            let _sent = stream.write_all(input);
            streams.push(stream);
        }
        std::thread::sleep(Duration::from_millis(500));
        peak_mb = peak_mb.max(anonymous_mb(program));
    }
    peak_mb
}

/// Guards against the same by clients without a login: TDS messages that do not end, and long bodies for operators'
/// listeners. Each of them is counted against the same limit.
#[test]
fn callers_without_a_login_stay_within_the_memory_limit() {
    let engine = engines::line_protocol();
    let limits = json!({"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let program = start(&[engine.address], json!({ "limits": limits }));
    let packet = [&[0x12, 0, 0x10, 0, 0, 0, 1, 0][..], &[0; 4088]].concat();
    let peak_mb = peak_with_connections(&program, program.tds, 450, &packet.repeat(31));
    assert!(peak_mb <= MEMORY_MB - PROGRAM_FILE_MB, "TDS: {peak_mb} MB");
    let body = request("POST", "/v1/import", &[], &"x".repeat(1 << 20));
    let peak_mb = peak_with_connections(&program, program.admin, 16, &body.as_bytes()[..1 << 20]);
    assert!(peak_mb <= MEMORY_MB - PROGRAM_FILE_MB, "administration API: {peak_mb} MB");
    let head = [b"GET / HTTP/1.1\r\n", &b"a:\r\n".repeat(3_900)[..]].concat();
    let peak_mb = peak_with_connections(&program, program.ops, 64, &head);
    assert!(peak_mb <= MEMORY_MB - PROGRAM_FILE_MB, "operations endpoint: {peak_mb} MB");
    let reply = read_reply(&mut program.send("a", "lookup", 4000, None, "SELECT ok")).unwrap();
    assert_eq!(reply.status, 200);
}

/// Guards against a client that gets no clear answer when there is no memory for its request, and against memory that
/// stays reserved after the clients have left.
#[test]
fn a_request_without_memory_is_rejected_and_may_be_sent_again() {
    let engine = engines::line_protocol();
    let limits = json!({"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let program = start_on_platform(&[engine.address], json!({ "limits": limits }));
    let crowd: Vec<TcpStream> = (0..300)
        .map(|number| {
            let mut stream = TcpStream::connect(program.http).unwrap();
            stream.write_all(&Crowd::StopsWithinBody.input(number)).unwrap();
            stream
        })
        .collect();
    let long = format!("SELECT ok {}", "x".repeat(60_000));
    let mut rejected = None;
    wait_until("a long request is rejected", || {
        let reply = read_reply(&mut program.send("a", "lookup", 4000, None, &long)).expect("an answer");
        rejected = Some(reply).filter(|reply| reply.status == 503);
        rejected.is_some()
    });
    let rejected = rejected.unwrap();
    assert_eq!(rejected.json()["fault"], "Rejected");
    assert_eq!((rejected.field("Retry-After"), rejected.field("Connection")), (Some("1"), Some("close")));
    drop(crowd);
    wait_until("the memory is free again", || {
        read_reply(&mut program.send("a", "lookup", 4000, None, &long))
            .is_some_and(|reply| reply.status == 200)
    });
}

/// Guards against idle connections that keep the memory of their longest request.
#[test]
fn idle_connections_hold_no_memory_of_their_requests() {
    let engine = engines::line_protocol();
    let limits = json!({"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let program = start_on_platform(&[engine.address], json!({ "limits": limits }));
    let long = format!("SELECT ok {}", "x".repeat(60_000));
    let before = anonymous_mb(&program);
    let mut streams = Vec::new();
    for number in 0..300 {
        let mut stream = program.send(&number.to_string(), "lookup", 4000, None, &long);
        assert_eq!(read_reply(&mut stream).unwrap().status, 200);
        streams.push(stream);
    }
    let after = anonymous_mb(&program);
    assert!(after.saturating_sub(before) < 8, "{before} MB before, {after} MB with 300 idle connections");
}
