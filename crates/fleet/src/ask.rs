//! Asks a running router what it takes the others for.
use miette::Diagnostic;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// How long a router that is asked may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// Why a router's view cannot be shown.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum NoView {
    #[error("{at}: {why}")]
    #[diagnostic(
        code(fleet::unreached),
        help(
            "the address is where the router takes events ('listen' outside the fleet block); does it run?"
        )
    )]
    Unreached { at: SocketAddr, why: String },
    #[error("{at}: no state page: {why}")]
    #[diagnostic(code(fleet::no_page), help("something else listens there, or a router of another version"))]
    NoPage { at: SocketAddr, why: String },
    #[error("{0}: this router's settings have no fleet block")]
    #[diagnostic(code(fleet::no_fleet), help("give it one (docs/operate-fleet.md) and restart it"))]
    NoFleet(SocketAddr),
}

impl NoView {
    /// One of each, for the table of codes.
    pub fn each() -> Vec<NoView> {
        let (at, why) = (SocketAddr::from(([127, 0, 0, 1], 0)), String::new());
        vec![NoView::Unreached { at, why: why.clone() }, NoView::NoPage { at, why }, NoView::NoFleet(at)]
    }
}

/// The `fleet` part of a router's state page; an error is what stood in the way, in words.
pub fn ask(at: SocketAddr) -> Result<Value, NoView> {
    let told = |e: std::io::Error| NoView::Unreached { at, why: e.to_string() };
    let mut conn = TcpStream::connect_timeout(&at, PATIENCE).map_err(told)?;
    conn.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    let request = format!("GET /-/state HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    conn.write_all(request.as_bytes()).map_err(told)?;
    let mut answer = String::new();
    conn.read_to_string(&mut answer).map_err(told)?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let page: Value = serde_json::from_str(body).map_err(|e| NoView::NoPage { at, why: e.to_string() })?;
    match &page["fleet"] {
        Value::Null => Err(NoView::NoFleet(at)),
        fleet => Ok(fleet.clone()),
    }
}
