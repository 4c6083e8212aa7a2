//! One router's part in what is agreed on: it keeps a vote if it is a keeper, convenes if it may, and
//! holds a copy that ends. Which router convenes is by who speaks first; that nobody acts on what is over
//! is by the copy's end, counted by the holder's own clock from before it asked. The keeper itself is a
//! `Voter` beside it: its disk may take its time while this goes on.
use crate::*;
use applepond_membership::RouterId;
use miette::Diagnostic;
use oorandom::Rand64;
use thiserror::Error;

/// Messages to others; each may be lost, late or repeated.
pub trait RegisterActions<V>: ReplicaRequests<V> {
    fn promised(
        &mut self,
        to: RouterId,
        ballots: (Ballot, Ballot),
        disk: InstanceId,
        accepted: Option<&(Ballot, RegisterState<V>)>,
    );
    fn accepted(&mut self, to: RouterId, ballot: Ballot, disk: InstanceId);
    fn rejected(&mut self, to: RouterId, ballot: Ballot, promised: Ballot);
    /// This keeper does not vote, and why.
    fn abstained(&mut self, to: RouterId, ballot: Ballot, trouble: AcceptorError);
    /// What is agreed on?
    fn request_state(&mut self, to: RouterId, number: u64);
    /// It is this, for so many µs more from when the ask was sent.
    fn send_state(&mut self, to: RouterId, number: u64, agreed: &RegisterState<V>, left: Micros);
}

/// Why nothing is agreed on at present; what is shared goes on at its floors meanwhile.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Unavailable {
    #[error("{heard} of {of} keepers answer; more than half have to")]
    #[diagnostic(
        code(accord::too_few),
        help("start the routers named in 'keepers' or mend the way to them; nothing is lost meanwhile")
    )]
    NoQuorum { heard: usize, of: usize },
    #[error("{empty} of {of} keepers have lost what they had agreed on")]
    #[diagnostic(
        code(accord::majority_lost),
        help(
            "bring back the disks of those keepers; if they are lost for good, stop all keepers, remove \
             their 'votes' files, raise 'founding' in the fleet block of all routers and start them again"
        )
    )]
    MajorityLost { empty: usize, of: usize },
    #[error("all keepers are empty, and others remember that something was agreed on")]
    #[diagnostic(
        code(accord::remembered),
        help(
            "bring back the keepers' 'votes' files; if they are lost for good, raise 'founding' in the \
             fleet block of all routers"
        )
    )]
    StateForgotten,
    #[error("the keepers' disks agree on less than others have seen, or on something of another life")]
    #[diagnostic(
        code(accord::past),
        help(
            "somebody has put back copies of the keepers' disks: stop all keepers, remove their 'votes' \
             files, raise 'founding' in the fleet block of all routers and start them again"
        )
    )]
    StateRolledBack,
    #[error("this router's vote cannot be relied on ({0}), so it does not vote")]
    #[diagnostic(
        code(accord::keeper_in_doubt),
        help(
            "not-written: make room or mend the disk and start this router again. Others: stop it, remove \
             its 'votes' file and start it again; the others take it in as a new keeper"
        )
    )]
    AcceptorFailed(&'static str),
    #[error("what is agreed on was founded a moment ago; leases of a life before have to end first")]
    #[diagnostic(code(accord::ripens), help("nothing: it passes within seconds"))]
    BootstrapPending,
}

impl Unavailable {
    /// One of each, for the table of codes.
    pub fn each() -> Vec<Unavailable> {
        vec![
            Unavailable::NoQuorum { heard: 0, of: 0 },
            Unavailable::MajorityLost { empty: 0, of: 0 },
            Unavailable::StateForgotten,
            Unavailable::StateRolledBack,
            Unavailable::AcceptorFailed(""),
            Unavailable::BootstrapPending,
        ]
    }
}

/// What is agreed on, as held here until it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisterLease<V> {
    pub state: RegisterState<V>,
    /// By this process' clock; from then on it says nothing any more.
    pub expires_at: Micros,
}

pub struct Register<V> {
    me: RouterId,
    instance_id: InstanceId,
    named: Vec<RouterId>,
    /// It has a keeper beside it, and why that one does not vote.
    keeps: bool,
    doubt: Option<AcceptorError>,
    convener: ReconfigurableProposer<V>,
    /// When the try under way began: what it confirms counts from there.
    begun: Micros,
    /// This router's try was the last that was written, as far as it knows.
    mine: bool,
    next_try: Micros,
    next_ask: Micros,
    asks: u64,
    asked: Micros,
    /// Who answered last.
    from: Option<RouterId>,
    held: Option<RegisterLease<V>>,
    /// The highest that this process has heard of; never a permission, only what is older.
    seen: Option<(InstanceId, u64)>,
    /// The next value in place of that number, if it still is the one.
    wish: Option<(u64, V)>,
    /// A founding that was read here first, and when.
    fresh: Option<(InstanceId, Micros)>,
    born: Micros,
    /// Keepers that said they do not vote, in the try under way.
    doubts: Vec<RouterId>,
    empty: Vec<RouterId>,
    /// What others last said they remember.
    remembered: bool,
    standstill: Option<Unavailable>,
    rng: Rand64,
}

/// The half of the orders that a try needs.
struct Ask<'a, V>(&'a mut dyn RegisterActions<V>);

impl<V> ReplicaRequests<V> for Ask<'_, V> {
    fn prepare(&mut self, to: RouterId, ballot: Ballot, word: Option<(InstanceId, Ballot)>) {
        self.0.prepare(to, ballot, word);
    }
    fn accept(
        &mut self,
        to: RouterId,
        ballot: Ballot,
        agreed: &RegisterState<V>,
        word: Option<(InstanceId, Ballot)>,
    ) {
        self.0.accept(to, ballot, agreed, word);
    }
}

impl<V: Clone + Default> Register<V> {
    /// `keeps`: a `Voter` stands beside it. Empty-handed at its start, whatever a snapshot may say.
    pub fn new(
        now: Micros,
        (me, instance_id): (RouterId, InstanceId),
        named: &[RouterId],
        keeps: bool,
        seed: u64,
    ) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        Register {
            me,
            instance_id,
            named: named.to_vec(),
            keeps,
            doubt: None,
            convener: ReconfigurableProposer::new(instance_id, named, seed),
            begun: now,
            mine: false,
            // All keepers start at once with their fleet; the first to try is mostly alone.
            next_try: now + BOOTSTRAP_DELAY + rng.rand_range(0..LEADER_TIMEOUT),
            next_ask: now + rng.rand_range(0..LEASE_REQUEST_INTERVAL),
            asks: 0,
            asked: now,
            from: None,
            held: None,
            seen: None,
            wish: None,
            fresh: None,
            born: now,
            doubts: Vec::new(),
            empty: Vec::new(),
            remembered: false,
            standstill: None,
            rng,
        }
    }

    pub fn instance_id(&self) -> InstanceId {
        self.instance_id
    }

    /// What is agreed on, if it still counts. Look again wherever it is acted on.
    pub fn lease(&self, now: Micros) -> Option<&RegisterLease<V>> {
        self.held.as_ref().filter(|h| now < h.expires_at)
    }

    /// The line and number last heard of, also where they no longer count.
    pub fn highest_seen(&self) -> Option<(InstanceId, u64)> {
        self.seen
    }

    /// What stands in the way, where nothing counts.
    pub fn unavailable_reason(&self, now: Micros) -> Option<Unavailable> {
        let doubt = self.doubt.map(|t| Unavailable::AcceptorFailed(t.label()));
        doubt.or_else(|| self.standstill.clone().filter(|_| self.lease(now).is_none()))
    }

    /// This router convenes: it is the one to wish for changes.
    pub fn is_leader(&self, now: Micros) -> bool {
        self.mine && self.lease(now).is_some()
    }

    /// Wishes for a value in place of this number. Only who convenes can have it written; whether it was is
    /// seen in what is held.
    pub fn propose(&mut self, now: Micros, number: u64, value: V) {
        if self.is_leader(now) {
            self.wish = Some((number, value));
            self.next_try = now;
        }
    }

    /// The keeper beside it does not vote, as it says.
    pub fn set_acceptor_error(&mut self, trouble: Option<AcceptorError>) {
        self.doubt = trouble;
    }

    /// Other keepers by the settings: changed one by one, by agreement.
    pub fn set_configured_replicas(&mut self, named: &[RouterId]) {
        self.named = named.to_vec();
        self.convener.set_configured_replicas(named);
    }

    pub fn next_wakeup(&self) -> Micros {
        let tries = if self.convener.is_idle() { self.next_try } else { self.convener.next_wakeup() };
        let tries = if self.may_convene() { tries } else { Micros::MAX };
        tries.min(self.next_ask)
    }

    fn may_convene(&self) -> bool {
        self.keeps || self.named.contains(&self.me)
    }

    /// `live`: whether a router seems to be there; only whom to ask goes by it.
    pub fn wake(
        &mut self,
        now: Micros,
        live: &dyn Fn(RouterId) -> bool,
        orders: &mut dyn RegisterActions<V>,
    ) {
        if now >= self.next_ask {
            self.next_ask = now + LEASE_REQUEST_INTERVAL;
            self.ask(now, live, orders);
        }
        if !self.may_convene() {
            return;
        }
        if !self.convener.is_idle() {
            if now >= self.convener.next_wakeup() {
                if self.convener.awaits(self.convener.ballot()) {
                    self.missed();
                }
                if self.convener.wake(now, &mut Ask(orders)) {
                    self.begin(now);
                }
            }
        } else if now >= self.next_try {
            let lately =
                self.lease(now).is_some_and(|h| h.expires_at > now + LEASE_DURATION - LEADER_TIMEOUT);
            self.next_try = now
                + if self.mine {
                    LEASE_RENEWAL_INTERVAL
                } else {
                    LEADER_TIMEOUT + self.rng.rand_range(0..LEADER_TIMEOUT)
                };
            if self.mine || !lately {
                self.begin(now);
                self.convener.prepare(now, &mut Ask(orders));
            }
        }
    }

    fn begin(&mut self, now: Micros) {
        self.begun = now;
        self.doubts.clear();
        self.empty.clear();
    }

    /// A try that most have not answered in time: which of the reasons it was.
    fn missed(&mut self) {
        let answered = self.convener.responders();
        let of = self.named.len();
        if answered.is_empty() && self.doubts.is_empty() {
            self.standstill = Some(Unavailable::NoQuorum { heard: 0, of });
            return;
        }
        let empty = self.empty.len();
        // On a first start some have not come up yet; who knows of a past knows that it was lost.
        let past = self.remembered || self.seen.is_some();
        self.standstill = Some(match self.convener.lost_replicas() {
            Some((empty, of)) if 2 * empty >= of => Unavailable::MajorityLost { empty, of },
            _ if 2 * empty > of && past => Unavailable::MajorityLost { empty, of },
            _ => Unavailable::NoQuorum { heard: answered.len(), of },
        });
    }

    fn ask(&mut self, now: Micros, live: &dyn Fn(RouterId) -> bool, orders: &mut dyn RegisterActions<V>) {
        self.asks += 1;
        self.asked = now;
        let known = self.from.filter(|from| live(*from) && *from != self.me && self.lease(now).is_some());
        let others: Vec<RouterId> = self.named.iter().copied().filter(|n| *n != self.me).collect();
        if others.is_empty() || self.mine {
            return;
        }
        let to = known.unwrap_or(others[self.asks as usize % others.len()]);
        orders.request_state(to, self.asks);
    }

    // ---- The convener's side -----------------------------------------------------------------

    /// `remembered`: lines that others say they have seen, and how far; a hint, which only ever forbids.
    pub fn on_promised(
        &mut self,
        now: Micros,
        seat: ReplicaId,
        ballots: (Ballot, Ballot),
        accepted: Option<(Ballot, RegisterState<V>)>,
        remembered: &[(InstanceId, u64)],
        orders: &mut dyn RegisterActions<V>,
    ) {
        self.remembered = !remembered.is_empty();
        let this_try = ballots.0 == self.convener.ballot();
        if this_try && accepted.is_none() && !self.empty.contains(&seat.router) {
            self.empty.push(seat.router);
        }
        match self.convener.on_promised(seat, ballots, accepted, &mut Ask(orders)) {
            Some(RoundOutcome::Read(agreed, seats)) => {
                // Guards against disks that were all put back: what they agree on is older than what was
                // known, or of another life.
                let past = |(line, number): &(InstanceId, u64)| {
                    *line != agreed.register_id || *number > agreed.version
                };
                if remembered.iter().chain(&self.seen).any(past) {
                    self.standstill = Some(Unavailable::StateRolledBack);
                    return self.leave(now, LEASE_RENEWAL_INTERVAL);
                }
                self.read(now, agreed, &seats, orders);
            }
            Some(RoundOutcome::Uninitialized(keepers)) => {
                if self.remembered || self.seen.is_some() {
                    // Guards against an empty past that is none: all have lost what they had agreed on.
                    self.standstill = Some(Unavailable::StateForgotten);
                } else if now >= self.born + BOOTSTRAP_DELAY {
                    let line = InstanceId(self.instance_id.0 ^ self.convener.ballot().round.rotate_left(32));
                    let (before, value) = (Vec::new(), V::default());
                    let agreed = RegisterState {
                        register_id: line,
                        version: 1,
                        replicas: keepers,
                        previous_replicas: before,
                        value,
                    };
                    self.convener.propose(now, agreed, &mut Ask(orders));
                    return;
                }
                self.leave(now, LEASE_RENEWAL_INTERVAL);
            }
            _ => {}
        }
    }

    fn leave(&mut self, now: Micros, wait: Micros) {
        self.convener.abandon();
        self.next_try = now + wait + self.rng.rand_range(0..LEASE_RENEWAL_INTERVAL);
    }

    fn read(
        &mut self,
        now: Micros,
        agreed: RegisterState<V>,
        heard: &[ReplicaId],
        orders: &mut dyn RegisterActions<V>,
    ) {
        if agreed.version == 1 {
            // Guards against leases of a fleet's life before: holders that are cut off still count on them.
            let since = match self.fresh {
                Some((line, since)) if line == agreed.register_id => since,
                _ => now,
            };
            self.fresh = Some((agreed.register_id, since));
            if now < since + BOOTSTRAP_LEASE_WAIT {
                self.standstill = Some(Unavailable::BootstrapPending);
                self.leave(now, since + BOOTSTRAP_LEASE_WAIT - now);
                return;
            }
        }
        let mut next = agreed.clone();
        let wish = self.wish.take().filter(|(on, _)| *on == agreed.version);
        if agreed.version == 1 {
            next.version = 2;
        } else if !agreed.previous_replicas.is_empty() {
            (next.version, next.previous_replicas) = (agreed.version + 1, Vec::new());
        } else if let Some(keepers) = changed(&agreed.replicas, &self.named, heard) {
            (next.version, next.previous_replicas, next.replicas) =
                (agreed.version + 1, agreed.replicas, keepers);
        } else if let Some((_, value)) = wish {
            (next.version, next.value) = (agreed.version + 1, value);
        }
        self.convener.propose(now, next, &mut Ask(orders));
    }

    pub fn on_accepted(&mut self, now: Micros, seat: ReplicaId, ballot: Ballot) {
        let Some(RoundOutcome::Committed(agreed)) = self.convener.on_accepted(seat, ballot) else { return };
        self.seen = Some((agreed.register_id, agreed.version));
        if agreed.version == 1 {
            self.fresh = Some((agreed.register_id, now));
            self.standstill = Some(Unavailable::BootstrapPending);
            self.next_try = now + BOOTSTRAP_LEASE_WAIT;
            return;
        }
        // A change that is under way goes on at once.
        let pause = if agreed.previous_replicas.is_empty() { LEASE_RENEWAL_INTERVAL } else { 0 };
        (self.mine, self.next_try) = (true, now + pause);
        self.from = Some(self.me);
        self.standstill = None;
        self.held = Some(RegisterLease {
            state: agreed,
            expires_at: self.begun + LEASE_DURATION - LEASE_DURATION / CLOCK_DRIFT_DIVISOR,
        });
    }

    pub fn on_rejected(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if ballot == self.convener.ballot() && promised > ballot && !self.convener.is_idle() {
            // Somebody else convenes; it is left to do so for a while, or both would go on overtaking.
            self.mine = false;
            self.convener.on_rejected(now, ballot, promised);
            let wait = if self.lease(now).is_some() { LEADER_TIMEOUT } else { RETRY_BACKOFF };
            self.leave(now, wait);
        }
    }

    pub fn on_abstained(&mut self, from: RouterId, ballot: Ballot) {
        if ballot == self.convener.ballot() && !self.doubts.contains(&from) {
            self.doubts.push(from);
        }
    }

    // ---- Copies ------------------------------------------------------------------------------

    pub fn on_state_request(
        &mut self,
        now: Micros,
        from: RouterId,
        number: u64,
        orders: &mut dyn RegisterActions<V>,
    ) {
        if let Some(held) = self.lease(now) {
            orders.send_state(from, number, &held.state, held.expires_at - now);
        }
    }

    /// An answer to this router's ask: it counts from when the ask was sent, and not from when it came.
    pub fn on_state_response(
        &mut self,
        now: Micros,
        from: RouterId,
        number: u64,
        agreed: RegisterState<V>,
        left: Micros,
    ) {
        // Guards against an answer to an ask of long ago, and one that claims more than there is.
        if number != self.asks || left > LEASE_DURATION {
            return;
        }
        let end = self.asked + left - left / CLOCK_DRIFT_DIVISOR;
        let older = self.seen.is_some_and(|(line, n)| line == agreed.register_id && n > agreed.version);
        let other = self.seen.is_some_and(|(line, _)| line != agreed.register_id);
        if now >= end || older || other {
            return;
        }
        let longer = self.lease(now).is_none_or(|h| h.expires_at < end || h.state.version < agreed.version);
        if longer {
            self.seen = Some((agreed.register_id, agreed.version));
            self.from = Some(from);
            self.mine &= from == self.me;
            self.held = Some(RegisterLease { state: agreed, expires_at: end });
        }
    }
}

/// One step from those who keep it to those that the settings name, if there is one: a lost disk is replaced,
/// then a router that is not named makes room for one that is and answers.
fn changed(keepers: &[ReplicaId], named: &[RouterId], heard: &[ReplicaId]) -> Option<Vec<ReplicaId>> {
    let mut next = keepers.to_vec();
    let has = |seats: &[ReplicaId], name: RouterId| seats.iter().any(|s| s.router == name);
    for seat in heard {
        if let Some(place) = next.iter_mut().find(|s| s.router == seat.router && s.disk != seat.disk) {
            *place = *seat;
            return Some(next);
        }
    }
    let comes = heard.iter().find(|s| named.contains(&s.router) && !has(keepers, s.router));
    let goes = next.iter().position(|s| !named.contains(&s.router));
    match (comes, goes) {
        (Some(seat), Some(place)) => next[place] = *seat,
        (Some(seat), None) if next.len() < MAX_REPLICAS => next.push(*seat),
        (None, Some(place)) if next.len() > named.len() => drop(next.remove(place)),
        _ => return None,
    }
    Some(next)
}
