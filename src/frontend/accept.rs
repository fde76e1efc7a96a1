//! The accept loop of a listener.

use super::connection_table::{ConnectionPermit, ConnectionSlots};
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The pause after a connection that could not be accepted.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Errors of accept(2) as Linux numbers them: the process or the system has no free descriptor, no buffer, no memory.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const ENOBUFS: i32 = 105;
const ENOMEM: i32 = 12;
/// The connection failed before it was accepted.
const EPROTO: i32 = 71;

/// Accepts connections and serves each in a task of its own.
///
/// `stop_accepting` resolves, when the listener is to close, to the number of connections in its backlog. These are
/// still accepted, because closing the socket would reset them.
///
/// At most `max_connections` are open. Beyond that a new connection evicts another one without a pending response, so
/// that clients that send nothing, or keep connections open, exclude nobody. `listener_name` is for the log.
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
    // The connections that are left in the backlog, once the listener is to close.
    let mut backlog = None;
    while backlog != Some(0) {
        let accepted = tokio::select! {
            biased;
            length = &mut stop_accepting, if backlog.is_none() => {
                backlog = Some(length);
                continue;
            }
            accepted = listener.accept() => accepted,
            // Where the process has just woken, the listener's readiness is seen one turn of the scheduler later.
            () = tokio::task::yield_now(), if backlog.is_some() => return,
        };
        backlog = backlog.map(|length| length - 1);
        match accepted {
            Ok((stream, _)) => acceptor.open(stream).await,
            Err(error) => acceptor.recover(&error).await,
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
    /// Serves a connection in a task of its own, or closes it if there is no slot for it.
    async fn open(&self, stream: TcpStream) {
        let listener_name = self.listener_name;
        let Some(permit) = self.slots.acquire() else {
            let max_connections = self.slots.max_connections();
            log::warn!("a {listener_name} connection is closed: all {max_connections} are owed an answer");
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
        // What the client has sent already is read before another connection may evict this one.
        tokio::task::yield_now().await;
    }

    /// Gives a descriptor back at once where none is free. A connection that has ended already costs no other its place.
    async fn recover(&self, error: &io::Error) {
        let listener_name = self.listener_name;
        if is_of_one_connection(error) {
            log::debug!("a {listener_name} connection has ended before it was accepted: {error}");
            return;
        }
        log::error!("a {listener_name} connection can't be accepted: {error}");
        if is_short_of_resources(error) {
            self.slots.evict_one();
        }
        tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
    }
}

/// Whether `accept` reports an error of the connection that it would have returned: the next one is not affected.
fn is_of_one_connection(error: &io::Error) -> bool {
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

/// Whether `accept` failed for want of descriptors or memory: then it fails for each connection that waits.
fn is_short_of_resources(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM))
}

#[cfg(test)]
mod tests;
