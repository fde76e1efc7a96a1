//! What the mechanism measures with: sliding windows of completions and their moments, points in time, loads, and the
//! generalized exponential law of latencies with a given coefficient of variation (CV). No clock: times come in.
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

mod law;
mod load;
mod step_cache;
#[cfg(test)]
mod tests;
mod timeline;
mod window;

pub use law::GeneralizedExponential;
pub use load::Load;
pub use step_cache::StepCache;
pub use timeline::Timeline;
pub use window::{Moments, ServedTimes, Window};
