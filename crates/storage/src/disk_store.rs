//! Workflow records in a `redb` file.
use crate::{MAX_WORKFLOWS, Micros, StorageError, WorkflowKey, WorkflowRecord, WorkflowStore};
use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, Table, TableDefinition};
use std::fmt::Display;
use std::path::{Path, PathBuf};

/// Records, keyed by `source`, a zero byte and `id`.
const RECORDS: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("chains");
/// An index of the record keys by expiry time.
const EXPIRIES: TableDefinition<'_, (u64, &[u8]), ()> = TableDefinition::new("until");
/// The maximum number of records removed in one transaction, so that steps are not delayed by it.
const MAX_EXPIRED_PER_TRANSACTION: usize = 1_000;

/// A store of workflow records in a file.
pub struct DiskStore {
    file: PathBuf,
    database: Database,
}

fn encode_key((source, id): WorkflowKey<'_>) -> Vec<u8> {
    [source.as_bytes(), b"\0", id.as_bytes()].concat()
}

fn open_failed(file: &Path, why: &dyn Display) -> StorageError {
    StorageError::OpenFailed { file: file.to_owned(), why: why.to_string() }
}

impl DiskStore {
    /// Opens the file, or creates it.
    ///
    /// # Errors
    /// The file cannot be read or written, is not a record file, or is damaged.
    pub fn open(file: &Path) -> Result<Self, StorageError> {
        let database = Database::create(file).map_err(|error| open_failed(file, &error))?;
        Self::with_database(file, database)
    }

    fn with_database(file: &Path, database: Database) -> Result<Self, StorageError> {
        let failed = |why: &dyn Display| open_failed(file, why);
        let transaction = database.begin_write().map_err(|error| failed(&error))?;
        transaction.open_table(RECORDS).map_err(|error| failed(&error))?;
        transaction.open_table(EXPIRIES).map_err(|error| failed(&error))?;
        transaction.commit().map_err(|error| failed(&error))?;
        Ok(DiskStore { file: file.to_owned(), database })
    }

    fn read_failed(&self, why: &dyn Display) -> StorageError {
        StorageError::ReadFailed { file: self.file.clone(), why: why.to_string() }
    }

    fn write_failed(&self, why: &dyn Display) -> StorageError {
        StorageError::WriteFailed { file: self.file.clone(), why: why.to_string() }
    }

    fn decode(&self, bytes: &[u8]) -> Result<WorkflowRecord, StorageError> {
        WorkflowRecord::decode(bytes).map_err(|error| self.read_failed(&error))
    }

    /// Inserts or replaces a record and updates its entry in the expiry index.
    fn insert(
        &self,
        records: &mut Table<'_, &[u8], &[u8]>,
        expiries: &mut Table<'_, (u64, &[u8]), ()>,
        key: WorkflowKey<'_>,
        record: &WorkflowRecord,
    ) -> Result<(), StorageError> {
        let failed = |why: &dyn Display| self.write_failed(why);
        let key = encode_key(key);
        let bytes = record.encode().map_err(|error| failed(&error))?;
        let old = records.insert(key.as_slice(), bytes.as_slice()).map_err(|error| failed(&error))?;
        let old = old.map(|old| self.decode(old.value())).transpose()?;
        let old_expiry = old.map(|old| old.expires_at).filter(|old| *old != record.expires_at);
        if let Some(old_expiry) = old_expiry {
            expiries.remove((old_expiry, key.as_slice())).map_err(|error| failed(&error))?;
        }
        expiries.insert((record.expires_at, key.as_slice()), ()).map_err(|error| failed(&error))?;
        Ok(())
    }
}

impl WorkflowStore for DiskStore {
    fn save(&mut self, new: &[(WorkflowKey<'_>, &WorkflowRecord)]) -> Result<(), StorageError> {
        let failed = |why: &dyn Display| self.write_failed(why);
        let transaction = self.database.begin_write().map_err(|error| failed(&error))?;
        {
            let mut records = transaction.open_table(RECORDS).map_err(|error| failed(&error))?;
            let mut expiries = transaction.open_table(EXPIRIES).map_err(|error| failed(&error))?;
            for (key, record) in new {
                self.insert(&mut records, &mut expiries, *key, record)?;
            }
            if records.len().map_err(|error| failed(&error))? > MAX_WORKFLOWS {
                return Err(StorageError::Full { file: self.file.clone(), most: MAX_WORKFLOWS });
            }
        }
        transaction.commit().map_err(|error| failed(&error))
    }

    fn load(&mut self, key: WorkflowKey<'_>) -> Result<Option<WorkflowRecord>, StorageError> {
        let failed = |why: &dyn Display| self.read_failed(why);
        let transaction = self.database.begin_read().map_err(|error| failed(&error))?;
        let records = transaction.open_table(RECORDS).map_err(|error| failed(&error))?;
        let found = records.get(encode_key(key).as_slice()).map_err(|error| failed(&error))?;
        found.map(|bytes| self.decode(bytes.value())).transpose()
    }

    fn unfinished(&mut self) -> Result<Vec<(String, String)>, StorageError> {
        let failed = |why: &dyn Display| self.read_failed(why);
        let transaction = self.database.begin_read().map_err(|error| failed(&error))?;
        let records = transaction.open_table(RECORDS).map_err(|error| failed(&error))?;
        let mut keys = Vec::new();
        for row in records.iter().map_err(|error| failed(&error))? {
            let (key, bytes) = row.map_err(|error| failed(&error))?;
            if self.decode(bytes.value())?.closed {
                continue;
            }
            let text = String::from_utf8_lossy(key.value()).into_owned();
            let (source, id) = text.split_once('\0').ok_or_else(|| failed(&"malformed record key"))?;
            keys.push((source.to_owned(), id.to_owned()));
        }
        Ok(keys)
    }

    fn remove_expired(&mut self, now: Micros) -> Result<usize, StorageError> {
        let failed = |why: &dyn Display| self.write_failed(why);
        let transaction = self.database.begin_write().map_err(|error| failed(&error))?;
        let mut removed = 0;
        {
            let mut records = transaction.open_table(RECORDS).map_err(|error| failed(&error))?;
            let mut expiries = transaction.open_table(EXPIRIES).map_err(|error| failed(&error))?;
            while removed < MAX_EXPIRED_PER_TRANSACTION {
                let first = expiries.first().map_err(|error| failed(&error))?;
                let first = first.map(|(row, _)| (row.value().0, row.value().1.to_vec()));
                let Some((expiry, key)) = first.filter(|(expiry, _)| *expiry <= now) else { break };
                expiries.remove((expiry, key.as_slice())).map_err(|error| failed(&error))?;
                records.remove(key.as_slice()).map_err(|error| failed(&error))?;
                removed += 1;
            }
        }
        transaction.commit().map_err(|error| failed(&error))?;
        Ok(removed)
    }

    fn count(&mut self) -> Result<u64, StorageError> {
        let failed = |why: &dyn Display| self.read_failed(why);
        let transaction = self.database.begin_read().map_err(|error| failed(&error))?;
        let records = transaction.open_table(RECORDS).map_err(|error| failed(&error))?;
        records.len().map_err(|error| failed(&error))
    }
}

#[cfg(test)]
mod tests;
