//! Processes of the program, asked over their sockets.
#![allow(dead_code)] // each table of cases uses its own part
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

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
    let mut line = Command::new(env!("CARGO_BIN_EXE_applepond"));
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
