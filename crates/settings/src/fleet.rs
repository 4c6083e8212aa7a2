//! The `fleet` block.
use crate::deployment::{ADDRESS, SECOND};
use crate::section::Section;
use applepond_gateway::deployment::{FleetConfig, PrefixCacheConfig};
use applepond_membership::MAX_NAME_BYTES;
use applepond_membership::message::is_valid_name;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How many replicas an agreement may have; none: nothing is agreed on.
const REPLICA_COUNTS: [usize; 4] = [0, 1, 3, 5];
/// Limit of keys: two during a change of keys.
const MAX_KEYS: usize = 2;

/// Reads the block; long as it names each key twice.
pub(crate) fn fleet(section: &Section<'_>) -> Option<FleetConfig> {
    let name = identifier(section, "name");
    let zone = identifier(section, "zone");
    let listen = listen(section);
    let seeds = seeds(section);
    let key_files = key_files(section);
    let voters = voters(section);
    let votes_file = path(section, "votes");
    let snapshot_file = path(section, "snapshot");
    let votes = voters.iter().flatten().any(|voter| Some(voter) == name.as_ref());
    if votes && votes_file.is_none() {
        let wanted = "votes = \"FILE\": a keeper's vote outlasts its process";
        section.fault(&section.place, "a keeper without a file for its vote", wanted);
    }
    if votes_file.is_some() && votes_file == snapshot_file {
        section.fault(&section.place_of("snapshot"), "one file for votes and snapshot", "two files");
    }
    let prefix_cache = section.block("openings").map(|block| {
        let prefix_cache = prefix_cache(&block);
        block.done();
        prefix_cache
    });
    if prefix_cache.is_some() && voters.iter().flatten().next().is_none() {
        let wanted = "keepers = [...]: the list is agreed on";
        section.fault(&section.place, "openings without keepers", wanted);
    }
    let bootstrap_epoch = section.whole_number("founding", 1..1 << 32, Some(1));
    Some(FleetConfig {
        name: name?,
        zone: zone?,
        listen: listen?,
        seeds: seeds?,
        key_files: key_files?,
        voters: voters?,
        votes_file,
        bootstrap_epoch: bootstrap_epoch?,
        snapshot_file,
        prefix_cache: match prefix_cache {
            Some(prefix_cache) => Some(prefix_cache?),
            None => None,
        },
    })
}

/// A name or a zone of a router: what others read of it in their own logs.
fn identifier(section: &Section<'_>, key: &str) -> Option<String> {
    let text = section.text(key, None)?;
    let is_valid = is_valid_name(&text);
    if !is_valid {
        let wanted = format!("1 to {MAX_NAME_BYTES} printed characters, no blanks");
        section.fault(&section.place_of(key), format!("{key} = {text:?}"), wanted);
    }
    is_valid.then_some(text)
}

fn listen(section: &Section<'_>) -> Option<SocketAddr> {
    let listen: Option<SocketAddr> = section.parsed("listen", ADDRESS, None);
    if listen.is_some_and(|at| at.port() == 0 || at.ip().is_unspecified()) {
        let wanted = "the address and port at which the other routers reach this one";
        section.fault(&section.place_of("listen"), "a listen that others cannot reach", wanted);
    }
    listen
}

fn seeds(section: &Section<'_>) -> Option<Vec<SocketAddr>> {
    let texts = section.texts("seeds", None)?;
    let addresses: Vec<Option<SocketAddr>> = texts.iter().map(|text| text.parse().ok()).collect();
    for (text, _) in texts.iter().zip(&addresses).filter(|(_, address)| address.is_none()) {
        section.fault(&section.place_of("seeds"), format!("seed \"{text}\""), ADDRESS);
    }
    if texts.is_empty() {
        let wanted = "at least one; this router's own begins a fleet";
        section.fault(&section.place_of("seeds"), "no seed", wanted);
    }
    addresses.into_iter().collect()
}

fn key_files(section: &Section<'_>) -> Option<Vec<PathBuf>> {
    let files = section.texts("key_files", None)?;
    if files.is_empty() || files.len() > MAX_KEYS {
        let wanted = "one, or two during a change of keys";
        section.fault(&section.place_of("key_files"), "no key, or more than two", wanted);
    }
    Some(files.into_iter().map(PathBuf::from).collect())
}

fn voters(section: &Section<'_>) -> Option<Vec<String>> {
    let voters = section.texts("keepers", Some(Vec::new()))?;
    let repeated = (1..voters.len()).any(|index| voters[..index].contains(&voters[index]));
    if !REPLICA_COUNTS.contains(&voters.len()) || repeated {
        let found = format!("{} keepers: {}", voters.len(), voters.join(", "));
        let wanted = "the names of one, three or five routers, each once";
        section.fault(&section.place_of("keepers"), found, wanted);
    }
    Some(voters)
}

fn path(section: &Section<'_>, key: &'static str) -> Option<PathBuf> {
    section.text(key, Some("")).filter(|_| section.has(key)).map(PathBuf::from)
}

fn prefix_cache(section: &Section<'_>) -> Option<PrefixCacheConfig> {
    let prepare_time = section.time("prepare", None);
    let pinned_units = section.whole_number("memory", 1..1 << 32, None);
    let price = section.number("price", 0.0..1e9, Some(0.0));
    let retention = section.time("keeps", Some(10 * SECOND));
    Some(PrefixCacheConfig {
        prepare_time: prepare_time?,
        pinned_units: pinned_units?,
        price: price?,
        retention: retention?,
    })
}
