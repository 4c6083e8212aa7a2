//! A router's snapshot on disk, in a `redb` file of its own: the last one that was written as a whole.
use crate::StorageError;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};

/// The one snapshot, by the number of its format.
const SNAPSHOTS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("snapshot");
const FORMAT: u64 = 1;
/// The ending of a file that could not be used.
const DAMAGED_SUFFIX: &str = ".spoilt";

/// The file of a snapshot. What it says is checked by whoever decodes it.
pub struct SnapshotFile {
    file: PathBuf,
    database: Database,
}

impl SnapshotFile {
    /// Opens the file, or makes it. One that is damaged is renamed to end in `.spoilt`, in place of an
    /// earlier one, and a new one is made: the second value says why.
    ///
    /// # Errors
    /// The file can't be opened, and cannot be put aside or made either.
    pub fn open(file: &Path) -> Result<(Self, Option<StorageError>), StorageError> {
        let damage = match Self::create(file) {
            Ok(opened) => return Ok((opened, None)),
            Err(damage) => damage,
        };
        let mut aside = file.as_os_str().to_owned();
        aside.push(DAMAGED_SUFFIX);
        if std::fs::rename(file, aside).is_err() {
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

    /// The snapshot that was written last, if there is one.
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

    /// Writes a snapshot in place of the one before. Returns once it would outlast a power cut, as far as the
    /// disk says.
    ///
    /// # Errors
    /// The file cannot be written. The snapshot before is still there.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let write = || -> Result<(), redb::Error> {
            let transaction = self.database.begin_write()?;
            transaction.open_table(SNAPSHOTS)?.insert(FORMAT, bytes)?;
            Ok(transaction.commit()?)
        };
        write().map_err(|error| StorageError::WriteFailed { file: self.file.clone(), why: error.to_string() })
    }
}
