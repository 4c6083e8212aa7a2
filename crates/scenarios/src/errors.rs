//! Why a scenario could not be played, which says nothing about the routers.
use miette::Diagnostic;
use thiserror::Error;

/// Why a scenario could not be played.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ScenarioError {
    /// The machine lacks something.
    #[error("{what}: {why}")]
    #[diagnostic(
        code(drill::machine),
        help("look for room on the disk, free ports and descriptors (ulimit -n), then play it again")
    )]
    Machine {
        /// The file or the part of the machine.
        what: String,
        /// The reason given by the operating system.
        why: String,
    },
    /// A router did not start, by its settings file and what it printed.
    #[error("the router of {0} did not start")]
    #[diagnostic(
        code(drill::not_started),
        help("play it with --keep FOLDER and read that router's log there")
    )]
    NotStarted(String),
    /// The fleet did not recover from a fault.
    #[error("{0}")]
    #[diagnostic(
        code(drill::not_whole),
        help("what is next would be judged of a fleet that is not whole: the rule that broke says why")
    )]
    NotWhole(String),
}

impl ScenarioError {
    /// The machine lacks something.
    pub fn machine(what: impl std::fmt::Display, why: impl std::fmt::Display) -> Self {
        ScenarioError::Machine { what: what.to_string(), why: why.to_string() }
    }

    /// One of each, for the table of codes.
    pub fn each() -> Vec<ScenarioError> {
        vec![
            ScenarioError::machine("", ""),
            ScenarioError::NotStarted(String::new()),
            ScenarioError::NotWhole(String::new()),
        ]
    }
}

impl From<std::io::Error> for ScenarioError {
    fn from(error: std::io::Error) -> Self {
        ScenarioError::machine("this machine", error)
    }
}

impl From<applepond_storage::StorageError> for ScenarioError {
    fn from(error: applepond_storage::StorageError) -> Self {
        ScenarioError::machine("the record", error)
    }
}
