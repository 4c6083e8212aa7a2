//! Asks a running router what it takes the others for.
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a router that is asked may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// The `fleet` part of a router's state page; an error is what stood in the way, in words.
pub fn ask(at: SocketAddr) -> Result<Value, String> {
    let told = |e: std::io::Error| format!("{at}: {e}");
    let mut conn = TcpStream::connect_timeout(&at, PATIENCE).map_err(told)?;
    conn.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    let request = format!("GET /-/state HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    conn.write_all(request.as_bytes()).map_err(told)?;
    let mut answer = String::new();
    conn.read_to_string(&mut answer).map_err(told)?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let page: Value = serde_json::from_str(body).map_err(|e| format!("{at}: no state page: {e}"))?;
    match &page["fleet"] {
        Value::Null => Err(format!("{at}: this router's settings have no fleet block")),
        fleet => Ok(fleet.clone()),
    }
}
