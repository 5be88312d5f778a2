//! A token bucket.

/// Tokens that are added up to a capacity and taken one at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at_ms: f64,
}

impl TokenBucket {
    /// Creates a bucket with some tokens; [`f64::MAX`] makes it full, whatever its capacity will be.
    pub fn with_tokens(tokens: f64) -> Self {
        TokenBucket { tokens, refilled_at_ms: 0.0 }
    }

    /// Adds tokens up to the capacity.
    pub fn add_tokens(&mut self, tokens: f64, capacity: f64) {
        self.tokens = (self.tokens + tokens).min(capacity);
    }

    /// Adds the tokens of a rate for the time since the last call.
    pub fn refill(&mut self, now_ms: f64, rate_per_s: f64, capacity: f64) {
        self.add_tokens(rate_per_s * (now_ms - self.refilled_at_ms) / 1000.0, capacity);
        self.refilled_at_ms = now_ms;
    }

    /// Returns whether there is a whole token.
    pub fn has_token(self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token, which may leave a negative balance.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Takes a token if there is a whole one; returns whether it was taken.
    pub fn try_take(&mut self) -> bool {
        let is_taken = self.has_token();
        if is_taken {
            self.take();
        }
        is_taken
    }

    /// Returns a token that was taken earlier.
    pub fn return_token(&mut self) {
        self.tokens += 1.0;
    }
}
