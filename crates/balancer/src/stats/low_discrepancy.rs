//! A low-discrepancy sequence.

/// The fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// Returns a point between 0 and 1 for an index. Consecutive indexes are spread evenly, however many there
/// are.
pub fn low_discrepancy_point(index: f64) -> f64 {
    (index * GOLDEN_RATIO_FRACTION).fract()
}
