//! Hash functions that give the same values on every node and machine.

use crate::api::Request;

pub(super) fn key_of(request: &Request) -> u64 {
    request.key.unwrap_or_else(|| hash_str(request.id.as_str()))
}

/// Mixes the bits of a number so that nearby inputs give unrelated outputs (the finalizer of splitmix64).
pub(super) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to a number between 0 and 1, both exclusive.
pub(super) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// 64-bit FNV-1a.
pub(super) fn hash_str(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}
