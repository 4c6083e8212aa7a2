//! What a scenario sets up before its routers start.
use applepond_scenarios::fleet_settings::ports;
use std::net::UdpSocket;

// Ports are free for a moment before routers take them: another drill that is given the same ones meanwhile
// has them at an address of its own.
#[test]
fn ports_that_another_drill_is_given_too() {
    let own = ports(12).expect("ports");
    let others: Vec<UdpSocket> =
        own.iter().filter_map(|at| UdpSocket::bind(("127.0.0.1", at.port())).ok()).collect();
    assert!(!others.is_empty(), "none of them could be taken at another address");
    for at in own {
        UdpSocket::bind(at).expect("still free for its router");
    }
}
