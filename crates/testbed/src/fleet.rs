//! Several real processes of the program as one fleet, with faults between them: killed, stopped and continued,
//! restarted with their files or without, and with links that the rig holds. Every process ends with the fleet.

use crate::TestbedError;
use crate::experiment::Class;
use crate::history::{Event, History};
use crate::links::{LinkFault, Links};
use crate::program::{TOKEN, call, settings};
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

static STARTED: AtomicU8 = AtomicU8::new(0);
/// The tenant whose queries are sent.
pub const TENANT: &str = "demo";
/// Managers of one fleet.
pub const MOST: usize = 30;
/// What the program is asked for comes within this, on any machine that is not stuck.
const WITHIN: Duration = Duration::from_secs(60);

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Managers, up to [`MOST`].
    pub managers: usize,
    /// The first so many of them vote.
    pub voters: usize,
    /// Duration of each lease, in ms.
    pub lease_ms: u64,
    /// Time between two scheduled backups, in ms.
    pub backup_every_ms: u64,
    /// For the links' random numbers.
    pub seed: u64,
    /// Engines that all managers know; with them comes a class `lookup`.
    pub engines: Vec<SocketAddr>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan { managers: 3, voters: 3, lease_ms: 1500, backup_every_ms: 1000, seed: 1, engines: Vec::new() }
    }
}

#[derive(Debug)]
struct One {
    address: IpAddr,
    child: Option<Child>,
    /// One log a life.
    logs: Vec<PathBuf>,
    stopped: bool,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    binary: PathBuf,
    folder: TempDir,
    managers: Vec<One>,
    /// Faults between them.
    pub links: Arc<Links>,
    history: History,
}

fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

impl Fleet {
    /// Starts all managers, and the links between them.
    pub async fn start(binary: &Path, plan: Plan) -> Result<Fleet, TestbedError> {
        if plan.managers > MOST || plan.voters > plan.managers {
            return Err(TestbedError::Program(format!(
                "a fleet has at most {MOST} managers, of which some vote"
            )));
        }
        let folder = tempfile::tempdir()?;
        std::fs::create_dir(folder.path().join("backups"))?;
        std::fs::write(folder.path().join("token"), TOKEN)?;
        let [a, b] = (std::process::id() as u16).to_le_bytes();
        // No two fleets of this process, or of another, race for a port.
        let place = 180 + STARTED.fetch_add(1, Ordering::Relaxed) % 64;
        let links = Links::new(plan.seed);
        let mut managers = Vec::new();
        for number in 0..plan.managers {
            let spread = a.wrapping_add((number as u8) << 3);
            let address = IpAddr::from([127, place, spread, b]);
            links.relay(SocketAddr::new(address, 9200), SocketAddr::new(address, 9100)).await?;
            managers.push(One { address, child: None, logs: Vec::new(), stopped: false });
        }
        let binary = binary.to_owned();
        let mut fleet = Fleet { plan, binary, folder, managers, links, history: History::default() };
        (0..fleet.plan.managers).try_for_each(|number| fleet.run(number))?;
        Ok(fleet)
    }

    fn classes(&self) -> Vec<Class> {
        let lookup = Class {
            name: "lookup".to_owned(),
            target_ms: 500.0,
            deadline_ms: 5000.0,
            idempotency: "repeatable".to_owned(),
            work_ms: 5.0,
            threads: 1.0,
            memory_mb: 0.0,
            worth: 1.0,
        };
        if self.plan.engines.is_empty() { Vec::new() } else { vec![lookup] }
    }

    /// Makes the tenant of [`Fleet::ask`] at every manager: each has a store of its own.
    pub async fn make_tenant(&self) -> Result<(), TestbedError> {
        for number in self.running() {
            call(self.admin(number), "POST", "/v1/tenants", &json!({ "name": TENANT }).to_string()).await?;
        }
        Ok(())
    }

    /// Where a manager's administration API is.
    pub fn admin(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.managers[number].address, 8081)
    }

    /// The file with the administration API's token.
    pub fn token_file(&self) -> PathBuf {
        self.folder.path().join("token")
    }

    /// Where a manager's clients connect.
    pub fn http(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.managers[number].address, 8080)
    }

    /// Sends a manager a query under a number; gives the status and how long the answer took.
    pub async fn ask(&self, manager: usize, number: u64) -> Result<(u16, Duration), TestbedError> {
        let (began, body) = (Instant::now(), "work=5 SELECT 1 FROM s_1.t");
        let mut stream = TcpStream::connect(self.http(manager)).await?;
        let request = format!(
            "POST /do/lookup HTTP/1.1\r\nHost: rig\r\nX-Txn: {number:016x}\r\nX-Ttl-Ms: 3000\r\nX-Merchant: {TENANT}\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        let status = answer.get(9..12).and_then(|status| status.parse().ok());
        Ok((status.unwrap_or(0), began.elapsed()))
    }

    /// The process of a manager that runs.
    pub fn id(&self, number: usize) -> Option<u32> {
        self.managers[number].child.as_ref().and_then(Child::id)
    }

    /// Managers, running or not.
    pub fn size(&self) -> usize {
        self.managers.len()
    }

    fn config(&self, number: usize) -> Value {
        let at = |port: u16| SocketAddr::new(self.managers[number].address, port).to_string();
        let name = |number: usize| format!("m{number}");
        let file = |name: String| self.folder.path().join(name);
        let endpoints: Vec<Value> = self.plan.engines.iter().enumerate().map(|(engine, address)| {
            json!({"name": format!("e{engine}"), "address": address.to_string(), "zone": "a", "type": "std"})
        }).collect();
        let seeds = self.managers[..self.plan.voters]
            .iter()
            .map(|one| SocketAddr::new(one.address, 9200).to_string());
        json!({
            "name": name(number), "listen": at(8080), "ops": at(9000), "limits": {"sockets": 256},
            "settings": settings(&self.classes(), 4.0, 4096.0),
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"snapshot": true, "endpoints": endpoints}}]},
            "admin": {"listen": at(8081), "token_file": file("token".to_owned())},
            "store": {"path": file(format!("m{number}.redb")), "backups": file("backups".to_owned())},
            "cluster": {
                "name": "rig", "listen": at(9100), "advertise": at(9200), "seeds": seeds.collect::<Vec<_>>(),
                "voters": (0..self.plan.voters).map(name).collect::<Vec<_>>(),
                "path": file(format!("m{number}.votes")), "zone": format!("z{}", number % 3),
                "lease_ms": self.plan.lease_ms, "backup_every_ms": self.plan.backup_every_ms,
            },
        })
    }

    /// Starts a manager that does not run.
    pub fn run(&mut self, number: usize) -> Result<(), TestbedError> {
        let path = self.folder.path().join(format!("m{number}.json"));
        std::fs::write(&path, self.config(number).to_string())?;
        let life = self.managers[number].logs.len();
        let log = self.folder.path().join(format!("m{number}-{life}.log"));
        let mut command = Command::new(&self.binary);
        command.arg("--config").arg(&path).env("RUST_LOG", "info,sanddyke::cluster=debug").kill_on_drop(true);
        command.stderr(std::fs::File::create(&log)?).stdout(std::process::Stdio::null());
        let child = command
            .spawn()
            .map_err(|error| TestbedError::Program(format!("{}: {error}", self.binary.display())))?;
        let one = &mut self.managers[number];
        (one.child, one.stopped) = (Some(child), false);
        one.logs.push(log);
        Ok(())
    }

    async fn signal(&mut self, number: usize, name: &str) -> Result<(), TestbedError> {
        let id = self.managers[number].child.as_ref().and_then(Child::id);
        let Some(id) = id else { return Ok(()) };
        // By its own id, and nothing else.
        Command::new("kill").args([name, &id.to_string()]).status().await?;
        Ok(())
    }

    /// Kills a manager at once.
    pub async fn kill(&mut self, number: usize) -> Result<(), TestbedError> {
        if let Some(mut child) = self.managers[number].child.take() {
            child.kill().await?;
            self.history.add(unix_us(), number, Event::Killed);
        }
        Ok(())
    }

    /// Tells a manager to end, and waits until it has.
    pub async fn terminate(&mut self, number: usize) -> Result<(), TestbedError> {
        self.signal(number, "-TERM").await?;
        if let Some(mut child) = self.managers[number].child.take() {
            let ended = tokio::time::timeout(WITHIN, child.wait()).await;
            let ended = ended.map_err(|_| TestbedError::Program(format!("m{number} does not end")))??;
            if !ended.success() {
                return Err(TestbedError::Program(format!("m{number} ended with {ended}")));
            }
        }
        Ok(())
    }

    /// Has a manager stand still, or go on.
    pub async fn stop(&mut self, number: usize, stopped: bool) -> Result<(), TestbedError> {
        self.managers[number].stopped = stopped;
        self.signal(number, if stopped { "-STOP" } else { "-CONT" }).await
    }

    /// Removes the file of a manager that does not run: with `votes`, what it promised as a voter.
    pub fn lose(&self, number: usize, what: &str) -> Result<(), TestbedError> {
        Ok(std::fs::remove_file(self.folder.path().join(format!("m{number}.{what}")))?)
    }

    /// Replaces the file of a manager that does not run.
    pub fn spoil(&self, number: usize, what: &str, bytes: &[u8]) -> Result<(), TestbedError> {
        Ok(std::fs::write(self.folder.path().join(format!("m{number}.{what}")), bytes)?)
    }

    /// Cuts a manager off: from those in `peers`, what it says (`out`) and what it is told (`inward`).
    pub fn cut(&self, number: usize, peers: &[usize], out: bool, inward: bool) {
        let cut = LinkFault { cut: true, ..LinkFault::default() };
        for peer in peers.iter().filter(|peer| **peer != number) {
            if out {
                self.set(number, *peer, cut);
            }
            if inward {
                self.set(*peer, number, cut);
            }
        }
    }

    /// Sets the faults of one link.
    pub fn set(&self, from: usize, to: usize, fault: LinkFault) {
        self.links.set(self.managers[from].address, self.managers[to].address, fault);
    }

    /// Sets the same faults on every link.
    pub fn set_all_links(&self, fault: LinkFault) {
        for (from, to) in self.managers.iter().flat_map(|from| self.managers.iter().map(move |to| (from, to)))
        {
            self.links.set(from.address, to.address, fault);
        }
    }

    /// Calls a manager's administration API.
    pub async fn call(&self, number: usize, method: &str, target: &str) -> Result<Value, TestbedError> {
        call(self.admin(number), method, target, "").await
    }

    /// An operator's call with a body, of whichever manager takes it.
    pub async fn govern(&self, target: &str, body: &str) -> Result<usize, TestbedError> {
        let began = Instant::now();
        loop {
            let mut last = None;
            for number in self.running() {
                match call(self.admin(number), "POST", target, body).await {
                    Ok(_) => return Ok(number),
                    Err(why) => last = Some(why),
                }
            }
            if began.elapsed() > WITHIN {
                return Err(last.unwrap_or(TestbedError::Program("no manager runs".to_owned())));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Starts what has ended by itself, as what runs the program does; gives how many.
    pub fn revive(&mut self) -> Result<usize, TestbedError> {
        let mut ended = Vec::new();
        for (number, one) in self.managers.iter_mut().enumerate() {
            if let Some(child) = &mut one.child
                && child.try_wait()?.is_some()
            {
                ended.push(number);
            }
        }
        ended.iter().try_for_each(|number| self.run(*number))?;
        Ok(ended.len())
    }

    /// The fleet as one manager sees it.
    pub async fn view(&self, number: usize) -> Result<Value, TestbedError> {
        self.call(number, "GET", "/v1/fleet").await
    }

    /// A call at a manager's second address; gives the status.
    pub async fn ops(&self, number: usize, method: &str, target: &str) -> Result<u16, TestbedError> {
        let mut stream = TcpStream::connect(SocketAddr::new(self.managers[number].address, 9000)).await?;
        stream
            .write_all(
                format!("{method} {target} HTTP/1.1\r\nHost: rig\r\nContent-Length: 0\r\n\r\n").as_bytes(),
            )
            .await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0))
    }

    /// Managers that run and were not stopped.
    pub fn running(&self) -> Vec<usize> {
        let all = self.managers.iter().enumerate();
        all.filter(|(_, one)| one.child.is_some() && !one.stopped).map(|(number, _)| number).collect()
    }

    /// The manager that holds a lease now, as reported by itself.
    pub async fn holder(&self, lease: &str) -> Option<usize> {
        for number in self.running() {
            let Ok(view) = self.view(number).await else { continue };
            let leases = view["duties"].as_array().cloned().unwrap_or_default();
            if leases.iter().any(|view| view["name"] == lease && view["left_ms"].is_u64()) {
                return Some(number);
            }
        }
        None
    }

    /// Waits until a manager other than `not` holds a lease.
    pub async fn wait_for_holder(&self, lease: &str, not: Option<usize>) -> Result<usize, TestbedError> {
        let began = Instant::now();
        while began.elapsed() < WITHIN {
            if let Some(holder) = self.holder(lease).await.filter(|holder| Some(*holder) != not) {
                return Ok(holder);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let mut seen = String::new();
        for number in self.running() {
            match self.view(number).await {
                Ok(view) => seen.push_str(&format!("; m{number}: {view}")),
                Err(why) => seen.push_str(&format!("; m{number}: {why}")),
            }
        }
        Err(TestbedError::Program(format!("nobody holds {lease}{seen}")))
    }

    /// Waits until what one manager shows of the fleet fits.
    pub async fn until(
        &self,
        number: usize,
        what: &str,
        fits: impl Fn(&Value) -> bool,
    ) -> Result<Value, TestbedError> {
        let began = Instant::now();
        while began.elapsed() < WITHIN {
            if let Ok(view) = self.view(number).await
                && fits(&view)
            {
                return Ok(view);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(TestbedError::Program(format!("m{number} never showed {what}")))
    }

    /// What the fleet has done so far.
    pub fn history(&self) -> Result<History, TestbedError> {
        let mut history = self.history.clone();
        for (number, one) in self.managers.iter().enumerate() {
            for log in &one.logs {
                history.add_log(number, &std::fs::read_to_string(log)?);
            }
        }
        Ok(history)
    }

    /// The log of a manager's last life.
    pub fn log(&self, number: usize) -> Result<String, TestbedError> {
        Ok(match self.managers[number].logs.last() {
            Some(log) => std::fs::read_to_string(log)?,
            None => String::new(),
        })
    }

    /// The names of the backups that are there, whole.
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
