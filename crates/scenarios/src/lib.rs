//! Fault-injection scenarios: faults drawn from one seed, played by test doubles against routers that run as
//! processes of their own. An audit judges the rules from what the test doubles saw on their sockets.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod audit;
pub mod bad_day;
pub mod chart;
pub mod day;
pub mod errors;
pub mod faulty_network;
pub mod fleet_settings;
pub mod membership;
pub mod prefixes;
pub mod process;
pub mod recovery;
pub mod retry_storm;
pub mod seeded_bugs;
mod testbed;
pub mod workflows;
