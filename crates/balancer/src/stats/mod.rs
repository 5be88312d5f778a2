//! Statistics and controllers without thresholds of their own: the policy passes these with each call.

mod backoff;
mod capped_mean;
mod decaying_peak;
mod latency_profile;
mod load_window;
mod low_discrepancy;
mod moving_average;
mod pi_controller;
mod prior_mean;
mod timed_exclusion;
mod token_bucket;

#[cfg(test)]
mod tests;

pub use backoff::Backoff;
use capped_mean::CappedMean;
pub use decaying_peak::DecayingPeak;
pub use latency_profile::LatencyProfile;
pub use load_window::LoadWindow;
pub use low_discrepancy::low_discrepancy_point;
pub use moving_average::MovingAverage;
pub use pi_controller::PiController;
pub use prior_mean::PriorMean;
pub use timed_exclusion::TimedExclusion;
pub use token_bucket::TokenBucket;
