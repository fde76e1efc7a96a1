//! The lifecycle of the program ([`sanddyke_lifecycle`]), shared by its tasks. Accept loops and health checks read it,
//! signals and the operations endpoint change it, and connections wait for the phase in which they have to close.

use sanddyke_lifecycle::{Event, Lifecycle, ListenSocket, Phase, TransitionError};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Delay between the start of a drain or shutdown and the close of idle connections. A request that arrives before
/// the close is answered and its connection is closed with the response, so fewer requests are lost to a close.
/// Clients stop within 0.3 s: they check health ten times a second and stop 0.2 s after a failed check.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Time after SIGTERM for which clients still use a socket that closes with the process. On the platform they open
/// connections for 0.4 s and send requests on open connections for another 0.2 s; the rest is a margin.
const CLIENT_SWITCH_TIME: Duration = Duration::from_millis(800);

/// Maximum of connections in a listener's backlog. It is the value that tokio sets.
const LISTEN_BACKLOG: usize = 1024;

/// The lifecycle and the time of its last phase change.
#[derive(Debug, Clone, Copy)]
struct TimedLifecycle {
    lifecycle: Lifecycle,
    phase_since: Instant,
}

/// The lifecycle of the program, with counts of unanswered requests and open connections. Clones share one lifecycle.
#[derive(Debug, Clone)]
pub struct LifecycleHandle {
    current: Arc<watch::Sender<TimedLifecycle>>,
    unanswered_requests: Arc<AtomicUsize>,
    open_connections: Arc<AtomicUsize>,
    undelivered_results: Arc<AtomicUsize>,
}

/// Counts a request without a complete answer, a connection on which a request may arrive, or a result of which a client
/// may still fetch pages, until it is dropped. A graceful shutdown waits for all of them.
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
    /// Creates the lifecycle of a program that has just started.
    pub fn new(socket: ListenSocket) -> LifecycleHandle {
        let initial = TimedLifecycle { lifecycle: Lifecycle::new(socket), phase_since: Instant::now() };
        LifecycleHandle {
            current: Arc::new(watch::Sender::new(initial)),
            unanswered_requests: Arc::default(),
            open_connections: Arc::default(),
            undelivered_results: Arc::default(),
        }
    }

    /// Applies an event and returns the phase after it.
    ///
    /// # Errors
    /// The current phase does not allow the event.
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
            Some(phase) => log::info!("lifecycle: phase is {phase} after {event:?}"),
            None => log::debug!("lifecycle: {event:?} does not change the phase"),
        }
        Ok(self.phase())
    }

    fn lifecycle(&self) -> Lifecycle {
        self.current.borrow().lifecycle
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.lifecycle().phase()
    }

    /// Returns whether health checks report the service as ready.
    pub fn is_ready(&self) -> bool {
        self.lifecycle().is_ready()
    }

    /// Returns whether the program is shutting down or has ended.
    pub fn is_shutting_down(&self) -> bool {
        self.lifecycle().is_shutting_down()
    }

    /// Returns whether new connections are accepted.
    pub fn accepts_connections(&self) -> bool {
        self.lifecycle().accepts_connections()
    }

    /// Returns whether a connection stays open after a response, for its client's next request.
    pub fn keeps_idle_connections(&self) -> bool {
        self.lifecycle().keeps_idle_connections()
    }

    /// Waits until idle connections have to be closed.
    pub async fn wait_for_idle_close(&self) {
        self.wait_for(|phase| match phase {
            Phase::Starting | Phase::Ready => None,
            Phase::Stopping => Some(CLIENT_SWITCH_TIME),
            Phase::Drained | Phase::HandedOver | Phase::Ended => Some(IDLE_CLOSE_DELAY),
        })
        .await;
    }

    /// Waits until the accept loops have to stop. On a shared socket that is the start of the shutdown, on an
    /// exclusive one the time by which clients have stopped connecting. Returns the maximum of connections in the
    /// backlog that no other process accepts.
    pub async fn wait_for_accept_stop(&self) -> usize {
        self.wait_for(|phase| match phase {
            Phase::Starting | Phase::Ready | Phase::Drained => None,
            Phase::Stopping => Some(CLIENT_SWITCH_TIME),
            Phase::HandedOver | Phase::Ended => Some(Duration::ZERO),
        })
        .await;
        if self.phase() == Phase::Stopping { LISTEN_BACKLOG } else { 0 }
    }

    /// Waits until the current phase has lasted for the time that `delay` returns for it. A phase for which it returns
    /// `None` does not end the wait.
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
                // Never an error: `self` owns the sender, so it exists for as long as this future.
                _ = changes.changed() => {}
            }
        }
    }

    /// Counts a request as unanswered until the guard is dropped.
    pub fn track_request(&self) -> OpenGuard {
        OpenGuard::new(&self.unanswered_requests)
    }

    /// Returns the number of requests that were read and have no complete answer yet.
    pub fn unanswered_requests(&self) -> usize {
        self.unanswered_requests.load(Ordering::Relaxed)
    }

    /// Counts a connection on which a request may arrive, until the guard is dropped.
    pub fn track_connection(&self) -> OpenGuard {
        OpenGuard::new(&self.open_connections)
    }

    /// Returns the number of connections on which a request may arrive.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Counts a result of which a client may still fetch pages, until the guard is dropped.
    pub fn track_result(&self) -> OpenGuard {
        OpenGuard::new(&self.undelivered_results)
    }

    /// Returns the number of results of which clients may still fetch pages.
    pub fn undelivered_results(&self) -> usize {
        self.undelivered_results.load(Ordering::Relaxed)
    }

    /// Waits until a graceful shutdown begins.
    pub async fn wait_for_shutdown(&self) {
        self.wait_for(|phase| {
            matches!(phase, Phase::Stopping | Phase::HandedOver | Phase::Ended).then_some(Duration::ZERO)
        })
        .await;
    }

    /// Waits until clients no longer send requests to this process, once it shuts down and its socket closes with it.
    pub async fn wait_for_client_switch(&self) {
        self.wait_for(|phase| (phase == Phase::Stopping).then_some(CLIENT_SWITCH_TIME)).await;
    }
}

#[cfg(test)]
mod tests;
