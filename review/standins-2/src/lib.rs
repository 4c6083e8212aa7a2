//! Parts that the cases of the second review share: processes, a record, an HTTP client and an HTTP server.
//! Everything is on loopback; only the standard library is used.
pub mod platform;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit status of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Whether the case plays its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a case: one line an event, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn new(case: &str) -> Record {
        let path = Path::new("review").join(case).join("record.txt");
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(NOT_RUN);
        });
        let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble())));
        record
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.1} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes the verdict, prints it, and returns its exit status.
    pub fn verdict(&self, status: i32, text: &str) -> i32 {
        let word = match status {
            HELD => "held",
            BROKEN => "BROKEN",
            _ => "not run",
        };
        self.line(&format!("verdict: {word}: {text}"));
        println!("{word}: {text}");
        status
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("applepond-case-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the temporary folder cannot be created");
        Folder(path)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file in the temporary folder cannot be written");
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A port of loopback that is free now.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    listener.local_addr().unwrap().port()
}

/// A process of the project, killed when it is dropped.
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts `target/release/applepond` with these arguments. Its log goes to `log`.
    pub fn start(args: &[&str], env: &[(&str, &str)], log: &Path) -> Program {
        let output = File::create(log).expect("the log cannot be created");
        let mut command = Command::new("target/release/applepond");
        command.args(args).envs(env.iter().copied()).stdin(Stdio::null());
        command.stdout(output.try_clone().unwrap()).stderr(output);
        // The program ends with the case, also if that is cut off.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => Program { child },
            Err(error) => {
                eprintln!("target/release/applepond: {error}");
                std::process::exit(NOT_RUN);
            }
        }
    }

    pub fn signal(&self, signal: i32) {
        // The child has not been waited for, so its id is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The exit status, if it has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until something listens at the address; false after ten seconds.
pub fn await_listener(address: SocketAddr) -> bool {
    for _ in 0..200 {
        if TcpStream::connect_timeout(&address, Duration::from_millis(200)).is_ok() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// An HTTP message: its first line, its fields by lower-case name, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message with `Content-Length`; `rest` keeps what follows it. `None` if the connection ends or
/// fails before the message is whole.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut buffer = [0u8; 16 * 1024];
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut message =
                Message { first_line: lines.next().unwrap_or("").to_owned(), ..Message::default() };
            for line in lines {
                if let Some((name, value)) = line.split_once(':') {
                    message.fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
                }
            }
            let length: usize = message.field("content-length").parse().unwrap_or(0);
            if rest.len() >= end + 4 + length {
                message.body = rest[end + 4..end + 4 + length].to_vec();
                rest.drain(..end + 4 + length);
                return Some(message);
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&buffer[..count]),
        }
    }
}

/// The bytes of a POST of an event in binary mode.
pub fn event_bytes(fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = String::from("POST /events HTTP/1.1\r\nHost: applepond\r\n");
    text.push_str("ce-specversion: 1.0\r\nContent-Type: application/json\r\n");
    for (name, value) in fields {
        text.push_str(&format!("ce-{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Sends an event on a new connection and waits for its answer; `None` if the connection ends without one
/// or nothing comes for `patience`.
pub fn send_event(
    to: SocketAddr,
    fields: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Result<Message, String> {
    let mut stream = TcpStream::connect(to).map_err(|error| format!("connect: {error}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    stream.write_all(&event_bytes(fields, body)).map_err(|error| format!("write: {error}"))?;
    let begun = Instant::now();
    read_message(&mut stream, &mut Vec::new()).ok_or_else(|| {
        let waited = begun.elapsed().as_millis();
        let why = if begun.elapsed() < patience { "connection ended without an answer" } else { "silence" };
        format!("{why} after {waited} ms")
    })
}

/// What a worker does with a request.
pub enum Reply {
    /// Answers with these fields and this body.
    Answer(u16, Vec<(String, String)>, String),
    /// Closes the connection without an answer.
    Close,
}

/// Serves HTTP on a new port of loopback, one thread a connection, until the process ends. `handle` is
/// called for each request, one at a time on each connection.
pub fn serve(handle: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(&Message) -> Reply) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest) {
        match handle(&request) {
            Reply::Answer(status, fields, body) => {
                let mut text = format!("HTTP/1.1 {status} Answer\r\n");
                for (name, value) in fields {
                    text.push_str(&format!("{name}: {value}\r\n"));
                }
                text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// The answer of a worker that has run an event. `number` tells its answers apart.
pub fn result_event(worker: &str, number: u64, body: &str) -> Reply {
    let fields = [
        ("ce-specversion", "1.0".to_owned()),
        ("ce-type", "result".to_owned()),
        ("ce-id", format!("{worker}-{number}")),
        ("ce-source", format!("/workers/{worker}")),
        ("Content-Type", "application/json".to_owned()),
        ("applepond-copy", "stood".to_owned()),
    ];
    let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    Reply::Answer(200, fields, body.to_owned())
}

/// The settings of a gateway with two workers and the workloads of the site `krkonose-quotes`; `extra` is
/// put in front of the blocks.
pub fn settings(listen: u16, extra: &str, workers: [SocketAddr; 2]) -> String {
    let workload = |name: &str, effect: &str, target: &str, limit: &str, importance: u32| {
        format!(
            "workload \"{name}\" {{\n  types = [\"{name}\"]\n  {effect}\n  start_target = \"{target}\"\n  \
             time_limit = \"{limit}\"\n  importance = {importance}\n  lanes = 4\n  memory_mb = 400\n  \
             load_time = \"1s\"\n}}\n"
        )
    };
    let worker = |name: &str, address: SocketAddr| {
        format!("worker \"{name}\" {{\n  address = \"{address}\"\n  zone = \"room-1\"\n  rack = 1\n}}\n")
    };
    let hold = "effect = \"fingerprinted\"\n  within = \"rack\"\n  window = \"3s\"";
    let text = [
        format!("listen = \"127.0.0.1:{listen}\"\nzones = [\"room-1\"]\nrouter = 0\nrouters = 1\nseed = 7\n"),
        format!("keep = \"10s\"\n{extra}\n"),
        "rules {\n  cold_share = 0.2\n  warm_within = \"10s\"\n  fall_multiple = 2.5\n".to_owned(),
        "  fall_span = \"1s\"\n}\n".to_owned(),
        workload("quote", "effect = \"restartable\"", "1500ms", "4s", 1),
        workload("hold", hold, "1500ms", "5s", 3),
        workload("confirm", "effect = \"run-once\"", "750ms", "5s", 5),
        worker("w1", workers[0]),
        worker("w2", workers[1]),
    ];
    text.concat()
}
