//! Time in whole microseconds of the monotonic clock, and its conversion from and to Unix time.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time, counted from the program's start, or a duration, in microseconds. Points in time before the start
/// are negative, for example the start of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub i64);

impl Micros {
    /// Converts from milliseconds, the unit of the decision module. The value is limited to one day in either
    /// direction.
    pub fn from_ms(ms: f64) -> Micros {
        const DAY_MS: f64 = 86_400_000.0;
        Micros((ms.clamp(-DAY_MS, DAY_MS) * 1000.0) as i64)
    }

    /// Converts to milliseconds, the unit of the decision module.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Converts to a [`Duration`]. A negative value becomes 0.
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

/// The program's clock. It is monotonic: Unix time is read once, at the start, so later steps of the system clock
/// have no effect.
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

    /// Returns the seed of random numbers that applies if none is configured. It is the time of the start, so it
    /// differs between starts.
    pub fn seed(&self) -> u64 {
        self.origin_unix_us.unsigned_abs()
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        Micros(i64::try_from(self.origin.elapsed().as_micros()).unwrap_or(i64::MAX))
    }

    /// Returns the current Unix time, in microseconds.
    pub fn unix_us(&self) -> u64 {
        self.unix_us_of(self.now())
    }

    /// Returns the Unix time of a point in time, in microseconds.
    pub fn unix_us_of(&self, at: Micros) -> u64 {
        self.origin_unix_us.saturating_add(at.0).unsigned_abs()
    }

    /// Returns the current Unix time, in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.unix_us() / 1000
    }

    /// Converts a point in time to an [`Instant`], for the runtime's timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + at.to_duration()
    }

    /// Converts a Unix time in milliseconds to a point in time.
    pub fn from_unix_ms(&self, unix_ms: i64) -> Micros {
        Micros(unix_ms.saturating_mul(1000).saturating_sub(self.origin_unix_us))
    }
}
