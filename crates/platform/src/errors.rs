//! Errors of the codecs: rejected configurations, event batches and name service answers, each with advice
//! for the operator.
use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// A configuration file or a batch of events was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum InputError {
    /// A field is missing or invalid.
    #[error("field '{field}': {problem}")]
    #[diagnostic(
        code(platform::field),
        help("put right that field of the configuration; until then the old one holds, if there was one")
    )]
    Field {
        /// Name of the field.
        field: String,
        /// Why it is invalid.
        problem: String,
    },
    /// The text is not JSON; carries the parser's message.
    #[error("not JSON: {0}")]
    #[diagnostic(
        code(platform::no_json),
        help("look whether the file was cut or written by hand; it is read as a whole or not at all")
    )]
    InvalidJson(String),
    /// An error with the part of the input in which it occurred.
    #[error("{context}: {error}")]
    #[diagnostic(
        code(platform::part),
        help("the part named in front is at fault; the rest of the words say why")
    )]
    InContext {
        /// The part of the input, such as a file or an instance.
        context: String,
        /// The underlying error.
        error: Box<InputError>,
    },
    /// An event arrived for an instance that has not been started.
    #[error("'{0}' before any 'boot'")]
    #[diagnostic(
        code(platform::not_booted),
        help("each instance is told 'boot' first: the caller is at fault, or its first batch was lost")
    )]
    NotBooted(String),
    /// The kind of event is unknown.
    #[error("event '{0}' is not known")]
    #[diagnostic(
        code(platform::event),
        help(
            "the caller and this program are of versions that do not fit; use the program that came with it"
        )
    )]
    UnknownEvent(String),
    /// The file could not be read.
    #[error("{}: {reason}", file.display())]
    #[diagnostic(code(platform::unread), help("look whether the file is there and this process may read it"))]
    FileUnreadable {
        /// The file.
        file: PathBuf,
        /// The operating system's error message.
        reason: String,
    },
}

impl InputError {
    /// Creates the error for an invalid field.
    pub fn field(field: &str, problem: impl Into<String>) -> Self {
        InputError::Field { field: field.to_owned(), problem: problem.into() }
    }

    /// Adds the part of the input in which the error occurred.
    pub fn in_context(self, context: impl std::fmt::Display) -> Self {
        InputError::InContext { context: context.to_string(), error: Box::new(self) }
    }

    /// One value of each variant, for the table of error codes.
    pub fn each() -> Vec<InputError> {
        let none = String::new;
        vec![
            InputError::field("", ""),
            InputError::InvalidJson(none()),
            InputError::InvalidJson(none()).in_context(""),
            InputError::NotBooted(none()),
            InputError::UnknownEvent(none()),
            InputError::FileUnreadable { file: PathBuf::new(), reason: none() },
        ]
    }
}

/// An answer of the name service was rejected. The query is repeated without delay.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum NameServiceError {
    /// The datagram is not a valid DNS message.
    #[error("invalid DNS message: {0}")]
    #[diagnostic(
        code(names::unreadable),
        help("seldom: the network; often: look which name service answers at that address")
    )]
    InvalidMessage(String),
    /// The message does not answer the pending query.
    #[error("answer does not match the pending query")]
    #[diagnostic(code(names::another), help("a late answer; often: look for a path that is slow or repeats"))]
    UnrelatedAnswer,
    /// The answer is truncated.
    #[error("answer is truncated")]
    #[diagnostic(
        code(names::cut),
        help("the list does not fit into the service's answers: have it send larger ones")
    )]
    Truncated,
    /// The service reports a failure; carries the response code.
    #[error("name service reports {0}")]
    #[diagnostic(code(names::reports), help("look at the name service; the last list holds meanwhile"))]
    ServerFailure(String),
    /// The answer has no SOA record, whose serial number orders the lists.
    #[error("answer has no SOA record with a serial number")]
    #[diagnostic(
        code(names::no_serial),
        help("the service's zone has no SOA in its answers: without a serial no list can be told newer")
    )]
    MissingSerial,
}

impl NameServiceError {
    /// One value of each variant, for the table of error codes.
    pub fn each() -> Vec<NameServiceError> {
        let none = String::new;
        vec![
            NameServiceError::InvalidMessage(none()),
            NameServiceError::UnrelatedAnswer,
            NameServiceError::Truncated,
            NameServiceError::ServerFailure(none()),
            NameServiceError::MissingSerial,
        ]
    }
}
