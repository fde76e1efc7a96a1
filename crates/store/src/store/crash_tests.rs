//! A crash at every write. A disk in memory records each write and each sync, and is cut at any of them: what was synced
//! is there, and each write that was not is there, lost, or there in part. Whatever the cut, all that was acknowledged is
//! there afterwards, and nothing incomplete.

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

/// A disk in memory that remembers what was done to it.
#[derive(Debug, Clone, Default)]
struct Disk {
    now: Arc<Mutex<Vec<u8>>>,
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
    fn keep(&self, op: Op) {
        apply(&mut self.now.lock().unwrap(), &op, usize::MAX);
        self.log.lock().unwrap().push(op);
    }

    /// What is on it when the machine stops after so many operations.
    fn cut(&self, at: usize, rng: &mut Rand32) -> Vec<u8> {
        let log = self.log.lock().unwrap();
        let synced = log[..at].iter().rposition(|op| matches!(op, Op::Sync)).unwrap_or(0);
        let mut image = Vec::new();
        log[..synced].iter().for_each(|op| apply(&mut image, op, usize::MAX));
        for op in &log[synced..at] {
            match rng.rand_range(0..3) {
                0 => {}
                1 => apply(&mut image, op, usize::MAX),
                // A page of a disk is written whole or not at all, a run of them in part.
                _ => apply(&mut image, op, 512 * rng.rand_range(0..16) as usize),
            }
        }
        image
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.now.lock().unwrap().len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let (now, at) = (self.now.lock().unwrap(), offset as usize);
        let found = now.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(found);
        Ok(())
    }
    fn set_len(&self, length: u64) -> Result<(), io::Error> {
        self.keep(Op::Length(length as usize));
        Ok(())
    }
    fn sync_data(&self) -> Result<(), io::Error> {
        self.keep(Op::Sync);
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.keep(Op::Write(offset as usize, data.to_vec()));
        Ok(())
    }
}

/// A change that can be made, whatever is there.
fn some_change(registry: &Registry, rng: &mut Rand32) -> Change {
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
fn all_that_was_acknowledged_survives_a_stop_at_any_write() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("cut.redb");
    let mut cuts = 0;
    for seed in 0..2 {
        let mut rng = Rand32::new(seed);
        let disk = Disk::default();
        let database = Database::builder().create_with_backend(disk.clone()).unwrap();
        let store = Store { database, path: path.clone() };
        store.write_form().unwrap();
        let made = disk.log.lock().unwrap().len();
        let mut registry = Registry::default();
        // After how many operations what had been acknowledged.
        let mut acknowledged = vec![(made, registry.clone(), 0)];
        for number in 1..=25u64 {
            let many = rng.rand_range(1..4);
            let mut after = registry.clone();
            let mut records = Vec::new();
            for _ in 0..many {
                let change = some_change(&after, &mut rng);
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
        for at in made..=end {
            std::fs::write(&path, disk.cut(at, &mut rng)).unwrap();
            let (store, loaded) = Store::open(&path)
                .unwrap_or_else(|error| panic!("seed {seed}, cut at {at} of {end}: {error}"));
            let known = acknowledged.iter().rposition(|(when, ..)| *when <= at).unwrap();
            // The commit under way may be there too: whole, or not at all.
            let fits = acknowledged[known..].iter().take(2).any(|(_, registry, tokens)| {
                *registry == loaded.registry && *tokens == loaded.tokens.iter().count() as u64
            });
            assert!(fits, "seed {seed}, cut at {at} of {end}: {:?} acknowledged", acknowledged[known]);
            let entries = store.audit(u64::MAX, 1000, |_| true).unwrap();
            assert_eq!(entries.len() as u64, loaded.registry.generation().0, "seed {seed}, cut at {at}");
            cuts += 1;
        }
    }
    assert!(cuts > 300, "{cuts} cuts");
}
