//! Fault-injection scenarios. Faults generated from one seed are applied by test doubles to routers that run
//! as separate processes. An audit checks the rules against what the test doubles observed on their sockets.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod audit;
pub mod bad_day;
pub mod chart;
pub mod errors;
pub mod faulty_network;
pub mod fleet_settings;
pub mod membership;
pub mod plan;
pub mod prefixes;
pub mod process;
pub mod recovery;
pub mod retry_storm;
pub mod seeded_bugs;
mod testbed;
pub mod workflows;
