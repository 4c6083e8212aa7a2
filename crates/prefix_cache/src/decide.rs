//! Which openings are pinned: worth by uses, with a line to come in and a lower one to go, least times,
//! bounds on memory and on changes. The list is what the routers agree on; here is only what the next one
//! would be.
use crate::*;
use std::collections::BTreeMap;

/// What an opening costs and saves, by its size.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// µs that a worker takes to prepare one unit of an opening's size, and bytes that it keeps of it.
    pub prepare: f64,
    pub bytes: f64,
    /// Workers that would keep it.
    pub workers: f64,
    /// µs of preparing a second that a byte kept at all workers has to save.
    pub price: f64,
    /// Bytes that pins may take at a worker at most.
    pub memory: f64,
    /// How long a worker keeps an opening by itself after its last use, µs: what it would keep anyway saves
    /// nothing.
    pub keeps: f64,
}

/// One opening of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pin {
    pub id: OpeningId,
    pub size: u32,
}

/// What is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    pub pins: Vec<Pin>,
}

impl List {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.pins).unwrap_or_default()
    }

    /// As it was agreed on; nothing agreed yet is an empty list.
    pub fn read(bytes: &[u8]) -> Result<List, Unfit> {
        if bytes.is_empty() {
            return Ok(List::default());
        }
        match postcard::take_from_bytes::<Vec<Pin>>(bytes) {
            Ok((pins, [])) if pins.len() <= PINS_MOST => Ok(List { pins }),
            _ => Err(Unfit::NoList),
        }
    }

    /// The lease that rides on a request with this opening: how long its worker may keep it for pinned.
    /// `end`: until when the list counts here, looked at as the request is written.
    pub fn rides(&self, now: Micros, end: Micros, id: OpeningId) -> Option<Micros> {
        // Guards against a list that is over: what it said may not be agreed on any more.
        (now < end && self.pins.iter().any(|p| p.id == id)).then_some(RIDES)
    }
}

/// Proposes the next list. It remembers since when each is in or out, by its own clock: a proposer that
/// is new takes all for just changed, which costs time and never a list.
pub struct Pins {
    terms: Terms,
    changed: Micros,
    since: BTreeMap<OpeningId, (bool, Micros)>,
    /// What was pinned, its size, and since when it is not: leases on it may still run.
    gone: BTreeMap<OpeningId, (u32, Micros)>,
    /// As last seen agreed on.
    seen: BTreeMap<OpeningId, u32>,
}

impl Pins {
    pub fn new(now: Micros, terms: Terms) -> Self {
        Pins { terms, changed: now, since: BTreeMap::new(), gone: BTreeMap::new(), seen: BTreeMap::new() }
    }

    /// What it costs now: workers come and go.
    pub fn terms(&mut self) -> &mut Terms {
        &mut self.terms
    }

    /// µs of preparing saved a second, over all workers, less what its memory is worth: what a worker
    /// keeps by itself from one use to the next is no saving.
    pub fn worth(&self, per_s: f64, size: u32) -> f64 {
        let t = &self.terms;
        let size = f64::from(size);
        // A worker sees its part of the uses; without a pin it prepares anew where none came while it
        // kept it.
        let at_one = per_s / t.workers.max(1.0);
        let misses = per_s * (-at_one * t.keeps / 1e6).exp();
        misses * size * t.prepare - size * t.bytes * t.workers * t.price
    }

    /// The next list in place of the one agreed on; none where nothing is to change now. `sizes` of those
    /// that have been seen; one of unknown size is never pinned.
    pub fn next(
        &mut self,
        now: Micros,
        agreed: &List,
        counted: &[Counted],
        size: impl Fn(OpeningId) -> Option<u32>,
    ) -> Option<List> {
        let known: BTreeMap<OpeningId, f64> = counted.iter().map(|c| (c.id, c.per_s)).collect();
        let pinned: BTreeMap<OpeningId, u32> = agreed.pins.iter().map(|p| (p.id, p.size)).collect();
        // What the agreed list says holds; when that changed is by this one's own clock.
        self.since.retain(|id, _| pinned.contains_key(id) || known.contains_key(id));
        for id in pinned.keys() {
            let row = self.since.entry(*id).or_insert((true, now));
            if !row.0 {
                *row = (true, now);
            }
        }
        for (id, row) in &mut self.since {
            if row.0 && !pinned.contains_key(id) {
                *row = (false, now);
            }
        }
        for (id, size) in std::mem::take(&mut self.seen) {
            if !pinned.contains_key(&id) {
                self.gone.insert(id, (size, now));
            }
        }
        self.seen = pinned.clone();
        self.gone.retain(|id, (_, at)| !pinned.contains_key(id) && now < *at + SHRUNK);
        if now < self.changed + CHANGE {
            return None;
        }
        let long =
            |id: &OpeningId, least: Micros| self.since.get(id).is_none_or(|(_, since)| now >= since + least);
        let worth = |id: &OpeningId, size: u32| self.worth(known.get(id).copied().unwrap_or(0.0), size);
        // The line to stay is lower: with uses as many times as it takes to come in.
        let stays = |id: &OpeningId, size: u32| {
            let per_s = known.get(id).copied().unwrap_or(0.0);
            self.worth(per_s, size).max(self.worth(per_s / STAYS, size)) > 0.0
        };
        let mut goes: Vec<(f64, OpeningId)> = pinned
            .iter()
            .filter(|(id, size)| !stays(id, **size) && long(id, LEAST_IN))
            .map(|(id, size)| (worth(id, *size), *id))
            .collect();
        let mut comes: Vec<(f64, OpeningId, u32)> = known
            .keys()
            .filter(|id| !pinned.contains_key(id) && long(id, LEAST_OUT))
            .filter_map(|id| size(*id).map(|size| (worth(id, size), *id, size)))
            .filter(|(worth, ..)| *worth > 0.0)
            .collect();
        // The best first, ties by id, so that any two who decide by the same counts decide alike.
        comes.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        goes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        goes.truncate(CHANGES_MOST);
        let mut left: BTreeMap<OpeningId, u32> = pinned
            .iter()
            .filter(|(id, _)| goes.iter().all(|(_, g)| g != *id))
            .map(|(i, s)| (*i, *s))
            .collect();
        let mut changes = goes.len();
        // Guards against a list that grows before it has shrunk: what goes and what comes are two lists,
        // and the memory of the second counts from the first on.
        if changes == 0 {
            let bytes = |all: &BTreeMap<OpeningId, u32>| {
                let gone =
                    self.gone.iter().filter(|(id, _)| !all.contains_key(id)).map(|(_, (size, _))| size);
                all.values().chain(gone).map(|s| f64::from(*s) * self.terms.bytes).sum::<f64>()
            };
            for (_, id, size) in comes {
                let fits = bytes(&left) + f64::from(size) * self.terms.bytes <= self.terms.memory;
                if changes >= CHANGES_MOST || left.len() >= PINS_MOST {
                    break;
                }
                if fits {
                    left.insert(id, size);
                    changes += 1;
                }
            }
        }
        if changes == 0 {
            return None;
        }
        self.changed = now;
        Some(List { pins: left.into_iter().map(|(id, size)| Pin { id, size }).collect() })
    }
}
