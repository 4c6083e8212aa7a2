//! Errors of the prefix cache, each with a code and advice for the operator.
use miette::Diagnostic;
use thiserror::Error;

/// Why published counts or an agreed list are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum DecodeError {
    /// Published counts cannot be decoded.
    #[error("published prefix counts cannot be decoded")]
    #[diagnostic(
        code(openings::unreadable),
        help("a router runs another version: compare the versions of the routers; its counts are left out")
    )]
    MalformedCounts,
    /// Published counts contradict the bounds of a sketch.
    #[error("published prefix counts contradict the bounds of a sketch")]
    #[diagnostic(
        code(openings::unsound),
        help(
            "someone who has the fleet's key forges counts: replace the key, see 'key_files' in the fleet \
             block, on all routers"
        )
    )]
    InvalidCounts,
    /// An agreed list cannot be decoded, or has more than [`MAX_PINS`](crate::MAX_PINS) pins.
    #[error("the agreed list of pinned prefixes cannot be decoded or has too many pins")]
    #[diagnostic(
        code(openings::no_list),
        help("the routers run different versions: no prefix is pinned until all run the same one")
    )]
    InvalidList,
}

impl DecodeError {
    /// All variants, for the table of error codes.
    pub const ALL: [DecodeError; 3] =
        [DecodeError::MalformedCounts, DecodeError::InvalidCounts, DecodeError::InvalidList];
}
