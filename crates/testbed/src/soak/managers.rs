//! The manager processes, and the operations on them: start, signal, kill and restart.

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

/// A manager must be ready within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Clients open new connections for this long after SIGTERM.
const CONNECT_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// SIGKILL follows this long after SIGTERM when the run ends.
const FINAL_KILL_DELAY: Duration = Duration::from_secs(10);

/// A manager with its current process.
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
    /// Whether clients may connect.
    is_open: AtomicBool,
}

impl Manager {
    /// Writes the configuration file and starts the process. With `SANDDYKE_SOAK_LOGS`, logs go to that folder
    /// at level `debug`.
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
            http: listen.map_err(|_| {
                TestbedError::Program(format!(
                    "manager {number}: its configuration has no valid listen address"
                ))
            })?,
            program: program.to_owned(),
            config,
            config_path,
            log: logs.as_deref().unwrap_or(folder).join(format!("m{number}.log")),
            log_level: if logs.is_some() { "debug" } else { "warn" },
            history,
            child: Mutex::new(None),
            is_open: AtomicBool::new(false),
        };
        *manager.child.try_lock().map_err(|_| {
            TestbedError::Program("the lock of a new manager process is already taken".to_owned())
        })? = Some(manager.spawn()?);
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

    /// Waits until the manager is ready, and then lets clients connect.
    pub(super) async fn wait_until_ready(&self) -> Result<(), TestbedError> {
        let ready = async {
            while !self.is_healthy().await {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let is_ready_in_time = tokio::time::timeout(READY_TIMEOUT, ready).await.is_ok();
        if !is_ready_in_time {
            return Err(TestbedError::Program(format!(
                "manager {} was not ready within {READY_TIMEOUT:?}",
                self.number
            )));
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

    /// Whether clients may connect.
    pub(super) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    async fn signal(&self, signal: &str) {
        if let Some(id) = self.child.lock().await.as_ref().and_then(Child::id) {
            let _sent = Command::new("kill").args([signal, &id.to_string()]).status().await;
        }
    }

    /// Suspends the process (SIGSTOP) for `time`, then continues it (SIGCONT).
    pub(super) async fn stop_for(&self, time: Duration) {
        self.signal("-STOP").await;
        tokio::time::sleep(time).await;
        self.signal("-CONT").await;
    }

    pub(super) async fn resume(&self) {
        self.signal("-CONT").await;
    }

    /// Requests `times` configuration reloads in a row (SIGHUP).
    pub(super) async fn reload(&self, times: u64) {
        for _ in 0..times {
            self.signal("-HUP").await;
        }
    }

    /// Kills the process (SIGKILL) and restarts it.
    pub(super) async fn kill_and_restart(
        &self,
        endpoint_list: impl Fn() -> Value,
    ) -> Result<(), TestbedError> {
        self.is_open.store(false, Ordering::Relaxed);
        self.record_crash().await;
        if let Some(child) = self.child.lock().await.as_mut() {
            self.history.push(Event::FaultBegun { fault: Fault::ManagerKilled, target: self.number });
            child.kill().await?;
        }
        self.restart(endpoint_list()).await
    }

    /// Sends SIGTERM, kills the process if it still runs after `kill_delay`, and restarts it.
    pub(super) async fn terminate_and_restart(
        &self,
        kill_delay: Duration,
        endpoint_list: impl Fn() -> Value,
    ) -> Result<(), TestbedError> {
        self.record_crash().await;
        self.history.push(Event::FaultBegun { fault: Fault::ManagerTerminated, target: self.number });
        self.signal("-TERM").await;
        tokio::time::sleep(CONNECT_TIME_AFTER_SIGTERM).await;
        self.is_open.store(false, Ordering::Relaxed);
        self.wait_or_kill(kill_delay - CONNECT_TIME_AFTER_SIGTERM).await;
        self.history.push(Event::FaultEnded { fault: Fault::ManagerTerminated, target: self.number });
        self.restart(endpoint_list()).await
    }

    /// Sends SIGTERM, and kills the process if it does not end in time.
    pub(super) async fn terminate(&self) {
        self.is_open.store(false, Ordering::Relaxed);
        self.record_crash().await;
        self.signal("-TERM").await;
        self.wait_or_kill(FINAL_KILL_DELAY).await;
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

    /// Records a failed process if it ended without a signal from the testbed.
    async fn record_crash(&self) {
        let mut child = self.child.lock().await;
        if child.as_mut().is_some_and(|process| matches!(process.try_wait(), Ok(Some(_)))) {
            self.history.push(Event::ManagerEnded { manager: self.number, success: false });
            *child = None;
        }
    }

    /// Restarts the process with the current endpoint list in its configuration.
    async fn restart(&self, endpoint_list: Value) -> Result<(), TestbedError> {
        let mut config = self.config.clone();
        config["known"] = endpoint_list;
        std::fs::write(&self.config_path, config.to_string())?;
        *self.child.lock().await = Some(self.spawn()?);
        self.wait_until_ready().await
    }
}
