//! Commands to a connection whose queue is full.

use super::*;

fn cancel(number: u32) -> EndpointCommand {
    EndpointCommand::Cancel { attempt: AttemptId { request: 1, number }, confirm: true }
}

/// Guards against an attempt that stays in flight because its cancellation was dropped from a full queue.
#[tokio::test]
async fn cancellation_waits_for_capacity_of_a_full_queue() {
    let (queue, mut commands) = mpsc::channel(1);
    send_when_possible(&queue, EndpointCommand::HealthCheck);
    send_when_possible(&queue, cancel(7));
    assert!(matches!(commands.recv().await, Some(EndpointCommand::HealthCheck)));
    let second = commands.recv().await;
    assert!(
        matches!(&second, Some(EndpointCommand::Cancel { attempt, .. }) if attempt.number == 7),
        "{second:?}"
    );
}
