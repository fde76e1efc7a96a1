//! A fleet of managers as local processes, for fault injection. Managers can be killed, suspended, and restarted with
//! or without their files, and the testbed relays and disturbs the links between them. All processes are killed on
//! drop.

mod configuration;
mod manager;
mod plan;
mod requests;

pub use plan::{MAX_MANAGERS, Plan};
pub use requests::QueryResponse;

use crate::TestbedError;
use crate::history::{Event, History};
use crate::links::{LinkFault, Links};
use crate::program::TOKEN;
use manager::Manager;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;

/// Name of the tenant in [`Fleet::query`].
pub const TENANT: &str = "demo";
/// Maximum time to wait for a condition or for the exit of a process. A longer wait means that something is stuck.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Second byte of the first fleet's loopback addresses, and the number of fleets after which the addresses repeat.
const FIRST_ADDRESS_BLOCK: u8 = 180;
const ADDRESS_BLOCKS: u8 = 64;

/// Number of fleets that this process has started.
static FLEETS_STARTED: AtomicU8 = AtomicU8::new(0);

/// The directions in which the links between a manager and its peers are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutDirection {
    /// Messages from the manager are lost.
    Outgoing,
    /// Messages to the manager are lost.
    Incoming,
    /// Messages in both directions are lost.
    Both,
}

/// A fleet of managers. Managers are numbered from 0; a method panics if its number is not below [`Fleet::size`].
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    binary: PathBuf,
    folder: TempDir,
    managers: Vec<Manager>,
    /// The relayed links between the managers.
    pub links: Arc<Links>,
    /// Events that no log contains, which are kills.
    history: History,
}

impl Fleet {
    /// Starts all managers and the relays between them.
    ///
    /// # Errors
    /// Fails if the plan is invalid, a file cannot be written, an address cannot be bound, or a process cannot be
    /// started.
    pub async fn start(binary: &Path, plan: Plan) -> Result<Fleet, TestbedError> {
        if plan.managers > MAX_MANAGERS || plan.voters > plan.managers {
            return Err(TestbedError::Program(format!(
                "invalid fleet plan: at most {MAX_MANAGERS} managers, and at most as many voters as managers: {plan:?}"
            )));
        }
        let folder = tempfile::tempdir()?;
        std::fs::create_dir(folder.path().join("backups"))?;
        std::fs::write(folder.path().join("token"), TOKEN)?;
        let links = Links::new(plan.seed);
        let mut managers = Vec::new();
        for address in manager_addresses(plan.managers) {
            let manager = Manager::new(address);
            links.relay(manager.relay_address(), manager.peer_address()).await?;
            managers.push(manager);
        }
        let binary = binary.to_owned();
        let mut fleet = Fleet { plan, binary, folder, managers, links, history: History::default() };
        for number in 0..fleet.plan.managers {
            fleet.start_manager(number)?;
        }
        Ok(fleet)
    }

    /// Listen address of a manager's administration API.
    pub fn admin_address(&self, number: usize) -> SocketAddr {
        self.managers[number].admin_address()
    }

    /// Listen address of a manager for clients.
    pub fn client_address(&self, number: usize) -> SocketAddr {
        self.managers[number].client_address()
    }

    /// Path of the file with the administration API's bearer token.
    pub fn token_file(&self) -> PathBuf {
        self.folder.path().join("token")
    }

    /// Process id of a manager; `None` if it is not running.
    pub fn process_id(&self, number: usize) -> Option<u32> {
        self.managers[number].process_id()
    }

    /// Number of managers, including those that are not running.
    pub fn size(&self) -> usize {
        self.managers.len()
    }

    /// Numbers of the managers that are running and not suspended.
    pub fn running(&self) -> Vec<usize> {
        let managers = self.managers.iter().enumerate();
        managers.filter(|(_, manager)| manager.is_running()).map(|(number, _)| number).collect()
    }

    /// Writes a manager's configuration and starts its process, which must not be running.
    pub fn start_manager(&mut self, number: usize) -> Result<(), TestbedError> {
        let folder = self.folder.path();
        let config = folder.join(format!("m{number}.json"));
        let contents = configuration::configuration(&self.plan, &self.managers, number, folder);
        std::fs::write(&config, contents.to_string())?;
        let manager = &mut self.managers[number];
        let log = folder.join(format!("m{number}-{}.log", manager.logs.len()));
        manager.spawn(&self.binary, &config, log)
    }

    /// Restarts the managers whose processes have exited, as a service supervisor does, and returns how many it
    /// restarted.
    pub fn restart_exited(&mut self) -> Result<usize, TestbedError> {
        let mut exited = Vec::new();
        for (number, manager) in self.managers.iter_mut().enumerate() {
            if let Some(child) = &mut manager.child
                && child.try_wait()?.is_some()
            {
                exited.push(number);
            }
        }
        for number in &exited {
            self.start_manager(*number)?;
        }
        Ok(exited.len())
    }

    /// Kills a manager with SIGKILL.
    pub async fn kill(&mut self, number: usize) -> Result<(), TestbedError> {
        if let Some(mut child) = self.managers[number].child.take() {
            child.kill().await?;
            self.history.add(unix_us(), number, Event::Killed);
        }
        Ok(())
    }

    /// Shuts a manager down gracefully with SIGTERM and waits for its exit.
    ///
    /// # Errors
    /// Fails if the process does not exit within 60 s or exits with an error.
    pub async fn terminate(&mut self, number: usize) -> Result<(), TestbedError> {
        self.managers[number].signal("-TERM").await?;
        if let Some(mut child) = self.managers[number].child.take() {
            let exit = tokio::time::timeout(TIMEOUT, child.wait()).await;
            let status = exit.map_err(|_| {
                TestbedError::Program(format!("m{number} did not exit within {TIMEOUT:?} after SIGTERM"))
            })??;
            if !status.success() {
                return Err(TestbedError::Program(format!("m{number} exited with {status} after SIGTERM")));
            }
        }
        Ok(())
    }

    /// Suspends a manager's process with SIGSTOP.
    pub async fn suspend(&mut self, number: usize) -> Result<(), TestbedError> {
        self.managers[number].is_suspended = true;
        self.managers[number].signal("-STOP").await
    }

    /// Resumes a suspended process with SIGCONT.
    pub async fn resume(&mut self, number: usize) -> Result<(), TestbedError> {
        self.managers[number].is_suspended = false;
        self.managers[number].signal("-CONT").await
    }

    /// Removes the file of a stopped manager with this extension; `votes` is the voter's state.
    pub fn remove_file(&self, number: usize, extension: &str) -> Result<(), TestbedError> {
        Ok(std::fs::remove_file(self.manager_file(number, extension))?)
    }

    /// Overwrites the file of a stopped manager with this extension.
    pub fn overwrite_file(&self, number: usize, extension: &str, bytes: &[u8]) -> Result<(), TestbedError> {
        Ok(std::fs::write(self.manager_file(number, extension), bytes)?)
    }

    fn manager_file(&self, number: usize, extension: &str) -> PathBuf {
        self.folder.path().join(format!("m{number}.{extension}"))
    }

    /// Cuts the links between a manager and `peers`; the manager's own number in `peers` is ignored.
    pub fn cut(&self, number: usize, peers: &[usize], direction: CutDirection) {
        let cut = LinkFault { cut: true, ..LinkFault::default() };
        for peer in peers.iter().filter(|peer| **peer != number) {
            if direction != CutDirection::Incoming {
                self.set_link(number, *peer, cut);
            }
            if direction != CutDirection::Outgoing {
                self.set_link(*peer, number, cut);
            }
        }
    }

    /// Sets the faults of the link in one direction.
    pub fn set_link(&self, from: usize, to: usize, fault: LinkFault) {
        self.links.set(self.managers[from].address, self.managers[to].address, fault);
    }

    /// Sets the same faults on every link.
    pub fn set_all_links(&self, fault: LinkFault) {
        for from in &self.managers {
            for to in &self.managers {
                self.links.set(from.address, to.address, fault);
            }
        }
    }

    /// Reconstructs the history of the fleet so far from the logs and the kills.
    pub fn history(&self) -> Result<History, TestbedError> {
        let mut history = self.history.clone();
        for (number, manager) in self.managers.iter().enumerate() {
            for log in &manager.logs {
                history.add_log(number, &std::fs::read_to_string(log)?);
            }
        }
        Ok(history)
    }

    /// The log of a manager's latest process; empty if it was never started.
    pub fn log(&self, number: usize) -> Result<String, TestbedError> {
        match self.managers[number].logs.last() {
            Some(log) => Ok(std::fs::read_to_string(log)?),
            None => Ok(String::new()),
        }
    }

    /// File names of the complete backups, sorted.
    pub fn backups(&self) -> Result<Vec<String>, TestbedError> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(self.folder.path().join("backups"))? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.retain(|name| name.ends_with(".redb"));
        names.sort();
        Ok(names)
    }
}

/// Loopback addresses derived from the process id and the fleet's number, so that concurrent fleets do not collide.
fn manager_addresses(managers: usize) -> impl Iterator<Item = IpAddr> {
    let [process_low, process_high] = (std::process::id() as u16).to_le_bytes();
    let block = FIRST_ADDRESS_BLOCK + FLEETS_STARTED.fetch_add(1, Ordering::Relaxed) % ADDRESS_BLOCKS;
    (0..managers).map(move |number| {
        let third_byte = process_low.wrapping_add((number as u8) << 3);
        IpAddr::from([127, block, third_byte, process_high])
    })
}

fn unix_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
