//! Recovery of facts from a few peers after a restart, and serving the facts to recovering peers.
//!
//! A router that is itself recovering reports that it is empty, which does not count as a response. Facts are
//! merged by the median over the peers that responded. If only one has responded by the end of the recovery
//! window, its facts count as half expired.
//!
//! - `requester`: requests facts from peers
//! - `responder`: serves facts to peers, within a bandwidth limit
//! - `merge`: merges the facts of several peers
mod merge;
mod requester;
mod responder;

use crate::{MIN_RETRY_DELAY, Micros, RECOVERY_WINDOW};
use applepond_membership::RouterId;
use oorandom::Rand64;
use requester::PeerRequest;
use responder::SendBudget;
use std::collections::BTreeMap;

/// Messages to peers. Each may be lost, delayed or duplicated.
pub trait Actions {
    /// Sends a message.
    fn send(&mut self, to: RouterId, message: Vec<u8>);
}

/// The stage of a router's recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Requesting facts from peers. The router serves requests meanwhile.
    Requesting,
    /// Facts of this many peers were merged.
    Recovered(usize),
    /// No peer returned facts in time.
    Exhausted,
}

/// Safety checks that tests and fault-injection scenarios disable one at a time. Production code enables all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A router that is itself recovering reports that it is empty, instead of sending its incomplete facts.
    pub reports_empty: bool,
    /// Peers beyond the bandwidth limit are each given a different retry time.
    pub spreads_retries: bool,
    /// The peers to ask are chosen at random, so that not all routers ask the same ones.
    pub random_peers: bool,
    /// Facts are merged by the median instead of taken from a single peer.
    pub median: bool,
}

impl Guards {
    /// All checks enabled.
    pub const ALL: Guards =
        Guards { reports_empty: true, spreads_retries: true, random_peers: true, median: true };
}

/// The recovery of one router, and its responses to recovering peers.
///
/// It has no timer of its own: the caller calls [`wake`](PeerRecovery::wake) when it is due.
pub struct PeerRecovery {
    router: RouterId,
    started_at: Micros,
    stage: Stage,
    /// The requests in progress, by peer.
    requests: BTreeMap<RouterId, PeerRequest>,
    /// Peers that must not be asked before the given time.
    backoff_until: BTreeMap<RouterId, Micros>,
    requests_sent: u32,
    /// When to check the requests next.
    next_check_at: Micros,
    /// The bandwidth limit for responses to peers.
    budget: SendBudget,
    /// When this router's facts are complete enough to be served to peers.
    can_serve_from: Micros,
    rng: Rand64,
    guards: Guards,
}

impl PeerRecovery {
    /// Creates the recovery of a router that starts at `now`.
    pub fn new(now: Micros, router: RouterId, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        PeerRecovery {
            router,
            started_at: now,
            stage: Stage::Requesting,
            requests: BTreeMap::new(),
            backoff_until: BTreeMap::new(),
            requests_sent: 0,
            // Spreads the requests of routers that start at the same time.
            next_check_at: now + rng.rand_range(0..MIN_RETRY_DELAY),
            budget: SendBudget::new(now),
            can_serve_from: now + RECOVERY_WINDOW,
            rng,
            guards: Guards::ALL,
        }
    }

    /// Replaces the set of enabled checks, for tests and fault-injection scenarios.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Disables requests to peers.
    #[must_use]
    pub fn without_peers(mut self) -> Self {
        self.stage = Stage::Exhausted;
        self
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The number of requests sent. Of the requests for further pages, only repeated ones are counted.
    pub fn requests_sent(&self) -> u32 {
        self.requests_sent
    }

    /// The latest time at which `wake` must be called next.
    pub fn next_wakeup(&self) -> Micros {
        if self.stage == Stage::Requesting { self.next_check_at } else { Micros::MAX }
    }

    /// Records that facts were loaded from a snapshot, which may be served to peers at once. This router
    /// continues to request facts itself.
    pub fn snapshot_loaded(&mut self, now: Micros) {
        self.can_serve_from = now;
    }

    /// Whether this router's facts are complete enough to be served.
    pub fn can_serve(&self, now: Micros) -> bool {
        now >= self.can_serve_from
    }
}
