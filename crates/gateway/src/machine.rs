//! The instance itself: connects the clients' side, the module, the workers' side and the host list.
use crate::claims::{Claim, Claims, Ending, Name};
use crate::deployment::{Deployment, FunctionBy, FunctionRow, NamedWorker, WorkloadNames};
use crate::fault::NotTaken;
use crate::front::{self, Ask, Caller, Draft, Patience, Told};
use crate::host_list::{Entry, HostList, Taken};
use crate::life::{Act, Acts, Lives, ended};
use crate::links::{Answering, Link};
use crate::{fate, limit, switch};
use applepond::control::Control;
use applepond::interface::*;
use applepond_admission::watch::Called;
use applepond_admission::{Gate, Passage};
use applepond_http::Fault;
use applepond_http::decode::{Decoder, Fields, Side, Step as Decoded, Visitor};
use applepond_http::encode::{self, Lines};
use applepond_reactor::{Closed, Conn, Listener, Machine, Transport, Wake};
use applepond_storage::WorkflowStore;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

mod chained;

/// Idle connections kept a worker: more than one router has requests there at a time.
const IDLE_MOST: usize = 64;
/// µs after which an idle connection is not used any more: shorter than a worker keeps it, so that the
/// worker's own closing does not meet a request on its way.
const IDLE_LIMIT: Micros = 4_000_000;
/// µs of idleness after which a connection carries no at-most-once request: should the worker have closed it
/// after all, the request would count as one that may have run.
const IDLE_AT_MOST_ONCE: Micros = 500_000;
/// µs between two looks for connections idle too long.
const SWEEP: Micros = 1_000_000;
/// Bytes of an opening's name at most; a longer one is none.
const OPENING_MOST: usize = 200;
/// µs after the start in which memory is looked at more often, and how often.
const EARLY: Micros = 6_000_000;
const EARLY_LOOK: Micros = 20_000;
/// µs between two looks at a client's patience at most: a new request may have begun meanwhile.
const LOOK: Micros = 5_000_000;
/// Jobs that have not ended at most; beyond it the gateway itself pushes back, at the cost of one answer.
const JOBS_MOST: usize = 20_000;
/// µs named as a time to come back by that.
const JOBS_MOST_WAIT: Micros = 1_000_000;
/// µs between two tries to reach the host list, at first and at most.
const WATCH_AGAIN: Micros = 100_000;
const WATCH_AGAIN_MOST: Micros = 3_000_000;
/// Bytes of one line of the host list at most.
const LINE_MOST: usize = 8 * 1024 * 1024;

/// What a timer leaves to do.
type Step = Box<dyn FnOnce(&mut Gateway, Micros, &mut dyn Transport)>;

/// What this gateway keeps of a request beside its life.
struct Task {
    name: Name,
    /// Digests of who asked first, and of the request's name.
    client: u64,
    digest: u64,
    workload: usize,
    function: String,
    /// Exchanges that wait for its answer.
    callers: Vec<Conn>,
    /// What every attempt sends after its own head.
    lines: Lines,
    media: Option<String>,
    data: Rc<Vec<u8>>,
    row: FunctionRow,
    opening: Option<Opening>,
    /// By the terms that it was taken under.
    effect: RetrySafety,
    /// Its answer came from a copy that stood loaded.
    stood: bool,
    /// What to do with its end, where it is a step of a chain: no client waits for it.
    then: Option<chained::Then>,
}

/// A request as it is begun, for a client or for a chain.
struct Wanted {
    name: Name,
    client: u64,
    digest: u64,
    workload: usize,
    function: String,
    customer: Option<CustomerId>,
    left: Micros,
    retry: bool,
    paid: f64,
    lines: Lines,
    media: Option<String>,
    data: Rc<Vec<u8>>,
    opening: Option<Opening>,
    callers: Vec<Conn>,
    then: Option<chained::Then>,
}

/// What a request begins with, and how large that is; a worker that has prepared it is quicker.
#[derive(Clone)]
struct Opening {
    name: String,
    size: u32,
}

/// The connection to the host list.
#[derive(Default)]
struct Watch {
    conn: Option<Conn>,
    decoder: Option<Decoder>,
    lines: ListLines,
    pause: Micros,
}

/// Lines of the list's body as they come in.
#[derive(Default)]
struct ListLines {
    status: u16,
    buffer: Vec<u8>,
    whole: VecDeque<Vec<u8>>,
}

impl Visitor for ListLines {
    fn request(&mut self, _: &str, _: &str, _: &Fields<'_>) -> Result<(), Fault> {
        Err(Fault::new(400, "bad-head", "an answer is wanted"))
    }
    fn response(&mut self, status: u16, _: &Fields<'_>) -> Result<(), Fault> {
        self.status = status;
        if status == 200 { Ok(()) } else { Err(Fault::new(status, "no-list", "the host list was not given")) }
    }
    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        for byte in bytes {
            if *byte == b'\n' {
                self.whole.push_back(std::mem::take(&mut self.buffer));
            } else if self.buffer.len() < LINE_MOST {
                self.buffer.push(*byte);
            } else {
                return Err(Fault::new(413, "long-line", "a line of the host list is too long"));
            }
        }
        Ok(())
    }
    fn end(&mut self, _: bool) -> Result<(), Fault> {
        Ok(())
    }
}

/// Counts since the start, for the state page.
#[derive(Default)]
struct Counts {
    requests: u64,
    joined: u64,
    again: u64,
    finished: u64,
    pushed_back: u64,
    killed: u64,
    attempts: u64,
    refused: u64,
    /// Pushed back before the module.
    damped: u64,
    /// New settings taken, and refused.
    switched: u64,
    kept: u64,
}

/// Asked once a `SWEEP` for new settings; an error where there are some that cannot be read.
pub type News = Box<dyn FnMut() -> Option<Result<Deployment, NotTaken>>>;

/// What outlasts this process, or comes from others of its kind: care to be taken, and never a permission.
pub trait Memory {
    /// What this router has seen of a worker that has answered it.
    fn saw(&mut self, now: Micros, server: WorkerId, up_since: Micros, seen: &WorkerHistory);
    fn saw_load_time(&mut self, now: Micros, function: FunctionId, took: Micros);
    /// What is usual here: first tries and connections opened a second, and the pace.
    fn saw_usual(&mut self, now: Micros, usual: [f64; 3]);
    /// A request was told to come back in so many µs.
    fn promised(&mut self, now: Micros, request: u64, wait: Micros);
    /// What was usual before the start, and promises still to be kept; once.
    #[allow(clippy::type_complexity)] // two things that are taken up together
    fn own(&mut self, now: Micros) -> Option<(Option<[f64; 3]>, Vec<(u64, Micros)>)>;
    /// What is still to be recalled; `recalled` once the module has taken it up.
    fn recalls(&mut self, now: Micros) -> Vec<(WorkerId, Micros, WorkerHistory)>;
    fn recalled(&mut self, server: WorkerId, up_since: Micros);
    /// What is made of the list's word on a worker.
    fn listed(&mut self, now: Micros, server: WorkerId, up_since: Micros, is: WorkerStatus) -> WorkerStatus;
    /// A whole list names these lives of workers and nobody else.
    fn whole(&mut self, named: &[(WorkerId, Micros)]);
    /// How long a function takes to load, where the settings do not say.
    fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros>;
}

/// Openings of requests over the fleet.
pub trait Openings {
    /// A request that was taken begins with it.
    fn uses(&mut self, name: &str, size: u32);
    /// For how long the worker of a request that is written now may keep it for pinned.
    fn rides(&self, now: Micros, name: &str) -> Option<Micros>;
    /// How many workers are ready.
    fn workers(&mut self, ready: usize);
}

/// A part of the state page, asked for when the page is.
pub type Page = Box<dyn Fn(Micros) -> serde_json::Value>;

pub struct Gateway {
    deployment: Deployment,
    /// Attributes by which functions and customers are named.
    picks: Rc<[String]>,
    control: Control,
    acts: Acts,
    callers: FxHashMap<Conn, Caller>,
    links: FxHashMap<Conn, Link>,
    listed: HostList,
    tasks: Lives<Task>,
    claims: Claims<Told>,
    /// Tells storms of retries, and stands before the module while one lasts.
    gate: Gate,
    chains: chained::Chains,
    /// What the log was last told that the traffic is called.
    said: Called,
    steps: BTreeMap<u64, Step>,
    next_step: u64,
    next_job: u64,
    watch: Watch,
    /// Clients whose answer has gone out and whose next request may be here.
    ready: VecDeque<Conn>,
    counts: Counts,
    /// Told where it listens, once it does.
    on_listening: Box<dyn FnMut(std::net::SocketAddr)>,
    news: News,
    memory: Option<Box<dyn Memory>>,
    openings: Option<Box<dyn Openings>>,
    /// The list's word on each worker, where memory may make something else of it.
    said_ready: BTreeMap<WorkerId, Entry>,
    born: Micros,
    /// What others of the process have for the state page.
    pages: Vec<(&'static str, Page)>,
}

impl Gateway {
    /// `now` is the shell's clock. `on_listening` is told the address, which matters for port 0.
    pub fn new(
        now: Micros,
        deployment: Deployment,
        on_listening: Box<dyn FnMut(std::net::SocketAddr)>,
    ) -> Self {
        let mut acts = Acts::default();
        let control = Control::new(now, deployment.rows.clone(), &mut acts);
        let claims =
            Claims::new(deployment.remember_for, deployment.remember_most, deployment.remember_bytes);
        let gate = Gate::new(now, deployment.rows.seed);
        Gateway {
            gate,
            chains: chained::Chains::new(deployment.rows.cache_lifetime),
            said: Called::Calm,
            picks: picks(&deployment),
            control,
            acts,
            callers: FxHashMap::default(),
            links: FxHashMap::default(),
            listed: HostList::default(),
            tasks: Lives::default(),
            claims,
            steps: BTreeMap::new(),
            next_step: 1,
            next_job: 0,
            watch: Watch { pause: WATCH_AGAIN, ..Watch::default() },
            ready: VecDeque::new(),
            counts: Counts::default(),
            deployment,
            on_listening,
            news: Box::new(|| None),
            memory: None,
            openings: None,
            said_ready: BTreeMap::new(),
            born: now,
            pages: Vec::new(),
        }
    }

    /// Who is asked now and then for new settings; they are taken without a restart.
    pub fn with_news(mut self, news: News) -> Self {
        self.news = news;
        self
    }

    /// What it remembers over its end and hears of others.
    pub fn with_memory(mut self, memory: Box<dyn Memory>) -> Self {
        self.memory = Some(memory);
        self
    }

    /// Who counts openings over the fleet and says which ride on requests.
    pub fn with_openings(mut self, openings: Box<dyn Openings>) -> Self {
        self.openings = Some(openings);
        self
    }

    /// A further part of the state page.
    pub fn with_page(mut self, name: &'static str, page: Page) -> Self {
        self.pages.push((name, page));
        self
    }

    /// Takes new settings, or keeps the old ones whole. What was taken in goes on under its old terms.
    fn switch(&mut self, now: Micros, transport: &mut dyn Transport, new: Result<Deployment, NotTaken>) {
        let only = |keys: switch::Refused| NotTaken::Restart(keys.join(", "));
        let merged = match new.and_then(|new| switch::merge(&self.deployment, new).map_err(only)) {
            Ok(merged) => merged,
            Err(why) => {
                self.counts.kept += 1;
                tracing::warn!(reason = "settings-kept", %why, "the old settings hold");
                return;
            }
        };
        self.counts.switched += 1;
        tracing::info!(reason = "settings-switched", switches = self.counts.switched, "new settings hold");
        self.deployment = merged;
        self.picks = picks(&self.deployment);
        self.callers.values_mut().for_each(|caller| caller.rename(&self.picks));
        self.control.advance_to(now);
        self.control.reconfigure(&mut self.acts, self.deployment.rows.clone());
        if self.deployment.hosts.is_none() {
            self.named_workers(now, transport);
        }
    }

    fn named_workers(&mut self, now: Micros, transport: &mut dyn Transport) {
        let entry = |w: &NamedWorker| Entry {
            server: WorkerId::named(&w.name),
            standing: WorkerStatus::Ready,
            up_since: 0,
            zone: w.zone.map(ZoneId),
            rack: w.rack,
            weight: w.weight,
        };
        let named = self.deployment.workers.iter().map(|w| (w.name.clone(), w.address, entry(w)));
        let taken = self.listed.take(EndpointListKind::Full, named.collect());
        self.listed(now, transport, &taken);
    }

    /// Where chains are recorded; without it they are known as long as this instance lives.
    pub fn with_record(mut self, record: Box<dyn WorkflowStore>) -> Self {
        self.chains.record = record;
        self
    }

    fn after(&mut self, now: Micros, transport: &mut dyn Transport, delay: Micros, step: Step) {
        self.next_step += 2;
        self.steps.insert(self.next_step, step);
        transport.wake_at(now + delay, Wake(self.next_step));
    }

    // ---- The module's orders -----------------------------------------------------------------

    /// Carries out what the module ordered, and what comes of that, until nothing is left. A client whose
    /// answer went out may have sent its next request already: those are taken here, one after the other, and
    /// not from within each other, or a long pipeline would fill the stack.
    fn settle(&mut self, now: Micros, transport: &mut dyn Transport) {
        loop {
            self.carry_out(now, transport);
            if let Some((request, todo)) = self.chains.begun.pop_front() {
                self.chain_goes_on(now, transport, request, todo);
                continue;
            }
            if let Some((then, end)) = self.chains.ends.pop_front() {
                then(self, now, transport, end);
                continue;
            }
            match self.ready.pop_front() {
                Some(conn) => self.read_on(now, transport, conn),
                None if self.write_down(now, transport) => {}
                None if self.acts.0.is_empty() && self.chains.ends.is_empty() => return,
                None => {}
            }
        }
    }

    fn carry_out(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(act) = self.acts.0.pop_front() {
            match act {
                Act::Send(request, server, patience, begin) => {
                    self.execute(now, transport, request, server, (patience, begin));
                }
                Act::Cancel(request, n) => {
                    self.drop_attempt(now, transport, request, n, Outcome::Cancelled);
                }
                Act::PushBack(request, come_back) => {
                    // In a storm the module's word stands, but all its pushbacks together would be a second
                    // wave.
                    let advised = self.damps().then(|| self.tasks.get(request)).flatten();
                    let advised = advised.map(|t| (t.of.client, t.of.digest, t.deadline.saturating_sub(now)));
                    let come_back = match (advised, come_back) {
                        (Some((client, name, left)), Some(_)) => self.gate.come_back(now, client, name, left),
                        (None, Some(wait)) => {
                            if let Some(task) = self.tasks.get(request) {
                                self.gate.told(task.of.digest, now + wait);
                            }
                            come_back
                        }
                        (_, None) => None,
                    };
                    let digest = self.tasks.get(request).map(|t| t.of.digest);
                    if let (Some(memory), Some(digest), Some(wait)) = (&mut self.memory, digest, come_back) {
                        memory.promised(now, digest, wait);
                    }
                    let fault =
                        Fault::new(503, "pushed-back", "there is no room in time; a retry does no harm");
                    let id = self.tasks.get(request).map(|t| t.of.name.1.clone());
                    let told = front::problem(Ending::PushedBack, &fault, id.as_deref(), come_back);
                    self.end(now, transport, request, told);
                }
                Act::Kill(request) => {
                    let Some(task) = self.tasks.get(request) else { continue };
                    let late = task.timed_out || now >= task.deadline;
                    let fault = if late {
                        Fault::new(504, "killed-late", "no answer came in time; the job may have run")
                    } else {
                        Fault::new(502, "killed", "the worker failed; the job may have run")
                    };
                    let id = task.of.name.1.clone();
                    let told = front::problem(Ending::Killed, &fault, Some(&id), None);
                    self.end(now, transport, request, told);
                }
                // The module's timers are many and carry their own number: they travel as they are, ours are
                // odd.
                Act::Wake(delay, token) => transport.wake_at(now + delay, Wake(token.0 << 1)),
                Act::Note(text) => tracing::info!(target: "module", "{text}"),
                // The list is pushed to whoever is connected to it, so there is nothing to ask for.
                Act::Watch => {}
            }
        }
    }

    /// Begins one attempt: on a connection that stands, else on a new one.
    fn execute(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        server: WorkerId,
        times: (Micros, Micros),
    ) {
        let most = self.deployment.rows.attempt_policy.max_attempts;
        match self.tasks.execute(now, request, server, times, most) {
            Some(Ok(n)) => {
                self.counts.attempts += 1;
                if let Some(worker) = self.listed.get_mut(server) {
                    worker.out += 1;
                }
                self.arm(now, transport);
                self.connect(now, transport, request, n);
            }
            Some(Err(n)) => self.close(now, request, n, ended(Outcome::Superseded)),
            None => {}
        }
    }

    fn arm(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some(until) = self.tasks.arm() {
            self.after(
                now,
                transport,
                until.saturating_sub(now),
                Box::new(|g, now, transport| g.times_up(now, transport)),
            );
        }
    }

    fn times_up(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some((request, n)) = self.tasks.due(now) {
            self.drop_attempt(now, transport, request, n, Outcome::TimedOut);
        }
        self.arm(now, transport);
    }

    fn connect(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId, n: usize) {
        let Some(task) = self.tasks.get_mut(request) else { return };
        let server = task.attempts[n].server;
        let at_most_once = task.of.effect == RetrySafety::AtMostOnce;
        let Some(worker) = self.listed.get_mut(server).filter(|w| w.standing == WorkerStatus::Ready) else {
            self.close(now, request, n, ended(Outcome::ConnectFailed));
            return;
        };
        let rested = if at_most_once { IDLE_AT_MOST_ONCE } else { IDLE_LIMIT };
        // The latest of them is the freshest; where that is too old, all are, and the sweep takes them.
        let fresh = worker.idle.last().is_some_and(|(_, since)| now < since + rested);
        let conn = match if fresh { worker.idle.pop() } else { None } {
            Some((conn, _)) => {
                let link = self.links.get_mut(&conn).expect("idle connections are known");
                link.carries = Some((request, n));
                link.sent_before = transport.sent(conn);
                conn
            }
            None => {
                let conn = transport.connect(worker.address, self.deployment.connect_limit);
                self.links.insert(conn, Link::new(server, (request, n)));
                conn
            }
        };
        task.attempts[n].link = Some(conn);
        if fresh {
            self.write(now, transport, conn);
        }
    }

    /// Writes the request of the attempt that a connection carries.
    fn write(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(link) = self.links.get(&conn) else { return };
        let Some((request, n)) = link.carries else { return };
        let Some(worker) = self.listed.get(link.server) else { return };
        // Its client has gone while the connection was made, or it is a repeat that would not be known now.
        if !self.tasks.get(request).is_some_and(|task| task.may_begin(now, n)) {
            self.drop_attempt(now, transport, request, n, Outcome::Superseded);
            return;
        }
        // A drain was told meanwhile: nothing new goes there.
        if worker.standing != WorkerStatus::Ready {
            self.drop_attempt(now, transport, request, n, Outcome::ConnectFailed);
            return;
        }
        let Some(task) = self.tasks.get(request) else { return };
        let mut head = encode::request("POST", "/run", &worker.address.to_string());
        head = head.lines(&task.of.lines);
        if let Some(media) = &task.of.media {
            head = head.field("Content-Type", media);
        }
        let row = &task.of.row;
        head = head
            .field("applepond-function", &task.of.function)
            .field("applepond-workload", &self.deployment.workloads[task.of.workload].name)
            .number("applepond-lanes", u64::from(row.lanes))
            .number("applepond-memory-mb", u64::from(row.memory_mb))
            .number("applepond-router", self.deployment.rows.router_index)
            .number("applepond-execution", n as u64)
            .number("applepond-time-left-ms", task.deadline.saturating_sub(now) / 1000);
        if let Some(opening) = &task.of.opening {
            head = head
                .field("applepond-opening", &opening.name)
                .number("applepond-opening-size", u64::from(opening.size));
            // Looked at as it is written: a list that is over pins nothing.
            if let Some(lease) = self.openings.as_ref().and_then(|o| o.rides(now, &opening.name)) {
                head = head.number("applepond-opening-lease-ms", lease / 1000);
            }
        }
        transport.write(conn, &head.body(&task.of.data));
    }

    /// Ends an attempt from this side, by a cancel or because its time is up: the worker is told by the end
    /// of its connection, and whatever it answers after that is never read.
    fn drop_attempt(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        n: usize,
        outcome: Outcome,
    ) {
        let Some(task) = self.tasks.get_mut(request) else { return };
        let Some(attempt) = task.attempts.get_mut(n).filter(|e| !e.closed) else { return };
        if let Some(conn) = attempt.link.take() {
            transport.cut(conn);
            self.links.remove(&conn);
        }
        task.timed_out |= outcome == Outcome::TimedOut;
        self.close(now, request, n, ended(outcome));
    }

    /// Tells the module how an attempt closed, once.
    fn close(&mut self, now: Micros, request: RequestId, n: usize, answer: AttemptResult) {
        let server = self.tasks.get(request).map(|task| task.attempts[n].server);
        let Some(answer) = self.tasks.close(now, request, n, answer) else { return };
        if let Some(worker) = server.and_then(|server| self.listed.get_mut(server)) {
            worker.out = worker.out.saturating_sub(1);
        }
        tracing::debug!(n, ?answer.outcome, answer.elapsed, "attempt closed");
        self.control.advance_to(now);
        self.control.attempt_finished(&mut self.acts, request, n, &answer);
    }

    // ---- The end of a request --------------------------------------------------------------------

    /// The one place where a request ends: each exchange that waits gets the answer, the log its line.
    fn end(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId, told: Rc<Told>) {
        let Some(task) = self.tasks.end(request) else { return };
        if let Some(then) = task.of.then.take() {
            let end = chained::StepEnd { told, took: now - task.came, stood: task.of.stood };
            self.tasks.forget(request);
            self.chains.ends.push_back((then, end));
            return;
        }
        let count = match told.ending {
            Ending::Finished => &mut self.counts.finished,
            Ending::PushedBack => &mut self.counts.pushed_back,
            Ending::Killed => &mut self.counts.killed,
        };
        *count += 1;
        self.gate.ended(now, told.ending == Ending::Finished, told.ending == Ending::PushedBack);
        self.claims.end(now, &task.of.name, told.ending, task.of.effect, told.clone(), told.bytes());
        tracing::info!(
            id = %task.of.name.1,
            source = %task.of.name.0,
            function = %task.of.function,
            workload = %self.deployment.workloads[task.of.workload].name,
            reason = told.reason,
            status = told.status,
            executions = task.attempts.len(),
            exchanges = task.of.callers.len(),
            took_us = now - task.came,
            left_us = task.deadline.saturating_sub(now),
            "job ended"
        );
        let callers = std::mem::take(&mut task.of.callers);
        self.tasks.forget(request);
        for conn in callers {
            if let Some(caller) = self.callers.get_mut(&conn) {
                caller.answer(now, transport, conn, &told);
                self.ready.push_back(conn);
            }
        }
    }

    // ---- The clients' side -------------------------------------------------------------------

    /// Takes the requests that are whole, as far as answers allow.
    fn read_on(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        while let Some(caller) = self.callers.get_mut(&conn)
            && let Some(asked) = caller.next(transport, conn)
        {
            match asked {
                Ok(Ask::Event(draft)) => match self.take(now, conn, *draft) {
                    Ok(()) => {}
                    Err(told) => self.answer(now, transport, conn, &told),
                },
                Ok(Ask::StatePage) => {
                    let told = self.state_page(now);
                    self.answer(now, transport, conn, &told);
                }
                Err(fault) => {
                    self.counts.refused += 1;
                    tracing::info!(reason = fault.reason, status = fault.status, "request refused");
                    caller.refuse(now, transport, conn, &fault);
                }
            }
        }
    }

    fn answer(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, told: &Told) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.answer(now, transport, conn, told);
        }
    }

    /// Takes one event: it joins its request, is told its answer again, or becomes a request. An error is
    /// its answer.
    fn take(&mut self, now: Micros, conn: Conn, draft: Draft) -> Result<(), Rc<Told>> {
        let id = draft.id.clone();
        let refuse = |status, reason, detail: String| {
            let fault = Fault::new(status, reason, detail);
            tracing::info!(id, reason, status, "event refused");
            Err(front::problem(Ending::PushedBack, &fault, Some(&id), None))
        };
        if let Some(row) = self.deployment.chains.iter().position(|c| c.types.contains(&draft.kind)) {
            return self.take_chain(now, conn, row, draft);
        }
        let Some(workload) = self.deployment.workloads.iter().position(|w| w.types.contains(&draft.kind))
        else {
            let shown: String = draft.kind.escape_default().take(80).collect();
            return refuse(422, "unknown-workload", format!("no workload takes events of type '{shown}'"));
        };
        let deadline = self.deployment.workloads[workload].deadline;
        let names = &self.deployment.workloads[workload];
        let function = match &names.function_by {
            FunctionBy::Named(name) => Some(name.as_str()),
            FunctionBy::Attribute(by) => draft.picked(by).filter(|f| !f.is_empty()),
        };
        let Some(function) = function.map(str::to_owned) else {
            return refuse(
                422,
                "no-function",
                format!("the event does not name its function: {:?}", names.function_by),
            );
        };
        let opening = names.opening_by.as_ref().and_then(|(by, size_by)| {
            let name = draft.picked(by).filter(|name| (1..=OPENING_MOST).contains(&name.len()))?.to_owned();
            // One of unknown size is prepared as any, and never pinned.
            let size = draft.picked(size_by).and_then(|size| size.parse().ok()).unwrap_or(0);
            Some(Opening { name, size })
        });
        let Ok(customer) = self.customer(&draft) else {
            return refuse(422, "unknown-customer", "no such customer has a share here".to_owned());
        };
        let name: Name = (Rc::from(draft.source.as_str()), Rc::from(draft.id.as_str()));
        if let Some(taken) = self.taken(now, conn, &name) {
            return taken;
        }
        let Some(left) = limit::left(now, deadline, draft.asked) else {
            return refuse(504, "expired", "the event's time was up when it came".to_owned());
        };
        let (client, digest, retry) = self.admit(now, &draft, workload, left)?;
        self.counts.requests += 1;
        if let (Some(openings), Some(opening)) = (&mut self.openings, &opening) {
            openings.uses(&opening.name, opening.size);
        }
        let wanted = Wanted {
            name: name.clone(),
            client,
            digest,
            workload,
            function,
            customer,
            left,
            retry,
            paid: 1.0,
            lines: draft.lines,
            media: draft.media,
            data: Rc::new(draft.data),
            opening,
            callers: vec![conn],
            then: None,
        };
        let request = self.begin(now, wanted);
        self.claims.begin(name, request);
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.request = Some(request);
        }
        Ok(())
    }

    /// Whether there is room for one more, by number and by the gate; the digests of the client and the
    /// request's name, and whether it is a retry. An error is the answer of a request pushed back before the
    /// module.
    fn admit(
        &mut self,
        now: Micros,
        draft: &Draft,
        workload: usize,
        left: Micros,
    ) -> Result<(u64, u64, bool), Rc<Told>> {
        if self.tasks.len() + self.chains.open.len() >= JOBS_MOST {
            let fault = Fault::new(503, "too-many-jobs", "this router holds as many jobs as it may");
            return Err(front::problem(Ending::PushedBack, &fault, Some(&draft.id), Some(JOBS_MOST_WAIT)));
        }
        let client = FunctionId::named(&draft.source).0;
        let digest = FunctionId::named(&draft.id).0 ^ client.rotate_left(1);
        let passage = self.gate.arrive(
            now,
            &applepond_admission::Arrival {
                client,
                name: digest,
                retry: draft.retry,
                importance: self.deployment.rows.workloads[workload].priority_weight,
                left,
            },
        );
        self.say_called(now);
        match passage {
            Passage::In { retry } => Ok((client, digest, retry)),
            Passage::Back { .. } if !self.deployment.damping => Ok((client, digest, draft.retry)),
            Passage::Back { wait, why } => {
                self.counts.damped += 1;
                if let (Some(memory), Some(wait)) = (&mut self.memory, wait) {
                    memory.promised(now, digest, wait);
                }
                tracing::debug!(id = draft.id, reason = why, "pushed back before the module");
                let status = if why == "retry-budget" { 429 } else { 503 };
                let fault =
                    Fault::new(status, why, "many ask again at once; a retry does no harm at the time told");
                Err(front::problem(Ending::PushedBack, &fault, Some(&draft.id), wait))
            }
        }
    }

    /// The customer that an event names; an error is one that is not known.
    fn customer(&self, draft: &Draft) -> Result<Option<CustomerId>, ()> {
        match draft.picked(&self.deployment.customer_by) {
            None => Ok(None),
            Some(named) => {
                let rows = &self.deployment.rows.customers;
                let found = self.deployment.customers.iter().position(|c| c == named);
                // Settings that were switched away from may have left the name behind, without a share.
                let found = found.filter(|n| rows[*n].requests_per_second > 0.0);
                found.map(|n| Some(CustomerId(n))).ok_or(())
            }
        }
    }

    /// Has an exchange join what runs under its name, or be told what came of it. None: the name is new.
    fn taken(&mut self, now: Micros, conn: Conn, name: &Name) -> Option<Result<(), Rc<Told>>> {
        match self.claims.claim(now, name) {
            Claim::Join(request) => {
                self.counts.joined += 1;
                match (self.tasks.get_mut(request), self.chains.open.get_mut(&request)) {
                    (Some(task), _) => task.of.callers.push(conn),
                    (_, Some(chain)) => chain.callers.push(conn),
                    _ => unreachable!("what runs is known"),
                }
                if let Some(caller) = self.callers.get_mut(&conn) {
                    caller.request = Some(request);
                }
                Some(Ok(()))
            }
            Claim::Again(told) => {
                self.counts.again += 1;
                Some(Err(told))
            }
            Claim::New => None,
        }
    }

    /// Hands a request to the module.
    fn begin(&mut self, now: Micros, wanted: Wanted) -> RequestId {
        let names = &self.deployment.workloads[wanted.workload];
        let row = self.deployment.functions.get(&wanted.function).unwrap_or(&names.function).clone();
        self.next_job += 1;
        let request = request_id(self.deployment.rows.seed, self.next_job);
        let arrival = RequestArrival {
            request,
            function: FunctionId::named(&wanted.function),
            workload: WorkloadId(wanted.workload),
            customer: wanted.customer,
            time_left: wanted.left,
            concurrency: row.lanes,
            retry: wanted.retry,
            load_time: row.load_time.or_else(|| {
                let memory = self.memory.as_ref()?;
                memory.load_time(now, FunctionId::named(&wanted.function))
            }),
            priority_factor: wanted.paid,
        };
        let task = Task {
            name: wanted.name,
            client: wanted.client,
            digest: wanted.digest,
            workload: wanted.workload,
            function: wanted.function,
            callers: wanted.callers,
            lines: wanted.lines,
            media: wanted.media,
            data: wanted.data,
            row,
            opening: wanted.opening,
            effect: self.deployment.rows.workloads[wanted.workload].retry_safety,
            stood: false,
            then: wanted.then,
        };
        self.tasks.begin(request, now, now + arrival.time_left, task);
        self.control.advance_to(now);
        self.control.request_arrived(&mut self.acts, &arrival);
        request
    }

    /// A client has gone. A request that never left for a worker ends with the last that waited for it; one
    /// that did goes on, for the client may come back for its answer and must not make it run twice.
    fn caller_gone(&mut self, now: Micros, conn: Conn) {
        let Some(request) = self.callers.remove(&conn).and_then(|c| c.request) else { return };
        // A chain goes on: its client may come back for the answer.
        if let Some(chain) = self.chains.open.get_mut(&request) {
            chain.callers.retain(|c| *c != conn);
        }
        let Some(task) = self.tasks.get_mut(request) else { return };
        task.of.callers.retain(|c| *c != conn);
        if task.of.callers.is_empty() && task.attempts.is_empty() && !task.ended {
            let Task { name: (source, id), .. } = &task.of;
            tracing::info!(%id, %source, reason = "client-left", "job ended");
            self.claims.drop(&task.of.name);
            self.tasks.drop(request);
            self.control.advance_to(now);
            self.control.client_disconnected(&mut self.acts, request);
        }
    }

    /// Whether a storm or a client's loop is under way, and damped.
    fn damps(&self) -> bool {
        self.deployment.damping && matches!(self.gate.watch().called(), Called::Storm | Called::Loop)
    }

    /// The log's line when what the traffic is called changes.
    fn say_called(&mut self, now: Micros) {
        let called = self.gate.watch().called();
        if std::mem::replace(&mut self.said, called) != called {
            let storm = self.storm_state(now);
            tracing::info!(reason = "called", ?called, damped = self.damps(), %storm, "traffic");
        }
    }

    /// What is seen of storms: what it is called and since when, by which figures, what is let in and
    /// advised.
    fn storm_state(&self, now: Micros) -> serde_json::Value {
        let watch = self.gate.watch();
        let (firsts, retries) = watch.rates(now);
        let (let_in, sent_back, line) = self.gate.sums(now);
        let (opened, early) = watch.speaks(now);
        serde_json::json!({
            "called": format!("{:?}", watch.called()).to_lowercase(), "since-us": watch.since(),
            "damped": self.damps(), "first-tries-per-s": firsts, "retries-per-s": retries,
            "usual-per-s": watch.usual(now).map(|u| u.0), "pace-per-s": self.gate.pace(now),
            "let-in": let_in, "would-send-back": sent_back, "line-us": line,
            "connections": {"opened-per-s": watch.opened.per_s(now),
                "usual-per-s": watch.usual(now).map(|u| u.1), "speak-for-a-storm": opened,
                "door-closed": self.gate.doors().closings()},
            "advice": {"followed-per-s": watch.followed.per_s(now), "not-kept-per-s": watch.early.per_s(now),
                "speaks-for-a-storm": early},
        })
    }

    fn state_page(&self, now: Micros) -> Rc<Told> {
        let standing = |wanted| self.listed.iter().filter(|(_, w)| w.standing == wanted).count();
        let (open, out) = self.tasks.open();
        let c = &self.counts;
        let body = serde_json::json!({
            "now_us": now,
            "router": self.deployment.rows.router_index,
            "settings": {"switched": c.switched, "kept": c.kept},
            "jobs": {"open": open, "taken": c.requests,
                "joined": c.joined, "told-again": c.again, "finished": c.finished,
                "pushed-back": c.pushed_back, "killed": c.killed, "requests-refused": c.refused},
            "executions": {"out": out, "begun": c.attempts},
            "remembered": self.claims.remembered(),
            "chains": self.chains.state(),
            "storm": self.storm_state(now),
            "connections": {"clients": self.callers.len(), "workers": self.links.len(),
                "list": self.watch.conn.is_some()},
            "workers": {"ready": standing(WorkerStatus::Ready), "draining": standing(WorkerStatus::Draining),
                "gone": standing(WorkerStatus::Gone)},
        });
        let mut body = body;
        for (name, page) in &self.pages {
            body[*name] = page(now);
        }
        let mut lines = Lines::default();
        lines.field("Content-Type", "application/json");
        let body = format!("{body}\n").into_bytes();
        Rc::new(Told { ending: Ending::Finished, status: 200, reason: "state", lines, body, come_back: None })
    }

    // ---- The workers' side -------------------------------------------------------------------

    fn link_bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let Some((request, n)) = link.carries else {
            // Nobody asked: a second answer, or garbage. What it belongs to can't be told.
            self.drop_link(transport, conn);
            return;
        };
        link.decoder.feed(bytes);
        match link.decoder.step(&mut link.answering) {
            Ok(Decoded::More) => {}
            Ok(Decoded::Done) => self.link_answered(now, transport, conn),
            Err(fault) => {
                tracing::warn!(reason = fault.reason, "a worker's answer cannot be read");
                self.drop_attempt(now, transport, request, n, Outcome::ConnectionLost);
            }
        }
    }

    /// An answer is whole: the connection is free for the next, and the attempt closes.
    fn link_answered(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let mut answering = std::mem::take(&mut link.answering);
        let Some((request, n)) = link.carries.take() else { return };
        link.kept = true;
        let server = link.server;
        // Bytes after the answer are a second one to the same request: that connection is not trusted
        // further.
        let clean = answering.whole == Some(true) && link.decoder.idle();
        if let Some(worker) = self.listed.get_mut(server) {
            worker.answered = true;
        }
        let worker = self.listed.get_mut(server).filter(|w| w.standing == WorkerStatus::Ready);
        match worker.filter(|w| clean && w.idle.len() < IDLE_MOST) {
            Some(worker) => worker.idle.push((conn, now)),
            None => {
                transport.cut(conn);
                self.links.remove(&conn);
            }
        }
        let outcome = fate::of_answer(answering.status, answering.mark.as_deref(), answering.event);
        if let Some(task) = self.tasks.get_mut(request) {
            task.attempts[n].link = None;
            if outcome == Outcome::Finished && !task.ended {
                task.of.stood =
                    answering.copy != LoadState::LoadStarted && answering.copy != LoadState::LoadPending;
                let mut lines = std::mem::take(&mut answering.lines);
                lines.field("applepond-executions", &task.attempts.len().to_string());
                let body = std::mem::take(&mut answering.body);
                let told = Told::finished(lines, body);
                self.end(now, transport, request, Rc::new(told));
            }
        }
        let Answering { copy, company, held, loads, .. } = answering;
        self.close(
            now,
            request,
            n,
            AttemptResult {
                load_state: copy,
                same_function_in_flight: company,
                reported_in_flight: held,
                reported_loads: loads,
                ..ended(outcome)
            },
        );
    }

    /// A connection to a worker is gone, or its worker has ended its side.
    fn link_gone(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, why: Closed, sent: u64) {
        let Some(mut link) = self.links.remove(&conn) else { return };
        let Some((request, n)) = link.carries else {
            if let Some(worker) = self.listed.get_mut(link.server) {
                worker.idle.retain(|(c, _)| *c != conn);
            }
            return;
        };
        // An answer without a length ends with its connection.
        if link.decoder.in_body() && link.decoder.finish(&mut link.answering).is_ok() {
            self.links.insert(conn, link);
            self.link_answered(now, transport, conn);
            return;
        }
        let reached = fate::reached(link.open, link.sent_before, sent);
        if let Some(task) = self.tasks.get_mut(request) {
            task.attempts[n].link = None;
            if fate::again(reached, link.kept, why) && !task.ended {
                self.connect(now, transport, request, n);
                return;
            }
        }
        self.close(now, request, n, ended(fate::of_end(reached)));
    }

    fn drop_link(&mut self, transport: &mut dyn Transport, conn: Conn) {
        transport.cut(conn);
        if let Some(link) = self.links.remove(&conn)
            && let Some(worker) = self.listed.get_mut(link.server)
        {
            worker.idle.retain(|(c, _)| *c != conn);
        }
    }

    fn sweep(&mut self, now: Micros, transport: &mut dyn Transport) {
        for (_, worker) in self.listed.iter_mut() {
            let old = worker.idle.iter().take_while(|(_, since)| now >= since + IDLE_LIMIT).count();
            for (conn, _) in worker.idle.drain(..old) {
                transport.cut(conn);
                self.links.remove(&conn);
            }
        }
        if let Some(new) = (self.news)() {
            self.switch(now, transport, new);
        }
        if let Some(openings) = &mut self.openings {
            openings.workers(self.listed.iter().filter(|(_, w)| w.standing == WorkerStatus::Ready).count());
        }
        self.after(now, transport, SWEEP, Box::new(|g, now, transport| g.sweep(now, transport)));
    }

    /// Again and again, and more often in the first seconds: what is told then is worth most.
    fn remembers(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.remember(now, transport);
        let pause = if now < self.born + EARLY { EARLY_LOOK } else { SWEEP };
        self.after(now, transport, pause, Box::new(|g, now, transport| g.remembers(now, transport)));
    }

    /// Hands over what was learned, takes up what is to be recalled, and lets go whom memory withholds no
    /// more.
    fn remember(&mut self, now: Micros, transport: &mut dyn Transport) {
        let Some(memory) = &mut self.memory else { return };
        self.control.advance_to(now);
        if let Some((usual, promises)) = memory.own(now) {
            if let Some([rate, opened, pace]) = usual {
                self.gate.recall(now, (rate, opened), pace);
            }
            promises.into_iter().for_each(|(request, left)| self.gate.told(request, now + left));
        }
        if let Some((rate, opened)) = self.gate.watch().usual(now) {
            memory.saw_usual(now, [rate, opened, self.gate.pace(now)]);
        }
        for (server, up_since, told) in memory.recalls(now) {
            if self.control.restore_worker_history(server, up_since, &told) {
                memory.recalled(server, up_since);
            }
        }
        for (server, up_since, seen) in self.control.worker_histories() {
            if self.listed.get(server).is_some_and(|w| w.answered && w.up_since == up_since) {
                memory.saw(now, server, up_since, &seen);
            }
        }
        for (function, took) in self.control.load_times() {
            // Guards against hearsay that stays young: what is held already was recalled, or seen before.
            if memory.load_time(now, function).is_none() {
                memory.saw_load_time(now, function, took);
            }
        }
        // A drain may be told after the list was, and may be over: each is looked at anew.
        let ready = WorkerStatus::Ready;
        let looks =
            self.said_ready.values().map(|e| (e.clone(), memory.listed(now, e.server, e.up_since, ready)));
        let looks: Vec<(Entry, WorkerStatus)> = looks.collect();
        let mut entries = Vec::new();
        for (entry, is) in looks {
            let Some(worker) = self.listed.get_mut(entry.server).filter(|w| w.standing != is) else {
                continue;
            };
            worker.standing = is;
            entries.push(Entry { standing: is, ..entry });
        }
        if !entries.is_empty() {
            let entries: Vec<Endpoint> = entries.iter().map(Endpoint::from).collect();
            self.control.endpoints_updated(&mut self.acts, EndpointListKind::Changes, &entries);
            self.settle(now, transport);
        }
    }

    // ---- The host list -----------------------------------------------------------------------

    fn listed(&mut self, now: Micros, transport: &mut dyn Transport, taken: &Taken) {
        for conn in &taken.cut {
            transport.cut(*conn);
            self.links.remove(conn);
        }
        let mut entries = taken.entries.clone();
        if taken.kind != EndpointListKind::Changes {
            // Who is not in it is gone: what was said of it before says nothing.
            self.said_ready.clear();
            let named: Vec<_> = taken.entries.iter().map(|e| (e.server, e.up_since)).collect();
            self.memory.iter_mut().for_each(|memory| memory.whole(&named));
        }
        if let Some(memory) = &mut self.memory {
            for entry in &mut entries {
                let is = memory.listed(now, entry.server, entry.up_since, entry.standing);
                self.said_ready.remove(&entry.server);
                if entry.standing == WorkerStatus::Ready {
                    self.said_ready.insert(entry.server, entry.clone());
                }
                // Guards against a drain that was told before a restart and that a late list takes back.
                if is != entry.standing {
                    entry.standing = is;
                    self.listed.get_mut(entry.server).into_iter().for_each(|w| w.standing = is);
                }
            }
        }
        let entries: Vec<Endpoint> = entries.iter().map(Endpoint::from).collect();
        self.control.advance_to(now);
        self.control.endpoints_updated(&mut self.acts, taken.kind, &entries);
    }

    fn watch(&mut self, transport: &mut dyn Transport) {
        let Some(at) = self.deployment.hosts else { return };
        let conn = transport.connect(at, self.deployment.connect_limit);
        self.watch.conn = Some(conn);
        self.watch.decoder = Some(Decoder::new(Side::Client, LINE_MOST, u64::MAX));
        self.watch.lines = ListLines::default();
    }

    fn watch_gone(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.watch.conn = None;
        let pause = self.watch.pause;
        self.watch.pause = (pause * 2).min(WATCH_AGAIN_MOST);
        tracing::warn!(again_in_us = pause, "the host list is out of reach; the last one holds");
        self.after(now, transport, pause, Box::new(|g, _, transport| g.watch(transport)));
    }

    fn watch_bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let Some(decoder) = self.watch.decoder.as_mut() else { return };
        decoder.feed(bytes);
        let done = decoder.step(&mut self.watch.lines);
        while let Some(line) = self.watch.lines.whole.pop_front() {
            match self.listed.line(&line, &self.deployment.zones) {
                Ok(taken) => {
                    self.watch.pause = WATCH_AGAIN;
                    self.listed(now, transport, &taken);
                }
                Err(why) => {
                    tracing::warn!(%why, "a line of the host list cannot be read; the last one holds")
                }
            }
        }
        if !matches!(done, Ok(Decoded::More)) {
            transport.cut(conn);
            self.watch_gone(now, transport);
        }
    }
}

/// Attributes by which functions and customers are named.
fn picks(deployment: &Deployment) -> Rc<[String]> {
    let by = |w: &WorkloadNames| match &w.function_by {
        FunctionBy::Attribute(name) => Some(name.clone()),
        FunctionBy::Named(_) => None,
    };
    let openings = deployment.workloads.iter().filter_map(|w| w.opening_by.clone());
    let openings = openings.flat_map(|(name, size)| [name, size]);
    let functions = deployment.workloads.iter().filter_map(by);
    functions.chain(openings).chain([deployment.customer_by.clone()]).collect()
}

/// A number of this instance's as the module's kind of id.
fn request_id(seed: u64, number: u64) -> RequestId {
    let text = format!("{seed:016x}-{number:019}");
    let mut id = [b'0'; 36];
    id.copy_from_slice(&text.as_bytes()[..36]);
    RequestId(id)
}

impl Machine for Gateway {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        let most = self.deployment.callers_most;
        match transport.listen(self.deployment.listen, most) {
            Ok((_, at)) => (self.on_listening)(at),
            Err(error) => tracing::error!(listen = %self.deployment.listen, %error, "cannot listen"),
        }
        if !self.deployment.workers.is_empty() {
            self.named_workers(now, transport);
        }
        self.resume_chains(now, transport);
        self.watch(transport);
        self.sweep(now, transport);
        if self.memory.is_some() {
            self.remembers(now, transport);
        }
        self.settle(now, transport);
    }

    fn accepted(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, listener: Listener) {
        if let Some(pause) = self.gate.connection(now).filter(|_| self.deployment.damping) {
            transport.stop_accepting(listener, false);
            self.after(
                now,
                transport,
                pause,
                Box::new(move |_, _, transport| transport.resume_accepting(listener)),
            );
        }
        self.callers.insert(conn, Caller::new(now, self.deployment.body_most, self.picks.clone()));
        self.look_at_caller(now, transport, conn);
    }

    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if self.watch.conn == Some(conn) {
            let at = self.deployment.hosts.map(|a| a.to_string()).unwrap_or_default();
            transport.write(
                conn,
                &encode::request("GET", &format!("/watch?router={}", self.deployment.rows.router_index), &at)
                    .empty(),
            );
        } else if let Some(link) = self.links.get_mut(&conn) {
            link.open = true;
            self.write(now, transport, conn);
        }
        self.settle(now, transport);
    }

    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.feed(now, transport, conn, bytes);
            self.read_on(now, transport, conn);
        } else if self.watch.conn == Some(conn) {
            self.watch_bytes(now, transport, conn, bytes);
        } else {
            self.link_bytes(now, transport, conn, bytes);
        }
        self.settle(now, transport);
    }

    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.half_closed(now, transport, conn);
        } else if self.watch.conn == Some(conn) {
            transport.cut(conn);
            self.watch_gone(now, transport);
        } else if self.links.contains_key(&conn) {
            let sent = transport.sent(conn);
            transport.cut(conn);
            self.link_gone(now, transport, conn, Closed::Ended, sent);
        }
        self.settle(now, transport);
    }

    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, why: Closed, sent: u64) {
        if self.callers.contains_key(&conn) {
            self.caller_gone(now, conn);
        } else if self.watch.conn == Some(conn) {
            self.watch_gone(now, transport);
        } else {
            self.link_gone(now, transport, conn, why, sent);
        }
        self.settle(now, transport);
    }

    fn flushed(&mut self, now: Micros, _: &mut dyn Transport, conn: Conn) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.flushed(now);
        }
    }

    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        if wake.0 & 1 == 0 {
            self.control.advance_to(now);
            self.control.timer_fired(&mut self.acts, TimerToken(wake.0 >> 1));
        } else if let Some(step) = self.steps.remove(&wake.0) {
            step(self, now, transport);
        }
        self.settle(now, transport);
    }
}

impl Gateway {
    /// Looks whether a client has used up its patience, and again when it next could have.
    fn look_at_caller(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        match caller.patience(now, transport, conn) {
            Patience::Until(at) => {
                let step: Step = Box::new(move |g, now, transport| g.look_at_caller(now, transport, conn));
                self.after(now, transport, at.saturating_sub(now).min(LOOK), step);
            }
            Patience::Over => self.caller_gone(now, conn),
        }
    }
}
