//! Data structures whose size does not depend on the number of clients: a decaying count-min sketch with
//! conservative update (Cormode and Muthukrishnan, 2005; Estan and Varghese, 2002), and a Bloom filter in
//! two generations.
use crate::{Micros, mix};

/// Rows of the count-min sketch: with each row, an overestimate becomes less likely.
const ROWS: usize = 4;

/// Counters per row: with 100,000 clients of about one request each, estimates are at most one or two too
/// high.
const COLUMNS: usize = 16 * 1024;

/// Bits per generation of the Bloom filter: 1 % false positives with 200,000 ids.
const FILTER_BITS: usize = 1 << 21;

/// Bits set for each id.
const BITS_PER_ID: u64 = 4;

/// Seed of the first hash function of the Bloom filter; the others use the numbers after it.
const FILTER_SEED: u64 = 11;

/// Halvings after which a count is negligible; limits the exponent.
const MAX_HALVINGS: u64 = 40;

/// Counts by id that decay over time. An estimate is never lower than the decayed count.
pub struct DecayingCounts {
    cells: Vec<f32>,
    half_life: Micros,
    /// When the counts were last halved.
    halved_at: Micros,
}

impl DecayingCounts {
    /// Starts with all counts at zero; they are halved every `half_life` µs.
    pub fn new(now: Micros, half_life: Micros) -> Self {
        DecayingCounts { cells: vec![0.0; ROWS * COLUMNS], half_life, halved_at: now }
    }

    fn cell(row: usize, id: u64) -> usize {
        row * COLUMNS + mix(row as u64 + 1, id) as usize % COLUMNS
    }

    fn decay(&mut self, now: Micros) {
        let halvings = now.saturating_sub(self.halved_at) / self.half_life;
        if halvings > 0 {
            let factor = 0.5f32.powi(halvings.min(MAX_HALVINGS) as i32);
            self.cells.iter_mut().for_each(|cell| *cell *= factor);
            self.halved_at += halvings * self.half_life;
        }
    }

    /// Estimated count of an id.
    pub fn estimate(&mut self, now: Micros, id: u64) -> f32 {
        self.decay(now);
        (0..ROWS).map(|row| self.cells[Self::cell(row, id)]).fold(f32::MAX, f32::min)
    }

    /// Adds one and returns the new estimate. Only cells below the estimate are raised (conservative
    /// update), which reduces overestimates of other ids.
    pub fn add(&mut self, now: Micros, id: u64) -> f32 {
        let count = self.estimate(now, id) + 1.0;
        for row in 0..ROWS {
            let cell = &mut self.cells[Self::cell(row, id)];
            *cell = cell.max(count);
        }
        count
    }
}

/// Bloom filter of the ids seen within the last one to two spans.
pub struct SeenFilter {
    current: Vec<u64>,
    previous: Vec<u64>,
    span: Micros,
    /// Start of the current generation.
    began_at: Micros,
}

impl SeenFilter {
    /// Starts empty; `span` is the duration of a generation in µs.
    pub fn new(now: Micros, span: Micros) -> Self {
        let generation = || vec![0; FILTER_BITS / 64];
        SeenFilter { current: generation(), previous: generation(), span, began_at: now }
    }

    /// Adds an id and returns whether it was seen before.
    pub fn insert(&mut self, now: Micros, id: u64) -> bool {
        self.rotate(now);
        let (mut in_current, mut in_previous) = (true, true);
        for hash in 0..BITS_PER_ID {
            let bit = mix(hash + FILTER_SEED, id) as usize % FILTER_BITS;
            let (word, mask) = (bit / 64, 1u64 << (bit % 64));
            in_current &= self.current[word] & mask != 0;
            in_previous &= self.previous[word] & mask != 0;
            self.current[word] |= mask;
        }
        in_current || in_previous
    }

    /// Starts a new generation when the span of the current one has passed.
    fn rotate(&mut self, now: Micros) {
        let spans = now.saturating_sub(self.began_at) / self.span;
        if spans == 0 {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.fill(0);
        if spans > 1 {
            self.previous.fill(0);
        }
        self.began_at += spans * self.span;
    }
}
