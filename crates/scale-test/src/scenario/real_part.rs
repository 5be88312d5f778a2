//! How the real part is laid out, as the scenario file tells it.

use serde::Deserialize;

/// The real part's own figures.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RealPart {
    /// Seconds that each phase is measured.
    pub phase_s: f64,
    /// Hops a second through each real proxy.
    pub hops_per_s_per_proxy: f64,
    /// Depths of nested requests, of which each request draws one.
    pub depths: Vec<usize>,
    /// Simulated proxies to a process.
    #[serde(rename = "hollow_per_process")]
    pub simulated_per_process: usize,
    /// Milliseconds that a warm backend works on a request.
    pub work_ms: f64,
    /// The same at its start, from where it falls.
    pub cold_work_ms: f64,
    /// A request that is sent later than this after its instant, in milliseconds, counts as late.
    pub late_ms: f64,
    /// Share of the backends that may drain at once.
    pub draining_share: f64,
}
