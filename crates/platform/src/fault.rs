//! Why a configuration, a batch of events or an answer is not accepted, and what an operator can do about it.
use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// Why a file of the operators or a part of it is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Unfit {
    /// A field is absent or not valid.
    #[error("field '{field}': {want}")]
    #[diagnostic(
        code(platform::field),
        help("put right that field of the configuration; until then the old one holds, if there was one")
    )]
    Field {
        /// Name of the field.
        field: String,
        /// What has to stand there.
        want: String,
    },
    /// The text is not JSON, with the parser's reason.
    #[error("not JSON: {0}")]
    #[diagnostic(
        code(platform::no_json),
        help("look whether the file was cut or written by hand; it is read as a whole or not at all")
    )]
    NoJson(String),
    /// A part of a file is not valid.
    #[error("{place}: {why}")]
    #[diagnostic(
        code(platform::part),
        help("the part named in front is at fault; the rest of the words say why")
    )]
    At {
        /// The part.
        place: String,
        /// What is wrong with it.
        why: Box<Unfit>,
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
    Event(String),
    /// The file could not be read.
    #[error("{}: {why}", file.display())]
    #[diagnostic(code(platform::unread), help("look whether the file is there and this process may read it"))]
    Unread {
        /// The file.
        file: PathBuf,
        /// The reason given by the operating system.
        why: String,
    },
}

impl Unfit {
    /// The fault that a field is not what is wanted.
    pub fn field(field: &str, want: impl Into<String>) -> Self {
        Unfit::Field { field: field.to_owned(), want: want.into() }
    }

    /// The same fault, in this part of the file.
    pub fn at(self, place: impl std::fmt::Display) -> Self {
        Unfit::At { place: place.to_string(), why: Box::new(self) }
    }

    /// One of each, for the table of codes.
    pub fn each() -> Vec<Unfit> {
        let none = String::new;
        vec![
            Unfit::field("", ""),
            Unfit::NoJson(none()),
            Unfit::NoJson(none()).at(""),
            Unfit::NotBooted(none()),
            Unfit::Event(none()),
            Unfit::Unread { file: PathBuf::new(), why: none() },
        ]
    }
}

/// Why an answer of the name service is not accepted. The query is repeated at once.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum NoAnswer {
    /// It is not a DNS message.
    #[error("cannot be read: {0}")]
    #[diagnostic(
        code(names::unreadable),
        help("seldom: the network; often: look which name service answers at that address")
    )]
    Unreadable(String),
    /// It does not belong to the query.
    #[error("answers another question")]
    #[diagnostic(code(names::another), help("a late answer; often: look for a path that is slow or repeats"))]
    Another,
    /// It is truncated.
    #[error("is cut short")]
    #[diagnostic(
        code(names::cut),
        help("the list does not fit into the service's answers: have it send larger ones")
    )]
    Cut,
    /// It reports a failure of the service.
    #[error("reports {0}")]
    #[diagnostic(code(names::reports), help("look at the name service; the last list holds meanwhile"))]
    Reports(String),
    /// It has no SOA record, whose serial orders lists.
    #[error("names no serial")]
    #[diagnostic(
        code(names::no_serial),
        help("the service's zone has no SOA in its answers: without a serial no list can be told newer")
    )]
    NoSerial,
}

impl NoAnswer {
    /// One of each, for the table of codes.
    pub fn each() -> Vec<NoAnswer> {
        let none = String::new;
        vec![
            NoAnswer::Unreadable(none()),
            NoAnswer::Another,
            NoAnswer::Cut,
            NoAnswer::Reports(none()),
            NoAnswer::NoSerial,
        ]
    }
}
