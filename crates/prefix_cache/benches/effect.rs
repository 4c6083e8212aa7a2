//! What pinned openings save, on paper: requests with openings by Zipf come to routers, each goes to one of
//! the model's workers; a worker prepares an opening that it has not kept. Beside each other in one run:
//! the worker's LRU alone, each router pinning by its own counts, pins by the merged counts, and by the
//! true ones. Prints a table; with a file's name it draws a chart there.
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
const OPENINGS: u64 = 2_000;
/// Jobs a second over the fleet, and seconds played; the first of them do not count.
const RATE: u64 = 300;
const SECONDS: u64 = 180;
const WARM: u64 = 60;
/// Openings that a worker keeps, all of one size here, and how many of them may be pinned.
const KEPT: usize = 60;
const PINNED: f64 = 40.0;
/// µs to prepare one, and of the rest of a request.
const PREPARE: u64 = 400_000;
const WORK: u64 = 60_000;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Lru,
    Own,
    Merged,
    True,
}

struct Worker {
    /// Last use, and until when it is pinned.
    kept: BTreeMap<u64, (u64, u64)>,
}

impl Worker {
    /// Whether it had it; it has it afterwards.
    fn request(&mut self, now: u64, id: u64, pin: Option<u64>) -> bool {
        let had = self.kept.contains_key(&id);
        if !had && self.kept.len() >= KEPT {
            // The one longest not used goes, pinned ones last.
            let oldest =
                self.kept.iter().min_by_key(|(_, (used, until))| (*until > now, *used)).map(|(id, _)| *id);
            oldest.map(|id| self.kept.remove(&id));
        }
        let row = self.kept.entry(id).or_default();
        row.0 = now;
        row.1 = row.1.max(pin.map_or(0, |lease| now + lease));
        had
    }
}

/// Seconds of preparing, and mean µs to the first answer.
fn play(way: Way, zipf: f64, seed: u64) -> (f64, f64) {
    let mut rng = Rand64::new(u128::from(seed));
    let sums: Vec<f64> = (1..=OPENINGS)
        .scan(0.0, |sum, r| {
            *sum += (r as f64).powf(-zipf);
            Some(*sum)
        })
        .collect();
    let all = sums[OPENINGS as usize - 1];
    let mut workers: Vec<Worker> = (0..WORKERS).map(|_| Worker { kept: BTreeMap::new() }).collect();
    let cost_model = CostModel {
        prepare_time: PREPARE as f64,
        bytes_per_unit: 1.0,
        workers: WORKERS as f64,
        price_per_byte: 1.0,
        memory_limit: PINNED,
        // A worker keeps an opening for as long as it takes until that many others have come.
        retention: KEPT as f64 * WORKERS as f64 / RATE as f64 * 1e6,
    };
    let mut panes: Vec<PaneCounter> = (0..ROUTERS).map(|_| PaneCounter::new(0)).collect();
    let mut told: Vec<(u64, RouterId, PaneCounts)> = Vec::new();
    let lists_of = if way == Way::Own { ROUTERS } else { 1 };
    let mut pins: Vec<PinPlanner> = (0..lists_of).map(|_| PinPlanner::new(0, cost_model)).collect();
    let mut lists = vec![PinList::default(); lists_of];
    let (mut prepared, mut requests, mut took) = (0u64, 0u64, 0u64);
    for n in 0..RATE * SECONDS {
        let now = n * SECOND / RATE;
        if n % RATE == 0 {
            for (r, pane) in panes.iter_mut().enumerate() {
                told.extend(pane.take_finished(now).map(|t| (now, RouterId(r as u64), t)));
            }
            told.retain(|(at, ..)| now < at + PaneCounter::LIFETIME);
            for (k, list) in lists.iter_mut().enumerate() {
                let of = |r: &RouterId| way != Way::Own || r.0 == k as u64;
                let counted = match way {
                    Way::Lru => Vec::new(),
                    Way::True => (0..OPENINGS)
                        .map(|id| {
                            let per_s = (id as f64 + 1.0).powf(-zipf) / all * RATE as f64;
                            PrefixUsage { id: PrefixId(id), per_s, max_error: 0.0, routers: ROUTERS }
                        })
                        .collect(),
                    // Alone a router has no other's word; its own uses stand for the fleet's.
                    Way::Own => own(told.iter().filter(|(_, r, _)| of(r)).map(|(_, _, t)| t)),
                    Way::Merged => PaneCounter::fleet_usage(told.iter().map(|(_, r, t)| (*r, t.clone()))),
                };
                if let Some(next) = pins[k].next_list(now, list, &counted, |_| Some(1)) {
                    *list = next;
                }
            }
        }
        let at = rng.rand_float() * all;
        let id = sums.partition_point(|sum| *sum < at) as u64;
        let router = rng.rand_range(0..ROUTERS as u64) as usize;
        panes[router].record_use(PrefixId(id));
        let worker = &mut workers[rng.rand_range(0..WORKERS as u64) as usize];
        let list = &lists[if way == Way::Own { router } else { 0 }];
        let had = worker.request(now, id, list.lease_duration(now, now + LEASE_DURATION, PrefixId(id)));
        if n >= WARM * RATE {
            requests += 1;
            prepared += u64::from(!had);
            took += WORK + if had { 0 } else { PREPARE };
        }
    }
    (prepared as f64 * PREPARE as f64 / 1e6, took as f64 / requests as f64)
}

/// One router's uses as if all saw the same.
fn own<'a>(told: impl Iterator<Item = &'a PaneCounts>) -> Vec<PrefixUsage> {
    let (mut sum, mut panes) = (Sketch::default(), 0u64);
    for t in told {
        sum.merge(&t.sketch);
        panes += 1;
    }
    let seconds = panes.max(1) as f64 * PANE_DURATION as f64 / 1e6;
    let counted = |(id, count): (PrefixId, u64)| PrefixUsage {
        id,
        per_s: count as f64 / seconds * ROUTERS as f64,
        max_error: 0.0,
        routers: 1,
    };
    sum.counts().map(counted).collect()
}

fn main() {
    let ways = [
        ("LRU alone", Way::Lru),
        ("each router's own", Way::Own),
        ("merged", Way::Merged),
        ("true", Way::True),
    ];
    println!("| Zipf | way | preparing, s | of LRU's | mean to the first answer, ms |");
    println!("| --- | --- | --- | --- | --- |");
    let mut lines: Vec<Vec<(f64, f64)>> = vec![Vec::new(); ways.len()];
    for zipf in [0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4] {
        let mut lru = 1.0;
        for (n, (name, way)) in ways.iter().enumerate() {
            let plays: Vec<(f64, f64)> = (1..=3).map(|seed| play(*way, zipf, seed)).collect();
            let prepared = plays.iter().map(|p| p.0).sum::<f64>() / 3.0;
            let took = plays.iter().map(|p| p.1).sum::<f64>() / 3.0;
            lru = if *way == Way::Lru { prepared } else { lru };
            lines[n].push((zipf, prepared / lru));
            println!("| {zipf} | {name} | {prepared:.0} | {:.2} | {:.0} |", prepared / lru, took / 1e3);
        }
    }
    // Cargo's own words to a bench are no file.
    let Some(file) = std::env::args().skip(1).find(|a| !a.starts_with('-')) else { return };
    let area = SVGBackend::new(&file, (720, 360)).into_drawing_area();
    area.fill(&WHITE).expect("drawn");
    let mut chart = ChartBuilder::on(&area)
        .caption("Preparing, as a part of the worker's LRU alone (on paper)", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.8..1.4, 0.0..1.1)
        .expect("drawn");
    chart.configure_mesh().x_desc("Zipf").y_desc("part").draw().expect("drawn");
    for ((points, (name, _)), color) in lines.iter().zip(ways).zip([BLACK, RED, BLUE, GREEN]) {
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
