//! Order in which managers request a free lease, by rendezvous hashing of the name of the lease and the name of the
//! manager. Leases are spread over the managers, and the loss of a manager moves only its own leases.

use std::cmp::Reverse;

/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Multiplier in the finalizer of MurmurHash3.
const MURMUR_MULTIPLIER: u64 = 0xff51_afd7_ed55_8ccd;

/// Names of the managers in descending order of their weight, without duplicates.
pub(super) fn ranked<'a>(lease: &str, managers: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<&str> = managers.collect();
    names.sort_by_key(|name| Reverse(weight(lease, name)));
    names.dedup();
    names
}

/// Weight of a manager for a lease. All managers and all builds must compute the same value.
fn weight(lease: &str, manager: &str) -> u64 {
    let bytes = lease.bytes().chain([0]).chain(manager.bytes());
    let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // Without the finalizer the last bytes would influence the hash less than the first bytes.
    let hash = (hash ^ (hash >> 33)).wrapping_mul(MURMUR_MULTIPLIER);
    hash ^ (hash >> 33)
}
