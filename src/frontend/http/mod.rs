//! The HTTP/1.1 frontend for the platform's clients. Each connection carries one request at a time.

mod connection;
pub mod message;
mod reader;
mod responses;
mod result_pages;
mod routes;

pub use reader::{first_request_deadline, read_request};

use self::result_pages::ResultPages;
use crate::lifecycle::LifecycleHandle;
use crate::service::ServiceHandle;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;

/// The state that all connections of this frontend share.
#[derive(Debug)]
pub struct Http {
    service: ServiceHandle,
    lifecycle: LifecycleHandle,
    result_pages: Mutex<ResultPages>,
    /// The maximum size of a page. A longer result is split into pages.
    page_bytes: usize,
}

impl Http {
    /// Creates a frontend that submits requests to `service` and splits results longer than `page_bytes` into pages.
    pub fn new(service: ServiceHandle, lifecycle: LifecycleHandle, page_bytes: usize) -> Arc<Http> {
        Arc::new(Http { service, lifecycle, result_pages: Mutex::default(), page_bytes })
    }

    fn result_pages(&self) -> MutexGuard<'_, ResultPages> {
        self.result_pages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves at most `max_connections` concurrent connections until the program's lifecycle closes the listener.
pub async fn serve(listener: TcpListener, frontend: Arc<Http>, max_connections: usize) {
    let serve_connection = |stream, permit| {
        let frontend = frontend.clone();
        async move { connection::serve(stream, &permit, &frontend).await }
    };
    let stop_accepting = frontend.lifecycle.wait_for_accept_stop();
    super::accept(listener, max_connections, "client", stop_accepting, serve_connection).await;
}
