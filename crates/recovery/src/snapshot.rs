//! A snapshot: facts as bytes for a disk that may lose, tear, bend or put back what it was given.
//!
//! `APS1`, the form, the router's digest, the boot it was written in, when by that boot's clock, then the
//! facts; last a checksum over all of it. It is used whole or not at all.
use crate::{Fact, Facts, MAX_SNAPSHOT_BYTES, Micros, SnapshotError};
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 4] = b"APS1";
const FORM: u16 = 1;
/// Bytes of the checksum: against a disk, not against somebody who forges.
const SUM: usize = 16;

/// One run of the machine's kernel: its clock counts on within it and says nothing beyond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootId(pub u128);

#[derive(Serialize, Deserialize)]
struct Head {
    router: u64,
    /// None where the kernel does not tell.
    boot: Option<BootId>,
    at: Micros,
}

fn sum(bytes: &[u8]) -> [u8; SUM] {
    let mut sum = [0; SUM];
    sum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..SUM]);
    sum
}

/// The facts as they stand, for the router of this digest. `at` is the boot's own clock, as `read`'s.
pub fn encode_snapshot(router: u64, boot: Option<BootId>, at: Micros, now: Micros, facts: &Facts) -> Vec<u8> {
    let all: Vec<Fact> = facts.iter(now).collect();
    let head = Head { router, boot, at };
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORM.to_le_bytes());
    // Numbers always can be written.
    bytes = postcard::to_extend(&(head, all), bytes).unwrap_or_default();
    let sum = sum(&bytes);
    bytes.extend_from_slice(&sum);
    bytes
}

/// What a snapshot still says. Ages grow by the boot's clock since it was written; of another boot, or where
/// that clock went back, no age can be known, and each fact counts as the oldest that it may be.
pub fn decode_snapshot(
    router: u64,
    boot: Option<BootId>,
    at: Micros,
    bytes: &[u8],
) -> Result<Vec<Fact>, SnapshotError> {
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge(bytes.len()));
    }
    let [b'A', b'P', b'S', b'1', low, high, ..] = bytes else { return Err(SnapshotError::Corrupt) };
    let Some(body) = bytes.len().checked_sub(SUM).filter(|n| *n >= 6) else {
        return Err(SnapshotError::Corrupt);
    };
    if sum(&bytes[..body]) != bytes[body..] {
        return Err(SnapshotError::Corrupt);
    }
    let form = u16::from_le_bytes([*low, *high]);
    if form != FORM {
        return Err(SnapshotError::UnsupportedFormat(form));
    }
    let (head, all): (Head, Vec<Fact>) = match postcard::take_from_bytes(&bytes[6..body]) {
        Ok((read, [])) => read,
        _ => return Err(SnapshotError::Corrupt),
    };
    if head.router != router {
        return Err(SnapshotError::WrongRouter);
    }
    // Guards against a file that was put back in another boot, or written by a clock that is not this one's.
    let since = match (head.boot, boot) {
        (Some(then), Some(now)) if then == now => at.checked_sub(head.at),
        _ => None,
    };
    Ok(all
        .into_iter()
        .filter(|f| f.value.is_finite())
        .map(|f| match since {
            Some(since) => Fact { age: f.age.saturating_add(since), ..f },
            None => f.with_unknown_age(),
        })
        .filter(|f| f.weight() > 0.0)
        .collect())
}
