//! Snapshots that are truncated, corrupted, too old, of a later version, or written by several processes at once.

use sanddyke_snapshot::{MAX_PAYLOAD_BYTES, SnapshotError, SnapshotFile, VERSION, decode, encode};
use std::path::PathBuf;
use std::time::Duration;

const NOW: u64 = 1_800_000_000_000;
const MINUTE: Duration = Duration::from_secs(60);

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("sanddyke-snapshot-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _result = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_snapshot_truncated_at_any_byte_or_with_any_bit_flipped_is_rejected() {
    let complete = encode(b"what was learnt", NOW).unwrap();
    assert_eq!(decode(&complete, NOW, MINUTE).unwrap().payload, b"what was learnt");
    for length in 0..complete.len() {
        assert!(decode(&complete[..length], NOW, MINUTE).is_err(), "truncated to {length} bytes");
    }
    for bit in 0..complete.len() * 8 {
        let mut corrupted = complete.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&corrupted, NOW, MINUTE).is_err(), "bit {bit}");
    }
    let longer = [&complete[..], b"x"].concat();
    assert!(decode(&longer, NOW, MINUTE).is_err());
}

#[test]
fn random_bytes_of_any_length_are_rejected() {
    let mut rng = oorandom::Rand32::new(20261201);
    for round in 0..20_000 {
        let length = rng.rand_range(0..200) as usize;
        let mut noise: Vec<u8> = (0..length).map(|_| rng.rand_u32() as u8).collect();
        if round % 2 == 0 {
            let magic = &encode(b"", NOW).unwrap()[..12];
            noise.splice(..length.min(12), magic[..length.min(12)].iter().copied());
        }
        assert!(decode(&noise, NOW, MINUTE).is_err(), "round {round}");
    }
}

#[test]
fn age_version_and_length_are_bounded() {
    let complete = encode(b"x", NOW).unwrap();
    let at = |now: u64| decode(&complete, now, MINUTE);
    assert!(matches!(at(NOW + 60_001), Err(SnapshotError::TooOld { .. })));
    assert!(matches!(at(NOW + 86_400_000), Err(SnapshotError::TooOld { .. })));
    assert!(matches!(at(NOW - 2_001), Err(SnapshotError::FromFuture { .. })));
    assert_eq!(at(NOW - 500).unwrap().age, Duration::ZERO);
    let mut newer = complete.clone();
    newer[8..12].copy_from_slice(&(VERSION + 1).to_le_bytes());
    newer.truncate(40);
    assert!(matches!(decode(&newer, NOW, MINUTE), Err(SnapshotError::NewerVersion { .. })));
    assert!(matches!(encode(&vec![0; MAX_PAYLOAD_BYTES + 1], NOW), Err(SnapshotError::TooLong { .. })));
    assert!(encode(&vec![0; MAX_PAYLOAD_BYTES], NOW).is_ok());
}

#[test]
fn the_latest_complete_snapshot_is_read_and_stale_temporary_files_are_removed() {
    let folder = Folder::new("place");
    let file = SnapshotFile::new(&folder.0, "n/1..");
    assert!(file.read(NOW, MINUTE).unwrap().is_none());
    file.write(b"first", NOW).unwrap();
    file.write(b"second", NOW + 1).unwrap();
    assert_eq!(file.read(NOW + 1, MINUTE).unwrap().unwrap().payload, b"second");
    let stale = folder.0.join("sanddyke-n1.999999999.part");
    let other = folder.0.join("sanddyke-n2.999999999.part");
    let own = folder.0.join(format!("sanddyke-n1.{}.part", std::process::id()));
    for path in [&stale, &other, &own] {
        std::fs::write(path, b"half").unwrap();
    }
    file.remove_stale_temporary_files().unwrap();
    assert_eq!([&stale, &other, &own].map(|path| path.exists()), [false, true, true]);
    file.write(b"third", NOW).unwrap();
    assert_eq!(file.read(NOW, MINUTE).unwrap().unwrap().payload, b"third");
}

#[test]
fn a_file_that_cannot_be_written_or_read_is_an_error() {
    let folder = Folder::new("bad");
    let file = SnapshotFile::new(&folder.0.join("missing"), "n1");
    assert!(matches!(file.write(b"x", NOW), Err(SnapshotError::File(_))));
    assert!(file.read(NOW, MINUTE).unwrap().is_none());
    std::fs::create_dir_all(folder.0.join("sanddyke-n1.learnt")).unwrap();
    assert!(matches!(SnapshotFile::new(&folder.0, "n1").read(NOW, MINUTE), Err(SnapshotError::File(_))));
}

/// Guards against a reader that finds an incomplete snapshot while a writer is killed. A killed writer leaves a
/// temporary file that is truncated at a random byte.
#[test]
fn a_reader_finds_a_complete_snapshot_while_writers_are_killed() {
    let folder = Folder::new("writers");
    let file = SnapshotFile::new(&folder.0, "n1");
    file.write(&0u64.to_le_bytes().repeat(1000), NOW).unwrap();
    let mut rng = oorandom::Rand32::new(7);
    let complete = encode(&9u64.to_le_bytes().repeat(1000), NOW).unwrap();
    for round in 1..500u64 {
        let length = rng.rand_range(0..complete.len() as u32) as usize;
        std::fs::write(
            folder.0.join(format!("sanddyke-n1.{}.part", std::process::id())),
            &complete[..length],
        )
        .unwrap();
        if round % 3 == 0 {
            file.write(&round.to_le_bytes().repeat(1000), NOW).unwrap();
        }
        let found = file.read(NOW, MINUTE).unwrap().unwrap().payload;
        let expected = (round / 3 * 3).to_le_bytes();
        assert!(found.chunks(8).all(|chunk| chunk == expected), "round {round}");
    }
}
