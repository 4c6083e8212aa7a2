//! Errors of snapshots and messages, with instructions for operators. None of them stops the routing of
//! requests.
use miette::Diagnostic;
use thiserror::Error;

/// Why a snapshot is rejected. The router then recovers from its peers, or starts without facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SnapshotError {
    /// The snapshot is damaged: truncated, altered or overwritten.
    #[error("the snapshot is corrupt: it was truncated, altered or overwritten")]
    #[diagnostic(
        code(comeback::spoilt),
        help(
            "nothing at first: a new snapshot is written within seconds; if it happens again, replace the \
             disk"
        )
    )]
    Corrupt,
    /// The snapshot has this format version, which is not supported.
    #[error("the snapshot has format version {0}, which is not supported")]
    #[diagnostic(
        code(comeback::other_form),
        help("nothing: a newer version wrote it, and a new snapshot is written within seconds")
    )]
    UnsupportedFormat(u16),
    /// The snapshot belongs to another router or fleet.
    #[error("the snapshot belongs to another router or fleet")]
    #[diagnostic(
        code(comeback::foreign),
        help(
            "check which file 'snapshot' in the fleet block names: two routers may share it, or it was copied"
        )
    )]
    WrongRouter,
    /// The snapshot has this many bytes, more than [`MAX_SNAPSHOT_BYTES`](crate::MAX_SNAPSHOT_BYTES).
    #[error("the snapshot has {0} bytes, more than the maximum")]
    #[diagnostic(code(comeback::long), help("check which file 'snapshot' in the fleet block names"))]
    TooLarge(usize),
}

impl SnapshotError {
    /// One value of each variant, for the table of diagnostic codes.
    pub const EACH: [SnapshotError; 4] = [
        SnapshotError::Corrupt,
        SnapshotError::UnsupportedFormat(0),
        SnapshotError::WrongRouter,
        SnapshotError::TooLarge(0),
    ];
}

/// The error for a message that cannot be decoded or is invalid. The message has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("malformed message: truncated, followed by trailing bytes, or with invalid contents")]
#[diagnostic(
    code(comeback::unreadable),
    help(
        "a router runs another version, or the network path corrupts messages: compare the versions of the \
         routers"
    )
)]
pub struct MalformedMessage;
