//! Assignment of neighbours, which monitor each other.
//!
//! Each ring orders all routers differently, by a hash of the ring's number and the router's id. The
//! predecessor and the successor of a router on each ring are its neighbours. All routers that share a view
//! agree on them, and the number of neighbours does not grow with the fleet.
use crate::config::RING_COUNT;
use crate::record::RouterId;
use std::collections::BTreeSet;

/// Position of a router on a ring: hashes the ring's number and the router's id with the finalizer of
/// splitmix64.
fn position(ring: u64, id: RouterId) -> u64 {
    let mut hash = id.0 ^ (ring + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// One ring: routers ordered by their position.
type Ring = BTreeSet<(u64, RouterId)>;

/// The rings of all active routers.
#[derive(Clone, Default)]
pub struct Rings {
    rings: [Ring; RING_COUNT],
}

impl Rings {
    /// Adds a router to each ring.
    pub fn insert(&mut self, id: RouterId) {
        for (index, ring) in self.rings.iter_mut().enumerate() {
            ring.insert((position(index as u64, id), id));
        }
    }

    /// Removes a router from each ring.
    pub fn remove(&mut self, id: RouterId) {
        for (index, ring) in self.rings.iter_mut().enumerate() {
            ring.remove(&(position(index as u64, id), id));
        }
    }

    /// Number of routers on the rings.
    pub fn len(&self) -> usize {
        self.rings[0].len()
    }

    /// Whether there are no routers on the rings.
    pub fn is_empty(&self) -> bool {
        self.rings[0].is_empty()
    }

    /// The neighbours of a router, in ascending order of ids. The router itself need not be on the rings.
    ///
    /// In a fleet of at most `2 * RING_COUNT + 1` routers, these are all other routers.
    pub fn neighbours_of(&self, id: RouterId) -> Vec<RouterId> {
        let mut found: Vec<RouterId> = Vec::with_capacity(2 * RING_COUNT);
        if self.len() <= 2 * RING_COUNT + 1 {
            found.extend(self.rings[0].iter().map(|(_, other)| *other).filter(|other| *other != id));
        } else {
            for (index, ring) in self.rings.iter().enumerate() {
                found.extend(adjacent(ring, (position(index as u64, id), id)));
            }
        }
        found.sort_unstable();
        found.dedup();
        found
    }
}

/// The successor and the predecessor of a position on a ring; the first router succeeds the last one.
fn adjacent(ring: &Ring, place: (u64, RouterId)) -> impl Iterator<Item = RouterId> {
    let successor = ring.range(place..).find(|entry| **entry != place).or(ring.first());
    let predecessor = ring.range(..place).next_back().or(ring.last());
    successor.into_iter().chain(predecessor).map(|(_, id)| *id)
}
