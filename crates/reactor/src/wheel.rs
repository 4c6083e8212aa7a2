//! A hierarchical timer wheel (Varghese and Lauck, 1987), made for many timers of which most are cancelled or
//! fire within seconds: insertion and removal cost the same however many wait.
//!
//! Never early, late by at most one tick. What is due in one call comes out by time, then by order of
//! insertion.

use crate::Micros;

/// µs of a tick: finer than any limit here needs, coarse enough that a busy second has few ticks with work.
const TICK: Micros = 256;
/// Bits of a level's slot number: one word of 64 bits marks the occupied slots of a level.
const SLOT_BITS: u32 = 6;
/// Slots of a level.
const SLOTS: usize = 1 << SLOT_BITS;
/// Levels: 2^48 ticks, two thousand years.
const LEVELS: usize = 8;
/// The index that stands for no entry.
const NONE: u32 = u32::MAX;

/// Identifies a waiting timer, for its removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    index: u32,
    order: u64,
}

/// A timer in the list of its slot, or a free entry.
struct Entry<T> {
    at: Micros,
    /// Order of insertion; unique, so that a key of an earlier timer does not match.
    order: u64,
    /// None in a free entry.
    item: Option<T>,
    /// Slot counted over all levels.
    slot: u32,
    /// Neighbours in the slot's list.
    before: u32,
    after: u32,
}

/// A timer that has left the wheel.
struct Expired<T> {
    at: Micros,
    order: u64,
    item: T,
}

/// Timers that each carry an item.
pub struct Wheel<T> {
    entries: Vec<Entry<T>>,
    /// Indices of free entries.
    free: Vec<u32>,
    /// First entry of each slot's list, over all levels.
    heads: Vec<u32>,
    /// Slots of each level that are not empty, one bit each.
    occupied: [u64; LEVELS],
    /// The tick up to which all is done.
    tick: u64,
    /// Order of the timer inserted last.
    order: u64,
    /// Timers in the wheel.
    waiting: usize,
}

impl<T> Wheel<T> {
    /// An empty wheel; nothing before `now` is ever due.
    pub fn new(now: Micros) -> Self {
        Wheel {
            entries: Vec::new(),
            free: Vec::new(),
            heads: vec![NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            tick: now / TICK,
            order: 0,
            waiting: 0,
        }
    }

    /// Timers that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no timer waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Adds a timer that is due at `at`, or at the next tick where that has passed.
    pub fn insert(&mut self, at: Micros, item: T) -> Key {
        self.order += 1;
        let entry = Entry { at, order: self.order, item: Some(item), slot: 0, before: NONE, after: NONE };
        let index = match self.free.pop() {
            Some(index) => {
                self.entries[index as usize] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        self.waiting += 1;
        self.link(index);
        Key { index, order: self.order }
    }

    /// Cancels a timer; none where it has fired or been cancelled.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let entry = self.entries.get(key.index as usize).filter(|entry| entry.order == key.order)?;
        entry.item.as_ref()?;
        self.unlink(key.index);
        self.release(key.index).map(|expired| expired.item)
    }

    /// Frees an entry that is in no list.
    fn release(&mut self, index: u32) -> Option<Expired<T>> {
        let entry = &mut self.entries[index as usize];
        let item = entry.item.take()?;
        self.free.push(index);
        self.waiting -= 1;
        Some(Expired { at: entry.at, order: entry.order, item })
    }

    /// Puts an entry at the head of its slot's list.
    fn link(&mut self, index: u32) {
        let entry = &self.entries[index as usize];
        let last_tick = self.tick | ((1 << (SLOT_BITS * LEVELS as u32)) - 1);
        let tick = entry.at.div_ceil(TICK).max(self.tick + 1).min(last_tick);
        let differs = (tick ^ self.tick) | 1;
        let level = ((63 - differs.leading_zeros()) / SLOT_BITS) as usize;
        let slot = level * SLOTS + (tick >> (level as u32 * SLOT_BITS)) as usize % SLOTS;
        let head = self.heads[slot];
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.before, entry.after) = (slot as u32, NONE, head);
        if head != NONE {
            self.entries[head as usize].before = index;
        }
        self.heads[slot] = index;
        self.occupied[level] |= 1 << (slot % SLOTS);
    }

    /// Takes an entry out of its slot's list.
    fn unlink(&mut self, index: u32) {
        let (slot, before, after) = {
            let entry = &self.entries[index as usize];
            (entry.slot as usize, entry.before, entry.after)
        };
        if after != NONE {
            self.entries[after as usize].before = before;
        }
        if before != NONE {
            self.entries[before as usize].after = after;
        } else {
            self.heads[slot] = after;
            if after == NONE {
                self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
            }
        }
    }

    /// The next slot that holds anything, with the tick at which it begins.
    fn next_slot(&self) -> Option<(u64, usize)> {
        // Within a level nothing lies behind the present slot, and a lower level is always nearer.
        (0..LEVELS).find(|level| self.occupied[*level] != 0).map(|level| {
            let slot = self.occupied[level].trailing_zeros() as usize;
            let shift = level as u32 * SLOT_BITS;
            let above = (self.tick >> shift) & !(SLOTS as u64 - 1);
            ((above | slot as u64) << shift, level * SLOTS + slot)
        })
    }

    /// A time before which nothing is due: that of the next timer, or earlier.
    pub fn next(&self) -> Option<Micros> {
        self.next_slot().map(|(tick, _)| tick * TICK)
    }

    /// All that is due, by time, then by order of insertion.
    pub fn due(&mut self, now: Micros) -> Vec<T> {
        let until = now / TICK;
        let mut due = Vec::new();
        while let Some((tick, slot)) = self.next_slot().filter(|(tick, _)| *tick <= until) {
            self.tick = self.tick.max(tick);
            let mut index = std::mem::replace(&mut self.heads[slot], NONE);
            self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
            while index != NONE {
                let after = self.entries[index as usize].after;
                if self.entries[index as usize].at.div_ceil(TICK) <= self.tick {
                    due.extend(self.release(index));
                } else {
                    self.link(index);
                }
                index = after;
            }
        }
        self.tick = self.tick.max(until);
        due.sort_unstable_by_key(|expired| (expired.at, expired.order));
        due.into_iter().map(|expired| expired.item).collect()
    }
}
