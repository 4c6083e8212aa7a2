//! Table of scheduled retries by request id, to tell whether clients follow their schedule.
//!
//! The table is a hash table of fixed size without collision handling: a new schedule replaces the one in
//! its slot. A request without a known schedule is never regarded as early, so errors are in the client's
//! favour.
use crate::{Micros, mix};

/// With 5,000 retries scheduled at a time, one in seven is lost to a collision; ids are compared, so that
/// none is mistaken for another.
const SLOTS: usize = 1 << 15;

/// Time in µs by which a retry may be early: waits are sent in whole milliseconds.
const EARLY_TOLERANCE_US: Micros = 10_000;

/// Time in µs after the scheduled time within which a retry is still on time. Later it is treated as
/// unscheduled.
const LATE_TOLERANCE_US: Micros = 5_000_000;

/// Salt of the hash that maps ids to slots.
const SLOT_SEED: u64 = 29;

/// Arrival of a request relative to its scheduled retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTiming {
    /// No schedule is known for it.
    Unscheduled,
    /// It arrived at its scheduled time.
    OnTime,
    /// It arrived before its scheduled time.
    Early,
}

#[derive(Clone, Copy, Default)]
struct Slot {
    id: u64,
    /// Scheduled time of the retry; zero in a free slot.
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

    /// Schedules the retry of a request for `due`.
    pub(crate) fn schedule(&mut self, id: u64, due: Micros) {
        self.0[Self::slot(id)] = Slot { id, due };
    }

    /// Compares the arrival of a request with its schedule, which is removed unless the request is early.
    pub(crate) fn observe(&mut self, now: Micros, id: u64) -> RetryTiming {
        let slot = &mut self.0[Self::slot(id)];
        if slot.id != id || slot.due == 0 {
            return RetryTiming::Unscheduled;
        }
        if now + EARLY_TOLERANCE_US < slot.due {
            return RetryTiming::Early;
        }
        let is_on_time = now <= slot.due + LATE_TOLERANCE_US;
        *slot = Slot::default();
        if is_on_time { RetryTiming::OnTime } else { RetryTiming::Unscheduled }
    }
}

#[cfg(test)]
mod tests;
