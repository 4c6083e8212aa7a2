//! Settings by which the routers of a scenario form a fleet.
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;

/// The `fleet` block of a router.
pub fn fleet_block(index: usize, ports: &[SocketAddr], key: &Path) -> String {
    format!(
        "fleet {{\n name = \"r{index}\"\n zone = \"z{}\"\n listen = \"{}\"\n seeds = [\"{}\", \"{}\"]\n\
         key_files = [\"{}\"]\n}}\n",
        index % 2,
        ports[index],
        ports[0],
        ports[ports.len().min(2) - 1],
        key.display()
    )
}

/// Settings of one router of a fleet whose state page is all that is asked of it.
pub fn settings(index: usize, ports: &[SocketAddr], key: &Path) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nzones = [\"a\"]\nrouters = {}\n\
         rules {{\n cold_share = 0.2\n warm_within = \"10s\"\n fall_multiple = 2\n fall_span = \"1s\"\n}}\n\
         workload \"book\" {{\n types = [\"book\"]\n effect = \"run-once\"\n start_target = \"5s\"\n\
         time_limit = \"15s\"\n}}\nworker \"w1\" {{\n address = \"127.0.0.1:9\"\n}}\n{}",
        ports.len(),
        fleet_block(index, ports, key)
    )
}

/// A loopback address on which no other running process asks for ports: they are free for a moment before
/// routers bind them, and another scenario's routers would take some of them.
fn own_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high & 63, middle, low)
}

/// Free UDP ports for so many routers.
///
/// # Errors
/// The kernel has none.
pub fn ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((own_address(), 0))).collect::<Result<_, _>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}
