//! Simulates a crash at every disk operation. An in-memory disk records each write and each sync, and the test restores its
//! content as of any of them: synced writes are complete, and each later write is complete, lost or partial. After each
//! crash the store contains all acknowledged commits and no incomplete one.

use crate::{Commit, Store};
use oorandom::Rand32;
use redb::Database;
use sanddyke_authorization::{Grant, Role, Tokens};
use sanddyke_tenancy::Registry;
use sanddyke_tenancy::{Change, GroupSpec, State, TenantSpec};
use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Debug, Clone)]
enum Op {
    Write(usize, Vec<u8>),
    Length(usize),
    Sync,
}

/// An in-memory disk that records all operations on it.
#[derive(Debug, Clone, Default)]
struct Disk {
    content: Arc<Mutex<Vec<u8>>>,
    log: Arc<Mutex<Vec<Op>>>,
}

fn apply(image: &mut Vec<u8>, op: &Op, bytes: usize) {
    match op {
        Op::Write(at, data) => {
            let data = &data[..bytes.min(data.len())];
            image.resize(image.len().max(at + data.len()), 0);
            image[*at..at + data.len()].copy_from_slice(data);
        }
        Op::Length(length) => image.resize(*length, 0),
        Op::Sync => {}
    }
}

impl Disk {
    fn record(&self, op: Op) {
        apply(&mut self.content.lock().unwrap(), &op, usize::MAX);
        self.log.lock().unwrap().push(op);
    }

    /// The content of the disk after a crash that follows the first `at` operations.
    fn content_after_crash(&self, at: usize, rng: &mut Rand32) -> Vec<u8> {
        let log = self.log.lock().unwrap();
        let synced = log[..at].iter().rposition(|op| matches!(op, Op::Sync)).unwrap_or(0);
        let mut image = Vec::new();
        log[..synced].iter().for_each(|op| apply(&mut image, op, usize::MAX));
        for op in &log[synced..at] {
            match rng.rand_range(0..3) {
                0 => {}
                1 => apply(&mut image, op, usize::MAX),
                // A sector is written completely or not at all. A write of several sectors can be partial.
                _ => apply(&mut image, op, 512 * rng.rand_range(0..16) as usize),
            }
        }
        image
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.content.lock().unwrap().len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let (content, at) = (self.content.lock().unwrap(), offset as usize);
        let found = content.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(found);
        Ok(())
    }
    fn set_len(&self, length: u64) -> Result<(), io::Error> {
        self.record(Op::Length(length as usize));
        Ok(())
    }
    fn sync_data(&self) -> Result<(), io::Error> {
        self.record(Op::Sync);
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.record(Op::Write(offset as usize, data.to_vec()));
        Ok(())
    }
}

/// A random change that can be applied to the registry.
fn random_change(registry: &Registry, rng: &mut Rand32) -> Change {
    let name = format!("t{}", rng.rand_range(0..6));
    let group = Some("g".to_owned()).filter(|_| registry.group("g").is_some() && rng.rand_range(0..2) == 0);
    let spec = TenantSpec { weight: f64::from(rng.rand_range(1..100)), group, ..TenantSpec::default() };
    match (registry.tenant(&name).is_some(), rng.rand_range(0..4)) {
        (_, 0) if registry.group("g").is_none() => {
            Change::CreateGroup { name: "g".to_owned(), spec: GroupSpec::default() }
        }
        (false, _) => Change::CreateTenant { name, spec },
        (true, 1) => Change::RemoveTenant { name },
        (true, 2) => Change::MoveTenant { name, to: State::Suspended },
        (true, _) => Change::SetTenant { name, spec },
    }
}

#[test]
fn acknowledged_commits_survive_a_crash_at_any_write() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("crash.redb");
    let mut crashes = 0;
    for seed in 0..2 {
        let mut rng = Rand32::new(seed);
        let disk = Disk::default();
        let database = Database::builder().create_with_backend(disk.clone()).unwrap();
        let store = Store { database, path: path.clone() };
        store.write_format_version().unwrap();
        let created = disk.log.lock().unwrap().len();
        let mut registry = Registry::default();
        // For each acknowledged commit: the number of disk operations, the registry and the number of tokens after it.
        let mut acknowledged = vec![(created, registry.clone(), 0)];
        for number in 1..=25u64 {
            let many = rng.rand_range(1..4);
            let mut after = registry.clone();
            let mut records = Vec::new();
            for _ in 0..many {
                let change = random_change(&after, &mut rng);
                records.extend(after.apply(&[change]).unwrap());
            }
            let token = if number % 5 == 0 {
                let grant = Grant {
                    role: Role::Viewer,
                    tenants: BTreeSet::new(),
                    note: String::new(),
                    expires_ms: None,
                };
                Some(Tokens::issue(grant, number, [number as u8; 32]).0)
            } else {
                None
            };
            let mut commit = Commit::of("me", number, &after, records);
            commit.tokens.extend(token.map(|token| (token.id.clone(), Some(token))));
            store.commit(&commit).unwrap();
            registry = after;
            acknowledged.push((disk.log.lock().unwrap().len(), registry.clone(), number / 5));
        }
        let end = disk.log.lock().unwrap().len();
        for at in created..=end {
            std::fs::write(&path, disk.content_after_crash(at, &mut rng)).unwrap();
            let (store, loaded) = Store::open(&path)
                .unwrap_or_else(|error| panic!("seed {seed}, crash at {at} of {end}: {error}"));
            let known = acknowledged.iter().rposition(|(when, ..)| *when <= at).unwrap();
            // The commit that the crash interrupted may be stored too, completely.
            let is_expected = acknowledged[known..].iter().take(2).any(|(_, registry, tokens)| {
                *registry == loaded.registry && *tokens == loaded.tokens.iter().count() as u64
            });
            assert!(
                is_expected,
                "seed {seed}, crash at {at} of {end}: expected at least {:?}",
                acknowledged[known]
            );
            let entries = store.audit(u64::MAX, 1000, |_| true).unwrap();
            assert_eq!(entries.len() as u64, loaded.registry.generation().0, "seed {seed}, crash at {at}");
            crashes += 1;
        }
    }
    assert!(crashes > 300, "{crashes} crashes");
}
