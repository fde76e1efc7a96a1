//! Graceful shutdown: the server answers the requests that it has accepted and ends before the platform sends SIGKILL.

use super::Server;
use super::error::ServerError;
use sanddyke::clock::Micros;
use sanddyke::core::Input;
use sanddyke::decision::ClassSettings;
use sanddyke::service::ServiceEnded;
use sanddyke::state_handover;
use sanddyke_lifecycle::{Event, ListenSocket};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Upper limit of the class deadline from which the platform computes the time between SIGTERM and SIGKILL.
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);
/// The same limit where another process accepts on the same listening socket.
const MAX_COUNTED_DEADLINE_SHARED: Micros = Micros(5_000_000);
/// The platform sends SIGKILL this long after the counted deadline has passed.
const KILL_DELAY: Micros = Micros(700_000);
/// The part of [`KILL_DELAY`] that is reserved for the last responses to leave the machine.
const RESPONSE_RESERVE: Micros = Micros(200_000);
/// Interval at which the shutdown checks whether every request is answered.
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Limit for leaving the cluster. A lease that is not released by then expires.
const CLUSTER_LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the last responses to leave the machine before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// The time that the platform allows the process after SIGTERM.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownBudget {
    counted_deadline: Micros,
}

impl ShutdownBudget {
    /// Computes the budget from the longest deadline of the classes. The platform's limits apply where the platform
    /// runs the process; elsewhere a service manager waits for the longest deadline.
    pub fn new(classes: &[ClassSettings], socket: ListenSocket, on_platform: bool) -> ShutdownBudget {
        let deadlines = classes.iter().map(|class| Micros::from_ms(class.deadline_ms));
        let longest = deadlines.max().unwrap_or(MAX_COUNTED_DEADLINE);
        let counted_deadline = match (socket, on_platform) {
            (ListenSocket::Shared, _) => longest.min(MAX_COUNTED_DEADLINE_SHARED),
            (ListenSocket::Exclusive, true) => longest.min(MAX_COUNTED_DEADLINE),
            (ListenSocket::Exclusive, false) => longest,
        };
        ShutdownBudget { counted_deadline }
    }

    /// The time by which the last request must have its final answer.
    fn request_deadline(self, now: Micros) -> Micros {
        now + self.counted_deadline + KILL_DELAY - RESPONSE_RESERVE
    }
}

impl Server {
    /// Shuts down gracefully: waits until every accepted request is answered, or until the time runs out.
    pub async fn shut_down(mut self) -> Result<(), ServerError> {
        self.lifecycle.apply(Event::Terminate)?;
        let request_deadline = self.shutdown_budget.request_deadline(self.clock.now());
        self.service.notify(Input::ShutdownBy(request_deadline)).await?;
        if let Some(file) = self.peer_connections_file.take() {
            tokio::spawn(state_handover::publish_connections(file, self.clock, self.lifecycle.clone()));
        }
        self.complete_requests(request_deadline + Micros(RESPONSE_RESERVE.0 / 2)).await?;
        if let Some(cluster) = &self.cluster {
            // Leases are passed to other managers from SIGTERM on. After the leave message the other managers do not
            // have to wait until the remaining leases expire.
            let _left_or_timed_out = tokio::time::timeout(CLUSTER_LEAVE_TIMEOUT, cluster.leave()).await;
        }
        tokio::time::sleep(FLUSH_TIME).await;
        self.lifecycle.apply(Event::LastResponseSent)?;
        log::info!("graceful shutdown is complete");
        Ok(())
    }

    /// Waits until every request has its complete answer, at most until `deadline`.
    async fn complete_requests(&mut self, deadline: Micros) -> Result<(), ServiceEnded> {
        let accept_loops = std::mem::take(&mut self.accept_loops);
        let deadline = self.clock.instant(deadline);
        let completed = tokio::time::timeout_at(deadline.into(), self.all_answered(accept_loops)).await;
        let Ok(completed) = completed else {
            let unanswered_requests = self.lifecycle.unanswered_requests();
            log::warn!(unanswered_requests; "graceful shutdown timed out: some requests have no complete answer");
            return Ok(());
        };
        completed?;
        debug_assert_eq!(
            (self.lifecycle.unanswered_requests(), self.lifecycle.open_connections()),
            (0, 0),
            "no request and no connection is counted after a complete shutdown"
        );
        Ok(())
    }

    /// Returns once no more connections are accepted and every accepted request is answered. This includes a request
    /// that its client is still sending.
    async fn all_answered(&self, accept_loops: Vec<JoinHandle<()>>) -> Result<(), ServiceEnded> {
        if self.socket == ListenSocket::Exclusive {
            self.lifecycle.wait_for_client_switch().await;
            self.service.notify(Input::RejectNew).await?;
        }
        for accept_loop in accept_loops {
            // The loop ends when connections are no longer accepted. By then it has accepted the listener's whole
            // backlog.
            if let Err(error) = accept_loop.await {
                log::error!("accept loop panicked: {error}");
            }
        }
        while !self.is_idle().await? {
            tokio::time::sleep(COMPLETION_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Whether no request is open, no connection is left on which one may arrive, and no result has pages to be fetched.
    async fn is_idle(&self) -> Result<bool, ServiceEnded> {
        let open_requests = self.service.open_requests().await?;
        Ok(open_requests == 0
            && self.lifecycle.unanswered_requests() == 0
            && self.lifecycle.open_connections() == 0
            && self.lifecycle.undelivered_results() == 0)
    }
}
