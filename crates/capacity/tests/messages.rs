//! Traffic between routers in steady state, counted in small simulated fleets. It must grow with the number
//! of routers as docs/CAPACITY.md states.
#[path = "../../gossip/tests/common/mod.rs"]
mod gossip_fleet;
#[path = "../../membership/tests/common/mod.rs"]
mod membership_fleet;

use applepond_capacity::fit::{Fit, Form};

const ROUTERS: [usize; 5] = [20, 40, 80, 160, 320];
const MEASURED_S: u64 = 10;
/// Size of the entry that each router publishes, and the interval between two entries.
const ENTRY_BYTES: usize = 200;
const PUBLISH_INTERVAL_S: u64 = 5;
/// Limit of the relative error of a fit to the smaller sizes at the largest size.
const MAX_EXTRAPOLATION_ERROR: f64 = 0.2;

/// Bytes and messages per second that one membership instance sends in steady state.
fn membership(routers: usize) -> [f64; 2] {
    let mut fleet = membership_fleet::SimulatedNetwork::fleet(1, routers, membership_fleet::lossy_link(0.0));
    fleet.run_for(30 * membership_fleet::SECOND);
    let sum = |fleet: &membership_fleet::SimulatedNetwork| {
        let all = fleet.processes.iter().flatten();
        all.fold([0, 0], |[bytes, messages], process| [bytes + process.bytes, messages + process.messages])
    };
    let from = sum(&fleet);
    fleet.run_for(MEASURED_S * membership_fleet::SECOND);
    let to = sum(&fleet);
    [0, 1].map(|n| (to[n] - from[n]) as f64 / routers as f64 / MEASURED_S as f64)
}

/// Bytes per second that one gossip instance sends while every router publishes.
fn gossip(routers: usize) -> f64 {
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
        fleet.processes.iter().flatten().map(|process| process.bytes).sum::<u64>()
    };
    let from = bytes(&fleet);
    publish(&mut fleet);
    (bytes(&fleet) - from) as f64 / routers as f64 / PUBLISH_INTERVAL_S as f64
}

#[test]
fn membership_traffic_grows_slowly_with_routers() {
    let rows = ROUTERS.map(|routers| (routers as f64, membership(routers)));
    for (n, (what, max_slope, max_cost)) in
        [("bytes", 3.0, 5_000.0), ("messages", 0.03, 60.0)].into_iter().enumerate()
    {
        let points = rows.map(|(size, row)| (size, row[n]));
        let (fit, error) = Fit::extrapolate(Form::Linear, &points);
        assert!(
            error <= MAX_EXTRAPOLATION_ERROR,
            "{what}: {fit:?} is off by {error:.2} at the largest of {points:?}"
        );
        assert!(fit.slope <= max_slope, "{what}: {fit:?}");
        assert!(points.iter().all(|(_, cost)| *cost <= max_cost), "{what}: {points:?}");
    }
}

// This is known not to scale: traffic per router grows in proportion to the fleet. Totals per zone have to
// replace the entries of single routers.
#[test]
fn gossip_traffic_grows_linearly_with_routers() {
    let points = ROUTERS.map(|routers| (routers as f64, gossip(routers)));
    let (fit, error) = Fit::extrapolate(Form::Linear, &points);
    assert!(error <= MAX_EXTRAPOLATION_ERROR, "{fit:?} is off by {error:.2} at the largest of {points:?}");
    assert!(fit.slope <= 130.0, "{:.0} bytes per second for each router in the fleet", fit.slope);
}
