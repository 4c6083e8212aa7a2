//! A keeper's vote on disk, in a `redb` file of its own: there as a whole once it is said to be kept.
use applepond_consensus::{AcceptorError, AcceptorState, AcceptorStorage};
use applepond_membership::InstanceId;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

/// The one vote, under its number of form.
const VOTE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("vote");
/// How the vote is written; another one is not read.
const FORM: u64 = 1;
/// Where the file's own number lies: drawn once, so that a file that was lost is known to be another one.
const DISK: u64 = 0;

pub struct AcceptorFile(Database);

/// The file, its number and the vote that it holds.
pub type OpenedAcceptor<V> = (AcceptorFile, InstanceId, Option<AcceptorState<V>>);

impl AcceptorFile {
    /// Opens the file, or makes it under the number `fresh`, and reads its number and the vote that it holds:
    /// none where it is new. A file that is not one of votes, was cut or written over is torn.
    pub fn open<V: DeserializeOwned>(
        file: &Path,
        fresh: InstanceId,
    ) -> Result<OpenedAcceptor<V>, AcceptorError> {
        Self::with(Database::create(file).map_err(|_| AcceptorError::Corrupt)?, fresh)
    }

    fn with<V: DeserializeOwned>(
        database: Database,
        fresh: InstanceId,
    ) -> Result<OpenedAcceptor<V>, AcceptorError> {
        let torn = |_: redb::Error| AcceptorError::Corrupt;
        let begun = database.begin_write().map_err(|e| torn(e.into()))?;
        let disk = {
            let mut table = begun.open_table(VOTE).map_err(|e| torn(e.into()))?;
            let known = table.get(DISK).map_err(|e| torn(e.into()))?.map(|b| b.value().to_vec());
            match known {
                Some(bytes) => {
                    InstanceId(u64::from_le_bytes(bytes.try_into().map_err(|_| AcceptorError::Corrupt)?))
                }
                None => {
                    table.insert(DISK, &fresh.0.to_le_bytes()[..]).map_err(|e| torn(e.into()))?;
                    fresh
                }
            }
        };
        begun.commit().map_err(|e| torn(e.into()))?;
        let read = database.begin_read().map_err(|e| torn(e.into()))?;
        let table = read.open_table(VOTE).map_err(|e| torn(e.into()))?;
        let bytes = table.get(FORM).map_err(|e| torn(e.into()))?;
        let vote =
            bytes.map(|b| postcard::from_bytes(b.value()).map_err(|_| AcceptorError::Corrupt)).transpose()?;
        Ok((AcceptorFile(database), disk, vote))
    }

    fn put(&self, bytes: &[u8]) -> Result<(), redb::Error> {
        let write = self.0.begin_write()?;
        write.open_table(VOTE)?.insert(FORM, bytes)?;
        // Durable at once is the library's default: it returns after the disk has it.
        write.commit()?;
        Ok(())
    }
}

impl<V: Serialize> AcceptorStorage<V> for AcceptorFile {
    fn persist(&mut self, vote: &AcceptorState<V>) -> Result<(), AcceptorError> {
        let bytes = postcard::to_stdvec(vote).map_err(|_| AcceptorError::WriteFailed)?;
        self.put(&bytes).map_err(|_| AcceptorError::WriteFailed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fails::FailingBackend;
    use applepond_consensus::{Acceptor, Ballot};
    use redb::backends::InMemoryBackend;
    use std::sync::Arc;
    use std::sync::atomic::{AtomicU64, Ordering};

    const FLEET: u64 = 3;

    fn ballot(round: u64) -> Ballot {
        Ballot { round, by: 1 }
    }

    #[test]
    fn kept_over_a_restart() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("votes");
        let (mut disk, number, found) =
            AcceptorFile::open::<String>(&file, InstanceId(5)).expect("a new file");
        assert_eq!(number, InstanceId(5));
        let mut keeper = Acceptor::new(FLEET, Ok(found));
        assert_eq!(keeper.accept(ballot(4), "term".to_owned(), &mut disk), Some(Ok(())));
        drop(disk);
        let (mut disk, number, found) =
            AcceptorFile::open::<String>(&file, InstanceId(9)).expect("opened again");
        assert_eq!(number, InstanceId(5), "the same file");
        let mut keeper = Acceptor::new(FLEET, Ok(found.clone()));
        assert_eq!(keeper.prepare(ballot(3), &mut disk), Some(Err(ballot(4))), "it knows its word");
        assert_eq!(Acceptor::new(FLEET + 1, Ok(found)).error(), Some(AcceptorError::WrongFleet));
    }

    // Cut anywhere, the file is torn, or holds the last vote: an earlier one would be a broken word.
    #[test]
    fn a_file_that_was_cut() {
        let folder = tempfile::tempdir().expect("a folder");
        let (file, cut) = (folder.path().join("votes"), folder.path().join("cut"));
        let (mut disk, _, _) = AcceptorFile::open::<String>(&file, InstanceId(5)).expect("a new file");
        let mut keeper = Acceptor::new(FLEET, Ok(None));
        for round in 1..=40 {
            assert!(keeper.accept(ballot(round), "x".repeat(200), &mut disk).is_some());
        }
        drop(disk);
        let whole = std::fs::read(&file).expect("read");
        let mut torn = 0;
        for at in (1..whole.len()).step_by(4_096) {
            std::fs::write(&cut, &whole[..at]).expect("written");
            match AcceptorFile::open::<String>(&cut, InstanceId(6)) {
                Ok((_, _, found)) => assert_eq!(found.as_ref(), Some(keeper.state()), "cut at {at}"),
                Err(trouble) => torn += usize::from(trouble == AcceptorError::Corrupt),
            }
        }
        assert!(torn > 10, "{torn}");
        std::fs::write(&cut, "certainly no votes ".repeat(1_000)).expect("written");
        assert_eq!(AcceptorFile::open::<String>(&cut, InstanceId(6)).err(), Some(AcceptorError::Corrupt));
    }

    // Whichever write fails: what was told is there afterwards, and the keeper has said why it stopped.
    #[test]
    fn whichever_write_fails() {
        let mut stopped = 0;
        for n in 0.. {
            let inner = Arc::new(InMemoryBackend::new());
            let left = Arc::new(AtomicU64::new(u64::MAX));
            let on = |left: &Arc<AtomicU64>| {
                let backend = FailingBackend { inner: inner.clone(), left: left.clone() };
                let database = Database::builder().create_with_backend(backend).expect("a store");
                AcceptorFile::with::<String>(database, InstanceId(5)).expect("a table")
            };
            let (mut disk, _, _) = on(&left);
            let mut keeper = Acceptor::new(FLEET, Ok(None));
            left.store(n, Ordering::Relaxed);
            let told = (1..=5)
                .take_while(|round| keeper.accept(ballot(*round), round.to_string(), &mut disk).is_some());
            let told = told.count() as u64;
            let trouble = (told < 5).then_some(AcceptorError::WriteFailed);
            assert_eq!(keeper.error(), trouble, "write {n}");
            left.store(0, Ordering::Relaxed);
            drop(disk);
            let (_, _, found) = on(&Arc::new(AtomicU64::new(u64::MAX)));
            let round = found.map_or(0, |vote| vote.promised.round);
            // A vote whose writing failed may be there: nobody was told of it.
            assert!((told..=told + 1).contains(&round), "write {n}: {told} told, {round} found");
            stopped += usize::from(told < 5);
            if told == 5 {
                break;
            }
        }
        assert!(stopped > 5, "{stopped}");
    }
}
