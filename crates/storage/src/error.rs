//! Why a file cannot be used, and what an operator can do about it.
use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// A file that cannot be used. `why` is the reason that the library or the system gives.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum StorageError {
    /// The file cannot be opened or made.
    #[error("{}: {why}", file.display())]
    #[diagnostic(
        code(record::unopened),
        help(
            "look whether the folder is there and may be written, and whether the file is of this program; a \
              snapshot that is spoilt is put beside as .spoilt and begun anew, a record of chains is not"
        )
    )]
    OpenFailed {
        /// The file.
        file: PathBuf,
        /// The reason.
        why: String,
    },
    /// The file cannot be read, or what is in it cannot be decoded.
    #[error("{}: it cannot be read: {why}", file.display())]
    #[diagnostic(
        code(record::unread),
        help("the disk or the file is damaged: replace the disk, or put the file aside and start again")
    )]
    ReadFailed {
        /// The file.
        file: PathBuf,
        /// The reason.
        why: String,
    },
    /// The file cannot be written.
    #[error("{}: it cannot be written: {why}", file.display())]
    #[diagnostic(
        code(record::not_written),
        help("make room on the disk, or mend it; what was written before is still there")
    )]
    WriteFailed {
        /// The file.
        file: PathBuf,
        /// The reason.
        why: String,
    },
    /// As many workflows are recorded as may be.
    #[error("{}: {most} chains are on record, as many as may be", file.display())]
    #[diagnostic(
        code(record::full),
        help(
            "chains that have come to their end are dropped after their time; until then raise the pace at \
              which they end, or take fewer"
        )
    )]
    Full {
        /// The file.
        file: PathBuf,
        /// How many may be recorded.
        most: u64,
    },
}

impl StorageError {
    /// One of each, for the table of codes.
    pub fn each() -> Vec<StorageError> {
        let (file, why) = (PathBuf::new(), String::new());
        vec![
            StorageError::OpenFailed { file: file.clone(), why: why.clone() },
            StorageError::ReadFailed { file: file.clone(), why: why.clone() },
            StorageError::WriteFailed { file: file.clone(), why },
            StorageError::Full { file, most: 0 },
        ]
    }
}
