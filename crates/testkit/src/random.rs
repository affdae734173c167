//! Reproducible random number generators.

use rand::rngs::StdRng;
use rand::SeedableRng;

/// 2^64 divided by the golden ratio; multiplication spreads small stream numbers over all bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the generator of stream `stream_number` of the independent streams that share `seed`.
pub fn stream(seed: u64, stream_number: u64) -> StdRng {
    StdRng::seed_from_u64(seed ^ stream_number.wrapping_mul(GOLDEN_RATIO))
}
