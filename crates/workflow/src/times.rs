//! How long functions take, learned from what ended: a quantile of a histogram of bounded size each, in two
//! generations, for a bounded number of functions.
use applepond::interface::{FunctionId, Micros};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Functions kept at most (2 kB each); the one not used for longest goes first.
const FUNCTIONS_MOST: usize = 4_096;
/// µs of the longest time told apart.
const LONGEST: u64 = 120_000_000;
/// Samples after which the younger generation takes over: an hour of a rare function, a minute of a hot one.
const GENERATION: u64 = 500;
/// Samples from which on they are believed rather than what the plan says.
const BELIEVED: u64 = 8;
/// Part of the steps that are to be done within the time counted on. A median would begin half of what cannot
/// finish; the slowest of a hundred would refuse what usually can.
const QUANTILE: f64 = 0.8;
/// Samples between two looks for the quantile, which walks the histogram.
const LOOK: u64 = 16;
/// Weight of a new load time.
const LOAD_FRESH: f64 = 0.2;
/// Weight of a new answer in the share that met no loaded copy, and the share from which on one is counted
/// on.
const COLD_FRESH: f64 = 0.1;
const COLD: f64 = 0.5;

struct Known {
    young: Histogram<u32>,
    old: Histogram<u32>,
    /// Quantile as of the last look.
    usual: Option<Micros>,
    seen: u64,
    load: Option<f64>,
    cold: f64,
    /// When it last finished anywhere: copies stay loaded for a while.
    last: Micros,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(100, LONGEST, 1).expect("sound bounds")
}

pub struct Times {
    by: BTreeMap<FunctionId, Known>,
    by_age: BTreeMap<(Micros, FunctionId), ()>,
    /// µs for which an idle copy stays loaded.
    keep: Micros,
}

impl Times {
    pub fn new(keep: Micros) -> Self {
        Times { by: BTreeMap::new(), by_age: BTreeMap::new(), keep }
    }

    /// A step of the function finished after `took` µs, on a copy that stood loaded or not.
    pub fn finished(&mut self, now: Micros, function: FunctionId, took: Micros, stood: bool) {
        let known = self.by.entry(function).or_insert_with(|| Known {
            young: histogram(),
            old: histogram(),
            usual: None,
            seen: 0,
            load: None,
            cold: 0.0,
            last: 0,
        });
        self.by_age.remove(&(known.last, function));
        known.last = now;
        self.by_age.insert((now, function), ());
        known.cold += COLD_FRESH * (f64::from(u8::from(!stood)) - known.cold);
        if stood {
            known.young.saturating_record(took);
            known.seen += 1;
            if known.young.len() >= GENERATION {
                known.old = std::mem::replace(&mut known.young, histogram());
            }
            if known.seen <= BELIEVED || known.seen.is_multiple_of(LOOK) {
                let mut both = known.old.clone();
                let added = both.add(&known.young);
                known.usual = added.ok().map(|()| both.value_at_quantile(QUANTILE));
            }
        } else {
            let load = took.saturating_sub(known.usual.unwrap_or(0)) as f64;
            let before = known.load.unwrap_or(load);
            known.load = Some(before + LOAD_FRESH * (load - before));
        }
        while self.by.len() > FUNCTIONS_MOST {
            let Some(((_, oldest), ())) = self.by_age.pop_first() else { return };
            self.by.remove(&oldest);
        }
    }

    /// µs that a step needs, a load aside: learned, else what is told.
    pub fn usual(&self, function: FunctionId, told: Micros) -> Micros {
        let known = self.by.get(&function).filter(|k| k.seen >= BELIEVED);
        known.and_then(|k| k.usual).unwrap_or(told)
    }

    /// µs that a load would add, where the function is likely not to be loaded: learned, else what is told.
    pub fn load(&self, now: Micros, function: FunctionId, told: Option<Micros>) -> Micros {
        let known = self.by.get(&function);
        let loaded = known.is_some_and(|k| now < k.last + self.keep && k.cold < COLD);
        let learned = known.and_then(|k| k.load).map(|l| l as Micros);
        if loaded { 0 } else { learned.or(told).unwrap_or(0) }
    }

    /// Functions known.
    pub fn known(&self) -> usize {
        self.by.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const MS: Micros = 1_000;
    const S: Micros = 1_000_000;

    fn function(n: u64) -> FunctionId {
        FunctionId(n)
    }

    #[test_case(3, 40 * MS; "too few are not believed")]
    #[test_case(100, 85 * MS; "four of five within it")]
    #[test_case(5_000, 85 * MS; "over generations")]
    fn usual(samples: u64, want: Micros) {
        let mut times = Times::new(10 * S);
        (0..samples).for_each(|n| times.finished(n, function(1), (n * 7 % 100 + 1) * MS, true));
        let got = times.usual(function(1), 40 * MS);
        assert!(got.abs_diff(want) <= want / 8, "{got}");
    }

    #[test]
    fn what_became_slow_is_known_after_a_generation_or_two() {
        let mut times = Times::new(10 * S);
        (0..2_000).for_each(|n| times.finished(n, function(1), 10 * MS, true));
        (0..1_100).for_each(|n| times.finished(n, function(1), 200 * MS, true));
        assert!(times.usual(function(1), 0) > 150 * MS);
    }

    #[test_case(0, 0, 2 * S; "never seen: what is told")]
    #[test_case(5, 0, 0; "just served")]
    #[test_case(5, 11 * S, 2 * S; "idle for longer than copies are kept")]
    fn load(served: u64, later: Micros, want: Micros) {
        let mut times = Times::new(10 * S);
        (0..served).for_each(|n| times.finished(S + n, function(1), 10 * MS, true));
        assert_eq!(times.load(S + 5 + later, function(1), Some(2 * S)), want);
    }

    #[test]
    fn a_function_evicted_all_the_time_counts_as_not_loaded_and_its_load_is_learned() {
        let mut times = Times::new(10 * S);
        (0..20).for_each(|n| times.finished(n, function(1), 10 * MS, true));
        (0..20).for_each(|n| times.finished(100 + n, function(1), 910 * MS, false));
        let load = times.load(200, function(1), Some(2 * S));
        assert!(load.abs_diff(900 * MS) < 20 * MS, "{load}");
    }

    #[test]
    fn bounded() {
        let mut times = Times::new(10 * S);
        (0..3 * FUNCTIONS_MOST as u64).for_each(|n| times.finished(n, function(n), MS, true));
        assert_eq!((times.known(), times.by_age.len()), (FUNCTIONS_MOST, FUNCTIONS_MOST));
        (0..100).for_each(|_| times.finished(99 * S, function(9 << 20), MS, true));
        assert_eq!(times.usual(function(9 << 20), 0) / MS, 1, "the latest stays");
    }
}
