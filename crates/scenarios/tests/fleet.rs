//! Setup of a scenario before its routers start.
use applepond_scenarios::fleet_settings::ports;
use std::net::UdpSocket;

// Ports are free for a moment before the routers bind them. A scenario in another process may get the same
// port numbers in that time; both can bind them because each process uses its own loopback address.
#[test]
fn ports_are_free_although_another_process_has_the_same_numbers() {
    let own = ports(12).expect("ports");
    let others: Vec<UdpSocket> =
        own.iter().filter_map(|at| UdpSocket::bind(("127.0.0.1", at.port())).ok()).collect();
    assert!(!others.is_empty(), "no port could be bound at another address");
    for at in own {
        UdpSocket::bind(at).expect("still free for the router");
    }
}
