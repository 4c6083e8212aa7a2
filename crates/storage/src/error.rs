//! Storage errors, with instructions for operators.
use miette::Diagnostic;
use std::path::PathBuf;
use thiserror::Error;

/// An error of a storage file. `why` is the reason reported by the database or the operating system.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum StorageError {
    /// The file cannot be opened or created.
    #[error("{}: failed to open: {why}", file.display())]
    #[diagnostic(
        code(record::unopened),
        help(
            "check that the directory exists and is writable, and that the file is one of this program; a \
             damaged snapshot is renamed to end in .spoilt and a new one is begun, but the file named in \
             'record' is never replaced"
        )
    )]
    OpenFailed {
        /// The file.
        file: PathBuf,
        /// The reason.
        why: String,
    },
    /// The file cannot be read or decoded.
    #[error("{}: failed to read: {why}", file.display())]
    #[diagnostic(
        code(record::unread),
        help("the disk or the file is damaged: replace the disk, or move the file away and start again")
    )]
    ReadFailed {
        /// The file.
        file: PathBuf,
        /// The reason.
        why: String,
    },
    /// The file cannot be written.
    #[error("{}: failed to write: {why}", file.display())]
    #[diagnostic(
        code(record::not_written),
        help("free space on the disk, or repair it; what was written before is still there")
    )]
    WriteFailed {
        /// The file.
        file: PathBuf,
        /// The reason.
        why: String,
    },
    /// The maximum number of workflows is recorded.
    #[error("{}: the limit of {most} recorded workflows is reached", file.display())]
    #[diagnostic(
        code(record::full),
        help(
            "the records of finished workflows ('chain' in the settings) are removed when they expire; until \
             then let workflows finish faster, or accept fewer"
        )
    )]
    Full {
        /// The file.
        file: PathBuf,
        /// The maximum number of recorded workflows.
        most: u64,
    },
}

impl StorageError {
    /// One value of each variant, for the table of diagnostic codes.
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
