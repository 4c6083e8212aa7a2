//! A database backend for tests that runs out of space.
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Fails every write after the first `writes_left`, and keeps the data written before.
#[derive(Debug)]
pub(crate) struct FailingBackend {
    pub(crate) inner: Arc<InMemoryBackend>,
    pub(crate) writes_left: Arc<AtomicU64>,
}

impl StorageBackend for FailingBackend {
    fn len(&self) -> Result<u64, io::Error> {
        self.inner.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        self.inner.read(offset, out)
    }
    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.inner.set_len(len)
    }
    fn sync_data(&self) -> Result<(), io::Error> {
        self.inner.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let taken =
            self.writes_left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        taken.map_err(|_| io::Error::other("no space left"))?;
        self.inner.write(offset, data)
    }
    fn close(&self) -> Result<(), io::Error> {
        Ok(())
    }
}
