//! The parameters of the real part in the scenario file.

use serde::Deserialize;

/// Parameters of the real part.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RealPart {
    /// Duration for which each phase is measured, in seconds.
    pub phase_s: f64,
    /// Hops per second through each real proxy.
    pub hops_per_s_per_proxy: f64,
    /// Depths of nested requests; each request draws one of them.
    pub depths: Vec<usize>,
    /// Number of simulated proxies hosted by one process.
    #[serde(rename = "hollow_per_process")]
    pub simulated_per_process: usize,
    /// Processing time of a request at a warm backend, in milliseconds.
    pub work_ms: f64,
    /// Processing time right after a backend's start, in milliseconds; it decreases to `work_ms` during the
    /// warm-up.
    pub cold_work_ms: f64,
    /// Delay past its scheduled time, in milliseconds, after which a request counts as sent late.
    pub late_ms: f64,
    /// Share of the backends that may drain at the same time.
    pub draining_share: f64,
}
