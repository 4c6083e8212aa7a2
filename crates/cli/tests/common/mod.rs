//! Processes of the program, asked over their sockets.
#![allow(dead_code)] // each table of cases uses its own part
use applepond_scenarios::faulty_network::FaultyNetwork;
use applepond_scenarios::fleet_settings::{ports, settings};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// No state is waited for longer.
const MOST: Duration = Duration::from_secs(40);
/// No read of this test waits longer.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct Serve {
    pub child: Child,
    pub at: SocketAddr,
}

impl Drop for Serve {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn serve(file: &Path, more: &[String]) -> Serve {
    serve_by(Path::new(env!("CARGO_BIN_EXE_applepond")), file, more)
}

/// The same by this build of the program.
pub fn serve_by(program: &Path, file: &Path, more: &[String]) -> Serve {
    let mut line = Command::new(program);
    line.arg("serve").arg("--with-parent").arg("--settings").arg(file).args(more);
    let mut child = line.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("it starts");
    let mut told = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut told).expect("a line");
    let at = told.trim().strip_prefix("listening ").and_then(|at| at.parse().ok()).expect("an address");
    Serve { child, at }
}

pub fn ask(at: SocketAddr, request: &str) -> TcpStream {
    let mut conn = TcpStream::connect(at).expect("it listens");
    conn.set_read_timeout(Some(PATIENCE)).expect("a time");
    conn.write_all(request.as_bytes()).expect("it reads");
    conn
}

/// The whole answer on a connection that ends after it.
pub fn told(mut conn: TcpStream) -> String {
    let mut all = String::new();
    conn.read_to_string(&mut all).expect("an answer");
    all
}

/// The state page.
pub fn state(at: SocketAddr) -> serde_json::Value {
    let page = told(ask(at, "GET /-/state HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
    let body = page.split_once("\r\n\r\n").expect("a head and a body").1;
    serde_json::from_str(body).expect("JSON")
}

/// Routers as processes whose datagrams go through a rig.
pub struct Fleet {
    pub routers: Vec<Option<Serve>>,
    pub ports: Vec<SocketAddr>,
    pub network: FaultyNetwork,
    pub folder: PathBuf,
    /// Further lines of each one's fleet block.
    more: Vec<String>,
}

impl Fleet {
    pub fn new(name: &str, many: usize, more: &dyn Fn(usize, &Path) -> String) -> Self {
        let folder = std::env::temp_dir().join(format!("applepond-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("key"), "a secret of a test's fleet\n").expect("a file");
        std::fs::write(folder.join("new-key"), "another one, just as long\n").expect("a file");
        let (ports, network) = (ports(many).expect("ports"), FaultyNetwork::new(1).expect("a socket"));
        let more = (0..many).map(|n| more(n, &folder)).collect();
        let mut fleet = Fleet { routers: (0..many).map(|_| None).collect(), ports, network, folder, more };
        (0..many).for_each(|n| fleet.start(n, &[]));
        fleet
    }

    /// Starts a router, with further words on its command line.
    pub fn start(&mut self, n: usize, words: &[&str]) {
        let mut line = vec!["--fleet-through".to_owned(), self.network.proxy.to_string()];
        line.extend(words.iter().map(|w| (*w).to_owned()));
        self.routers[n] = Some(serve(&self.write(n, "\"key\""), &line));
    }

    /// Ends a router by SIGTERM and starts it by this build of the program, on the files that it left.
    pub fn restart_by(&mut self, n: usize, program: &Path) {
        self.signal(n, Signal::TERM);
        let status = self.routers[n].as_mut().and_then(|router| router.child.wait().ok());
        assert!(status.is_some_and(|status| status.success()), "it ends by itself");
        let line = ["--fleet-through".to_owned(), self.network.proxy.to_string()];
        self.routers[n] = Some(serve_by(program, &self.write(n, "\"key\""), &line));
    }

    /// A router's settings with these key files.
    pub fn write(&self, n: usize, keys: &str) -> PathBuf {
        let file = self.folder.join(format!("r{n}.hcl"));
        let keys = keys.replace("\"key", &format!("\"{}/key", self.folder.display()));
        let keys = keys.replace("\"new-key", &format!("\"{}/new-key", self.folder.display()));
        let text = settings(n, &self.ports, &self.folder.join("key"));
        let text = text.replace(&format!("\"{}\"", self.folder.join("key").display()), &keys);
        let text = text.replace("fleet {\n", &format!("fleet {{\n{}", self.more[n]));
        std::fs::write(&file, text).expect("a file");
        file
    }

    /// Which settings hold, by count.
    pub fn switched(&self, n: usize) -> u64 {
        let page = state(self.routers[n].as_ref().expect("it runs").at);
        page["settings"]["switched"].as_u64().expect("a count")
    }

    pub fn fleet(&self, n: usize) -> Value {
        state(self.routers[n].as_ref().expect("it runs").at)["fleet"].take()
    }

    /// What a router takes another one for.
    pub fn standing(&self, n: usize, of: usize) -> Value {
        let fleet = self.fleet(n);
        let row = fleet["members"].as_array().and_then(|m| m.iter().find(|m| m["name"] == format!("r{of}")));
        row.cloned().unwrap_or_default()
    }

    /// Looks until this holds.
    pub fn until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let end = Instant::now() + MOST;
        while !holds(self) {
            assert!(Instant::now() < end, "{what}: {}", self.fleet(0));
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// All of these count so many and see the same.
    pub fn agree(&self, of: &[usize], live: usize) -> bool {
        let views: Vec<Value> = of.iter().map(|n| self.fleet(*n)).collect();
        views.iter().all(|v| v["live"] == live && v["view"] == views[0]["view"])
    }

    pub fn signal(&self, n: usize, signal: Signal) {
        let pid = Pid::from_child(&self.routers[n].as_ref().expect("it runs").child);
        kill_process(pid, signal).expect("it runs");
    }
}
