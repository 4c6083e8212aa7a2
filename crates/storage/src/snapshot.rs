//! A router's snapshot on disk, in a `redb` file of its own: the last one that was written as a whole.
//! What it says is checked by whoever reads it; a file that cannot be used is put beside and begun anew.
use crate::fault::StorageError;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};

/// The one snapshot, under its number of form.
const SNAPSHOT: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("snapshot");
const FORM: u64 = 1;

pub struct SnapshotFile {
    file: PathBuf,
    database: Database,
}

impl SnapshotFile {
    /// Opens the file, or makes it. One that is no store any more is renamed to end in `.spoilt`, in place of
    /// the one that was so before, and a new one is begun: the second value says why.
    pub fn open(file: &Path) -> Result<(Self, Option<StorageError>), StorageError> {
        let told = |e: redb::Error| StorageError::OpenFailed { file: file.to_owned(), why: e.to_string() };
        let first = match Self::with(file, Database::create(file).map_err(|e| told(e.into()))) {
            Ok(opened) => return Ok((opened, None)),
            Err(first) => first,
        };
        let mut beside = file.as_os_str().to_owned();
        beside.push(".spoilt");
        if std::fs::rename(file, beside).is_err() {
            return Err(first);
        }
        let anew = Self::with(file, Database::create(file).map_err(|e| told(e.into())))?;
        Ok((anew, Some(first)))
    }

    fn with(file: &Path, database: Result<Database, StorageError>) -> Result<Self, StorageError> {
        let database = database?;
        let told = |e: redb::Error| StorageError::OpenFailed { file: file.to_owned(), why: e.to_string() };
        let begun = database.begin_write().map_err(|e| told(e.into()))?;
        begun.open_table(SNAPSHOT).map_err(|e| told(e.into()))?;
        begun.commit().map_err(|e| told(e.into()))?;
        Ok(SnapshotFile { file: file.to_owned(), database })
    }

    /// What was written last.
    pub fn read(&self) -> Result<Option<Vec<u8>>, StorageError> {
        let read = || -> Result<Option<Vec<u8>>, redb::Error> {
            let table = self.database.begin_read()?.open_table(SNAPSHOT)?;
            Ok(table.get(FORM)?.map(|bytes| bytes.value().to_vec()))
        };
        read().map_err(|e| StorageError::ReadFailed { file: self.file.clone(), why: e.to_string() })
    }

    /// Writes it in place of the one before; returns once it would outlast a power cut, by the disk's word.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let write = || -> Result<(), redb::Error> {
            let write = self.database.begin_write()?;
            write.open_table(SNAPSHOT)?.insert(FORM, bytes)?;
            Ok(write.commit()?)
        };
        write().map_err(|e| StorageError::WriteFailed { file: self.file.clone(), why: e.to_string() })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_last_one_is_there() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("snapshot");
        let (mut opened, fault) = SnapshotFile::open(&file).expect("a new file");
        assert!(fault.is_none() && opened.read().expect("read").is_none());
        opened.write(b"one").expect("room");
        opened.write(b"two").expect("room");
        drop(opened);
        let (opened, _) = SnapshotFile::open(&file).expect("opened again");
        assert_eq!(opened.read().expect("read").as_deref(), Some(&b"two"[..]));
    }

    // Cut anywhere or written over: the last one, or a new file with the old one beside it. Never an
    // older one.
    #[test]
    fn a_file_that_was_spoilt() {
        let folder = tempfile::tempdir().expect("a folder");
        let (file, bent) = (folder.path().join("snapshot"), folder.path().join("bent"));
        let (mut opened, _) = SnapshotFile::open(&file).expect("a new file");
        (0..20u8).for_each(|n| opened.write(&[n; 3_000]).expect("room"));
        drop(opened);
        let whole = std::fs::read(&file).expect("read");
        let mut anew = 0;
        for at in (0..whole.len()).step_by(4_096) {
            std::fs::write(&bent, &whole[..at]).expect("written");
            let (opened, fault) = SnapshotFile::open(&bent).expect("opened or begun anew");
            let read = opened.read().expect("read");
            assert!(read.is_none() || read.as_deref() == Some(&[19; 3_000][..]), "cut at {at}");
            anew += usize::from(fault.is_some());
        }
        assert!(anew > 3, "{anew}");
        std::fs::write(&bent, "no store at all ".repeat(2_000)).expect("written");
        let (mut opened, fault) = SnapshotFile::open(&bent).expect("begun anew");
        assert!(matches!(fault, Some(StorageError::OpenFailed { .. })));
        opened.write(b"new").expect("room");
        assert!(folder.path().join("bent.spoilt").exists());
        let nowhere = folder.path().join("no/such/folder");
        assert!(SnapshotFile::open(&nowhere).is_err());
    }
}
