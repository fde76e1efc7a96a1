//! The program as a process, and test doubles for its clients, engines and services.
#![allow(dead_code)]

pub mod dns;
pub mod engines;
pub mod ldap;
pub mod tds_client;

use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// The last byte of the next address of [`unique_address`].
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// A loopback address that no other test uses, in this process or another, so that no two race for a port.
pub fn unique_address() -> IpAddr {
    let [a, b] = (std::process::id() as u16).to_le_bytes();
    IpAddr::from([127, a, b, NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed)])
}

/// Time limit of [`wait_until`]. It is far longer than any awaited event takes, also on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a condition holds. `description` names it if the wait times out.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not within {WAIT_TIMEOUT:?}: {description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The platform's settings: four classes, one tenant, one kind of engine.
pub fn settings() -> Value {
    let class = |name: &str, deadline_ms: f64, idempotency: &str| {
        json!({"name": name, "targetMs": 1000, "deadlineMs": deadline_ms, "idempotency": idempotency,
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

/// An entry of an endpoint list, for an engine that is ready.
pub fn endpoint(name: &str, address: SocketAddr) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "std", "group": 0,
           "status": "ready", "weight": 1.0, "since_ms": 0})
}

/// A running program. It is killed when this is dropped.
pub struct Program {
    child: Child,
    /// The address of the HTTP frontend.
    pub http: SocketAddr,
    /// The address of the TDS frontend.
    pub tds: SocketAddr,
    /// The address of the administration API.
    pub admin: SocketAddr,
    /// The address of the operations endpoint.
    pub ops: SocketAddr,
    config: Value,
    files: Arc<tempdir::Dir>,
}

/// Temporary directories.
mod tempdir {
    /// A directory that is removed when this is dropped.
    pub struct Dir(pub std::path::PathBuf);
    impl Drop for Dir {
        fn drop(&mut self) {
            let _removed = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// The root token of the administration API.
pub const TOKEN: &str = "0123456789abcdef-token";

/// A configuration with the administration API at a unique address, and no engines. Its token file is in `folder`.
pub fn admin_only_config(folder: &std::path::Path) -> Value {
    std::fs::write(folder.join("token"), TOKEN).unwrap();
    let admin = SocketAddr::new(unique_address(), 8081);
    json!({"settings": settings(), "admin": {"listen": admin.to_string(), "token_file": folder.join("token")}})
}

/// Starts the program with these engines, and waits until it is ready. `overrides` are keys of its configuration.
pub fn start(engines: &[SocketAddr], overrides: Value) -> Program {
    start_with_command(engines, overrides, |config| spawn(config, None, &[], Stdio::inherit()))
}

/// Starts the program as the platform does, which kills it some time after SIGTERM.
pub fn start_on_platform(engines: &[SocketAddr], overrides: Value) -> Program {
    start_with_command(engines, overrides, |config| {
        Command::new(env!("CARGO_BIN_EXE_sanddyke")).env("LB_CONFIG", config).spawn().unwrap()
    })
}

fn start_with_command(
    engines: &[SocketAddr],
    overrides: Value,
    spawn: impl Fn(&std::path::Path) -> Child,
) -> Program {
    let own = unique_address();
    let http = SocketAddr::new(own, 8080);
    let tds = SocketAddr::new(own, 1433);
    let admin = SocketAddr::new(own, 8081);
    let ops = SocketAddr::new(own, 19000);
    let folder = std::env::temp_dir().join(format!("sanddyke-{}-{}", std::process::id(), own));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("token"), TOKEN).unwrap();
    let endpoints: Vec<Value> =
        engines.iter().enumerate().map(|(index, address)| endpoint(&format!("e{index}"), *address)).collect();
    let mut config = json!({
        "listen": http.to_string(), "settings": settings(),
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"snapshot": true, "endpoints": endpoints}}]},
        "tds": {"listen": tds.to_string()},
        "admin": {"listen": admin.to_string(), "token_file": folder.join("token")},
        "ops": ops.to_string(),
    });
    for (key, value) in overrides.as_object().unwrap() {
        match (config.get_mut(key).and_then(Value::as_object_mut), value.as_object()) {
            (Some(object), Some(overrides)) => object.extend(overrides.clone()),
            _ => config[key.as_str()] = value.clone(),
        }
    }
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    let files = Arc::new(tempdir::Dir(folder));
    let child = spawn(&files.0.join("config.json"));
    let program = Program { child, http, tds, admin, ops, config, files };
    wait_until("the program is ready", || {
        TcpStream::connect(http).is_ok() && program.call("GET", "/check", &[], "").status == 200
    });
    program
}

/// Starts a process with these environment variables. The socket is passed as descriptor 3, with `LB_ACCEPT_FD=3`.
pub fn spawn(
    config: &std::path::Path,
    socket: Option<&TcpListener>,
    variables: &[(&str, &str)],
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
    command.arg("--config").arg(config).envs(variables.iter().copied()).stderr(log).spawn().unwrap()
}

/// A listening socket that is passed to programs of one configuration (socket activation), as the platform does.
pub struct SocketActivation {
    /// The socket, which stays open while programs are started and stopped.
    pub socket: TcpListener,
    config: Value,
    files: Arc<tempdir::Dir>,
}

/// Opens a socket for socket activation, with the configuration that [`start`] uses.
pub fn socket_activation(engines: &[SocketAddr], overrides: Value) -> SocketActivation {
    let program = start(engines, overrides);
    let config = program.config.clone();
    let files = program.files.clone();
    drop(program);
    let listen: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    SocketActivation { socket: TcpListener::bind(listen).unwrap(), config, files }
}

impl SocketActivation {
    /// Starts a program on the socket, with an operations endpoint of its own.
    pub fn start(&self) -> Program {
        self.start_with(&[], None)
    }

    /// The directory that all programs on the socket share.
    pub fn folder(&self) -> &std::path::Path {
        &self.files.0
    }

    /// Starts a program with additional environment variables, and with its log in a file.
    pub fn start_with(&self, variables: &[(&str, &str)], log: Option<&std::path::Path>) -> Program {
        let own = unique_address();
        let (http, ops) = (self.socket.local_addr().unwrap(), SocketAddr::new(own, 19000));
        let mut config = self.config.clone();
        // Only this socket is shared. Two programs with the other listeners would bind the same addresses.
        (config["tds"], config["admin"]) = (Value::Null, Value::Null);
        let path = self.files.0.join(format!("{own}.json"));
        std::fs::write(&path, config.to_string()).unwrap();
        let address = ops.to_string();
        let mut all = vec![("LB_OPS", address.as_str()), ("TMPDIR", self.files.0.to_str().unwrap())];
        all.extend(variables);
        let log = log.map_or(Stdio::inherit(), |path| std::fs::File::create(path).unwrap().into());
        let child = spawn(&path, Some(&self.socket), &all, log);
        Program { child, http, tds: http, admin: http, ops, config, files: self.files.clone() }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// An HTTP response.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The status line and the header fields, as received.
    pub head: String,
    /// The body.
    pub body: String,
}

impl Reply {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// The value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// Reads one response; `None` if the connection was closed first.
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

/// Formats an HTTP request.
pub fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> String {
    let fields: String = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: app.svc\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Program {
    /// Sends a request over HTTP and reads the response.
    pub fn call(&self, method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> Reply {
        let mut stream = TcpStream::connect(self.http).unwrap();
        stream.write_all(request(method, target, fields, body).as_bytes()).unwrap();
        read_reply(&mut stream).expect("an answer")
    }

    /// Sends a query of the tenant `acme` over HTTP. The response is to be read from the returned connection.
    pub fn send(
        &self,
        client_request_id: &str,
        class: &str,
        ttl_ms: u64,
        key: Option<&str>,
        statement: &str,
    ) -> TcpStream {
        let client_request_id = format!("{:0>16}", hex(client_request_id));
        let ttl_ms = ttl_ms.to_string();
        let mut fields =
            vec![("X-Txn", client_request_id.as_str()), ("X-Ttl-Ms", &ttl_ms), ("X-Merchant", "acme")];
        fields.extend(key.map(|key| ("X-Txn-Key", key)));
        let mut stream = TcpStream::connect(self.http).unwrap();
        stream.write_all(request("POST", &format!("/do/{class}"), &fields, statement).as_bytes()).unwrap();
        stream
    }

    /// Sends a request to the administration API and reads the response.
    pub fn admin(&self, method: &str, target: &str, token: &str) -> Reply {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        let field = format!("Bearer {token}");
        stream.write_all(request(method, target, &[("Authorization", &field)], "").as_bytes()).unwrap();
        read_reply(&mut stream).expect("an answer")
    }

    /// Sends a request to the operations endpoint and reads the response; `None` if it cannot be reached.
    pub fn ops(&self, method: &str, target: &str) -> Option<Reply> {
        let mut stream = TcpStream::connect(self.ops).ok()?;
        stream.write_all(request(method, target, &[], "").as_bytes()).ok()?;
        read_reply(&mut stream)
    }

    /// The status and the state that the operations endpoint reports.
    pub fn health(&self) -> Option<(u16, String)> {
        let reply = self.ops("GET", "/admin/health")?;
        Some((reply.status, reply.json()["state"].as_str().unwrap().to_owned()))
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(kill.success());
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Suspends or resumes the process.
    ///
    /// `kill` returns once SIGSTOP is pending; each thread stops a little later, and may serve a request until then.
    /// This waits until all threads are stopped.
    pub fn pause(&self, paused: bool) {
        if paused {
            self.signal("-STOP");
            wait_until("every thread of the program is stopped", || self.is_stopped());
        } else {
            self.signal("-CONT");
        }
    }

    /// Whether every thread of the process is in state `T` (stopped), by proc(5).
    fn is_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        threads.into_iter().all(|thread| {
            // A thread may end between the two reads; the next poll lists the threads again.
            let Ok(stat) = std::fs::read_to_string(thread.unwrap().path().join("stat")) else { return false };
            // The state follows the command's name, which is in parentheses and may contain parentheses itself.
            let (_, after_name) = stat.rsplit_once(") ").unwrap();
            after_name.starts_with('T')
        })
    }

    /// Kills the process, and waits until it has exited.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        self.signal("-TERM");
    }

    /// Sends SIGHUP, on which the program reloads its configuration and certificate files.
    pub fn hangup(&self) {
        self.signal("-HUP");
    }

    /// Changes one key of the configuration file, and sends SIGHUP.
    pub fn reload(&self, key: &str, value: Value) {
        let mut config = self.config.clone();
        config[key] = value;
        std::fs::write(self.files.0.join("config.json"), config.to_string()).unwrap();
        self.signal("-HUP");
    }

    /// Connects to the HTTP frontend, with a read time-out of 20 s.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.http).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> std::process::ExitStatus {
        self.child.wait().unwrap()
    }
}

/// The bytes of a text in hexadecimal digits.
pub fn hex(name: &str) -> String {
    name.bytes().map(|byte| format!("{byte:02x}")).collect()
}
