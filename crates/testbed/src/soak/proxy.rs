//! A proxy between managers and one engine, with the faults of the network.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;
/// How often a proxy that refuses connections looks whether it accepts them again.
const REFUSAL_POLL: Duration = Duration::from_millis(10);

/// The state of the network between managers and one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Link {
    /// Nothing passes to the engine.
    pub(super) cut_to_engine: bool,
    /// Nothing passes from the engine.
    pub(super) cut_from_engine: bool,
    /// All that passes, and each new connection, is this late.
    pub(super) delay: Duration,
    /// New connections are refused.
    pub(super) refuses: bool,
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

/// A proxy between managers and one engine; it ends with the runtime.
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

    /// Changes the state of the network.
    pub(super) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Ends all faults.
    pub(super) fn heal(&self) {
        self.set(Link::default());
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, engine: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.link.borrow().refuses {
                listener = None;
                tokio::time::sleep(REFUSAL_POLL).await;
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).await.ok();
                continue;
            };
            let accepted = tokio::time::timeout(REFUSAL_POLL, open.accept()).await;
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
