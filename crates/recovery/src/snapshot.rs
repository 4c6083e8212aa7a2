//! Encoding of snapshots. The disk may lose, truncate, corrupt or roll back what was written.
//!
//! A snapshot consists of the magic `APS1`, the format version, the router's digest, the boot id, the time by
//! the clock of that boot, the facts, and a checksum over all of it. It is used completely or not at all.
use crate::{Fact, Facts, MAX_SNAPSHOT_BYTES, Micros, SnapshotError};
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 4] = b"APS1";
const FORMAT: u16 = 1;
/// The size of the magic and the format version, which precede the contents.
const PREFIX_BYTES: usize = 6;
/// The size of the checksum. It detects disk errors, not tampering.
const CHECKSUM_BYTES: usize = 16;

/// Identifies one boot of the machine. Times of the boot clock can only be compared within the same boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootId(pub u128);

/// The order of the fields is part of the snapshot format.
#[derive(Serialize, Deserialize)]
struct Header {
    router: u64,
    /// `None` if the kernel does not provide a boot id.
    boot: Option<BootId>,
    /// The time by the boot clock, in µs.
    written_at: Micros,
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut sum = [0; CHECKSUM_BYTES];
    sum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES]);
    sum
}

/// Encodes a snapshot of the facts with weight. `router` is the digest of this router; `boot_time` is the
/// current time of the boot clock in µs, as for [`decode_snapshot`].
pub fn encode_snapshot(
    router: u64,
    boot: Option<BootId>,
    boot_time: Micros,
    now: Micros,
    facts: &Facts,
) -> Vec<u8> {
    let all: Vec<Fact> = facts.iter(now).collect();
    let header = Header { router, boot, written_at: boot_time };
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    // Encoding cannot fail for these types.
    bytes = postcard::to_extend(&(header, all), bytes).unwrap_or_default();
    let sum = checksum(&bytes);
    bytes.extend_from_slice(&sum);
    bytes
}

/// Decodes the facts of a snapshot that still have weight. Their ages are advanced by the time since the
/// snapshot was written. If it was written in another boot, or the boot clock went backwards, the ages are
/// unknown and each fact is treated as old as it can be.
///
/// # Errors
/// The snapshot is damaged, too large, or of another format or router. Nothing of it is used.
pub fn decode_snapshot(
    router: u64,
    boot: Option<BootId>,
    boot_time: Micros,
    bytes: &[u8],
) -> Result<Vec<Fact>, SnapshotError> {
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge(bytes.len()));
    }
    let (header, facts) = decode_contents(bytes)?;
    if header.router != router {
        return Err(SnapshotError::WrongRouter);
    }
    // The elapsed time is only known within one boot: the file may have been restored after a reboot, or
    // written under another clock.
    let elapsed = match (header.boot, boot) {
        (Some(then), Some(now)) if then == now => boot_time.checked_sub(header.written_at),
        _ => None,
    };
    let aged = |fact: Fact| match elapsed {
        Some(elapsed) => Fact { age: fact.age.saturating_add(elapsed), ..fact },
        None => fact.with_unknown_age(),
    };
    let finite = facts.into_iter().filter(|fact| fact.value.is_finite());
    Ok(finite.map(aged).filter(|fact| fact.weight() > 0.0).collect())
}

fn decode_contents(bytes: &[u8]) -> Result<(Header, Vec<Fact>), SnapshotError> {
    let [b'A', b'P', b'S', b'1', low, high, ..] = bytes else { return Err(SnapshotError::Corrupt) };
    let end = bytes.len().checked_sub(CHECKSUM_BYTES).filter(|end| *end >= PREFIX_BYTES);
    let Some(end) = end else { return Err(SnapshotError::Corrupt) };
    if checksum(&bytes[..end]) != bytes[end..] {
        return Err(SnapshotError::Corrupt);
    }
    let format = u16::from_le_bytes([*low, *high]);
    if format != FORMAT {
        return Err(SnapshotError::UnsupportedFormat(format));
    }
    match postcard::take_from_bytes(&bytes[PREFIX_BYTES..end]) {
        Ok((contents, [])) => Ok(contents),
        _ => Err(SnapshotError::Corrupt),
    }
}
