//! Files that are corrupted, of a later format or in use, backup and restore, and reading stored data.

use sanddyke_store::{Commit, Creation, Store, StoreError, restore};
use sanddyke_tenancy::{Change, Registry, TenantSpec};
use std::path::Path;

fn create_tenant(store: &Store, registry: &mut Registry, name: &str) {
    let create = Change::CreateTenant { name: name.to_owned(), spec: TenantSpec::default() };
    let records = registry.apply(&[create]).unwrap();
    store.commit(&Commit::of("me", 7, registry, records)).unwrap();
}

fn create_store(path: &Path, tenants: usize) -> Registry {
    let (store, loaded) = Store::open(path).unwrap();
    assert!(loaded.is_new);
    let mut registry = loaded.registry;
    (0..tenants).for_each(|number| create_tenant(&store, &mut registry, &format!("t{number}")));
    registry
}

/// Guards against a corrupted file that is changed or read with other contents: opening it fails with one line that names
/// the file, and every byte of it stays.
#[test]
fn a_corrupted_file_is_reported_and_not_changed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state.redb");
    let registry = create_store(&path, 40);
    let intact_bytes = std::fs::read(&path).unwrap();
    let mut rng = oorandom::Rand32::new(3);
    let (mut reported, mut intact) = (0, 0);
    for round in 0..300 {
        let mut corrupted = intact_bytes.clone();
        match round % 3 {
            0 => corrupted.truncate(rng.rand_range(0..intact_bytes.len() as u32) as usize),
            1 => {
                (0..8).for_each(|_| corrupted[rng.rand_range(0..intact_bytes.len() as u32) as usize] ^= 0x40)
            }
            _ => {
                let at = rng.rand_range(0..intact_bytes.len() as u32 / 4096) as usize * 4096;
                corrupted[at..at + 4096].fill(0);
            }
        }
        std::fs::write(&path, &corrupted).unwrap();
        match Store::open(&path) {
            Ok((_, loaded)) => {
                assert_eq!(
                    loaded.registry, registry,
                    "round {round}: the contents read differ from those written"
                );
                intact += 1;
            }
            Err(error) => {
                let message = error.to_string();
                assert!(
                    message.contains("state.redb") && message.lines().count() == 1,
                    "round {round}: {message}"
                );
                assert!(
                    std::fs::read(&path).unwrap() == corrupted,
                    "round {round}: the file was changed: {message}"
                );
                reported += 1;
            }
        }
    }
    assert!(reported > 80 && intact > 10, "{reported} reported, {intact} intact");
}

#[test]
fn a_file_of_a_later_format_is_reported_and_not_changed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state.redb");
    create_store(&path, 1);
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
fn a_store_that_is_open_can_be_neither_opened_nor_replaced() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state.redb");
    let _open = Store::open(&path).unwrap();
    assert!(matches!(Store::open(&path).unwrap_err(), StoreError::InUse(_)));
    assert!(matches!(restore(&path, &path).unwrap_err(), StoreError::InUse(_)));
}

#[test]
fn a_backup_of_a_store_in_use_is_complete_and_can_be_restored() {
    let folder = tempfile::tempdir().unwrap();
    let (path, copy) = (folder.path().join("state.redb"), folder.path().join("copy.redb"));
    let mut registry = create_store(&path, 3);
    {
        let (store, _) = Store::open(&path).unwrap();
        store.backup(&copy).unwrap();
        create_tenant(&store, &mut registry, "later");
        assert!(matches!(store.backup(&copy).unwrap_err(), StoreError::Exists(_)));
    }
    let (_, backup) = Store::open(&copy).unwrap();
    assert_eq!((backup.registry.len(), backup.registry.generation().0), (3, 3));
    let replaced = restore(&copy, &path).unwrap().expect("the previous store is retained");
    assert_eq!(Store::open(&path).unwrap().1.registry, backup.registry);
    assert_eq!(Store::open(&replaced).unwrap().1.registry, registry);
    std::fs::write(&path, "no store").unwrap();
    restore(&copy, &path).unwrap();
    assert_eq!(Store::open(&path).unwrap().1.registry, backup.registry);
}

#[test]
fn the_audit_trail_is_read_in_pages_newest_first() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(&folder.path().join("state.redb")).unwrap();
    let mut registry = Registry::default();
    (0..10).for_each(|number| create_tenant(&store, &mut registry, &format!("t{number}")));
    let first = store.audit(u64::MAX, 4, |_| true).unwrap();
    let numbers: Vec<u64> = first.iter().map(|entry| entry.number).collect();
    assert_eq!(numbers, [10, 9, 8, 7]);
    let rest = store.audit(7, 100, |entry| entry.number % 2 == 0).unwrap();
    assert_eq!(rest.iter().map(|entry| entry.number).collect::<Vec<_>>(), [6, 4, 2]);
}

#[test]
fn idempotency_keys_of_creations_are_loaded_at_open() {
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
