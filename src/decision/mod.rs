//! The decisions of a gateway: when and on which engine each request runs, and how it ends.
//!
//! [`Gateway`] is a state machine without I/O and without a clock: events go in with their time, actions come out.
//!
//! ```text
//!                    ┌─ Request ──────────> admission ───────────────────────> queues
//!                    ├─ AttemptLost ──────> lost_attempts ──> outliers, or an answer
//!                    ├─ AttemptEnded ─────> attempts ──> classes, outliers ──> queues, or an answer
//!  Event ─> gateway ─┼─ EngineList ───────> engines ───> slow_start
//!                    ├─ HealthChecked ────> health_checks ──> load_reports, outliers
//!                    ├─ Tenant ───────────> tenants
//!                    └─ Timer ────────────> upkeep ──> traffic, alpha, health_checks, shedding
//!
//!  and after every event:
//!
//!  queues ──> dispatch ────────> engine_selection ─────> attempts ──> Action::Send
//!             alpha's draw,      guard rules, capacity,
//!             fair rotation      two-choice pick
//!
//!  a request that cannot be served, or not in time ─────> completion ──> Action::Reject or Action::Fail
//! ```
//!
//! On the ordinary path a request of a *sensitive* (sub-second) class is due at its arrival plus its latency budget
//! less its service time; all other requests are *best effort* and go in fair rotation among tenants. Alpha splits
//! free slots between the two, a cap on the threads of one engine binds under pressure, and of two random engines
//! the less loaded one is taken. The mechanism is that of the paper named on the design page, "User
//! Disengagement-Oriented Target Enforcement for Multi-Tenant Database Systems"; a constant says where it is ours.
//!
//! Each module has one concern, its own state struct, and its constants at the top. What a module does on the whole
//! gateway stands in its `impl Gateway` block. Random draws, actions and floating-point operations have a fixed
//! order: the same events with the same seed give the same bytes.
//!
//! The numbered rules that comments refer to are the operating rules of the platform's wire description, in short:
//! 1. never lose a request: each has one final answer, in time;
//! 2. never double an effect: what may have been executed is repeated, or rejected, only where that does no harm;
//! 3. drain safely: an engine that drains, or is removed, gets nothing new;
//! 4. fail back safely: an engine that is warming up is sent no more than its budget;
//! 5. keep order per key: requests of one key run one at a time, in order of arrival;
//! 6. send only where allowed: a class runs only on the kinds of machine and in the zones that it names;
//! 7. budget for attempts: retries stay within their budget.

mod admission;
mod alpha;
mod attempts;
mod bounds;
mod capacity;
mod classes;
mod completion;
mod data_set_locks;
mod dispatch;
mod engine_selection;
mod engines;
mod gateway;
mod health_checks;
mod latency_budget;
pub mod learned_state;
mod load_reports;
mod lost_attempts;
mod ordered_queues;
mod outliers;
mod requests;
mod retry_policy;
mod shedding;
mod slow_start;
mod tenants;
#[cfg(test)]
mod tests;
mod timers;
mod traffic;
mod types;
mod upkeep;

pub use gateway::Gateway;
pub use types::*;
