//! The ways in: each front reads its own wire, hands requests over, and writes their answers.

pub mod http;
pub mod tds;

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// What the fronts and the rest of the program know of each other.
#[derive(Debug, Clone, Default)]
pub struct Door {
    ready: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
    unanswered: Arc<AtomicUsize>,
}

/// A request that a front has read and not yet answered whole.
#[derive(Debug)]
pub struct Unanswered(Arc<AtomicUsize>);

impl Door {
    /// The service takes requests from now on.
    pub fn open(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// The program is about to end: health checks say so.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether a health check finds the service well.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Whether the program is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a request until the value is dropped.
    pub fn count(&self) -> Unanswered {
        self.unanswered.fetch_add(1, Ordering::Relaxed);
        Unanswered(self.unanswered.clone())
    }

    /// Requests read and not yet answered whole.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Relaxed)
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until it is dropped, at most so many at once, and gives each a task of its own.
pub async fn accept<F, T>(listener: TcpListener, most: usize, who: &'static str, each: F)
where
    F: Fn(TcpStream) -> T,
    T: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let places = Arc::new(Semaphore::new(most));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let served = each(stream);
                tokio::spawn(async move {
                    if let Err(error) = served.await {
                        log::debug!("{who} connection: {error}");
                    }
                    drop(place);
                });
            }
            Err(error) => {
                // No descriptor is left: those in use come back soon.
                log::error!("a {who} connection can't be accepted: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}
