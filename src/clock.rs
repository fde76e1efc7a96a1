//! Time: whole microseconds on the monotonic clock, and the one place that turns Unix times into it.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time since the program's start, or a duration, in microseconds. Points before the start
/// (an engine that has run for long) are below 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub i64);

impl Micros {
    /// From milliseconds, as the module counts; what no clock holds is cut down to a day either way.
    pub fn from_ms(ms: f64) -> Micros {
        const DAY_MS: f64 = 86_400_000.0;
        Micros((ms.clamp(-DAY_MS, DAY_MS) * 1000.0) as i64)
    }

    /// In milliseconds, as the module counts.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// As a duration; 0 where it is negative.
    pub fn to_duration(self) -> Duration {
        Duration::from_micros(self.0.max(0).unsigned_abs())
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// The program's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    origin_unix_us: i64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix_us: i64::try_from(unix.as_micros()).unwrap_or(i64::MAX) }
    }

    /// A seed for where none is told: no two starts have the same.
    pub fn seed(&self) -> u64 {
        self.origin_unix_us.unsigned_abs()
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        Micros(i64::try_from(self.origin.elapsed().as_micros()).unwrap_or(i64::MAX))
    }

    /// The Unix time now, in microseconds.
    pub fn unix_us(&self) -> u64 {
        self.unix_us_of(self.now())
    }

    /// The Unix time of a point in time, in microseconds.
    pub fn unix_us_of(&self, at: Micros) -> u64 {
        self.origin_unix_us.saturating_add(at.0).unsigned_abs()
    }

    /// The Unix time now, in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.unix_us() / 1000
    }

    /// The instant of a point in time, for the runtime's timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + at.to_duration()
    }

    /// The point in time of a Unix time in milliseconds.
    pub fn from_unix_ms(&self, unix_ms: i64) -> Micros {
        Micros(unix_ms.saturating_mul(1000).saturating_sub(self.origin_unix_us))
    }
}
