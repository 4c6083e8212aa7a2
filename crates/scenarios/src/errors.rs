//! Errors that prevent a scenario from running. They are not verdicts about the routers.
use miette::Diagnostic;
use thiserror::Error;

/// Why a scenario could not run.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ScenarioError {
    /// A resource of the host is missing.
    #[error("{what}: {why}")]
    #[diagnostic(
        code(drill::machine),
        help("check disk space, free ports and file descriptors (ulimit -n), then run the scenario again")
    )]
    Machine {
        /// The file or resource.
        what: String,
        /// The error of the operating system.
        why: String,
    },
    /// A router did not start: its settings file and the result of reading its first line of output.
    #[error("the router of {0} did not start")]
    #[diagnostic(
        code(drill::not_started),
        help("run the scenario with --keep FOLDER and read that router's log there")
    )]
    NotStarted(String),
    /// The fleet did not recover from a fault.
    #[error("{0}")]
    #[diagnostic(
        code(drill::not_whole),
        help("the run ends here, as later checks need a recovered fleet; the breach of the rule says why")
    )]
    NotRecovered(String),
}

impl ScenarioError {
    /// Creates [`ScenarioError::Machine`].
    pub fn machine(what: impl std::fmt::Display, why: impl std::fmt::Display) -> Self {
        ScenarioError::Machine { what: what.to_string(), why: why.to_string() }
    }

    /// Returns one error of each variant, for the table of codes.
    pub fn each() -> Vec<ScenarioError> {
        vec![
            ScenarioError::machine("", ""),
            ScenarioError::NotStarted(String::new()),
            ScenarioError::NotRecovered(String::new()),
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
