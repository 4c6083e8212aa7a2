//! The rounds that a router starts: bootstrap, lease renewal, value changes and reconfiguration.
use super::{Register, RegisterActions, RegisterLease, Requests};
use crate::{
    BOOTSTRAP_DELAY, BOOTSTRAP_LEASE_WAIT, Ballot, CLOCK_DRIFT_DIVISOR, LEADER_TIMEOUT, LEASE_DURATION,
    LEASE_RENEWAL_INTERVAL, MAX_REPLICAS, Promise, RETRY_BACKOFF, RegisterState, ReplicaId, RoundOutcome,
    Unavailable,
};
use applepond::interface::Micros;
use applepond_membership::{InstanceId, RouterId};

/// The progress of the current round, which determines its lease and the reason if it fails.
pub(super) struct RoundProgress {
    /// The start of the lease that the round confirms.
    started_at: Micros,
    /// Replicas whose acceptors abstain.
    abstained: Vec<RouterId>,
    /// Replicas that have never accepted a state.
    empty: Vec<RouterId>,
}

impl RoundProgress {
    pub(super) fn new(now: Micros) -> Self {
        RoundProgress { started_at: now, abstained: Vec::new(), empty: Vec::new() }
    }
}

impl<V: Clone + Default> Register<V> {
    /// Why a round got no quorum in time.
    pub(super) fn timeout_reason(&self) -> Unavailable {
        let responding = self.proposer.responders().len();
        let total = self.configured.len();
        if responding == 0 && self.round.abstained.is_empty() {
            return Unavailable::NoQuorum { responding: 0, total };
        }
        let empty = self.round.empty.len();
        // On the first start of a fleet empty replicas are normal. They have lost their state only if some
        // router has seen one.
        let was_initialized = self.is_remembered || self.highest_seen.is_some();
        match self.proposer.lost_replicas() {
            Some((lost, total)) if 2 * lost >= total => Unavailable::MajorityLost { lost, total },
            _ if 2 * empty > total && was_initialized => Unavailable::MajorityLost { lost: empty, total },
            _ => Unavailable::NoQuorum { responding, total },
        }
    }

    /// Handles a promise of a replica. `remembered` are the registers and versions that other routers report
    /// to have seen; they can only prevent a bootstrap or write, never allow one.
    pub fn on_promised(
        &mut self,
        now: Micros,
        replica: ReplicaId,
        promise: Promise<RegisterState<V>>,
        remembered: &[(InstanceId, u64)],
        actions: &mut dyn RegisterActions<V>,
    ) {
        self.is_remembered = !remembered.is_empty();
        let is_current_round = promise.ballot == self.proposer.ballot();
        let is_empty = promise.accepted.is_none();
        if is_current_round && is_empty && !self.round.empty.contains(&replica.router) {
            self.round.empty.push(replica.router);
        }
        match self.proposer.on_promised(replica, promise, &mut Requests(actions)) {
            Some(RoundOutcome::Read(state, responders)) => {
                self.on_read(now, state, &responders, remembered, actions);
            }
            Some(RoundOutcome::Uninitialized(replicas)) => self.on_uninitialized(now, replicas, actions),
            Some(RoundOutcome::Committed(_) | RoundOutcome::StaleReplica(_)) | None => {}
        }
    }

    /// Ends the round; the next one starts after this wait and a random part of a renewal interval.
    fn abandon_round(&mut self, now: Micros, wait: Micros) {
        self.proposer.abandon();
        self.next_round_at = now + wait + self.rng.rand_range(0..LEASE_RENEWAL_INTERVAL);
    }

    /// All configured replicas are empty: bootstraps the register, unless a router has seen an earlier one.
    fn on_uninitialized(
        &mut self,
        now: Micros,
        replicas: Vec<ReplicaId>,
        actions: &mut dyn RegisterActions<V>,
    ) {
        if self.is_remembered || self.highest_seen.is_some() {
            // There was a register and every replica has lost it: bootstrapping would discard its state.
            self.unavailable = Some(Unavailable::StateForgotten);
        } else if now >= self.started_at + BOOTSTRAP_DELAY {
            let round = self.proposer.ballot().round;
            let first = RegisterState {
                register_id: InstanceId(self.instance_id.0 ^ round.rotate_left(32)),
                version: 1,
                replicas,
                previous_replicas: Vec::new(),
                value: V::default(),
            };
            self.proposer.propose(now, first, &mut Requests(actions));
            return;
        }
        self.abandon_round(now, LEASE_RENEWAL_INTERVAL);
    }

    /// The latest state was read: writes the next one, which is the same state if only the lease is renewed.
    fn on_read(
        &mut self,
        now: Micros,
        state: RegisterState<V>,
        responders: &[ReplicaId],
        remembered: &[(InstanceId, u64)],
        actions: &mut dyn RegisterActions<V>,
    ) {
        // If all disks were rolled back, a quorum agrees on an older state than other routers have seen, or
        // on another register. It must not be used.
        let is_newer = |(register_id, version): &(InstanceId, u64)| {
            *register_id != state.register_id || *version > state.version
        };
        if remembered.iter().chain(&self.highest_seen).any(is_newer) {
            self.unavailable = Some(Unavailable::StateRolledBack);
            self.abandon_round(now, LEASE_RENEWAL_INTERVAL);
            return;
        }
        if state.version == 1 && self.awaits_earlier_leases(now, state.register_id) {
            return;
        }
        let next = self.next_state(state, responders);
        self.proposer.propose(now, next, &mut Requests(actions));
    }

    /// Waits until leases on an earlier register of the fleet have expired: partitioned routers may still use
    /// them. Returns whether the round was abandoned for that reason.
    fn awaits_earlier_leases(&mut self, now: Micros, register_id: InstanceId) -> bool {
        let since = match self.bootstrapped {
            Some((known, since)) if known == register_id => since,
            _ => now,
        };
        self.bootstrapped = Some((register_id, since));
        let usable_at = since + BOOTSTRAP_LEASE_WAIT;
        if now >= usable_at {
            return false;
        }
        self.unavailable = Some(Unavailable::BootstrapPending);
        self.abandon_round(now, usable_at - now);
        true
    }

    /// The next state: the one that was read with the most urgent pending change, or unchanged.
    fn next_state(&mut self, state: RegisterState<V>, responders: &[ReplicaId]) -> RegisterState<V> {
        let mut next = state.clone();
        let proposal = self.proposal.take().filter(|(version, _)| *version == state.version);
        if state.version == 1 {
            next.version = 2;
        } else if !state.previous_replicas.is_empty() {
            next.version = state.version + 1;
            next.previous_replicas = Vec::new();
        } else if let Some(replicas) = changed_replicas(&state.replicas, &self.configured, responders) {
            next.version = state.version + 1;
            next.previous_replicas = state.replicas;
            next.replicas = replicas;
        } else if let Some((_, value)) = proposal {
            next.version = state.version + 1;
            next.value = value;
        }
        next
    }

    /// Handles an acceptance of the proposed state. Once a quorum has accepted, this router is the leader.
    pub fn on_accepted(&mut self, now: Micros, replica: ReplicaId, ballot: Ballot) {
        let Some(RoundOutcome::Committed(state)) = self.proposer.on_accepted(replica, ballot) else { return };
        self.highest_seen = Some((state.register_id, state.version));
        if state.version == 1 {
            self.bootstrapped = Some((state.register_id, now));
            self.unavailable = Some(Unavailable::BootstrapPending);
            self.next_round_at = now + BOOTSTRAP_LEASE_WAIT;
            return;
        }
        // A reconfiguration in progress continues without delay.
        let pause = if state.previous_replicas.is_empty() { LEASE_RENEWAL_INTERVAL } else { 0 };
        self.is_latest_leader = true;
        self.next_round_at = now + pause;
        self.requests.source = Some(self.router);
        self.unavailable = None;
        let expires_at = self.round.started_at + LEASE_DURATION - LEASE_DURATION / CLOCK_DRIFT_DIVISOR;
        self.lease = Some(RegisterLease { state, expires_at });
    }

    /// Handles a rejection by a replica that has promised a higher ballot.
    pub fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if ballot == self.proposer.ballot() && promised > ballot && !self.proposer.is_idle() {
            // Another router leads. Backing off keeps the two from superseding each other repeatedly.
            self.is_latest_leader = false;
            self.proposer.on_rejected(now, ballot, promised);
            let wait = if self.lease(now).is_some() { LEADER_TIMEOUT } else { RETRY_BACKOFF };
            self.abandon_round(now, wait);
        }
    }

    /// Handles the response of a replica that abstains.
    pub fn on_abstained(&mut self, from: RouterId, ballot: Ballot) {
        if ballot == self.proposer.ballot() && !self.round.abstained.contains(&from) {
            self.round.abstained.push(from);
        }
    }
}

/// One step of a reconfiguration from the current replicas to the configured ones, if any is left. A lost
/// disk is replaced first; after that a configured router that responds takes the place of one that is no
/// longer configured.
fn changed_replicas(
    current: &[ReplicaId],
    configured: &[RouterId],
    responders: &[ReplicaId],
) -> Option<Vec<ReplicaId>> {
    let mut next = current.to_vec();
    for replica in responders {
        let has_new_disk = |slot: &&mut ReplicaId| slot.router == replica.router && slot.disk != replica.disk;
        if let Some(slot) = next.iter_mut().find(has_new_disk) {
            *slot = *replica;
            return Some(next);
        }
    }
    let is_current = |router: RouterId| current.iter().any(|replica| replica.router == router);
    let is_wanted = |router: RouterId| configured.contains(&router) && !is_current(router);
    let added = responders.iter().find(|replica| is_wanted(replica.router));
    let removed = next.iter().position(|replica| !configured.contains(&replica.router));
    match (added, removed) {
        (Some(replica), Some(slot)) => next[slot] = *replica,
        (Some(replica), None) if next.len() < MAX_REPLICAS => next.push(*replica),
        (None, Some(slot)) if next.len() > configured.len() => drop(next.remove(slot)),
        _ => return None,
    }
    Some(next)
}
