//! Schedule for the retries of rejected requests: each gets a slot of its own in a queue that advances at
//! the rate at which there is capacity for retries, plus jitter. So retries match the capacity and do not
//! arrive together.
use crate::Micros;

const MIN_WAIT_US: Micros = 200_000;

/// Largest jitter as a fraction of the wait. It spreads the retries scheduled by several routers, which do
/// not coordinate.
const MAX_JITTER: f64 = 0.5;

/// Limit on doublings of the wait for a client that retries early: it is put behind clients that follow
/// their schedule, but is not shut out.
const MAX_DOUBLINGS: u32 = 4;

/// Time in µs that must remain after the wait for a retry to be worthwhile.
const MIN_TIME_TO_RUN_US: Micros = 100_000;

/// The rate may be known better after this time, above all to a router that has just started. Without the
/// limit, 454 of 17,000 requests of clients that follow their schedule were not done after 60 s in a
/// fault-injection scenario, although workers were idle.
const MAX_WAIT_US: Micros = 20_000_000;

/// Lower bound on the rate of retries, which keeps waits finite.
const MIN_RATE_PER_S: f64 = 0.1;

/// The queue of scheduled retries.
#[derive(Default)]
pub(crate) struct RetryAfterSchedule {
    /// Time of the last slot that was assigned, in µs.
    queue_end: f64,
}

impl RetryAfterSchedule {
    /// Wait in µs for the next retry; `None` if the client's deadline is too near for any retry.
    ///
    /// `rate`: retries per second for which there is capacity; `remaining`: time in µs until the client's
    /// deadline; `early_retries`: number of recent early retries of the client; `random`: a number from 0
    /// to 1.
    pub(crate) fn next_wait(
        &mut self,
        now: Micros,
        rate: f64,
        remaining: Micros,
        early_retries: u32,
        random: f64,
    ) -> Option<Micros> {
        let longest = remaining.checked_sub(MIN_TIME_TO_RUN_US).filter(|longest| *longest >= MIN_WAIT_US)?;
        let longest = longest.min(MAX_WAIT_US);
        // The queue begins at the shortest wait. If each wait were raised to the minimum instead, the first
        // retries would all arrive together.
        let queue_end = self.queue_end.max((now + MIN_WAIT_US) as f64);
        let slot = queue_end - now as f64 + 1e6 / rate.max(MIN_RATE_PER_S);
        let penalty = f64::from(1u32 << early_retries.min(MAX_DOUBLINGS));
        let wait = (slot * penalty) * (1.0 + MAX_JITTER * random);
        if wait <= longest as f64 {
            // Only a wait within the limit takes a slot, so none is lost to clients that give up.
            if early_retries == 0 {
                self.queue_end = now as f64 + slot;
            }
            return Some(wait as Micros);
        }
        // The queue is longer than the longest wait. The wait is drawn at random from its upper half, as
        // otherwise all further retries would arrive together at its end.
        Some(MIN_WAIT_US + ((longest - MIN_WAIT_US) as f64 * (0.5 + random / 2.0)) as Micros)
    }

    /// A client with a slot has retried before it: the slot is free for the next one.
    pub(crate) fn release_slot(&mut self, now: Micros, rate: f64) {
        self.queue_end = (self.queue_end - 1e6 / rate.max(MIN_RATE_PER_S)).max((now + MIN_WAIT_US) as f64);
    }

    /// Time in µs from now to the end of the queue.
    pub(crate) fn backlog(&self, now: Micros) -> Micros {
        (self.queue_end - now as f64).max(0.0) as Micros
    }
}

#[cfg(test)]
mod tests;
