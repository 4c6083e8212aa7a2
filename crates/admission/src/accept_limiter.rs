//! Rate limit on accepted connections: a burst of new connections must not stop those that are served, and
//! must not wait so long that its clients try again.
use crate::Micros;

/// Connections a second. The kernel's backlog of 4,096 is accepted within 2 s, before its clients give up
/// (3 s and more) or their first packet is sent again many times. With its first response each connection
/// costs about 60 µs, so an eighth of a core goes to new connections.
const RATE: f64 = 2_000.0;

/// Connections that are accepted at once after a quiet time: what an ordinary second brings.
const BURST: f64 = 400.0;

/// Connections that must fit before accepting goes on: resuming for each of them would cost as much as
/// accepting them.
const RESUME_FOR: f64 = 50.0;

/// Token bucket over accepted connections.
pub struct AcceptLimiter {
    tokens: f64,
    refilled_at: Micros,
    pauses: u64,
}

impl AcceptLimiter {
    pub(crate) fn new(now: Micros) -> Self {
        AcceptLimiter { tokens: BURST, refilled_at: now, pauses: 0 }
    }

    /// A connection was accepted. Returns for how long, in µs, none is to be accepted now, if the limit is
    /// reached.
    pub(crate) fn connection_accepted(&mut self, now: Micros) -> Option<Micros> {
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + RATE * elapsed_seconds).min(BURST) - 1.0;
        self.refilled_at = now;
        let is_empty = self.tokens < 1.0;
        self.pauses += u64::from(is_empty);
        is_empty.then(|| ((RESUME_FOR - self.tokens) / RATE * 1e6) as Micros)
    }

    /// How often accepting was paused.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}

#[cfg(test)]
mod tests;
