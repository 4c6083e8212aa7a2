//! Errors of the endpoint list and of configuration reloads, each with a stable code and what an operator can
//! do about it. In both cases the last good list or configuration stays in force.
use miette::Diagnostic;
use thiserror::Error;

/// Why a message of the endpoint list is ignored.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum EndpointListError {
    /// The line is not JSON.
    #[error("no JSON: {0}")]
    #[diagnostic(code(list::no_json), help("look whether the address of 'hosts' is the host list's"))]
    NotJson(String),
    /// A field is absent or has a value that is not allowed.
    #[error("'{field}': {expected}")]
    #[diagnostic(
        code(list::field),
        help("the host list's writer is at fault, or of another version; the last good list holds")
    )]
    Field {
        /// The path of the field.
        field: String,
        /// What was found, or what was expected instead.
        expected: String,
    },
    /// The list names more workers than one instance is built for.
    #[error("{found} workers; {max} at most are wanted")]
    #[diagnostic(
        code(list::too_many),
        help("look whether the list repeats itself; a fleet this large needs parts of its own")
    )]
    TooMany {
        /// Workers in the message.
        found: usize,
        /// The limit, [`MAX_WORKERS`](crate::endpoint_list::MAX_WORKERS).
        max: usize,
    },
}

impl EndpointListError {
    pub(crate) fn field(field: impl Into<String>, expected: impl Into<String>) -> Self {
        EndpointListError::Field { field: field.into(), expected: expected.into() }
    }

    /// One value of each variant, for the table of error codes in the documentation.
    pub fn each() -> Vec<EndpointListError> {
        vec![
            EndpointListError::NotJson(String::new()),
            EndpointListError::field("", ""),
            EndpointListError::TooMany { found: 0, max: 0 },
        ]
    }
}

/// Why a new configuration is not applied; the old one stays in force as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ReloadError {
    /// The settings file cannot be read or has faults, which were printed before.
    #[error("the file has faults")]
    #[diagnostic(
        code(settings::faults),
        help("the lines before say which, by line and column; 'applepond check FILE' says them again")
    )]
    InvalidFile,
    /// A key file of the fleet cannot be used.
    #[error("{file}: {reason}")]
    #[diagnostic(
        code(settings::key_file),
        help(
            "a key file has 16 bytes at least and can be read by this process; put it right and send SIGHUP"
        )
    )]
    KeyFile {
        /// The file's path.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The kernel gives no random numbers.
    #[error("no random numbers: {0}")]
    #[diagnostic(code(settings::no_random), help("look at the machine: its kernel gives no random numbers"))]
    NoRandomNumbers(String),
    /// Settings differ that only a restart can change; their keys, separated by commas.
    #[error("only a restart can change: {0}")]
    #[diagnostic(
        code(settings::restart),
        help("restart this router with the file, or put those keys back as they were")
    )]
    RestartRequired(String),
}

impl ReloadError {
    /// One value of each variant, for the table of error codes in the documentation.
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
