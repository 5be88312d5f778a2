//! A low-discrepancy sequence.

/// The fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// Spreads consecutive indexes evenly over the interval from 0 to 1, however many there are.
pub fn low_discrepancy_point(index: f64) -> f64 {
    (index * GOLDEN_RATIO_FRACTION).fract()
}
