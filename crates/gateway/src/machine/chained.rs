//! Chains on their way: each step is a request of its own that no client waits for; what it leaves to do is a
//! closure, which is handed its end.
use super::{Gateway, Wanted};
use crate::claims::{Claim, Ending, Name};
use crate::deployment::WorkloadNames;
use crate::front::{self, Draft, Told};
use crate::limit;
use applepond::interface::*;
use applepond_http::Fault;
use applepond_http::encode::Lines;
use applepond_reactor::{Conn, Transport};
use applepond_storage::record::{MAX_STORED_RESPONSE_BYTES, outcome_code};
use applepond_storage::{
    MemoryStore, StepOutcome, StepRecord, StoredResponse, WorkflowRecord, WorkflowStore, recorded_steps,
};
use applepond_workflow::run::Needs;
use applepond_workflow::{Do, Ended, How, Pace, Plan, Run, Step, StepId, Times, Why};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// µs after which an undo that did not finish is begun again, and µs for which that is done: longer than a
/// rollout takes.
const UNDO_AGAIN: Micros = 1_000_000;
const UNDO_FOR: Micros = 300_000_000;
/// µs named as a time to come back to a chain whose time was too short here: what was not loaded may be then.
const COME_BACK: Micros = 1_000_000;
/// µs after which ends of steps are written that no other write took along.
const WRITTEN_SOON: Micros = 20_000;
/// µs after which what could not be written is tried again: a disk is not mended within a moment.
const WRITTEN_AGAIN: Micros = 1_000_000;
/// µs between two looks for records that may be dropped.
const CLEARS: Micros = 5_000_000;
/// Fields of a chain's event that its steps' events do not take over.
const OWN: [&str; 4] = ["ce-id", "ce-type", "ce-timelimit", "ce-expirytime"];

/// How a step's request ended.
pub struct StepEnd {
    pub told: Rc<Told>,
    /// µs from its beginning to its end.
    pub took: Micros,
    /// Its answer came from a copy that stood loaded.
    pub stood: bool,
}

/// What a step leaves to do.
pub type Then = Box<dyn FnOnce(&mut Gateway, Micros, &mut dyn Transport, StepEnd)>;

/// One chain, until its last step has ended.
pub struct Chain {
    name: Name,
    client: u64,
    digest: u64,
    customer: Option<CustomerId>,
    came: Micros,
    retry: bool,
    run: Run,
    pub callers: Vec<Conn>,
    /// Jobs of the steps that are out.
    out: BTreeMap<StepId, RequestId>,
    /// The answer of the step that finished last, and the time that the last pushback named. What other steps
    /// said is kept for the record.
    finished: Option<(StepId, Rc<Told>)>,
    come_back: Option<Micros>,
    /// Attributes, media type and data that each step's event takes over.
    lines: Lines,
    media: Option<String>,
    data: Rc<Vec<u8>>,
    undos: usize,
    steps: u64,
    /// What is on record of it, or will be with the next write.
    kept: WorkflowRecord,
    /// A step with an effect was sent: from then on it is on record.
    on_record: bool,
    answered: bool,
}

impl Chain {
    /// What a step that finished said: as it was told, or as it is on record.
    fn answer(&self, step: StepId) -> Option<(Lines, Vec<u8>)> {
        if let Some((_, told)) = self.finished.as_ref().filter(|(of, _)| *of == step) {
            return Some((told.lines.clone(), told.body.clone()));
        }
        let end = self.kept.steps.get(&(step.0 as u32))?.outcome.as_ref()?;
        end.response.as_ref().map(|a| (Lines::of(a.header_lines.clone()), a.body.clone()))
    }
}

/// A step with an effect that waits to be written down before it is sent.
struct Waiting {
    request: RequestId,
    step: StepId,
    function: String,
    until: Micros,
}

#[derive(Default)]
struct Counts {
    taken: u64,
    finished: u64,
    pushed_back: u64,
    failed: u64,
    refused_for_time: u64,
    held_back: u64,
    steps: u64,
    undos: u64,
    resumed: u64,
    writes: u64,
    not_written: u64,
}

pub struct Chains {
    pub open: BTreeMap<RequestId, Chain>,
    /// Steps that have ended, with what they leave to do: taken one after the other, not from within each
    /// other.
    pub ends: VecDeque<(Then, StepEnd)>,
    /// Chains that were taken in this turn, with what they begin with.
    pub begun: VecDeque<(RequestId, Vec<Do>)>,
    times: Times,
    pace: Pace,
    counts: Counts,
    pub record: Box<dyn WorkflowStore>,
    unwritten: Vec<Waiting>,
    /// Chains that have finished, to be written down before they are answered.
    unanswered: Vec<(RequestId, Ended)>,
    /// Chains whose record is behind; a timer is set for them.
    behind: BTreeSet<RequestId>,
    timer: bool,
}

impl Chains {
    pub fn new(keep: Micros) -> Self {
        Chains {
            open: BTreeMap::new(),
            ends: VecDeque::new(),
            begun: VecDeque::new(),
            times: Times::new(keep),
            pace: Pace::default(),
            counts: Counts::default(),
            record: Box::new(MemoryStore::default()),
            unwritten: Vec::new(),
            unanswered: Vec::new(),
            behind: BTreeSet::new(),
            timer: false,
        }
    }

    /// Chains that have come to their end, and whose record says so.
    fn drop_closed(&mut self, requests: &BTreeSet<RequestId>) {
        for request in requests {
            if self.open.get(request).is_some_and(|c| c.kept.closed && c.answered) {
                self.open.remove(request);
            }
        }
    }

    pub fn state(&self) -> serde_json::Value {
        let c = &self.counts;
        serde_json::json!({"open": self.open.len(), "taken": c.taken, "finished": c.finished,
            "pushed-back": c.pushed_back, "failed": c.failed, "refused-for-time": c.refused_for_time,
            "held-back": c.held_back, "allowed-per-s": self.pace.allowed(),
            "steps": c.steps, "undos": c.undos, "functions-known": self.times.known(),
            "record": {"resumed": c.resumed, "writes": c.writes, "not-written": c.not_written}})
    }
}

/// A field of a result as text: a JSON object's, where it is a text, a number or a mark.
fn field(body: &[u8], name: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    match value.get(name)? {
        serde_json::Value::String(text) => Some(text.clone()),
        serde_json::Value::Number(number) => Some(number.to_string()),
        serde_json::Value::Bool(mark) => Some(mark.to_string()),
        _ => None,
    }
}

/// Tells a changed plan from the one that a record was written by.
/// By the names of its workloads: a switch of the settings may have moved their rows, a restart puts them
/// back.
fn digest(plan: &Plan, workloads: &[WorkloadNames]) -> u64 {
    let mut plan = plan.clone();
    let place = |step: &mut Step| workloads[std::mem::take(&mut step.workload)].name.clone();
    let names: Vec<String> = plan.steps.iter_mut().map(place).collect();
    FunctionId::named(&format!("{plan:?}{names:?}")).0
}

fn how(ending: Ending) -> How {
    match ending {
        Ending::Finished => How::Finished,
        Ending::PushedBack => How::NeverRan,
        Ending::Killed => How::MayHaveRun,
    }
}

impl Gateway {
    /// Takes the event of a chain; an error is its answer.
    pub(super) fn take_chain(
        &mut self,
        now: Micros,
        conn: Conn,
        row: usize,
        draft: Draft,
    ) -> Result<(), Rc<Told>> {
        let id = draft.id.clone();
        let refuse = |status, reason, detail: &str| {
            tracing::info!(id, reason, status, "event refused");
            Err(front::problem(Ending::PushedBack, &Fault::new(status, reason, detail), Some(&id), None))
        };
        let Ok(customer) = self.customer(&draft) else {
            return refuse(422, "unknown-customer", "no such customer has a share here");
        };
        let name: Name = (Rc::from(draft.source.as_str()), Rc::from(draft.id.as_str()));
        if let Some(taken) = self.taken(now, conn, &name) {
            return taken;
        }
        let chain_row = &self.deployment.chains[row];
        let plan = chain_row.plan.clone();
        let Some(left) = limit::left(now, plan.limit, draft.asked) else {
            return refuse(504, "expired", "the event's time was up when it came");
        };
        let named = draft.picked(&chain_row.function_by).filter(|f| !f.is_empty()).map(str::to_owned);
        let digest_of_plan = digest(&plan, &self.deployment.workloads);
        let lasts = plan.steps.iter().any(|s| s.effect != RetrySafety::Idempotent);
        if lasts && draft.data.len() > MAX_STORED_RESPONSE_BYTES {
            return refuse(413, "large-chain", "the data of a chain with effects must fit its record");
        }
        let before = match self.chains.record.load((&name.0, &name.1)) {
            Ok(before) => before.filter(|kept| kept.expires_at > now),
            Err(why) if lasts => {
                tracing::error!(%why, reason = "no-record", "the record cannot be read");
                return refuse(503, "no-record", "what ran before cannot be known here");
            }
            Err(_) => None,
        };
        if before.as_ref().is_some_and(|k| (&k.workflow, k.plan_digest) != (&plan.name, digest_of_plan)) {
            return refuse(502, "plan-changed", "it began by another plan; steps of it may have run");
        }
        let (client, digest, retry) = self.admit(now, &draft, plan.steps[0].workload, left)?;
        let fresh = before.as_ref().is_none_or(|k| k.steps.is_empty());
        if fresh && !self.chains.pace.admit(now) {
            self.chains.counts.held_back += 1;
            let wait = self.gate.come_back(now, client, digest, left);
            let wait = wait.filter(|_| self.deployment.rows.attempt_policy.retry_after_allowed);
            let detail = "as many chains run as come to their end; a retry does no harm";
            let fault = Fault::new(503, "chains-full", detail);
            return Err(front::problem(Ending::PushedBack, &fault, Some(&id), wait));
        }
        self.counts.requests += 1;
        self.chains.counts.taken += 1;
        self.next_job += 1;
        let request = super::request_id(self.deployment.rows.seed, self.next_job);
        let customer_name = customer.map(|c| self.deployment.customers[c.0].clone());
        let on_record = before.is_some();
        let kept = before.unwrap_or_else(|| WorkflowRecord {
            workflow: plan.name.clone(),
            plan_digest: digest_of_plan,
            function: named,
            customer: customer_name,
            header_lines: draft.lines.without(&OWN).bytes().to_vec(),
            content_type: draft.media,
            data: draft.data,
            ..WorkflowRecord::default()
        });
        let until = now + left + self.deployment.remember_for;
        let kept = WorkflowRecord { deadline: now + left, expires_at: until, closed: false, ..kept };
        let chain =
            Chain { callers: vec![conn], retry, ..self.chain(now, name.clone(), plan, kept, customer) };
        let chain = Chain { client, digest, on_record, ..chain };
        self.claims.begin(name, request);
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.request = Some(request);
        }
        self.open_chain(now, request, chain);
        Ok(())
    }

    /// A chain with what is on record of it.
    fn chain(
        &mut self,
        now: Micros,
        name: Name,
        plan: Arc<Plan>,
        kept: WorkflowRecord,
        customer: Option<CustomerId>,
    ) -> Chain {
        let recorded = recorded_steps(&kept, &plan, now);
        self.chains.counts.resumed += u64::from(!kept.steps.is_empty());
        Chain {
            name,
            client: 0,
            digest: 0,
            customer,
            came: now,
            retry: false,
            finished: None,
            come_back: None,
            run: Run::new(now, plan, kept.function.clone(), kept.deadline, recorded),
            callers: Vec::new(),
            out: BTreeMap::new(),
            lines: Lines::of(kept.header_lines.clone()),
            media: kept.content_type.clone(),
            data: Rc::new(kept.data.clone()),
            undos: 0,
            steps: 0,
            on_record: true,
            answered: false,
            kept,
        }
    }

    fn open_chain(&mut self, now: Micros, request: RequestId, chain: Chain) {
        self.chains.open.insert(request, chain);
        let todo = self.with_run(now, request, |run, needs| run.begin(now, needs));
        // From the end of this turn on: a chain that is refused at once is answered like any other.
        self.chains.begun.push_back((request, todo));
    }

    /// Chains on record that had not come to their end: whoever asked for one may ask again until its time is
    /// up; then it goes on without anybody, which takes back what must be taken back.
    pub(super) fn resume_chains(&mut self, now: Micros, transport: &mut dyn Transport) {
        let open = match self.chains.record.unfinished() {
            Ok(open) => open,
            Err(why) => return tracing::error!(%why, reason = "no-record", "the record cannot be read"),
        };
        for (source, id) in open {
            let name: Name = (Rc::from(source), Rc::from(id));
            let kept = self.chains.record.load((&name.0, &name.1));
            let Ok(Some(kept)) = kept else { continue };
            let wait = kept.deadline.saturating_sub(now);
            let (source, id) = &name;
            tracing::info!(%id, %source, reason = "open-chain", wait, "a chain was cut off");
            self.after(now, transport, wait, Box::new(move |g, now, _| g.resume_alone(now, name)));
        }
        self.clear_record(now, transport);
    }

    fn clear_record(&mut self, now: Micros, transport: &mut dyn Transport) {
        if let Err(why) = self.chains.record.remove_expired(now) {
            tracing::error!(%why, reason = "no-record", "the record cannot be cleared");
        }
        self.after(now, transport, CLEARS, Box::new(|g, now, transport| g.clear_record(now, transport)));
    }

    fn resume_alone(&mut self, now: Micros, name: Name) {
        if !matches!(self.claims.claim(now, &name), Claim::New) {
            return;
        }
        let Ok(Some(kept)) = self.chains.record.load((&name.0, &name.1)) else { return };
        let mut rows = self.deployment.chains.iter().map(|row| row.plan.clone());
        let plan = rows.find(|plan| {
            (&plan.name, digest(plan, &self.deployment.workloads)) == (&kept.workflow, kept.plan_digest)
        });
        let Some(plan) = plan.filter(|_| !kept.closed) else { return };
        let customer = kept.customer.as_ref();
        let customer = customer.and_then(|c| self.deployment.customers.iter().position(|known| known == c));
        self.next_job += 1;
        let request = super::request_id(self.deployment.rows.seed, self.next_job);
        let until = now + self.deployment.remember_for;
        let chain = self.chain(
            now,
            name.clone(),
            plan,
            WorkflowRecord { expires_at: until, ..kept },
            customer.map(CustomerId),
        );
        self.claims.begin(name, request);
        self.open_chain(now, request, chain);
    }

    // ---- The record ----------------------------------------------------------------------------

    /// Writes down what waits for it, in one transaction for all chains of this turn; then sends and answers
    /// what was waiting. Where that fails nothing is sent: the steps end as ones that never ran.
    pub(super) fn write_down(&mut self, now: Micros, transport: &mut dyn Transport) -> bool {
        let waiting = std::mem::take(&mut self.chains.unwritten);
        let finished = std::mem::take(&mut self.chains.unanswered);
        if waiting.is_empty() && finished.is_empty() {
            return false;
        }
        for w in &waiting {
            if let Some(chain) = self.chains.open.get_mut(&w.request) {
                chain.on_record = true;
                chain.kept.steps.insert(w.step.0 as u32, StepRecord { sent_at: now, outcome: None });
            }
        }
        let requests = waiting.iter().map(|w| w.request).chain(finished.iter().map(|(request, _)| *request));
        let written = self.write_chains(now, transport, requests.collect());
        // Their work is done, whether that could be written down or not.
        for (request, ended) in finished {
            self.end_chain(now, transport, request, ended);
            if written {
                self.chains.drop_closed(&BTreeSet::from([request]));
            }
            // Where it was not, it stays until that is made up for.
            self.chain_goes_on(now, transport, request, Vec::new());
        }
        for w in waiting {
            if written {
                self.begin_step(now, w.request, w.step, w.function, w.until);
                continue;
            }
            if let Some(chain) = self.chains.open.get_mut(&w.request) {
                chain.kept.steps.remove(&(w.step.0 as u32));
            }
            let todo = self.with_run(now, w.request, |run, needs| run.not_written(now, w.step, needs));
            self.chain_goes_on(now, transport, w.request, todo);
        }
        true
    }

    /// Writes these chains and all that are behind.
    fn write_chains(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        mut requests: BTreeSet<RequestId>,
    ) -> bool {
        requests.append(&mut self.chains.behind);
        let chains = requests.iter().filter_map(|request| self.chains.open.get(request));
        let rows: Vec<_> = chains.map(|c| ((&*c.name.0, &*c.name.1), &c.kept)).collect();
        self.chains.counts.writes += 1;
        let written = self.chains.record.save(&rows);
        if let Err(why) = &written {
            self.chains.counts.not_written += 1;
            tracing::error!(%why, reason = "no-record", "chains were not written down");
            self.chains.behind.extend(requests);
            self.write_behind(now, transport, WRITTEN_AGAIN);
        } else {
            self.chains.drop_closed(&requests);
        }
        written.is_ok()
    }

    /// The end of a step, for the record; written soon.
    fn keep_end(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        how: How,
        told: &Told,
    ) {
        let Some(chain) = self.chains.open.get_mut(&request) else { return };
        let fields = chain.run.asked(step).into_iter();
        let fields = fields.filter_map(|name| Some((name.to_owned(), field(&told.body, name)?)));
        let small = how == How::Finished && told.body.len() <= MAX_STORED_RESPONSE_BYTES;
        let answer = small
            .then(|| StoredResponse { header_lines: told.lines.bytes().to_vec(), body: told.body.clone() });
        let end = StepOutcome { code: outcome_code(how), fields: fields.collect(), response: answer };
        chain.kept.steps.entry(step.0 as u32).or_default().outcome = Some(end);
        self.behind(now, transport, request);
    }

    fn behind(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId) {
        if self.chains.open.get(&request).is_none_or(|c| !c.on_record) {
            return;
        }
        self.chains.behind.insert(request);
        self.write_behind(now, transport, WRITTEN_SOON);
    }

    /// Has chains that are behind written after a while, unless that is to be done anyway.
    fn write_behind(&mut self, now: Micros, transport: &mut dyn Transport, wait: Micros) {
        if std::mem::replace(&mut self.chains.timer, true) {
            return;
        }
        let step = |g: &mut Gateway, now: Micros, transport: &mut dyn Transport| {
            g.chains.timer = false;
            if !g.chains.behind.is_empty() {
                g.write_chains(now, transport, BTreeSet::new());
            }
        };
        self.after(now, transport, wait, Box::new(step));
    }

    /// Lets a chain's run decide, with what its steps need now.
    fn with_run<T: Default>(
        &mut self,
        now: Micros,
        request: RequestId,
        decide: impl FnOnce(&mut Run, Needs<'_>) -> T,
    ) -> T {
        let Some(chain) = self.chains.open.get_mut(&request) else { return T::default() };
        let (times, functions, workloads) =
            (&self.chains.times, &self.deployment.functions, &self.deployment.workloads);
        let needs = |step: &Step, function: &str, _ahead: Micros| {
            let row = functions.get(function).unwrap_or(&workloads[step.workload].function);
            let id = FunctionId::named(function);
            times.usual(id, step.at_least) + times.load(now, id, row.load_time)
        };
        decide(&mut chain.run, &needs)
    }

    /// Carries out what a chain's run wants, in its order.
    pub(super) fn chain_goes_on(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        todo: Vec<Do>,
    ) {
        for what in todo {
            match what {
                Do::Begin { step, function, until } => {
                    let effect = self.chains.open.get(&request).map(|c| c.run.plan().step(step).effect);
                    match effect {
                        Some(RetrySafety::Idempotent) | None => {
                            self.begin_step(now, request, step, function, until)
                        }
                        _ => self.chains.unwritten.push(Waiting { request, step, function, until }),
                    }
                }
                Do::Wait { step, until } => {
                    let wait = until.saturating_sub(now);
                    self.after(
                        now,
                        transport,
                        wait,
                        Box::new(move |g, now, transport| {
                            let todo = g.with_run(now, request, |run, needs| run.again(now, step, needs));
                            g.chain_goes_on(now, transport, request, todo);
                        }),
                    );
                }
                Do::Cancel(step) => {
                    // It may not have been sent yet.
                    self.chains.unwritten.retain(|w| (w.request, w.step) != (request, step));
                    let out = self.chains.open.get_mut(&request).and_then(|c| c.out.remove(&step));
                    out.into_iter().for_each(|of_step| self.abandon(now, transport, of_step));
                }
                Do::End(ended) => match self.chains.open.get_mut(&request) {
                    // Once it is told as finished nothing may take it back, also not after a kill.
                    Some(chain) if chain.on_record && matches!(ended, Ended::Finished(_)) => {
                        chain.kept.closed = true;
                        self.chains.unanswered.push((request, ended));
                    }
                    _ => self.end_chain(now, transport, request, ended),
                },
                Do::Undo { step, function } => {
                    let done = |c: &Chain| {
                        let kept = c.kept.steps.get(&(step.0 as u32)).and_then(|s| s.outcome.as_ref());
                        kept.is_some_and(|end| end.code == outcome_code(How::Finished))
                    };
                    if let Some(chain) = self.chains.open.get_mut(&request).filter(|c| !done(c)) {
                        chain.undos += 1;
                        self.undo(now, request, step, function, now + UNDO_FOR);
                    }
                }
            }
        }
        let done = |c: &&mut Chain| c.run.has_ended().is_some() && c.undos == 0 && c.out.is_empty();
        if let Some(chain) = self.chains.open.get_mut(&request).filter(done) {
            chain.kept.closed = true;
            if chain.on_record {
                // It stays until that is written.
                return self.behind(now, transport, request);
            }
            self.chains.open.remove(&request);
        }
    }

    /// The request of a step: a name of its own, the chain's attributes and data.
    fn wanted(&self, chain: &Chain, step: StepId, function: String, left: Micros, then: Then) -> Wanted {
        let row = chain.run.plan().step(step);
        let names = &self.deployment.workloads[row.workload];
        let name: Name = (chain.name.0.clone(), Rc::from(format!("{}/{}", chain.name.1, row.name)));
        let mut lines = Lines::default();
        lines.field("ce-id", &name.1);
        lines.field("ce-type", names.types.first().map_or("", String::as_str));
        lines.append(&chain.lines);
        Wanted {
            name,
            client: chain.client,
            digest: chain.digest,
            workload: row.workload,
            function,
            customer: chain.customer,
            left,
            retry: chain.retry,
            paid: 1.0,
            lines,
            media: chain.media.clone(),
            data: chain.data.clone(),
            opening: None,
            callers: Vec::new(),
            then: Some(then),
        }
    }

    fn begin_step(&mut self, now: Micros, request: RequestId, step: StepId, function: String, until: Micros) {
        let paid = self.with_run(now, request, |run, needs| run.paid(now, needs));
        let Some(chain) = self.chains.open.get(&request) else { return };
        let id = FunctionId::named(&function);
        let then: Then =
            Box::new(move |g, now, transport, end| g.step_ended(now, transport, request, step, id, &end));
        let wanted = self.wanted(chain, step, function, until.saturating_sub(now), then);
        self.chains.counts.steps += 1;
        let of_step = self.begin(now, Wanted { paid, ..wanted });
        if let Some(chain) = self.chains.open.get_mut(&request) {
            chain.steps += 1;
            chain.out.insert(step, of_step);
        }
    }

    fn step_ended(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: RequestId,
        step: StepId,
        function: FunctionId,
        end: &StepEnd,
    ) {
        if end.told.ending == Ending::Finished {
            self.chains.times.finished(now, function, end.took, end.stood);
        }
        let Some(chain) = self.chains.open.get_mut(&request) else { return };
        chain.out.remove(&step);
        chain.come_back = end.told.come_back;
        if end.told.ending == Ending::Finished {
            chain.finished = Some((step, end.told.clone()));
        }
        let told = end.told.clone();
        let read = move |name: &str| field(&told.body, name);
        let ending = how(end.told.ending);
        self.keep_end(now, transport, request, step, ending, &end.told);
        let come_back = end.told.come_back;
        let todo =
            self.with_run(now, request, |run, needs| run.ended(now, step, ending, come_back, &read, needs));
        self.chain_goes_on(now, transport, request, todo);
    }

    /// Ends a step's request from this side: nobody waits for it any more.
    fn abandon(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId) {
        let Some(task) = self.tasks.get_mut(request) else { return };
        task.ended = true;
        task.of.then = None;
        let attempts = task.attempts.len();
        if task.out() == 0 {
            self.tasks.forget(request);
            self.control.advance_to(now);
            self.control.client_disconnected(&mut self.acts, request);
            return;
        }
        (0..attempts).for_each(|n| self.drop_attempt(now, transport, request, n, Outcome::Cancelled));
    }

    /// Begins an undo, and again until it has finished.
    fn undo(&mut self, now: Micros, request: RequestId, step: StepId, function: String, last: Micros) {
        let Some(chain) = self.chains.open.get(&request) else { return };
        let left = self.deployment.workloads[chain.run.plan().step(step).workload].deadline;
        let again = function.clone();
        let then: Then = Box::new(move |g, now, transport, end| {
            if end.told.ending != Ending::Finished && now < last {
                let wait = end.told.come_back.unwrap_or(UNDO_AGAIN).max(UNDO_AGAIN);
                g.after(
                    now,
                    transport,
                    wait,
                    Box::new(move |g, now, _| g.undo(now, request, step, again, last)),
                );
                return;
            }
            if end.told.ending != Ending::Finished
                && let Some(chain) = g.chains.open.get(&request)
            {
                let (id, step) = (&chain.name.1, &chain.run.plan().step(step).name);
                tracing::error!(%id, %step, reason = "undo-given-up", "a step was not taken back");
            }
            if let Some(chain) = g.chains.open.get_mut(&request) {
                chain.undos -= 1;
            }
            g.keep_end(now, transport, request, step, how(end.told.ending), &end.told);
            g.chain_goes_on(now, transport, request, Vec::new());
        });
        self.chains.counts.undos += 1;
        let wanted = self.wanted(chain, step, function, left, then);
        self.begin(now, wanted);
    }

    /// The one place where a chain is answered.
    fn end_chain(&mut self, now: Micros, transport: &mut dyn Transport, request: RequestId, ended: Ended) {
        let Some(chain) = self.chains.open.get_mut(&request) else { return };
        let id = chain.name.1.clone();
        let failed = |step: StepId, why: Why| {
            let name = &chain.run.plan().step(step).name;
            match why {
                Why::NoTime => ("no-time", format!("step '{name}' cannot finish in the time left")),
                Why::NoFunction => ("no-function", format!("no result names the function of step '{name}'")),
                Why::NotWritten => ("no-record", format!("step '{name}' could not be written down")),
                Why::StepFailed => ("step-failed", format!("step '{name}' did not finish")),
            }
        };
        let counts = &mut self.chains.counts;
        let last = match ended {
            Ended::Finished(step) | Ended::PushedBack(step, _) | Ended::Failed(step, _) => step,
        };
        let told = match ended {
            Ended::Finished(step) => {
                counts.finished += 1;
                match chain.answer(step) {
                    Some((mut lines, body)) => {
                        lines.field("applepond-steps", &chain.steps.to_string());
                        Rc::new(Told::finished(lines, body))
                    }
                    None => {
                        let detail = "it finished; its answer was too long to be kept over a kill";
                        let fault = Fault::new(502, "answer-lost", detail);
                        front::problem(Ending::Killed, &fault, Some(&id), None)
                    }
                }
            }
            Ended::PushedBack(step, why) => {
                // The next try begins anew.
                chain.kept.steps.clear();
                counts.pushed_back += 1;
                counts.refused_for_time += u64::from(why == Why::NoTime);
                let (reason, detail) = failed(step, why);
                let wait = chain
                    .come_back
                    .or(Some(COME_BACK))
                    .filter(|_| self.deployment.rows.attempt_policy.retry_after_allowed);
                let fault = Fault::new(503, reason, format!("{detail}; a retry does no harm"));
                front::problem(Ending::PushedBack, &fault, Some(&id), wait)
            }
            Ended::Failed(step, why) => {
                chain.kept.failed = true;
                // On record for as long as it may be taken back.
                chain.kept.expires_at = now + UNDO_FOR + self.deployment.remember_for;
                counts.failed += 1;
                let (reason, detail) = failed(step, why);
                let status = if why == Why::NoTime { 504 } else { 502 };
                let fault = Fault::new(status, reason, format!("{detail}; steps before it may have run"));
                front::problem(Ending::Killed, &fault, Some(&id), None)
            }
        };
        let paid = chain.finished.is_some() || chain.on_record;
        let finished = matches!(ended, Ended::Finished(_));
        self.chains.pace.ended(now, finished, paid && !finished);
        match told.ending {
            Ending::Finished => self.counts.finished += 1,
            Ending::PushedBack => self.counts.pushed_back += 1,
            Ending::Killed => self.counts.killed += 1,
        }
        self.gate.ended(now, told.ending == Ending::Finished, told.ending == Ending::PushedBack);
        // What may have run must not run again here, whatever the effect of the step that failed.
        self.claims.end(now, &chain.name, told.ending, RetrySafety::AtMostOnce, told.clone(), told.bytes());
        tracing::info!(
            id = %id,
            source = %chain.name.0,
            chain = %chain.run.plan().name,
            reason = told.reason,
            status = told.status,
            step = %chain.run.plan().step(last).name,
            steps = chain.steps,
            exchanges = chain.callers.len(),
            took_us = now - chain.came,
            left_us = chain.run.deadline().saturating_sub(now),
            "chain ended"
        );
        chain.answered = true;
        for conn in std::mem::take(&mut chain.callers) {
            if let Some(caller) = self.callers.get_mut(&conn) {
                caller.answer(now, transport, conn, &told);
                self.ready.push_back(conn);
            }
        }
    }
}
