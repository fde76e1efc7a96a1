//! Files that are damaged, newer, in use, backed up and restored.

use sanddyke_store::{Commit, Creation, Store, StoreError, restore};
use sanddyke_tenancy::{Change, Registry, TenantSpec};
use std::path::Path;

fn change(store: &Store, registry: &mut Registry, name: &str) {
    let create = Change::CreateTenant { name: name.to_owned(), spec: TenantSpec::default() };
    let records = registry.apply(&[create]).unwrap();
    store.commit(&Commit::of("me", 7, registry, records)).unwrap();
}

fn made(path: &Path, tenants: usize) -> Registry {
    let (store, loaded) = Store::open(path).unwrap();
    assert!(loaded.is_new);
    let mut registry = loaded.registry;
    (0..tenants).for_each(|number| change(&store, &mut registry, &format!("t{number}")));
    registry
}

/// What can't be used gives one message that names the file, and every byte of it stays.
#[test]
fn a_damaged_file_is_told_and_left_as_it_was() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state.redb");
    let registry = made(&path, 40);
    let good = std::fs::read(&path).unwrap();
    let mut rng = oorandom::Rand32::new(3);
    let (mut told, mut unharmed) = (0, 0);
    for round in 0..300 {
        let mut bad = good.clone();
        match round % 3 {
            0 => bad.truncate(rng.rand_range(0..good.len() as u32) as usize),
            1 => (0..8).for_each(|_| bad[rng.rand_range(0..good.len() as u32) as usize] ^= 0x40),
            _ => {
                let at = rng.rand_range(0..good.len() as u32 / 4096) as usize * 4096;
                bad[at..at + 4096].fill(0);
            }
        }
        std::fs::write(&path, &bad).unwrap();
        match Store::open(&path) {
            Ok((_, loaded)) => {
                assert_eq!(loaded.registry, registry, "round {round}: read, but not what was written");
                unharmed += 1;
            }
            Err(error) => {
                let said = error.to_string();
                assert!(said.contains("state.redb") && said.lines().count() == 1, "round {round}: {said}");
                assert!(std::fs::read(&path).unwrap() == bad, "round {round}: the file was changed: {said}");
                told += 1;
            }
        }
    }
    assert!(told > 80 && unharmed > 10, "{told} told, {unharmed} unharmed");
}

#[test]
fn a_newer_file_is_told_and_left_as_it_was() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state.redb");
    made(&path, 1);
    {
        let database = redb::Database::open(&path).unwrap();
        let write = database.begin_write().unwrap();
        let meta = redb::TableDefinition::<&str, u64>::new("meta");
        write.open_table(meta).unwrap().insert("form", 2).unwrap();
        write.commit().unwrap();
    }
    let before = std::fs::read(&path).unwrap();
    let error = Store::open(&path).unwrap_err();
    assert!(matches!(error, StoreError::Newer { found: 2, .. }), "{error}");
    assert!(std::fs::read(&path).unwrap() == before);
}

#[test]
fn a_second_process_is_kept_out() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state.redb");
    let _open = Store::open(&path).unwrap();
    assert!(matches!(Store::open(&path).unwrap_err(), StoreError::InUse(_)));
    assert!(matches!(restore(&path, &path).unwrap_err(), StoreError::InUse(_)));
}

#[test]
fn a_backup_is_made_while_changes_go_on_and_restored_whole() {
    let folder = tempfile::tempdir().unwrap();
    let (path, copy) = (folder.path().join("state.redb"), folder.path().join("copy.redb"));
    let mut registry = made(&path, 3);
    {
        let (store, _) = Store::open(&path).unwrap();
        store.backup(&copy).unwrap();
        change(&store, &mut registry, "later");
        assert!(matches!(store.backup(&copy).unwrap_err(), StoreError::Exists(_)));
    }
    let (_, backup) = Store::open(&copy).unwrap();
    assert_eq!((backup.registry.len(), backup.registry.generation().0), (3, 3));
    let kept = restore(&copy, &path).unwrap().expect("what was there is kept");
    assert_eq!(Store::open(&path).unwrap().1.registry, backup.registry);
    assert_eq!(Store::open(&kept).unwrap().1.registry, registry);
    std::fs::write(&path, "no store").unwrap();
    restore(&copy, &path).unwrap();
    assert_eq!(Store::open(&path).unwrap().1.registry, backup.registry);
}

#[test]
fn the_audit_trail_is_read_from_the_newest_by_pages() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(&folder.path().join("state.redb")).unwrap();
    let mut registry = Registry::default();
    (0..10).for_each(|number| change(&store, &mut registry, &format!("t{number}")));
    let first = store.audit(u64::MAX, 4, |_| true).unwrap();
    let numbers: Vec<u64> = first.iter().map(|entry| entry.number).collect();
    assert_eq!(numbers, [10, 9, 8, 7]);
    let rest = store.audit(7, 100, |entry| entry.number % 2 == 0).unwrap();
    assert_eq!(rest.iter().map(|entry| entry.number).collect::<Vec<_>>(), [6, 4, 2]);
}

#[test]
fn a_key_of_a_creation_is_there_after_a_start() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state.redb");
    let key = Creation { key: "op k1".into(), request_digest: "d".into(), name: "t".into(), until_ms: 99 };
    {
        let (store, _) = Store::open(&path).unwrap();
        let mut registry = Registry::default();
        let create = Change::CreateTenant { name: "t".into(), spec: TenantSpec::default() };
        let records = registry.apply(&[create]).unwrap();
        store.commit(&Commit::of("me", 7, &registry, records).with_creation(key.clone())).unwrap();
    }
    assert_eq!(Store::open(&path).unwrap().1.creations, [key]);
}
