//! Formats the scheduler's actions as lines of the simulator's protocol.

use sanddyke::{Action, RequestId};
use std::fmt::Write;

/// Appends an action's line to a reply. `requests` are the client request ids of the instance, indexed by request id.
pub fn write_action(reply: &mut String, instance: u64, requests: &[String], action: &Action) {
    let name = |id: &RequestId| requests[id.0 as usize].as_str();
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { request, engine, timeout_ms } => {
            writeln!(reply, "ROUTE {instance} {} {} {timeout_ms:.3}", name(request), engine.0)
        }
        Action::SetAttemptOptions { request, memory_mb, priority } => {
            writeln!(reply, "LIMITS_FOR {instance} {} {memory_mb:.3} {priority}", name(request))
        }
        Action::Reject { request, retry_after_ms } => {
            writeln!(reply, "TURN_AWAY {instance} {} {retry_after_ms:.3}", name(request))
        }
        Action::Fail(request) => writeln!(reply, "REPORT_FAILURE {instance} {}", name(request)),
        Action::Cancel { request, attempt } => {
            writeln!(reply, "ABANDON {instance} {} {attempt}", name(request))
        }
        Action::HealthCheck(engine) => writeln!(reply, "HEALTH_CHECK {instance} {}", engine.0),
        Action::Timer { token, after_ms } => writeln!(reply, "REMIND {instance} {token} {after_ms:.3}"),
        Action::Subscribe => writeln!(reply, "WATCH {instance} 1"),
        Action::Log(message) => writeln!(reply, "REMARK {instance} {message}"),
    };
}
