//! When connections part.

use super::*;

/// Guards against connections that are closed although the drain was taken back, or never told.
#[tokio::test(start_paused = true)]
async fn connections_part_after_a_drain_and_not_after_it_is_taken_back() {
    let lifecycle = LifecycleHandle::new(ListenSocket::Exclusive);
    for event in [Event::EngineListLoaded, Event::EnginesChecked, Event::Quiesce] {
        lifecycle.apply(event).unwrap();
    }
    let short = Duration::from_millis(400);
    assert!(tokio::time::timeout(short, lifecycle.close_idle()).await.is_err(), "too soon");
    lifecycle.apply(Event::Resume).unwrap();
    assert!(tokio::time::timeout(10 * PART_AFTER, lifecycle.close_idle()).await.is_err(), "taken back");
    lifecycle.apply(Event::Quiesce).unwrap();
    assert!(tokio::time::timeout(2 * PART_AFTER, lifecycle.close_idle()).await.is_ok());
}
