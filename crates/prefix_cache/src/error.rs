//! Errors of the prefix cache. Each carries a code and what an operator can do about it.
use miette::Diagnostic;
use thiserror::Error;

/// Why published counts or an agreed list are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum DecodeError {
    /// Published counts cannot be decoded.
    #[error("counts of openings that cannot be read")]
    #[diagnostic(
        code(openings::unreadable),
        help("a router of another version: compare the versions of the routers; its counts are left out")
    )]
    MalformedCounts,
    /// Published counts contradict the bounds of a sketch.
    #[error("counts of openings that no sketch can have")]
    #[diagnostic(
        code(openings::unsound),
        help("somebody with the fleet's key makes counts up: change the key files of all routers")
    )]
    InvalidCounts,
    /// An agreed list cannot be decoded, or has more than [`MAX_PINS`](crate::MAX_PINS) pins.
    #[error("a list of openings that cannot be read, or is longer than any")]
    #[diagnostic(
        code(openings::no_list),
        help("routers of different versions agree on it: no opening is pinned until all are of one")
    )]
    InvalidList,
}

impl DecodeError {
    /// One of each, for the table of error codes.
    pub const ALL: [DecodeError; 3] =
        [DecodeError::MalformedCounts, DecodeError::InvalidCounts, DecodeError::InvalidList];
}
