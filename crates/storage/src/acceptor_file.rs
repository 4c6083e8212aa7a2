//! The state of a consensus acceptor, stored in a separate `redb` file.
use applepond_consensus::{AcceptorError, AcceptorState, AcceptorStorage};
use applepond_membership::InstanceId;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

/// The acceptor state under the key [`FORMAT`], and the disk id under the key [`DISK`].
const STATES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("vote");
/// The key of the state, which is its format version. Other versions are not read.
const FORMAT: u64 = 1;
/// The key of the disk id. The id is random and assigned once, so that a file created in place of a lost one
/// is recognized as another disk.
const DISK: u64 = 0;

/// The file of an acceptor.
pub struct AcceptorFile(Database);

/// An opened file and its contents.
pub struct OpenedAcceptor<V> {
    /// The file.
    pub file: AcceptorFile,
    /// The disk id, assigned when the file was created.
    pub disk: InstanceId,
    /// The acceptor's state, or `None` if the file is new.
    pub state: Option<AcceptorState<V>>,
}

fn corrupt(_: impl Into<redb::Error>) -> AcceptorError {
    AcceptorError::Corrupt
}

impl AcceptorFile {
    /// Opens the file and reads its contents, or creates it with `new_disk` as the disk id.
    ///
    /// # Errors
    /// [`AcceptorError::Corrupt`] if the file is not an acceptor file, is damaged, or cannot be opened.
    pub fn open<V: DeserializeOwned>(
        file: &Path,
        new_disk: InstanceId,
    ) -> Result<OpenedAcceptor<V>, AcceptorError> {
        Self::with_database(Database::create(file).map_err(corrupt)?, new_disk)
    }

    fn with_database<V: DeserializeOwned>(
        database: Database,
        new_disk: InstanceId,
    ) -> Result<OpenedAcceptor<V>, AcceptorError> {
        let disk = Self::read_or_set_disk(&database, new_disk)?;
        let transaction = database.begin_read().map_err(corrupt)?;
        let table = transaction.open_table(STATES).map_err(corrupt)?;
        let bytes = table.get(FORMAT).map_err(corrupt)?;
        let decode = |bytes: &[u8]| postcard::from_bytes(bytes).map_err(|_| AcceptorError::Corrupt);
        let state = bytes.map(|bytes| decode(bytes.value())).transpose()?;
        Ok(OpenedAcceptor { file: AcceptorFile(database), disk, state })
    }

    fn read_or_set_disk(database: &Database, new_disk: InstanceId) -> Result<InstanceId, AcceptorError> {
        let transaction = database.begin_write().map_err(corrupt)?;
        let disk = {
            let mut table = transaction.open_table(STATES).map_err(corrupt)?;
            let stored = table.get(DISK).map_err(corrupt)?.map(|bytes| bytes.value().to_vec());
            match stored {
                Some(bytes) => {
                    let bytes = bytes.try_into().map_err(|_| AcceptorError::Corrupt)?;
                    InstanceId(u64::from_le_bytes(bytes))
                }
                None => {
                    table.insert(DISK, &new_disk.0.to_le_bytes()[..]).map_err(corrupt)?;
                    new_disk
                }
            }
        };
        transaction.commit().map_err(corrupt)?;
        Ok(disk)
    }

    fn write(&self, bytes: &[u8]) -> Result<(), redb::Error> {
        let transaction = self.0.begin_write()?;
        transaction.open_table(STATES)?.insert(FORMAT, bytes)?;
        // With redb's default durability, `commit` returns after the data has been synced to disk.
        transaction.commit()?;
        Ok(())
    }
}

impl<V: Serialize> AcceptorStorage<V> for AcceptorFile {
    fn persist(&mut self, state: &AcceptorState<V>) -> Result<(), AcceptorError> {
        let bytes = postcard::to_stdvec(state).map_err(|_| AcceptorError::WriteFailed)?;
        self.write(&bytes).map_err(|_| AcceptorError::WriteFailed)
    }
}

#[cfg(test)]
mod tests;
