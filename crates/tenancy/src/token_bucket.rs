//! A token bucket that tells each rejected client when there will be a token for it.

use crate::rejection::MAX_RETRY_AFTER_US;

/// A token bucket that also reserves: each rejected client is given a later token of its own, so that those who are told
/// to come back do not all come for the same one.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    /// Tokens that rejected clients were told to come back for.
    reserved: f64,
    updated_us: i64,
}

impl TokenBucket {
    /// A bucket that is full, whatever its depth will be.
    pub fn full() -> TokenBucket {
        TokenBucket { tokens: f64::INFINITY, ..TokenBucket::default() }
    }

    /// Takes a token. `rate` is in tokens a second, `burst` is the depth.
    ///
    /// # Errors
    /// There is none: how long until there is one for this client, in microseconds.
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
        // Beyond the longest advice all clients get the same one: reservations need not go further.
        self.reserved = (self.reserved + 1.0).min(rate * MAX_RETRY_AFTER_US as f64 / 1e6);
        Err(wait_us)
    }
}
