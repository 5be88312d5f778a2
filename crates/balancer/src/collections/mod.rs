//! Collections without thresholds of their own: the policy passes these as parameters.

mod by_class;
mod by_quota;
mod keyed_queues;
mod levels;
mod random_pair;
mod ring_subset;
mod sliced_queue;
mod slot_table;
mod suspensions;
mod tenant_quotas;

#[cfg(test)]
mod tests;

pub use by_class::ByClass;
pub use by_quota::{ByQuota, Quota};
pub use keyed_queues::KeyedQueues;
pub use levels::{levels_with_shares, nearest_level};
pub use random_pair::random_pair;
pub use ring_subset::{RingSubset, ring_window};
pub use sliced_queue::Slices;
pub use slot_table::{SlotTable, set_slot};
pub use suspensions::Suspensions;
pub use tenant_quotas::TenantQuotas;
