//! Tests of the fleet machine on a simulated transport.
use super::{FleetMachine, FleetMachineConfig, FleetView};
use crate::envelope::FleetKey;
use crate::page;
use applepond_fakes::simulated_transport::SimulatedTransport;
use applepond_membership::Safeguards;
use applepond_reactor::{Machine, Micros};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use test_case::test_case;

const START: Micros = 1_000_000_000;

fn key(secret: &[u8]) -> FleetKey {
    FleetKey::from_secret(secret).expect("long enough")
}

fn fleet(name: &str, port: u16, seed: u16, secret: &[u8]) -> (FleetMachine, Rc<RefCell<FleetView>>) {
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let config = FleetMachineConfig {
        name: name.to_owned(),
        zone: "z".to_owned(),
        listen: at(port),
        seeds: vec![at(seed)],
        keys: vec![key(secret)],
        proxy: None,
        safeguards: Safeguards::ALL,
    };
    FleetMachine::new(START, config, u64::from(port))
}

/// Fires all timers due until `until`.
fn run_until(fleet: &mut FleetMachine, transport: &mut SimulatedTransport, until: Micros) {
    while let Some((at, timer)) = transport.pop_due(until) {
        fleet.timer_fired(at, transport, timer);
    }
}

// The port cannot be opened for lack of descriptors, or the kernel accepts no datagram: the machine keeps
// running, counts what was not sent, and sends once it can.
#[test_case(3, false, 0; "no descriptor for three seconds")]
#[test_case(0, true, 1; "a socket that refuses to send")]
fn survives_a_missing_or_refusing_socket(failed_opens: usize, refuses: bool, min_unsent: u64) {
    let mut transport = SimulatedTransport::default();
    transport.failing_datagram_opens = failed_opens;
    let (mut fleet, view) = fleet("a", 1, 2, b"a secret of some length");
    fleet.start(START, &mut transport);
    if refuses {
        transport.blocked.insert(fleet.socket.expect("open"));
    }
    run_until(&mut fleet, &mut transport, START + 10_000_000);
    let page = page(&view.borrow(), START + 10_000_000);
    assert_eq!(page["live"], 1);
    assert!(page["datagrams"]["not-taken"].as_u64() >= Some(min_unsent));
    assert_eq!(transport.datagrams.is_empty(), refuses, "datagrams are sent unless the kernel refuses them");
}

// After a key is replaced at run time, datagrams sealed with the old key are dropped.
#[test]
fn datagrams_under_a_replaced_key_are_dropped() {
    let (old, new) = (&b"a secret of some length"[..], &b"another secret as long"[..]);
    let (mut transport, mut peer_transport) = (SimulatedTransport::default(), SimulatedTransport::default());
    let ((mut local, view), (mut peer, peer_view)) = (fleet("a", 1, 2, old), fleet("b", 2, 1, old));
    local.start(START, &mut transport);
    peer.start(START, &mut peer_transport);
    let deliver = |local: &mut FleetMachine,
                   transport: &mut SimulatedTransport,
                   peer_transport: &mut SimulatedTransport,
                   at: Micros| {
        for (conn, _, bytes) in std::mem::take(&mut peer_transport.datagrams) {
            local.datagram_received(at, transport, conn, &bytes);
        }
    };
    run_until(&mut peer, &mut peer_transport, START + 1_000_000);
    deliver(&mut local, &mut transport, &mut peer_transport, START + 1_000_000);
    assert_eq!(page(&view.borrow(), START)["members"].as_array().map(Vec::len), Some(2));
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 2))];
    view.borrow_mut().reconfigure(seeds.clone(), vec![key(new)]);
    run_until(&mut peer, &mut peer_transport, START + 2_000_000);
    deliver(&mut local, &mut transport, &mut peer_transport, START + 2_000_000);
    let foreign = page(&view.borrow(), START)["datagrams"]["dropped"]["foreign"].as_u64();
    assert!(foreign >= Some(1));
    peer_view.borrow_mut().reconfigure(seeds, vec![key(new)]);
    run_until(&mut peer, &mut peer_transport, START + 3_000_000);
    deliver(&mut local, &mut transport, &mut peer_transport, START + 3_000_000);
    assert_eq!(page(&view.borrow(), START)["datagrams"]["dropped"]["foreign"].as_u64(), foreign);
}
