//! Random selection of two items.

/// Draws up to `draws` times from some items until two different eligible ones are found. Returns the
/// first, and the second if there is one.
pub fn random_pair<T: Copy + PartialEq>(
    rng: &mut fastrand::Rng,
    items: &[T],
    draws: usize,
    is_eligible: impl Fn(T) -> bool,
) -> Option<(T, Option<T>)> {
    if items.is_empty() {
        return None;
    }
    let mut draws = (0..draws).map(|_| items[rng.usize(..items.len())]);
    let first = draws.find(|&item| is_eligible(item))?;
    let second = draws.find(|&item| item != first && is_eligible(item));
    Some((first, second))
}
