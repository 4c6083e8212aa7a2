//! Asking a few peers for facts after a start, and giving facts to peers that ask.
//!
//! A router that has just started itself says that it is empty, which does not count as an answer. What is
//! used is the median over the peers that answered. Where only one answered by the end of the window, its
//! facts count as half expired already.
//!
//! - `requester`: this router asks
//! - `responder`: this router answers, within its bounds on bytes
//! - `merge`: the median of the answers
mod merge;
mod requester;
mod responder;

use crate::{MIN_RETRY_DELAY, Micros, RECOVERY_WINDOW};
use applepond_membership::RouterId;
use oorandom::Rand64;
use requester::PeerRequest;
use responder::SendBudget;
use std::collections::BTreeMap;

/// Messages to peers. Each may be lost, delayed or repeated.
pub trait Actions {
    /// Sends a message.
    fn send(&mut self, to: RouterId, message: Vec<u8>);
}

/// How far the recovery of a router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It asks its peers, and serves meanwhile.
    Requesting,
    /// Facts of so many peers were taken.
    Recovered(usize),
    /// No peer had any facts in time.
    Exhausted,
}

/// Guards that tests and fault-injection scenarios take out one by one. In service all are in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A router that is itself recovering says so, instead of giving the nothing that it knows.
    pub reports_empty: bool,
    /// Peers beyond the bound on bytes are told a time of their own to ask again.
    pub spreads_retries: bool,
    /// The peers to ask are drawn at random, and not the same for all.
    pub random_peers: bool,
    /// The median is used, and not the answer of one peer.
    pub median: bool,
}

impl Guards {
    /// All guards are in place.
    pub const ALL: Guards =
        Guards { reports_empty: true, spreads_retries: true, random_peers: true, median: true };
}

/// The recovery of one router, and its answers to those that recover.
///
/// It never acts by itself: [`wake`](PeerRecovery::wake) has to be called in time.
pub struct PeerRecovery {
    router: RouterId,
    started_at: Micros,
    stage: Stage,
    /// The peers that were asked, and what they have given so far.
    requests: BTreeMap<RouterId, PeerRequest>,
    /// Peers that are not asked for now, and from when on they may be.
    backoff_until: BTreeMap<RouterId, Micros>,
    requests_sent: u32,
    /// When to look after the requests.
    next_look_at: Micros,
    /// The bytes that may be given to peers.
    budget: SendBudget,
    /// From when on this router's own observations are as good as what it could be told.
    can_serve_from: Micros,
    rng: Rand64,
    guards: Guards,
}

impl PeerRecovery {
    /// The recovery of a router that starts at `now`.
    pub fn new(now: Micros, router: RouterId, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        PeerRecovery {
            router,
            started_at: now,
            stage: Stage::Requesting,
            requests: BTreeMap::new(),
            backoff_until: BTreeMap::new(),
            requests_sent: 0,
            // Routers that start at once need not ask at once.
            next_look_at: now + rng.rand_range(0..MIN_RETRY_DELAY),
            budget: SendBudget::new(now),
            can_serve_from: now + RECOVERY_WINDOW,
            rng,
            guards: Guards::ALL,
        }
    }

    /// The same with these guards alone, for tests and fault-injection scenarios.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// The same without asking anybody.
    #[must_use]
    pub fn without_peers(mut self) -> Self {
        self.stage = Stage::Exhausted;
        self
    }

    /// How far it is.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How many requests were sent. Further pages of an answer are not counted.
    pub fn requests_sent(&self) -> u32 {
        self.requests_sent
    }

    /// When `wake` has to be called at the latest.
    pub fn next_wakeup(&self) -> Micros {
        if self.stage == Stage::Requesting { self.next_look_at } else { Micros::MAX }
    }

    /// A snapshot had facts: they are as good as a peer's to those that ask. This router goes on asking.
    pub fn snapshot_loaded(&mut self, now: Micros) {
        self.can_serve_from = now;
    }

    /// Whether this router's facts are worth giving.
    pub fn can_serve(&self, now: Micros) -> bool {
        now >= self.can_serve_from
    }
}
