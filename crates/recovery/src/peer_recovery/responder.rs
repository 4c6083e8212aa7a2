//! Responses to recovering peers, within a bandwidth limit so that routing takes precedence.
use super::{Actions, PeerRecovery};
use crate::{
    FACTS_PER_PAGE, Fact, Facts, MAX_RETRY_DELAY, MIN_RETRY_DELAY, Micros, SEND_BURST_BYTES,
    SEND_BYTES_PER_SECOND, message,
};
use applepond_membership::RouterId;

/// The maximum number of peers that count as deferred, which bounds the retry delay of further ones.
const MAX_DEFERRED_PEERS: u32 = 1_000;

/// A token bucket of bytes.
pub(super) struct SendBudget {
    /// The bytes that may be sent, as of `refilled_at`.
    tokens: f64,
    refilled_at: Micros,
    /// The number of recently deferred peers. Each further one is given a later retry time.
    deferred: u32,
}

impl SendBudget {
    pub(super) fn new(now: Micros) -> Self {
        SendBudget { tokens: SEND_BURST_BYTES as f64, refilled_at: now, deferred: 0 }
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now - self.refilled_at.min(now);
        self.tokens += elapsed as f64 * SEND_BYTES_PER_SECOND as f64 / 1e6;
        self.tokens = self.tokens.min(SEND_BURST_BYTES as f64);
        self.refilled_at = now;
    }

    fn allows(&self, bytes: usize) -> bool {
        self.tokens >= bytes as f64
    }

    fn take(&mut self, bytes: usize) {
        self.deferred = self.deferred.saturating_sub(1);
        self.tokens -= bytes as f64;
    }

    /// Records a deferred peer. Returns the time in µs until it and the peers deferred before it can be
    /// served.
    fn defer(&mut self, bytes: usize) -> Micros {
        self.deferred = (self.deferred + 1).min(MAX_DEFERRED_PEERS);
        u64::from(self.deferred) * bytes as u64 * 1_000_000 / SEND_BYTES_PER_SECOND
    }
}

impl PeerRecovery {
    /// Responds to a peer's request with a page of facts, with a retry time, or that this router is empty.
    pub fn on_request(
        &mut self,
        now: Micros,
        from: RouterId,
        (number, page): (u64, u16),
        facts: &Facts,
        actions: &mut dyn Actions,
    ) {
        // A recovering router must not send its incomplete facts: the peer would conclude that the missing
        // ones do not exist.
        if self.guards.reports_empty && !self.can_serve(now) {
            actions.send(from, message::encode_empty(self.router, number));
            return;
        }
        self.budget.refill(now);
        let answer = self.encode_page(now, number, page, facts);
        if !self.budget.allows(answer.len()) && self.guards.spreads_retries {
            // Each deferred peer is given a time after the ones before it, plus a random part.
            let queue = self.budget.defer(answer.len());
            let wait = MIN_RETRY_DELAY + queue + self.rng.rand_range(0..MIN_RETRY_DELAY);
            let wait = wait.min(MAX_RETRY_DELAY);
            actions.send(from, message::encode_retry_later(self.router, number, wait));
            return;
        }
        self.budget.take(answer.len());
        actions.send(from, answer);
    }

    fn encode_page(&self, now: Micros, number: u64, page: u16, facts: &Facts) -> Vec<u8> {
        let shared = facts.iter(now).filter(|fact| fact.key.kind.is_shared());
        let first = page as usize * FACTS_PER_PAGE;
        let mut of_page: Vec<Fact> = shared.skip(first).take(FACTS_PER_PAGE + 1).collect();
        let is_last = of_page.len() <= FACTS_PER_PAGE;
        of_page.truncate(FACTS_PER_PAGE);
        message::encode_page(self.router, number, page, is_last, &of_page)
    }
}
