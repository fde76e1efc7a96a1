//! Invalid messages are rejected and counted by reason, and have no other effect.

use oorandom::Rand64;
use sanddyke_cluster::node::{Envelope, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, PeerMessage};
use sanddyke_cluster::rolling_restart::RestartStep;
use sanddyke_cluster::{Incarnation, Input, LeaseTable, Member, MessageRejection, Node, NodeConfig, Output};
use std::collections::BTreeMap;

fn node() -> Node {
    let local = Member {
        incarnation: Incarnation { name: "m0".to_owned(), number: 7 },
        address: "127.0.0.1:1".parse().unwrap(),
        zone: String::new(),
        rejoin_count: 0,
    };
    let config = NodeConfig {
        cluster: "here".to_owned(),
        local,
        seeds: Vec::new(),
        voters: vec!["m1".to_owned()],
        leases: BTreeMap::from([("backup".to_owned(), 1_000_000)]),
        seed: 1,
    };
    Node::start(config, 0, None)
}

fn encode(version: u16, cluster: &str, name: &str, number: u64, message: PeerMessage) -> Vec<u8> {
    let from = Incarnation { name: name.to_owned(), number };
    let envelope = Envelope { version, cluster: cluster.to_owned(), from, message };
    with_checksum(postcard::to_stdvec(&envelope).unwrap())
}

fn with_checksum(payload: Vec<u8>) -> Vec<u8> {
    [crc32fast::hash(&payload).to_le_bytes().to_vec(), payload].concat()
}

fn receive(node: &mut Node, bytes: &[u8]) -> Vec<Output> {
    let mut out = Vec::new();
    node.handle(1, Input::Message(bytes), None, &mut out);
    out
}

#[test]
fn invalid_messages_are_rejected_and_counted_by_reason() {
    let poll = || PeerMessage::TablePoll { index: 0 };
    let valid_message = encode(PROTOCOL_VERSION, "here", "m1", 3, poll());
    let mut corrupted = valid_message.clone();
    corrupted[9] ^= 1;
    let from_m1 = |message| encode(PROTOCOL_VERSION, "here", "m1", 3, message);
    let cases: [(Vec<u8>, MessageRejection); 9] = [
        (vec![0; MAX_MESSAGE_BYTES + 1], MessageRejection::TooLong),
        (valid_message[..valid_message.len() - 1].to_vec(), MessageRejection::Malformed),
        (corrupted, MessageRejection::Malformed),
        (Vec::new(), MessageRejection::Malformed),
        (encode(PROTOCOL_VERSION + 1, "here", "m1", 3, poll()), MessageRejection::UnsupportedVersion),
        (encode(PROTOCOL_VERSION, "there", "m1", 3, poll()), MessageRejection::OtherCluster),
        (encode(PROTOCOL_VERSION, "here", "m0", 9, poll()), MessageRejection::StaleIncarnation),
        (from_m1(PeerMessage::Raft(vec![1, 2, 3])), MessageRejection::NotAVoter),
        (from_m1(PeerMessage::Gossip(vec![0xff; 40])), MessageRejection::InvalidGossip),
    ];
    let mut node = node();
    for (bytes, reason) in cases {
        let before = node.rejections().get(&reason).copied().unwrap_or(0);
        assert_eq!(receive(&mut node, &bytes), [], "{reason:?}");
        assert_eq!(node.rejections().get(&reason), Some(&(before + 1)), "{reason:?}");
    }
    assert_eq!(node.table(), &LeaseTable::default());
    assert!(
        receive(&mut node, &valid_message).is_empty() && node.rejections().values().sum::<u64>() == 9,
        "a valid message was rejected"
    );
}

/// The codes are labels of metrics and keys of the administration API, so a changed code would break dashboards and
/// tools.
#[test]
fn the_codes_of_rejections_are_those_of_the_api() {
    let codes = [
        (MessageRejection::TooLong, "too_long"),
        (MessageRejection::Malformed, "unreadable"),
        (MessageRejection::UnsupportedVersion, "later_form"),
        (MessageRejection::OtherCluster, "other_cluster"),
        (MessageRejection::StaleIncarnation, "old_life"),
        (MessageRejection::NotAVoter, "no_vote"),
        (MessageRejection::InvalidGossip, "gossip"),
        (MessageRejection::StaleFencingToken, "old_number"),
    ];
    for (rejection, code) in codes {
        assert_eq!(rejection.code(), code);
    }
}

/// Guards against a rolling restart that two controllers advance: a step from a manager that does not hold the lease is
/// rejected.
#[test]
fn a_restart_step_without_the_lease_is_rejected() {
    let mut node = node();
    let message =
        PeerMessage::RestartStep { fencing_token: 4, step: RestartStep::Quiesce { incarnation: 7 } };
    assert_eq!(receive(&mut node, &encode(PROTOCOL_VERSION, "here", "m1", 3, message)), []);
    assert_eq!(node.rejections().get(&MessageRejection::StaleFencingToken), Some(&1));
}

/// Guards against a panic in the decoding or handling of messages. Half of the payloads are random bytes, the others
/// are valid messages with one changed byte. All have a correct checksum, so that they reach the decoder.
#[test]
fn random_and_corrupted_messages_do_not_cause_a_panic() {
    let seed = 20_261_202;
    let (mut rng, mut node) = (Rand64::new(seed), node());
    for _ in 0..200_000 {
        let length = rng.rand_range(0..64) as usize;
        let mut payload: Vec<u8> = (0..length).map(|_| rng.rand_u64() as u8).collect();
        if rng.rand_float() < 0.5 {
            let message = match rng.rand_range(0..4) {
                0 => PeerMessage::Raft(payload),
                1 => PeerMessage::Gossip(payload),
                2 => PeerMessage::Discovery {
                    id: rng.rand_u64(),
                    voters: Some(BTreeMap::from([(rng.rand_u64(), "m1".to_owned())])),
                },
                _ => PeerMessage::LeaseTable(LeaseTable { index: rng.rand_u64(), ..LeaseTable::default() }),
            };
            payload = encode(PROTOCOL_VERSION, "here", "m1", rng.rand_range(0..5), message).split_off(4);
            let position = rng.rand_range(0..payload.len() as u64) as usize;
            payload[position] = rng.rand_u64() as u8;
        }
        receive(&mut node, &with_checksum(payload));
    }
    assert!(node.rejections().values().sum::<u64>() > 100_000);
}
