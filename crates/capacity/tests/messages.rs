//! What hollow routers tell each other in steady state, by counts, at small sizes: each grows as
//! docs/CAPACITY.md states.
#[path = "../../gossip/tests/common/mod.rs"]
mod gossip_fleet;
#[path = "../../membership/tests/common/mod.rs"]
mod membership_fleet;

use applepond_capacity::fit::{Fit, Form};

const ROUTERS: [usize; 5] = [20, 40, 80, 160, 320];
const WATCHED_S: u64 = 10;
/// What each router publishes, and how often.
const PUBLISHED_BYTES: usize = 200;
const PUBLISHED_EACH_S: u64 = 5;
/// How far a fit may be from the largest size, as a part of it.
const FORETOLD_WITHIN: f64 = 0.2;

/// Bytes and messages a second that an instance of membership sends once its fleet has settled.
fn membership(routers: usize) -> [f64; 2] {
    let mut fleet = membership_fleet::SimulatedNetwork::fleet(1, routers, membership_fleet::lossy_link(0.0));
    fleet.run_for(30 * membership_fleet::SECOND);
    let sum = |fleet: &membership_fleet::SimulatedNetwork| {
        let all = fleet.processes.iter().flatten();
        all.fold([0, 0], |[bytes, messages], process| [bytes + process.bytes, messages + process.messages])
    };
    let from = sum(&fleet);
    fleet.run_for(WATCHED_S * membership_fleet::SECOND);
    let to = sum(&fleet);
    [0, 1].map(|n| (to[n] - from[n]) as f64 / routers as f64 / WATCHED_S as f64)
}

/// Bytes a second that an instance of gossip sends while each router publishes.
fn gossip(routers: usize) -> f64 {
    let mut fleet = gossip_fleet::SimulatedNetwork::fleet(1, routers, gossip_fleet::lossy_link(0.0));
    let publish = |fleet: &mut gossip_fleet::SimulatedNetwork| {
        for n in 0..routers {
            let at = fleet.now + PUBLISHED_EACH_S * gossip_fleet::SECOND / routers as u64;
            fleet.run_until(at, |_| false);
            fleet.publish(n, 1, &[n as u8; PUBLISHED_BYTES]);
        }
    };
    publish(&mut fleet);
    let bytes = |fleet: &gossip_fleet::SimulatedNetwork| {
        fleet.processes.iter().flatten().map(|process| process.bytes).sum::<u64>()
    };
    let from = bytes(&fleet);
    publish(&mut fleet);
    (bytes(&fleet) - from) as f64 / routers as f64 / PUBLISHED_EACH_S as f64
}

#[test]
fn membership_grows_little_with_routers() {
    let rows = ROUTERS.map(|routers| (routers as f64, membership(routers)));
    for (n, (what, most_a_router, most)) in
        [("bytes", 3.0, 5_000.0), ("messages", 0.03, 60.0)].into_iter().enumerate()
    {
        let points = rows.map(|(size, row)| (size, row[n]));
        let (fit, miss) = Fit::foretold(Form::Linear, &points);
        assert!(miss <= FORETOLD_WITHIN, "{what}: {fit:?} misses the largest of {points:?} by {miss:.2}");
        assert!(fit.slope <= most_a_router, "{what}: {fit:?}");
        assert!(points.iter().all(|(_, cost)| *cost <= most), "{what}: {points:?}");
    }
}

// The known one that does not fit: it grows with the fleet, so that sums by zone have to take its place.
#[test]
fn gossip_grows_with_routers() {
    let points = ROUTERS.map(|routers| (routers as f64, gossip(routers)));
    let (fit, miss) = Fit::foretold(Form::Linear, &points);
    assert!(miss <= FORETOLD_WITHIN, "{fit:?} misses the largest of {points:?} by {miss:.2}");
    assert!(fit.slope <= 130.0, "{:.0} bytes a second for each router", fit.slope);
}
