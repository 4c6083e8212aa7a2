//! One router instance as a machine without I/O: it is told of bytes, connections and time, asks `Control` of
//! the root package for every product decision, carries it out on worker connections, and gives each request
//! its one final answer. Decisions of its own: whether an attempt may have run (`fate`), which exchanges
//! share a request and what is told again after its end (`claims`), how long a request has (`limit`), which
//! list to believe (`host_list`), what new settings may change in a running instance (`switch`).
pub mod attempt_outcome;
mod client;
pub mod deadline;
pub mod deferred;
pub mod deployment;
pub mod endpoint_list;
pub mod errors;
mod gateway;
mod idempotency;
pub mod reload;
pub mod request_table;
mod worker_connection;

pub use deployment::Deployment;
pub use gateway::{Gateway, Memory, News, Openings, Page};
