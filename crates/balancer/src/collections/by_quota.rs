//! A value for requests within the quota of their tenant and one for requests over it.

use std::ops::{Index, IndexMut};

/// Whether a request was within its tenant's quota when it arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Quota {
    /// Within the quota, or the tenant has none.
    #[default]
    Within,
    /// Over the quota.
    Over,
}

/// A value for each [`Quota`].
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ByQuota<T> {
    /// The value for requests within their tenant's quota.
    pub within: T,
    /// The value for requests over their tenant's quota.
    pub over: T,
}

impl<T> ByQuota<T> {
    /// Applies a function to each value.
    pub fn map<U>(self, f: impl Fn(T) -> U) -> ByQuota<U> {
        ByQuota { within: f(self.within), over: f(self.over) }
    }
}

impl ByQuota<f64> {
    /// Returns the sum of both values.
    pub fn total(self) -> f64 {
        self.within + self.over
    }
}

impl<T> Index<Quota> for ByQuota<T> {
    type Output = T;

    fn index(&self, quota: Quota) -> &T {
        match quota {
            Quota::Within => &self.within,
            Quota::Over => &self.over,
        }
    }
}

impl<T> IndexMut<Quota> for ByQuota<T> {
    fn index_mut(&mut self, quota: Quota) -> &mut T {
        match quota {
            Quota::Within => &mut self.within,
            Quota::Over => &mut self.over,
        }
    }
}
