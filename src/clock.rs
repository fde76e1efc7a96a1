//! Time: whole microseconds on the monotonic clock, and its conversion from and to Unix time.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time since the program's start, or a duration, in microseconds. Points before the start, for example
/// the start of an engine, are negative.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub i64);

impl Micros {
    /// From milliseconds, the unit of the decision module; limited to a day in either direction.
    pub fn from_ms(ms: f64) -> Micros {
        const DAY_MS: f64 = 86_400_000.0;
        Micros((ms.clamp(-DAY_MS, DAY_MS) * 1000.0) as i64)
    }

    /// In milliseconds, the unit of the decision module.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// As a duration; a negative one becomes 0.
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

/// The program's clock: monotonic, and related to Unix time once, at the start.
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

    /// A seed for random numbers where none is configured: the time of the start, so another at each start.
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

    /// A point in time as an instant, for the runtime's timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + at.to_duration()
    }

    /// The point in time at a Unix time in milliseconds.
    pub fn from_unix_ms(&self, unix_ms: i64) -> Micros {
        Micros(unix_ms.saturating_mul(1000).saturating_sub(self.origin_unix_us))
    }
}
