//! When rejected clients should come back: each gets a slot of its own in a queue that moves at the rate at
//! which there is capacity for retries, with jitter. So retries fit the capacity, and no second brings all
//! of them at once.
use crate::Micros;

/// Shortest wait, in µs.
const MIN_WAIT: Micros = 200_000;

/// Fraction of the wait that is added as jitter at most: the queues of several routers overlap evenly
/// without any communication.
const JITTER: f64 = 0.5;

/// Times the wait doubles at most for a client that comes before its time: it loses against those that
/// follow their schedule, not against everybody.
const MAX_DOUBLINGS: u32 = 4;

/// Time in µs that a request needs to be worth a retry.
const MIN_TIME_TO_RUN: Micros = 100_000;

/// Longest wait, in µs: the rate may be known better by then, above all to a router that has just started
/// (in a fault-injection scenario 454 of 17,000 requests of clients that follow were not done 60 s after,
/// with workers idle).
const MAX_WAIT: Micros = 20_000_000;

/// Retries a second that are assumed at least.
const MIN_RATE: f64 = 0.1;

/// The queue of scheduled retries.
#[derive(Default)]
pub(crate) struct RetryAfterSchedule {
    /// The time of the last slot that was given out, in µs.
    queue_end: f64,
}

impl RetryAfterSchedule {
    /// Wait in µs for the next retry; `None` if the client has not the time to come back at all.
    ///
    /// `rate`: retries a second that there is capacity for; `remaining`: µs until the client's deadline;
    /// `early_retries`: how often the client came before its time lately; `random`: a number from 0 to 1.
    pub(crate) fn next_wait(
        &mut self,
        now: Micros,
        rate: f64,
        remaining: Micros,
        early_retries: u32,
        random: f64,
    ) -> Option<Micros> {
        let longest = remaining.checked_sub(MIN_TIME_TO_RUN).filter(|longest| *longest >= MIN_WAIT)?;
        let longest = longest.min(MAX_WAIT);
        // The queue begins at the shortest wait: a lower bound on single waits would bring all of the first
        // ones at once.
        let queue_end = self.queue_end.max((now + MIN_WAIT) as f64);
        let slot = queue_end - now as f64 + 1e6 / rate.max(MIN_RATE);
        let penalty = f64::from(1u32 << early_retries.min(MAX_DOUBLINGS));
        let wait = (slot * penalty) * (1.0 + JITTER * random);
        if wait <= longest as f64 {
            // Only a wait that fits takes a slot: no slots are lost to clients that give up.
            if early_retries == 0 {
                self.queue_end = now as f64 + slot;
            }
            return Some(wait as Micros);
        }
        // The queue is longer than that: a random time within it, or all would come at its end.
        Some(MIN_WAIT + ((longest - MIN_WAIT) as f64 * (0.5 + random / 2.0)) as Micros)
    }

    /// A client that had a slot came before it: the slot is free for the next one.
    pub(crate) fn release_slot(&mut self, now: Micros, rate: f64) {
        self.queue_end = (self.queue_end - 1e6 / rate.max(MIN_RATE)).max((now + MIN_WAIT) as f64);
    }

    /// Time in µs from now to the end of the queue.
    pub(crate) fn backlog(&self, now: Micros) -> Micros {
        (self.queue_end - now as f64).max(0.0) as Micros
    }
}

#[cfg(test)]
mod tests;
