//! Levels of values, and their shares of a whole.

/// A level: one or more values that are equal within a tolerance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Level {
    /// The value of the level.
    pub value: f64,
    /// Its share of the whole.
    pub share: f64,
}

/// Returns the distinct levels of `sharing` and `others`, highest first; values within `tolerance` are on
/// one level. The levels of `sharing` divide the whole in proportion to their values, and levels of
/// `others` only have no share.
pub fn levels_with_shares(sharing: &[f64], others: &[f64], tolerance: f64) -> Vec<Level> {
    let mut values: Vec<f64> = sharing.iter().chain(others).copied().collect();
    values.sort_by(|a, b| b.total_cmp(a));
    values.dedup_by(|a, b| (*a - *b).abs() < tolerance);
    let is_sharing = |value: f64| sharing.iter().any(|shared| (shared - value).abs() < tolerance);
    let shared_value = |&value: &f64| if is_sharing(value) { value } else { 0.0 };
    let sum = values.iter().map(shared_value).sum::<f64>().max(tolerance);
    values.iter().map(|value| Level { value: *value, share: shared_value(value) / sum }).collect()
}

/// Returns the index of the level that is nearest to `value`: the first of several, and 0 if there is none.
pub fn nearest_level(levels: &[Level], value: f64) -> usize {
    let distance = |index: usize| (levels[index].value - value).abs();
    (0..levels.len()).min_by(|&a, &b| distance(a).total_cmp(&distance(b))).unwrap_or(0)
}
