//! Statistics for the decision module: sliding windows of completions and their moments, counts of recent events,
//! sums of load, and the generalized exponential distribution of latencies with a given coefficient of variation (CV).
//! The crate reads no clock; the caller passes all times.
//!
//! ```
//! use sanddyke_statistics::{ServedTimes, Window};
//!
//! let mut window = Window::new(100);
//! window.push(1.0, Some(ServedTimes { latency_ms: 30.0, service_ms: 20.0 }), 0.0);
//! window.push(2.0, Some(ServedTimes { latency_ms: 50.0, service_ms: 20.0 }), 1.0);
//! let moments = window.moments().unwrap();
//! assert_eq!((moments.mean_ms, moments.service_ms, moments.cost), (40.0, 20.0, 0.5));
//! assert_eq!(moments.cv, 0.25);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod generalized_exponential;
mod load;
mod step_cache;
#[cfg(test)]
mod tests;
mod timeline;
mod window;

pub use generalized_exponential::GeneralizedExponential;
pub use load::Load;
pub use step_cache::StepCache;
pub use timeline::Timeline;
pub use window::{Moments, ServedTimes, Window};
