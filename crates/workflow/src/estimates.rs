//! How long functions take, learned from steps that finished: a quantile of a histogram of bounded size for
//! each function, in two generations, for a bounded number of functions.
use applepond::interface::{FunctionId, Micros};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};

/// Limit of functions (2 kB each); the one not used for longest is evicted first.
const MAX_FUNCTIONS: usize = 4_096;
/// µs of the longest time told apart.
const LONGEST_TIME: u64 = 120_000_000;
/// Samples after which the younger generation takes over: an hour of a rare function, a minute of a hot one.
const SAMPLES_PER_GENERATION: u64 = 500;
/// Samples from which on they are believed rather than what the plan says.
const MIN_SAMPLES: u64 = 8;
/// Part of the steps that are to finish within the estimate. A median would begin half of what cannot
/// finish; the slowest of a hundred would reject what usually can.
const QUANTILE: f64 = 0.8;
/// Samples between two computations of the quantile, which walks the histogram.
const SAMPLES_PER_QUANTILE: u64 = 16;
/// Weight of a new sample in the average load time.
const LOAD_TIME_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the average share of cold starts.
const COLD_SHARE_WEIGHT: f64 = 0.1;
/// Share of cold starts from which on one is expected.
const COLD_SHARE_LIMIT: f64 = 0.5;

/// What is known of one function.
struct Known {
    /// Times of the last samples.
    young: Histogram<u32>,
    /// Times of the generation before.
    old: Histogram<u32>,
    /// Quantile as of its last computation.
    usual: Option<Micros>,
    /// Samples on a loaded copy.
    samples: u64,
    /// Average µs of a load.
    load_time: Option<f64>,
    /// Average share of samples that met no loaded copy.
    cold_share: f64,
    /// When it last finished anywhere: copies stay loaded for a while.
    last_finished: Micros,
}

impl Known {
    fn new() -> Self {
        Known {
            young: histogram(),
            old: histogram(),
            usual: None,
            samples: 0,
            load_time: None,
            cold_share: 0.0,
            last_finished: 0,
        }
    }

    /// Takes in the time of a step on a loaded copy.
    fn add_warm(&mut self, took: Micros) {
        self.young.saturating_record(took);
        self.samples += 1;
        if self.young.len() >= SAMPLES_PER_GENERATION {
            self.old = std::mem::replace(&mut self.young, histogram());
        }
        if self.samples <= MIN_SAMPLES || self.samples.is_multiple_of(SAMPLES_PER_QUANTILE) {
            let mut both = self.old.clone();
            let added = both.add(&self.young);
            self.usual = added.ok().map(|()| both.value_at_quantile(QUANTILE));
        }
    }

    /// Takes in the time of a step that had to wait for a load.
    fn add_cold(&mut self, took: Micros) {
        let load_time = took.saturating_sub(self.usual.unwrap_or(0)) as f64;
        let before = self.load_time.unwrap_or(load_time);
        self.load_time = Some(before + LOAD_TIME_WEIGHT * (load_time - before));
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(100, LONGEST_TIME, 1).expect("constant bounds are valid")
}

/// Estimates of how long functions take.
pub struct TimeEstimates {
    functions: BTreeMap<FunctionId, Known>,
    /// Functions by when they last finished.
    by_age: BTreeSet<(Micros, FunctionId)>,
    /// µs for which an idle copy stays loaded.
    cache_lifetime: Micros,
}

impl TimeEstimates {
    /// Nothing known yet; an idle copy stays loaded for `cache_lifetime` µs.
    pub fn new(cache_lifetime: Micros) -> Self {
        TimeEstimates { functions: BTreeMap::new(), by_age: BTreeSet::new(), cache_lifetime }
    }

    /// A step of the function finished after `took` µs, on a copy that was loaded or not.
    pub fn record(&mut self, now: Micros, function: FunctionId, took: Micros, was_loaded: bool) {
        let known = self.functions.entry(function).or_insert_with(Known::new);
        self.by_age.remove(&(known.last_finished, function));
        known.last_finished = now;
        self.by_age.insert((now, function));
        known.cold_share += COLD_SHARE_WEIGHT * (f64::from(u8::from(!was_loaded)) - known.cold_share);
        if was_loaded {
            known.add_warm(took);
        } else {
            known.add_cold(took);
        }
        while self.functions.len() > MAX_FUNCTIONS {
            let Some((_, oldest)) = self.by_age.pop_first() else { return };
            self.functions.remove(&oldest);
        }
    }

    /// µs that a step needs without a load: learned, otherwise what the plan says.
    pub fn execution_time(&self, function: FunctionId, planned: Micros) -> Micros {
        let known = self.functions.get(&function).filter(|known| known.samples >= MIN_SAMPLES);
        known.and_then(|known| known.usual).unwrap_or(planned)
    }

    /// µs that a load would add, where the function is likely not to be loaded: learned, otherwise what was
    /// declared.
    pub fn load_time(&self, now: Micros, function: FunctionId, declared: Option<Micros>) -> Micros {
        let known = self.functions.get(&function);
        let is_loaded = known.is_some_and(|known| {
            now < known.last_finished + self.cache_lifetime && known.cold_share < COLD_SHARE_LIMIT
        });
        let learned = known.and_then(|known| known.load_time).map(|time| time as Micros);
        if is_loaded { 0 } else { learned.or(declared).unwrap_or(0) }
    }

    /// Functions of which something is known.
    pub fn function_count(&self) -> usize {
        self.functions.len()
    }
}

#[cfg(test)]
mod tests;
