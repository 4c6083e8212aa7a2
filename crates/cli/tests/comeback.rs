//! Consensus, gossip and recovery between five router processes, with faults injected into the network and
//! disks.
mod common;
use common::*;
use rustix::process::Signal;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

const FLEET_SIZE: usize = 5;
const REPLICAS: std::ops::Range<usize> = 0..3;

/// Fleet settings of a router. The first three are replicas, and each router has a snapshot.
fn extra_settings(n: usize, folder: &Path) -> String {
    let file = |extension: &str| folder.join(format!("r{n}.{extension}")).display().to_string();
    let votes =
        if REPLICAS.contains(&n) { format!(" votes = \"{}\"\n", file("votes")) } else { String::new() };
    format!(" keepers = [\"r0\", \"r1\", \"r2\"]\n{votes} snapshot = \"{}\"\n", file("snapshot"))
}

fn agreed_state(fleet: &Fleet, n: usize) -> Value {
    fleet.fleet_section(n)["shared"]["agreed"].take()
}

/// Whether these routers hold the same register, at version 2 or later.
fn have_agreed(fleet: &Fleet, routers: &[usize]) -> bool {
    let states: Vec<Value> = routers.iter().map(|n| agreed_state(fleet, *n)).collect();
    states.iter().all(|state| state["number"].as_u64() >= Some(2) && state["line"] == states[0]["line"])
}

fn leader(fleet: &Fleet, routers: &[usize]) -> Option<usize> {
    routers.iter().copied().find(|n| agreed_state(fleet, *n)["convenes"] == true)
}

/// Whether a router has recovered facts from its peers.
fn has_recovered(fleet: &Fleet, n: usize) -> bool {
    fleet.fleet_section(n)["shared"]["comeback"]["stage"]
        .as_str()
        .is_some_and(|stage| stage.starts_with("told by"))
}

#[test]
fn shared_state_survives_faults() {
    let mut fleet = Fleet::new("comeback", FLEET_SIZE, &extra_settings);
    let all: Vec<usize> = (0..FLEET_SIZE).collect();
    fleet.wait_until("all routers join and agree", |f| {
        f.views_agree(&all, FLEET_SIZE) && have_agreed(f, &all)
    });
    let register = agreed_state(&fleet, 4)["line"].clone();
    fleet.wait_until("gossip converges", |f| {
        let views: Vec<Value> =
            all.iter().map(|n| f.fleet_section(*n)["shared"]["tallies"]["view"].clone()).collect();
        views.iter().all(|view| *view == views[0])
    });

    // With one link cut, one cut in one direction and delayed datagrams, the agreed state stays available.
    let ports = fleet.ports.clone();
    fleet.network.faults().cut.extend([(ports[0], ports[1]), (ports[1], ports[0]), (ports[2], ports[4])]);
    fleet.network.faults().delay = Duration::from_millis(100);
    std::thread::sleep(Duration::from_secs(5));
    fleet.wait_until("all still agree", |f| have_agreed(f, &all));
    fleet.network.faults().cut.clear();
    fleet.network.faults().delay = Duration::ZERO;

    // While the leader is stopped, another router takes over. The old leader does not act on its expired
    // lease when it resumes.
    let first = leader(&fleet, &all).expect("a leader");
    let others: Vec<usize> = all.iter().copied().filter(|n| *n != first).collect();
    fleet.signal(first, Signal::STOP);
    fleet.wait_until("another router becomes the leader", |f| {
        leader(f, &others).is_some() && have_agreed(f, &others)
    });
    fleet.signal(first, Signal::CONT);
    fleet.wait_until("the stopped router rejoins", |f| {
        f.views_agree(&all, FLEET_SIZE) && have_agreed(f, &all)
    });

    // Four of five routers are killed at once. One vote file is lost and one snapshot is corrupted.
    (1..FLEET_SIZE).for_each(|n| fleet.routers[n] = None);
    std::fs::remove_file(fleet.folder.join("r1.votes")).expect("file exists");
    std::fs::write(fleet.folder.join("r3.snapshot"), b"certainly no snapshot".repeat(99)).expect("a file");
    (1..FLEET_SIZE).for_each(|n| fleet.start(n, &[]));
    fleet.wait_until("all agree again", |f| f.views_agree(&all, FLEET_SIZE) && have_agreed(f, &all));
    assert_eq!(agreed_state(&fleet, 4)["line"], register, "the register survives");
    fleet.wait_until("the restarted routers recover from peers", |f| {
        (1..FLEET_SIZE).all(|n| has_recovered(f, n))
    });
    let unusable = fleet.fleet_section(3)["shared"]["comeback"]["unusable"].to_string();
    assert!(unusable.contains("r3.snapshot"), "{unusable}");

    // A disk that takes 3 s per write slows its replica, but not the router.
    fleet.routers[2] = None;
    fleet.start(2, &["--disk", "late-3000"]);
    fleet.wait_until("all agree", |f| f.views_agree(&all, FLEET_SIZE) && have_agreed(f, &all));
    std::thread::sleep(Duration::from_secs(4));
    assert!(fleet.views_agree(&all, FLEET_SIZE), "a slow disk removes no router from the fleet");

    // With most vote files lost there is no agreement. The reason is reported, and the routers keep running.
    REPLICAS.for_each(|n| fleet.routers[n] = None);
    (1..3).for_each(|n| std::fs::remove_file(fleet.folder.join(format!("r{n}.votes"))).expect("file exists"));
    REPLICAS.for_each(|n| fleet.start(n, &[]));
    fleet.wait_until("all routers join", |f| f.views_agree(&all, FLEET_SIZE));
    let standstill_code = |f: &Fleet, n: usize| agreed_state(f, n)["standstill"]["code"].clone();
    fleet.wait_until("the lost majority is reported", |f| {
        REPLICAS.into_iter().any(|n| standstill_code(f, n) == "accord::majority_lost")
    });
    std::thread::sleep(Duration::from_secs(5));
    assert!(
        all.iter().all(|n| agreed_state(&fleet, *n)["number"].is_null()),
        "no state is served without a majority"
    );
    assert!(fleet.views_agree(&all, FLEET_SIZE), "the fleet keeps running");
}
