//! Several processes of the program as one fleet, with faults between them: they are killed, suspended, and restarted
//! with or without their files, and the testbed relays the links between them. Every process ends with the fleet.

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

/// The tenant whose queries are sent.
pub const TENANT: &str = "demo";
/// Time within which the program does what it is called for, on any machine that is not stuck.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Second byte of the loopback addresses of the first fleet of this process, and the number of fleets until they repeat.
const FIRST_ADDRESS_BLOCK: u8 = 180;
const ADDRESS_BLOCKS: u8 = 64;

/// Number of fleets that this process has started.
static FLEETS_STARTED: AtomicU8 = AtomicU8::new(0);

/// The directions in which a manager is cut off from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutDirection {
    /// What it sends is lost.
    Outgoing,
    /// What is sent to it is lost.
    Incoming,
    /// Both.
    Both,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    binary: PathBuf,
    folder: TempDir,
    managers: Vec<Manager>,
    /// The links between the managers.
    pub links: Arc<Links>,
    /// Events that are in no log: kills.
    history: History,
}

impl Fleet {
    /// Starts all managers, and the relays between them.
    ///
    /// # Errors
    /// Fails where the plan is invalid, or a file, an address or a process is not available.
    pub async fn start(binary: &Path, plan: Plan) -> Result<Fleet, TestbedError> {
        if plan.managers > MAX_MANAGERS || plan.voters > plan.managers {
            return Err(TestbedError::Program(format!(
                "a fleet has at most {MAX_MANAGERS} managers, of which some vote"
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

    /// Address of a manager's administration API.
    pub fn admin_address(&self, number: usize) -> SocketAddr {
        self.managers[number].admin_address()
    }

    /// Address to which a manager's clients connect.
    pub fn client_address(&self, number: usize) -> SocketAddr {
        self.managers[number].client_address()
    }

    /// The file with the token of the administration API.
    pub fn token_file(&self) -> PathBuf {
        self.folder.path().join("token")
    }

    /// The process id of a running manager.
    pub fn process_id(&self, number: usize) -> Option<u32> {
        self.managers[number].process_id()
    }

    /// Number of managers, running or not.
    pub fn size(&self) -> usize {
        self.managers.len()
    }

    /// The managers that run and are not suspended.
    pub fn running(&self) -> Vec<usize> {
        let managers = self.managers.iter().enumerate();
        managers.filter(|(_, manager)| manager.is_running()).map(|(number, _)| number).collect()
    }

    /// Starts a manager that is not running.
    pub fn start_manager(&mut self, number: usize) -> Result<(), TestbedError> {
        let folder = self.folder.path();
        let config = folder.join(format!("m{number}.json"));
        let contents = configuration::configuration(&self.plan, &self.managers, number, folder);
        std::fs::write(&config, contents.to_string())?;
        let manager = &mut self.managers[number];
        let log = folder.join(format!("m{number}-{}.log", manager.logs.len()));
        manager.spawn(&self.binary, &config, log)
    }

    /// Restarts the managers whose processes have exited, as a service supervisor does; gives their number.
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

    /// Kills a manager at once.
    pub async fn kill(&mut self, number: usize) -> Result<(), TestbedError> {
        if let Some(mut child) = self.managers[number].child.take() {
            child.kill().await?;
            self.history.add(unix_us(), number, Event::Killed);
        }
        Ok(())
    }

    /// Requests a manager's graceful shutdown, and waits for its end.
    ///
    /// # Errors
    /// Fails where it does not end in time, or with an error.
    pub async fn terminate(&mut self, number: usize) -> Result<(), TestbedError> {
        self.managers[number].signal("-TERM").await?;
        if let Some(mut child) = self.managers[number].child.take() {
            let exit = tokio::time::timeout(TIMEOUT, child.wait()).await;
            let status = exit.map_err(|_| TestbedError::Program(format!("m{number} does not end")))??;
            if !status.success() {
                return Err(TestbedError::Program(format!("m{number} ended with {status}")));
            }
        }
        Ok(())
    }

    /// Suspends a manager's process.
    pub async fn suspend(&mut self, number: usize) -> Result<(), TestbedError> {
        self.managers[number].is_suspended = true;
        self.managers[number].signal("-STOP").await
    }

    /// Resumes a suspended process.
    pub async fn resume(&mut self, number: usize) -> Result<(), TestbedError> {
        self.managers[number].is_suspended = false;
        self.managers[number].signal("-CONT").await
    }

    /// Removes a file of a manager that is not running, by its extension: `votes` is the voter's state.
    pub fn remove_file(&self, number: usize, extension: &str) -> Result<(), TestbedError> {
        Ok(std::fs::remove_file(self.manager_file(number, extension))?)
    }

    /// Overwrites a file of a manager that is not running, by its extension.
    pub fn overwrite_file(&self, number: usize, extension: &str, bytes: &[u8]) -> Result<(), TestbedError> {
        Ok(std::fs::write(self.manager_file(number, extension), bytes)?)
    }

    fn manager_file(&self, number: usize, extension: &str) -> PathBuf {
        self.folder.path().join(format!("m{number}.{extension}"))
    }

    /// Cuts the links between a manager and its peers; the manager itself may be among `peers`.
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

    /// Sets the faults of one link.
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

    /// What the managers have done so far, by their logs.
    pub fn history(&self) -> Result<History, TestbedError> {
        let mut history = self.history.clone();
        for (number, manager) in self.managers.iter().enumerate() {
            for log in &manager.logs {
                history.add_log(number, &std::fs::read_to_string(log)?);
            }
        }
        Ok(history)
    }

    /// The log of a manager's last process.
    pub fn log(&self, number: usize) -> Result<String, TestbedError> {
        match self.managers[number].logs.last() {
            Some(log) => Ok(std::fs::read_to_string(log)?),
            None => Ok(String::new()),
        }
    }

    /// The file names of the complete backups, sorted.
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

/// Loopback addresses that no other fleet of this process uses, nor one of another process.
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
