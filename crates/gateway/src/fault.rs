//! Why a list or new settings are not taken, and what an operator can do about it. What held before holds on.
use miette::Diagnostic;
use thiserror::Error;

/// Why a line of the host list changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Unlisted {
    #[error("no JSON: {0}")]
    #[diagnostic(code(list::no_json), help("look whether the address of 'hosts' is the host list's"))]
    NoJson(String),
    #[error("'{field}': {want}")]
    #[diagnostic(
        code(list::field),
        help("the host list's writer is at fault, or of another version; the last good list holds")
    )]
    Field { field: String, want: String },
    #[error("{found} workers; {most} at most are wanted")]
    #[diagnostic(
        code(list::too_many),
        help("look whether the list repeats itself; a fleet this large needs parts of its own")
    )]
    TooMany { found: usize, most: usize },
}

impl Unlisted {
    pub fn field(field: impl Into<String>, want: impl Into<String>) -> Self {
        Unlisted::Field { field: field.into(), want: want.into() }
    }

    /// One of each, for the table of codes.
    pub fn each() -> Vec<Unlisted> {
        vec![
            Unlisted::NoJson(String::new()),
            Unlisted::field("", ""),
            Unlisted::TooMany { found: 0, most: 0 },
        ]
    }
}

/// Why new settings are not taken; the old ones hold whole.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum NotTaken {
    #[error("the file has faults")]
    #[diagnostic(
        code(settings::faults),
        help("the lines before say which, by line and column; 'applepond check FILE' says them again")
    )]
    Faults,
    #[error("{file}: {why}")]
    #[diagnostic(
        code(settings::key_file),
        help(
            "a key file has 16 bytes at least and can be read by this process; put it right and send SIGHUP"
        )
    )]
    KeyFile { file: String, why: String },
    #[error("no random numbers: {0}")]
    #[diagnostic(code(settings::no_random), help("look at the machine: its kernel gives no random numbers"))]
    NoRandom(String),
    #[error("only a restart can change: {0}")]
    #[diagnostic(
        code(settings::restart),
        help("restart this router with the file, or put those keys back as they were")
    )]
    Restart(String),
}

impl NotTaken {
    /// One of each, for the table of codes.
    pub fn each() -> Vec<NotTaken> {
        let none = String::new;
        vec![
            NotTaken::Faults,
            NotTaken::KeyFile { file: none(), why: none() },
            NotTaken::NoRandom(none()),
            NotTaken::Restart(none()),
        ]
    }
}
