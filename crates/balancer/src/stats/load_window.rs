//! What was counted within a window of time, and the mean latencies that follow from it.

/// Outcomes of calls, and the load that they made. Loads and latencies are relative to a target, so that those
/// of different kinds of calls add up.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct LoadWindow {
    /// Responses.
    pub responses: f64,
    /// Calls that were dropped.
    pub drops: f64,
    /// Calls that timed out.
    pub timeouts: f64,
    elapsed_ms: f64,
    server_ms: f64,
    load_ms: f64,
    latency: f64,
}

impl LoadWindow {
    /// A response came after a relative latency.
    pub fn record_response(&mut self, relative_latency: f64) {
        self.responses += 1.0;
        self.latency += relative_latency;
    }

    /// Time passed with so many servers and so much relative load in flight.
    pub fn advance(&mut self, elapsed_ms: f64, servers: f64, relative_load: f64) {
        self.elapsed_ms += elapsed_ms;
        self.server_ms += elapsed_ms * servers;
        self.load_ms += elapsed_ms * relative_load;
    }

    /// How long it has lasted.
    pub fn elapsed_ms(self) -> f64 {
        self.elapsed_ms
    }

    /// How many calls had an outcome.
    pub fn outcomes(self) -> f64 {
        self.responses + self.drops + self.timeouts
    }

    /// Responses of a server in a millisecond.
    pub fn responses_per_server_ms(self) -> f64 {
        self.responses / self.server_ms
    }

    /// The mean relative latency by Little's law: load in flight over the rate of responses.
    pub fn latency_by_load(self) -> f64 {
        self.load_ms / self.responses.max(1.0)
    }

    /// The mean relative latency of the responses.
    pub fn latency_by_responses(self) -> f64 {
        self.latency / self.responses.max(1.0)
    }
}
