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
        help("correct this field; until then the previous configuration, if any, stays in effect")
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
        help("check whether the file is truncated or was edited by hand; no part of it is used")
    )]
    InvalidJson(String),
    /// An error with the part of the input in which it occurred.
    #[error("{context}: {error}")]
    #[diagnostic(
        code(platform::part),
        help("correct the part of the input that the message names first; the rest of it gives the reason")
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
        help(
            "'boot' must be the first event of each instance: check the caller, and whether a batch was lost"
        )
    )]
    NotBooted(String),
    /// The kind of event is unknown.
    #[error("unknown event '{0}'")]
    #[diagnostic(
        code(platform::event),
        help("the versions of the caller and of this program do not match; use those of the same release")
    )]
    UnknownEvent(String),
    /// The file could not be read.
    #[error("{}: {reason}", file.display())]
    #[diagnostic(
        code(platform::unread),
        help("check that the file exists and that this process may read it")
    )]
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
        help("if rare, a network fault; if frequent, check which service answers at the configured address")
    )]
    InvalidMessage(String),
    /// The message does not answer the pending query.
    #[error("answer does not match the pending query")]
    #[diagnostic(
        code(names::another),
        help(
            "a late or repeated answer; if frequent, look for a slow network path or one that repeats packets"
        )
    )]
    UnrelatedAnswer,
    /// The answer is truncated.
    #[error("answer is truncated")]
    #[diagnostic(
        code(names::cut),
        help(
            "the endpoint list does not fit into one answer: configure the name service to send larger ones"
        )
    )]
    Truncated,
    /// The service reports a failure; carries the response code.
    #[error("name service reports {0}")]
    #[diagnostic(
        code(names::reports),
        help("check the name service; meanwhile the last endpoint list stays in use")
    )]
    ServerFailure(String),
    /// The answer has no SOA record, whose serial number orders the lists.
    #[error("answer has no SOA record with a serial number")]
    #[diagnostic(
        code(names::no_serial),
        help(
            "have the name service send its zone's SOA record: the serial number shows which list is newer"
        )
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
