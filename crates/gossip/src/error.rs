//! Errors of the gossip protocol. Each carries a code and what an operator can do about it.
use miette::Diagnostic;
use thiserror::Error;

/// Why an entry of this router is not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum PublishError {
    /// The value has this many bytes, which is more than [`MAX_VALUE_BYTES`](crate::MAX_VALUE_BYTES).
    #[error("an entry of {0} bytes; {most} at most are told", most = crate::MAX_VALUE_BYTES)]
    #[diagnostic(
        code(tallies::long),
        help(
            "a fault of the program: report it with the line of the log; routing goes on without the entry"
        )
    )]
    ValueTooLong(usize),
    /// This router publishes this many bytes already; with the entry it would exceed
    /// [`MAX_ORIGIN_BYTES`](crate::MAX_ORIGIN_BYTES).
    #[error("this router tells {0} bytes already; {most} at most are", most = crate::MAX_ORIGIN_BYTES)]
    #[diagnostic(
        code(tallies::full),
        help("fewer workers or functions a router, or a shorter list of openings; what is told stays told")
    )]
    OriginFull(usize),
}

/// Why a message is rejected. A rejected message has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error, Diagnostic)]
pub enum MessageError {
    /// It is truncated, continues after its end, or contains what no message contains.
    #[error("a message that ends early, goes on after its end or holds what no message holds")]
    #[diagnostic(
        code(tallies::unreadable),
        help("a router of another version, or a broken path: compare the versions of the routers")
    )]
    Malformed,
    /// An incarnation or a sequence number is not below [`MAX_NUMBER`](crate::MAX_NUMBER).
    #[error("a message with a number above all that are given out")]
    #[diagnostic(
        code(tallies::beyond),
        help("somebody with the fleet's key makes messages up: change the key files of all routers")
    )]
    NumberOutOfRange,
    /// Its entries would exceed a bound on bytes or origins.
    #[error("what it tells goes past a bound on bytes or origins")]
    #[diagnostic(
        code(tallies::no_room),
        help("look which origin tells so much (state page) and restart it; all others are told as before")
    )]
    LimitExceeded,
}

impl PublishError {
    /// One of each, for the table of error codes.
    pub const ALL: [PublishError; 2] = [PublishError::ValueTooLong(0), PublishError::OriginFull(0)];
}

impl MessageError {
    /// One of each, for the table of error codes.
    pub const ALL: [MessageError; 3] =
        [MessageError::Malformed, MessageError::NumberOutOfRange, MessageError::LimitExceeded];
}
