//! Random draws by number: the n-th draw is the same in every run with the same seed.

/// A uniform draw from 0 to 1.
pub fn unit(seed: u64, number: u64) -> f64 {
    // The upper 53 bits fill a double's mantissa.
    (mix(seed, number) >> 11) as f64 / (1u64 << 53) as f64
}

/// A uniform draw from 1 to `max`.
pub fn from_one_to(seed: u64, number: u64, max: usize) -> usize {
    1 + (mix(seed.rotate_left(32), number) % max.max(1) as u64) as usize
}

/// SplitMix64 (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
fn mix(seed: u64, number: u64) -> u64 {
    let mut z = seed.wrapping_add(number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
