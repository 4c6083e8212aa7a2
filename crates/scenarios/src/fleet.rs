//! Settings by which the routers of a drill know of each other.
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;

/// The block by which a router knows of the others.
pub fn fleet_block(n: usize, ports: &[SocketAddr], key: &Path) -> String {
    format!(
        "fleet {{\n name = \"r{n}\"\n zone = \"z{}\"\n listen = \"{}\"\n seeds = [\"{}\", \"{}\"]\n\
         key_files = [\"{}\"]\n}}\n",
        n % 2,
        ports[n],
        ports[0],
        ports[ports.len().min(2) - 1],
        key.display()
    )
}

/// Settings of one router of a fleet whose state page is all that is asked of it.
pub fn settings(n: usize, ports: &[SocketAddr], key: &Path) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nzones = [\"a\"]\nrouters = {}\n\
         rules {{\n cold_share = 0.2\n warm_within = \"10s\"\n fall_multiple = 2\n fall_span = \"1s\"\n}}\n\
         workload \"book\" {{\n types = [\"book\"]\n effect = \"run-once\"\n start_target = \"5s\"\n\
         time_limit = \"15s\"\n}}\nworker \"w1\" {{\n address = \"127.0.0.1:9\"\n}}\n{}",
        ports.len(),
        fleet_block(n, ports, key)
    )
}

/// A loopback address that no other process that runs asks for ports on: they are free for a moment before
/// routers take them, and another drill's routers would take some of them.
fn own_address() -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | a & 63, b, c)
}

/// Free ports for so many.
pub fn ports(many: usize) -> std::io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..many).map(|_| UdpSocket::bind((own_address(), 0))).collect::<Result<_, _>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}
