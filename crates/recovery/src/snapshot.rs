//! Snapshots: facts as bytes for a disk that may lose, tear, damage or put back what it was given.
//!
//! A snapshot is `APS1`, the number of its format, the router's digest, the boot that it was written in, when
//! by that boot's clock, then the facts; last a checksum over all of it. It is used as a whole or not at all.
use crate::{Fact, Facts, MAX_SNAPSHOT_BYTES, Micros, SnapshotError};
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 4] = b"APS1";
const FORMAT: u16 = 1;
/// The bytes before the contents: the magic and the format.
const PREFIX_BYTES: usize = 6;
/// The bytes of the checksum: against a disk, not against somebody who forges.
const CHECKSUM_BYTES: usize = 16;

/// One run of the machine's kernel. Its clock counts on within it and says nothing beyond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootId(pub u128);

/// The order of the fields is part of the format.
#[derive(Serialize, Deserialize)]
struct Header {
    router: u64,
    /// None where the kernel does not tell.
    boot: Option<BootId>,
    /// By the clock of that boot, in µs.
    written_at: Micros,
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut sum = [0; CHECKSUM_BYTES];
    sum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES]);
    sum
}

/// A snapshot of the facts that count now, by the router of this digest. `boot_time` is the clock of the
/// boot, in µs, as for [`decode_snapshot`].
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
    // Numbers can always be written.
    bytes = postcard::to_extend(&(header, all), bytes).unwrap_or_default();
    let sum = checksum(&bytes);
    bytes.extend_from_slice(&sum);
    bytes
}

/// The facts of a snapshot that still count. Their ages have grown by the boot's clock since it was written.
/// Of another boot, or where that clock went back, no age can be known, and each fact counts as the oldest
/// that it may be.
///
/// # Errors
/// The snapshot is damaged, too large, of another format or of another router; nothing of it is used.
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
    // Guards against a file that was put back in another boot, or written by a clock that is not this one's.
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
