//! Errors of the gossip protocol, each with a code and advice for the operator.
use miette::Diagnostic;
use thiserror::Error;

/// Why an entry cannot be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum PublishError {
    /// The value has this many bytes, more than [`MAX_VALUE_BYTES`](crate::MAX_VALUE_BYTES).
    #[error("the value has {0} bytes; at most {max} can be published", max = crate::MAX_VALUE_BYTES)]
    #[diagnostic(
        code(tallies::long),
        help("this is a bug: report it together with the log line; routing continues without the entry")
    )]
    ValueTooLong(usize),
    /// This router already publishes this many bytes; with the entry it would exceed
    /// [`MAX_ORIGIN_BYTES`](crate::MAX_ORIGIN_BYTES).
    #[error("no room for the entry: this router publishes {0} of {max} bytes", max = crate::MAX_ORIGIN_BYTES)]
    #[diagnostic(
        code(tallies::full),
        help(
            "have fewer workers or functions per router, or a shorter list of pinned prefixes; entries \
             published before stay"
        )
    )]
    OriginFull(usize),
}

/// Why a message is rejected. A rejected message has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error, Diagnostic)]
pub enum MessageError {
    /// The message is truncated, has trailing bytes or has invalid contents.
    #[error("malformed message: truncated, with trailing bytes or with invalid contents")]
    #[diagnostic(
        code(tallies::unreadable),
        help(
            "a router runs another version, or the network path corrupts messages: compare the versions of \
             the routers"
        )
    )]
    Malformed,
    /// An incarnation or a sequence number is not below [`MAX_NUMBER`](crate::MAX_NUMBER).
    #[error("an incarnation or a sequence number in the message is out of range")]
    #[diagnostic(
        code(tallies::beyond),
        help(
            "someone who has the fleet's key forges messages: replace the key, see 'key_files' in the fleet \
             block, on all routers"
        )
    )]
    NumberOutOfRange,
    /// Its entries would exceed the limit on bytes or origins.
    #[error("the entries in the message exceed the limit on bytes or origins")]
    #[diagnostic(
        code(tallies::no_room),
        help(
            "find the router that publishes so much (state page) and restart it; the entries of all others \
             are not affected"
        )
    )]
    LimitExceeded,
}

impl PublishError {
    /// All variants, for the table of error codes.
    pub const ALL: [PublishError; 2] = [PublishError::ValueTooLong(0), PublishError::OriginFull(0)];
}

impl MessageError {
    /// All variants, for the table of error codes.
    pub const ALL: [MessageError; 3] =
        [MessageError::Malformed, MessageError::NumberOutOfRange, MessageError::LimitExceeded];
}
