//! Counts within a window of time, and the mean latencies that follow from them.

/// Outcomes of calls and the load that they caused. Loads and latencies are relative to a target, so that
/// different kinds of calls can be added up.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct LoadWindow {
    /// Number of responses.
    pub responses: f64,
    /// Number of calls that were dropped.
    pub drops: f64,
    /// Number of calls that timed out.
    pub timeouts: f64,
    elapsed_ms: f64,
    server_ms: f64,
    load_ms: f64,
    latency: f64,
}

impl LoadWindow {
    /// Records a response with a relative latency.
    pub fn record_response(&mut self, relative_latency: f64) {
        self.responses += 1.0;
        self.latency += relative_latency;
    }

    /// Advances the window by a time with `servers` servers and a relative load in flight.
    pub fn advance(&mut self, elapsed_ms: f64, servers: f64, relative_load: f64) {
        self.elapsed_ms += elapsed_ms;
        self.server_ms += elapsed_ms * servers;
        self.load_ms += elapsed_ms * relative_load;
    }

    /// Returns the time that the window covers.
    pub fn elapsed_ms(self) -> f64 {
        self.elapsed_ms
    }

    /// Returns the number of calls that had an outcome.
    pub fn outcomes(self) -> f64 {
        self.responses + self.drops + self.timeouts
    }

    /// Returns the responses per server and millisecond.
    pub fn responses_per_server_ms(self) -> f64 {
        self.responses / self.server_ms
    }

    /// Returns the mean relative latency by Little's law: load in flight divided by the rate of responses.
    pub fn latency_by_load(self) -> f64 {
        self.load_ms / self.responses.max(1.0)
    }

    /// Returns the mean relative latency of the responses.
    pub fn latency_by_responses(self) -> f64 {
        self.latency / self.responses.max(1.0)
    }
}
