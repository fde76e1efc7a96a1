//! The HTTP/1.1 frontend for the platform's clients. Each connection carries one request at a time.

mod connection;
mod dropped_input;
mod input_buffer;
pub mod message;
mod reader;
mod responses;
mod result_pages;
mod routes;

pub use input_buffer::InputBuffer;
pub use reader::{first_request_deadline, read_request};

use self::dropped_input::DroppedInput;
use self::result_pages::ResultPages;
use crate::lifecycle::LifecycleHandle;
use crate::memory::MemoryBudgets;
use crate::service::ServiceHandle;
use sanddyke_lifecycle::Phase;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Interval at which a shutdown checks whether all results are delivered.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state that all connections of this frontend share.
#[derive(Debug)]
pub struct Http {
    service: ServiceHandle,
    lifecycle: LifecycleHandle,
    result_pages: Mutex<ResultPages>,
    /// The maximum size of a page. A longer result is split into pages.
    page_bytes: usize,
    memory: MemoryBudgets,
    dropped_input: DroppedInput,
}

impl Http {
    /// Creates a frontend that submits requests to `service` and splits results longer than `page_bytes` into pages.
    /// What it holds for clients counts against `memory`.
    pub fn new(
        service: ServiceHandle,
        lifecycle: LifecycleHandle,
        page_bytes: usize,
        memory: MemoryBudgets,
    ) -> Arc<Http> {
        let result_pages = Mutex::new(ResultPages::new(&memory.results));
        let dropped_input = DroppedInput::new();
        Arc::new(Http { service, lifecycle, result_pages, page_bytes, memory, dropped_input })
    }

    fn result_pages(&self) -> MutexGuard<'_, ResultPages> {
        self.result_pages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the pages of a result are delivered, or its client no longer waits for them.
    async fn wait_for_delivery_of(&self, client_request_id: &str) {
        loop {
            self.result_pages().remove_expired(Instant::now());
            if !self.result_pages().is_undelivered(client_request_id) {
                return;
            }
            tokio::time::sleep(DELIVERY_POLL_INTERVAL).await;
        }
    }

    /// Waits until no request is open and the pages of all results are delivered. No request may be admitted any more.
    async fn wait_for_delivery(&self) {
        // The answer to the last open request becomes a stored result a moment after the request is closed.
        let mut idle_checks = 0;
        while idle_checks < 2 {
            self.result_pages().remove_expired(Instant::now());
            let open_requests = self.service.open_requests().await.unwrap_or(0);
            let is_idle = open_requests == 0 && self.lifecycle.undelivered_results() == 0;
            idle_checks = if is_idle { idle_checks + 1 } else { 0 };
            tokio::time::sleep(DELIVERY_POLL_INTERVAL).await;
        }
    }

    /// Waits until the listener must close. On an exclusive socket that is not before all results are delivered, because
    /// a client whose connection broke calls its next page on a new one. Returns the length of the backlog.
    async fn wait_for_accept_stop(&self) -> usize {
        let backlog = self.lifecycle.wait_for_accept_stop().await;
        if self.lifecycle.phase() == Phase::Stopping {
            self.wait_for_delivery().await;
        }
        backlog
    }
}

/// Serves at most `max_connections` concurrent connections until the program's lifecycle closes the listener.
pub async fn serve(listener: TcpListener, frontend: Arc<Http>, max_connections: usize) {
    let serve_connection = |stream, permit| {
        let frontend = frontend.clone();
        async move { connection::serve(stream, &permit, &frontend).await }
    };
    let stop_accepting = frontend.wait_for_accept_stop();
    super::accept(listener, max_connections, "client", stop_accepting, serve_connection).await;
}
