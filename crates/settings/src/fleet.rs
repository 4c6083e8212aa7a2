//! The `fleet` block.
use crate::deployment::{ADDRESS_FORMAT, SECOND};
use crate::section::Section;
use applepond_gateway::deployment::{FleetConfig, PrefixCacheConfig};
use applepond_membership::MAX_NAME_BYTES;
use applepond_membership::message::is_valid_name;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Permitted numbers of replicas. With 0 there is no consensus.
const REPLICA_COUNTS: [usize; 4] = [0, 1, 3, 5];
/// Two keys are in use during a key rotation.
const MAX_KEYS: usize = 2;

/// Reads the `fleet` block.
pub(crate) fn fleet(section: &Section<'_>) -> Option<FleetConfig> {
    let name = identifier(section, "name");
    let zone = identifier(section, "zone");
    let listen = listen(section);
    let seeds = seeds(section);
    let key_files = key_files(section);
    let voters = voters(section);
    let votes_file = path(section, "votes");
    let snapshot_file = path(section, "snapshot");
    let is_voter = voters.iter().flatten().any(|voter| Some(voter) == name.as_ref());
    if is_voter && votes_file.is_none() {
        let wanted = "votes = \"FILE\", as votes must survive a restart";
        section.fault(&section.span, "a router in keepers without a file for its votes", wanted);
    }
    if votes_file.is_some() && votes_file == snapshot_file {
        section.fault(
            &section.span_of("snapshot"),
            "the same file for votes and snapshot",
            "two different files",
        );
    }
    let prefix_cache = section.block("openings").map(|block| {
        let prefix_cache = prefix_cache(&block);
        block.report_unknown();
        prefix_cache
    });
    if prefix_cache.is_some() && voters.iter().flatten().next().is_none() {
        let wanted = "keepers = [...], which agree on the list of openings";
        section.fault(&section.span, "openings without keepers", wanted);
    }
    let bootstrap_epoch = section.integer("founding", 1..1 << 32, Some(1));
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

/// Reads the name or the zone of a router, which other routers write to their logs.
fn identifier(section: &Section<'_>, key: &str) -> Option<String> {
    let text = section.string(key, None)?;
    let is_valid = is_valid_name(&text);
    if !is_valid {
        let wanted = format!("1 to {MAX_NAME_BYTES} printable characters without spaces");
        section.fault(&section.span_of(key), format!("{key} = {text:?}"), wanted);
    }
    is_valid.then_some(text)
}

fn listen(section: &Section<'_>) -> Option<SocketAddr> {
    let listen: Option<SocketAddr> = section.parsed("listen", ADDRESS_FORMAT, None);
    if listen.is_some_and(|at| at.port() == 0 || at.ip().is_unspecified()) {
        let wanted = "the address and port at which the other routers reach this one";
        section.fault(&section.span_of("listen"), "a listen address that others cannot reach", wanted);
    }
    listen
}

fn seeds(section: &Section<'_>) -> Option<Vec<SocketAddr>> {
    let texts = section.strings("seeds", None)?;
    let addresses: Vec<Option<SocketAddr>> = texts.iter().map(|text| text.parse().ok()).collect();
    for (text, _) in texts.iter().zip(&addresses).filter(|(_, address)| address.is_none()) {
        section.fault(&section.span_of("seeds"), format!("seed \"{text}\""), ADDRESS_FORMAT);
    }
    if texts.is_empty() {
        let wanted = "at least one address; for a new fleet, that of this router";
        section.fault(&section.span_of("seeds"), "no seed", wanted);
    }
    addresses.into_iter().collect()
}

fn key_files(section: &Section<'_>) -> Option<Vec<PathBuf>> {
    let files = section.strings("key_files", None)?;
    if files.is_empty() || files.len() > MAX_KEYS {
        let wanted = "one key file, or two during a key rotation";
        section.fault(&section.span_of("key_files"), "no key, or more than two", wanted);
    }
    Some(files.into_iter().map(PathBuf::from).collect())
}

fn voters(section: &Section<'_>) -> Option<Vec<String>> {
    let voters = section.strings("keepers", Some(Vec::new()))?;
    let repeated = (1..voters.len()).any(|index| voters[..index].contains(&voters[index]));
    if !REPLICA_COUNTS.contains(&voters.len()) || repeated {
        let found = format!("{} keepers: {}", voters.len(), voters.join(", "));
        let wanted = "the names of one, three or five routers, each once";
        section.fault(&section.span_of("keepers"), found, wanted);
    }
    Some(voters)
}

fn path(section: &Section<'_>, key: &'static str) -> Option<PathBuf> {
    section.string(key, Some("")).filter(|_| section.has(key)).map(PathBuf::from)
}

fn prefix_cache(section: &Section<'_>) -> Option<PrefixCacheConfig> {
    let prepare_time = section.time("prepare", None);
    let pinned_units = section.integer("memory", 1..1 << 32, None);
    let price = section.number("price", 0.0..1e9, Some(0.0));
    let retention = section.time("keeps", Some(10 * SECOND));
    Some(PrefixCacheConfig {
        prepare_time: prepare_time?,
        pinned_units: pinned_units?,
        price: price?,
        retention: retention?,
    })
}
