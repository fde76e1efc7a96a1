//! The accept loop that the listeners share.

use super::connection_table::{ConnectionPermit, ConnectionSlots};
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The pause after a failed accept(2), so that a persistent error does not keep the loop busy.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Linux error numbers of accept(2) that report exhausted resources: file descriptors of the process (`EMFILE`) or of
/// the system (`ENFILE`), socket buffers (`ENOBUFS`) or memory (`ENOMEM`).
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const ENOBUFS: i32 = 105;
const ENOMEM: i32 = 12;
/// Linux error number of accept(2) for a connection that failed before it was accepted.
const EPROTO: i32 = 71;

/// Accepts connections and serves each in its own task.
///
/// `stop_accepting` resolves when the listener must close. Its output is the number of connections in the backlog.
/// These are still accepted, because closing the socket would reset them.
///
/// At most `max_connections` are open. At this limit, a new connection evicts one that has no pending response, so that
/// clients with silent or idle connections cannot lock out others. `listener_name` appears in log lines.
pub async fn accept<Serve, Served>(
    listener: TcpListener,
    max_connections: usize,
    listener_name: &'static str,
    stop_accepting: impl Future<Output = usize>,
    serve: Serve,
) where
    Serve: Fn(TcpStream, ConnectionPermit) -> Served,
    Served: Future<Output = io::Result<()>> + Send + 'static,
{
    let acceptor = Acceptor { listener_name, slots: ConnectionSlots::new(max_connections), serve };
    let mut stop_accepting = std::pin::pin!(stop_accepting);
    // The number of connections left in the backlog; `None` until the listener must close.
    let mut backlog = None;
    while backlog != Some(0) {
        let accepted = tokio::select! {
            biased;
            length = &mut stop_accepting, if backlog.is_none() => {
                backlog = Some(length);
                continue;
            }
            accepted = listener.accept() => accepted,
            // If the process has just woken up, tokio reports the listener as ready only after the task has yielded
            // once.
            () = tokio::task::yield_now(), if backlog.is_some() => return,
        };
        backlog = backlog.map(|length| length - 1);
        match accepted {
            Ok((stream, _)) => acceptor.open(stream).await,
            Err(error) => acceptor.handle_accept_error(&error).await,
        }
    }
}

struct Acceptor<Serve> {
    listener_name: &'static str,
    slots: ConnectionSlots,
    serve: Serve,
}

impl<Serve, Served> Acceptor<Serve>
where
    Serve: Fn(TcpStream, ConnectionPermit) -> Served,
    Served: Future<Output = io::Result<()>> + Send + 'static,
{
    /// Serves a connection in its own task, or closes it if there is no free slot.
    async fn open(&self, stream: TcpStream) {
        let listener_name = self.listener_name;
        let Some(permit) = self.slots.acquire() else {
            let max_connections = self.slots.max_connections();
            log::warn!(
                "new {listener_name} connection closed: all {max_connections} open connections have a pending response"
            );
            return;
        };
        let id = permit.id();
        let served = (self.serve)(stream, permit);
        let task = tokio::spawn(async move {
            if let Err(error) = served.await {
                log::debug!("{listener_name} connection: {error}");
            }
        });
        self.slots.set_task(id, task.abort_handle());
        // Lets the new task read input that has already arrived, before another connection can evict this one.
        tokio::task::yield_now().await;
    }

    /// Handles a failed accept(2). Evicts a connection if resources are exhausted, which frees a descriptor at once. An
    /// error of the connection that was being accepted evicts none.
    async fn handle_accept_error(&self, error: &io::Error) {
        let listener_name = self.listener_name;
        if affects_one_connection(error) {
            log::debug!("{listener_name} connection failed before it was accepted: {error}");
            return;
        }
        log::error!("cannot accept a {listener_name} connection: {error}");
        if is_resource_exhaustion(error) {
            self.slots.evict_one();
        }
        tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
    }
}

/// Whether accept(2) reports an error of the connection that it would have returned. Such an error does not affect the
/// next connection.
fn affects_one_connection(error: &io::Error) -> bool {
    let kinds = [
        io::ErrorKind::ConnectionAborted,
        io::ErrorKind::ConnectionReset,
        io::ErrorKind::Interrupted,
        io::ErrorKind::NetworkDown,
        io::ErrorKind::NetworkUnreachable,
        io::ErrorKind::HostUnreachable,
        io::ErrorKind::TimedOut,
    ];
    kinds.contains(&error.kind()) || error.raw_os_error() == Some(EPROTO)
}

/// Whether accept(2) failed because descriptors or memory are exhausted. Such an error affects every waiting
/// connection.
fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM))
}

#[cfg(test)]
mod tests;
