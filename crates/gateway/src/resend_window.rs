//! Until when a keyed request may be sent again if an attempt of it may have been executed: as long as its
//! workers recognise the repeat, counted from the first such attempt.
use applepond::interface::{Micros, RetrySafety};

/// Time kept back before the end of a key's window, for the way to the worker.
pub(crate) const RESEND_MARGIN: Micros = 50_000;

/// Until when a request may be sent again whose first attempt that may have been executed was sent at
/// `first_sent_at`. `None` if it is not keyed, so that no window limits it.
pub(crate) fn resend_until(retry_safety: RetrySafety, first_sent_at: Micros) -> Option<Micros> {
    match retry_safety {
        RetrySafety::Keyed { window, .. } => Some((first_sent_at + window).saturating_sub(RESEND_MARGIN)),
        RetrySafety::Idempotent | RetrySafety::AtMostOnce => None,
    }
}
