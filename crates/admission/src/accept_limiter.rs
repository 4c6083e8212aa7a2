//! Rate limit on accepted connections: a burst of new connections must neither starve established ones nor
//! wait so long that its clients time out and reconnect.
use crate::Micros;

/// At this rate a full listen backlog of 4,096 is accepted within about 2 s, before clients time out (3 s
/// or more) or retransmit many times. A connection costs about 60 µs with its first response, so new
/// connections take at most an eighth of a core.
const RATE_PER_S: f64 = 2_000.0;

/// Connections that may be accepted at once after a quiet period: as many as arrive in an ordinary second.
const BURST: f64 = 400.0;

/// Tokens required before accepting is resumed: resuming for every single connection would cost as much as
/// accepting it.
const RESUME_THRESHOLD: f64 = 50.0;

/// Token bucket for accepted connections.
pub struct AcceptLimiter {
    tokens: f64,
    refilled_at: Micros,
    pauses: u64,
}

impl AcceptLimiter {
    pub(crate) fn new(now: Micros) -> Self {
        AcceptLimiter { tokens: BURST, refilled_at: now, pauses: 0 }
    }

    /// Counts an accepted connection. If the limit is reached, returns the time in µs for which no further
    /// connection is to be accepted.
    pub(crate) fn connection_accepted(&mut self, now: Micros) -> Option<Micros> {
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + RATE_PER_S * elapsed_seconds).min(BURST) - 1.0;
        self.refilled_at = now;
        let is_empty = self.tokens < 1.0;
        self.pauses += u64::from(is_empty);
        is_empty.then(|| ((RESUME_THRESHOLD - self.tokens) / RATE_PER_S * 1e6) as Micros)
    }

    /// Number of times that accepting was paused.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}

#[cfg(test)]
mod tests;
