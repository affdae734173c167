//! Reproducible random numbers.

use rand::rngs::StdRng;
use rand::SeedableRng;

/// 2^64 divided by the golden ratio: spreads small stream numbers over all bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// A generator for one of several streams of random numbers that share a seed.
pub fn stream(seed: u64, number: u64) -> StdRng {
    StdRng::seed_from_u64(seed ^ number.wrapping_mul(GOLDEN_RATIO))
}
