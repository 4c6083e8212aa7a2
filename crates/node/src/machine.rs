//! One router: connects clients, the module, model servers and the name service.
use crate::callers::{Caller, Doing, Patience, Reply, Request};
use crate::links::{Came, Item, Link};
use crate::watch::Watch;
use crate::workers::{Worker, Workers};
use applepond::control::Control;
use applepond::interface::{
    AttemptResult, Endpoint, EndpointListKind, Micros, Outcome, RequestArrival, RequestId, WorkerStatus,
};
use applepond_gateway::attempt_outcome::{self, SendProgress};
use applepond_gateway::deferred::{DeferredCall, DeferredCalls, FiredTimer};
use applepond_gateway::request_table::{
    Action, ActionQueue, AttemptId, Dispatch, RequestTable, Started, attempt_result,
};
use applepond_platform::call::{Ask, id_text};
use applepond_platform::config::{Member, Start};
use applepond_platform::fault::Unfit;
use applepond_platform::line;
use applepond_reactor::{Closed, Conn, Listener, Machine, Transport, Wake};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// µs between two looks at connections, the name service and signals.
const TICK: Micros = 50_000;
/// µs kept back for an answer's way to the client, which counts from when it sent its call.
const WAY_BACK: Micros = 10_000;
/// Of eight parts of the descriptors, those for clients (the platform's own take a third of all at most) and
/// for model servers; the rest is for the process itself and for connections on their way out.
const CLIENT_PARTS: usize = 4;
const WORKER_PARTS: usize = 3;
/// Attempts on one connection as long as there are descriptors for another: they are lost together.
const TOGETHER: usize = 4;
/// Part of the time after which model servers close idle connections at which this side does: a call must not
/// cross their closing.
const IDLE_PART: f64 = 0.75;
/// µs without a word on a connection that owes answers after which it is asked whether it works: most answers
/// take less.
const QUIET: Micros = 250_000;
/// µs in which a working connection says so: far above the way there and back, and above the pauses of a
/// model server that is merely busy.
const ECHO_LIMIT: Micros = 500_000;
/// µs in which the address may still be held by the process before this one: a start has failed after 30 s.
const LISTEN_LIMIT: Micros = 20_000_000;
/// µs after the word to stop during which new connections and calls still come, and some to spare.
const LEAVING: Micros = 900_000;
/// µs after the order to leave at which whatever is still open is answered: the platform counts the longest
/// deadline as 3 s where it is longer, and kills 0.7 s after that.
const ANSWER_ALL: Micros = 3_300_000;

/// The one question a connection may have open carries this.
const ECHO_TAG: &str = "works";

/// What a timer leaves to do.
type Step = DeferredCall<Node>;

/// What the process is told from outside.
pub enum News {
    /// The configuration was replaced; an error says why it cannot be read.
    Again(Result<Box<Start>, Unfit>),
    Leave,
}

/// Why a router is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was told to stop, and owes nothing.
    Left,
    /// Its address is not to be had.
    NoAddress,
}

/// What this router keeps of a request beside its life.
struct Task {
    caller: Option<Conn>,
    /// The line that runs it, up to the time it has.
    head: Vec<u8>,
    body: Vec<u8>,
}

pub struct Node {
    start: Start,
    control: Control,
    actions: ActionQueue,
    lives: RequestTable<Task>,
    callers: FxHashMap<Conn, Caller>,
    callers_most: usize,
    patience: Patience,
    links: FxHashMap<Conn, Link>,
    links_most: usize,
    workers: Workers,
    /// Model servers that take attempts, one at the least.
    fleet: usize,
    watch: Watch,
    /// Clients whose answer has gone out and whose next request may be here; links with something to write.
    ready: VecDeque<Conn>,
    /// Clients with a request that waits for the list, as this process has stood still.
    later: BTreeSet<Conn>,
    dirty: Vec<Conn>,
    deferred: DeferredCalls<Node>,
    news: Box<dyn FnMut() -> Option<News>>,
    /// Since when this router is on its way out.
    leaving: Option<Micros>,
    listener: Option<(Listener, SocketAddr)>,
    on_end: Box<dyn FnMut(End)>,
}

impl Node {
    /// `now` is the shell's clock. `news` is asked at each tick; `on_end` is told when nothing is left to do
    /// after the word to stop.
    pub fn new(
        now: Micros,
        start: Start,
        news: Box<dyn FnMut() -> Option<News>>,
        on_end: Box<dyn FnMut(End)>,
    ) -> Self {
        let mut actions = ActionQueue::default();
        let control = Control::new(now, start.rows.clone(), &mut actions);
        Node {
            control,
            actions,
            lives: RequestTable::default(),
            callers: FxHashMap::default(),
            callers_most: start.descriptors * CLIENT_PARTS / 8,
            patience: Patience::default(),
            links: FxHashMap::default(),
            links_most: start.descriptors * WORKER_PARTS / 8,
            workers: Workers::default(),
            fleet: 1,
            watch: Watch::new(now, start.names, start.index, start.rows.seed),
            ready: VecDeque::new(),
            later: BTreeSet::new(),
            dirty: Vec::new(),
            deferred: DeferredCalls::default(),
            news,
            leaving: None,
            listener: None,
            on_end,
            start,
        }
    }

    /// Where it listens, once and as long as it does.
    pub fn at(&self) -> Option<SocketAddr> {
        self.listener.map(|(_, at)| at)
    }

    /// Jobs, client connections, connections to model servers, and model servers that are kept.
    pub fn kept(&self) -> [usize; 4] {
        [self.lives.len(), self.callers.len(), self.links.len(), self.workers.len()]
    }

    fn after(&mut self, now: Micros, transport: &mut dyn Transport, delay: Micros, step: Step) {
        self.deferred.schedule(now, transport, delay, step);
    }

    // ---- The module's orders -----------------------------------------------------------------

    /// Carries out what the module ordered, and what comes of that, until nothing is left.
    fn settle(&mut self, now: Micros, transport: &mut dyn Transport) {
        if !self.later.is_empty() && !self.watch.stale(now) {
            self.ready.extend(std::mem::take(&mut self.later));
        }
        loop {
            while let Some(action) = self.actions.pop() {
                self.carry_out(now, transport, action);
            }
            if let Some(conn) = self.ready.pop_front() {
                self.read_on(now, transport, conn);
            } else if let Some(conn) = self.dirty.pop() {
                self.pump(now, transport, conn);
            } else {
                return;
            }
        }
    }

    fn carry_out(&mut self, now: Micros, transport: &mut dyn Transport, action: Action) {
        match action {
            Action::Send(dispatch) => self.start_attempt(now, transport, &dispatch),
            Action::Cancel(attempt) => self.end_attempt(now, attempt, Outcome::Cancelled),
            Action::Reject(request, come_back) => {
                self.end(now, transport, request, Reply { come_back, ..Reply::bare(503) });
            }
            Action::Fail(request) => {
                let late = self.lives.get(request).is_some_and(|l| l.timed_out || now >= l.deadline);
                self.end(now, transport, request, Reply::bare(if late { 504 } else { 502 }));
            }
            Action::SetTimer(delay, token) => {
                DeferredCalls::<Node>::schedule_control(now, transport, delay, token);
            }
            Action::Log(text) => tracing::info!(target: "module", "{text}"),
            // The list is asked for at each tick anyway.
            Action::WatchEndpoints => {}
        }
    }

    fn start_attempt(&mut self, now: Micros, transport: &mut dyn Transport, dispatch: &Dispatch) {
        let most = self.start.rows.attempt_policy.max_attempts;
        match self.lives.start_attempt(now, dispatch, most) {
            Some(Started::InFlight(attempt)) => {
                self.arm(now, transport);
                self.place(now, transport, attempt);
            }
            Some(Started::Refused(attempt)) => {
                self.close_attempt(now, attempt, attempt_result(Outcome::Superseded))
            }
            None => {}
        }
    }

    /// Sets the timer for the attempt whose time is up first, unless one fires earlier anyway.
    fn arm(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some(until) = self.lives.next_timer() {
            let step: Step = Box::new(|node, now, transport| node.times_up(now, transport));
            self.after(now, transport, until.saturating_sub(now), step);
        }
    }

    fn times_up(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(attempt) = self.lives.pop_timed_out(now) {
            self.end_attempt(now, attempt, Outcome::TimedOut);
        }
        self.arm(now, transport);
    }

    /// Puts an attempt on a connection that has room for it, a new one if need be.
    fn place(&mut self, now: Micros, transport: &mut dyn Transport, attempt: AttemptId) {
        let Some(life) = self.lives.get_mut(attempt.request) else { return };
        let server = life.attempts[attempt.index].worker;
        let wanted = life.may_start(now, attempt.index);
        let ready = |w: &&mut Worker| wanted && w.standing == WorkerStatus::Ready;
        let Some(worker) = self.workers.get_mut(server).filter(ready) else {
            return self.close_attempt(now, attempt, attempt_result(Outcome::Superseded));
        };
        let idle_limit = (self.start.terms.idle_limit as f64 * IDLE_PART) as Micros;
        let usable = worker.links.iter().copied().filter(|conn| {
            let link = &self.links[conn];
            let fresh = link.load() > 0 || now < link.busy + idle_limit;
            // Another answer to an earlier attempt of the request may still come here under the same id, also
            // where it has had one.
            let used = life.attempts[..attempt.index].iter().any(|e| e.connection == Some(*conn));
            fresh && !used && link.load() < self.start.terms.streams
        });
        // The fullest that is not full: connections that are seldom idle are few. All on one are lost with
        // it, so one is full with a few attempts, as long as there are descriptors for more.
        let most = if self.links.len() < self.links_most { self.links_most / self.fleet } else { 0 };
        let spread = worker.links.len() < most;
        let few = usable.clone().filter(|conn| !spread || self.links[conn].load() < TOGETHER);
        let key =
            |conn: &Conn| if spread { self.links[conn].load() } else { usize::MAX - self.links[conn].load() };
        let conn = match few.max_by_key(key) {
            Some(conn) => conn,
            // That there is no descriptor is not this server's fault.
            None if self.links.len() >= self.links_most => {
                if self.make_room(now, transport) {
                    return self.place(now, transport, attempt);
                }
                tracing::warn!(
                    links = self.links.len(),
                    "no descriptor is left for a connection to a server"
                );
                return self.close_attempt(now, attempt, attempt_result(Outcome::Superseded));
            }
            _ => {
                let conn = transport.connect(worker.address, self.start.terms.connect_limit);
                self.links.insert(conn, Link::new(now, server));
                worker.links.push(conn);
                conn
            }
        };
        life.attempts[attempt.index].connection = Some(conn);
        self.links.get_mut(&conn).expect("just found").queue.push_back(Item::Run(attempt));
        self.dirty.push(conn);
    }

    /// Ends the connection to a server that has lain idle longest, for one that is needed.
    fn make_room(&mut self, now: Micros, transport: &mut dyn Transport) -> bool {
        let idle = self.links.iter().filter(|(_, link)| link.idle()).map(|(conn, link)| (link.busy, *conn));
        let oldest = idle.min();
        oldest.into_iter().for_each(|(_, conn)| self.link_over(now, transport, conn));
        oldest.is_some()
    }

    /// Writes what waits on a connection, as far as the kernel takes it: what it has not begun to take can
    /// still be taken back.
    fn pump(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        while let Some(link) = self.links.get_mut(&conn).filter(|l| l.open)
            && let Some(item) = link.queue.pop_front()
        {
            link.busy = now;
            let (run, bytes) = match item {
                Item::Rest(bytes) => (None, bytes),
                Item::Run(attempt) => {
                    let Some(life) = self.lives.get(attempt.request) else { continue };
                    // Guards against an attempt that begins though nobody waits for its request any more,
                    // also where those that have begun may not be cancelled, against a repeat that a model
                    // server would not know any more when its connection comes up late or takes nothing, and
                    // against a server that drained, or went, while this process stood still and asked for
                    // no list.
                    if !life.may_start(now, attempt.index) || self.watch.stale(now) {
                        self.close_attempt(now, attempt, attempt_result(Outcome::Superseded));
                        continue;
                    }
                    let mut bytes = life.data.head.clone();
                    line::rest(&mut bytes, life.deadline.saturating_sub(now).div_ceil(1000), &life.data.body);
                    (Some(attempt), bytes)
                }
            };
            let taken = transport.offer(conn, &bytes);
            if let Some(attempt) = run {
                if taken == 0 {
                    link.queue.push_front(Item::Run(attempt));
                    return;
                }
                if link.out.is_empty() {
                    link.heard = now;
                }
                link.out.insert(attempt.request, attempt.index);
            }
            if taken < bytes.len() {
                link.queue.push_front(Item::Rest(bytes[taken..].to_vec()));
                return;
            }
        }
        let given_up = self.links.get_mut(&conn).filter(|l| l.open).map(|l| std::mem::take(&mut l.given_up));
        for attempt in given_up.into_iter().flatten() {
            self.close_attempt(now, attempt, attempt_result(Outcome::Cancelled));
        }
    }

    /// Ends an attempt from this side, by a cancel or because its time is up. What has not left is taken
    /// back and has never run; what has is given up by a line.
    fn end_attempt(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(life) = self.lives.get_mut(attempt.request) else { return };
        let Some(state) = life.attempts.get(attempt.index).filter(|state| !state.closed) else { return };
        life.timed_out |= outcome == Outcome::TimedOut;
        // Whether the request may have another attempt for this one, but not beside it.
        let alone =
            outcome == Outcome::Cancelled && !life.ended && !self.start.rows.attempt_policy.hedging_allowed;
        let mut outcome = outcome;
        if let Some(conn) = state.connection
            && let Some(link) = self.links.get_mut(&conn)
        {
            if link.take_back(attempt) {
                outcome = attempt_outcome::on_local_end_unsent(outcome);
            } else if link.out.remove(&attempt.request).is_some() {
                let mut bytes = Vec::new();
                line::undo(&mut bytes, id_text(&attempt.request));
                link.queue.push_back(Item::Rest(bytes));
                if alone {
                    // Guards against two that are out together where that is forbidden: this one closes when
                    // the word that gives it up has left.
                    link.given_up.push(attempt);
                    self.dirty.push(conn);
                    return;
                }
                self.dirty.push(conn);
            } else {
                link.given_up.retain(|given_up| *given_up != attempt);
            }
        }
        self.close_attempt(now, attempt, attempt_result(outcome));
    }

    /// Tells the module how an attempt closed, once.
    fn close_attempt(&mut self, now: Micros, attempt: AttemptId, answer: AttemptResult) {
        let server = self.lives.get(attempt.request).map(|l| l.attempts[attempt.index].worker.0);
        if let Some(answer) = self.lives.close_attempt(now, attempt, answer) {
            tracing::debug!(
                request = id_text(&attempt.request),
                attempt = attempt.index,
                server,
                ?answer,
                "attempt closed"
            );
            self.control.advance_to(now);
            self.control.attempt_finished(&mut self.actions, attempt.request, attempt.index, &answer);
        }
    }

    /// The one place where a request ends.
    fn end(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId, reply: Reply) {
        let Some(life) = self.lives.end(request) else { return };
        tracing::debug!(
            request = id_text(&request),
            status = reply.status,
            took = now - life.arrived_at,
            "job ended"
        );
        let caller = life.data.caller.take();
        self.lives.remove_if_done(request);
        if let Some(conn) = caller {
            self.answer(now, transport, conn, &reply);
        }
    }

    // ---- The clients' side -------------------------------------------------------------------

    fn answer(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, reply: &Reply) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        caller.answer(now, transport, conn, reply, self.leaving.is_some());
        self.patience.insert(conn, caller);
        self.ready.push_back(conn);
    }

    /// Takes the requests that are whole, as far as answers allow.
    fn read_on(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if self.watch.stale(now) {
            self.later.insert(conn);
            return;
        }
        while let Some(caller) = self.callers.get_mut(&conn)
            && let Some(asked) = caller.next(transport, conn, &self.start)
        {
            self.patience.remove(conn, caller);
            match asked {
                Ok(Request { ask: Ask::Check, .. }) => {
                    return self.answer(now, transport, conn, &Reply::bare(200));
                }
                Ok(Request { ask: Ask::Job(mut arrival, head), body, begun }) => {
                    let spent = now.saturating_sub(begun) + WAY_BACK;
                    arrival.time_left = arrival.time_left.saturating_sub(spent).max(1);
                    self.take(now, transport, conn, arrival, Task { caller: Some(conn), head, body });
                }
                Err(fault) => {
                    tracing::debug!(reason = fault.reason, detail = fault.detail, "refused");
                    caller.refuse(now, transport, conn, &fault);
                    self.patience.insert(conn, caller);
                }
            }
        }
    }

    fn take(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
        arrival: RequestArrival,
        task: Task,
    ) {
        let request = arrival.request;
        if self.lives.get(request).is_some() {
            // Another request under an open id: which of the two an answer belongs to could not be told.
            return self.answer(now, transport, conn, &Reply::bare(409));
        }
        let RequestArrival {
            function, workload, time_left: left, concurrency: lanes, retry, load_time, ..
        } = &arrival;
        tracing::debug!(
            request = id_text(&request),
            ?function,
            ?workload,
            left,
            lanes,
            retry,
            ?load_time,
            "a job"
        );
        self.lives.insert(request, now, now + arrival.time_left, task);
        self.callers.get_mut(&conn).expect("it has just asked").request = Some(request);
        self.control.advance_to(now);
        self.control.request_arrived(&mut self.actions, &arrival);
    }

    /// A client has gone: nothing is owed to it, and its request ends.
    fn caller_gone(&mut self, now: Micros, conn: Conn) {
        let Some(caller) = self.callers.remove(&conn) else { return };
        self.patience.remove(conn, &caller);
        if let Some(request) = caller.request
            && self.lives.end(request).is_some()
        {
            self.lives.remove_if_done(request);
            self.control.advance_to(now);
            self.control.client_disconnected(&mut self.actions, request);
        }
    }

    /// Ends connections with which patience is over, and where there are too many, those that matter least.
    /// Never one whose request is open.
    fn part_with_callers(&mut self, now: Micros, transport: &mut dyn Transport) {
        loop {
            let many = self.callers.len() > self.callers_most;
            let owes = |conn| transport.unsent(conn) > 0;
            let least = if many { self.patience.least(now, owes) } else { None };
            let Some(conn) = self.patience.over(now).or(least) else { return };
            transport.cut(conn);
            self.caller_gone(now, conn);
        }
    }

    // ---- The model servers' side -------------------------------------------------------------

    fn link_bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let mut came = Came::default();
        let read = link.feed(bytes, &mut came);
        link.heard = now;
        if came.works || !came.answers.is_empty() {
            link.asked = None;
        }
        for (request, answer, body) in came.answers {
            // Given up, told twice, or never asked for: nobody waits for it.
            let Some(index) = self.links.get_mut(&conn).and_then(|link| link.out.remove(&request)) else {
                continue;
            };
            let attempt = AttemptId { request, index };
            if answer.outcome == Outcome::Finished {
                self.end(now, transport, request, Reply { body, ..Reply::bare(200) });
            }
            self.close_attempt(now, attempt, answer);
        }
        if let Err(fault) = read {
            tracing::debug!(reason = fault.reason, detail = fault.detail, "a connection to a server is cut");
            self.link_over(now, transport, conn);
        }
    }

    /// A connection that cannot be used any more is cut: what has left on it may have run.
    fn link_over(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        transport.cut(conn);
        self.link_gone(now, transport, conn);
    }

    fn link_gone(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(link) = self.links.remove(&conn) else { return };
        if !link.out.is_empty() {
            let (server, lost) = (link.server.0, link.out.len());
            let (silent, age) = (now - link.heard, now - link.since);
            tracing::info!(server, lost, silent, age, "a connection that owed answers is gone");
        }
        if let Some(worker) = self.workers.get_mut(link.server) {
            worker.links.retain(|c| *c != conn);
        }
        for (request, index) in link.out {
            let attempt = AttemptId { request, index };
            self.close_attempt(
                now,
                attempt,
                attempt_result(attempt_outcome::on_disconnect(SendProgress::Sent)),
            );
        }
        for attempt in link.given_up {
            self.close_attempt(now, attempt, attempt_result(Outcome::Cancelled));
        }
        for item in link.queue {
            let Item::Run(attempt) = item else { continue };
            if link.open {
                // Nothing of it had left when the connection broke: it goes out on another one.
                self.place(now, transport, attempt);
            } else {
                self.close_attempt(
                    now,
                    attempt,
                    attempt_result(attempt_outcome::on_disconnect(SendProgress::NotConnected)),
                );
            }
        }
    }

    /// A connection carries nothing new any more: what waits on it is taken back, what has left may come to
    /// its end.
    fn part(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.parted = true;
        let queue = std::mem::take(&mut link.queue);
        let (runs, rests): (Vec<_>, Vec<_>) = queue.into_iter().partition(|i| matches!(i, Item::Run(..)));
        link.queue = rests.into();
        for item in runs {
            if let Item::Run(attempt) = item {
                self.close_attempt(now, attempt, attempt_result(Outcome::Superseded));
            }
        }
        self.sweep_link(now, transport, conn);
    }

    /// Cuts a connection that is of no more use: parted with and owing nothing, idle too long, or one that
    /// owes answers and does not even say that it works. Guards against peers that vanish without a word.
    fn sweep_link(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let idle_limit = (self.start.terms.idle_limit as f64 * IDLE_PART) as Micros;
        let Some(link) = self.links.get_mut(&conn) else { return };
        let over = match link.asked {
            // Also where it owes nothing any more: or lines that give up would pile up on a dead one.
            Some(asked) if now >= asked + ECHO_LIMIT => true,
            _ => link.load() == 0 && (link.parted || now >= link.busy + idle_limit),
        };
        if over {
            self.link_over(now, transport, conn);
        } else if link.open && link.asked.is_none() && link.owes() && now >= link.heard + QUIET {
            let mut bytes = Vec::new();
            line::echo(&mut bytes, ECHO_TAG);
            link.queue.push_back(Item::Rest(bytes));
            link.asked = Some(now);
            self.dirty.push(conn);
        }
    }

    // ---- The list ----------------------------------------------------------------------------

    fn listed(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        kind: EndpointListKind,
        list: &[Member],
    ) {
        for conn in self.workers.take(kind, list) {
            self.part(now, transport, conn);
        }
        self.fleet = self.workers.ready().max(1);
        let entries: Vec<Endpoint> = list.iter().map(|m| m.listed.clone()).collect();
        self.control.advance_to(now);
        self.control.endpoints_updated(&mut self.actions, kind, &entries);
    }

    // ---- The way out -------------------------------------------------------------------------

    /// Ends once nothing is owed any more: whoever has connected is heard out, and each answer is with the
    /// kernel and its client has ended too, or what the kernel has not delivered would go with the process.
    /// Each connection takes one request more at the most, and patience bounds its silence.
    fn wind_up(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some((listener, _)) = self.listener.take() {
            // Whoever connected last is told of only after this call, and may be owed something.
            return transport.stop_accepting(listener, true);
        }
        for conn in self.patience.idle() {
            let caller = self.callers.get_mut(&conn).expect("idle ones are kept");
            self.patience.remove(conn, caller);
            caller.leave(now, transport, conn);
            self.patience.insert(conn, caller);
        }
        if self.lives.is_empty() && self.callers.is_empty() {
            (self.on_end)(End::Left);
        }
    }

    // ---- Now and then ------------------------------------------------------------------------

    /// Listens, if need be as soon as the process before this one has given the address back.
    fn listen(&mut self, now: Micros, transport: &mut dyn Transport, until: Micros) {
        // One more than are kept open, so that a new one is seen and takes the place of another.
        match transport.listen(self.start.listen, self.callers_most + 1) {
            Ok((listener, at)) => {
                tracing::info!(%at, "listening");
                self.listener = Some((listener, at));
            }
            Err(error) if error.kind() == ErrorKind::AddrInUse && now < until => {
                tracing::warn!(listen = %self.start.listen, "the address is still in use");
                let step: Step = Box::new(move |node, now, transport| node.listen(now, transport, until));
                self.after(now, transport, TICK, step);
            }
            Err(error) => {
                tracing::error!(listen = %self.start.listen, %error, "cannot listen");
                (self.on_end)(End::NoAddress);
            }
        }
    }

    fn tick(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(news) = (self.news)() {
            match news {
                News::Again(Ok(start)) => {
                    tracing::info!(names = %start.names, "a new configuration holds");
                    self.watch.moved(transport, start.names);
                }
                News::Again(Err(why)) => tracing::warn!(%why, "the old configuration holds"),
                News::Leave => _ = self.leaving.get_or_insert(now),
            }
        }
        self.watch.tick(now, transport);
        self.part_with_callers(now, transport);
        let mut conns: Vec<Conn> = self.links.keys().copied().collect();
        conns.sort_unstable();
        for conn in conns {
            self.sweep_link(now, transport, conn);
        }
        if self.leaving.is_some_and(|since| now >= since + ANSWER_ALL) {
            self.control.advance_to(now);
            self.control.finish_all(&mut self.actions);
        }
        if self.leaving.is_some_and(|since| now >= since + LEAVING) {
            self.wind_up(now, transport);
        }
        self.after(now, transport, TICK, Box::new(|node, now, transport| node.tick(now, transport)));
    }
}

impl Machine for Node {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        for (kind, list) in std::mem::take(&mut self.start.known) {
            self.listed(now, transport, kind, &list);
        }
        self.listen(now, transport, now + LISTEN_LIMIT);
        self.tick(now, transport);
        self.settle(now, transport);
    }

    fn accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, _: Listener) {
        // Who hangs up wants no answer: what it asked for must not be sent on any more.
        transport.hangup_first(conn);
        let caller = Caller::new(now);
        self.patience.insert(conn, &caller);
        self.callers.insert(conn, caller);
        self.part_with_callers(now, transport);
        self.settle(now, transport);
    }

    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.open = true;
            link.heard = now;
            self.dirty.push(conn);
        }
        self.settle(now, transport);
    }

    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            if caller.doing == Doing::Reading {
                self.patience.remove(conn, caller);
            }
            let fits = caller.feed(now, transport.arrived(conn, now), bytes);
            if caller.doing == Doing::Reading {
                self.patience.insert(conn, caller);
            }
            if fits {
                self.read_on(now, transport, conn);
            } else {
                transport.cut(conn);
                self.caller_gone(now, conn);
            }
        } else {
            self.link_bytes(now, transport, conn, bytes);
        }
        self.settle(now, transport);
    }

    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        // Clients and model servers alike mean it when they close: no answer is owed, none comes.
        if self.callers.contains_key(&conn) {
            transport.cut(conn);
            self.caller_gone(now, conn);
        } else {
            self.link_over(now, transport, conn);
        }
        self.settle(now, transport);
    }

    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, _: Closed, _: u64) {
        if self.callers.contains_key(&conn) {
            self.caller_gone(now, conn);
        } else {
            self.link_gone(now, transport, conn);
        }
        self.settle(now, transport);
    }

    fn datagram_received(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        if let Some(told) = self.watch.told(now, transport, conn, bytes, &self.start.words) {
            if told.left_out > 0 {
                tracing::warn!(left_out = told.left_out, "servers of the list lack records");
            }
            self.listed(now, transport, EndpointListKind::Full, &told.members);
        }
        self.settle(now, transport);
    }

    fn flushed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if self.links.contains_key(&conn) {
            self.dirty.push(conn);
        }
        self.settle(now, transport);
    }

    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        if DeferredCalls::<Node>::is_control(wake) && self.watch.stale(now) {
            // What the module would send now would not be let go.
            transport.wake_at(now + TICK, wake);
        } else {
            match self.deferred.fired(wake) {
                Some(FiredTimer::Control(token)) => {
                    self.control.advance_to(now);
                    self.control.timer_fired(&mut self.actions, token);
                }
                Some(FiredTimer::Call(call)) => call(self, now, transport),
                None => {}
            }
        }
        self.settle(now, transport);
    }
}
