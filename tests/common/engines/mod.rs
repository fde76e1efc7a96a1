//! Emulated engines, for the line protocol and for TDS. Words in a statement decide how it is executed:
//!
//! - `ok`, and all others: two rows;
//! - `big`: a result of several pages (`big once`: the first attempt closes the connection between pages);
//! - `huge`: a result that exceeds the program's limit of result size;
//! - `fail`, `full`: an error, or a rejection;
//! - `die`: the connection is closed;
//! - `garble`, `torn`: a malformed response, or an incomplete row;
//! - `twice`: a response to an unknown request, then the proper one twice;
//! - `mute`, `trickle`: at the first attempt a response that never arrives, or arrives byte by byte;
//! - `stutter`: at the first attempt an error that is repeated 0.15 s later, at others work until it is cancelled;
//! - `nap`: 0.3 s of work (`long nap`: 4 s; with `then fail` it ends in an error);
//! - `slow`: work until it is cancelled;
//! - `echo`: over TDS, 20 ms of work, then one row with the client request id;
//! - `acknowledged first`, `logged in first`: over TDS, an acknowledgement of an Attention, or an answer to a login, and
//!   then one row;
//! - `overrun`: over TDS, a row of another request behind the end of the result;
//! - `chatty`: like `slow`, with frequent progress notes, also while the engine is paused.

mod line_protocol_session;
pub mod tds_faults;
mod tds_session;

use line_protocol_session::speak_line_protocol;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tds_faults::TdsFaults;
use tds_session::speak_tds;

/// What an engine has received, in order: lines of the line protocol, or statements and Attentions of TDS.
pub type Received = Arc<Mutex<Vec<String>>>;

/// How an engine behaves on all its connections. Tests change it while the engine runs.
#[derive(Debug, Default)]
pub struct Controls {
    /// A paused engine accepts connections, but does not process what it receives on them.
    paused: AtomicBool,
    /// Time after which a health check is answered, in milliseconds.
    health_check_delay_ms: AtomicU64,
    /// What the engine does wrong over TDS.
    tds_faults: Mutex<TdsFaults>,
}

impl Controls {
    /// Waits while the engine is paused.
    fn wait_while_paused(&self) {
        while self.paused.load(Ordering::Relaxed) {
            std::thread::sleep(RESUME_POLL);
        }
    }

    fn tds_faults(&self) -> TdsFaults {
        self.tds_faults.lock().unwrap().clone()
    }

    fn health_check_delay(&self) -> Duration {
        Duration::from_millis(self.health_check_delay_ms.load(Ordering::Relaxed))
    }
}

/// Interval at which a paused engine checks whether it is resumed.
const RESUME_POLL: Duration = Duration::from_millis(1);

/// A running engine.
pub struct Engine {
    /// The address that it listens at.
    pub address: SocketAddr,
    /// What it has received.
    pub received: Received,
    controls: Arc<Controls>,
}

impl Engine {
    fn new(address: SocketAddr) -> Engine {
        Engine { address, received: Received::default(), controls: Arc::default() }
    }

    /// Pauses or resumes the engine.
    pub fn pause(&self, paused: bool) {
        self.controls.paused.store(paused, Ordering::Relaxed);
    }

    /// Delays the answers to health checks from now on. Other answers are sent at once.
    pub fn delay_health_checks(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap();
        self.controls.health_check_delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Changes what the engine does wrong over TDS from now on.
    pub fn set_tds_faults(&self, faults: TdsFaults) {
        *self.controls.tds_faults.lock().unwrap() = faults;
    }

    /// The number of entries in `received` that contain a text.
    pub fn count(&self, text: &str) -> usize {
        self.received.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }
}

type ServeConnection = fn(TcpStream, Received, Arc<Controls>);

fn start(serve: ServeConnection) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = Engine::new(listener.local_addr().unwrap());
    accept_in_background(listener, &engine, serve);
    engine
}

fn accept_in_background(listener: TcpListener, engine: &Engine, serve: ServeConnection) {
    let (received, controls) = (engine.received.clone(), engine.controls.clone());
    std::thread::spawn(move || accept(&listener, &received, &controls, serve));
}

fn accept(listener: &TcpListener, received: &Received, controls: &Arc<Controls>, serve: ServeConnection) {
    for stream in listener.incoming().flatten() {
        let (received, controls) = (received.clone(), controls.clone());
        std::thread::spawn(move || serve(stream, received, controls));
    }
}

fn serve_line_protocol(stream: TcpStream, received: Received, controls: Arc<Controls>) {
    // An error ends only this connection; the engine serves others.
    let _ended = speak_line_protocol(stream, &received, &controls);
}

fn serve_tds(stream: TcpStream, received: Received, controls: Arc<Controls>) {
    let _ended = speak_tds(stream, &received, &controls);
}

/// An engine that does not accept connections yet: the backlog of its socket is full, so the kernel drops the first
/// packet of each connection. The client's kernel resends it about a second later.
pub struct LateEngine {
    /// The engine.
    pub engine: Engine,
    /// The connections that fill the backlog.
    backlog: Vec<TcpStream>,
    listener: TcpListener,
    serve: ServeConnection,
}

impl LateEngine {
    /// Starts a late engine with the line protocol.
    pub fn line_protocol() -> LateEngine {
        LateEngine::start(serve_line_protocol)
    }

    /// Starts a late engine with TDS.
    pub fn tds() -> LateEngine {
        LateEngine::start(serve_tds)
    }

    fn start(serve: ServeConnection) -> LateEngine {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(1).unwrap().into_std().unwrap()
        });
        listener.set_nonblocking(false).unwrap();
        let address = listener.local_addr().unwrap();
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            backlog.push(stream);
        }
        let engine = Engine::new(address);
        LateEngine { engine, backlog, listener, serve }
    }

    /// Starts to accept connections.
    pub fn accept_connections(self) -> Engine {
        for _ in &self.backlog {
            drop(self.listener.accept().unwrap());
        }
        accept_in_background(self.listener, &self.engine, self.serve);
        self.engine
    }
}

/// What a [`BlockedEngine`] does with its first connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Unblock {
    /// Reads what was sent.
    Read,
    /// Closes the connection without reading.
    Close,
}

/// An engine with the line protocol that does not read from its first connection, whose receive buffer is small. It
/// serves other connections normally.
pub struct BlockedEngine {
    /// The engine.
    pub engine: Engine,
    unblock: std::sync::mpsc::Sender<Unblock>,
}

impl BlockedEngine {
    /// Starts a blocked engine.
    pub fn start() -> BlockedEngine {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // The sender's window grows with the peer's maximum segment size, so a small one keeps the window small.
        socket.set_tcp_mss(88).unwrap();
        socket.set_recv_buffer_size(1).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(16).unwrap();
        let listener = TcpListener::from(socket);
        let engine = Engine::new(listener.local_addr().unwrap());
        let (received, controls) = (engine.received.clone(), engine.controls.clone());
        let (unblock, unblocked) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let (first, _) = listener.accept().unwrap();
            let (received_first, controls_first) = (received.clone(), controls.clone());
            std::thread::spawn(move || {
                if unblocked.recv() == Ok(Unblock::Read) {
                    serve_line_protocol(first, received_first, controls_first);
                }
            });
            accept(&listener, &received, &controls, serve_line_protocol);
        });
        BlockedEngine { engine, unblock }
    }

    /// Starts to read from the first connection, or closes it.
    pub fn unblock(&self, action: Unblock) {
        self.unblock.send(action).unwrap();
    }
}

/// Starts an engine with the line protocol.
pub fn line_protocol() -> Engine {
    start(serve_line_protocol)
}

/// Starts an engine with TDS.
pub fn tds() -> Engine {
    start(serve_tds)
}
