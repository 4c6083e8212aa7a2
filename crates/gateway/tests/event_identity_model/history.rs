//! A history of events at a router that is killed now and then, and the checks of what clients are told.
use crate::common::{
    MS, S, SharedStore, SimulatedGateway, booking_workflow, deployment_with_keyed_hold, event, step,
};
use crate::worker::{Fate, Received, WINDOW, Worker, is_step};
use applepond::interface::{IdempotencyScope, Micros};
use applepond_gateway::Deployment;
use applepond_reactor::{Closed, ConnectionId};
use applepond_workflow::{Branch, Function, Step, StepId, Target};
use std::collections::BTreeMap;

/// The type of an event. `book` and `rebook` start the same workflow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Quote,
    Hold,
    Confirm,
    Book,
    Rebook,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Kind::Quote => "quote",
            Kind::Hold => "hold",
            Kind::Confirm => "confirm",
            Kind::Book => "book",
            Kind::Rebook => "rebook",
        }
    }

    fn is_workflow(self) -> bool {
        matches!(self, Kind::Book | Kind::Rebook)
    }
}

/// An event of `/desk`. Two are the same if all fields are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    pub kind: Kind,
    pub id: &'static str,
    pub data: u8,
}

impl Event {
    /// The data, which tells the worker's observer whether a request is a step of a workflow.
    fn data(self) -> String {
        let owner = if self.kind.is_workflow() { "chain" } else { "job" };
        format!("{owner}-{}-{}", self.data, self.kind.name())
    }

    fn encode(self, is_marked: bool) -> String {
        let data = self.data();
        let text = event(self.kind.name(), self.id);
        let text = text.replacen(
            "Content-Length: 2\r\n\r\n{}",
            &format!("Content-Length: {}\r\n\r\n{data}", data.len()),
            1,
        );
        if is_marked { text.replacen("ce-id", "ce-retry: true\r\nce-id", 1) } else { text }
    }

    /// The request whose result is the answer to this event.
    fn answering_request(self) -> Received {
        let (id, event_type) = match self.kind {
            Kind::Book | Kind::Rebook => (format!("{}/confirm", self.id), "confirm"),
            Kind::Quote | Kind::Hold | Kind::Confirm => (self.id.to_owned(), self.kind.name()),
        };
        Received { id, event_type: event_type.to_owned(), data: self.data() }
    }

    /// Whether an execution was made for this event.
    fn is_executed_by(self, request: &Received) -> bool {
        let rest = request.id.strip_prefix(self.id);
        let has_id = if self.kind.is_workflow() {
            matches!(rest, Some("/beds" | "/confirm"))
        } else {
            rest == Some("")
        };
        has_id && request.data == self.data()
    }

    /// Whether another event has this one's key, or workers would take a step of one for the other.
    fn shares_key_with(self, other: Event) -> bool {
        let is_step_of = |request: Event, workflow: Event| {
            let step = request.id.strip_prefix(workflow.id).filter(|_| workflow.kind.is_workflow());
            request.kind == Kind::Hold && step == Some("/beds")
        };
        self.id == other.id || is_step_of(self, other) || is_step_of(other, self)
    }
}

/// An event that was sent, and its client.
struct Sent {
    event: Event,
    conn: ConnectionId,
    router: usize,
    /// The status of the answer, once it has come.
    status: Option<u16>,
    has_left: bool,
}

/// A history: the router, its worker, and the events sent so far.
pub struct History {
    sim: SimulatedGateway,
    store: SharedStore,
    worker: Worker,
    /// Number of the current router; each kill starts the next one.
    router: usize,
    sent: Vec<Sent>,
}

/// One worker; a workflow that holds beds, which are released if it fails, and confirms.
fn deployment() -> Deployment {
    let next = Branch { test: None, target: Target::One(StepId(1)) };
    let mut deployment = deployment_with_keyed_hold(IdempotencyScope::Everywhere, WINDOW);
    let effect = deployment.startup.workloads[1].retry_safety;
    let beds = Step { next: vec![next], function: Function::OfEvent, effect, ..step("beds", 1) };
    let beds = Step { undo: Some(StepId(2)), ..beds };
    let release = Step { function: Function::OfEvent, effect, ..step("release", 1) };
    let steps = vec![beds, step("confirm", 2), release];
    deployment.workflows = vec![booking_workflow(&["book", "rebook"], steps)];
    deployment
}

impl History {
    pub fn new(fates: Vec<Fate>) -> Self {
        let store = SharedStore::default();
        let sim = SimulatedGateway::with_store(deployment(), 1_000 * S, Box::new(store.clone()));
        History { sim, store, worker: Worker::new(fates), router: 0, sent: Vec::new() }
    }

    pub fn send(&mut self, event: Event, is_marked: bool) {
        let known = self.known_status(event);
        let conn = self.sim.connect_client();
        self.sim.receive(conn, event.encode(is_marked).as_bytes());
        self.sent.push(Sent { event, conn, router: self.router, status: None, has_left: false });
        self.settle();
        let status = self.sent.last().and_then(|sent| sent.status);
        match known {
            Some(Some(200)) => assert_eq!(status, Some(200), "the answer to {event:?} is replayed"),
            Some(None) => assert_ne!(status, Some(409), "{event:?} joins its request"),
            Some(Some(_)) | None => {}
        }
    }

    /// What the current router has told of this event: `None` if it has not had it, `Some(None)` if a client
    /// waits, and the last status otherwise.
    fn known_status(&self, event: Event) -> Option<Option<u16>> {
        let of_event = self.sent.iter().filter(|sent| sent.event == event && sent.router == self.router);
        let of_event: Vec<_> = of_event.filter(|sent| !sent.has_left && sent.status != Some(409)).collect();
        let is_open = of_event.iter().any(|sent| sent.status.is_none());
        if is_open { Some(None) } else { of_event.last().map(|sent| sent.status) }
    }

    pub fn respond(&mut self) {
        self.worker.respond(&mut self.sim);
        self.settle();
    }

    pub fn pause(&mut self, milliseconds: u64) {
        let end = self.sim.now + milliseconds * MS;
        while self.sim.now < end {
            self.sim.advance((20 * MS).min(end - self.sim.now));
            self.settle();
        }
    }

    pub fn set_reachable(&mut self, is_reachable: bool) {
        self.worker.is_reachable = is_reachable;
    }

    pub fn kill(&mut self) {
        self.router += 1;
        self.worker.router_killed();
        let now = self.sim.now + MS;
        self.sim = SimulatedGateway::with_store(deployment(), now, Box::new(self.store.clone()));
        self.settle();
    }

    pub fn leave(&mut self) {
        let (router, sim) = (self.router, &mut self.sim);
        let waiting = self
            .sent
            .iter_mut()
            .rev()
            .find(|sent| sent.router == router && sent.status.is_none() && !sent.has_left);
        if let Some(sent) = waiting {
            sent.has_left = true;
            sim.disconnect(sent.conn, Closed::Reset);
            self.settle();
        }
    }

    /// Lets all requests end, and checks that each client was answered once.
    pub fn finish(&mut self) {
        self.worker.is_reachable = true;
        for _ in 0..20 {
            self.respond();
            self.pause(500);
        }
        for sent in self.sent.iter().filter(|sent| sent.router == self.router && !sent.has_left) {
            assert_eq!(self.sim.statuses(sent.conn).len(), 1, "answers to {:?}", sent.event);
        }
    }

    /// Lets the worker read what was sent, and checks new answers and executions.
    fn settle(&mut self) {
        self.worker.serve(&mut self.sim, self.router);
        for index in 0..self.sent.len() {
            let Sent { conn, router, status, .. } = self.sent[index];
            if router == self.router
                && status.is_none()
                && let [status] = self.sim.statuses(conn)[..]
            {
                self.check_answer(index, status);
                self.sent[index].status = Some(status);
            }
        }
        self.check_executions();
    }

    fn check_answer(&self, index: usize, status: u16) {
        let Sent { event, conn, .. } = self.sent[index];
        let answer = self.sim.output(conn);
        match status {
            200 => {
                let Received { id, event_type, data } = event.answering_request();
                let expected = format!("{{\"for\":\"{event_type}/{id}/{data}\"}}");
                assert!(answer.ends_with(&expected), "{event:?} got {answer}");
            }
            409 => {
                assert!(answer.contains("id-conflict") && !answer.contains("no harm"), "{answer}");
                let others = self.sent.iter().filter(|other| other.event != event);
                let has_reason = others.into_iter().any(|other| event.shares_key_with(other.event));
                assert!(has_reason, "{event:?} is refused without another one: {answer}");
            }
            429 | 503 => self.check_rejection(event, &answer),
            502 | 504 => assert!(!answer.contains("no harm"), "{answer}"),
            _ => panic!("{event:?} got {answer}"),
        }
    }

    /// A rejection says that a retry is harmless: the event has not run, or is idempotent, or its client
    /// comes back when the worker still recognises it.
    fn check_rejection(&self, event: Event, answer: &str) {
        let executed = self.worker.executions.iter().filter(|execution| {
            let is_known = execution.router == self.router || event.kind.is_workflow();
            is_known && event.is_executed_by(&execution.request)
        });
        let first = executed.map(|execution| execution.at).min();
        let returns_at = self.sim.now + retry_after(answer);
        let is_harmless = match event.kind {
            Kind::Quote => true,
            Kind::Hold => first.is_none_or(|first| returns_at < first + WINDOW),
            Kind::Confirm | Kind::Book | Kind::Rebook => first.is_none(),
        };
        assert!(is_harmless, "{event:?} ran at {first:?}, and was told {answer}");
    }

    /// What must not run twice has not: steps of workflows over all routers, single requests at each router.
    fn check_executions(&self) {
        let mut counts: BTreeMap<(&str, Option<usize>), usize> = BTreeMap::new();
        let executions = self.worker.executions.iter();
        for execution in executions.filter(|execution| execution.request.event_type != "quote") {
            let router = Some(execution.router).filter(|_| !is_step(&execution.request));
            let count = counts.entry((&execution.request.id, router)).or_default();
            *count += 1;
            assert!(*count <= 1, "{} ran twice: {:?}", execution.request.id, self.worker.executions);
        }
    }
}

/// The delay that an answer tells its client.
fn retry_after(answer: &str) -> Micros {
    let value = answer.lines().find_map(|line| line.strip_prefix("Retry-After: "));
    value.map_or(0, |seconds| seconds.parse::<Micros>().expect("seconds") * S)
}
