//! The operators' protocol as codecs without I/O: what a router is told at its start, calls of clients, lines
//! to and from model servers, answers of the name service. Bytes in, calls out; nothing here decides.
pub mod call;
pub mod config;
pub mod fault;
pub mod fields;
pub mod line;
pub mod names;
pub mod rows;
