//! Who watches whom: each ring is all routers in an order of its own, by a hash of ring and router; the two
//! beside a router in each ring are its neighbours. All who share a view agree on it, and a router's part of
//! the watch does not grow with the fleet.
use crate::{RING_COUNT, RouterId};
use std::collections::BTreeMap;

/// Spreads a ring's number and a router's id over all 64 bits (the finalizer of splitmix64).
fn place(ring: u64, id: RouterId) -> u64 {
    let mut x = id.0 ^ (ring + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[derive(Clone, Default)]
pub struct Rings {
    rings: [BTreeMap<(u64, RouterId), ()>; RING_COUNT],
}

impl Rings {
    pub fn insert(&mut self, id: RouterId) {
        for (n, ring) in self.rings.iter_mut().enumerate() {
            ring.insert((place(n as u64, id), id), ());
        }
    }

    pub fn remove(&mut self, id: RouterId) {
        for (n, ring) in self.rings.iter_mut().enumerate() {
            ring.remove(&(place(n as u64, id), id));
        }
    }

    pub fn len(&self) -> usize {
        self.rings[0].len()
    }

    pub fn is_empty(&self) -> bool {
        self.rings[0].is_empty()
    }

    /// The neighbours of a router, whether it is in the rings or not; in small fleets everybody else.
    pub fn neighbours_of(&self, id: RouterId) -> Vec<RouterId> {
        let mut found: Vec<RouterId> = Vec::with_capacity(2 * RING_COUNT);
        if self.len() <= 2 * RING_COUNT + 1 {
            found.extend(self.rings[0].keys().map(|(_, other)| *other).filter(|other| *other != id));
        } else {
            for (n, ring) in self.rings.iter().enumerate() {
                let at = (place(n as u64, id), id);
                let after = ring.range(at..).map(|(key, ())| key).find(|key| **key != at);
                let before = ring.range(..at).next_back().map(|(key, ())| key);
                let ends = (ring.keys().next(), ring.keys().next_back());
                found.extend(after.or(ends.0).map(|(_, other)| *other));
                found.extend(before.or(ends.1).map(|(_, other)| *other));
            }
        }
        found.sort_unstable();
        found.dedup();
        found
    }
}
