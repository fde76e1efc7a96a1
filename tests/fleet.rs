//! Tests with several processes of the program and faults between them. The invariants of leases are checked from the
//! logs and the backups of the processes.

use rstest::rstest;
use sanddyke_testbed::fleet::{CutDirection, Fleet, Plan};
use sanddyke_testbed::links::LinkFault;
use std::path::Path;
use std::time::Duration;

const LEASE: &str = "backup";
/// The time of several leases and elections, in which the effects of a fault become visible.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

async fn fleet(plan: Plan) -> Fleet {
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_sanddyke")), plan).await.unwrap()
}

/// Waits until this many backups were made, and checks the invariants.
async fn check_history(fleet: &Fleet, min_backups: usize) {
    let mut history = fleet.history().unwrap();
    for _ in 0..600 {
        if history.applied_operations().len() >= min_backups {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        history = fleet.history().unwrap();
    }
    history.check().unwrap();
    assert!(history.applied_operations().len() >= min_backups, "{:?}", history.applied_operations());
    let backups = fleet.backups().unwrap();
    for product in history.applied_operations() {
        let period = product.trim_start_matches("backup ");
        assert!(backups.contains(&format!("period-{period}.redb")), "{product} is not among {backups:?}");
    }
}

/// Guards against a lease holder that is suspended for longer than its lease and continues to act as the holder when it
/// resumes.
#[tokio::test]
async fn a_lease_holder_suspended_beyond_expiry_does_not_hold_it_when_resumed() {
    let mut fleet = fleet(Plan::default()).await;
    let first = fleet.wait_for_holder(LEASE, None).await.unwrap();
    fleet.suspend(first).await.unwrap();
    let second = fleet.wait_for_holder(LEASE, Some(first)).await.unwrap();
    fleet.resume(first).await.unwrap();
    fleet
        .wait_for_view(first, "the new holder", |view| view["duties"][0]["holder"] == format!("m{second}"))
        .await
        .unwrap();
    tokio::time::sleep(OBSERVATION_TIME / 2).await;
    check_history(&fleet, 3).await;
    assert!(fleet.history().unwrap().lease_terms().iter().any(|lease_term| lease_term.manager == second));
}

/// Guards against a planned leave of the holder that waits for the lease's expiry, or interrupts the holder's work.
#[rstest]
#[case("drain")]
#[case("terminate")]
#[case("by hand")]
#[tokio::test]
async fn a_holder_that_leaves_by_plan_releases_its_lease_immediately(#[case] how: &str) {
    let mut fleet = fleet(Plan { lease_ms: 10_000, ..Plan::default() }).await;
    let first = fleet.wait_for_holder(LEASE, None).await.unwrap();
    match how {
        "drain" => {
            assert_eq!(fleet.call_operations_endpoint(first, "POST", "/admin/quiesce").await.unwrap(), 200)
        }
        "terminate" => fleet.terminate(first).await.unwrap(),
        _ => drop(fleet.call(first, "POST", "/v1/fleet/duties/backup/hand-over").await.unwrap()),
    }
    let second = fleet.wait_for_holder(LEASE, Some(first)).await.unwrap();
    let gap_us = fleet.history().unwrap().gaps_us(LEASE)[0];
    assert!(gap_us < 3_000_000, "{gap_us} us from m{first} to m{second}, with leases of 10 s");
    tokio::time::sleep(OBSERVATION_TIME / 2).await;
    check_history(&fleet, 2).await;
}

/// Guards against a holder that continues to act while it can't send to the voters, or can't receive from them.
#[rstest]
#[case(CutDirection::Both)]
#[case(CutDirection::Outgoing)]
#[case(CutDirection::Incoming)]
#[tokio::test]
async fn a_partitioned_holder_stops_before_expiry_and_another_manager_continues(
    #[case] direction: CutDirection,
) {
    let fleet = fleet(Plan::default()).await;
    let first = fleet.wait_for_holder(LEASE, None).await.unwrap();
    fleet.cut(first, &[0, 1, 2], direction);
    let second = fleet.wait_for_holder(LEASE, Some(first)).await.unwrap();
    tokio::time::sleep(OBSERVATION_TIME / 2).await;
    fleet.links.clear_faults();
    fleet
        .wait_for_view(first, "the new holder", |view| view["duties"][0]["holder"] == format!("m{second}"))
        .await
        .unwrap();
    check_history(&fleet, 3).await;
}

/// Guards against a lease granted by a minority of the voters, and against a group that does not recover after a
/// partition.
#[tokio::test]
async fn voters_without_a_quorum_grant_no_lease() {
    let fleet = fleet(Plan { managers: 4, ..Plan::default() }).await;
    fleet.wait_for_holder(LEASE, None).await.unwrap();
    for number in 0..3 {
        fleet.cut(number, &[0, 1, 2], CutDirection::Both);
    }
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(fleet.holder(LEASE).await, None);
    fleet.links.clear_faults();
    fleet.wait_for_holder(LEASE, None).await.unwrap();
    check_history(&fleet, 1).await;
}

/// Guards against a fleet that works only if every message arrives once and in order.
#[tokio::test]
async fn leases_continue_over_links_that_lose_duplicate_and_reorder() {
    let mut fleet = fleet(Plan { managers: 5, voters: 3, lease_ms: 3000, ..Plan::default() }).await;
    fleet.set_all_links(LinkFault {
        delay_ms: 5,
        jitter_ms: 80,
        loss: 0.1,
        duplication: 0.1,
        ..LinkFault::default()
    });
    let first = fleet.wait_for_holder(LEASE, None).await.unwrap();
    fleet.links.reset();
    fleet.kill(first).await.unwrap();
    let second = fleet.wait_for_holder(LEASE, Some(first)).await.unwrap();
    fleet.start_manager(first).unwrap();
    fleet.links.reset();
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert!(fleet.holder(LEASE).await.is_some(), "{second}");
    check_history(&fleet, 3).await;
}

/// Guards against a peer that stops responding with its connections open and blocks the managers that send to it.
#[tokio::test]
async fn an_unresponsive_voter_does_not_delay_other_managers() {
    let fleet = fleet(Plan::default()).await;
    let first = fleet.wait_for_holder(LEASE, None).await.unwrap();
    let silent = (first + 1) % 3;
    fleet.set_all_links(LinkFault::default());
    let fault = LinkFault { stalled: true, ..LinkFault::default() };
    for peer in (0..3).filter(|peer| *peer != silent) {
        fleet.set_link(peer, silent, fault);
        fleet.set_link(silent, peer, fault);
    }
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(fleet.holder(LEASE).await, Some(first), "two of three voters are enough");
    check_history(&fleet, 4).await;
}

/// Guards against a voter that votes without its earlier votes because its file is lost or corrupted.
#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test]
async fn a_voter_without_its_file_has_no_vote_until_it_is_admitted(#[case] lost: bool) {
    let mut fleet = fleet(Plan::default()).await;
    fleet.wait_for_holder(LEASE, None).await.unwrap();
    fleet.kill(2).await.unwrap();
    match lost {
        true => fleet.remove_file(2, "votes").unwrap(),
        false => fleet.overwrite_file(2, "votes", b"nothing of a voter's").unwrap(),
    }
    fleet.start_manager(2).unwrap();
    if !lost {
        fleet.wait_for_view(2, "no vote", |view| view["vote"] == "no voter").await.unwrap();
        assert!(fleet.log(2).unwrap().contains("cluster: no vote: "), "{}", fleet.log(2).unwrap());
        fleet.kill(2).await.unwrap();
        fleet.remove_file(2, "votes").unwrap();
        fleet.start_manager(2).unwrap();
    }
    fleet
        .wait_for_view(2, "no vote", |view| view["vote"].as_str().unwrap().starts_with("has no vote"))
        .await
        .unwrap();
    let mut is_admitted = false;
    for _ in 0..100 {
        for number in [0, 1] {
            is_admitted |= fleet.call(number, "POST", "/v1/fleet/voters/m2/admit").await.is_ok();
        }
        if is_admitted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(is_admitted, "no manager admitted the voter");
    fleet
        .wait_for_view(2, "a vote", |view| view["vote"].as_str().unwrap().contains("in term"))
        .await
        .unwrap();
    // With this voter, the quorum survives the loss of another.
    fleet.kill(1).await.unwrap();
    tokio::time::sleep(OBSERVATION_TIME / 2).await;
    fleet.wait_for_holder(LEASE, None).await.unwrap();
    check_history(&fleet, 2).await;
}

/// The state of the rolling restart, from the first running manager that reports one; null if none does.
async fn rolling_restart(fleet: &Fleet) -> serde_json::Value {
    for number in fleet.running() {
        let Ok(view) = fleet.view(number).await else { continue };
        let duties = view["duties"].as_array().unwrap().clone();
        let note = duties.iter().find(|duty| duty["name"] == "warden").map(|duty| duty["note"].clone());
        if let Some(Ok(roll)) = note.map(|note| serde_json::from_str(note.as_str().unwrap())) {
            return roll;
        }
    }
    serde_json::Value::Null
}

/// Guards against a rolling restart that ends when its controller stops, exceeds its limit of concurrent managers, or
/// skips a manager. The controller stops twice: by plan, when it is restarted itself, and once by SIGKILL.
#[rstest]
#[case("drain")]
#[case("restart")]
#[tokio::test]
async fn a_rolling_restart_continues_when_its_controller_stops(#[case] how: &str) {
    let mut fleet = fleet(Plan { managers: 5, ..Plan::default() }).await;
    fleet
        .wait_for_view(0, "all members", |view| view["members"].as_array().unwrap().len() == 4)
        .await
        .unwrap();
    let first = fleet.post_to_any("/v1/fleet/roll", &format!(r#"{{"how":"{how}"}}"#)).await.unwrap();
    let (mut killed, mut most_out) = (false, 0);
    for _ in 0..1200 {
        fleet.restart_exited().unwrap();
        let now = rolling_restart(&fleet).await;
        let done = now["done"].as_array().map_or(0, Vec::len);
        most_out = most_out.max(now["now"].as_array().map_or(0, Vec::len));
        if done >= 1 && !killed {
            killed = true;
            fleet.kill(first).await.unwrap();
            fleet.start_manager(first).unwrap();
        }
        if now["state"] == "done" {
            break;
        }
        assert_ne!(now["state"], "stopped", "{now}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let end = rolling_restart(&fleet).await;
    assert_eq!((end["state"].as_str(), most_out), (Some("done"), 1), "{end}");
    let mut done: Vec<&str> =
        end["done"].as_array().unwrap().iter().map(|name| name.as_str().unwrap()).collect();
    done.sort();
    assert_eq!(done, ["m0", "m1", "m2", "m3", "m4"]);
    fleet.history().unwrap().check().unwrap();
}

/// Guards against managers that stay drained after a cancelled rolling restart, and against two concurrent rolling
/// restarts.
#[tokio::test]
async fn a_cancelled_rolling_restart_leaves_all_managers_ready() {
    let mut fleet = fleet(Plan::default()).await;
    fleet
        .wait_for_view(0, "all members", |view| view["members"].as_array().unwrap().len() == 2)
        .await
        .unwrap();
    let holder = fleet.wait_for_holder("warden", None).await.unwrap();
    let other = (0..3).find(|number| *number != holder).unwrap();
    // A suspended manager delays the rolling restart.
    fleet.suspend(other).await.unwrap();
    fleet.post_to_any("/v1/fleet/roll", r#"{"how":"drain"}"#).await.unwrap();
    tokio::time::sleep(OBSERVATION_TIME / 2).await;
    assert!(
        fleet.call(holder, "POST", "/v1/fleet/roll").await.is_err(),
        "a second rolling restart was accepted"
    );
    fleet.post_to_any("/v1/fleet/roll/take-back", "").await.unwrap();
    fleet.resume(other).await.unwrap();
    for _ in 0..400 {
        if rolling_restart(&fleet).await["state"] == "stopped" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(rolling_restart(&fleet).await["state"], "stopped");
    for number in 0..3 {
        assert_eq!(
            fleet.call_operations_endpoint(number, "GET", "/admin/health").await.unwrap(),
            200,
            "m{number}"
        );
    }
}

/// Guards against requests that wait for a peer. All managers serve as before while each is partitioned from all others
/// and no lease is held.
#[tokio::test]
async fn partitioned_managers_serve_requests_without_delay() {
    let mut engines = Vec::new();
    for _ in 0..2 {
        let spec = sanddyke_testbed::engine::Spec { cores: 4.0, memory_mb: 4096.0 };
        engines.push(sanddyke_testbed::engine::start(spec).await.unwrap());
    }
    let addresses = engines.iter().map(|engine| engine.address).collect();
    let fleet = fleet(Plan { engines: addresses, ..Plan::default() }).await;
    fleet.wait_for_holder(LEASE, None).await.unwrap();
    fleet.create_tenant().await.unwrap();
    let mut slowest = [Duration::ZERO; 2];
    for part in 0..2u64 {
        for number in 0..60u64 {
            let response = fleet.query((number % 3) as usize, 1000 * part + number).await.unwrap();
            assert_eq!(response.status, 200, "query {number} of part {part}");
            slowest[part as usize] = slowest[part as usize].max(response.latency);
        }
        // In the second part each manager is partitioned from all others.
        (0..3).for_each(|number| fleet.cut(number, &[0, 1, 2], CutDirection::Both));
        tokio::time::sleep(OBSERVATION_TIME / 2).await;
    }
    assert!(
        slowest[1] < Duration::from_millis(1000),
        "highest latencies of the two parts: {slowest:?}, for 5 ms of work"
    );
    check_history(&fleet, 1).await;
}

/// Guards against managers that lose leases, or can't acquire them, when a third of the managers are killed
/// simultaneously.
#[tokio::test]
async fn leases_continue_after_a_third_of_the_managers_is_killed() {
    let mut fleet = fleet(Plan { managers: 9, voters: 5, ..Plan::default() }).await;
    let first = fleet.wait_for_holder(LEASE, None).await.unwrap();
    for number in [first, (first + 3) % 9, (first + 6) % 9] {
        fleet.kill(number).await.unwrap();
    }
    fleet.wait_for_holder(LEASE, Some(first)).await.unwrap();
    tokio::time::sleep(OBSERVATION_TIME / 2).await;
    check_history(&fleet, 2).await;
}
