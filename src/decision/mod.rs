//! Scheduling of requests: when and on which engine each request runs, and which final answer it gets if it
//! cannot be served.
//!
//! A *manager* is one process of this program. Several managers share a fleet of query engines and do not
//! coordinate their decisions. Each has one [`Scheduler`], a state machine without I/O and without a clock:
//! the embedding program passes in each [`Event`] with its time, and applies the [`Action`]s that result.
//!
//! ```text
//!                      ┌─ Request ──────────> admission ───────────────────────> queues
//!                      ├─ AttemptLost ──────> lost_attempts ──> outliers, or a final answer
//!                      ├─ AttemptEnded ─────> attempts ──> classes, outliers ──> queues, or a final answer
//!  Event ─> scheduler ─┼─ EngineList ───────> engines ───> slow_start
//!                      ├─ HealthChecked ────> health_checks ──> load_reports, outliers
//!                      ├─ Tenant ───────────> tenants
//!                      └─ Timer ────────────> upkeep ──> traffic, alpha, health_checks, shedding
//!
//!  after every event:
//!
//!  queues ──> dispatch ────────────> engine_selection ─────> attempts ──> Action::Send
//!             side by probability    guard rules, capacity,
//!             alpha, fair rotation   two-choice selection
//!
//!  a request that cannot be served, or not in time ─────> completion ──> Action::Reject or Action::Fail
//! ```
//!
//! # Terms
//!
//! - *Attempt*: one execution of a request on an engine. A request has at most one attempt in flight.
//! - *Sensitive* class: a class with a sub-second latency objective. Its requests are sent in order of due
//!   time, which is the arrival time plus the latency budget minus the service time. The latency budget is
//!   the mean latency at which the stream's disengagement is at its target.
//! - *Best-effort* class: any other class. Its requests are sent in fair rotation among tenants.
//! - *Stream*: the completions of one tenant's requests of one class.
//! - *Disengagement*: the cost of a late answer to its client, from 0 (within the latency objective) over one
//!   half (after it) to 1 (after the deadline, or no answer).
//! - *Alpha*: the probability that a free slot goes to the sensitive side instead of the best-effort side.
//! - *Slowdown* of an engine and *stretch* of answers: the latency of answers divided by their latency on an
//!   idle engine.
//! - *Cap*: the maximum number of threads that this manager uses on an engine under pressure (saturated or
//!   congested).
//! - *Below the minimum cap*: with many managers, one manager's fraction of an engine is less than the
//!   minimum cap. Such a manager is not bound by caps and uses fresh load reports instead.
//!
//! The engine of an attempt is the less loaded of two random engines that have capacity. The mechanism is
//! described in the paper "User Disengagement-Oriented Target Enforcement for Multi-Tenant Database Systems";
//! the design page names it as well. Constants of the paper, and of the design page, are marked as such.
//!
//! # Structure
//!
//! Each module covers one concern, with its own state struct and its constants at the top. Operations on the
//! whole scheduler are in the `impl Scheduler` block of each module. Random numbers, actions and
//! floating-point operations have a fixed order: the same events with the same seed produce identical output.
//!
//! # Operating rules
//!
//! Comments refer to these rules by number. They summarize the operating rules in the platform's description
//! of its wire protocol.
//!
//! 1. Never lose a request: each gets exactly one final answer, in time.
//! 2. Never duplicate an effect: a request that was possibly executed is repeated, or rejected, only if that
//!    is safe.
//! 3. Drain safely: an engine that is draining or removed gets no new attempts.
//! 4. Fail back safely: an engine that is warming up is sent no more than its budget.
//! 5. Preserve order per key: requests of one order key run one at a time, in order of arrival.
//! 6. Respect placement: a class runs only on the kinds of machine and in the zones that it permits.
//! 7. Limit retries: they stay within the retry budget.

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
mod health_checks;
mod latency_budget;
pub mod learned_state;
mod load_reports;
mod lost_attempts;
mod ordered_queues;
mod outliers;
mod requests;
mod retry_policy;
mod scheduler;
mod shedding;
mod slow_start;
mod tenants;
#[cfg(test)]
mod tests;
mod timers;
mod traffic;
mod types;
mod upkeep;

pub use scheduler::Scheduler;
pub use types::*;
