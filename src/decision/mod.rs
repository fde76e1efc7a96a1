//! The decisions of a gateway: when and on which engine each request runs, and how it ends.
//!
//! [`Gateway`] is a state machine without I/O and without a clock: events go in with their time, actions come out.
//!
//! ```text
//!   Event ──> gateway ──┬─ Request ────────> admission ──────────────┐
//!                       ├─ EngineList ─────> engines ── slow_start   │
//!                       ├─ Tenant ─────────> tenants                 ├──> dispatch ──> engine_selection ──> attempts
//!                       ├─ AttemptEnded ───> attempts ── classes     │      (queues,      (two-choice pick,    (Send)
//!                       │                        └─ outliers         │       alpha)        guard rules)
//!                       ├─ HealthChecked ──> health_checks           │
//!                       │                        └─ load_reports     │
//!                       └─ Timer ──────────> upkeep ── alpha, rates  │
//!                                                └─ shedding ────────┴──> completion ──> Reject or Fail
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
//! The numbered rules that comments refer to are the platform's:
//! 1. a request ends in time, and nothing is sent for it past its deadline;
//! 2. nothing that is not idempotent is executed twice;
//! 3. a request runs only on engines and in zones that its class allows, and only on engines that are ready;
//! 4. an engine that is warming up is not sent more than its budget;
//! 5. requests of one order key run in order of arrival, one at a time;
//! 6. an engine that drains, or is gone, gets nothing new;
//! 7. retries stay within their budget.

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
