//! Why a drill could not be played: nothing of it says anything of the routers.
use miette::Diagnostic;
use thiserror::Error;

#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Unplayed {
    #[error("{what}: {why}")]
    #[diagnostic(
        code(drill::machine),
        help("look for room on the disk, free ports and descriptors (ulimit -n), then play it again")
    )]
    Machine { what: String, why: String },
    #[error("the router of {0} did not start")]
    #[diagnostic(
        code(drill::not_started),
        help("play it with --keep FOLDER and read that router's log there")
    )]
    NotStarted(String),
    #[error("{0}")]
    #[diagnostic(
        code(drill::not_whole),
        help("what is next would be judged of a fleet that is not whole: the rule that broke says why")
    )]
    NotWhole(String),
}

impl Unplayed {
    pub fn machine(what: impl std::fmt::Display, why: impl std::fmt::Display) -> Self {
        Unplayed::Machine { what: what.to_string(), why: why.to_string() }
    }

    /// One of each, for the table of codes.
    pub fn each() -> Vec<Unplayed> {
        vec![
            Unplayed::machine("", ""),
            Unplayed::NotStarted(String::new()),
            Unplayed::NotWhole(String::new()),
        ]
    }
}

impl From<std::io::Error> for Unplayed {
    fn from(error: std::io::Error) -> Self {
        Unplayed::machine("this machine", error)
    }
}

impl From<applepond_storage::StorageError> for Unplayed {
    fn from(fault: applepond_storage::StorageError) -> Self {
        Unplayed::machine("the record", fault)
    }
}
