//! The instance itself: connects the clients' side, the module, the workers' side and the host list.
use crate::client::{Answer, ClientConnection, ClientRequest, EventDraft, TimeoutCheck};
use crate::deferred::{DeferredCall, DeferredCalls, FiredTimer};
use crate::deployment::{Deployment, FunctionConfig, FunctionSource, StaticWorker, WorkloadEvents};
use crate::endpoint_list::{EndpointEntry, EndpointList, EndpointUpdate, IdleConnection, NamedEndpoint};
use crate::errors::ReloadError;
use crate::idempotency::{Completion, FinalOutcome, IdempotencyKey, IdempotencyTable, Lookup};
use crate::request_table::{Action, ActionQueue, AttemptId, Dispatch, RequestTable, Started, attempt_result};
use crate::worker_connection::{WorkerConnection, WorkerResponse};
use crate::{attempt_outcome, deadline, reload};
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

mod workflow;

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
type Step = DeferredCall<Gateway>;

/// What this gateway keeps of a request beside its life.
struct Task {
    name: IdempotencyKey,
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
    row: FunctionConfig,
    opening: Option<Opening>,
    /// By the terms that it was taken under.
    effect: RetrySafety,
    /// Its answer came from a copy that stood loaded.
    stood: bool,
    /// What to do with its end, where it is a step of a chain: no client waits for it.
    then: Option<workflow::Then>,
}

/// A request as it is begun, for a client or for a chain.
struct Wanted {
    name: IdempotencyKey,
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
    then: Option<workflow::Then>,
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
pub type News = Box<dyn FnMut() -> Option<Result<Deployment, ReloadError>>>;

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
    actions: ActionQueue,
    callers: FxHashMap<Conn, ClientConnection>,
    links: FxHashMap<Conn, WorkerConnection>,
    listed: EndpointList,
    tasks: RequestTable<Task>,
    idempotency: IdempotencyTable<Answer>,
    /// Tells storms of retries, and stands before the module while one lasts.
    gate: Gate,
    chains: workflow::Chains,
    /// What the log was last told that the traffic is called.
    said: Called,
    deferred: DeferredCalls<Gateway>,
    next_job: u64,
    watch: Watch,
    /// Clients whose answer has gone out and whose next request may be here.
    ready: VecDeque<Conn>,
    counts: Counts,
    /// Answer where it listens, once it does.
    on_listening: Box<dyn FnMut(std::net::SocketAddr)>,
    news: News,
    memory: Option<Box<dyn Memory>>,
    openings: Option<Box<dyn Openings>>,
    /// The list's word on each worker, where memory may make something else of it.
    said_ready: BTreeMap<WorkerId, EndpointEntry>,
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
        let mut actions = ActionQueue::default();
        let control = Control::new(now, deployment.startup.clone(), &mut actions);
        let idempotency = IdempotencyTable::new(deployment.answer_retention);
        let gate = Gate::new(now, deployment.startup.seed);
        Gateway {
            gate,
            chains: workflow::Chains::new(deployment.startup.cache_lifetime),
            said: Called::Calm,
            picks: picks(&deployment),
            control,
            actions,
            callers: FxHashMap::default(),
            links: FxHashMap::default(),
            listed: EndpointList::default(),
            tasks: RequestTable::default(),
            idempotency,
            deferred: DeferredCalls::default(),
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
    fn switch(&mut self, now: Micros, transport: &mut dyn Transport, new: Result<Deployment, ReloadError>) {
        let only = |keys: reload::RestartOnlyKeys| ReloadError::RestartRequired(keys.join(", "));
        let merged = match new.and_then(|new| reload::merge(&self.deployment, new).map_err(only)) {
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
        self.callers.values_mut().for_each(|caller| caller.set_attribute_names(&self.picks));
        self.control.advance_to(now);
        self.control.reconfigure(&mut self.actions, self.deployment.startup.clone());
        if self.deployment.endpoint_list.is_none() {
            self.named_workers(now, transport);
        }
    }

    fn named_workers(&mut self, now: Micros, transport: &mut dyn Transport) {
        let entry = |w: &StaticWorker| EndpointEntry {
            worker: WorkerId::named(&w.name),
            status: WorkerStatus::Ready,
            up_since: 0,
            zone: w.zone.map(ZoneId),
            rack: w.rack,
            weight: w.weight,
        };
        let named = self.deployment.workers.iter().map(|w| NamedEndpoint {
            name: w.name.clone(),
            address: w.address,
            entry: entry(w),
        });
        let taken = self.listed.apply(EndpointListKind::Full, named.collect());
        self.listed(now, transport, &taken);
    }

    /// Where chains are recorded; without it they are known as long as this instance lives.
    pub fn with_record(mut self, record: Box<dyn WorkflowStore>) -> Self {
        self.chains.record = record;
        self
    }

    fn after(&mut self, now: Micros, transport: &mut dyn Transport, delay: Micros, step: Step) {
        self.deferred.schedule(now, transport, delay, step);
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
                None if self.actions.is_empty() && self.chains.ends.is_empty() => return,
                None => {}
            }
        }
    }

    fn carry_out(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(action) = self.actions.pop() {
            match action {
                Action::Send(dispatch) => self.start_attempt(now, transport, &dispatch),
                Action::Cancel(attempt) => self.end_attempt(now, transport, attempt, Outcome::Cancelled),
                Action::Reject(request, come_back) => {
                    // In a storm the module's word stands, but all its pushbacks together would be a second
                    // wave.
                    let advised = self.damps().then(|| self.tasks.get(request)).flatten();
                    let advised =
                        advised.map(|t| (t.data.client, t.data.digest, t.deadline.saturating_sub(now)));
                    let come_back = match (advised, come_back) {
                        (Some((client, name, left)), Some(_)) => self.gate.come_back(now, client, name, left),
                        (None, Some(wait)) => {
                            if let Some(task) = self.tasks.get(request) {
                                self.gate.told(task.data.digest, now + wait);
                            }
                            come_back
                        }
                        (_, None) => None,
                    };
                    let digest = self.tasks.get(request).map(|t| t.data.digest);
                    if let (Some(memory), Some(digest), Some(wait)) = (&mut self.memory, digest, come_back) {
                        memory.promised(now, digest, wait);
                    }
                    let fault =
                        Fault::new(503, "pushed-back", "there is no room in time; a retry does no harm");
                    let id = self.tasks.get(request).map(|t| t.data.name.id.clone());
                    let told = Answer::problem(FinalOutcome::Rejected, &fault, id.as_deref(), come_back);
                    self.end(now, transport, request, told);
                }
                Action::Fail(request) => {
                    let Some(task) = self.tasks.get(request) else { continue };
                    let late = task.timed_out || now >= task.deadline;
                    let fault = if late {
                        Fault::new(504, "killed-late", "no answer came in time; the job may have run")
                    } else {
                        Fault::new(502, "killed", "the worker failed; the job may have run")
                    };
                    let id = task.data.name.id.clone();
                    let told = Answer::problem(FinalOutcome::Failed, &fault, Some(&id), None);
                    self.end(now, transport, request, told);
                }
                Action::SetTimer(delay, token) => {
                    DeferredCalls::<Gateway>::schedule_control(now, transport, delay, token);
                }
                Action::Log(text) => tracing::info!(target: "module", "{text}"),
                // The list is pushed to whoever is connected to it, so there is nothing to ask for.
                Action::WatchEndpoints => {}
            }
        }
    }

    /// Begins one attempt: on a connection that stands, else on a new one.
    fn start_attempt(&mut self, now: Micros, transport: &mut dyn Transport, dispatch: &Dispatch) {
        let most = self.deployment.startup.attempt_policy.max_attempts;
        match self.tasks.start_attempt(now, dispatch, most) {
            Some(Started::InFlight(attempt)) => {
                self.counts.attempts += 1;
                if let Some(worker) = self.listed.get_mut(dispatch.worker) {
                    worker.in_flight += 1;
                }
                self.arm(now, transport);
                self.connect(now, transport, attempt);
            }
            Some(Started::Refused(attempt)) => {
                self.close_attempt(now, attempt, attempt_result(Outcome::Superseded))
            }
            None => {}
        }
    }

    fn arm(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Some(until) = self.tasks.next_timer() {
            self.after(
                now,
                transport,
                until.saturating_sub(now),
                Box::new(|g, now, transport| g.times_up(now, transport)),
            );
        }
    }

    fn times_up(&mut self, now: Micros, transport: &mut dyn Transport) {
        while let Some(attempt) = self.tasks.pop_timed_out(now) {
            self.end_attempt(now, transport, attempt, Outcome::TimedOut);
        }
        self.arm(now, transport);
    }

    fn connect(&mut self, now: Micros, transport: &mut dyn Transport, attempt: AttemptId) {
        let Some(task) = self.tasks.get_mut(attempt.request) else { return };
        let server = task.attempts[attempt.index].worker;
        let at_most_once = task.data.effect == RetrySafety::AtMostOnce;
        let Some(worker) = self.listed.get_mut(server).filter(|w| w.status == WorkerStatus::Ready) else {
            self.close_attempt(now, attempt, attempt_result(Outcome::ConnectFailed));
            return;
        };
        let rested = if at_most_once { IDLE_AT_MOST_ONCE } else { IDLE_LIMIT };
        // The latest of them is the freshest; where that is too old, all are, and the sweep takes them.
        let fresh = worker.idle.last().is_some_and(|idle| now < idle.since + rested);
        let conn = match if fresh { worker.idle.pop() } else { None } {
            Some(IdleConnection { conn, .. }) => {
                let link = self.links.get_mut(&conn).expect("idle connections are known");
                link.attempt = Some(attempt);
                link.sent_before = transport.sent(conn);
                conn
            }
            None => {
                let conn = transport.connect(worker.address, self.deployment.connect_timeout);
                self.links.insert(conn, WorkerConnection::new(server, attempt));
                conn
            }
        };
        task.attempts[attempt.index].connection = Some(conn);
        if fresh {
            self.write(now, transport, conn);
        }
    }

    /// Writes the request of the attempt that a connection carries.
    fn write(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(link) = self.links.get(&conn) else { return };
        let Some(attempt) = link.attempt else { return };
        let request = attempt.request;
        let Some(worker) = self.listed.get(link.worker) else { return };
        // Its client has gone while the connection was made, or it is a repeat that would not be known now.
        if !self.tasks.get(request).is_some_and(|task| task.may_start(now, attempt.index)) {
            self.end_attempt(now, transport, attempt, Outcome::Superseded);
            return;
        }
        // A drain was told meanwhile: nothing new goes there.
        if worker.status != WorkerStatus::Ready {
            self.end_attempt(now, transport, attempt, Outcome::ConnectFailed);
            return;
        }
        let Some(task) = self.tasks.get(request) else { return };
        let mut head = encode::request("POST", "/run", &worker.address.to_string());
        head = head.lines(&task.data.lines);
        if let Some(media) = &task.data.media {
            head = head.field("Content-Type", media);
        }
        let row = &task.data.row;
        head = head
            .field("applepond-function", &task.data.function)
            .field("applepond-workload", &self.deployment.workloads[task.data.workload].name)
            .number("applepond-lanes", u64::from(row.concurrency))
            .number("applepond-memory-mb", u64::from(row.memory_mb))
            .number("applepond-router", self.deployment.startup.router_index)
            .number("applepond-execution", attempt.index as u64)
            .number("applepond-time-left-ms", task.deadline.saturating_sub(now) / 1000);
        if let Some(opening) = &task.data.opening {
            head = head
                .field("applepond-opening", &opening.name)
                .number("applepond-opening-size", u64::from(opening.size));
            // Looked at as it is written: a list that is over pins nothing.
            if let Some(lease) = self.openings.as_ref().and_then(|o| o.rides(now, &opening.name)) {
                head = head.number("applepond-opening-lease-ms", lease / 1000);
            }
        }
        transport.write(conn, &head.body(&task.data.data));
    }

    /// Ends an attempt from this side, by a cancel or because its time is up: the worker is told by the end
    /// of its connection, and whatever it answers after that is never read.
    fn end_attempt(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        attempt: AttemptId,
        outcome: Outcome,
    ) {
        let Some(task) = self.tasks.get_mut(attempt.request) else { return };
        let Some(state) = task.attempts.get_mut(attempt.index).filter(|state| !state.closed) else { return };
        if let Some(conn) = state.connection.take() {
            transport.cut(conn);
            self.links.remove(&conn);
        }
        task.timed_out |= outcome == Outcome::TimedOut;
        self.close_attempt(now, attempt, attempt_result(outcome));
    }

    /// Tells the module how an attempt closed, once.
    fn close_attempt(&mut self, now: Micros, attempt: AttemptId, answer: AttemptResult) {
        let server = self.tasks.get(attempt.request).map(|task| task.attempts[attempt.index].worker);
        let Some(answer) = self.tasks.close_attempt(now, attempt, answer) else { return };
        if let Some(worker) = server.and_then(|server| self.listed.get_mut(server)) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
        tracing::debug!(attempt = attempt.index, ?answer.outcome, answer.elapsed, "attempt closed");
        self.control.advance_to(now);
        self.control.attempt_finished(&mut self.actions, attempt.request, attempt.index, &answer);
    }

    // ---- The end of a request --------------------------------------------------------------------

    /// The one place where a request ends: each exchange that waits gets the answer, the log its line.
    fn end(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId, told: Rc<Answer>) {
        let Some(task) = self.tasks.end(request) else { return };
        if let Some(then) = task.data.then.take() {
            let end = workflow::StepEnd { told, took: now - task.arrived_at, stood: task.data.stood };
            self.tasks.remove_if_done(request);
            self.chains.ends.push_back((then, end));
            return;
        }
        let count = match told.outcome {
            FinalOutcome::Finished => &mut self.counts.finished,
            FinalOutcome::Rejected => &mut self.counts.pushed_back,
            FinalOutcome::Failed => &mut self.counts.killed,
        };
        *count += 1;
        self.gate.ended(now, told.outcome == FinalOutcome::Finished, told.outcome == FinalOutcome::Rejected);
        let completion = Completion {
            outcome: told.outcome,
            retry_safety: task.data.effect,
            answer: told.clone(),
            bytes: told.bytes(),
        };
        self.idempotency.complete(now, &task.data.name, completion);
        tracing::info!(
            id = %task.data.name.id,
            source = %task.data.name.source,
            function = %task.data.function,
            workload = %self.deployment.workloads[task.data.workload].name,
            reason = told.reason,
            status = told.status,
            executions = task.attempts.len(),
            exchanges = task.data.callers.len(),
            took_us = now - task.arrived_at,
            left_us = task.deadline.saturating_sub(now),
            "job ended"
        );
        let callers = std::mem::take(&mut task.data.callers);
        self.tasks.remove_if_done(request);
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
            && let Some(asked) = caller.next_request(transport, conn)
        {
            match asked {
                Ok(ClientRequest::Event(draft)) => match self.take(now, conn, *draft) {
                    Ok(()) => {}
                    Err(told) => self.answer(now, transport, conn, &told),
                },
                Ok(ClientRequest::StatePage) => {
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

    fn answer(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, told: &Answer) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.answer(now, transport, conn, told);
        }
    }

    /// Takes one event: it joins its request, is told its answer again, or becomes a request. An error is
    /// its answer.
    fn take(&mut self, now: Micros, conn: Conn, draft: EventDraft) -> Result<(), Rc<Answer>> {
        let id = draft.id.clone();
        let refuse = |status, reason, detail: String| {
            let fault = Fault::new(status, reason, detail);
            tracing::info!(id, reason, status, "event refused");
            Err(Answer::problem(FinalOutcome::Rejected, &fault, Some(&id), None))
        };
        if let Some(row) = self.deployment.workflows.iter().position(|c| c.types.contains(&draft.event_type))
        {
            return self.take_chain(now, conn, row, draft);
        }
        let Some(workload) =
            self.deployment.workloads.iter().position(|w| w.types.contains(&draft.event_type))
        else {
            let shown: String = draft.event_type.escape_default().take(80).collect();
            return refuse(422, "unknown-workload", format!("no workload takes events of type '{shown}'"));
        };
        let deadline = self.deployment.workloads[workload].deadline;
        let names = &self.deployment.workloads[workload];
        let function = match &names.function_source {
            FunctionSource::Named(name) => Some(name.as_str()),
            FunctionSource::Attribute(by) => draft.attribute(by).filter(|f| !f.is_empty()),
        };
        let Some(function) = function.map(str::to_owned) else {
            return refuse(
                422,
                "no-function",
                format!("the event does not name its function: {:?}", names.function_source),
            );
        };
        let opening = names.prefix_attributes.as_ref().and_then(|prefix| {
            let name = draft
                .attribute(&prefix.name)
                .filter(|name| (1..=OPENING_MOST).contains(&name.len()))?
                .to_owned();
            // One of unknown size is prepared as any, and never pinned.
            let size = draft.attribute(&prefix.size).and_then(|size| size.parse().ok()).unwrap_or(0);
            Some(Opening { name, size })
        });
        let Ok(customer) = self.customer(&draft) else {
            return refuse(422, "unknown-customer", "no such customer has a share here".to_owned());
        };
        let name: IdempotencyKey = IdempotencyKey::new(&draft.source, &draft.id);
        if let Some(taken) = self.taken(now, conn, &name) {
            return taken;
        }
        let Some(left) = deadline::time_left(now, deadline, draft.deadline) else {
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
            lines: draft.fields,
            media: draft.media_type,
            data: Rc::new(draft.data),
            opening,
            callers: vec![conn],
            then: None,
        };
        let request = self.begin(now, wanted);
        self.idempotency.start(name, request);
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
        draft: &EventDraft,
        workload: usize,
        left: Micros,
    ) -> Result<(u64, u64, bool), Rc<Answer>> {
        if self.tasks.len() + self.chains.open.len() >= JOBS_MOST {
            let fault = Fault::new(503, "too-many-jobs", "this router holds as many jobs as it may");
            return Err(Answer::problem(
                FinalOutcome::Rejected,
                &fault,
                Some(&draft.id),
                Some(JOBS_MOST_WAIT),
            ));
        }
        let client = FunctionId::named(&draft.source).0;
        let digest = FunctionId::named(&draft.id).0 ^ client.rotate_left(1);
        let passage = self.gate.arrive(
            now,
            &applepond_admission::Arrival {
                client,
                name: digest,
                retry: draft.is_retry,
                importance: self.deployment.startup.workloads[workload].priority_weight,
                left,
            },
        );
        self.say_called(now);
        match passage {
            Passage::In { retry } => Ok((client, digest, retry)),
            Passage::Back { .. } if !self.deployment.storm_shedding => Ok((client, digest, draft.is_retry)),
            Passage::Back { wait, why } => {
                self.counts.damped += 1;
                if let (Some(memory), Some(wait)) = (&mut self.memory, wait) {
                    memory.promised(now, digest, wait);
                }
                tracing::debug!(id = draft.id, reason = why, "pushed back before the module");
                let status = if why == "retry-budget" { 429 } else { 503 };
                let fault =
                    Fault::new(status, why, "many ask again at once; a retry does no harm at the time told");
                Err(Answer::problem(FinalOutcome::Rejected, &fault, Some(&draft.id), wait))
            }
        }
    }

    /// The customer that an event names; an error is one that is not known.
    fn customer(&self, draft: &EventDraft) -> Result<Option<CustomerId>, ()> {
        match draft.attribute(&self.deployment.customer_attribute) {
            None => Ok(None),
            Some(named) => {
                let rows = &self.deployment.startup.customers;
                let found = self.deployment.customers.iter().position(|c| c == named);
                // Settings that were switched away from may have left the name behind, without a share.
                let found = found.filter(|n| rows[*n].requests_per_second > 0.0);
                found.map(|n| Some(CustomerId(n))).ok_or(())
            }
        }
    }

    /// Has an exchange join what runs under its name, or be told what came of it. None: the name is new.
    fn taken(&mut self, now: Micros, conn: Conn, name: &IdempotencyKey) -> Option<Result<(), Rc<Answer>>> {
        match self.idempotency.look_up(now, name) {
            Lookup::InProgress(request) => {
                self.counts.joined += 1;
                match (self.tasks.get_mut(request), self.chains.open.get_mut(&request)) {
                    (Some(task), _) => task.data.callers.push(conn),
                    (_, Some(chain)) => chain.callers.push(conn),
                    _ => unreachable!("what runs is known"),
                }
                if let Some(caller) = self.callers.get_mut(&conn) {
                    caller.request = Some(request);
                }
                Some(Ok(()))
            }
            Lookup::Completed(told) => {
                self.counts.again += 1;
                Some(Err(told))
            }
            Lookup::New => None,
        }
    }

    /// Hands a request to the module.
    fn begin(&mut self, now: Micros, wanted: Wanted) -> RequestId {
        let names = &self.deployment.workloads[wanted.workload];
        let row = self.deployment.functions.get(&wanted.function).unwrap_or(&names.default_function).clone();
        self.next_job += 1;
        let request = request_id(self.deployment.startup.seed, self.next_job);
        let arrival = RequestArrival {
            request,
            function: FunctionId::named(&wanted.function),
            workload: WorkloadId(wanted.workload),
            customer: wanted.customer,
            time_left: wanted.left,
            concurrency: row.concurrency,
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
            effect: self.deployment.startup.workloads[wanted.workload].retry_safety,
            stood: false,
            then: wanted.then,
        };
        self.tasks.insert(request, now, now + arrival.time_left, task);
        self.control.advance_to(now);
        self.control.request_arrived(&mut self.actions, &arrival);
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
        task.data.callers.retain(|c| *c != conn);
        if task.data.callers.is_empty() && task.attempts.is_empty() && !task.ended {
            let IdempotencyKey { source, id } = &task.data.name;
            tracing::info!(%id, %source, reason = "client-left", "job ended");
            self.idempotency.abandon(&task.data.name);
            self.tasks.remove(request);
            self.control.advance_to(now);
            self.control.client_disconnected(&mut self.actions, request);
        }
    }

    /// Whether a storm or a client's loop is under way, and damped.
    fn damps(&self) -> bool {
        self.deployment.storm_shedding && matches!(self.gate.watch().called(), Called::Storm | Called::Loop)
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

    fn state_page(&self, now: Micros) -> Rc<Answer> {
        let standing = |status| self.listed.count(status);
        let open = self.tasks.open_counts();
        let c = &self.counts;
        let body = serde_json::json!({
            "now_us": now,
            "router": self.deployment.startup.router_index,
            "settings": {"switched": c.switched, "kept": c.kept},
            "jobs": {"open": open.requests, "taken": c.requests,
                "joined": c.joined, "told-again": c.again, "finished": c.finished,
                "pushed-back": c.pushed_back, "killed": c.killed, "requests-refused": c.refused},
            "executions": {"out": open.attempts, "begun": c.attempts},
            "remembered": self.idempotency.kept_answers(),
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
        Answer::state_page(&body)
    }

    // ---- The workers' side -------------------------------------------------------------------

    fn link_bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let Some(attempt) = link.attempt else {
            // Nobody asked: a second answer, or garbage. What it belongs to can't be told.
            self.drop_link(transport, conn);
            return;
        };
        link.decoder.feed(bytes);
        match link.decoder.step(&mut link.response) {
            Ok(Decoded::More) => {}
            Ok(Decoded::Done) => self.link_answered(now, transport, conn),
            Err(fault) => {
                tracing::warn!(reason = fault.reason, "a worker's answer cannot be read");
                self.end_attempt(now, transport, attempt, Outcome::ConnectionLost);
            }
        }
    }

    /// An answer is whole: the connection is free for the next, and the attempt closes.
    fn link_answered(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        let mut answering = std::mem::take(&mut link.response);
        let Some(attempt) = link.attempt.take() else { return };
        let request = attempt.request;
        link.reused = true;
        let server = link.worker;
        // Bytes after the answer are a second one to the same request: that connection is not trusted
        // further.
        let clean = answering.keep_alive == Some(true) && link.decoder.idle();
        if let Some(worker) = self.listed.get_mut(server) {
            worker.has_answered = true;
        }
        let worker = self.listed.get_mut(server).filter(|w| w.status == WorkerStatus::Ready);
        match worker.filter(|w| clean && w.idle.len() < IDLE_MOST) {
            Some(worker) => worker.idle.push(IdleConnection { conn, since: now }),
            None => {
                transport.cut(conn);
                self.links.remove(&conn);
            }
        }
        let outcome = attempt_outcome::from_response(
            answering.status,
            answering.verdict.as_deref(),
            answering.is_event,
        );
        if let Some(task) = self.tasks.get_mut(request) {
            task.attempts[attempt.index].connection = None;
            if outcome == Outcome::Finished && !task.ended {
                task.data.stood = answering.was_loaded();
                let mut lines = std::mem::take(&mut answering.fields);
                lines.field("applepond-executions", &task.attempts.len().to_string());
                let body = std::mem::take(&mut answering.body);
                let told = Answer::finished(lines, body);
                self.end(now, transport, request, Rc::new(told));
            }
        }
        let WorkerResponse {
            load_state, same_function_in_flight, reported_in_flight, reported_loads, ..
        } = answering;
        self.close_attempt(
            now,
            attempt,
            AttemptResult {
                load_state,
                same_function_in_flight,
                reported_in_flight,
                reported_loads,
                ..attempt_result(outcome)
            },
        );
    }

    /// A connection to a worker is gone, or its worker has ended its side.
    fn link_gone(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, why: Closed, sent: u64) {
        let Some(mut link) = self.links.remove(&conn) else { return };
        let Some(attempt) = link.attempt else {
            if let Some(worker) = self.listed.get_mut(link.worker) {
                worker.idle.retain(|idle| idle.conn != conn);
            }
            return;
        };
        // An answer without a length ends with its connection.
        if link.decoder.in_body() && link.decoder.finish(&mut link.response).is_ok() {
            self.links.insert(conn, link);
            self.link_answered(now, transport, conn);
            return;
        }
        let reached = attempt_outcome::send_progress(link.connected, link.sent_before, sent);
        if let Some(task) = self.tasks.get_mut(attempt.request) {
            task.attempts[attempt.index].connection = None;
            if attempt_outcome::may_resend(reached, link.reused, why) && !task.ended {
                self.connect(now, transport, attempt);
                return;
            }
        }
        self.close_attempt(now, attempt, attempt_result(attempt_outcome::on_disconnect(reached)));
    }

    fn drop_link(&mut self, transport: &mut dyn Transport, conn: Conn) {
        transport.cut(conn);
        if let Some(link) = self.links.remove(&conn)
            && let Some(worker) = self.listed.get_mut(link.worker)
        {
            worker.idle.retain(|idle| idle.conn != conn);
        }
    }

    fn sweep(&mut self, now: Micros, transport: &mut dyn Transport) {
        for (_, worker) in self.listed.iter_mut() {
            let old = worker.idle.iter().take_while(|idle| now >= idle.since + IDLE_LIMIT).count();
            for IdleConnection { conn, .. } in worker.idle.drain(..old) {
                transport.cut(conn);
                self.links.remove(&conn);
            }
        }
        if let Some(new) = (self.news)() {
            self.switch(now, transport, new);
        }
        if let Some(openings) = &mut self.openings {
            openings.workers(self.listed.count(WorkerStatus::Ready));
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
            if self.listed.get(server).is_some_and(|w| w.has_answered && w.up_since == up_since) {
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
            self.said_ready.values().map(|e| (e.clone(), memory.listed(now, e.worker, e.up_since, ready)));
        let looks: Vec<(EndpointEntry, WorkerStatus)> = looks.collect();
        let mut entries = Vec::new();
        for (entry, is) in looks {
            let Some(worker) = self.listed.get_mut(entry.worker).filter(|w| w.status != is) else {
                continue;
            };
            worker.status = is;
            entries.push(EndpointEntry { status: is, ..entry });
        }
        if !entries.is_empty() {
            let entries: Vec<Endpoint> = entries.iter().map(Endpoint::from).collect();
            self.control.endpoints_updated(&mut self.actions, EndpointListKind::Changes, &entries);
            self.settle(now, transport);
        }
    }

    // ---- The host list -----------------------------------------------------------------------

    fn listed(&mut self, now: Micros, transport: &mut dyn Transport, taken: &EndpointUpdate) {
        for conn in &taken.disconnect {
            transport.cut(*conn);
            self.links.remove(conn);
        }
        let mut entries = taken.entries.clone();
        if taken.kind != EndpointListKind::Changes {
            // Who is not in it is gone: what was said of it before says nothing.
            self.said_ready.clear();
            let named: Vec<_> = taken.entries.iter().map(|e| (e.worker, e.up_since)).collect();
            self.memory.iter_mut().for_each(|memory| memory.whole(&named));
        }
        if let Some(memory) = &mut self.memory {
            for entry in &mut entries {
                let is = memory.listed(now, entry.worker, entry.up_since, entry.status);
                self.said_ready.remove(&entry.worker);
                if entry.status == WorkerStatus::Ready {
                    self.said_ready.insert(entry.worker, entry.clone());
                }
                // Guards against a drain that was told before a restart and that a late list takes back.
                if is != entry.status {
                    entry.status = is;
                    self.listed.get_mut(entry.worker).into_iter().for_each(|w| w.status = is);
                }
            }
        }
        let entries: Vec<Endpoint> = entries.iter().map(Endpoint::from).collect();
        self.control.advance_to(now);
        self.control.endpoints_updated(&mut self.actions, taken.kind, &entries);
    }

    fn watch(&mut self, transport: &mut dyn Transport) {
        let Some(at) = self.deployment.endpoint_list else { return };
        let conn = transport.connect(at, self.deployment.connect_timeout);
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
            match self.listed.read_line(&line, &self.deployment.zones) {
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
    let by = |w: &WorkloadEvents| match &w.function_source {
        FunctionSource::Attribute(name) => Some(name.clone()),
        FunctionSource::Named(_) => None,
    };
    let openings = deployment.workloads.iter().filter_map(|w| w.prefix_attributes.clone());
    let openings = openings.flat_map(|prefix| [prefix.name, prefix.size]);
    let functions = deployment.workloads.iter().filter_map(by);
    functions.chain(openings).chain([deployment.customer_attribute.clone()]).collect()
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
        let most = self.deployment.max_clients;
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
        if let Some(pause) = self.gate.connection(now).filter(|_| self.deployment.storm_shedding) {
            transport.stop_accepting(listener, false);
            self.after(
                now,
                transport,
                pause,
                Box::new(move |_, _, transport| transport.resume_accepting(listener)),
            );
        }
        self.callers
            .insert(conn, ClientConnection::new(now, self.deployment.max_event_bytes, self.picks.clone()));
        self.look_at_caller(now, transport, conn);
    }

    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        if self.watch.conn == Some(conn) {
            let at = self.deployment.endpoint_list.map(|a| a.to_string()).unwrap_or_default();
            transport.write(
                conn,
                &encode::request(
                    "GET",
                    &format!("/watch?router={}", self.deployment.startup.router_index),
                    &at,
                )
                .empty(),
            );
        } else if let Some(link) = self.links.get_mut(&conn) {
            link.connected = true;
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
        match self.deferred.fired(wake) {
            Some(FiredTimer::Control(token)) => {
                self.control.advance_to(now);
                self.control.timer_fired(&mut self.actions, token);
            }
            Some(FiredTimer::Call(call)) => call(self, now, transport),
            None => {}
        }
        self.settle(now, transport);
    }
}

impl Gateway {
    /// Looks whether a client has used up its patience, and again when it next could have.
    fn look_at_caller(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        match caller.check_timeout(now, transport, conn) {
            TimeoutCheck::CheckAt(at) => {
                let step: Step = Box::new(move |g, now, transport| g.look_at_caller(now, transport, conn));
                self.after(now, transport, at.saturating_sub(now).min(LOOK), step);
            }
            TimeoutCheck::Closed => self.caller_gone(now, conn),
        }
    }
}
