//! The record on disk, in one `redb` file: a transaction is there as a whole or not at all, and a file that
//! was cut or written over is found out when it is opened or read.
use crate::{CHAINS_MOST, Kept, Micros, Name, Record, StoreFault};
use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use std::path::{Path, PathBuf};

/// Chains by `source`, a zero byte and `id`.
const CHAINS: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("chains");
/// The same names by when they may be dropped.
const UNTIL: TableDefinition<'_, (u64, &[u8]), ()> = TableDefinition::new("until");
/// Chains dropped in one transaction at most: clearing must not hold up a step.
const CLEARED: usize = 1_000;

pub struct Disk {
    file: PathBuf,
    database: Database,
}

fn key((source, id): Name<'_>) -> Vec<u8> {
    [source.as_bytes(), b"\0", id.as_bytes()].concat()
}

impl Disk {
    /// Opens the file, or makes it. An error names the file and the reason: it can't be read or written, is
    /// not a record, or was damaged.
    pub fn open(file: &Path) -> Result<Self, StoreFault> {
        let told =
            |e: redb::DatabaseError| StoreFault::Unopened { file: file.to_owned(), why: e.to_string() };
        let database = Database::create(file).map_err(told)?;
        Self::with(file, database)
    }

    fn with(file: &Path, database: Database) -> Result<Self, StoreFault> {
        let told = |why: &dyn std::fmt::Display| StoreFault::Unopened {
            file: file.to_owned(),
            why: why.to_string(),
        };
        let begun = database.begin_write().map_err(|e| told(&e))?;
        begun.open_table(CHAINS).map_err(|e| told(&e))?;
        begun.open_table(UNTIL).map_err(|e| told(&e))?;
        begun.commit().map_err(|e| told(&e))?;
        Ok(Disk { file: file.to_owned(), database })
    }

    fn unread(&self, why: &dyn std::fmt::Display) -> StoreFault {
        StoreFault::Unread { file: self.file.clone(), why: why.to_string() }
    }

    fn unwritten(&self, why: &dyn std::fmt::Display) -> StoreFault {
        StoreFault::NotWritten { file: self.file.clone(), why: why.to_string() }
    }

    fn decoded(&self, bytes: &[u8]) -> Result<Kept, StoreFault> {
        postcard::from_bytes(bytes).map_err(|e| self.unread(&e))
    }
}

impl Record for Disk {
    fn keep(&mut self, chains: &[(Name<'_>, &Kept)]) -> Result<(), StoreFault> {
        let told = |e: &dyn std::fmt::Display| self.unwritten(e);
        let write = self.database.begin_write().map_err(|e| told(&e))?;
        {
            let mut table = write.open_table(CHAINS).map_err(|e| told(&e))?;
            let mut until = write.open_table(UNTIL).map_err(|e| told(&e))?;
            for (name, kept) in chains {
                let key = key(*name);
                let bytes = postcard::to_stdvec(kept).map_err(|e| told(&e))?;
                let old = table.insert(key.as_slice(), bytes.as_slice()).map_err(|e| told(&e))?;
                let old = old.map(|old| self.decoded(old.value())).transpose()?.map(|old| old.until);
                if let Some(old) = old.filter(|old| *old != kept.until) {
                    until.remove((old, key.as_slice())).map_err(|e| told(&e))?;
                }
                until.insert((kept.until, key.as_slice()), ()).map_err(|e| told(&e))?;
            }
            if table.len().map_err(|e| told(&e))? > CHAINS_MOST {
                return Err(StoreFault::Full { file: self.file.clone(), most: CHAINS_MOST });
            }
        }
        write.commit().map_err(|e| told(&e))
    }

    fn read(&mut self, name: Name<'_>) -> Result<Option<Kept>, StoreFault> {
        let told = |e: &dyn std::fmt::Display| self.unread(e);
        let read = self.database.begin_read().map_err(|e| told(&e))?;
        let table = read.open_table(CHAINS).map_err(|e| told(&e))?;
        let found = table.get(key(name).as_slice()).map_err(|e| told(&e))?;
        found.map(|bytes| self.decoded(bytes.value())).transpose()
    }

    fn open(&mut self) -> Result<Vec<(String, String)>, StoreFault> {
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

    fn clear(&mut self, now: Micros) -> Result<usize, StoreFault> {
        let told = |e: &dyn std::fmt::Display| self.unwritten(e);
        let write = self.database.begin_write().map_err(|e| told(&e))?;
        let mut cleared = 0;
        {
            let mut table = write.open_table(CHAINS).map_err(|e| told(&e))?;
            let mut until = write.open_table(UNTIL).map_err(|e| told(&e))?;
            while cleared < CLEARED {
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

    fn chains(&mut self) -> Result<u64, StoreFault> {
        let told = |e: &dyn std::fmt::Display| self.unread(e);
        let read = self.database.begin_read().map_err(|e| told(&e))?;
        let table = read.open_table(CHAINS).map_err(|e| told(&e))?;
        table.len().map_err(|e| told(&e))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fails::Fails;
    use crate::{KeptEnd, KeptStep};
    use redb::backends::InMemoryBackend;
    use std::collections::BTreeMap;
    use std::sync::Arc;
    use std::sync::atomic::{AtomicU64, Ordering};

    fn kept(until: Micros, steps: u32) -> Kept {
        let end = KeptEnd { how: 0, fields: BTreeMap::from([("hut".into(), "x".repeat(100))]), answer: None };
        let step = |n| (n, KeptStep { sent: u64::from(n), end: Some(end.clone()) });
        Kept { until, steps: (0..steps).map(step).collect(), ..Kept::default() }
    }

    #[test]
    fn kept_read_and_cleared() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("record");
        let mut disk = Disk::open(&file).expect("a new file");
        disk.keep(&[(("/a", "1"), &kept(100, 1)), (("/a", "2"), &kept(200, 1))]).expect("kept");
        disk.keep(&[(("/a", "1"), &Kept { closed: true, ..kept(300, 2) })]).expect("kept again");
        drop(disk);
        let mut disk = Disk::open(&file).expect("opened again");
        assert_eq!(disk.read(("/a", "1")).expect("read").map(|k| k.steps.len()), Some(2));
        assert_eq!(disk.read(("/a", "3")), Ok(None));
        assert_eq!(disk.open(), Ok(vec![("/a".into(), "2".into())]), "the other one is closed");
        assert_eq!((disk.clear(250), disk.chains()), (Ok(1), Ok(1)), "one is kept for longer than at first");
        assert_eq!((disk.clear(300), disk.chains()), (Ok(1), Ok(0)));
    }

    #[test]
    fn what_is_no_record_is_said_so() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("record");
        std::fs::write(&file, "certainly no record ".repeat(1_000)).expect("written");
        let why = Disk::open(&file).err().expect("an error");
        assert!(why.to_string().contains("record: "), "{why}");
        let nowhere = Disk::open(&folder.path().join("no/such/folder")).err().expect("an error");
        assert!(nowhere.to_string().contains("no/such/folder"), "{nowhere}");
    }

    // Cut anywhere, the file is refused, or all that was kept is there: nothing is lost in silence, or a step
    // that was sent would be sent again.
    #[test]
    fn a_file_that_was_cut_is_refused() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("record");
        let mut disk = Disk::open(&file).expect("a new file");
        for n in 0..40 {
            disk.keep(&[(("/a", n.to_string().as_str()), &kept(100, 8))]).expect("kept");
        }
        drop(disk);
        let whole = std::fs::read(&file).expect("read");
        let (mut refused, cut) = (0, folder.path().join("cut"));
        for at in (1..whole.len()).step_by(4_096) {
            std::fs::write(&cut, &whole[..at]).expect("written");
            let read = Disk::open(&cut).and_then(|mut disk| {
                (0..40).map(|n| disk.read(("/a", &n.to_string()))).collect::<Result<Vec<_>, _>>()
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
                let backend = Fails { inner: inner.clone(), left: left.clone() };
                let database = Database::builder().create_with_backend(backend);
                database
                    .map_err(|e| e.to_string())
                    .and_then(|d| Disk::with(Path::new("memory"), d).map_err(|e| e.to_string()))
            };
            let mut disk = on(&left).expect("a new one");
            disk.keep(&[(("/a", "1"), &kept(100, 4))]).expect("kept");
            left.store(n, Ordering::Relaxed);
            let said: Vec<bool> = (2..6u32)
                .map(|n| disk.keep(&[(("/a", n.to_string().as_str()), &kept(100, 4))]).is_ok())
                .collect();
            // As after a kill: nothing more is written by the old one.
            left.store(0, Ordering::Relaxed);
            drop(disk);
            let mut again = on(&Arc::new(AtomicU64::new(u64::MAX))).expect("opened again");
            assert!(again.read(("/a", "1")).expect("read").is_some());
            for (chain, said) in (2..6).zip(&said) {
                let found = again.read(("/a", &chain.to_string())).expect("read");
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
