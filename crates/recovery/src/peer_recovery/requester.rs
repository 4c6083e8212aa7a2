//! The requests of a recovering router.
use super::{Actions, PeerRecovery, Stage, merge};
use crate::{
    EMPTY_PEER_BACKOFF, Fact, MAX_FACTS, MAX_REQUESTS, MAX_RETRY_DELAY, MIN_RETRY_DELAY, Micros,
    PARALLEL_PEERS, RECOVERY_WINDOW, RESPONSE_TIMEOUT, message,
};
use applepond_membership::RouterId;

/// The request to one peer, and the facts received so far.
pub(super) struct PeerRequest {
    /// The number of the latest request, which the response repeats.
    number: u64,
    page: u16,
    /// When the request times out.
    deadline: Micros,
    facts: Vec<Fact>,
    is_complete: bool,
}

impl PeerRequest {
    fn awaits(&self, number: u64) -> bool {
        self.number == number && !self.is_complete
    }
}

impl PeerRecovery {
    /// Sends requests to alive peers. Returns the merged facts once the recovery is finished.
    pub fn wake(&mut self, now: Micros, alive: &[RouterId], actions: &mut dyn Actions) -> Vec<Fact> {
        if self.stage != Stage::Requesting || now < self.next_check_at {
            return Vec::new();
        }
        let complete = self.requests.values().filter(|request| request.is_complete).count();
        let is_over = now >= self.started_at + RECOVERY_WINDOW;
        if complete >= PARALLEL_PEERS || is_over || self.requests_sent >= MAX_REQUESTS {
            return self.finish(now);
        }
        self.backoff_until.retain(|_, until| now < *until);
        self.retry_unanswered(now, alive, actions);
        self.ask_further_peers(now, alive, actions);
        self.schedule_next_check(now);
        Vec::new()
    }

    /// Handles timeouts. If a peer has already sent a page, only a message was lost, and the next page is
    /// requested again. Other peers are dropped and may be asked again after a backoff.
    fn retry_unanswered(&mut self, now: Micros, alive: &[RouterId], actions: &mut dyn Actions) {
        let is_late = |request: &PeerRequest| !request.is_complete && now >= request.deadline;
        let late = self.requests.iter().filter(|(_, request)| is_late(request));
        let late: Vec<(RouterId, u16)> = late.map(|(peer, request)| (*peer, request.page)).collect();
        for (peer, page) in late {
            if page > 0 && alive.contains(&peer) {
                self.request_page(now, peer, page, actions);
                continue;
            }
            self.requests.remove(&peer);
            self.backoff_until.insert(peer, now + RESPONSE_TIMEOUT);
        }
    }

    /// Sends requests to further peers until [`PARALLEL_PEERS`] are in progress.
    fn ask_further_peers(&mut self, now: Micros, alive: &[RouterId], actions: &mut dyn Actions) {
        let may_be_asked = |peer: &RouterId| {
            *peer != self.router
                && !self.requests.contains_key(peer)
                && !self.backoff_until.contains_key(peer)
        };
        let mut others: Vec<RouterId> = alive.iter().copied().filter(may_be_asked).collect();
        while self.requests.len() < PARALLEL_PEERS && !others.is_empty() && self.requests_sent < MAX_REQUESTS
        {
            let random = self.rng.rand_range(0..others.len() as u64) as usize;
            let lowest = (0..others.len()).min_by_key(|index| others[*index]).unwrap_or(0);
            let peer = others.swap_remove(if self.guards.random_peers { random } else { lowest });
            self.request_page(now, peer, 0, actions);
        }
    }

    fn schedule_next_check(&mut self, now: Micros) {
        let unanswered = self.requests.values().filter(|request| !request.is_complete);
        let deadlines = unanswered.map(|request| request.deadline);
        let backoffs = self.backoff_until.values().copied();
        let earliest = deadlines.chain(backoffs).min().unwrap_or(now + MIN_RETRY_DELAY);
        let bounded = earliest.clamp(now + MIN_RETRY_DELAY / 10, now + RESPONSE_TIMEOUT);
        self.next_check_at = bounded.min(self.started_at + RECOVERY_WINDOW);
    }

    fn request_page(&mut self, now: Micros, peer: RouterId, page: u16, actions: &mut dyn Actions) {
        self.requests_sent += 1;
        let number = self.rng.rand_u64();
        let request = self.requests.entry(peer).or_insert(PeerRequest {
            number,
            page,
            deadline: now,
            facts: Vec::new(),
            is_complete: false,
        });
        request.number = number;
        request.page = page;
        request.deadline = now + RESPONSE_TIMEOUT;
        actions.send(peer, message::encode_request(self.router, number, page));
    }

    fn finish(&mut self, now: Micros) -> Vec<Fact> {
        let complete = std::mem::take(&mut self.requests).into_values().filter(|request| request.is_complete);
        let answers: Vec<Vec<Fact>> = complete.map(|request| request.facts).collect();
        if answers.is_empty() {
            self.stage = Stage::Exhausted;
        } else {
            self.stage = Stage::Recovered(answers.len());
            self.can_serve_from = now;
        }
        merge::merge(&answers, self.guards.median)
    }

    /// Handles a page of a peer's facts, and requests the next one.
    #[allow(clippy::too_many_arguments)] // the parts of the message, in its order
    pub fn on_page(
        &mut self,
        now: Micros,
        from: RouterId,
        number: u64,
        page: u16,
        last: bool,
        facts: Vec<Fact>,
        actions: &mut dyn Actions,
    ) {
        // Ignores responses to other requests, and responses of peers that were not asked.
        let Some(request) = self.requests.get_mut(&from) else { return };
        if !request.awaits(number) || request.page != page || self.stage != Stage::Requesting {
            return;
        }
        request.facts.extend(facts);
        request.is_complete = last || request.facts.len() >= MAX_FACTS;
        if !request.is_complete {
            // Requests for further pages are not counted.
            self.request_page(now, from, page + 1, actions);
            self.requests_sent -= 1;
        }
        self.next_check_at = self.next_check_at.min(now);
    }

    /// Handles a peer's response to retry after `wait` µs.
    pub fn on_retry_later(&mut self, now: Micros, from: RouterId, number: u64, wait: Micros) {
        if self.requests.get(&from).is_some_and(|request| request.awaits(number)) {
            self.requests.remove(&from);
            self.backoff_until.insert(from, now + wait.min(MAX_RETRY_DELAY));
            self.schedule_next_check(now);
        }
    }

    /// Handles a peer's response that it is itself recovering.
    pub fn on_empty(&mut self, now: Micros, from: RouterId, number: u64) {
        if self.requests.get(&from).is_some_and(|request| request.awaits(number)) {
            self.requests.remove(&from);
            // The peer may have recovered by then.
            self.backoff_until.insert(from, now + EMPTY_PEER_BACKOFF);
            self.next_check_at = self.next_check_at.min(now);
        }
    }
}
