//! The close of idle connections during a drain.

use super::*;

/// Guards against idle connections that close after the drain has ended, and against ones that never close during a
/// drain.
#[tokio::test(start_paused = true)]
async fn idle_connections_close_during_a_drain_and_not_after_it_has_ended() {
    let lifecycle = LifecycleHandle::new(ListenSocket::Exclusive);
    for event in [Event::EngineListLoaded, Event::EnginesChecked, Event::Quiesce] {
        lifecycle.apply(event).unwrap();
    }
    let short = Duration::from_millis(400);
    assert!(tokio::time::timeout(short, lifecycle.wait_for_idle_close()).await.is_err(), "too soon");
    lifecycle.apply(Event::Resume).unwrap();
    assert!(
        tokio::time::timeout(10 * IDLE_CLOSE_DELAY, lifecycle.wait_for_idle_close()).await.is_err(),
        "the drain has ended"
    );
    lifecycle.apply(Event::Quiesce).unwrap();
    assert!(tokio::time::timeout(2 * IDLE_CLOSE_DELAY, lifecycle.wait_for_idle_close()).await.is_ok());
}
