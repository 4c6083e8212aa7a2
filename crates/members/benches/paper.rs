//! Prints a table of fleets on the paper network: time until all know of a kill, live routers removed, bytes
//! and CPU of an instance. `cargo bench -p applepond-members --bench paper -- 20 300`.
#[path = "../tests/common/mod.rs"]
mod common;
use applepond_members::*;
use common::*;
use std::time::Instant;

/// Kills a fleet; one seed each.
const SEEDS: u64 = 5;

/// ms until each of the others took the killed one for gone, over all seeds.
fn kill(routers: usize, loss: f64) -> Vec<u64> {
    let mut took = Vec::new();
    for seed in 0..SEEDS {
        let mut paper = Paper::fleet(seed, routers, lossy(loss));
        paper.pass(seed * 70 * MS);
        let (dead, at) = (routers / 2, paper.now);
        paper.kill(dead);
        paper.pass(8 * S);
        let gone = |c: &&(u64, Change)| {
            c.0 > at
                && matches!(&c.1, Change::Shown { name, is: Shown::Gone, .. } if *name == format!("r{dead}"))
        };
        let known = |n: usize| paper.changes(n).find(gone).map_or(8_000, |c| (c.0 - at) / MS);
        took.extend((0..routers).filter(|n| *n != dead).map(known));
    }
    took.sort_unstable();
    took
}

/// Live routers removed, bytes a second and letters a second of an instance, ms of CPU a second of it.
fn minute(routers: usize, loss: f64, seconds: u64) -> (usize, u64, u64, f64) {
    let mut paper = Paper::fleet(1, routers, lossy(loss));
    // What is left to say of the start does not count.
    paper.pass(10 * S);
    let sum = |p: &Paper, of: fn(&Process) -> u64| p.all.iter().flatten().map(of).sum::<u64>();
    let (bytes, letters) = (sum(&paper, |p| p.bytes), sum(&paper, |p| p.letters));
    let begun = Instant::now();
    paper.pass(seconds * S);
    let each = routers as u64 * seconds;
    let cpu = begun.elapsed().as_secs_f64() * 1e3 / each as f64;
    let (bytes, letters) = (sum(&paper, |p| p.bytes) - bytes, sum(&paper, |p| p.letters) - letters);
    (paper.removals(), bytes / each, letters / each, cpu)
}

fn main() {
    let asked: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    let fleets = if asked.is_empty() { vec![20, 300] } else { asked };
    println!(
        "| routers | loss | known after ms: median, 99 %, most | removed | bytes/s | letters/s | CPU ms/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for routers in fleets {
        for loss in [0.0, 0.1, 0.3] {
            let took = kill(routers, loss);
            let at = |part: usize| took[(took.len() - 1) * part / 100];
            let (removed, bytes, letters, cpu) = minute(routers, loss, 30);
            println!(
                "| {routers} | {loss} | {}, {}, {} | {removed} | {bytes} | {letters} | {cpu:.2} |",
                at(50),
                at(99),
                at(100)
            );
        }
    }
}
