//! The processes of the program, and what is done to them.

use super::history::{Event, Fault, History};
use crate::TestbedError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;

/// Time within which a manager must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(20);
/// Clients make new connections for so long after SIGTERM.
const CLIENTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// SIGKILL comes this long after SIGTERM in a planned end of the run.
const LAST_KILL_DELAY: Duration = Duration::from_secs(10);

/// One manager.
pub(crate) struct Manager {
    number: usize,
    pub(super) http: SocketAddr,
    program: PathBuf,
    config: Value,
    config_path: PathBuf,
    log: PathBuf,
    log_level: &'static str,
    history: History,
    child: Mutex<Option<Child>>,
    /// Clients connect to it.
    is_open: AtomicBool,
}

impl Manager {
    /// Starts its process.
    pub(super) fn start(
        program: &Path,
        number: usize,
        config: Value,
        folder: &Path,
        history: History,
    ) -> Result<std::sync::Arc<Manager>, TestbedError> {
        let config_path = folder.join(format!("m{number}.json"));
        std::fs::write(&config_path, config.to_string())?;
        let logs = std::env::var_os("SANDDYKE_SOAK_LOGS").map(PathBuf::from);
        let listen = config["listen"].as_str().unwrap_or_default().parse();
        let manager = Manager {
            number,
            http: listen.map_err(|_| TestbedError::Program("no address".to_owned()))?,
            program: program.to_owned(),
            config,
            config_path,
            log: logs.as_deref().unwrap_or(folder).join(format!("m{number}.log")),
            log_level: if logs.is_some() { "debug" } else { "warn" },
            history,
            child: Mutex::new(None),
            is_open: AtomicBool::new(false),
        };
        *manager.child.try_lock().map_err(|_| TestbedError::Program("busy".to_owned()))? =
            Some(manager.spawn()?);
        Ok(std::sync::Arc::new(manager))
    }

    fn spawn(&self) -> Result<Child, TestbedError> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.env("LB_CONFIG", &self.config_path).env("RUST_LOG", self.log_level).stderr(log);
        let child = command.stdout(Stdio::null()).kill_on_drop(true).spawn()?;
        self.history.push(Event::ManagerStarted { manager: self.number });
        Ok(child)
    }

    /// Waits until it is ready, and opens it for clients.
    pub(super) async fn wait_until_ready(&self) -> Result<(), TestbedError> {
        let ready = async {
            while !self.is_healthy().await {
                tokio::time::sleep(READY_POLL).await;
            }
        };
        let in_time = tokio::time::timeout(READY_TIMEOUT, ready).await.is_ok();
        if !in_time {
            return Err(TestbedError::Program(format!("manager {} is not ready in time", self.number)));
        }
        self.history.push(Event::ManagerReady { manager: self.number });
        self.is_open.store(true, Ordering::Relaxed);
        Ok(())
    }

    async fn is_healthy(&self) -> bool {
        let check = async {
            let mut stream = TcpStream::connect(self.http).await?;
            stream.write_all(b"GET /check HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n").await?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await?;
            Ok::<bool, std::io::Error>(answer.ends_with(b"200"))
        };
        tokio::time::timeout(Duration::from_secs(1), check)
            .await
            .is_ok_and(|checked| checked.unwrap_or(false))
    }

    /// Whether clients connect to it.
    pub(super) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    async fn signal(&self, signal: &str) {
        if let Some(id) = self.child.lock().await.as_ref().and_then(Child::id) {
            let _sent = Command::new("kill").args([signal, &id.to_string()]).status().await;
        }
    }

    /// Stops it for a moment.
    pub(super) async fn stop_for(&self, time: Duration) {
        self.signal("-STOP").await;
        tokio::time::sleep(time).await;
        self.signal("-CONT").await;
    }

    pub(super) async fn resume(&self) {
        self.signal("-CONT").await;
    }

    /// Has it read its configuration again, several times in a row.
    pub(super) async fn reload(&self, times: u64) {
        for _ in 0..times {
            self.signal("-HUP").await;
        }
    }

    /// Kills it, and starts it again.
    pub(super) async fn kill_and_restart(&self, known: impl Fn() -> Value) -> Result<(), TestbedError> {
        self.is_open.store(false, Ordering::Relaxed);
        self.note_if_ended().await;
        if let Some(child) = self.child.lock().await.as_mut() {
            self.history.push(Event::FaultBegun { fault: Fault::ManagerKilled, target: self.number });
            child.kill().await?;
        }
        self.restart(known()).await
    }

    /// Tells it to end, kills it at the earliest time, and starts it again.
    pub(super) async fn terminate_and_restart(
        &self,
        kill_delay: Duration,
        known: impl Fn() -> Value,
    ) -> Result<(), TestbedError> {
        self.note_if_ended().await;
        self.history.push(Event::FaultBegun { fault: Fault::ManagerTerminated, target: self.number });
        self.signal("-TERM").await;
        tokio::time::sleep(CLIENTS_AFTER_SIGTERM).await;
        self.is_open.store(false, Ordering::Relaxed);
        self.wait_or_kill(kill_delay - CLIENTS_AFTER_SIGTERM).await;
        self.history.push(Event::FaultEnded { fault: Fault::ManagerTerminated, target: self.number });
        self.restart(known()).await
    }

    /// Tells it to end.
    pub(super) async fn terminate(&self) {
        self.is_open.store(false, Ordering::Relaxed);
        self.note_if_ended().await;
        self.signal("-TERM").await;
        self.wait_or_kill(LAST_KILL_DELAY).await;
    }

    async fn wait_or_kill(&self, delay: Duration) {
        let mut child = self.child.lock().await;
        let Some(process) = child.as_mut() else { return };
        match tokio::time::timeout(delay, process.wait()).await {
            Ok(status) => {
                let success = status.is_ok_and(|status| status.success());
                self.history.push(Event::ManagerEnded { manager: self.number, success });
            }
            Err(_) => drop(process.kill().await),
        }
        *child = None;
    }

    /// A process that has ended by itself has crashed.
    async fn note_if_ended(&self) {
        let mut child = self.child.lock().await;
        if child.as_mut().is_some_and(|process| matches!(process.try_wait(), Ok(Some(_)))) {
            self.history.push(Event::ManagerEnded { manager: self.number, success: false });
            *child = None;
        }
    }

    /// Starts it again, with the endpoint list as it is by now.
    async fn restart(&self, known: Value) -> Result<(), TestbedError> {
        let mut config = self.config.clone();
        config["known"] = known;
        std::fs::write(&self.config_path, config.to_string())?;
        *self.child.lock().await = Some(self.spawn()?);
        self.wait_until_ready().await
    }
}
