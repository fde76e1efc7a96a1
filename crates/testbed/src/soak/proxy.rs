//! A TCP proxy between managers and one engine that injects network faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which the proxy checks whether it has to refuse connections.
const REFUSAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The injected network state between managers and one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Link {
    /// No data is relayed to the engine.
    pub(super) cut_to_engine: bool,
    /// No data is relayed from the engine.
    pub(super) cut_from_engine: bool,
    /// Delay of each relayed read and each new connection.
    pub(super) delay: Duration,
    /// New connections are refused, because the listening socket is closed.
    pub(super) refuses_connections: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToEngine,
    FromEngine,
}

impl Link {
    fn passes(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToEngine => !self.cut_to_engine,
            Direction::FromEngine => !self.cut_from_engine,
        }
    }
}

/// A proxy between managers and one engine. Its tasks run until the runtime shuts down.
pub(crate) struct Proxy {
    pub(super) address: SocketAddr,
    link: watch::Sender<Link>,
}

impl Proxy {
    pub(super) async fn start(engine: SocketAddr) -> std::io::Result<Arc<Proxy>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Arc::new(Proxy { address: listener.local_addr()?, link: watch::Sender::default() });
        tokio::spawn(proxy.clone().accept(listener, engine));
        Ok(proxy)
    }

    /// Replaces the network state.
    pub(super) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Ends all network faults of this link.
    pub(super) fn clear_faults(&self) {
        self.set(Link::default());
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, engine: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.link.borrow().refuses_connections {
                listener = None;
                tokio::time::sleep(REFUSAL_POLL_INTERVAL).await;
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).await.ok();
                continue;
            };
            let accepted = tokio::time::timeout(REFUSAL_POLL_INTERVAL, open.accept()).await;
            if let Ok(Ok((stream, _))) = accepted {
                tokio::spawn(self.clone().relay(stream, engine));
            }
        }
    }

    async fn relay(self: Arc<Self>, mut manager: TcpStream, engine: SocketAddr) {
        self.wait_until_passing(Direction::ToEngine).await;
        let Ok(mut engine) = TcpStream::connect(engine).await else { return };
        let _unset = (manager.set_nodelay(true), engine.set_nodelay(true));
        let relayed = {
            let (mut from_manager, mut to_manager) = manager.split();
            let (mut from_engine, mut to_engine) = engine.split();
            let to = self.pump(&mut from_manager, &mut to_engine, Direction::ToEngine);
            let from = self.pump(&mut from_engine, &mut to_manager, Direction::FromEngine);
            tokio::try_join!(to, from)
        };
        if relayed.is_err() {
            let _unset = (manager.set_zero_linger(), engine.set_zero_linger());
        }
    }

    /// Copies one direction until its sender closes the connection, and holds data back while the direction is cut.
    async fn pump(
        &self,
        from: &mut (impl AsyncRead + Unpin),
        to: &mut (impl AsyncWrite + Unpin),
        direction: Direction,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer).await;
            self.wait_until_passing(direction).await;
            match read? {
                0 => return to.shutdown().await,
                length => to.write_all(&buffer[..length]).await?,
            }
        }
    }

    async fn wait_until_passing(&self, direction: Direction) {
        let mut link = self.link.subscribe();
        let delay = link.wait_for(|link| link.passes(direction)).await.map(|link| link.delay);
        tokio::time::sleep(delay.unwrap_or_default()).await;
    }
}
