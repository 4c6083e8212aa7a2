//! The record on disk, in one `redb` file: a transaction is there as a whole or not at all, and a file that
//! was cut or written over is found out when it is opened or read.
use crate::{MAX_WORKFLOWS, Micros, StorageError, WorkflowKey, WorkflowRecord, WorkflowStore};
use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use std::path::{Path, PathBuf};

/// Chains by `source`, a zero byte and `id`.
const CHAINS: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("chains");
/// The same names by when they may be dropped.
const UNTIL: TableDefinition<'_, (u64, &[u8]), ()> = TableDefinition::new("until");
/// Chains dropped in one transaction at most: clearing must not hold up a step.
const MAX_EXPIRED_PER_TRANSACTION: usize = 1_000;

pub struct DiskStore {
    file: PathBuf,
    database: Database,
}

fn key((source, id): WorkflowKey<'_>) -> Vec<u8> {
    [source.as_bytes(), b"\0", id.as_bytes()].concat()
}

impl DiskStore {
    /// Opens the file, or makes it. An error names the file and the reason: it can't be read or written, is
    /// not a record, or was damaged.
    pub fn open(file: &Path) -> Result<Self, StorageError> {
        let told =
            |e: redb::DatabaseError| StorageError::OpenFailed { file: file.to_owned(), why: e.to_string() };
        let database = Database::create(file).map_err(told)?;
        Self::with(file, database)
    }

    fn with(file: &Path, database: Database) -> Result<Self, StorageError> {
        let told = |why: &dyn std::fmt::Display| StorageError::OpenFailed {
            file: file.to_owned(),
            why: why.to_string(),
        };
        let begun = database.begin_write().map_err(|e| told(&e))?;
        begun.open_table(CHAINS).map_err(|e| told(&e))?;
        begun.open_table(UNTIL).map_err(|e| told(&e))?;
        begun.commit().map_err(|e| told(&e))?;
        Ok(DiskStore { file: file.to_owned(), database })
    }

    fn unread(&self, why: &dyn std::fmt::Display) -> StorageError {
        StorageError::ReadFailed { file: self.file.clone(), why: why.to_string() }
    }

    fn unwritten(&self, why: &dyn std::fmt::Display) -> StorageError {
        StorageError::WriteFailed { file: self.file.clone(), why: why.to_string() }
    }

    fn decoded(&self, bytes: &[u8]) -> Result<WorkflowRecord, StorageError> {
        postcard::from_bytes(bytes).map_err(|e| self.unread(&e))
    }
}

impl WorkflowStore for DiskStore {
    fn save(&mut self, chains: &[(WorkflowKey<'_>, &WorkflowRecord)]) -> Result<(), StorageError> {
        let told = |e: &dyn std::fmt::Display| self.unwritten(e);
        let write = self.database.begin_write().map_err(|e| told(&e))?;
        {
            let mut table = write.open_table(CHAINS).map_err(|e| told(&e))?;
            let mut until = write.open_table(UNTIL).map_err(|e| told(&e))?;
            for (name, kept) in chains {
                let key = key(*name);
                let bytes = postcard::to_stdvec(kept).map_err(|e| told(&e))?;
                let old = table.insert(key.as_slice(), bytes.as_slice()).map_err(|e| told(&e))?;
                let old = old.map(|old| self.decoded(old.value())).transpose()?.map(|old| old.expires_at);
                if let Some(old) = old.filter(|old| *old != kept.expires_at) {
                    until.remove((old, key.as_slice())).map_err(|e| told(&e))?;
                }
                until.insert((kept.expires_at, key.as_slice()), ()).map_err(|e| told(&e))?;
            }
            if table.len().map_err(|e| told(&e))? > MAX_WORKFLOWS {
                return Err(StorageError::Full { file: self.file.clone(), most: MAX_WORKFLOWS });
            }
        }
        write.commit().map_err(|e| told(&e))
    }

    fn load(&mut self, name: WorkflowKey<'_>) -> Result<Option<WorkflowRecord>, StorageError> {
        let told = |e: &dyn std::fmt::Display| self.unread(e);
        let read = self.database.begin_read().map_err(|e| told(&e))?;
        let table = read.open_table(CHAINS).map_err(|e| told(&e))?;
        let found = table.get(key(name).as_slice()).map_err(|e| told(&e))?;
        found.map(|bytes| self.decoded(bytes.value())).transpose()
    }

    fn unfinished(&mut self) -> Result<Vec<(String, String)>, StorageError> {
        let told = |e: &dyn std::fmt::Display| self.unread(e);
        let read = self.database.begin_read().map_err(|e| told(&e))?;
        let table = read.open_table(CHAINS).map_err(|e| told(&e))?;
        let mut names = Vec::new();
        for row in table.iter().map_err(|e| told(&e))? {
            let (key, bytes) = row.map_err(|e| told(&e))?;
            if self.decoded(bytes.value())?.closed {
                continue;
            }
            let text = String::from_utf8_lossy(key.value()).into_owned();
            let (source, id) = text.split_once('\0').ok_or_else(|| told(&"a name without its parts"))?;
            names.push((source.to_owned(), id.to_owned()));
        }
        Ok(names)
    }

    fn remove_expired(&mut self, now: Micros) -> Result<usize, StorageError> {
        let told = |e: &dyn std::fmt::Display| self.unwritten(e);
        let write = self.database.begin_write().map_err(|e| told(&e))?;
        let mut cleared = 0;
        {
            let mut table = write.open_table(CHAINS).map_err(|e| told(&e))?;
            let mut until = write.open_table(UNTIL).map_err(|e| told(&e))?;
            while cleared < MAX_EXPIRED_PER_TRANSACTION {
                let first = until.first().map_err(|e| told(&e))?;
                let first = first.map(|(row, _)| (row.value().0, row.value().1.to_vec()));
                let Some((at, key)) = first.filter(|(at, _)| *at <= now) else { break };
                until.remove((at, key.as_slice())).map_err(|e| told(&e))?;
                table.remove(key.as_slice()).map_err(|e| told(&e))?;
                cleared += 1;
            }
        }
        write.commit().map_err(|e| told(&e))?;
        Ok(cleared)
    }

    fn count(&mut self) -> Result<u64, StorageError> {
        let told = |e: &dyn std::fmt::Display| self.unread(e);
        let read = self.database.begin_read().map_err(|e| told(&e))?;
        let table = read.open_table(CHAINS).map_err(|e| told(&e))?;
        table.len().map_err(|e| told(&e))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fails::FailingBackend;
    use crate::{StepOutcome, StepRecord};
    use redb::backends::InMemoryBackend;
    use std::collections::BTreeMap;
    use std::sync::Arc;
    use std::sync::atomic::{AtomicU64, Ordering};

    fn kept(until: Micros, steps: u32) -> WorkflowRecord {
        let end = StepOutcome {
            code: 0,
            fields: BTreeMap::from([("hut".into(), "x".repeat(100))]),
            response: None,
        };
        let step = |n| (n, StepRecord { sent_at: u64::from(n), outcome: Some(end.clone()) });
        WorkflowRecord {
            expires_at: until,
            steps: (0..steps).map(step).collect(),
            ..WorkflowRecord::default()
        }
    }

    #[test]
    fn kept_read_and_cleared() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("record");
        let mut disk = DiskStore::open(&file).expect("a new file");
        disk.save(&[(("/a", "1"), &kept(100, 1)), (("/a", "2"), &kept(200, 1))]).expect("kept");
        disk.save(&[(("/a", "1"), &WorkflowRecord { closed: true, ..kept(300, 2) })]).expect("kept again");
        drop(disk);
        let mut disk = DiskStore::open(&file).expect("opened again");
        assert_eq!(disk.load(("/a", "1")).expect("read").map(|k| k.steps.len()), Some(2));
        assert_eq!(disk.load(("/a", "3")), Ok(None));
        assert_eq!(disk.unfinished(), Ok(vec![("/a".into(), "2".into())]), "the other one is closed");
        assert_eq!(
            (disk.remove_expired(250), disk.count()),
            (Ok(1), Ok(1)),
            "one is kept for longer than at first"
        );
        assert_eq!((disk.remove_expired(300), disk.count()), (Ok(1), Ok(0)));
    }

    #[test]
    fn what_is_no_record_is_said_so() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("record");
        std::fs::write(&file, "certainly no record ".repeat(1_000)).expect("written");
        let why = DiskStore::open(&file).err().expect("an error");
        assert!(why.to_string().contains("record: "), "{why}");
        let nowhere = DiskStore::open(&folder.path().join("no/such/folder")).err().expect("an error");
        assert!(nowhere.to_string().contains("no/such/folder"), "{nowhere}");
    }

    // Cut anywhere, the file is refused, or all that was kept is there: nothing is lost in silence, or a step
    // that was sent would be sent again.
    #[test]
    fn a_file_that_was_cut_is_refused() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("record");
        let mut disk = DiskStore::open(&file).expect("a new file");
        for n in 0..40 {
            disk.save(&[(("/a", n.to_string().as_str()), &kept(100, 8))]).expect("kept");
        }
        drop(disk);
        let whole = std::fs::read(&file).expect("read");
        let (mut refused, cut) = (0, folder.path().join("cut"));
        for at in (1..whole.len()).step_by(4_096) {
            std::fs::write(&cut, &whole[..at]).expect("written");
            let read = DiskStore::open(&cut).and_then(|mut disk| {
                (0..40).map(|n| disk.load(("/a", &n.to_string()))).collect::<Result<Vec<_>, _>>()
            });
            match read {
                Ok(all) => assert!(all.iter().all(Option::is_some), "lost in silence, cut at {at}"),
                Err(_) => refused += 1,
            }
        }
        assert!(refused > 10, "{refused} of {} cuts refused", whole.len() / 4_096);
    }

    // Whichever write fails: what was said to be kept is there afterwards, and what was not said is there
    // wholly or not at all.
    #[test]
    fn whichever_write_fails() {
        let (mut failed, mut n) = (0, 0);
        loop {
            let inner = Arc::new(InMemoryBackend::new());
            let left = Arc::new(AtomicU64::new(u64::MAX));
            let on = |left: &Arc<AtomicU64>| {
                let backend = FailingBackend { inner: inner.clone(), left: left.clone() };
                let database = Database::builder().create_with_backend(backend);
                database
                    .map_err(|e| e.to_string())
                    .and_then(|d| DiskStore::with(Path::new("memory"), d).map_err(|e| e.to_string()))
            };
            let mut disk = on(&left).expect("a new one");
            disk.save(&[(("/a", "1"), &kept(100, 4))]).expect("kept");
            left.store(n, Ordering::Relaxed);
            let said: Vec<bool> = (2..6u32)
                .map(|n| disk.save(&[(("/a", n.to_string().as_str()), &kept(100, 4))]).is_ok())
                .collect();
            // As after a kill: nothing more is written by the old one.
            left.store(0, Ordering::Relaxed);
            drop(disk);
            let mut again = on(&Arc::new(AtomicU64::new(u64::MAX))).expect("opened again");
            assert!(again.load(("/a", "1")).expect("read").is_some());
            for (chain, said) in (2..6).zip(&said) {
                let found = again.load(("/a", &chain.to_string())).expect("read");
                assert!(found.is_some() || !said, "write {n}: chain {chain} was said to be kept");
                assert!(found.is_none_or(|k| k == kept(100, 4)), "write {n}: half of chain {chain}");
            }
            failed += usize::from(said.contains(&false));
            if said.iter().all(|s| *s) {
                break;
            }
            n += 1;
        }
        assert!(failed > 4, "{failed} writes failed");
    }
}
