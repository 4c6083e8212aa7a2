//! A bounded cache of prefixes by key.
use crate::{HashScheme, Members, Prefix};
use lru::LruCache;
use std::hash::Hash;
use std::num::NonZeroUsize;

/// A bounded LRU cache of prefixes by key. An evicted prefix is rebuilt by a scan when its key is next
/// used, so eviction costs only time.
pub struct PrefixCache<D: HashScheme> {
    prefixes: LruCache<D::Key, Prefix<D::Member>>,
}

impl<D: HashScheme> PrefixCache<D>
where
    D::Key: Hash + Eq,
{
    /// Creates a cache of at most `capacity` prefixes.
    pub fn with_capacity(capacity: NonZeroUsize) -> Self {
        PrefixCache { prefixes: LruCache::new(capacity) }
    }

    /// Number of cached prefixes.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Removes a key's prefix, or creates it, and refreshes it to the current members. Ownership lets the
    /// caller walk it while the owner of the cache is borrowed; [`PrefixCache::put`] returns it.
    pub fn take(&mut self, members: &Members<D>, key: D::Key) -> Prefix<D::Member> {
        let mut prefix = self.prefixes.pop(&key).unwrap_or_default();
        prefix.refresh(members, key);
        prefix
    }

    /// Returns a prefix to the cache as the most recently used one.
    pub fn put(&mut self, key: D::Key, prefix: Prefix<D::Member>) {
        self.prefixes.put(key, prefix);
    }
}
