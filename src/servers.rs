//! What a router knows of each model server, and what is kept up beside it: sums over all, the members of the
//! hash orders, and when something of a server ends by itself. State only, no decision.
use crate::control::FADE;
use crate::hashing::HashOrder;
use crate::interface::*;
use applepond_rendezvous::Members;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// A count that fades from beat to beat, worked out when it is asked for.
#[derive(Default, Clone, Copy)]
pub(crate) struct Fading {
    amount: f64,
    beat: u64,
}

impl Fading {
    /// The amount as of a beat, which is not before that of the last change.
    pub fn at(self, beat: u64) -> f64 {
        if self.amount == 0.0 { 0.0 } else { self.amount * FADE.powi((beat - self.beat) as i32) }
    }

    /// The amount as of a beat, to be changed.
    pub fn at_mut(&mut self, beat: u64) -> &mut f64 {
        *self = Fading { amount: self.at(beat), beat };
        &mut self.amount
    }
}

/// What this router knows of one function at one server.
#[derive(Default, Clone)]
pub(crate) struct Holding {
    /// Own attempts that are out there.
    pub out: u32,
    /// Jobs of other routers for the function there, as told or as this router's own ones let expect.
    pub others: Fading,
    /// Until when a loaded copy is taken to stand.
    pub serving_until: Micros,
    /// Since when an own load is under way.
    pub loading: Option<Micros>,
    /// Until when the server counts as full for the function.
    pub full_until: Micros,
}

/// What is known of functions at one server. Boxed, as most servers hold one or two, and a node of the map
/// has room for many.
pub(crate) type Holdings = BTreeMap<FunctionId, Box<Holding>>;

/// What this router knows of one server.
#[derive(Default)]
pub(crate) struct Server {
    /// The list holds it ready.
    pub open: bool,
    pub up_since: Micros,
    pub zone: Option<ZoneId>,
    pub rack: RackId,
    pub weight: f64,
    /// Own attempts there, and those of them that wait for a load.
    pub out: u32,
    pub waiting: u32,
    /// Jobs of other routers there.
    pub others: Fading,
    /// Jobs of all routers that it has room for; 0 until a pace is known.
    pub room: f64,
    /// How much of a start target its answers take, and when room may shrink again.
    pub lag: f64,
    pub cut_at: Micros,
    pub heard: Micros,
    /// When the latest sent of the requests that it has answered was sent.
    pub proved: Micros,
    pub errors: f64,
    pub broken: Micros,
    pub aside: Option<Micros>,
    pub backoff: Micros,
    pub trickle: Option<u32>,
    /// Work sent while it was cold, and when it leaves the span of the cold budget.
    pub cold_sent: Vec<(Micros, f64)>,
    /// Customers that it turns away though it has room, and until when that is believed.
    pub shut: BTreeMap<CustomerId, Micros>,
    pub holds: Holdings,
    /// When the next of what ends by itself does; kept by [`Servers`].
    pub due: Micros,
}

impl Server {
    /// Own requests there that run or are about to: those that wait for a load take no core.
    pub fn running(&self) -> f64 {
        f64::from(self.out.saturating_sub(self.waiting))
    }

    /// Takes the place of an earlier life at the same name: nothing of that holds but what is out there.
    /// Returns what is lost.
    pub fn succeed(&mut self, new: Server) -> Holdings {
        let old = std::mem::replace(self, new);
        (self.out, self.waiting, self.due) = (old.out, old.waiting, old.due);
        let (kept, lost): (Holdings, Holdings) = old.holds.into_iter().partition(|(_, hold)| hold.out > 0);
        let out = |hold: &Holding| Box::new(Holding { out: hold.out, ..Holding::default() });
        self.holds = kept.iter().map(|(function, hold)| (*function, out(hold))).collect();
        lost
    }
}

/// Own requests that run and requests of other routers, at one server or at all.
#[derive(Clone, Copy, Default)]
pub(crate) struct Jobs {
    running: f64,
    others: f64,
}

/// All servers that are known. What changes by [`Servers::change`] or between [`Servers::jobs_at`] and
/// [`Servers::account`] keeps the sums true, so that no event and no beat has to walk all of them.
#[derive(Default)]
pub(crate) struct Servers {
    known: BTreeMap<WorkerId, Server>,
    /// Those that the list holds ready, by weight.
    open: Members<HashOrder>,
    /// Jobs at all open ones, those of others as of the last beat.
    requests: Jobs,
    /// Those of which something ends by itself, by when.
    due: BTreeSet<(Micros, WorkerId)>,
    /// Those that may be aside or on trial: all that are, and some that were.
    doubtful: BTreeSet<WorkerId>,
    /// Those that are not open, and go once nothing is out there.
    closing: BTreeSet<WorkerId>,
    /// Those without room, as no pace was known.
    roomless: BTreeSet<WorkerId>,
    /// Beats so far.
    beat: u64,
}

impl Index<&WorkerId> for Servers {
    type Output = Server;

    fn index(&self, id: &WorkerId) -> &Server {
        &self.known[id]
    }
}

impl Servers {
    pub fn get(&self, id: &WorkerId) -> Option<&Server> {
        self.known.get(id)
    }

    /// For changes that move neither sums nor ends; others go through [`Servers::change`].
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Server> {
        self.known.get_mut(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Server)> {
        self.known.iter()
    }

    /// Those that the list holds ready.
    pub fn open(&self) -> &Members<HashOrder> {
        &self.open
    }

    /// Beats so far, by which others' requests fade.
    pub fn beat(&self) -> u64 {
        self.beat
    }

    pub fn next_beat(&mut self) {
        self.beat += 1;
        self.requests.others *= FADE;
    }

    /// Jobs at all open servers.
    pub fn busy(&self) -> f64 {
        self.requests.running + self.requests.others.max(0.0)
    }

    pub fn insert(&mut self, id: WorkerId, server: Server) {
        self.known.insert(id, server);
        self.change(id, |_| {});
    }

    /// Changes one that is known: its life, its place in the list, what is out there.
    pub fn change<T>(&mut self, id: WorkerId, how: impl FnOnce(&mut Server) -> T) -> T {
        let before = self.jobs_at(id);
        let server = self.known.get_mut(&id).expect("only known servers change");
        let result = how(server);
        self.open.set(id, server.open.then_some(server.weight));
        if server.open {
            self.closing.remove(&id)
        } else {
            self.closing.insert(id)
        };
        if server.room == 0.0 {
            self.roomless.insert(id);
        }
        self.account(id, before);
        result
    }

    /// Jobs at one as they count for the sums.
    pub fn jobs_at(&self, id: WorkerId) -> Jobs {
        let server = self.known.get(&id).filter(|server| server.open);
        server.map_or(Jobs::default(), |s| Jobs { running: s.running(), others: s.others.at(self.beat) })
    }

    /// Takes over what has changed of one since `before`.
    pub fn account(&mut self, id: WorkerId, before: Jobs) {
        let after = self.jobs_at(id);
        self.requests.running += after.running - before.running;
        self.requests.others += after.others - before.others;
        self.schedule(id);
    }

    /// Notes when the next of what ends by itself at a server does: a kept copy, a rest, work sent cold.
    pub fn schedule(&mut self, id: WorkerId) {
        let Some(server) = self.known.get_mut(&id) else { return };
        let ends = |hold: &&Holding| hold.out == 0 && hold.loading.is_none();
        let holds = server.holds.values().map(Box::as_ref).filter(ends);
        let holds = holds.map(|hold| hold.serving_until.max(hold.full_until));
        let sent = server.cold_sent.first().map(|(until, _)| *until);
        let due = holds.chain(sent).min().unwrap_or(Micros::MAX);
        if due != server.due {
            self.due.remove(&(server.due, id));
            if due != Micros::MAX {
                self.due.insert((due, id));
            }
            server.due = due;
        }
    }

    /// Takes out one of which something has ended by now; [`Servers::schedule`] puts it in again.
    pub fn next_due(&mut self, now: Micros) -> Option<WorkerId> {
        let (_, id) = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.due.pop_first();
        Some(id)
    }

    /// Takes out those that are not open and have nothing out.
    pub fn take_gone(&mut self) -> Vec<(WorkerId, Server)> {
        let gone = |id: &&WorkerId| self.known[id].out == 0;
        let gone: Vec<WorkerId> = self.closing.iter().filter(gone).copied().collect();
        gone.into_iter().filter_map(|id| Some((id, self.remove(id)?))).collect()
    }

    fn remove(&mut self, id: WorkerId) -> Option<Server> {
        let server = self.known.remove(&id)?;
        self.closing.remove(&id);
        self.doubtful.remove(&id);
        self.roomless.remove(&id);
        self.due.remove(&(server.due, id));
        Some(server)
    }

    /// Gives each that has no room yet what `room` says.
    pub fn give_room(&mut self, room: impl Fn(&Server) -> f64) {
        for id in std::mem::take(&mut self.roomless) {
            self.known.get_mut(&id).into_iter().for_each(|server| server.room = room(server));
        }
    }

    /// Notes one that is aside or on trial from now on.
    pub fn doubt(&mut self, id: WorkerId) {
        self.doubtful.insert(id);
    }

    /// Whether one may be aside or on trial.
    pub fn doubtful(&self, id: &WorkerId) -> bool {
        self.doubtful.contains(id)
    }

    /// Notes which are in doubt no longer.
    pub fn trust(&mut self, trusted: impl Fn(&Server) -> bool) {
        let known = &self.known;
        self.doubtful.retain(|id| known.get(id).is_some_and(|server| !trusted(server)));
    }
}
