//! The voter file after restarts, and a corrupted file.

use super::*;

/// Guards against a voter that restarts without stored state, or with log entries that were replaced.
#[test]
fn the_stored_state_is_restored_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("voter.redb");
    {
        let mut file = VoterFile::open(&path, 7).unwrap();
        assert_eq!(file.identity(), (7, false));
        file.initialize(&VoterState { hard_state: vec![1], snapshot: vec![2], entries: Vec::new() }).unwrap();
        let entries = [(2, vec![20]), (3, vec![30]), (4, vec![40])];
        file.store(&VoterUpdate { hard_state: Some(&[3]), entries: &entries, ..VoterUpdate::default() })
            .unwrap();
        file.store(&VoterUpdate { entries: &[(3, vec![31])], ..VoterUpdate::default() }).unwrap();
    }
    let file = VoterFile::open(&path, 8).unwrap();
    assert_eq!(file.identity(), (7, true), "the id of an existing file is retained");
    let state = file.state().unwrap();
    assert_eq!(
        state,
        VoterState { hard_state: vec![3], snapshot: vec![2], entries: vec![vec![20], vec![31]] }
    );
    file.store(&VoterUpdate { snapshot: Some((2, &[9])), ..VoterUpdate::default() }).unwrap();
    let state = file.state().unwrap();
    assert_eq!((state.snapshot, state.entries), (vec![9], vec![vec![31]]));
}

/// Guards against votes that are based on a corrupted file.
#[test]
fn a_file_that_is_not_a_voter_file_is_rejected_and_not_changed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("voter.redb");
    std::fs::write(&path, b"not a file of this kind").unwrap();
    assert!(matches!(VoterFile::open(&path, 7), Err(StoreError::Corrupted { .. })));
    assert_eq!(std::fs::read(&path).unwrap(), b"not a file of this kind");
}
