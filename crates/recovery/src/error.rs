//! Why a snapshot or a message is not used, and what an operator can do about it. The router routes requests
//! all the same.
use miette::Diagnostic;
use thiserror::Error;

/// Why a snapshot is not used. Nothing else depends on it: the router starts from its peers, or from nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SnapshotError {
    /// It is damaged: truncated, changed or overwritten.
    #[error("the snapshot's checksum does not fit: torn, bent or written over")]
    #[diagnostic(
        code(comeback::spoilt),
        help("nothing at once: it is written anew within seconds; if it happens again, replace the disk")
    )]
    Corrupt,
    /// It has the format of this number, which is not read.
    #[error("the snapshot has form {0}, which this version does not read")]
    #[diagnostic(
        code(comeback::other_form),
        help("nothing: a newer version wrote it, and it is written anew within seconds")
    )]
    UnsupportedFormat(u16),
    /// It is of another router or fleet.
    #[error("the snapshot is of another router or fleet")]
    #[diagnostic(
        code(comeback::foreign),
        help(
            "look which file 'snapshot' in the fleet block names: two routers may share it, or it was copied"
        )
    )]
    WrongRouter,
    /// It has so many bytes, more than any has.
    #[error("the snapshot has {0} bytes, more than any has")]
    #[diagnostic(code(comeback::long), help("look which file 'snapshot' in the fleet block names"))]
    TooLarge(usize),
}

impl SnapshotError {
    /// One of each, for the table of codes.
    pub const EACH: [SnapshotError; 4] = [
        SnapshotError::Corrupt,
        SnapshotError::UnsupportedFormat(0),
        SnapshotError::WrongRouter,
        SnapshotError::TooLarge(0),
    ];
}

/// A message that is not used. It changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("a message that ends early, goes on after its end or holds what no message holds")]
#[diagnostic(
    code(comeback::unreadable),
    help("a router of another version, or a broken path: compare the versions of the routers")
)]
pub struct MalformedMessage;
