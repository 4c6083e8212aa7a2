//! Runs processes of the program and talks to them over their sockets.
#![allow(dead_code)] // each test file uses a subset
use applepond_scenarios::faulty_network::FaultyNetwork;
use applepond_scenarios::fleet_settings::{ports, settings};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time to wait for a state.
const STATE_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout of a read from a socket.
pub const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A running router, which is killed when dropped.
pub struct RouterProcess {
    pub child: Child,
    pub at: SocketAddr,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn start_router(settings: &Path, extra_args: &[String]) -> RouterProcess {
    start_router_with(Path::new(env!("CARGO_BIN_EXE_applepond")), settings, extra_args)
}

/// Starts a router with the given build of the program.
pub fn start_router_with(program: &Path, settings: &Path, extra_args: &[String]) -> RouterProcess {
    let mut command = Command::new(program);
    command.arg("serve").arg("--with-parent").arg("--settings").arg(settings).args(extra_args);
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("program starts");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
    let at = line.trim().strip_prefix("listening ").and_then(|at| at.parse().ok()).expect("an address");
    RouterProcess { child, at }
}

pub fn send_request(at: SocketAddr, request: &str) -> TcpStream {
    let mut conn = TcpStream::connect(at).expect("router listens");
    conn.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout set");
    conn.write_all(request.as_bytes()).expect("request sent");
    conn
}

/// Reads a response up to the end of its connection.
pub fn read_response(mut conn: TcpStream) -> String {
    let mut response = String::new();
    conn.read_to_string(&mut response).expect("a response");
    response
}

/// Fetches the state page.
pub fn state_page(at: SocketAddr) -> serde_json::Value {
    let page =
        read_response(send_request(at, "GET /-/state HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
    let body = page.split_once("\r\n\r\n").expect("a head and a body").1;
    serde_json::from_str(body).expect("JSON")
}

/// A fleet of router processes whose datagrams pass through a fault-injecting proxy.
pub struct Fleet {
    pub routers: Vec<Option<RouterProcess>>,
    pub ports: Vec<SocketAddr>,
    pub network: FaultyNetwork,
    pub folder: PathBuf,
    /// Extra lines in the fleet block of each router.
    extra_settings: Vec<String>,
}

impl Fleet {
    pub fn new(name: &str, size: usize, extra_settings: &dyn Fn(usize, &Path) -> String) -> Self {
        let folder = std::env::temp_dir().join(format!("applepond-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("key"), "a secret of a test's fleet\n").expect("a file");
        std::fs::write(folder.join("new-key"), "another one, just as long\n").expect("a file");
        let (ports, network) = (ports(size).expect("ports"), FaultyNetwork::new(1).expect("a socket"));
        let extra_settings = (0..size).map(|n| extra_settings(n, &folder)).collect();
        let mut fleet =
            Fleet { routers: (0..size).map(|_| None).collect(), ports, network, folder, extra_settings };
        (0..size).for_each(|n| fleet.start(n, &[]));
        fleet
    }

    /// Starts a router with extra command-line arguments.
    pub fn start(&mut self, n: usize, extra_args: &[&str]) {
        let mut args = vec!["--fleet-through".to_owned(), self.network.proxy.to_string()];
        args.extend(extra_args.iter().map(|arg| (*arg).to_owned()));
        self.routers[n] = Some(start_router(&self.write_settings(n, "\"key\""), &args));
    }

    /// Stops a router with SIGTERM and restarts it with the given build of the program, on its existing
    /// files.
    pub fn restart_with(&mut self, n: usize, program: &Path) {
        self.signal(n, Signal::TERM);
        let status = self.routers[n].as_mut().and_then(|router| router.child.wait().ok());
        assert!(status.is_some_and(|status| status.success()), "router exits on SIGTERM");
        let args = ["--fleet-through".to_owned(), self.network.proxy.to_string()];
        self.routers[n] = Some(start_router_with(program, &self.write_settings(n, "\"key\""), &args));
    }

    /// Writes the settings of a router with these key files.
    pub fn write_settings(&self, n: usize, keys: &str) -> PathBuf {
        let file = self.folder.join(format!("r{n}.hcl"));
        let keys = keys.replace("\"key", &format!("\"{}/key", self.folder.display()));
        let keys = keys.replace("\"new-key", &format!("\"{}/new-key", self.folder.display()));
        let text = settings(n, &self.ports, &self.folder.join("key"));
        let text = text.replace(&format!("\"{}\"", self.folder.join("key").display()), &keys);
        let text = text.replace("fleet {\n", &format!("fleet {{\n{}", self.extra_settings[n]));
        std::fs::write(&file, text).expect("a file");
        file
    }

    /// Number of times that a router has switched to new settings.
    pub fn switch_count(&self, n: usize) -> u64 {
        let page = state_page(self.routers[n].as_ref().expect("router runs").at);
        page["settings"]["switched"].as_u64().expect("a count")
    }

    /// Fleet section of a router's state page.
    pub fn fleet_section(&self, n: usize) -> Value {
        state_page(self.routers[n].as_ref().expect("router runs").at)["fleet"].take()
    }

    /// A router's state page entry for another member.
    pub fn member_row(&self, n: usize, other: usize) -> Value {
        let fleet = self.fleet_section(n);
        let row = fleet["members"]
            .as_array()
            .and_then(|rows| rows.iter().find(|row| row["name"] == format!("r{other}")));
        row.cloned().unwrap_or_default()
    }

    /// Polls until the condition holds.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let end = Instant::now() + STATE_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < end, "{what}: {}", self.fleet_section(0));
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns whether these routers have the same view, with this number of live members.
    pub fn views_agree(&self, routers: &[usize], live: usize) -> bool {
        let views: Vec<Value> = routers.iter().map(|n| self.fleet_section(*n)).collect();
        views.iter().all(|view| view["live"] == live && view["view"] == views[0]["view"])
    }

    pub fn signal(&self, n: usize, signal: Signal) {
        let pid = Pid::from_child(&self.routers[n].as_ref().expect("router runs").child);
        kill_process(pid, signal).expect("router runs");
    }
}
