//! The order in which managers request a free lease: rendezvous hashing of the lease's and the manager's name. Leases
//! spread over the managers, and the loss of a manager moves only its own leases.

use std::cmp::Reverse;

/// Start value of the FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of the FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Factor of MurmurHash3's finalizer.
const MURMUR_MULTIPLIER: u64 = 0xff51_afd7_ed55_8ccd;

/// Names of managers by descending weight, each once.
pub(super) fn ranked<'a>(lease: &str, managers: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<&str> = managers.collect();
    names.sort_by_key(|name| Reverse(weight(lease, name)));
    names.dedup();
    names
}

/// Weight of a manager for a lease, the same at every manager and in every build.
fn weight(lease: &str, manager: &str) -> u64 {
    let bytes = lease.bytes().chain([0]).chain(manager.bytes());
    let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // The finalizer makes the last bytes count as much as the first.
    let hash = (hash ^ (hash >> 33)).wrapping_mul(MURMUR_MULTIPLIER);
    hash ^ (hash >> 33)
}
