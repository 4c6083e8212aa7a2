//! Measurements behind docs/CAPACITY.md: memory and work of each component at several sizes, a fit to them,
//! and the error at the largest size of a fit to the smaller ones.
//! `cargo bench -p applepond-capacity --bench slopes [-- PART]`
//!
//! PART is one of `control`, `events`, `members`, `tallies`, `list`. Given a file name that ends in `.svg`
//! and no PART, it draws a chart of need relative to allowance by the size of the fleet.
//!
//! Time is simulated, on one thread. Durations are affected by other load on the machine; bytes and messages
//! are exact counts.
#[path = "../../gossip/tests/common/mod.rs"]
mod gossip_fleet;
#[path = "../../membership/tests/common/mod.rs"]
mod membership_fleet;

use applepond_capacity::fit::{Fit, Form};
use applepond_capacity::router::{AllocatedBytes, FleetSize, SimulatedRouter, TARGET_FLEET};
use applepond_capacity::traffic::{Popularity, SIGMA};
use applepond_gateway::endpoint_list::EndpointList;
use plotters::prelude::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const REAL_TIME: Duration = Duration::from_secs(30);
/// Simulated seconds for which a fleet is measured in steady state.
const MEASURED_S: u64 = 10;
/// Number of routers in the simulated fleets. Each router holds state of all others, so the memory of a fleet
/// grows with the square.
const ROUTERS: [usize; 4] = [30, 100, 300, 1_000];
/// Size of the entry that each router publishes, and the interval between two entries.
const ENTRY_BYTES: usize = 200;
const PUBLISH_INTERVAL_S: u64 = 5;

fn allocated() -> AllocatedBytes {
    let stats = ALLOCATOR.stats();
    let live = (stats.bytes_allocated - stats.bytes_deallocated) as u64;
    AllocatedBytes { total: stats.bytes_allocated as u64, live }
}

/// Fits by the name of the measured quantity.
type Fits = BTreeMap<String, Fit>;

/// A part of the benchmark with its name on the command line.
type Part = (&'static str, fn(&mut Fits));

/// Prints the points of one quantity, the fit to them, and the error at the largest point of a fit to the
/// others.
fn report(fits: &mut Fits, what: &str, unit: &str, form: Form, points: &[(f64, f64)]) {
    let shown: Vec<String> = points.iter().map(|(size, cost)| format!("{size}: {cost:.4}")).collect();
    let fit = Fit::least_squares(form, points);
    let (_, error) = Fit::extrapolate(form, points);
    println!(
        "| {what} | {unit} | {} | {form:?} | {:.4} + {:.6} x | {:.2} | {error:.2} |",
        shown.join(", "),
        fit.fixed,
        fit.slope,
        fit.residual
    );
    fits.insert(what.to_owned(), fit);
}

fn control_costs(fits: &mut Fits) {
    let simulated = |size: FleetSize| {
        let popularity = Popularity::log_normal(size.functions, SIGMA, 1);
        let mut router = SimulatedRouter::start(size, popularity, 7, allocated);
        router.simulate(Duration::from_secs(120), REAL_TIME);
        let costs = router.simulate(Duration::from_secs(60), REAL_TIME);
        (router.state_bytes() as f64 / 1e6, costs, router.startup.total())
    };
    type Column = fn(&(f64, applepond_capacity::router::Costs, Duration)) -> f64;
    let columns: [(&str, &str, Form, Column); 6] = [
        ("state", "MB", Form::Linear, |row| row.0),
        ("a call", "us", Form::Linear, |row| row.1.us_per_request()),
        ("a call's request, 99th percentile", "us", Form::Linear, |row| row.1.requests.quantile_us(0.99)),
        ("a timer", "us", Form::Constant, |row| row.1.timers.mean_us()),
        ("a change of the list", "us", Form::Constant, |row| row.1.list_updates.mean_us()),
        ("the whole list at the start", "ms", Form::Linear, |row| row.2.as_secs_f64() * 1e3),
    ];
    let workers = [1_000, 3_000, 10_000, 30_000];
    let rows = workers.map(|workers| simulated(FleetSize { workers, ..TARGET_FLEET }));
    for (what, unit, form, column) in columns {
        let points: Vec<(f64, f64)> =
            workers.iter().map(|n| *n as f64).zip(rows.iter().map(column)).collect();
        report(fits, &format!("control by workers: {what}"), unit, form, &points);
    }
    let functions = [3_000, 10_000, 30_000, 100_000, 290_000];
    let rows = functions.map(|functions| simulated(FleetSize { functions, ..TARGET_FLEET }));
    for (what, unit, _, column) in &columns[..2] {
        let points: Vec<(f64, f64)> =
            functions.iter().map(|n| *n as f64).zip(rows.iter().map(column)).collect();
        report(fits, &format!("control by functions: {what}"), unit, Form::Logarithm, &points);
    }
    let calls = [31.0, 62.0, 124.0, 248.0];
    let rows = calls.map(|requests_per_s| simulated(FleetSize { requests_per_s, ..TARGET_FLEET }));
    let points: Vec<(f64, f64)> =
        calls.into_iter().zip(rows.iter().map(|row| row.1.core_share() * 100.0)).collect();
    report(fits, "control by calls a second: processor", "% of a core", Form::Linear, &points);
}

/// Costs of a router in the target fleet after a start and after the loss of a rack or zone.
fn event_costs(_: &mut Fits) {
    let popularity = Popularity::log_normal(TARGET_FLEET.functions, SIGMA, 1);
    let mut router = SimulatedRouter::start(TARGET_FLEET, popularity, 7, allocated);
    let start = router.startup.total();
    println!("whole list at the start: {:.1} ms", start.as_secs_f64() * 1e3);
    let first = router.simulate(Duration::from_secs(10), REAL_TIME);
    let show = |what: &str, costs: &applepond_capacity::router::Costs| {
        println!(
            "{what}: a call {:.1} us, 99th percentile of requests {:.1} us, {:.2} % of a core",
            costs.us_per_request(),
            costs.requests.quantile_us(0.99),
            costs.core_share() * 100.0
        );
    };
    show("first 10 s after a start", &first);
    show("60 s later", &router.simulate(Duration::from_secs(60), REAL_TIME));
    for (what, number) in [("a rack of 40", 40), ("a zone, one worker in 12", TARGET_FLEET.workers / 12)] {
        let outcomes = router.outcomes;
        let lost = router.remove_workers(number);
        show(&format!("{what} gone, 5 s after"), &router.simulate(Duration::from_secs(5), REAL_TIME));
        let back = router.restore_workers();
        show(&format!("{what} back cold, 5 s after"), &router.simulate(Duration::from_secs(5), REAL_TIME));
        println!(
            "{what}: the message that it is gone {:.2} ms, that it is back {:.2} ms; given up meanwhile {}",
            lost.list_updates.total().as_secs_f64() * 1e3,
            back.list_updates.total().as_secs_f64() * 1e3,
            router.outcomes.unserved - outcomes.unserved
        );
    }
    println!("state {:.1} MB", router.state_bytes() as f64 / 1e6);
}

/// Bytes and messages per second, memory and processor time of one membership instance in steady state.
fn membership_costs(fits: &mut Fits) {
    let mut rows = Vec::new();
    for routers in ROUTERS {
        let before = allocated().live;
        let mut fleet =
            membership_fleet::SimulatedNetwork::fleet(1, routers, membership_fleet::lossy_link(0.0));
        fleet.run_for(60 * membership_fleet::SECOND);
        let sum = |fleet: &membership_fleet::SimulatedNetwork| {
            let all = fleet.processes.iter().flatten();
            all.fold((0, 0), |(bytes, messages), p| (bytes + p.bytes, messages + p.messages))
        };
        let (from, started) = (sum(&fleet), Instant::now());
        fleet.run_for(MEASURED_S * membership_fleet::SECOND);
        let duration = started.elapsed();
        let to = sum(&fleet);
        let each = |n: u64| n as f64 / routers as f64 / MEASURED_S as f64;
        let held = (allocated().live - before) as f64 / routers as f64 / 1e3;
        let cpu_ms = duration.as_secs_f64() * 1e3 / routers as f64 / MEASURED_S as f64;
        rows.push((routers as f64, [each(to.0 - from.0) / 1e3, each(to.1 - from.1), held, cpu_ms]));
    }
    let columns = [
        ("bytes sent", "kB/s", Form::Linear),
        ("messages sent", "1/s", Form::Linear),
        ("state", "kB", Form::Linear),
        ("processor", "ms/s", Form::Linear),
    ];
    for (n, (what, unit, form)) in columns.into_iter().enumerate() {
        let points: Vec<(f64, f64)> = rows.iter().map(|(size, row)| (*size, row[n])).collect();
        report(fits, &format!("membership by routers: {what}"), unit, form, &points);
    }
}

/// The same for gossip, with each router publishing one entry as often as the settings allow.
fn gossip_costs(fits: &mut Fits) {
    let mut rows = Vec::new();
    for routers in ROUTERS {
        let before = allocated().live;
        let mut fleet = gossip_fleet::SimulatedNetwork::fleet(1, routers, gossip_fleet::lossy_link(0.0));
        let publish = |fleet: &mut gossip_fleet::SimulatedNetwork| {
            for n in 0..routers {
                let at = fleet.now + PUBLISH_INTERVAL_S * gossip_fleet::SECOND / routers as u64;
                fleet.run_until(at, |_| false);
                fleet.publish(n, 1, &[n as u8; ENTRY_BYTES]);
            }
        };
        publish(&mut fleet);
        let bytes = |fleet: &gossip_fleet::SimulatedNetwork| {
            fleet.processes.iter().flatten().map(|p| p.bytes).sum::<u64>()
        };
        let (from, started, since) = (bytes(&fleet), Instant::now(), fleet.now);
        publish(&mut fleet);
        let duration = started.elapsed();
        let (seconds, count) = ((fleet.now - since) as f64 / gossip_fleet::SECOND as f64, routers as f64);
        let sent = (bytes(&fleet) - from) as f64 / count / seconds / 1e3;
        let held = (allocated().live - before) as f64 / count / 1e3;
        rows.push((count, [sent, held, duration.as_secs_f64() * 1e3 / count / seconds]));
    }
    let columns = [("bytes sent", "kB/s"), ("state", "kB"), ("processor", "ms/s")];
    for (n, (what, unit)) in columns.into_iter().enumerate() {
        let points: Vec<(f64, f64)> = rows.iter().map(|(size, row)| (*size, row[n])).collect();
        report(fits, &format!("gossip by routers: {what}"), unit, Form::Linear, &points);
    }
}

fn list_line(kind: &str, names: std::ops::Range<usize>) -> Vec<u8> {
    let worker = |n: usize| {
        format!(
            "{{\"name\":\"worker-{n:06}\",\"address\":\"10.{}.{}.{}:9000\",\"standing\":\"ready\",\
             \"started\":1764600000000,\"zone\":\"zone-{}\",\"rack\":{},\"weight\":1}}",
            n >> 16,
            (n >> 8) & 255,
            n & 255,
            n % 12,
            n / 40
        )
    };
    let workers: Vec<String> = names.map(worker).collect();
    format!("{{\"kind\":\"{kind}\",\"workers\":[{}]}}", workers.join(",")).into_bytes()
}

/// Cost of reading the list of workers in the format that `serve` receives.
fn endpoint_list_costs(fits: &mut Fits) {
    let zones: Vec<String> = (0..12).map(|n| format!("zone-{n}")).collect();
    let sizes = [1_000, 3_000, 10_000, 30_000];
    let rows = sizes.map(|workers| {
        let full = list_line("full", 0..workers);
        let before = allocated().live;
        let mut hosts = EndpointList::default();
        let started = Instant::now();
        drop(hosts.read_line(&full, &zones).expect("a good line"));
        let first = started.elapsed();
        let state = allocated().live - before;
        let started = Instant::now();
        drop(hosts.read_line(&full, &zones).expect("a good line"));
        let again = started.elapsed();
        let changes: Vec<Vec<u8>> = (0..1_000).map(|n| list_line("changes", n..n + 1)).collect();
        let started = Instant::now();
        changes.iter().for_each(|line| drop(hosts.read_line(line, &zones).expect("a good line")));
        let change = started.elapsed().as_secs_f64() * 1e6 / changes.len() as f64;
        let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
        [full.len() as f64 / 1e3, ms(first), ms(again), state as f64 / 1e6, changes[0].len() as f64, change]
    });
    let columns = [
        ("a whole list", "kB", Form::Linear),
        ("reading the first whole list", "ms", Form::Linear),
        ("reading a whole list again", "ms", Form::Linear),
        ("state", "MB", Form::Linear),
        ("a change", "bytes", Form::Constant),
        ("reading a change", "us", Form::Constant),
    ];
    for (n, (what, unit, form)) in columns.into_iter().enumerate() {
        let points: Vec<(f64, f64)> =
            sizes.iter().map(|s| *s as f64).zip(rows.iter().map(|r| r[n])).collect();
        report(fits, &format!("list of workers, by workers: {what}"), unit, form, &points);
    }
}

/// Draws need relative to allowance by the number of routers. The other figures of the fleet grow in
/// proportion.
fn chart(fits: &Fits, file: &str) {
    /// Allowance of a router for control: traffic and memory (docs/CAPACITY.md).
    const BYTES_KB_S: f64 = 20.0;
    const MEMORY_MB: f64 = 32.0;
    let at = |what: &str, size: f64| fits.get(what).map_or(0.0, |fit| fit.cost_at(size));
    let workers = |routers: f64| routers * TARGET_FLEET.workers as f64 / TARGET_FLEET.routers as f64;
    let changes = |routers: f64| {
        let per_s = TARGET_FLEET.list_changes_per_s * routers / TARGET_FLEET.routers as f64;
        per_s * at("list of workers, by workers: a change", 1.0) / 1e3
    };
    let memory = |routers: f64| {
        let decisions = at("control by workers: state", workers(routers));
        let list = at("list of workers, by workers: state", workers(routers));
        let members = at("membership by routers: state", routers) / 1e3;
        let gossip = at("gossip by routers: state", routers) / 1e3;
        decisions + list + members + gossip
    };
    type Need<'a> = (&'static str, Box<dyn Fn(f64) -> f64 + 'a>);
    let needs: [Need; 4] = [
        ("gossip, bytes", Box::new(|n| at("gossip by routers: bytes sent", n) / BYTES_KB_S)),
        ("membership, bytes", Box::new(|n| at("membership by routers: bytes sent", n) / BYTES_KB_S)),
        ("changes of the list, bytes", Box::new(|n| changes(n) / BYTES_KB_S)),
        ("memory of all", Box::new(|n| memory(n) / MEMORY_MB)),
    ];
    let sizes: Vec<f64> = (0..=40).map(|n| 100.0 * (70.0_f64).powf(f64::from(n) / 40.0)).collect();
    let area = SVGBackend::new(file, (760, 400)).into_drawing_area();
    area.fill(&WHITE).expect("drawn");
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Need of a router relative to its allowance for control (fits to simulated fleets)",
            ("sans-serif", 16),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d((100.0..7_000.0).log_scale(), (0.001..100.0).log_scale())
        .expect("drawn");
    chart.configure_mesh().x_desc("routers").y_desc("need / allowance").draw().expect("drawn");
    let allowance = LineSeries::new([(100.0, 1.0), (7_000.0, 1.0)], BLACK.stroke_width(1));
    chart.draw_series(allowance).expect("drawn").label("allowance");
    for ((name, need), color) in needs.iter().zip([RED, BLUE, GREEN, MAGENTA]) {
        let points = sizes.iter().map(|size| (*size, need(*size).max(0.001)));
        let line = LineSeries::new(points, color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2));
        chart.draw_series(line).expect("drawn").label(*name).legend(legend);
    }
    chart.configure_series_labels().border_style(BLACK).draw().expect("drawn");
    area.present().expect("drawn");
}

fn main() {
    let mut words = std::env::args().skip(1).filter(|word| !word.starts_with('-'));
    let word = words.next();
    let file = word.as_deref().filter(|word| word.ends_with(".svg"));
    let wanted = word.as_deref().filter(|word| !word.ends_with(".svg"));
    println!("| what | unit | size: value | form | line | residual | misses the largest by |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let parts: [Part; 5] = [
        ("control", control_costs),
        ("list", endpoint_list_costs),
        ("tallies", gossip_costs),
        ("members", membership_costs),
        ("events", event_costs),
    ];
    let mut fits = Fits::new();
    for (name, part) in parts {
        if wanted.is_none_or(|wanted| wanted == name) {
            part(&mut fits);
        }
    }
    file.into_iter().for_each(|file| chart(&fits, file));
}
