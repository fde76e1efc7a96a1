//! Graceful shutdown: the server answers what it has accepted and ends before the platform ends it by force.

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

/// The platform counts a longer deadline as this one when it decides how long a process has after SIGTERM.
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);
/// The same where another process accepts on the clients' socket.
const MAX_COUNTED_DEADLINE_SHARED: Micros = Micros(5_000_000);
/// The platform sends SIGKILL this long after the counted deadline.
const KILL_DELAY: Micros = Micros(700_000);
/// Of that, so much is reserved for answers to leave the machine.
const RESPONSE_RESERVE: Micros = Micros(200_000);
/// Time between two looks whether everything is answered.
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The cluster's leases are released by then, or expire by themselves.
const CLUSTER_LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which the last answers leave the machine.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// How long the process has after SIGTERM, as the platform counts it.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownBudget {
    counted_deadline: Micros,
}

impl ShutdownBudget {
    /// The budget for these classes. The platform's limits bind where it runs the process; elsewhere a service
    /// manager waits for the longest deadline.
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

    /// When the last request must have its answer.
    fn request_deadline(self, now: Micros) -> Micros {
        now + self.counted_deadline + KILL_DELAY - RESPONSE_RESERVE
    }
}

impl Server {
    /// Answers what was accepted, until everything is answered or the time is over.
    pub async fn shut_down(mut self) -> Result<(), ServerError> {
        self.lifecycle.apply(Event::Terminate)?;
        let request_deadline = self.shutdown_budget.request_deadline(self.clock.now());
        self.service.notify(Input::ShutdownBy(request_deadline)).await?;
        if let Some(file) = self.peer_connections_file.take() {
            tokio::spawn(state_handover::publish_connections(file, self.clock, self.lifecycle.clone()));
        }
        self.complete_requests(request_deadline + Micros(RESPONSE_RESERVE.0 / 2)).await?;
        if let Some(cluster) = &self.cluster {
            // Leases are handed over from SIGTERM on; after the leave the others need not wait until they expire.
            let _left_or_late = tokio::time::timeout(CLUSTER_LEAVE_TIMEOUT, cluster.leave()).await;
        }
        tokio::time::sleep(FLUSH_TIME).await;
        self.lifecycle.apply(Event::LastResponseSent)?;
        log::info!("graceful shutdown is complete");
        Ok(())
    }

    /// Waits until every request has its complete answer, at most until `deadline`.
    async fn complete_requests(&mut self, deadline: Micros) -> Result<(), ServiceEnded> {
        let frontends = std::mem::take(&mut self.frontends);
        let deadline = self.clock.instant(deadline);
        let completed = tokio::time::timeout_at(deadline.into(), self.all_answered(frontends)).await;
        let Ok(completed) = completed else {
            let unanswered_requests = self.lifecycle.unanswered_requests();
            log::warn!(unanswered_requests; "graceful shutdown ends with requests that have no complete answer");
            return Ok(());
        };
        completed?;
        debug_assert_eq!(
            (self.lifecycle.unanswered_requests(), self.lifecycle.open_connections()),
            (0, 0),
            "counts are at zero at the end"
        );
        Ok(())
    }

    /// Ends once no client connects any more and everything that was accepted is answered, also a request that its
    /// client is still writing.
    async fn all_answered(&self, frontends: Vec<JoinHandle<()>>) -> Result<(), ServiceEnded> {
        for frontend in frontends {
            // It ends by itself once no client connects any more, and has then accepted all that the system had queued.
            if let Err(error) = frontend.await {
                log::error!("an accept loop has panicked: {error}");
            }
        }
        if self.socket == ListenSocket::Exclusive {
            self.service.notify(Input::RejectNew).await?;
        }
        while !self.is_idle().await? {
            tokio::time::sleep(COMPLETION_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Whether no request is open and no connection may still bring one.
    async fn is_idle(&self) -> Result<bool, ServiceEnded> {
        let open_requests = self.service.open_requests().await?;
        Ok(open_requests == 0
            && self.lifecycle.unanswered_requests() == 0
            && self.lifecycle.open_connections() == 0)
    }
}
