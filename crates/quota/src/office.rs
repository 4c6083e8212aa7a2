//! One router's part in dividing: it holds parts, keeps the term if it is a keeper, and divides if the term
//! is its own. Who seems to be there only decides when somebody takes over; that two never give at once is by
//! the register and by leases.
use crate::*;
use applepond_consensus::{
    Acceptor, AcceptorState, AcceptorStorage, Ballot, ProposalOutcome, Proposer, ReplicaIndex,
};
use applepond_membership::{InstanceId, RouterId};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};

/// Who divides, as agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Rises by one with each who takes over.
    pub number: u64,
    pub name: RouterId,
    /// The process; one that was restarted has no term of its life before.
    pub by: InstanceId,
    /// What it divides and among how many, as one number: who has other settings has no part in it.
    pub settings: u64,
}

/// Where this router stands.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: RouterId,
    pub instance_id: InstanceId,
    /// The keepers by their places, the same in all routers' settings.
    pub keepers: Vec<RouterId>,
    /// Routers that could ever be there.
    pub routers: u64,
    pub rows: Vec<Row>,
}

impl Place {
    /// One number for the settings that all have to share; keepers by place, wholes, floors, how many.
    pub fn settings(&self) -> u64 {
        let names = self.keepers.iter().map(|k| k.0);
        let rows = self.rows.iter().flat_map(|r| [r.whole, r.floor]);
        let all = names.chain([self.routers, self.rows.len() as u64]).chain(rows);
        all.fold(0xb0d6_e75e_7711_9651, |sum: u64, n| {
            let x = (sum.rotate_left(23) ^ n).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            x ^ (x >> 29)
        })
    }
}

/// Messages to others; each may be lost, late or repeated.
pub trait Actions {
    fn promise(&mut self, to: RouterId, ballot: Ballot);
    fn accept(&mut self, to: RouterId, ballot: Ballot, term: &Term);
    fn promised(&mut self, to: RouterId, ballot: Ballot, before: Ballot, accepted: Option<(Ballot, Term)>);
    fn accepted(&mut self, to: RouterId, ballot: Ballot);
    fn refused(&mut self, to: RouterId, ballot: Ballot, promised: Ballot);
    /// `settings`: those of the asker, as `Place::settings` has them.
    fn ask(
        &mut self,
        to: RouterId,
        instance_id: InstanceId,
        settings: u64,
        numbers: (u64, u64),
        need: &[Amount],
    );
    fn given(&mut self, to: RouterId, instance_id: InstanceId, number: u64, extra: &[Amount]);
    /// Somebody else divides, or seems to.
    fn elsewhere(&mut self, to: RouterId, divides: RouterId);
}

/// The proposer's messages, to the keepers by name.
struct Post<'a>(&'a [RouterId], &'a mut dyn Actions);

impl applepond_consensus::ProposerActions<Term> for Post<'_> {
    fn prepare(&mut self, of: ReplicaIndex, ballot: Ballot) {
        self.1.promise(self.0[of.0 as usize], ballot);
    }
    fn accept(&mut self, by: ReplicaIndex, ballot: Ballot, value: &Term) {
        self.1.accept(self.0[by.0 as usize], ballot, value);
    }
}

pub struct Office {
    place: Place,
    pub holder: Holder,
    divider: Option<Divider>,
    keeper: Option<Acceptor<Term>>,
    /// Routers of keepers only.
    proposer: Option<Proposer<Term>>,
    /// When the try under way began, and when the next one may.
    begun: Micros,
    next_try: Micros,
    next_ask: Micros,
    /// Who divides, as last heard of, and when it was last known to.
    divides: Option<RouterId>,
    heard: Micros,
    rng: Rand64,
    guards: Guards,
    /// Who was last found to have other settings, and when.
    differs: Option<(RouterId, Micros)>,
}

impl Office {
    /// `found`: what the disk of this router's keeper holds, where it is one. Empty-handed at its start.
    ///
    /// # Panics
    /// Where keepers are none, more than five or an even number.
    pub fn new(now: Micros, place: Place, keeper: Option<Acceptor<Term>>, seed: u64) -> Self {
        let ids: Vec<ReplicaIndex> = (0..place.keepers.len() as u8).map(ReplicaIndex).collect();
        let keeps = place.keepers.contains(&place.name);
        let mut rng = Rand64::new(u128::from(seed));
        Office {
            holder: Holder::new(now, &place.rows),
            divider: None,
            keeper,
            proposer: keeps.then(|| Proposer::new(place.instance_id, &ids, seed)),
            begun: now,
            // All keepers start at once with their fleet; the first to try is mostly alone.
            next_try: now + rng.rand_range(0..TAKE_OVER),
            next_ask: now + rng.rand_range(0..RENEW),
            divides: None,
            heard: now,
            differs: None,
            place,
            rng,
            guards: Guards::ALL,
        }
    }

    /// The same with these guards alone, for tests and drills.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.holder = self.holder.with_guards(guards);
        self.guards = guards;
        self
    }

    /// This router divides now.
    pub fn is_divider(&self, now: Micros) -> bool {
        self.divider.as_ref().is_some_and(|d| d.divides(now))
    }

    /// Who divides, as far as is known here.
    pub fn divides(&self) -> Option<RouterId> {
        self.divides
    }

    pub fn divider(&self) -> Option<&Divider> {
        self.divider.as_ref()
    }

    /// Who was found to have other settings, while that is news.
    pub fn differs(&self, now: Micros) -> Option<RouterId> {
        self.differs.filter(|(_, at)| now < at + LEASE).map(|(name, _)| name)
    }

    /// When `wake` is to be called at the latest.
    pub fn next(&self) -> Micros {
        let proposer = self.proposer.as_ref();
        let tries =
            proposer.map_or(Micros::MAX, |p| if p.is_idle() { self.next_try } else { p.next_wakeup() });
        tries.min(self.next_ask)
    }

    /// `live`: whether a router seems to be there.
    pub fn wake(&mut self, now: Micros, live: &dyn Fn(RouterId) -> bool, orders: &mut dyn Actions) {
        if now >= self.next_ask {
            self.next_ask = now + RENEW;
            self.ask(now, live, orders);
        }
        let Some(proposer) = &mut self.proposer else { return };
        let mut post = Post(&self.place.keepers, orders);
        if !proposer.is_idle() {
            if now >= proposer.next_wakeup() {
                // A try that begins anew: what it confirms counts from here.
                self.begun = now;
                proposer.wake(now, &mut post);
            }
        } else if now >= self.next_try {
            let mine = self.divider.is_some();
            let wait = TAKE_OVER + self.rng.rand_range(0..TAKE_OVER);
            self.next_try = now + if mine { CONFIRM } else { wait };
            let gone = self.divides.is_none_or(|d| d == self.place.name || !live(d));
            if mine || gone && now >= self.heard + TAKE_OVER || now >= self.heard + 2 * LEASE {
                self.begun = now;
                proposer.prepare(now, &mut post);
            }
        }
    }

    /// Asks whoever divides, or a keeper's router, one after the other, where nobody is known to.
    fn ask(&mut self, now: Micros, live: &dyn Fn(RouterId) -> bool, orders: &mut dyn Actions) {
        let (number, turn, need) = self.holder.ask(now);
        let known = self.divides.filter(|d| live(*d) && now < self.heard + LEASE);
        let keepers = &self.place.keepers;
        let to = known.unwrap_or(keepers[number as usize % keepers.len()]);
        orders.ask(to, self.place.instance_id, self.place.settings(), (number, turn), &need);
    }

    // ---- The keeper's side -------------------------------------------------------------------

    pub fn promise(
        &mut self,
        from: RouterId,
        ballot: Ballot,
        disk: &mut dyn AcceptorStorage<Term>,
        orders: &mut dyn Actions,
    ) {
        match self.keeper.as_mut().and_then(|k| k.prepare(ballot, disk)) {
            Some(Ok((before, accepted))) => orders.promised(from, ballot, before, accepted),
            Some(Err(promised)) => orders.refused(from, ballot, promised),
            None => {}
        }
    }

    pub fn accept(
        &mut self,
        from: RouterId,
        ballot: Ballot,
        term: Term,
        now: Micros,
        disk: &mut dyn AcceptorStorage<Term>,
        orders: &mut dyn Actions,
    ) {
        // Guards against a division by other settings: a keeper that has others does not vote for it.
        if term.settings != self.place.settings() {
            self.differs = Some((from, now));
            return;
        }
        match self.keeper.as_mut().and_then(|k| k.accept(ballot, term, disk)) {
            Some(Ok(())) => orders.accepted(from, ballot),
            Some(Err(promised)) => orders.refused(from, ballot, promised),
            None => {}
        }
    }

    /// New settings: a whole or floor that shrinks does so here at once, and is given out less if this one
    /// divides. As many budgets as before.
    pub fn switch(&mut self, now: Micros, rows: &[Row], routers: u64) {
        (self.place.rows, self.place.routers) = (rows.to_vec(), routers);
        self.holder.switch(now, rows);
        self.divider.iter_mut().for_each(|d| d.switch(rows, routers));
    }

    /// What its keeper holds; for the state page.
    pub fn vote(&self) -> Option<&AcceptorState<Term>> {
        self.keeper.as_ref().map(Acceptor::state)
    }

    // ---- The proposer's side -----------------------------------------------------------------

    fn keeper_of(&self, name: RouterId) -> Option<ReplicaIndex> {
        self.place.keepers.iter().position(|k| *k == name).map(|n| ReplicaIndex(n as u8))
    }

    pub fn promised(
        &mut self,
        now: Micros,
        from: RouterId,
        (ballot, before): (Ballot, Ballot),
        accepted: Option<(Ballot, Term)>,
        live: &dyn Fn(RouterId) -> bool,
        orders: &mut dyn Actions,
    ) {
        let Some(keeper) = self.keeper_of(from) else { return };
        let Some(proposer) = &mut self.proposer else { return };
        let Some(ProposalOutcome::Read(term)) = proposer.on_promised(keeper, ballot, before, accepted) else {
            return;
        };
        let mine = term.as_ref().is_some_and(|t| t.by == self.place.instance_id);
        // Of a process before this one under the name nobody else is left to speak.
        let gone = term.as_ref().is_none_or(|t| t.name == self.place.name || !live(t.name));
        if !mine && !gone {
            proposer.abandon();
            (self.divides, self.heard, self.divider) = (term.map(|t| t.name), now, None);
            return;
        }
        if !mine {
            // Guards against what it noted in a term before: others have given since, and it waits again.
            self.divider = None;
        }
        let number = term.as_ref().map_or(1, |t| t.number + u64::from(!mine));
        let (name, by, settings) = (self.place.name, self.place.instance_id, self.place.settings());
        let next = Term { number, name, by, settings };
        proposer.propose(now, next, &mut Post(&self.place.keepers, orders));
    }

    pub fn accepted(&mut self, now: Micros, from: RouterId, ballot: Ballot) {
        let Some(keeper) = self.keeper_of(from) else { return };
        let Some(proposer) = &mut self.proposer else { return };
        let Some(ProposalOutcome::Committed(term)) = proposer.on_accepted(keeper, ballot) else { return };
        // Guards against settings that came since: most keepers have not voted for them.
        if term.settings != self.place.settings() {
            return;
        }
        self.next_try = now + CONFIRM;
        (self.divides, self.heard) = (Some(self.place.name), now);
        // Since when the term is its own: from the first time that it was known to be written.
        let new = || Divider::new(now, &self.place.rows, self.place.routers).with_guards(self.guards);
        self.divider.get_or_insert_with(new).confirmed(self.begun);
    }

    pub fn refused(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        self.proposer.iter_mut().for_each(|p| p.on_rejected(now, ballot, promised));
    }

    // ---- Parts -------------------------------------------------------------------------------

    pub fn asked(
        &mut self,
        now: Micros,
        from: RouterId,
        (instance_id, settings): (InstanceId, u64),
        numbers: (u64, u64),
        need: &[Amount],
        orders: &mut dyn Actions,
    ) {
        // Guards against a part of another whole: who has other settings keeps to its floor.
        if settings != self.place.settings() {
            self.differs = Some((from, now));
            return;
        }
        let divider = self.divider.as_mut().filter(|d| d.divides(now));
        match divider.and_then(|d| d.asked(now, instance_id, numbers, need)) {
            Some(extra) => orders.given(from, instance_id, numbers.0, &extra),
            None => {
                if let Some(divides) = self.divides.filter(|d| *d != from && now < self.heard + LEASE) {
                    orders.elsewhere(from, divides);
                }
            }
        }
    }

    pub fn given(
        &mut self,
        now: Micros,
        from: RouterId,
        instance_id: InstanceId,
        number: u64,
        extra: &[Amount],
    ) {
        if instance_id == self.place.instance_id {
            self.holder.given(now, number, extra);
            (self.divides, self.heard) = (Some(from), now);
        }
    }

    /// Another says who divides: it is asked next. Not news of it, or two could keep a dead one alive.
    pub fn elsewhere(&mut self, now: Micros, divides: RouterId, live: &dyn Fn(RouterId) -> bool) {
        if live(divides) && (self.divides.is_none() || now >= self.heard + LEASE) {
            self.divides = Some(divides);
            self.heard = self.heard.max(now.saturating_sub(LEASE / 2));
        }
    }
}
