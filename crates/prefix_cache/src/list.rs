//! The list of pinned prefixes that the routers agree on.
use crate::PrefixId;
use crate::config::{LEASE_DURATION, MAX_PINS};
use crate::error::DecodeError;
use applepond::interface::Micros;
use serde::{Deserialize, Serialize};

/// One pinned prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pin {
    /// The prefix.
    pub id: PrefixId,
    /// Its size, in units of the model.
    pub size: u32,
}

/// The agreed list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinList {
    /// The pinned prefixes.
    pub pins: Vec<Pin>,
}

impl PinList {
    /// Encodes the list.
    pub fn write(&self) -> Vec<u8> {
        // Encoding numbers does not fail.
        postcard::to_stdvec(&self.pins).unwrap_or_default()
    }

    /// Decodes an agreed list. No bytes mean that nothing has been agreed on yet, and give an empty list.
    ///
    /// # Errors
    ///
    /// If the bytes cannot be decoded, or the list is too long.
    pub fn read(bytes: &[u8]) -> Result<PinList, DecodeError> {
        if bytes.is_empty() {
            return Ok(PinList::default());
        }
        match postcard::take_from_bytes::<Vec<Pin>>(bytes) {
            Ok((pins, [])) if pins.len() <= MAX_PINS => Ok(PinList { pins }),
            _ => Err(DecodeError::InvalidList),
        }
    }

    /// Duration in µs of the lease that travels with a request that has this prefix: for so long its worker
    /// may keep the prefix pinned. `valid_until`: until when the list is valid here; to be looked at when the
    /// request is written.
    pub fn lease_duration(&self, now: Micros, valid_until: Micros, id: PrefixId) -> Option<Micros> {
        // Guards against a list that is not valid any more: another one may have been agreed on.
        let is_valid = now < valid_until;
        (is_valid && self.pins.iter().any(|pin| pin.id == id)).then_some(LEASE_DURATION)
    }
}
