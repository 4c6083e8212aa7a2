//! Five routers as processes, with faults put between them: each sends its datagrams through a rig that
//! drops, delays and cuts them by pair.
mod common;
use common::*;
use rustix::process::Signal;
use std::time::{Duration, Instant};

const FLEET: usize = 5;

#[test]
fn faults_between_five_processes() {
    let mut fleet = Fleet::new("members", FLEET, &|_, _| String::new());
    let all: Vec<usize> = (0..FLEET).collect();
    fleet.until("they find each other", |f| f.agree(&all, FLEET));

    // One way of one link: named on both sides, and nobody is removed.
    fleet.network.faults().cut.insert((fleet.ports[0], fleet.ports[3]));
    fleet.until("the lame link is named", |f| {
        f.standing(3, 0)["standing"] == "unreachable from here"
            && f.standing(3, 0)["lame"] == "in"
            && f.standing(0, 3)["lame"] == "out"
    });
    assert!(fleet.agree(&all, FLEET));
    fleet.network.faults().cut.clear();
    fleet.until("and whole again", |f| f.standing(3, 0)["standing"] == "alive");

    // Slow replies of every router: nobody is removed while many patiences pass.
    fleet.network.faults().delay = Duration::from_millis(300);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(5) {
        assert!(all.iter().all(|n| fleet.fleet(*n)["live"] == FLEET));
    }
    fleet.network.faults().delay = Duration::ZERO;

    // Stopped until the others have removed it; it comes back by itself and accuses nobody.
    let before = fleet.standing(0, 2)["incarnation"].as_u64();
    fleet.signal(2, Signal::STOP);
    fleet.until("it is removed", |f| f.agree(&[0, 1, 3, 4], FLEET - 1));
    assert_eq!(fleet.standing(0, 2)["standing"], "gone");
    fleet.signal(2, Signal::CONT);
    fleet.until("it is back", |f| f.agree(&all, FLEET));
    assert!(fleet.standing(0, 2)["incarnation"].as_u64() > before, "under a new incarnation");

    // Another key, in three steps at each of which all hear each other; a key that is not there changes
    // nothing.
    for keys in ["\"key\", \"new-key\"", "\"new-key\", \"key\"", "\"new-key\""] {
        for n in all.clone() {
            let before = fleet.switched(n);
            fleet.write(n, keys);
            fleet.signal(n, Signal::HUP);
            fleet.until("the settings hold", |f| f.switched(n) > before);
        }
        fleet.until("one view under these keys", |f| f.agree(&all, FLEET));
    }
    fleet.write(0, "\"key-of-nobody\"");
    fleet.signal(0, Signal::HUP);
    let kept = |f: &Fleet| state(f.routers[0].as_ref().expect("it runs").at)["settings"]["kept"] == 1;
    fleet.until("refused by the file's name", kept);
    assert!(fleet.agree(&all, FLEET));

    // Told to end: it says so, and needs no votes.
    fleet.signal(3, Signal::TERM);
    fleet
        .until("its word is heard", |f| [0, 1, 2, 4].iter().all(|n| f.standing(*n, 3)["standing"] == "left"));
    let status = fleet.routers[3].as_mut().and_then(|r| r.child.wait().ok());
    assert!(status.is_some_and(|s| s.success()), "it ends by itself");

    // Killed: gone by the votes of several. Parts stay those of as many as the settings name: a view gives
    // nobody more.
    let switched = fleet.switched(0);
    fleet.routers[4] = None;
    fleet.until("the kill is known", |f| f.agree(&[0, 1, 2], FLEET - 2));
    let by = fleet.standing(0, 4)["by"].as_array().map_or(0, Vec::len);
    assert!(by >= 2, "by the votes of {by}");
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(fleet.switched(0), switched);
    assert_eq!(fleet.fleet(0)["datagrams"]["dropped"], serde_json::json!({}));
}
