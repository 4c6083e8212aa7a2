//! Why a configuration, a batch of events or an answer is not accepted, and what an operator can do about it.
use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// Why a file of the operators or a part of it is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum InputError {
    /// A field is absent or not valid.
    #[error("field '{field}': {problem}")]
    #[diagnostic(
        code(platform::field),
        help("put right that field of the configuration; until then the old one holds, if there was one")
    )]
    Field {
        /// Name of the field.
        field: String,
        /// What has to stand there.
        problem: String,
    },
    /// The text is not JSON, with the parser's reason.
    #[error("not JSON: {0}")]
    #[diagnostic(
        code(platform::no_json),
        help("look whether the file was cut or written by hand; it is read as a whole or not at all")
    )]
    InvalidJson(String),
    /// A part of a file is not valid.
    #[error("{context}: {error}")]
    #[diagnostic(
        code(platform::part),
        help("the part named in front is at fault; the rest of the words say why")
    )]
    InContext {
        /// The part.
        context: String,
        /// What is wrong with it.
        error: Box<InputError>,
    },
    /// An event came for an instance that has not been started.
    #[error("'{0}' before any 'boot'")]
    #[diagnostic(
        code(platform::not_booted),
        help("each instance is told 'boot' first: the caller is at fault, or its first batch was lost")
    )]
    NotBooted(String),
    /// An event of an unknown kind.
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
        /// The reason given by the operating system.
        reason: String,
    },
}

impl InputError {
    /// The fault that a field is not what is wanted.
    pub fn field(field: &str, problem: impl Into<String>) -> Self {
        InputError::Field { field: field.to_owned(), problem: problem.into() }
    }

    /// The same fault, in this part of the file.
    pub fn in_context(self, context: impl std::fmt::Display) -> Self {
        InputError::InContext { context: context.to_string(), error: Box::new(self) }
    }

    /// One of each, for the table of codes.
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

/// Why an answer of the name service is not accepted. The query is repeated at once.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum NameServiceError {
    /// It is not a DNS message.
    #[error("cannot be read: {0}")]
    #[diagnostic(
        code(names::unreadable),
        help("seldom: the network; often: look which name service answers at that address")
    )]
    InvalidMessage(String),
    /// It does not belong to the query.
    #[error("answers another question")]
    #[diagnostic(code(names::another), help("a late answer; often: look for a path that is slow or repeats"))]
    UnrelatedAnswer,
    /// It is truncated.
    #[error("is cut short")]
    #[diagnostic(
        code(names::cut),
        help("the list does not fit into the service's answers: have it send larger ones")
    )]
    Truncated,
    /// It reports a failure of the service.
    #[error("reports {0}")]
    #[diagnostic(code(names::reports), help("look at the name service; the last list holds meanwhile"))]
    ServerFailure(String),
    /// It has no SOA record, whose serial orders lists.
    #[error("names no serial")]
    #[diagnostic(
        code(names::no_serial),
        help("the service's zone has no SOA in its answers: without a serial no list can be told newer")
    )]
    MissingSerial,
}

impl NameServiceError {
    /// One of each, for the table of codes.
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
