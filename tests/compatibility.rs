//! Guards against incompatible changes of stored data and output formats. This build reads the files of an earlier one
//! (`tests/fixtures`) and prints the same bytes. The fixtures were written by the build of commit a8d3c0b and must not
//! be regenerated.

mod common;

use common::{TOKEN, start};
#[cfg(feature = "cluster")]
use common::{read_reply, wait_until};
use rstest::rstest;
use sanddyke::core::HandoverState;
use sanddyke_store::voter_file::VoterFile;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// A copy of a fixture in a folder of its own, since opening a database file writes to it.
fn copy(name: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(name);
    std::fs::copy(fixture(name), &path).unwrap();
    (folder, path)
}

/// An address without a listener; connections to it are refused.
fn unreachable_engine() -> SocketAddr {
    SocketAddr::new(common::unique_address(), 4001)
}

#[rstest]
#[case("schema", "schema.json")]
#[case("openapi", "openapi.json")]
fn documents_have_the_same_bytes(#[case] command: &str, #[case] name: &str) {
    let printed = Command::new(env!("CARGO_BIN_EXE_sanddyke")).arg(command).output().unwrap();
    assert!(printed.status.success());
    assert!(printed.stdout == std::fs::read(fixture(name)).unwrap(), "{command} differs from {name}");
}

#[test]
fn the_store_of_an_earlier_build_is_served() {
    let (_folder, path) = copy("store.redb");
    let engines = [unreachable_engine(), unreachable_engine()];
    let program = start(&engines, json!({"store": {"path": path}}));
    let expected: Value = serde_json::from_slice(&std::fs::read(fixture("api.json")).unwrap()).unwrap();
    for (target, expected) in expected.as_object().unwrap() {
        let reply = program.admin("GET", target, TOKEN);
        assert_eq!(reply.status, 200, "{target}");
        assert_eq!(reply.json(), *expected, "{target}");
    }
}

#[test]
fn the_voter_file_of_an_earlier_build_is_read() {
    let (_folder, path) = copy("voter.redb");
    let file = VoterFile::open(&path, 1).unwrap();
    assert_eq!(file.identity(), (0xfebc_de7e_9b4b_5d8b, true));
    let state = file.state().unwrap();
    assert!(!state.hard_state.is_empty() && !state.snapshot.is_empty());
    #[cfg(feature = "cluster")]
    {
        use sanddyke_cluster::{PersistBatch, PersistedState, Voter};
        let state =
            PersistedState { hard_state: state.hard_state, entries: state.entries, snapshot: state.snapshot };
        let mut voter = Voter::start(0xfebc_de7e_9b4b_5d8b, &state).unwrap();
        struct Memory;
        impl sanddyke_cluster::Disk for Memory {
            fn persist(&mut self, _: &PersistBatch) -> Result<(), String> {
                Ok(())
            }
        }
        // The only voter elects itself, and then applies its log.
        for _ in 0..100 {
            voter.tick();
            voter.process_ready(&mut Memory).unwrap();
        }
        let table = voter.table();
        let leases: Vec<(&str, u64, &str)> = table
            .leases
            .iter()
            .map(|(name, lease)| (name.as_str(), lease.version, lease.checkpoint.as_str()))
            .collect();
        assert_eq!(table.voters.values().collect::<Vec<_>>(), ["m1"]);
        assert_eq!(table.index, 15);
        assert_eq!(leases, [("backup", 13, "898112569"), ("warden", 14, "")]);
    }
}

#[test]
fn the_snapshot_of_an_earlier_build_is_read_and_written_with_the_same_bytes() {
    let bytes = std::fs::read(fixture("snapshot.learnt")).unwrap();
    let written_ms = u64::from_le_bytes(bytes[12..20].try_into().unwrap());
    let snapshot = sanddyke_snapshot::decode(&bytes, written_ms + 5, Duration::from_secs(30)).unwrap();
    assert_eq!(snapshot.age, Duration::from_millis(5));
    let learned: HandoverState = serde_json::from_slice(snapshot.payload).unwrap();
    let again = serde_json::to_vec(&learned).unwrap();
    assert_eq!(
        String::from_utf8(again.clone()).unwrap(),
        String::from_utf8(snapshot.payload.to_vec()).unwrap()
    );
    assert!(sanddyke_snapshot::encode(&again, written_ms).unwrap() == bytes, "the file differs");
}

/// Compares the whole page: all series with their labels and values.
#[cfg(feature = "cluster")]
#[test]
fn the_metrics_page_has_the_same_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let peer = SocketAddr::new(common::unique_address(), 9101).to_string();
    let cluster = json!({"name": "demo", "listen": peer, "seeds": [peer], "voters": ["m1"],
                         "path": folder.path().join("m1.votes")});
    let program = start(&[unreachable_engine()], json!({"name": "m1", "cluster": cluster}));
    wait_until("the leases of the only voter are shown", || {
        program.admin("GET", "/v1/fleet", TOKEN).body.contains("\"left_ms\":2")
    });
    let mut client = program.send("r", "lookup", 600, None, "SELECT ok");
    assert_eq!(read_reply(&mut client).unwrap().status, 503);
    let page = program.admin("GET", "/metrics", TOKEN).body;
    assert_eq!(page, std::fs::read_to_string(fixture("metrics.txt")).unwrap());
}

/// Compares the names of the fields in the fleet view.
#[cfg(feature = "cluster")]
#[test]
fn the_fleet_view_has_the_same_fields() {
    let folder = tempfile::tempdir().unwrap();
    let peer = SocketAddr::new(common::unique_address(), 9101).to_string();
    let cluster = json!({"name": "demo", "listen": peer, "seeds": [peer], "voters": ["m1"],
                         "path": folder.path().join("m1.votes")});
    let program = start(&[], json!({"name": "m1", "cluster": cluster}));
    wait_until("the leases of the only voter are shown", || {
        program.admin("GET", "/v1/fleet", TOKEN).body.contains("\"left_ms\":2")
    });
    let view = program.admin("GET", "/v1/fleet", TOKEN).json();
    let fields = |value: &Value| value.as_object().unwrap().keys().cloned().collect::<Vec<_>>().join(" ");
    assert_eq!(
        fields(&view),
        "ballot duties index me members refused sent vote voters waiting zone",
        "{view}"
    );
    assert_eq!(fields(&view["duties"][0]), "fence holder left_ms name note noted", "{view}");
    assert_eq!(view["duties"][0]["name"], "warden");
    assert_eq!(view["sent"], json!([0, 0, 0]));
}

/// Guards against a retried creation with an idempotency key that a newer build treats as another one. The digest of
/// the creation is stored, so each build must compute the same one.
#[test]
fn the_digest_of_a_creation_is_the_same() {
    use sanddyke_tenancy::{Change, Limits, TenantSpec};
    let (_folder, path) = copy("store.redb");
    let (_store, loaded) = sanddyke_store::Store::open(&path).unwrap();
    let limits = Limits {
        requests_per_s: Some(50.0),
        burst: Some(10.0),
        classes: Some(["lookup".to_owned()].into()),
        ..Limits::default()
    };
    let spec = TenantSpec {
        weight: 3.0,
        group: Some("county".to_owned()),
        limits,
        labels: [("area".to_owned(), "north".to_owned())].into(),
        ..TenantSpec::default()
    };
    let change = Change::CreateTenant { name: "glannau".to_owned(), spec };
    let [creation] = &loaded.creations[..] else { panic!("expected one creation in the store") };
    assert_eq!(creation.name, "glannau");
    assert_eq!(creation.request_digest, sanddyke_authorization::digest(&format!("{change:?}")));
}
