//! Estimates of the execution and load times of functions, learned from steps that finished. For each of a
//! bounded number of functions, a quantile is taken from a histogram in two generations.
use applepond::interface::{FunctionId, Micros};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of functions, at 2 kB each; the least recently used is evicted first.
const MAX_FUNCTIONS: usize = 4_096;
/// Longest execution time that is distinguished, in µs.
const MAX_TIME_US: u64 = 120_000_000;
/// Samples after which a new generation is started: about an hour for a rare function, a minute for a
/// frequent one.
const SAMPLES_PER_GENERATION: u64 = 500;
/// Number of samples from which the learned time is used instead of the plan's estimate.
const MIN_SAMPLES: u64 = 8;
/// Fraction of steps that finish within the estimate. With the median, half of the steps that cannot finish
/// in time would be started; with the 99th percentile, steps that usually finish in time would be rejected.
const QUANTILE: f64 = 0.8;
/// Samples between two computations of the quantile, which iterates over the histogram.
const SAMPLES_PER_QUANTILE: u64 = 16;
/// Weight of a new sample in the moving average of the load time.
const LOAD_TIME_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the moving average of the fraction of cold starts.
const COLD_FRACTION_WEIGHT: f64 = 0.1;
/// Fraction of cold starts from which a cold start is expected.
const COLD_FRACTION_LIMIT: f64 = 0.5;

/// Statistics of one function.
struct FunctionStats {
    /// Execution times of the current generation.
    current: Histogram<u32>,
    /// Execution times of the previous generation.
    previous: Histogram<u32>,
    /// The quantile of execution times, as of its last computation, in µs.
    execution_time: Option<Micros>,
    /// Number of samples of steps that found a loaded copy.
    samples: u64,
    /// Moving average of the load time, in µs.
    load_time: Option<f64>,
    /// Moving average of the fraction of steps that found no loaded copy.
    cold_fraction: f64,
    /// Time at which a step of the function last finished; a copy stays loaded for some time after that.
    last_finished_at: Micros,
}

impl FunctionStats {
    fn new() -> Self {
        FunctionStats {
            current: histogram(),
            previous: histogram(),
            execution_time: None,
            samples: 0,
            load_time: None,
            cold_fraction: 0.0,
            last_finished_at: 0,
        }
    }

    /// Records the time of a step that found a loaded copy.
    fn add_warm(&mut self, duration: Micros) {
        self.current.saturating_record(duration);
        self.samples += 1;
        if self.current.len() >= SAMPLES_PER_GENERATION {
            self.previous = std::mem::replace(&mut self.current, histogram());
        }
        if self.samples <= MIN_SAMPLES || self.samples.is_multiple_of(SAMPLES_PER_QUANTILE) {
            let mut both = self.previous.clone();
            let added = both.add(&self.current);
            self.execution_time = added.ok().map(|()| both.value_at_quantile(QUANTILE));
        }
    }

    /// Records the time of a step that had to wait for a load.
    fn add_cold(&mut self, duration: Micros) {
        let load_time = duration.saturating_sub(self.execution_time.unwrap_or(0)) as f64;
        let before = self.load_time.unwrap_or(load_time);
        self.load_time = Some(before + LOAD_TIME_WEIGHT * (load_time - before));
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(100, MAX_TIME_US, 1).expect("constant bounds are valid")
}

/// Estimates of the execution and load times of functions.
pub struct TimeEstimates {
    functions: BTreeMap<FunctionId, FunctionStats>,
    /// Functions, least recently finished first.
    by_age: BTreeSet<(Micros, FunctionId)>,
    /// Time in µs for which an idle copy stays loaded.
    cache_lifetime: Micros,
}

impl TimeEstimates {
    /// Starts without any samples. `cache_lifetime` is the time in µs for which an idle copy stays loaded.
    pub fn new(cache_lifetime: Micros) -> Self {
        TimeEstimates { functions: BTreeMap::new(), by_age: BTreeSet::new(), cache_lifetime }
    }

    /// Records that a step of the function finished after `duration` µs, and whether it found a loaded
    /// copy.
    pub fn record(&mut self, now: Micros, function: FunctionId, duration: Micros, was_loaded: bool) {
        let stats = self.functions.entry(function).or_insert_with(FunctionStats::new);
        self.by_age.remove(&(stats.last_finished_at, function));
        stats.last_finished_at = now;
        self.by_age.insert((now, function));
        stats.cold_fraction +=
            COLD_FRACTION_WEIGHT * (f64::from(u8::from(!was_loaded)) - stats.cold_fraction);
        if was_loaded {
            stats.add_warm(duration);
        } else {
            stats.add_cold(duration);
        }
        while self.functions.len() > MAX_FUNCTIONS {
            let Some((_, oldest)) = self.by_age.pop_first() else { return };
            self.functions.remove(&oldest);
        }
    }

    /// Execution time in µs without a load: as learned, otherwise as planned.
    pub fn execution_time(&self, function: FunctionId, planned: Micros) -> Micros {
        let stats = self.functions.get(&function).filter(|stats| stats.samples >= MIN_SAMPLES);
        stats.and_then(|stats| stats.execution_time).unwrap_or(planned)
    }

    /// Time in µs that a load is expected to add: zero if the function is probably loaded, otherwise the
    /// load time as learned or declared.
    pub fn load_time(&self, now: Micros, function: FunctionId, declared: Option<Micros>) -> Micros {
        let stats = self.functions.get(&function);
        let is_loaded = stats.is_some_and(|stats| {
            now < stats.last_finished_at + self.cache_lifetime && stats.cold_fraction < COLD_FRACTION_LIMIT
        });
        let learned = stats.and_then(|stats| stats.load_time).map(|time| time as Micros);
        if is_loaded { 0 } else { learned.or(declared).unwrap_or(0) }
    }

    /// Number of functions with statistics.
    pub fn function_count(&self) -> usize {
        self.functions.len()
    }
}

#[cfg(test)]
mod tests;
