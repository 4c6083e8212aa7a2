//! Prefixes of many keys, up to a bound.
use crate::{Draw, Members, Prefix};
use lru::LruCache;
use std::hash::Hash;
use std::num::NonZeroUsize;

/// Prefixes of many keys. At the bound the least recently walked one is evicted; it is scanned anew when its
/// key comes again, so that nothing but time is lost with it.
pub struct PrefixCache<D: Draw> {
    prefixes: LruCache<D::Key, Prefix<D::Member>>,
}

impl<D: Draw> PrefixCache<D>
where
    D::Key: Hash + Eq,
{
    /// A cache of at most so many prefixes.
    pub fn with_most(capacity: NonZeroUsize) -> Self {
        PrefixCache { prefixes: LruCache::new(capacity) }
    }

    /// Prefixes held at present.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Takes a key's prefix out, refreshed to the members as they are now, for a walk during which the owner
    /// of the cache is borrowed. [`PrefixCache::put`] returns it.
    pub fn take(&mut self, members: &Members<D>, key: D::Key) -> Prefix<D::Member> {
        let mut prefix = self.prefixes.pop(&key).unwrap_or_default();
        prefix.refresh(members, key);
        prefix
    }

    /// Returns a prefix that was taken, as the most recently walked one.
    pub fn put(&mut self, key: D::Key, prefix: Prefix<D::Member>) {
        self.prefixes.put(key, prefix);
    }
}
