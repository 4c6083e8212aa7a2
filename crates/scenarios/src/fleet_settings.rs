//! Settings of routers that form a fleet.
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;

/// Renders the `fleet` block of a router.
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

/// Renders the settings of a router of which only the state page is used.
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

/// Returns a loopback address derived from the process id. Ports are free for a moment before the routers
/// bind them; on a shared address the routers of a scenario in another process could take them.
fn process_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high & 63, middle, low)
}

/// Returns `count` free UDP ports.
///
/// # Errors
/// Returns an error if the kernel has no free port.
pub fn ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((process_address(), 0))).collect::<Result<_, _>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}
