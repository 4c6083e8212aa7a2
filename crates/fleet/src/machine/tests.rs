//! The machine on a simulated transport.
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

const BEGIN: Micros = 1_000_000_000;

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
    FleetMachine::new(BEGIN, config, u64::from(port))
}

/// Fires what is due by then.
fn pass(fleet: &mut FleetMachine, transport: &mut SimulatedTransport, until: Micros) {
    while let Some((at, wake)) = transport.pop_due(until) {
        fleet.woken(at, transport, wake);
    }
}

// Short of descriptors, or a kernel that takes nothing: the process goes on, and says so.
#[test_case(3, false, 0; "no descriptor for three seconds")]
#[test_case(0, true, 1; "a socket that refuses to send")]
fn goes_on_without_a_socket_or_with_one_that_refuses(no_posts: usize, refuses: bool, least: u64) {
    let mut transport = SimulatedTransport::default();
    transport.failing_datagram_opens = no_posts;
    let (mut fleet, view) = fleet("a", 1, 2, b"a secret of some length");
    fleet.start(BEGIN, &mut transport);
    if refuses {
        transport.blocked.insert(fleet.socket.expect("open"));
    }
    pass(&mut fleet, &mut transport, BEGIN + 10_000_000);
    let page = page(&view.borrow(), BEGIN + 10_000_000);
    assert_eq!(page["live"], 1);
    assert!(page["datagrams"]["not-taken"].as_u64() >= Some(least));
    assert_eq!(transport.datagrams.is_empty(), refuses, "and sends once it can");
}

// Keys are changed while the process runs: what only the old one sealed is dropped from then on.
#[test]
fn datagrams_under_a_replaced_key_are_dropped() {
    let (old, new) = (&b"a secret of some length"[..], &b"another secret as long"[..]);
    let (mut transport, mut others) = (SimulatedTransport::default(), SimulatedTransport::default());
    let ((mut one, view), (mut other, others_view)) = (fleet("a", 1, 2, old), fleet("b", 2, 1, old));
    one.start(BEGIN, &mut transport);
    other.start(BEGIN, &mut others);
    let deliver = |one: &mut FleetMachine,
                   transport: &mut SimulatedTransport,
                   others: &mut SimulatedTransport,
                   at: Micros| {
        for (conn, _, bytes) in std::mem::take(&mut others.datagrams) {
            one.datagram_received(at, transport, conn, &bytes);
        }
    };
    pass(&mut other, &mut others, BEGIN + 1_000_000);
    deliver(&mut one, &mut transport, &mut others, BEGIN + 1_000_000);
    assert_eq!(page(&view.borrow(), BEGIN)["members"].as_array().map(Vec::len), Some(2));
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 2))];
    view.borrow_mut().reconfigure(seeds.clone(), vec![key(new)]);
    pass(&mut other, &mut others, BEGIN + 2_000_000);
    deliver(&mut one, &mut transport, &mut others, BEGIN + 2_000_000);
    let foreign = page(&view.borrow(), BEGIN)["datagrams"]["dropped"]["foreign"].as_u64();
    assert!(foreign >= Some(1));
    others_view.borrow_mut().reconfigure(seeds, vec![key(new)]);
    pass(&mut other, &mut others, BEGIN + 3_000_000);
    deliver(&mut one, &mut transport, &mut others, BEGIN + 3_000_000);
    assert_eq!(page(&view.borrow(), BEGIN)["datagrams"]["dropped"]["foreign"].as_u64(), foreign);
}
