//! Simulated savings of pinned prefixes.
//!
//! Requests whose prefixes follow a Zipf distribution arrive at routers. Each goes to one of the model's
//! workers, and a worker prepares a prefix that is not in its cache. One run compares four policies: the
//! workers' LRU caches alone, pins by each router's own counts, pins by the merged counts, and pins by the
//! true rates. Prints a table; given a file name, it also draws a chart there.
use applepond_membership::RouterId;
use applepond_prefix_cache::{
    CostModel, LEASE_DURATION, PANE_DURATION, PaneCounter, PaneCounts, PinList, PinPlanner, PrefixId,
    PrefixUsage, Sketch,
};
use oorandom::Rand64;
use plotters::prelude::*;
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;
const ROUTERS: usize = 20;
const WORKERS: usize = 12;
const PREFIXES: u64 = 2_000;
/// Requests per second over the fleet, simulated seconds, and how many of these are an unmeasured warm-up.
const REQUESTS_PER_SECOND: u64 = 300;
const DURATION_SECONDS: u64 = 180;
const WARM_UP_SECONDS: u64 = 60;
/// Number of prefixes, all of size 1, that fit into a worker's cache, and how many of them may be pinned.
const CACHE_CAPACITY: usize = 60;
const PINNED_CAPACITY: f64 = 40.0;
/// Time in µs to prepare a prefix, and to process the rest of a request.
const PREPARE_TIME: u64 = 400_000;
const BASE_TIME: u64 = 60_000;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Lru,
    OwnCounts,
    MergedCounts,
    TrueRates,
}

struct Worker {
    /// Time of the last use of each cached prefix, and until when it is pinned.
    cache: BTreeMap<u64, (u64, u64)>,
}

impl Worker {
    /// Handles a request and returns whether its prefix was cached; afterwards it is.
    fn request(&mut self, now: u64, id: u64, pin: Option<u64>) -> bool {
        let is_hit = self.cache.contains_key(&id);
        if !is_hit && self.cache.len() >= CACHE_CAPACITY {
            // Evicts the least recently used prefix, pinned ones last.
            let oldest =
                self.cache.iter().min_by_key(|(_, (used, until))| (*until > now, *used)).map(|(id, _)| *id);
            oldest.map(|id| self.cache.remove(&id));
        }
        let state = self.cache.entry(id).or_default();
        state.0 = now;
        state.1 = state.1.max(pin.map_or(0, |lease| now + lease));
        is_hit
    }
}

/// Simulates one policy and returns the preparation time in seconds and the mean response time in µs.
fn simulate(policy: Policy, exponent: f64, seed: u64) -> (f64, f64) {
    let mut rng = Rand64::new(u128::from(seed));
    let cumulative_weights: Vec<f64> = (1..=PREFIXES)
        .scan(0.0, |sum, r| {
            *sum += (r as f64).powf(-exponent);
            Some(*sum)
        })
        .collect();
    let total_weight = cumulative_weights[PREFIXES as usize - 1];
    let mut workers: Vec<Worker> = (0..WORKERS).map(|_| Worker { cache: BTreeMap::new() }).collect();
    let cost_model = CostModel {
        prepare_time: PREPARE_TIME as f64,
        bytes_per_unit: 1.0,
        workers: WORKERS as f64,
        price_per_byte: 1.0,
        memory_limit: PINNED_CAPACITY,
        // An unpinned prefix stays cached until the worker has received as many requests as its cache has
        // room for.
        retention: CACHE_CAPACITY as f64 * WORKERS as f64 / REQUESTS_PER_SECOND as f64 * 1e6,
    };
    let mut panes: Vec<PaneCounter> = (0..ROUTERS).map(|_| PaneCounter::new(0)).collect();
    let mut published: Vec<(u64, RouterId, PaneCounts)> = Vec::new();
    let list_count = if policy == Policy::OwnCounts { ROUTERS } else { 1 };
    let mut pins: Vec<PinPlanner> = (0..list_count).map(|_| PinPlanner::new(0, cost_model)).collect();
    let mut lists = vec![PinList::default(); list_count];
    let (mut misses, mut requests, mut response_time) = (0u64, 0u64, 0u64);
    for n in 0..REQUESTS_PER_SECOND * DURATION_SECONDS {
        let now = n * SECOND / REQUESTS_PER_SECOND;
        if n % REQUESTS_PER_SECOND == 0 {
            for (r, pane) in panes.iter_mut().enumerate() {
                published.extend(pane.take_finished(now).map(|t| (now, RouterId(r as u64), t)));
            }
            published.retain(|(at, ..)| now < at + PaneCounter::LIFETIME);
            for (k, list) in lists.iter_mut().enumerate() {
                let is_used = |r: &RouterId| policy != Policy::OwnCounts || r.0 == k as u64;
                let counted = match policy {
                    Policy::Lru => Vec::new(),
                    Policy::TrueRates => (0..PREFIXES)
                        .map(|id| {
                            let per_s =
                                (id as f64 + 1.0).powf(-exponent) / total_weight * REQUESTS_PER_SECOND as f64;
                            PrefixUsage { id: PrefixId(id), per_s, max_error: 0.0, routers: ROUTERS }
                        })
                        .collect(),
                    // Without other routers' counts, its own are extrapolated to the fleet.
                    Policy::OwnCounts => usage_of_one_router(
                        published.iter().filter(|(_, r, _)| is_used(r)).map(|(_, _, t)| t),
                    ),
                    Policy::MergedCounts => {
                        PaneCounter::fleet_usage(published.iter().map(|(_, r, t)| (*r, t.clone())))
                    }
                };
                if let Some(next) = pins[k].next_list(now, list, &counted, |_| Some(1)) {
                    *list = next;
                }
            }
        }
        let weight = rng.rand_float() * total_weight;
        let id = cumulative_weights.partition_point(|sum| *sum < weight) as u64;
        let router = rng.rand_range(0..ROUTERS as u64) as usize;
        panes[router].record_use(PrefixId(id));
        let worker = &mut workers[rng.rand_range(0..WORKERS as u64) as usize];
        let list = &lists[if policy == Policy::OwnCounts { router } else { 0 }];
        let is_hit = worker.request(now, id, list.lease_duration(now, now + LEASE_DURATION, PrefixId(id)));
        if n >= WARM_UP_SECONDS * REQUESTS_PER_SECOND {
            requests += 1;
            misses += u64::from(!is_hit);
            response_time += BASE_TIME + if is_hit { 0 } else { PREPARE_TIME };
        }
    }
    (misses as f64 * PREPARE_TIME as f64 / 1e6, response_time as f64 / requests as f64)
}

/// The fleet's usage extrapolated from one router's counts, as if all routers had the same.
fn usage_of_one_router<'a>(published: impl Iterator<Item = &'a PaneCounts>) -> Vec<PrefixUsage> {
    let (mut merged, mut panes) = (Sketch::default(), 0u64);
    for counts in published {
        merged.merge(&counts.sketch);
        panes += 1;
    }
    let seconds = panes.max(1) as f64 * PANE_DURATION as f64 / 1e6;
    let usage_of = |(id, count): (PrefixId, u64)| PrefixUsage {
        id,
        per_s: count as f64 / seconds * ROUTERS as f64,
        max_error: 0.0,
        routers: 1,
    };
    merged.counts().map(usage_of).collect()
}

fn main() {
    let policies = [
        ("LRU only", Policy::Lru),
        ("own counts", Policy::OwnCounts),
        ("merged counts", Policy::MergedCounts),
        ("true rates", Policy::TrueRates),
    ];
    println!("| Zipf exponent | policy | preparation, s | relative to LRU | mean response time, ms |");
    println!("| --- | --- | --- | --- | --- |");
    let mut lines: Vec<Vec<(f64, f64)>> = vec![Vec::new(); policies.len()];
    for exponent in [0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4] {
        let mut lru = 1.0;
        for (n, (name, policy)) in policies.iter().enumerate() {
            let runs: Vec<(f64, f64)> = (1..=3).map(|seed| simulate(*policy, exponent, seed)).collect();
            let preparation_time = runs.iter().map(|p| p.0).sum::<f64>() / 3.0;
            let response_time = runs.iter().map(|p| p.1).sum::<f64>() / 3.0;
            lru = if *policy == Policy::Lru { preparation_time } else { lru };
            lines[n].push((exponent, preparation_time / lru));
            println!(
                "| {exponent} | {name} | {preparation_time:.0} | {:.2} | {:.0} |",
                preparation_time / lru,
                response_time / 1e3
            );
        }
    }
    // Options that Cargo passes to a benchmark are not file names.
    let Some(file) = std::env::args().skip(1).find(|a| !a.starts_with('-')) else { return };
    let area = SVGBackend::new(&file, (720, 360)).into_drawing_area();
    area.fill(&WHITE).expect("drawn");
    let mut chart = ChartBuilder::on(&area)
        .caption("Preparation time relative to LRU only (simulated)", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.8..1.4, 0.0..1.1)
        .expect("drawn");
    chart.configure_mesh().x_desc("Zipf exponent").y_desc("relative to LRU").draw().expect("drawn");
    for ((points, (name, _)), color) in lines.iter().zip(policies).zip([BLACK, RED, BLUE, GREEN]) {
        let line = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)
            .expect("drawn")
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK).draw().expect("drawn");
    area.present().expect("drawn");
}
