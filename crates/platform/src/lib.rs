//! Codecs of the operators' platform, without I/O: the configuration of a router, client calls, the line
//! protocol of the model servers and the name service's DNS answers. Routing decisions are made elsewhere.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod call;
pub mod config;
pub mod errors;
pub mod fields;
pub mod line;
pub mod name_service;
pub mod startup;
