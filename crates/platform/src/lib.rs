//! The operators' protocol as codecs without I/O: a router's configuration, calls of clients, lines to and
//! from model servers, answers of the name service. Nothing here decides.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod call;
pub mod config;
pub mod errors;
pub mod fields;
pub mod line;
pub mod name_service;
pub mod startup;
