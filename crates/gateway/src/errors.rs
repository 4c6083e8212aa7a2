//! Errors of the endpoint list and of configuration reloads, each with a stable code and advice for the
//! operator. In both cases the last valid list or configuration stays in force.
use miette::Diagnostic;
use thiserror::Error;

/// A message of the endpoint list that is ignored because it is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum EndpointListError {
    /// The line is not valid JSON.
    #[error("invalid JSON: {0}")]
    #[diagnostic(
        code(list::no_json),
        help("check that 'hosts' is the address of the endpoint list's server")
    )]
    NotJson(String),
    /// A field is missing or has an invalid value.
    #[error("'{field}': {problem}")]
    #[diagnostic(
        code(list::field),
        help("check the endpoint list's server and its version; the last valid list stays in force")
    )]
    Field {
        /// The path of the field.
        field: String,
        /// What is wrong with the field.
        problem: String,
    },
    /// The list names more workers than one instance supports.
    #[error("too many workers: {found}, limit is {max}")]
    #[diagnostic(
        code(list::too_many),
        help("check the list for repeated entries; a fleet of this size has to be split")
    )]
    TooMany {
        /// Workers in the message.
        found: usize,
        /// The limit, [`MAX_WORKERS`](crate::endpoint_list::MAX_WORKERS).
        max: usize,
    },
}

impl EndpointListError {
    pub(crate) fn field(field: impl Into<String>, problem: impl Into<String>) -> Self {
        EndpointListError::Field { field: field.into(), problem: problem.into() }
    }

    /// Returns one value of each variant, for the table of error codes in the documentation.
    pub fn each() -> Vec<EndpointListError> {
        vec![
            EndpointListError::NotJson(String::new()),
            EndpointListError::field("", ""),
            EndpointListError::TooMany { found: 0, max: 0 },
        ]
    }
}

/// A new configuration that is not applied; the current one stays in force unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ReloadError {
    /// The settings file cannot be read or is invalid; details were printed before.
    #[error("the settings file is invalid")]
    #[diagnostic(
        code(settings::faults),
        help("see the faults printed before, by line and column; 'applepond check FILE' prints them again")
    )]
    InvalidFile,
    /// A key file of the fleet is unusable.
    #[error("{file}: {reason}")]
    #[diagnostic(
        code(settings::key_file),
        help("make the key file readable by this process and at least 16 bytes long, and send SIGHUP")
    )]
    KeyFile {
        /// The file's path.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The kernel's random number generator failed.
    #[error("cannot get random numbers: {0}")]
    #[diagnostic(code(settings::no_random), help("check the machine: its kernel provides no random numbers"))]
    NoRandomNumbers(String),
    /// Settings were changed that require a restart; their keys, separated by commas.
    #[error("changing these settings requires a restart: {0}")]
    #[diagnostic(
        code(settings::restart),
        help("restart this router with the new file, or restore the previous values of these keys")
    )]
    RestartRequired(String),
}

impl ReloadError {
    /// Returns one value of each variant, for the table of error codes in the documentation.
    pub fn each() -> Vec<ReloadError> {
        let empty = String::new;
        vec![
            ReloadError::InvalidFile,
            ReloadError::KeyFile { file: empty(), reason: empty() },
            ReloadError::NoRandomNumbers(empty()),
            ReloadError::RestartRequired(empty()),
        ]
    }
}
