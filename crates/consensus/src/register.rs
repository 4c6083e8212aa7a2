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
pub trait Actions<V>: Questions<V> {
    fn promised(
        &mut self,
        to: RouterId,
        ballots: (Ballot, Ballot),
        disk: InstanceId,
        accepted: Option<&(Ballot, Agreed<V>)>,
    );
    fn accepted(&mut self, to: RouterId, ballot: Ballot, disk: InstanceId);
    fn refused(&mut self, to: RouterId, ballot: Ballot, promised: Ballot);
    /// This keeper does not vote, and why.
    fn doubts(&mut self, to: RouterId, ballot: Ballot, trouble: Trouble);
    /// What is agreed on?
    fn ask(&mut self, to: RouterId, number: u64);
    /// It is this, for so many µs more from when the ask was sent.
    fn copy(&mut self, to: RouterId, number: u64, agreed: &Agreed<V>, left: Micros);
}

/// Why nothing is agreed on at present; what is shared goes on at its floors meanwhile.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Standstill {
    #[error("{heard} of {of} keepers answer; more than half have to")]
    #[diagnostic(
        code(accord::too_few),
        help("start the routers named in 'keepers' or mend the way to them; nothing is lost meanwhile")
    )]
    TooFew { heard: usize, of: usize },
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
    Remembered,
    #[error("the keepers' disks agree on less than others have seen, or on something of another life")]
    #[diagnostic(
        code(accord::past),
        help(
            "somebody has put back copies of the keepers' disks: stop all keepers, remove their 'votes' \
             files, raise 'founding' in the fleet block of all routers and start them again"
        )
    )]
    Past,
    #[error("this router's vote cannot be relied on ({0}), so it does not vote")]
    #[diagnostic(
        code(accord::keeper_in_doubt),
        help(
            "not-written: make room or mend the disk and start this router again. Others: stop it, remove \
             its 'votes' file and start it again; the others take it in as a new keeper"
        )
    )]
    InDoubt(&'static str),
    #[error("what is agreed on was founded a moment ago; leases of a life before have to end first")]
    #[diagnostic(code(accord::ripens), help("nothing: it passes within seconds"))]
    Ripens,
}

impl Standstill {
    /// One of each, for the table of codes.
    pub fn each() -> Vec<Standstill> {
        vec![
            Standstill::TooFew { heard: 0, of: 0 },
            Standstill::MajorityLost { empty: 0, of: 0 },
            Standstill::Remembered,
            Standstill::Past,
            Standstill::InDoubt(""),
            Standstill::Ripens,
        ]
    }
}

/// What is agreed on, as held here until it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held<V> {
    pub agreed: Agreed<V>,
    /// By this process' clock; from then on it says nothing any more.
    pub end: Micros,
}

pub struct Register<V> {
    me: RouterId,
    instance_id: InstanceId,
    named: Vec<RouterId>,
    /// It has a keeper beside it, and why that one does not vote.
    keeps: bool,
    doubt: Option<Trouble>,
    convener: Convener<V>,
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
    held: Option<Held<V>>,
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
    standstill: Option<Standstill>,
    rng: Rand64,
}

/// The half of the orders that a try needs.
struct Ask<'a, V>(&'a mut dyn Actions<V>);

impl<V> Questions<V> for Ask<'_, V> {
    fn promise(&mut self, to: RouterId, ballot: Ballot, word: Option<(InstanceId, Ballot)>) {
        self.0.promise(to, ballot, word);
    }
    fn accept(
        &mut self,
        to: RouterId,
        ballot: Ballot,
        agreed: &Agreed<V>,
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
            convener: Convener::new(instance_id, named, seed),
            begun: now,
            mine: false,
            // All keepers start at once with their fleet; the first to try is mostly alone.
            next_try: now + FOUND_WAIT + rng.rand_range(0..TAKE_OVER),
            next_ask: now + rng.rand_range(0..ASK),
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
    pub fn held(&self, now: Micros) -> Option<&Held<V>> {
        self.held.as_ref().filter(|h| now < h.end)
    }

    /// The line and number last heard of, also where they no longer count.
    pub fn seen(&self) -> Option<(InstanceId, u64)> {
        self.seen
    }

    /// What stands in the way, where nothing counts.
    pub fn standstill(&self, now: Micros) -> Option<Standstill> {
        let doubt = self.doubt.map(|t| Standstill::InDoubt(t.word()));
        doubt.or_else(|| self.standstill.clone().filter(|_| self.held(now).is_none()))
    }

    /// This router convenes: it is the one to wish for changes.
    pub fn convenes(&self, now: Micros) -> bool {
        self.mine && self.held(now).is_some()
    }

    /// Wishes for a value in place of this number. Only who convenes can have it written; whether it was is
    /// seen in what is held.
    pub fn wish(&mut self, now: Micros, number: u64, value: V) {
        if self.convenes(now) {
            self.wish = Some((number, value));
            self.next_try = now;
        }
    }

    /// The keeper beside it does not vote, as it says.
    pub fn keeper_doubts(&mut self, trouble: Option<Trouble>) {
        self.doubt = trouble;
    }

    /// Other keepers by the settings: changed one by one, by agreement.
    pub fn rename(&mut self, named: &[RouterId]) {
        self.named = named.to_vec();
        self.convener.rename(named);
    }

    pub fn next(&self) -> Micros {
        let tries = if self.convener.is_idle() { self.next_try } else { self.convener.next() };
        let tries = if self.may_convene() { tries } else { Micros::MAX };
        tries.min(self.next_ask)
    }

    fn may_convene(&self) -> bool {
        self.keeps || self.named.contains(&self.me)
    }

    /// `live`: whether a router seems to be there; only whom to ask goes by it.
    pub fn wake(&mut self, now: Micros, live: &dyn Fn(RouterId) -> bool, orders: &mut dyn Actions<V>) {
        if now >= self.next_ask {
            self.next_ask = now + ASK;
            self.ask(now, live, orders);
        }
        if !self.may_convene() {
            return;
        }
        if !self.convener.is_idle() {
            if now >= self.convener.next() {
                if self.convener.awaits(self.convener.ballot()) {
                    self.missed();
                }
                if self.convener.wake(now, &mut Ask(orders)) {
                    self.begin(now);
                }
            }
        } else if now >= self.next_try {
            let lately = self.held(now).is_some_and(|h| h.end > now + LEASE - TAKE_OVER);
            self.next_try =
                now + if self.mine { CONFIRM } else { TAKE_OVER + self.rng.rand_range(0..TAKE_OVER) };
            if self.mine || !lately {
                self.begin(now);
                self.convener.read(now, &mut Ask(orders));
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
        let answered = self.convener.answered();
        let of = self.named.len();
        if answered.is_empty() && self.doubts.is_empty() {
            self.standstill = Some(Standstill::TooFew { heard: 0, of });
            return;
        }
        let empty = self.empty.len();
        // On a first start some have not come up yet; who knows of a past knows that it was lost.
        let past = self.remembered || self.seen.is_some();
        self.standstill = Some(match self.convener.lost() {
            Some((empty, of)) if 2 * empty >= of => Standstill::MajorityLost { empty, of },
            _ if 2 * empty > of && past => Standstill::MajorityLost { empty, of },
            _ => Standstill::TooFew { heard: answered.len(), of },
        });
    }

    fn ask(&mut self, now: Micros, live: &dyn Fn(RouterId) -> bool, orders: &mut dyn Actions<V>) {
        self.asks += 1;
        self.asked = now;
        let known = self.from.filter(|from| live(*from) && *from != self.me && self.held(now).is_some());
        let others: Vec<RouterId> = self.named.iter().copied().filter(|n| *n != self.me).collect();
        if others.is_empty() || self.mine {
            return;
        }
        let to = known.unwrap_or(others[self.asks as usize % others.len()]);
        orders.ask(to, self.asks);
    }

    // ---- The convener's side -----------------------------------------------------------------

    /// `remembered`: lines that others say they have seen, and how far; a hint, which only ever forbids.
    pub fn promised(
        &mut self,
        now: Micros,
        seat: Seat,
        ballots: (Ballot, Ballot),
        accepted: Option<(Ballot, Agreed<V>)>,
        remembered: &[(InstanceId, u64)],
        orders: &mut dyn Actions<V>,
    ) {
        self.remembered = !remembered.is_empty();
        let this_try = ballots.0 == self.convener.ballot();
        if this_try && accepted.is_none() && !self.empty.contains(&seat.name) {
            self.empty.push(seat.name);
        }
        match self.convener.promised(seat, ballots, accepted, &mut Ask(orders)) {
            Some(Heard::Read(agreed, seats)) => {
                // Guards against disks that were all put back: what they agree on is older than what was
                // known, or of another life.
                let past =
                    |(line, number): &(InstanceId, u64)| *line != agreed.line || *number > agreed.number;
                if remembered.iter().chain(&self.seen).any(past) {
                    self.standstill = Some(Standstill::Past);
                    return self.leave(now, CONFIRM);
                }
                self.read(now, agreed, &seats, orders);
            }
            Some(Heard::Empty(keepers)) => {
                if self.remembered || self.seen.is_some() {
                    // Guards against an empty past that is none: all have lost what they had agreed on.
                    self.standstill = Some(Standstill::Remembered);
                } else if now >= self.born + FOUND_WAIT {
                    let line = InstanceId(self.instance_id.0 ^ self.convener.ballot().round.rotate_left(32));
                    let (before, value) = (Vec::new(), V::default());
                    let agreed = Agreed { line, number: 1, keepers, before, value };
                    self.convener.write(now, agreed, &mut Ask(orders));
                    return;
                }
                self.leave(now, CONFIRM);
            }
            _ => {}
        }
    }

    fn leave(&mut self, now: Micros, wait: Micros) {
        self.convener.leave();
        self.next_try = now + wait + self.rng.rand_range(0..CONFIRM);
    }

    fn read(&mut self, now: Micros, agreed: Agreed<V>, heard: &[Seat], orders: &mut dyn Actions<V>) {
        if agreed.number == 1 {
            // Guards against leases of a fleet's life before: holders that are cut off still count on them.
            let since = match self.fresh {
                Some((line, since)) if line == agreed.line => since,
                _ => now,
            };
            self.fresh = Some((agreed.line, since));
            if now < since + RIPE {
                self.standstill = Some(Standstill::Ripens);
                self.leave(now, since + RIPE - now);
                return;
            }
        }
        let mut next = agreed.clone();
        let wish = self.wish.take().filter(|(on, _)| *on == agreed.number);
        if agreed.number == 1 {
            next.number = 2;
        } else if !agreed.before.is_empty() {
            (next.number, next.before) = (agreed.number + 1, Vec::new());
        } else if let Some(keepers) = changed(&agreed.keepers, &self.named, heard) {
            (next.number, next.before, next.keepers) = (agreed.number + 1, agreed.keepers, keepers);
        } else if let Some((_, value)) = wish {
            (next.number, next.value) = (agreed.number + 1, value);
        }
        self.convener.write(now, next, &mut Ask(orders));
    }

    pub fn accepted(&mut self, now: Micros, seat: Seat, ballot: Ballot) {
        let Some(Heard::Written(agreed)) = self.convener.accepted(seat, ballot) else { return };
        self.seen = Some((agreed.line, agreed.number));
        if agreed.number == 1 {
            self.fresh = Some((agreed.line, now));
            self.standstill = Some(Standstill::Ripens);
            self.next_try = now + RIPE;
            return;
        }
        // A change that is under way goes on at once.
        let pause = if agreed.before.is_empty() { CONFIRM } else { 0 };
        (self.mine, self.next_try) = (true, now + pause);
        self.from = Some(self.me);
        self.standstill = None;
        self.held = Some(Held { agreed, end: self.begun + LEASE - LEASE / DRIFT });
    }

    pub fn refused(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        if ballot == self.convener.ballot() && promised > ballot && !self.convener.is_idle() {
            // Somebody else convenes; it is left to do so for a while, or both would go on overtaking.
            self.mine = false;
            self.convener.refused(now, ballot, promised);
            let wait = if self.held(now).is_some() { TAKE_OVER } else { AGAIN };
            self.leave(now, wait);
        }
    }

    pub fn doubted(&mut self, from: RouterId, ballot: Ballot) {
        if ballot == self.convener.ballot() && !self.doubts.contains(&from) {
            self.doubts.push(from);
        }
    }

    // ---- Copies ------------------------------------------------------------------------------

    pub fn asked(&mut self, now: Micros, from: RouterId, number: u64, orders: &mut dyn Actions<V>) {
        if let Some(held) = self.held(now) {
            orders.copy(from, number, &held.agreed, held.end - now);
        }
    }

    /// An answer to this router's ask: it counts from when the ask was sent, and not from when it came.
    pub fn copied(&mut self, now: Micros, from: RouterId, number: u64, agreed: Agreed<V>, left: Micros) {
        // Guards against an answer to an ask of long ago, and one that claims more than there is.
        if number != self.asks || left > LEASE {
            return;
        }
        let end = self.asked + left - left / DRIFT;
        let older = self.seen.is_some_and(|(line, n)| line == agreed.line && n > agreed.number);
        let other = self.seen.is_some_and(|(line, _)| line != agreed.line);
        if now >= end || older || other {
            return;
        }
        let longer = self.held(now).is_none_or(|h| h.end < end || h.agreed.number < agreed.number);
        if longer {
            self.seen = Some((agreed.line, agreed.number));
            self.from = Some(from);
            self.mine &= from == self.me;
            self.held = Some(Held { agreed, end });
        }
    }
}

/// One step from those who keep it to those that the settings name, if there is one: a lost disk is replaced,
/// then a router that is not named makes room for one that is and answers.
fn changed(keepers: &[Seat], named: &[RouterId], heard: &[Seat]) -> Option<Vec<Seat>> {
    let mut next = keepers.to_vec();
    let has = |seats: &[Seat], name: RouterId| seats.iter().any(|s| s.name == name);
    for seat in heard {
        if let Some(place) = next.iter_mut().find(|s| s.name == seat.name && s.disk != seat.disk) {
            *place = *seat;
            return Some(next);
        }
    }
    let comes = heard.iter().find(|s| named.contains(&s.name) && !has(keepers, s.name));
    let goes = next.iter().position(|s| !named.contains(&s.name));
    match (comes, goes) {
        (Some(seat), Some(place)) => next[place] = *seat,
        (Some(seat), None) if next.len() < KEEPERS_MOST => next.push(*seat),
        (None, Some(place)) if next.len() > named.len() => drop(next.remove(place)),
        _ => return None,
    }
    Some(next)
}
