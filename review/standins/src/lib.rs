//! Parts shared by the stand-ins of the review: a record of what happened, HTTP/1.1 messages, the processes
//! of the project, and a gateway's client. Standard library only, threads and blocking sockets.
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit status: the rule held.
pub const HELD: i32 = 0;
/// Exit status: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status: the case could not run.
pub const NOT_RUN: i32 = 2;

/// Whether the case is played with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The temporary folder of this run, made by `run.sh`.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").expect("run.sh sets CASE_TMP"))
}

/// Ends the case as not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(NOT_RUN)
}

/// The record of one run, with the milliseconds since its start before each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file named by `CASE_RECORD`.
    pub fn create() -> Record {
        let path = std::env::var("CASE_RECORD").expect("run.sh sets CASE_RECORD");
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>9.1} ms  {text}\n", self.now().as_secs_f64() * 1000.0);
        let _ = self.file.lock().expect("no holder panics").write_all(line.as_bytes());
    }
}

/// One HTTP/1.1 message with its length in `Content-Length`.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    /// Header fields by lower-case name.
    pub fields: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; `None` at the end of the connection.
    pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
        let mut start = String::new();
        if from.read_line(&mut start)? == 0 {
            return Ok(None);
        }
        let mut fields = BTreeMap::new();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        from.read_exact(&mut body)?;
        Ok(Some(Message { start: start.trim_end().to_owned(), fields, body }))
    }

    /// A field's value, or the empty text.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// The status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A worker's answer: a result event of CloudEvents in binary mode.
pub fn result_event(id: &str, worker: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nce-specversion: 1.0\r\nce-type: result\r\nce-id: {id}\r\n\
         ce-source: /workers/{worker}\r\nContent-Type: application/json\r\napplepond-copy: stood\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// An event for the gateway, in binary mode.
pub struct Event<'a> {
    pub source: &'a str,
    pub id: &'a str,
    pub event_type: &'a str,
    pub subject: &'a str,
    /// How long the client waits for this try.
    pub time_limit: Duration,
    /// Whether it is a later try of the same event.
    pub retry: bool,
    pub body: &'a str,
}

impl Event<'_> {
    /// The event as an HTTP request.
    pub fn encode(&self) -> Vec<u8> {
        let retry = if self.retry { "ce-retry: true\r\n" } else { "" };
        format!(
            "POST /events HTTP/1.1\r\nHost: gateway\r\nce-specversion: 1.0\r\nce-id: {}\r\nce-source: {}\r\n\
             ce-type: {}\r\nce-subject: {}\r\nce-timelimit: {}\r\n{retry}Content-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{}",
            self.id,
            self.source,
            self.event_type,
            self.subject,
            self.time_limit.as_millis(),
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

/// A loopback address that was free a moment ago and has not been given before. It is not 127.0.0.1, from
/// which connections are made, so none of them takes its port.
pub fn free_address() -> SocketAddr {
    static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind("127.0.0.7:0");
        let address = listener.and_then(|listener| listener.local_addr());
        let address = address.unwrap_or_else(|error| cannot_run(&error.to_string()));
        if GIVEN.lock().expect("no holder panics").insert(address) {
            return address;
        }
    }
}

/// A process of the project. It is killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of the project, with its log in the temporary folder.
    fn start(command: &mut Command, log: &str) -> Child {
        let log = File::options().create(true).append(true).open(folder().join(log));
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = command.stdin(Stdio::null()).stderr(log).spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("target/release/applepond: {error}")));
        note_pid(child.id());
        child
    }

    /// Starts the gateway, `applepond serve`, and waits until it listens.
    pub fn serve(settings: &Path, log: &str) -> Process {
        let mut command = Command::new("target/release/applepond");
        command.args(["serve", "--settings"]).arg(settings).stdout(Stdio::piped());
        let mut child = Process::start(&mut command, log);
        let output = child.stdout.take().expect("piped above");
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        if read.is_err() || !line.starts_with("listening") {
            let _ = child.kill();
            cannot_run("the gateway does not listen; its log is in the temporary folder");
        }
        Process { child }
    }

    /// Starts the platform's router by the deploy file's command, `exec target/release/applepond node`.
    pub fn node(config: &Path, log: &str) -> Process {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec target/release/applepond node"]).env("PROXY_CONFIG", config);
        command.stdout(Stdio::null());
        Process { child: Process::start(&mut command, log) }
    }

    /// The id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills it outright.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Notes a process for `run.sh`, which ends what is left.
fn note_pid(pid: u32) {
    let file = File::options().create(true).append(true).open(folder().join("pids"));
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{pid}");
    }
}

/// Ends the case as not run if it takes too long.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        cannot_run("it took too long");
    });
}

/// Calls `serve` in a thread of its own for each connection to the address.
pub fn listen(address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}
