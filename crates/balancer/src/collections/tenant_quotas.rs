//! Quotas of tenants.

use super::Quota;
use crate::stats::TokenBucket;

/// One token bucket per tenant, by its index in the settings.
#[derive(Debug, Default)]
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Charges a request to a tenant. Returns [`Quota::Over`] if the tenant exists and has no token left.
    pub fn charge(&mut self, tenant: usize, now_ms: f64, rate_per_s: f64, burst: f64) -> Quota {
        let Some(bucket) = self.buckets.get_mut(tenant) else { return Quota::Within };
        bucket.refill(now_ms, rate_per_s, burst);
        if bucket.try_take() { Quota::Within } else { Quota::Over }
    }

    /// Returns the token that a request was charged.
    pub fn refund(&mut self, tenant: usize) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.return_token();
        }
    }

    /// Gives each tenant the bucket of the tenant that it continues, or a full one.
    pub fn replace(&mut self, continued: &[Option<u16>]) {
        let full = TokenBucket::with_tokens(f64::MAX);
        let bucket = |old: &Option<u16>| old.map_or(full, |old| self.buckets[usize::from(old)]);
        self.buckets = continued.iter().map(bucket).collect();
    }
}
