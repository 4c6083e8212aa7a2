//! Scheduled retries, by the request that was rejected, and whether clients follow the schedule.
//!
//! The table has a bounded size and one slot for an id: two ids that share a slot drop the older schedule,
//! and a request without a schedule counts as one that follows. An error is thus in the client's favour.
use crate::{Micros, mix};

/// Slots of the table: with 5,000 retries scheduled at a time one in seven is dropped, none is taken for
/// another.
const SLOTS: usize = 1 << 15;

/// Time in µs that a retry may come early: waits are sent in whole ms.
const EARLY_TOLERANCE: Micros = 10_000;

/// Time in µs after the scheduled time for which a retry still counts as following it. Later it is only a
/// request that was seen before.
const LATE_TOLERANCE: Micros = 5_000_000;

/// Salt of the hash that maps ids to slots.
const SLOT_SEED: u64 = 29;

/// When a request arrives, compared with its schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTiming {
    /// No schedule is known for it.
    Unscheduled,
    /// It came when it was told to.
    OnTime,
    /// It came before its time.
    Early,
}

#[derive(Clone, Copy, Default)]
struct Slot {
    id: u64,
    /// Time of the retry; zero in a free slot.
    due: Micros,
}

/// The table of scheduled retries.
pub(crate) struct ScheduledRetries(Vec<Slot>);

impl Default for ScheduledRetries {
    fn default() -> Self {
        ScheduledRetries(vec![Slot::default(); SLOTS])
    }
}

impl ScheduledRetries {
    fn slot(id: u64) -> usize {
        mix(SLOT_SEED, id) as usize % SLOTS
    }

    /// The request was told to come back at `due`.
    pub(crate) fn schedule(&mut self, id: u64, due: Micros) {
        self.0[Self::slot(id)] = Slot { id, due };
    }

    /// The request arrives. Its schedule is removed unless it comes early.
    pub(crate) fn observe(&mut self, now: Micros, id: u64) -> RetryTiming {
        let slot = &mut self.0[Self::slot(id)];
        if slot.id != id || slot.due == 0 {
            return RetryTiming::Unscheduled;
        }
        if now + EARLY_TOLERANCE < slot.due {
            return RetryTiming::Early;
        }
        let is_on_time = now <= slot.due + LATE_TOLERANCE;
        *slot = Slot::default();
        if is_on_time { RetryTiming::OnTime } else { RetryTiming::Unscheduled }
    }
}

#[cfg(test)]
mod tests;
