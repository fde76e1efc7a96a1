//! Compares the encoding of one message of each kind between managers with the bytes that an earlier build (commit
//! a8d3c0b) wrote. Managers of different builds exchange messages during a rolling restart.

use sanddyke_cluster::node::{Envelope, PROTOCOL_VERSION, PeerMessage, RoutedRequest};
use sanddyke_cluster::rolling_restart::{MemberStatus, RestartStep, RollingRestart};
use sanddyke_cluster::{Grant, Incarnation, LeaseOutcome, LeaseRecord, LeaseRequest, LeaseTable, Proposal};
use std::collections::BTreeMap;
use std::fmt::Write;

fn incarnation(name: &str, number: u64) -> Incarnation {
    Incarnation { name: name.to_owned(), number }
}

fn table() -> LeaseTable {
    let grant = Grant { holder: incarnation("m1", 7), fencing_token: 5, lease_us: 3_000_000, nonce: 9 };
    let held = LeaseRecord {
        grant: Some(grant),
        version: 6,
        successor: None,
        checkpoint: "898".to_owned(),
        checkpoint_index: 4,
    };
    let free = LeaseRecord { successor: Some("m2".to_owned()), version: 8, ..LeaseRecord::default() };
    LeaseTable {
        index: 8,
        leases: BTreeMap::from([("backup".to_owned(), held), ("warden".to_owned(), free)]),
        voters: BTreeMap::from([(11, "m1".to_owned()), (12, "m2".to_owned())]),
    }
}

fn requests() -> Vec<(&'static str, LeaseRequest)> {
    let lease = || "backup".to_owned();
    let release =
        LeaseRequest::Release { lease: lease(), fencing_token: 5, successor: Some("m2".to_owned()) };
    let checkpoint = LeaseRequest::Checkpoint {
        lease: lease(),
        fencing_token: 5,
        based_on: 4,
        checkpoint: "898".to_owned(),
    };
    vec![
        ("take", LeaseRequest::Acquire { lease: lease(), version: 3, lease_us: 3_000_000 }),
        ("renew", LeaseRequest::Renew { lease: lease(), fencing_token: 5 }),
        ("release", release),
        ("note", checkpoint),
    ]
}

/// One message of each kind, with its name in the fixture.
fn messages() -> Vec<(String, PeerMessage)> {
    let reply_to = "127.0.0.1:9101".parse().unwrap();
    let status = MemberStatus { ready: true, drained: false, open_requests: 3, reported_at_us: 99 };
    let mut messages = vec![
        ("gossip".to_owned(), PeerMessage::Gossip(vec![1, 2, 3])),
        ("vote".to_owned(), PeerMessage::Raft(vec![4, 5])),
        ("hello".to_owned(), PeerMessage::Discovery { id: 11, voters: None }),
        ("hello founded".to_owned(), PeerMessage::Discovery { id: 11, voters: Some(table().voters) }),
        ("look".to_owned(), PeerMessage::TablePoll { index: 8 }),
        ("table".to_owned(), PeerMessage::LeaseTable(table())),
        ("stand".to_owned(), PeerMessage::MemberStatus(status)),
    ];
    for (name, request) in requests() {
        let routed = RoutedRequest { nonce: 9, request, hops: 1, from: incarnation("m2", 8), reply_to };
        messages.push((format!("ask {name}"), PeerMessage::LeaseRequest(routed)));
    }
    let outcomes = [
        LeaseOutcome::Granted { fencing_token: 5 },
        LeaseOutcome::Renewed,
        LeaseOutcome::Released,
        LeaseOutcome::CheckpointSaved,
        LeaseOutcome::Conflict,
        LeaseOutcome::NotHolder,
        LeaseOutcome::Invalid,
    ];
    for (number, outcome) in outcomes.into_iter().enumerate() {
        messages.push((format!("answer {number}"), PeerMessage::LeaseResponse { nonce: 9, outcome }));
    }
    let steps = [
        RestartStep::ReportStatus,
        RestartStep::Quiesce { incarnation: 7 },
        RestartStep::Resume,
        RestartStep::Restart { incarnation: 7 },
    ];
    for (number, step) in steps.into_iter().enumerate() {
        messages.push((format!("turn {number}"), PeerMessage::RestartStep { fencing_token: 5, step }));
    }
    messages
}

fn line(out: &mut String, name: &str, bytes: &[u8]) {
    write!(out, "{name}: ").unwrap();
    bytes.iter().for_each(|byte| write!(out, "{byte:02x}").unwrap());
    out.push('\n');
}

#[test]
fn messages_and_log_entries_have_the_same_bytes() {
    let mut out = String::new();
    for (name, message) in messages() {
        let envelope = Envelope {
            version: PROTOCOL_VERSION,
            cluster: "demo".to_owned(),
            from: incarnation("m1", 7),
            message,
        };
        line(&mut out, &name, &postcard::to_stdvec(&envelope).unwrap());
    }
    for (name, request) in requests() {
        let proposal = Proposal { from: incarnation("m2", 8), nonce: 9, request };
        line(&mut out, &format!("proposal {name}"), &postcard::to_stdvec(&proposal).unwrap());
    }
    assert_eq!(out, include_str!("fixtures/messages.txt"));
}

/// The state of a rolling restart is stored as the checkpoint of its lease. Guards against a holder that can't continue
/// the rolling restart of an earlier build.
#[test]
fn a_checkpoint_of_an_earlier_build_is_read_and_written_with_the_same_bytes() {
    let checkpoint = include_str!("fixtures/roll.json").trim_end();
    let restart = RollingRestart::from_checkpoint(checkpoint).unwrap();
    assert_eq!(restart.to_checkpoint(), checkpoint);
}
