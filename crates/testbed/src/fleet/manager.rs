//! The process of one manager.

use crate::TestbedError;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

const CLIENT_PORT: u16 = 8080;
const ADMIN_PORT: u16 = 8081;
const OPERATIONS_PORT: u16 = 9000;
/// Port on which the manager listens to its peers.
const PEER_PORT: u16 = 9100;
/// Port that the manager advertises to its peers, on which the testbed relays.
const RELAY_PORT: u16 = 9200;

/// One manager of a fleet, running or not.
#[derive(Debug)]
pub(super) struct Manager {
    pub(super) address: IpAddr,
    pub(super) child: Option<Child>,
    /// The logs of all its processes, oldest first.
    pub(super) logs: Vec<PathBuf>,
    pub(super) is_suspended: bool,
}

impl Manager {
    /// A manager that is not running yet.
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

    /// Whether it can answer: its process was started and is not suspended.
    pub(super) fn is_running(&self) -> bool {
        self.child.is_some() && !self.is_suspended
    }

    /// Starts its process with a new log; the process ends with the fleet.
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

    /// Sends its process a signal, such as `-TERM`; does nothing where it is not running.
    pub(super) async fn signal(&self, signal: &str) -> Result<(), TestbedError> {
        if let Some(id) = self.process_id() {
            Command::new("kill").args([signal, &id.to_string()]).status().await?;
        }
        Ok(())
    }
}
