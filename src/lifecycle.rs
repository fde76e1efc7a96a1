//! The program's lifecycle ([`sanddyke_lifecycle`]) as its tasks share it: accept loops and health checks read it,
//! signals and the operations endpoint change it, and connections wait here until they are to close.

use sanddyke_lifecycle::{Event, Lifecycle, ListenSocket, Phase, TransitionError};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// An idle connection is closed this long after clients were first asked to go elsewhere. Until then a request on it
/// is answered, and the connection closes with the answer: fewer requests cross a close. Clients stop within 0.3 s
/// (they check health ten times a second, and stop 0.2 s after).
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Where the socket closes with the process, clients still use it this long after SIGTERM: on the platform they open
/// connections for 0.4 s and send requests on open ones for a further 0.2 s; the rest is a margin.
const CLIENT_SWITCH_TIME: Duration = Duration::from_millis(800);

/// Connections that the system queues for a listener (the backlog of tokio's own sockets).
const LISTEN_BACKLOG: usize = 1024;

/// The lifecycle, and when its phase last changed.
#[derive(Debug, Clone, Copy)]
struct TimedLifecycle {
    lifecycle: Lifecycle,
    phase_since: Instant,
}

/// The lifecycle of the program, and what is still open in it. Clones share one lifecycle.
#[derive(Debug, Clone)]
pub struct LifecycleHandle {
    current: Arc<watch::Sender<TimedLifecycle>>,
    unanswered_requests: Arc<AtomicUsize>,
    open_connections: Arc<AtomicUsize>,
}

/// Counts something that must end before the program does: a request without its complete answer, or a connection
/// that may still bring one. It counts until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(count: &Arc<AtomicUsize>) -> OpenGuard {
        count.fetch_add(1, Ordering::Relaxed);
        OpenGuard(count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LifecycleHandle {
    /// The lifecycle of a program that has just started.
    pub fn new(socket: ListenSocket) -> LifecycleHandle {
        let initial = TimedLifecycle { lifecycle: Lifecycle::new(socket), phase_since: Instant::now() };
        LifecycleHandle {
            current: Arc::new(watch::Sender::new(initial)),
            unanswered_requests: Arc::default(),
            open_connections: Arc::default(),
        }
    }

    /// Applies an event, and gives the phase after it.
    ///
    /// # Errors
    /// Where the present phase does not allow the event.
    pub fn apply(&self, event: Event) -> Result<Phase, TransitionError> {
        let mut result = Ok(None);
        self.current.send_if_modified(|current| {
            result = current.lifecycle.apply(event);
            let changed = matches!(result, Ok(Some(_)));
            if changed {
                current.phase_since = Instant::now();
            }
            changed
        });
        match result? {
            Some(phase) => log::info!("lifecycle: {phase}, by {event:?}"),
            None => log::debug!("lifecycle: {event:?} changes nothing"),
        }
        Ok(self.phase())
    }

    fn lifecycle(&self) -> Lifecycle {
        self.current.borrow().lifecycle
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.lifecycle().phase()
    }

    /// Whether a health check finds the service ready.
    pub fn is_ready(&self) -> bool {
        self.lifecycle().is_ready()
    }

    /// Whether the program shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.lifecycle().is_shutting_down()
    }

    /// Whether new connections are accepted.
    pub fn accepts_connections(&self) -> bool {
        self.lifecycle().accepts_connections()
    }

    /// Whether a connection stays open for its client's next request.
    pub fn keeps_idle_connections(&self) -> bool {
        self.lifecycle().keeps_idle_connections()
    }

    /// Waits until an idle connection is to be closed.
    pub async fn wait_for_idle_close(&self) {
        self.wait_for(|phase| match phase {
            Phase::Starting | Phase::Ready => None,
            Phase::Stopping => Some(CLIENT_SWITCH_TIME),
            Phase::Drained | Phase::HandedOver | Phase::Ended => Some(IDLE_CLOSE_DELAY),
        })
        .await;
    }

    /// Waits until no new connections are to be accepted: where others accept on the socket, until the shutdown
    /// begins, else until clients have switched. Returns how many connections may still be in the socket's queue
    /// that no other process accepts.
    pub async fn wait_for_accept_stop(&self) -> usize {
        self.wait_for(|phase| match phase {
            Phase::Starting | Phase::Ready | Phase::Drained => None,
            Phase::Stopping => Some(CLIENT_SWITCH_TIME),
            Phase::HandedOver | Phase::Ended => Some(Duration::ZERO),
        })
        .await;
        if self.phase() == Phase::Stopping { LISTEN_BACKLOG } else { 0 }
    }

    /// Waits until the phase has lasted for the time that `delay` gives for it; a phase without one never ends the
    /// wait.
    async fn wait_for(&self, delay: impl Fn(Phase) -> Option<Duration>) {
        let mut changes = self.current.subscribe();
        loop {
            let current = *changes.borrow_and_update();
            let delay_over = async {
                match delay(current.lifecycle.phase()) {
                    Some(delay) => tokio::time::sleep_until(current.phase_since + delay).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = delay_over => return,
                // The sender is `self`'s, so it is not dropped before this ends.
                _ = changes.changed() => {}
            }
        }
    }

    /// Counts a request as unanswered until the guard is dropped.
    pub fn track_request(&self) -> OpenGuard {
        OpenGuard::new(&self.unanswered_requests)
    }

    /// Requests that were read and have no complete answer yet.
    pub fn unanswered_requests(&self) -> usize {
        self.unanswered_requests.load(Ordering::Relaxed)
    }

    /// Counts a connection that may bring a request, until the guard is dropped.
    pub fn track_connection(&self) -> OpenGuard {
        OpenGuard::new(&self.open_connections)
    }

    /// Connections that may bring a request.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
