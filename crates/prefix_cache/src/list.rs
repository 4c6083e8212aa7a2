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
    /// Size of the prefix, in units of the model.
    pub size: u32,
}

/// The list of pinned prefixes.
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

    /// Decodes an agreed list. An empty slice, the initial agreed value, decodes to an empty list.
    ///
    /// # Errors
    ///
    /// If the bytes cannot be decoded, or the list has more than [`MAX_PINS`] pins.
    pub fn read(bytes: &[u8]) -> Result<PinList, DecodeError> {
        if bytes.is_empty() {
            return Ok(PinList::default());
        }
        match postcard::take_from_bytes::<Vec<Pin>>(bytes) {
            Ok((pins, [])) if pins.len() <= MAX_PINS => Ok(PinList { pins }),
            _ => Err(DecodeError::InvalidList),
        }
    }

    /// Duration in µs for which the worker of a request with this prefix may keep the prefix pinned; `None`
    /// if the prefix is not pinned or the list has expired.
    ///
    /// `valid_until` is the end of the list's validity at this router. Call this when the request is sent.
    pub fn lease_duration(&self, now: Micros, valid_until: Micros, id: PrefixId) -> Option<Micros> {
        // After the list has expired, a different one may have been agreed on.
        let is_valid = now < valid_until;
        (is_valid && self.pins.iter().any(|pin| pin.id == id)).then_some(LEASE_DURATION)
    }
}
