//! A router's snapshot, stored in a separate `redb` file. The file holds the last completely written one.
use crate::StorageError;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};

/// The snapshot, keyed by its format version.
const SNAPSHOTS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("snapshot");
const FORMAT: u64 = 1;
/// The suffix that is added to the name of a damaged file.
const DAMAGED_SUFFIX: &str = ".spoilt";

/// The file of a snapshot. The contents are opaque here and validated by their decoder.
pub struct SnapshotFile {
    file: PathBuf,
    database: Database,
}

impl SnapshotFile {
    /// Opens the file, or creates it. A damaged file is renamed with the suffix `.spoilt`, replacing an
    /// earlier one, and a new file is created; the second value is then the error of the damaged file.
    ///
    /// # Errors
    /// The file cannot be opened, and renaming it or creating a new one fails as well.
    pub fn open(file: &Path) -> Result<(Self, Option<StorageError>), StorageError> {
        let damage = match Self::create(file) {
            Ok(opened) => return Ok((opened, None)),
            Err(damage) => damage,
        };
        let mut damaged_name = file.as_os_str().to_owned();
        damaged_name.push(DAMAGED_SUFFIX);
        if std::fs::rename(file, damaged_name).is_err() {
            return Err(damage);
        }
        Ok((Self::create(file)?, Some(damage)))
    }

    fn create(file: &Path) -> Result<Self, StorageError> {
        let create = || -> Result<Database, redb::Error> {
            let database = Database::create(file)?;
            let transaction = database.begin_write()?;
            transaction.open_table(SNAPSHOTS)?;
            transaction.commit()?;
            Ok(database)
        };
        match create() {
            Ok(database) => Ok(SnapshotFile { file: file.to_owned(), database }),
            Err(error) => Err(StorageError::OpenFailed { file: file.to_owned(), why: error.to_string() }),
        }
    }

    /// The last written snapshot, if there is one.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn read(&self) -> Result<Option<Vec<u8>>, StorageError> {
        let read = || -> Result<Option<Vec<u8>>, redb::Error> {
            let table = self.database.begin_read()?.open_table(SNAPSHOTS)?;
            Ok(table.get(FORMAT)?.map(|bytes| bytes.value().to_vec()))
        };
        read().map_err(|error| StorageError::ReadFailed { file: self.file.clone(), why: error.to_string() })
    }

    /// Replaces the snapshot. Returns once the new one would survive a power failure, provided that the disk
    /// honours syncs.
    ///
    /// # Errors
    /// The file cannot be written. The previous snapshot is kept.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let write = || -> Result<(), redb::Error> {
            let transaction = self.database.begin_write()?;
            transaction.open_table(SNAPSHOTS)?.insert(FORMAT, bytes)?;
            Ok(transaction.commit()?)
        };
        write().map_err(|error| StorageError::WriteFailed { file: self.file.clone(), why: error.to_string() })
    }
}
