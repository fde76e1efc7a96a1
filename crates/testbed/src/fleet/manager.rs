//! The process of one manager.

use crate::TestbedError;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

const CLIENT_PORT: u16 = 8080;
const ADMIN_PORT: u16 = 8081;
const OPERATIONS_PORT: u16 = 9000;
/// Port on which the manager accepts connections of its peers, through the relay.
const PEER_PORT: u16 = 9100;
/// Port that the manager advertises to its peers; the testbed listens on it and relays to `PEER_PORT`.
const RELAY_PORT: u16 = 9200;

/// One manager of a fleet and its process, if it is running.
#[derive(Debug)]
pub(super) struct Manager {
    pub(super) address: IpAddr,
    pub(super) child: Option<Child>,
    /// Log files of all processes of this manager, oldest first.
    pub(super) logs: Vec<PathBuf>,
    pub(super) is_suspended: bool,
}

impl Manager {
    /// Creates a manager without a process.
    pub(super) fn new(address: IpAddr) -> Manager {
        Manager { address, child: None, logs: Vec::new(), is_suspended: false }
    }

    pub(super) fn client_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, CLIENT_PORT)
    }

    pub(super) fn admin_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, ADMIN_PORT)
    }

    pub(super) fn operations_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, OPERATIONS_PORT)
    }

    pub(super) fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, PEER_PORT)
    }

    pub(super) fn relay_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, RELAY_PORT)
    }

    pub(super) fn process_id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Whether the process was started and is not suspended. A process that exited by itself counts as running.
    pub(super) fn is_running(&self) -> bool {
        self.child.is_some() && !self.is_suspended
    }

    /// Starts the process with a new log file. The process is killed on drop.
    pub(super) fn spawn(&mut self, binary: &Path, config: &Path, log: PathBuf) -> Result<(), TestbedError> {
        let mut command = Command::new(binary);
        command.arg("--config").arg(config).env("RUST_LOG", "info,sanddyke::cluster=debug");
        command.stderr(std::fs::File::create(&log)?).stdout(Stdio::null()).kill_on_drop(true);
        let child = command
            .spawn()
            .map_err(|error| TestbedError::Program(format!("{}: {error}", binary.display())))?;
        self.child = Some(child);
        self.is_suspended = false;
        self.logs.push(log);
        Ok(())
    }

    /// Sends the process a signal, such as `-TERM`. Does nothing if there is no process.
    pub(super) async fn signal(&self, signal: &str) -> Result<(), TestbedError> {
        if let Some(id) = self.process_id() {
            Command::new("kill").args([signal, &id.to_string()]).status().await?;
        }
        Ok(())
    }
}
