//! One real router of the operators' platform: a machine without I/O around `Control`. It carries out what
//! the module orders on the operators' protocol and tells it what came of that; nothing is decided here but
//! what passes on a connection.
mod callers;
mod links;
mod machine;
mod watch;
mod workers;

pub use machine::{End, News, Node};
