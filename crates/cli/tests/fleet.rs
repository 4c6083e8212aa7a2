//! Membership between five router processes. Their datagrams pass through a proxy that drops, delays and cuts
//! them by pair of routers.
mod common;
use common::*;
use rustix::process::Signal;
use std::time::{Duration, Instant};

const FLEET_SIZE: usize = 5;

#[test]
fn membership_survives_faults() {
    let mut fleet = Fleet::new("members", FLEET_SIZE, &|_, _| String::new());
    let all: Vec<usize> = (0..FLEET_SIZE).collect();
    fleet.wait_until("all routers join", |f| f.views_agree(&all, FLEET_SIZE));

    // A link cut in one direction is reported by both sides, and neither router is removed.
    fleet.network.faults().cut.insert((fleet.ports[0], fleet.ports[3]));
    fleet.wait_until("the one-way link is reported", |f| {
        f.member_row(3, 0)["standing"] == "unreachable from here"
            && f.member_row(3, 0)["lame"] == "in"
            && f.member_row(0, 3)["lame"] == "out"
    });
    assert!(fleet.views_agree(&all, FLEET_SIZE));
    fleet.network.faults().cut.clear();
    fleet.wait_until("the link recovers", |f| f.member_row(3, 0)["standing"] == "alive");

    // Delayed replies of all routers remove nobody, although many timeouts pass.
    fleet.network.faults().delay = Duration::from_millis(300);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        assert!(all.iter().all(|n| fleet.fleet_section(*n)["live"] == FLEET_SIZE));
    }
    fleet.network.faults().delay = Duration::ZERO;

    // A router that is stopped until the others have removed it rejoins when it resumes, and accuses nobody.
    let before = fleet.member_row(0, 2)["incarnation"].as_u64();
    fleet.signal(2, Signal::STOP);
    fleet.wait_until("the stopped router is removed", |f| f.views_agree(&[0, 1, 3, 4], FLEET_SIZE - 1));
    assert_eq!(fleet.member_row(0, 2)["standing"], "gone");
    fleet.signal(2, Signal::CONT);
    fleet.wait_until("the stopped router rejoins", |f| f.views_agree(&all, FLEET_SIZE));
    assert!(fleet.member_row(0, 2)["incarnation"].as_u64() > before, "under a new incarnation");

    // A key is rotated in three steps, during which all routers understand each other. A missing key file
    // changes nothing.
    for keys in ["\"key\", \"new-key\"", "\"new-key\", \"key\"", "\"new-key\""] {
        for n in all.clone() {
            let before = fleet.switch_count(n);
            fleet.write_settings(n, keys);
            fleet.signal(n, Signal::HUP);
            fleet.wait_until("the settings are switched", |f| f.switch_count(n) > before);
        }
        fleet.wait_until("views agree under these keys", |f| f.views_agree(&all, FLEET_SIZE));
    }
    fleet.write_settings(0, "\"key-of-nobody\"");
    fleet.signal(0, Signal::HUP);
    let is_rejected =
        |f: &Fleet| state_page(f.routers[0].as_ref().expect("router runs").at)["settings"]["kept"] == 1;
    fleet.wait_until("the settings are rejected", is_rejected);
    assert!(fleet.views_agree(&all, FLEET_SIZE));

    // A router that shuts down announces it, so that no votes are needed.
    fleet.signal(3, Signal::TERM);
    fleet.wait_until("its departure is known", |f| {
        [0, 1, 2, 4].iter().all(|n| f.member_row(*n, 3)["standing"] == "left")
    });
    let status = fleet.routers[3].as_mut().and_then(|router| router.child.wait().ok());
    assert!(status.is_some_and(|status| status.success()), "router exits on SIGTERM");

    // A killed router is removed by the votes of several others. Shares are still computed for the number of
    // routers in the settings, so that a smaller view does not increase them.
    let switch_count = fleet.switch_count(0);
    fleet.routers[4] = None;
    fleet.wait_until("the kill is detected", |f| f.views_agree(&[0, 1, 2], FLEET_SIZE - 2));
    let accusers = fleet.member_row(0, 4)["by"].as_array().map_or(0, Vec::len);
    assert!(accusers >= 2, "removed by {accusers} votes");
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(fleet.switch_count(0), switch_count);
    assert_eq!(fleet.fleet_section(0)["datagrams"]["dropped"], serde_json::json!({}));
}
