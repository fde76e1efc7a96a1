use super::*;

fn submit(table: &mut LeaseTable, from: &str, request: LeaseRequest) -> LeaseOutcome {
    let from = Incarnation { name: from.to_owned(), number: 1 };
    table.apply(table.index + 1, &Proposal { from, nonce: 0, request })
}

fn acquire(version: u64) -> LeaseRequest {
    LeaseRequest::Acquire { lease: "backup".to_owned(), version, lease_us: 1_000_000 }
}

fn granted(fencing_token: u64) -> LeaseOutcome {
    LeaseOutcome::Granted { fencing_token }
}

/// Guards against two holders. Two managers wait for the expiry of the same version and both request the lease. One of
/// them acquires it, with a higher fencing token than all earlier grants.
#[test]
fn one_of_two_requests_for_the_same_version_is_granted() {
    let mut table = LeaseTable::default();
    assert_eq!(submit(&mut table, "a", acquire(0)), granted(1));
    assert_eq!(submit(&mut table, "b", acquire(0)), LeaseOutcome::Conflict);
    assert_eq!(submit(&mut table, "b", acquire(1)), granted(3));
    let renew = |fencing_token| LeaseRequest::Renew { lease: "backup".to_owned(), fencing_token };
    assert_eq!(submit(&mut table, "a", renew(1)), LeaseOutcome::NotHolder, "the former holder's token");
    assert_eq!(submit(&mut table, "b", renew(3)), LeaseOutcome::Renewed);
    assert_eq!(
        submit(&mut table, "c", acquire(3)),
        LeaseOutcome::Conflict,
        "the renewal has changed the version"
    );
}

/// Guards against a lease that is free to others while its former holder still counts it as held, and against a renewal
/// by another incarnation of the holder, before or after a restart.
#[test]
fn a_released_lease_is_free_and_only_its_own_incarnation_renews_it() {
    let mut table = LeaseTable::default();
    submit(&mut table, "a", acquire(0));
    let restarted = Incarnation { name: "a".to_owned(), number: 2 };
    let renew = LeaseRequest::Renew { lease: "backup".to_owned(), fencing_token: 1 };
    assert_eq!(
        table.apply(2, &Proposal { from: restarted, nonce: 0, request: renew }),
        LeaseOutcome::NotHolder
    );
    let release = LeaseRequest::Release {
        lease: "backup".to_owned(),
        fencing_token: 1,
        successor: Some("b".to_owned()),
    };
    assert_eq!(submit(&mut table, "a", release), LeaseOutcome::Released);
    assert_eq!(table.leases["backup"].successor.as_deref(), Some("b"));
    assert_eq!(submit(&mut table, "b", acquire(3)), granted(4));
}

/// Guards against a lost update when two checkpoints are derived from the same earlier one.
#[test]
fn the_second_of_two_checkpoints_based_on_the_same_one_is_rejected() {
    let mut table = LeaseTable::default();
    submit(&mut table, "a", acquire(0));
    let checkpoint = |based_on, checkpoint: &str| LeaseRequest::Checkpoint {
        lease: "backup".to_owned(),
        fencing_token: 1,
        based_on,
        checkpoint: checkpoint.to_owned(),
    };
    assert_eq!(submit(&mut table, "a", checkpoint(0, "first")), LeaseOutcome::CheckpointSaved);
    assert_eq!(submit(&mut table, "a", checkpoint(0, "second")), LeaseOutcome::Conflict);
    assert_eq!(table.leases["backup"].checkpoint, "first");
    assert_eq!(submit(&mut table, "a", checkpoint(2, "third")), LeaseOutcome::CheckpointSaved);
    assert_eq!(submit(&mut table, "b", checkpoint(4, "b's")), LeaseOutcome::NotHolder);
    let record = &table.leases["backup"];
    assert_eq!((record.checkpoint.as_str(), record.version), ("third", 1));
}

/// Guards against a table that grows without bound, and against lease durations that are too short to be renewed.
#[test]
fn requests_beyond_a_limit_change_nothing() {
    let mut table = LeaseTable::default();
    let short = LeaseRequest::Acquire { lease: "backup".to_owned(), version: 0, lease_us: 1 };
    assert_eq!(submit(&mut table, "a", short), LeaseOutcome::Invalid);
    for number in 0..MAX_LEASES + 1 {
        let request = LeaseRequest::Acquire { lease: format!("d{number}"), version: 0, lease_us: 1_000_000 };
        let is_granted = matches!(submit(&mut table, "a", request), LeaseOutcome::Granted { .. });
        assert_eq!(is_granted, number < MAX_LEASES);
    }
    assert_eq!(table.leases.len(), MAX_LEASES);
}
