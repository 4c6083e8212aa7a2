//! Five routers as processes that keep, tell and come back, with faults put between them and their disks.
mod common;
use common::*;
use rustix::process::Signal;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

const FLEET: usize = 5;
const KEEPERS: std::ops::Range<usize> = 0..3;

/// The first three keep, each has a snapshot.
fn block(n: usize, folder: &Path) -> String {
    let file = |what: &str| folder.join(format!("r{n}.{what}")).display().to_string();
    let votes =
        if KEEPERS.contains(&n) { format!(" votes = \"{}\"\n", file("votes")) } else { String::new() };
    format!(" keepers = [\"r0\", \"r1\", \"r2\"]\n{votes} snapshot = \"{}\"\n", file("snapshot"))
}

fn agreed(fleet: &Fleet, n: usize) -> Value {
    fleet.fleet(n)["shared"]["agreed"].take()
}

fn all_agreed(fleet: &Fleet, of: &[usize]) -> bool {
    let all: Vec<Value> = of.iter().map(|n| agreed(fleet, *n)).collect();
    all.iter().all(|a| a["number"].as_u64() >= Some(2) && a["line"] == all[0]["line"])
}

fn convener(fleet: &Fleet, of: &[usize]) -> Option<usize> {
    of.iter().copied().find(|n| agreed(fleet, *n)["convenes"] == true)
}

fn back(fleet: &Fleet, n: usize) -> bool {
    fleet.fleet(n)["shared"]["comeback"]["stage"].as_str().is_some_and(|s| s.starts_with("told by"))
}

#[test]
fn keeps_tells_and_comes_back() {
    let mut fleet = Fleet::new("comeback", FLEET, &block);
    let all: Vec<usize> = (0..FLEET).collect();
    fleet.until("all find each other and agree", |f| f.agree(&all, FLEET) && all_agreed(f, &all));
    let line = agreed(&fleet, 4)["line"].clone();
    fleet.until("what is told is the same at all", |f| {
        let views: Vec<Value> =
            all.iter().map(|n| f.fleet(*n)["shared"]["tallies"]["view"].clone()).collect();
        views.iter().all(|v| *v == views[0])
    });

    // A dropped link, slow replies, and one who is not heard: what was agreed goes on to count.
    let ports = fleet.ports.clone();
    fleet.network.faults().cut.extend([(ports[0], ports[1]), (ports[1], ports[0]), (ports[2], ports[4])]);
    fleet.network.faults().delay = Duration::from_millis(100);
    std::thread::sleep(Duration::from_secs(5));
    fleet.until("all still agree", |f| all_agreed(f, &all));
    fleet.network.faults().cut.clear();
    fleet.network.faults().delay = Duration::ZERO;

    // Who convenes stands still: another one does, and it acts on nothing when it wakes.
    let first = convener(&fleet, &all).expect("one of them");
    let others: Vec<usize> = all.iter().copied().filter(|n| *n != first).collect();
    fleet.signal(first, Signal::STOP);
    fleet.until("another convenes", |f| convener(f, &others).is_some() && all_agreed(f, &others));
    fleet.signal(first, Signal::CONT);
    fleet.until("and it is one of them again", |f| f.agree(&all, FLEET) && all_agreed(f, &all));

    // Killed: four of five within a moment. One keeper's vote is lost, one snapshot is bent.
    (1..FLEET).for_each(|n| fleet.routers[n] = None);
    std::fs::remove_file(fleet.folder.join("r1.votes")).expect("it was there");
    std::fs::write(fleet.folder.join("r3.snapshot"), b"certainly no snapshot".repeat(99)).expect("a file");
    (1..FLEET).for_each(|n| fleet.start(n, &[]));
    fleet.until("all agree again", |f| f.agree(&all, FLEET) && all_agreed(f, &all));
    assert_eq!(agreed(&fleet, 4)["line"], line, "on what they had agreed on");
    fleet.until("and have been told", |f| (1..FLEET).all(|n| back(f, n)));
    let unusable = fleet.fleet(3)["shared"]["comeback"]["unusable"].to_string();
    assert!(unusable.contains("r3.snapshot"), "{unusable}");

    // A disk that takes 3 s for each write: its keeper is slow, and the router is not.
    fleet.routers[2] = None;
    fleet.start(2, &["--disk", "late-3000"]);
    fleet.until("all agree", |f| f.agree(&all, FLEET) && all_agreed(f, &all));
    std::thread::sleep(Duration::from_secs(4));
    assert!(fleet.agree(&all, FLEET), "nobody is taken for gone over a slow disk");

    // Most votes are lost: nothing is agreed on, by name, and all go on.
    KEEPERS.for_each(|n| fleet.routers[n] = None);
    (1..3)
        .for_each(|n| std::fs::remove_file(fleet.folder.join(format!("r{n}.votes"))).expect("it was there"));
    KEEPERS.for_each(|n| fleet.start(n, &[]));
    fleet.until("they find each other", |f| f.agree(&all, FLEET));
    let code = |f: &Fleet, n: usize| agreed(f, n)["standstill"]["code"].clone();
    fleet.until("it is named", |f| KEEPERS.into_iter().any(|n| code(f, n) == "accord::majority_lost"));
    std::thread::sleep(Duration::from_secs(5));
    assert!(all.iter().all(|n| agreed(&fleet, *n)["number"].is_null()), "an old or empty past is none");
    assert!(fleet.agree(&all, FLEET), "and all go on");
}
