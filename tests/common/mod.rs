//! The program as a process, and stand-ins for its clients and engines.
#![allow(dead_code)]

pub mod engines;
pub mod ldap;
pub mod names;

use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

static STARTED: AtomicU8 = AtomicU8::new(1);

/// A loopback address that no other test has, in this process or another: no two ever race for a port.
pub fn own_address() -> IpAddr {
    let [a, b] = (std::process::id() as u16).to_le_bytes();
    IpAddr::from([127, a, b, STARTED.fetch_add(1, Ordering::Relaxed)])
}

/// Waits until something holds, far longer than it takes on any machine that is not stuck.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < Duration::from_secs(30), "never came: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn settings() -> Value {
    let class = |name: &str, deadline: f64, effect: &str| {
        json!({"name": name, "targetMs": 1000, "deadlineMs": deadline, "idempotency": effect,
               "dedupScope": "all", "windowMs": 15000, "worth": 1})
    };
    json!({
        "allowed": {"attemptsCap": 3, "cancel": true, "probes": true, "maxRetryAfterMs": 2000},
        "classes": [class("lookup", 5e3, "repeatable"), class("report", 20e3, "repeatable"),
                    class("load", 25e3, "by_key"), class("post", 5e3, "once")],
        "customers": [{"name": "acme", "portion": 1.0, "quotaRps": 1000}],
        "discovery": "pushed", "models": ["std"], "replicasOfMe": 1, "stepMs": 5,
        "familyInfo": {"dop": [1, 2, 2, 1], "kindCores": [8], "ranksHeeded": true, "loads": [false, false, true, false]},
        "report": {"columns": ["util", "queue", "x0", "x1"]},
        "safety": {"coldFrom": 0.3, "overloadFactor": 2, "tipAfterMs": 1500, "warmUpMs": 9000},
    })
}

pub fn endpoint(name: &str, address: SocketAddr) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "std", "group": 0,
           "status": "ready", "weight": 1.0, "since_ms": 0})
}

pub struct Program {
    child: Child,
    pub http: SocketAddr,
    pub tds: SocketAddr,
    pub admin: SocketAddr,
    pub ops: SocketAddr,
    config: Value,
    files: Arc<tempdir::Dir>,
}

/// A folder of this test's own that goes with it.
mod tempdir {
    pub struct Dir(pub std::path::PathBuf);
    impl Drop for Dir {
        fn drop(&mut self) {
            let _gone = std::fs::remove_dir_all(&self.0);
        }
    }
}

pub const TOKEN: &str = "0123456789abcdef-token";

/// A configuration with the administration API on an address of its own, and no engines.
pub fn settings_file(folder: &std::path::Path) -> Value {
    std::fs::write(folder.join("token"), TOKEN).unwrap();
    let admin = SocketAddr::new(own_address(), 8081);
    json!({"settings": settings(), "admin": {"listen": admin.to_string(), "token_file": folder.join("token")}})
}

/// Starts the program on the engines, with more keys for its configuration.
pub fn start(engines: &[SocketAddr], more: Value) -> Program {
    start_by(engines, more, |config| spawn(config, None, &[], Stdio::inherit()))
}

/// Starts it as the platform does, which ends it by force some time after SIGTERM.
pub fn on_platform(engines: &[SocketAddr], more: Value) -> Program {
    start_by(engines, more, |config| {
        Command::new(env!("CARGO_BIN_EXE_sanddyke")).env("LB_CONFIG", config).spawn().unwrap()
    })
}

fn start_by(engines: &[SocketAddr], more: Value, spawn: impl Fn(&std::path::Path) -> Child) -> Program {
    let own = own_address();
    let (http, tds, admin) =
        (SocketAddr::new(own, 8080), SocketAddr::new(own, 1433), SocketAddr::new(own, 8081));
    let folder = std::env::temp_dir().join(format!("sanddyke-{}-{}", std::process::id(), own));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("token"), TOKEN).unwrap();
    let endpoints: Vec<Value> =
        engines.iter().enumerate().map(|(at, address)| endpoint(&format!("e{at}"), *address)).collect();
    let mut config = json!({
        "listen": http.to_string(), "settings": settings(),
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"snapshot": true, "endpoints": endpoints}}]},
        "tds": {"listen": tds.to_string()},
        "admin": {"listen": admin.to_string(), "token_file": folder.join("token")},
        "ops": SocketAddr::new(own, 19000).to_string(),
    });
    for (key, value) in more.as_object().unwrap() {
        match (config.get_mut(key).and_then(Value::as_object_mut), value.as_object()) {
            (Some(known), Some(more)) => known.extend(more.clone()),
            _ => config[key.as_str()] = value.clone(),
        }
    }
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    let files = Arc::new(tempdir::Dir(folder));
    let child = spawn(&files.0.join("config.json"));
    let ops = SocketAddr::new(own, 19000);
    let program = Program { child, http, tds, admin, ops, config, files };
    until("the program is ready", || {
        TcpStream::connect(http).is_ok() && program.call("GET", "/check", &[], "").status == 200
    });
    program
}

/// Starts a process; with a socket, as descriptor 3, which `LB_ACCEPT_FD` names.
pub fn spawn(
    config: &std::path::Path,
    socket: Option<&TcpListener>,
    more: &[(&str, &str)],
    log: Stdio,
) -> Child {
    let program = env!("CARGO_BIN_EXE_sanddyke");
    let mut command = match socket {
        None => Command::new(program),
        Some(socket) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", "exec \"$0\" \"$@\" 3<&0 </dev/null", program]);
            shell.stdin(Stdio::from(OwnedFd::from(socket.try_clone().unwrap()))).env("LB_ACCEPT_FD", "3");
            shell
        }
    };
    command.arg("--config").arg(config).envs(more.iter().copied()).stderr(log).spawn().unwrap()
}

/// Programs of one configuration on one listening socket, which the test holds as the platform does.
pub struct Held {
    pub socket: TcpListener,
    config: Value,
    files: Arc<tempdir::Dir>,
}

/// Such a socket, and a configuration on the engines with more keys.
pub fn held(engines: &[SocketAddr], more: Value) -> Held {
    let program = start(engines, more);
    let (config, files) = (program.config.clone(), program.files.clone());
    drop(program);
    let listen: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    Held { socket: TcpListener::bind(listen).unwrap(), config, files }
}

impl Held {
    /// Starts a program on the socket, with a second address of its own.
    pub fn start(&self) -> Program {
        self.start_with(&[], None)
    }

    /// The folder that all of them share.
    pub fn folder(&self) -> &std::path::Path {
        &self.files.0
    }

    /// Starts one with more variables, and its log in a file.
    pub fn start_with(&self, more: &[(&str, &str)], log: Option<&std::path::Path>) -> Program {
        let own = own_address();
        let (http, ops) = (self.socket.local_addr().unwrap(), SocketAddr::new(own, 19000));
        let mut config = self.config.clone();
        // Listeners that are not handed over would meet those of the other process.
        (config["tds"], config["admin"]) = (Value::Null, Value::Null);
        let path = self.files.0.join(format!("{own}.json"));
        std::fs::write(&path, config.to_string()).unwrap();
        let address = ops.to_string();
        let mut all = vec![("LB_OPS", address.as_str()), ("TMPDIR", self.files.0.to_str().unwrap())];
        all.extend(more);
        let log = log.map_or(Stdio::inherit(), |path| std::fs::File::create(path).unwrap().into());
        let child = spawn(&path, Some(&self.socket), &all, log);
        Program { child, http, tds: http, admin: http, ops, config, files: self.files.clone() }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _reaped = self.child.wait();
    }
}

#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// Reads one answer; `None` where the connection ended first.
pub fn read_reply(stream: &mut TcpStream) -> Option<Reply> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let mut reply = Reply { status: 0, head: String::from_utf8(bytes).unwrap(), body: String::new() };
    reply.status = reply.head[9..12].parse().unwrap();
    let mut body = vec![0; reply.field("Content-Length").unwrap().parse().unwrap()];
    stream.read_exact(&mut body).ok()?;
    reply.body = String::from_utf8(body).unwrap();
    Some(reply)
}

pub fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> String {
    let fields: String = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: app.svc\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Program {
    pub fn call(&self, method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> Reply {
        let mut stream = TcpStream::connect(self.http).unwrap();
        stream.write_all(request(method, target, fields, body).as_bytes()).unwrap();
        read_reply(&mut stream).expect("an answer")
    }

    /// A client's request over HTTP, sent and not yet answered.
    pub fn send(&self, name: &str, class: &str, ttl: u64, key: Option<&str>, statement: &str) -> TcpStream {
        let (txn, ttl) = (format!("{:0>16}", hex(name)), ttl.to_string());
        let mut fields = vec![("X-Txn", txn.as_str()), ("X-Ttl-Ms", &ttl), ("X-Merchant", "acme")];
        fields.extend(key.map(|key| ("X-Txn-Key", key)));
        let mut stream = TcpStream::connect(self.http).unwrap();
        stream.write_all(request("POST", &format!("/do/{class}"), &fields, statement).as_bytes()).unwrap();
        stream
    }

    pub fn admin(&self, method: &str, target: &str, token: &str) -> Reply {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        let field = format!("Bearer {token}");
        stream.write_all(request(method, target, &[("Authorization", &field)], "").as_bytes()).unwrap();
        read_reply(&mut stream).expect("an answer")
    }

    /// A call at the second address; `None` where it can't be reached.
    pub fn ops(&self, method: &str, target: &str) -> Option<Reply> {
        let mut stream = TcpStream::connect(self.ops).ok()?;
        stream.write_all(request(method, target, &[], "").as_bytes()).ok()?;
        read_reply(&mut stream)
    }

    /// What the second address says of its health.
    pub fn health(&self) -> Option<(u16, String)> {
        let reply = self.ops("GET", "/admin/health")?;
        Some((reply.status, reply.json()["state"].as_str().unwrap().to_owned()))
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(kill.success());
    }

    /// Suspends the process, or resumes it.
    ///
    /// `kill` returns once SIGSTOP is pending; each thread stops a little later, and may serve a request until then.
    /// So this waits until all of them are stopped.
    pub fn pause(&self, paused: bool) {
        if paused {
            self.signal("-STOP");
            until("every thread of the program is stopped", || self.is_stopped());
        } else {
            self.signal("-CONT");
        }
    }

    /// Whether every thread of the process is in state `T` (stopped), by proc(5).
    fn is_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        threads.into_iter().all(|thread| {
            // A thread may end between the two reads; the next poll lists the threads anew.
            let Ok(stat) = std::fs::read_to_string(thread.unwrap().path().join("stat")) else { return false };
            // The state follows the command's name, which is in parentheses and may hold some itself.
            let (_, after_name) = stat.rsplit_once(") ").unwrap();
            after_name.starts_with('T')
        })
    }

    /// Ends it at once, whatever it is doing.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn terminate(&mut self) {
        self.signal("-TERM");
    }

    /// Has the configuration and its files read again.
    pub fn hangup(&self) {
        self.signal("-HUP");
    }

    /// Writes the configuration anew, with one key changed, and has it read again.
    pub fn reload(&self, key: &str, value: Value) {
        let mut config = self.config.clone();
        config[key] = value;
        std::fs::write(self.files.0.join("config.json"), config.to_string()).unwrap();
        self.signal("-HUP");
    }

    /// A connection whose reads fail rather than wait for ever.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.http).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream
    }

    pub fn wait(&mut self) -> std::process::ExitStatus {
        self.child.wait().unwrap()
    }
}

pub fn hex(name: &str) -> String {
    name.bytes().map(|byte| format!("{byte:02x}")).collect()
}
