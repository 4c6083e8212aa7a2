//! What chains came to, step by step, kept on disk over the end of the process; and the votes of a keeper
//! (`votes`).
//!
//! A step with an effect is written down before it is sent, in the same transaction as what is known of the
//! steps before it; ends are written with the next such step, or a moment later. So a step on record
//! without an end may have run, and one that is not on record has not. `docs/workflow.md` weighs the ways.
pub mod disk;
#[cfg(test)]
mod fails;
mod fault;
pub mod kept;
mod snapshot;
pub mod votes;

pub use disk::Disk;
pub use fault::StoreFault;
pub use snapshot::SnapshotFile;
pub use votes::VoteFile;

pub use kept::{Kept, KeptAnswer, KeptEnd, KeptStep, resumed};

/// Chains on record at most: beyond it no chain with an effect is begun. At 2 kB each it is 400 MB.
pub const CHAINS_MOST: u64 = 200_000;

/// Whole microseconds.
pub type Micros = u64;

/// A chain's name: `source` and `id` of its event.
pub type Name<'a> = (&'a str, &'a str);

/// Where records lie. An error names the file; nothing that it was asked to keep is kept
/// then, and nothing that stood there before is lost.
pub trait Record {
    /// Keeps these chains as they stand now, durably, all or none of them.
    fn keep(&mut self, chains: &[(Name<'_>, &Kept)]) -> Result<(), StoreFault>;
    /// What is on record of a chain.
    fn read(&mut self, name: Name<'_>) -> Result<Option<Kept>, StoreFault>;
    /// Names of the chains that had not come to their end when they were last kept.
    fn open(&mut self) -> Result<Vec<(String, String)>, StoreFault>;
    /// Drops what need not be known any more; how many chains.
    fn clear(&mut self, now: Micros) -> Result<usize, StoreFault>;
    /// Chains on record.
    fn chains(&mut self) -> Result<u64, StoreFault>;
}

/// Records of an instance that was told no file: kept as long as it lives.
#[derive(Default)]
pub struct Memory(std::collections::BTreeMap<(String, String), Kept>);

impl Record for Memory {
    fn keep(&mut self, chains: &[(Name<'_>, &Kept)]) -> Result<(), StoreFault> {
        for ((source, id), kept) in chains {
            let name = ((*source).to_owned(), (*id).to_owned());
            if self.0.len() as u64 >= CHAINS_MOST && !self.0.contains_key(&name) {
                let file = std::path::PathBuf::from("(memory)");
                return Err(StoreFault::Full { file, most: CHAINS_MOST });
            }
            self.0.insert(name, (*kept).clone());
        }
        Ok(())
    }
    fn read(&mut self, (source, id): Name<'_>) -> Result<Option<Kept>, StoreFault> {
        Ok(self.0.get(&(source.to_owned(), id.to_owned())).cloned())
    }
    fn open(&mut self) -> Result<Vec<(String, String)>, StoreFault> {
        Ok(self.0.iter().filter(|(_, kept)| !kept.closed).map(|(name, _)| name.clone()).collect())
    }
    fn clear(&mut self, now: Micros) -> Result<usize, StoreFault> {
        let before = self.0.len();
        self.0.retain(|_, kept| kept.until > now);
        Ok(before - self.0.len())
    }
    fn chains(&mut self) -> Result<u64, StoreFault> {
        Ok(self.0.len() as u64)
    }
}
