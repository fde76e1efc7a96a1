//! A token bucket that reports to each rejected client when a token will be available for it.

use crate::rejection::MAX_RETRY_AFTER_US;

/// A token bucket with advisory reservations. Each rejected client is advised of the time of a later token of its own, so
/// that rejected clients do not all retry for the same token.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    /// Future tokens that rejected clients were advised to retry for.
    reserved: f64,
    updated_us: i64,
}

impl TokenBucket {
    /// A bucket that is full at any depth; [`TokenBucket::take`] limits the tokens to the depth.
    pub fn full() -> TokenBucket {
        TokenBucket { tokens: f64::INFINITY, ..TokenBucket::default() }
    }

    /// Takes a token. `rate` is in tokens per second, `burst` is the depth in tokens.
    ///
    /// # Errors
    /// No token is available. The value is the time until one is available for this client, in microseconds.
    pub fn take(&mut self, now_us: i64, rate: f64, burst: f64) -> Result<(), f64> {
        let gained = (now_us - self.updated_us).max(0) as f64 / 1e6 * rate;
        self.updated_us = self.updated_us.max(now_us);
        self.tokens = (self.tokens + gained).min(burst);
        self.reserved = (self.reserved - gained).max(0.0);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_us = (1.0 - self.tokens + self.reserved) / rate * 1e6;
        // Retry advice is limited to `MAX_RETRY_AFTER_US`, so that reservations beyond it have no effect.
        self.reserved = (self.reserved + 1.0).min(rate * MAX_RETRY_AFTER_US as f64 / 1e6);
        Err(wait_us)
    }
}
