//! Client that reads a running router's view of the fleet.
use miette::Diagnostic;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// Timeout for connecting, and for each read of the response.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why a router's view of the fleet could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum QueryError {
    /// The router could not be reached or did not respond.
    #[error("{at}: {why}")]
    #[diagnostic(
        code(fleet::unreached),
        help(
            "the address is where the router takes events ('listen' outside the fleet block); does it run?"
        )
    )]
    Unreached {
        /// The address that was queried.
        at: SocketAddr,
        /// The reason given by the operating system.
        why: String,
    },
    /// The response is not a state page.
    #[error("{at}: the response is not a state page: {why}")]
    #[diagnostic(code(fleet::no_page), help("something else listens there, or a router of another version"))]
    NoPage {
        /// The address that was queried.
        at: SocketAddr,
        /// Why the response could not be parsed.
        why: String,
    },
    /// The router is not part of a fleet.
    #[error("{0}: this router's settings have no fleet block")]
    #[diagnostic(code(fleet::no_fleet), help("give it one (docs/operate-fleet.md) and restart it"))]
    NoFleet(SocketAddr),
}

impl QueryError {
    /// One instance of each variant, for the error code reference.
    pub fn each() -> Vec<QueryError> {
        let (at, why) = (SocketAddr::from(([127, 0, 0, 1], 0)), String::new());
        vec![
            QueryError::Unreached { at, why: why.clone() },
            QueryError::NoPage { at, why },
            QueryError::NoFleet(at),
        ]
    }
}

/// Reads the `fleet` section of the state page of the router that listens for events at this address.
///
/// # Errors
/// Returns an error if the router cannot be reached, does not respond with a state page, or is not part of a
/// fleet.
pub fn query(at: SocketAddr) -> Result<Value, QueryError> {
    let unreached = |error: std::io::Error| QueryError::Unreached { at, why: error.to_string() };
    let mut connection = TcpStream::connect_timeout(&at, TIMEOUT).map_err(unreached)?;
    connection.set_read_timeout(Some(TIMEOUT)).map_err(unreached)?;
    let request = format!("GET /-/state HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    connection.write_all(request.as_bytes()).map_err(unreached)?;
    let mut response = String::new();
    connection.read_to_string(&mut response).map_err(unreached)?;
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let page: Value =
        serde_json::from_str(body).map_err(|error| QueryError::NoPage { at, why: error.to_string() })?;
    match &page["fleet"] {
        Value::Null => Err(QueryError::NoFleet(at)),
        fleet => Ok(fleet.clone()),
    }
}
