//! Panes of time: a router's own uses, what others tell of theirs, and the fleet's uses a second of each
//! opening.
use crate::{FEW, Micros, ONE_PART, OpeningId, PANE, PANES, Sketch, Unfit};
use applepond_membership::RouterId;
use std::collections::BTreeMap;

/// One pane as it is told: its number at its origin, and what was counted in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub pane: u64,
    pub sketch: Sketch,
}

/// Uses a second of one opening over the fleet, by what is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counted {
    pub id: OpeningId,
    /// Certain, each router's part bounded; the true one is higher by `lacks` at most.
    pub per_s: f64,
    pub lacks: f64,
    /// Routers that have told of it.
    pub by: usize,
}

/// A router's own panes, the one under way and those that count.
pub struct Panes {
    begun: Micros,
    number: u64,
    now: Sketch,
}

impl Panes {
    pub fn new(now: Micros) -> Self {
        Panes { begun: now, number: 0, now: Sketch::default() }
    }

    /// A request that uses this opening has come.
    pub fn uses(&mut self, id: OpeningId) {
        self.now.add(id, 1);
    }

    pub fn next(&self) -> Micros {
        self.begun + PANE
    }

    /// The pane that is over, once it is; it is told as it stands and never changed.
    pub fn wake(&mut self, now: Micros) -> Option<Told> {
        if now < self.next() {
            return None;
        }
        // A process that stood still has one long pane, and says nothing of the time in which it saw nothing.
        self.begun = now;
        self.number += 1;
        Some(Told { pane: self.number, sketch: std::mem::take(&mut self.now) })
    }

    /// A pane as bytes, as others are told it.
    pub fn write(told: &Told) -> Vec<u8> {
        // Numbers always can be written.
        postcard::to_stdvec(&told.sketch).unwrap_or_default()
    }

    pub fn read(pane: u64, bytes: &[u8]) -> Result<Told, Unfit> {
        let sketch = match postcard::take_from_bytes::<Sketch>(bytes) {
            Ok((sketch, [])) => sketch,
            _ => return Err(Unfit::Unreadable),
        };
        if !sketch.is_sound() {
            return Err(Unfit::Unsound);
        }
        Ok(Told { pane, sketch })
    }

    /// How long panes count, in µs since they were told.
    pub const LIFE: Micros = PANE * PANES;

    /// The fleet's uses: of each origin each pane once, however often it was told. `panes` are all that still
    /// count; who has told nothing is not in it, and not taken for one that sees nothing.
    pub fn fleet(panes: impl IntoIterator<Item = (RouterId, Told)>) -> Vec<Counted> {
        Self::counted(panes, ONE_PART)
    }

    /// The same with whatever one router says, for drills.
    pub fn unbounded(panes: impl IntoIterator<Item = (RouterId, Told)>) -> Vec<Counted> {
        Self::counted(panes, 1.0)
    }

    fn counted(panes: impl IntoIterator<Item = (RouterId, Told)>, one_part: f64) -> Vec<Counted> {
        let mut each: BTreeMap<(RouterId, u64), Sketch> = BTreeMap::new();
        for (origin, told) in panes {
            each.insert((origin, told.pane), told.sketch);
        }
        let mut of: BTreeMap<RouterId, (Sketch, u64)> = BTreeMap::new();
        for ((origin, _), sketch) in &each {
            let (sum, panes) = of.entry(*origin).or_default();
            sum.merge(sketch);
            *panes += 1;
        }
        let mut uses: BTreeMap<OpeningId, Vec<(f64, u64)>> = BTreeMap::new();
        let mut lacks = 0.0;
        for (sketch, panes) in of.values() {
            let seconds = (*panes).max(1) as f64 * PANE as f64 / 1e6;
            lacks += sketch.error() as f64 / seconds;
            for (id, count) in sketch.counts() {
                uses.entry(id).or_default().push((count as f64 / seconds, count));
            }
        }
        let counted = |(id, mut parts): (OpeningId, Vec<(f64, u64)>)| {
            let by = parts.len();
            // Guards against one voice: nobody speaks for more than a part of all, the others' word for it.
            parts.sort_by(|a, b| b.0.total_cmp(&a.0));
            let others = parts[1..].iter().fold(0u64, |sum, (_, uses)| sum.saturating_add(*uses));
            let rest: f64 = parts[1..].iter().map(|(per_s, _)| per_s).sum();
            let most = if one_part < 1.0 { rest * one_part / (1.0 - one_part) } else { f64::MAX };
            let few = one_part < 1.0 && others < FEW;
            Counted { id, per_s: if few { 0.0 } else { rest + parts[0].0.min(most) }, lacks, by }
        };
        uses.into_iter().map(counted).collect()
    }
}
