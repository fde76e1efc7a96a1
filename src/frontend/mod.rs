//! The ways in: each front reads its own wire, hands requests over, and writes their answers.

pub mod http;
pub mod tds;

use bytes::BytesMut;
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// How long, and for how many bytes, a client that was refused may go on sending.
const LINGER_TIME: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 256 * 1024;
/// A client whose connection is younger may have sent a request that is not read yet.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Debug, Clone, Copy)]
enum ConnectionState {
    /// It has its last answer.
    Ending,
    /// It has not brought a whole request yet.
    Silent,
    /// Its last request is answered.
    Idle,
    /// It is owed an answer.
    Busy,
}

#[derive(Debug)]
struct Taken {
    state: ConnectionState,
    /// When it came to stand so.
    since: Instant,
    task: Option<AbortHandle>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    numbers: u64,
    taken: HashMap<u64, Taken>,
    /// Of each state, since when and which: the oldest first.
    order: [BTreeSet<(Instant, u64)>; 4],
}

/// A connection's place among those of its listener. It goes with the connection.
#[derive(Debug)]
pub struct ConnectionPermit {
    number: u64,
    places: Arc<Mutex<ConnectionTable>>,
}

fn locked(places: &Mutex<ConnectionTable>) -> MutexGuard<'_, ConnectionTable> {
    places.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionTable {
    fn stands(&mut self, number: u64, state: ConnectionState) {
        if let Some(taken) = self.taken.get_mut(&number) {
            self.order[taken.state as usize].remove(&(taken.since, number));
            (taken.state, taken.since) = (state, Instant::now());
            self.order[taken.state as usize].insert((taken.since, number));
        }
    }

    fn remove(&mut self, number: u64) -> Option<AbortHandle> {
        let taken = self.taken.remove(&number)?;
        self.order[taken.state as usize].remove(&(taken.since, number));
        taken.task
    }

    fn add(&mut self, state: ConnectionState, since: Instant) -> u64 {
        self.numbers += 1;
        self.taken.insert(self.numbers, Taken { state, since, task: None });
        self.order[state as usize].insert((since, self.numbers));
        self.numbers
    }

    /// The connection that can best be spared, of those that are owed nothing. One whose request may be on its
    /// way goes last.
    fn spare(&self, now: Instant) -> Option<u64> {
        let oldest = |state: ConnectionState, least: Duration| {
            let first = self.order[state as usize].first();
            first.filter(|(since, _)| now - *since >= least).map(|(_, number)| *number)
        };
        oldest(ConnectionState::Ending, Duration::ZERO)
            .or(oldest(ConnectionState::Silent, ON_ITS_WAY))
            .or(oldest(ConnectionState::Idle, ON_ITS_WAY))
            .or(oldest(ConnectionState::Silent, Duration::ZERO))
            .or(oldest(ConnectionState::Idle, Duration::ZERO))
    }

    /// Ends that connection; false where all are owed an answer.
    fn make_room(&mut self) -> bool {
        let task = self.spare(Instant::now()).and_then(|number| self.remove(number));
        task.inspect(AbortHandle::abort).is_some()
    }
}

impl ConnectionPermit {
    fn take(places: &Arc<Mutex<ConnectionTable>>) -> ConnectionPermit {
        let number = locked(places).add(ConnectionState::Silent, Instant::now());
        ConnectionPermit { number, places: places.clone() }
    }

    /// A whole request has come: the connection stays until it is answered.
    pub fn busy(&self) {
        locked(&self.places).stands(self.number, ConnectionState::Busy);
    }

    /// Its request is answered, and another may come.
    pub fn idle(&self) {
        locked(&self.places).stands(self.number, ConnectionState::Idle);
    }

    /// It has its last answer.
    pub fn ending(&self) {
        locked(&self.places).stands(self.number, ConnectionState::Ending);
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        locked(&self.places).remove(self.number);
    }
}

/// Accepts connections until the doors shut, and then so many more as the machine has accepted by then: a close of
/// the socket resets those that nobody took. Each has a task of its own. There are so many places: where
/// they run out the connection that can best be spared gives way to a new one, so that clients that say
/// nothing, or hold their connections for good, keep nobody out.
pub async fn accept<F, T>(
    listener: TcpListener,
    most: usize,
    who: &'static str,
    stop_accepting: impl Future<Output = usize>,
    each: F,
) where
    F: Fn(TcpStream, ConnectionPermit) -> T,
    T: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let places = Arc::new(Mutex::new(ConnectionTable::default()));
    let mut stop_accepting = std::pin::pin!(stop_accepting);
    let mut still = None;
    while still != Some(0) {
        let accepted = tokio::select! {
            biased;
            most = &mut stop_accepting, if still.is_none() => {
                still = Some(most);
                continue;
            }
            accepted = listener.accept() => accepted,
            // What stands there shows one turn later where the process has just woken.
            () = tokio::task::yield_now(), if still.is_some() => return,
        };
        still = still.map(|still| still - 1);
        match accepted {
            Ok((stream, _)) => {
                let full = locked(&places).taken.len() >= most;
                if full && !locked(&places).make_room() {
                    log::warn!("a {who} connection is closed: all {most} are owed an answer");
                    continue;
                }
                let permit = ConnectionPermit::take(&places);
                let number = permit.number;
                let served = each(stream, permit);
                let task = tokio::spawn(async move {
                    if let Err(error) = served.await {
                        log::debug!("{who} connection: {error}");
                    }
                });
                if let Some(taken) = locked(&places).taken.get_mut(&number) {
                    taken.task = Some(task.abort_handle());
                }
                // What it has sent already is read before another connection may ask for its place.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                // No descriptor is left: one that can be spared is given back at once.
                log::error!("a {who} connection can't be accepted: {error}");
                locked(&places).make_room();
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Ends a connection whose client may still be sending: a close with input unread would reset away the
/// refusal. Some of that is read and dropped; a client that sends for longer is cut off.
pub async fn linger<S>(stream: &mut S, buffer: &mut BytesMut) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.shutdown().await?;
    let until = tokio::time::Instant::now() + LINGER_TIME;
    let mut dropped = 0;
    while dropped < LINGER_BYTES {
        buffer.clear();
        match tokio::time::timeout_at(until, stream.read_buf(buffer)).await {
            Ok(Ok(read @ 1..)) => dropped += read,
            _ => return Ok(()),
        }
    }
    tokio::time::sleep_until(until).await;
    Ok(())
}

#[cfg(test)]
mod tests;
