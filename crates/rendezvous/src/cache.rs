//! Prefixes of many keys, up to a bound.
use crate::{Draw, Members, Prefix};
use lru::LruCache;
use std::hash::Hash;
use std::num::NonZeroUsize;

/// Prefixes of many keys. At the bound the one that was walked longest ago goes; it is scanned anew when its
/// key comes again, so that nothing but time is lost with it.
pub struct PrefixCache<D: Draw> {
    prefixes: LruCache<D::Key, Prefix<D::Member>>,
}

impl<D: Draw> PrefixCache<D>
where
    D::Key: Hash + Eq,
{
    /// A cache of at most so many prefixes.
    pub fn with_most(most: NonZeroUsize) -> Self {
        PrefixCache { prefixes: LruCache::new(most) }
    }

    /// Prefixes kept at present.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Takes a key's prefix out, brought up to the members as they are now, for a walk whose owner has to
    /// be borrowed meanwhile. [`PrefixCache::put`] brings it back.
    pub fn take(&mut self, members: &Members<D>, key: D::Key) -> Prefix<D::Member> {
        let mut prefix = self.prefixes.pop(&key).unwrap_or_default();
        prefix.refresh(members, key);
        prefix
    }

    /// Brings back what was taken, as the one walked last.
    pub fn put(&mut self, key: D::Key, prefix: Prefix<D::Member>) {
        self.prefixes.put(key, prefix);
    }
}
