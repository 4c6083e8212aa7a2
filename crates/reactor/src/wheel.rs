//! A hierarchical timer wheel (Varghese and Lauck, 1987) for many timers, most of which are cancelled or fire
//! within seconds. Insertion and removal take constant time.
//!
//! A timer never fires early and is at most one tick late. The timers that one call returns are sorted by
//! time, then by order of insertion.

use crate::Micros;

/// Length of a tick in µs: finer than any time limit needs, and coarse enough that only a few ticks of a busy
/// second have timers to fire.
const TICK: Micros = 256;
/// Bits of a slot's number within its level. A level has 64 slots, so that one 64-bit word marks those in
/// use.
const SLOT_BITS: u32 = 6;
/// Slots per level.
const SLOTS: usize = 1 << SLOT_BITS;
/// Levels of the wheel. Together they span 2^48 ticks, about two thousand years.
const LEVELS: usize = 8;
/// Marks the end of a slot's list.
const NONE: u32 = u32::MAX;

/// Identifies a pending timer so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    index: u32,
    sequence: u64,
}

/// A pending timer in the list of its slot, or a free entry.
struct Entry<T> {
    at: Micros,
    /// Number of the insertion. It is unique, so that the key of an earlier timer in this entry does not
    /// match.
    sequence: u64,
    /// `None` in a free entry.
    item: Option<T>,
    /// Index of the slot, counted over all levels.
    slot: u32,
    /// Neighbours in the slot's list.
    previous: u32,
    next: u32,
}

/// A timer that has been removed from the wheel.
struct Expired<T> {
    at: Micros,
    sequence: u64,
    item: T,
}

/// Pending timers, each of which carries an item.
pub struct Wheel<T> {
    entries: Vec<Entry<T>>,
    /// Indices of free entries.
    free: Vec<u32>,
    /// First entry of each slot's list, for the slots of all levels.
    heads: Vec<u32>,
    /// For each level, a bit mask of the slots that are not empty.
    occupied: [u64; LEVELS],
    /// The last tick whose timers have fired.
    current_tick: u64,
    /// Number of the last insertion.
    last_sequence: u64,
    /// Number of timers in the wheel.
    pending: usize,
}

impl<T> Wheel<T> {
    /// Creates an empty wheel that starts at `now`.
    pub fn new(now: Micros) -> Self {
        Wheel {
            entries: Vec::new(),
            free: Vec::new(),
            heads: vec![NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            current_tick: now / TICK,
            last_sequence: 0,
            pending: 0,
        }
    }

    /// Number of pending timers.
    pub fn len(&self) -> usize {
        self.pending
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending == 0
    }

    /// Adds a timer that is due at `at`, or at the next tick if that time has passed.
    pub fn insert(&mut self, at: Micros, item: T) -> Key {
        self.last_sequence += 1;
        let entry =
            Entry { at, sequence: self.last_sequence, item: Some(item), slot: 0, previous: NONE, next: NONE };
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
        self.pending += 1;
        self.link(index);
        Key { index, sequence: self.last_sequence }
    }

    /// Cancels a timer and returns its item, or `None` if it has fired or been cancelled before.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let entry = self.entries.get(key.index as usize).filter(|entry| entry.sequence == key.sequence)?;
        entry.item.as_ref()?;
        self.unlink(key.index);
        self.release(key.index).map(|expired| expired.item)
    }

    /// Frees an entry that has been taken out of its slot's list.
    fn release(&mut self, index: u32) -> Option<Expired<T>> {
        let entry = &mut self.entries[index as usize];
        let item = entry.item.take()?;
        self.free.push(index);
        self.pending -= 1;
        Some(Expired { at: entry.at, sequence: entry.sequence, item })
    }

    /// Adds an entry at the head of the list of the slot that its time belongs to.
    fn link(&mut self, index: u32) {
        let entry = &self.entries[index as usize];
        let last_tick = self.current_tick | ((1 << (SLOT_BITS * LEVELS as u32)) - 1);
        let tick = entry.at.div_ceil(TICK).max(self.current_tick + 1).min(last_tick);
        let differing_bits = (tick ^ self.current_tick) | 1;
        let level = ((63 - differing_bits.leading_zeros()) / SLOT_BITS) as usize;
        let slot = level * SLOTS + (tick >> (level as u32 * SLOT_BITS)) as usize % SLOTS;
        let head = self.heads[slot];
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.previous, entry.next) = (slot as u32, NONE, head);
        if head != NONE {
            self.entries[head as usize].previous = index;
        }
        self.heads[slot] = index;
        self.occupied[level] |= 1 << (slot % SLOTS);
    }

    /// Takes an entry out of its slot's list.
    fn unlink(&mut self, index: u32) {
        let (slot, previous, next) = {
            let entry = &self.entries[index as usize];
            (entry.slot as usize, entry.previous, entry.next)
        };
        if next != NONE {
            self.entries[next as usize].previous = previous;
        }
        if previous != NONE {
            self.entries[previous as usize].next = next;
        } else {
            self.heads[slot] = next;
            if next == NONE {
                self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
            }
        }
    }

    /// The first tick and the index of the next slot that is not empty.
    fn next_slot(&self) -> Option<(u64, usize)> {
        // The slots of a level before its current one are empty, and all timers of a lower level are due
        // before those of a higher one.
        (0..LEVELS).find(|level| self.occupied[*level] != 0).map(|level| {
            let slot = self.occupied[level].trailing_zeros() as usize;
            let shift = level as u32 * SLOT_BITS;
            let level_start = (self.current_tick >> shift) & !(SLOTS as u64 - 1);
            ((level_start | slot as u64) << shift, level * SLOTS + slot)
        })
    }

    /// A lower bound of the time at which the next timer is due.
    pub fn next(&self) -> Option<Micros> {
        self.next_slot().map(|(tick, _)| tick * TICK)
    }

    /// Removes the timers that are due and returns their items, sorted by time, then by order of insertion.
    pub fn due(&mut self, now: Micros) -> Vec<T> {
        let until = now / TICK;
        let mut due = Vec::new();
        while let Some((tick, slot)) = self.next_slot().filter(|(tick, _)| *tick <= until) {
            self.current_tick = self.current_tick.max(tick);
            let mut index = std::mem::replace(&mut self.heads[slot], NONE);
            self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
            while index != NONE {
                let next = self.entries[index as usize].next;
                if self.entries[index as usize].at.div_ceil(TICK) <= self.current_tick {
                    due.extend(self.release(index));
                } else {
                    self.link(index);
                }
                index = next;
            }
        }
        self.current_tick = self.current_tick.max(until);
        due.sort_unstable_by_key(|expired| (expired.at, expired.sequence));
        due.into_iter().map(|expired| expired.item).collect()
    }
}
