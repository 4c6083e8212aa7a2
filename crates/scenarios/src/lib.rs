//! Drills: a day of troubles from one seed, played by stand-ins against routers that run as processes of
//! their own; the auditor judges the five rules from what the stand-ins saw on their sockets.
pub mod audit;
pub mod chains;
pub mod chart;
pub mod comeback;
pub mod day;
pub mod fault;
pub mod fleet;
pub mod links;
pub mod members;
pub mod openings;
pub mod process;
pub mod run;
pub mod saboteur;
pub mod storm;
