//! Chains on their way: each step is a job of its own that no client waits for; what it leaves to do is a
//! closure, which is handed its end.
use super::{Gateway, Wanted};
use crate::claims::{Ending, Name};
use crate::front::{self, Draft, Told};
use crate::limit;
use applepond::interface::*;
use applepond_chain::run::Needs;
use applepond_chain::{Do, Ended, How, Run, Step, StepId, Times, Why};
use applepond_http::Fault;
use applepond_http::encode::Lines;
use applepond_reactor::{Conn, Wire};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// µs after which an undo that did not finish is begun again, and µs for which that is done: longer than a
/// rollout takes.
const UNDO_AGAIN: Micros = 1_000_000;
const UNDO_FOR: Micros = 300_000_000;
/// µs named as a time to come back to a chain whose time was too short here: what was not loaded may be then.
const COME_BACK: Micros = 1_000_000;
/// Fields of a chain's event that its steps' events do not take over.
const OWN: [&str; 4] = ["ce-id", "ce-type", "ce-timelimit", "ce-expirytime"];

/// How a step's job ended.
pub struct StepEnd {
    pub told: Rc<Told>,
    /// µs from its beginning to its end.
    pub took: Micros,
    /// Its answer came from a copy that stood loaded.
    pub stood: bool,
}

/// What a step leaves to do.
pub type Then = Box<dyn FnOnce(&mut Gateway, Micros, &mut dyn Wire, StepEnd)>;

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
    out: BTreeMap<StepId, JobId>,
    /// Answers of steps: one of them is the chain's.
    answers: BTreeMap<StepId, Rc<Told>>,
    /// Attributes, media type and data that each step's event takes over.
    lines: Lines,
    media: Option<String>,
    data: Rc<Vec<u8>>,
    undos: usize,
    steps: u64,
}

#[derive(Default)]
struct Counts {
    taken: u64,
    finished: u64,
    pushed_back: u64,
    failed: u64,
    refused_for_time: u64,
    steps: u64,
    undos: u64,
}

pub struct Chains {
    pub open: BTreeMap<JobId, Chain>,
    /// Steps that have ended, with what they leave to do: taken one after the other, not from within each
    /// other.
    pub ends: VecDeque<(Then, StepEnd)>,
    /// Chains that were taken in this turn, with what they begin with.
    pub begun: VecDeque<(JobId, Vec<Do>)>,
    times: Times,
    counts: Counts,
}

impl Chains {
    pub fn new(keep: Micros) -> Self {
        Chains {
            open: BTreeMap::new(),
            ends: VecDeque::new(),
            begun: VecDeque::new(),
            times: Times::new(keep),
            counts: Counts::default(),
        }
    }

    pub fn state(&self) -> serde_json::Value {
        let c = &self.counts;
        serde_json::json!({"open": self.open.len(), "taken": c.taken, "finished": c.finished,
            "pushed-back": c.pushed_back, "failed": c.failed, "refused-for-time": c.refused_for_time,
            "steps": c.steps, "undos": c.undos, "functions-known": self.times.known()})
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
        let (client, digest, retry) = self.admit(now, &draft, plan.steps[0].workload, left)?;
        self.counts.jobs += 1;
        self.chains.counts.taken += 1;
        self.next_job += 1;
        let job = super::job_id(self.deployment.rows.seed, self.next_job);
        let chain = Chain {
            name: name.clone(),
            client,
            digest,
            customer,
            came: now,
            retry,
            run: Run::new(now, plan, named, now + left, BTreeMap::new()),
            callers: vec![conn],
            out: BTreeMap::new(),
            answers: BTreeMap::new(),
            lines: draft.lines.without(&OWN),
            media: draft.media,
            data: Rc::new(draft.data),
            undos: 0,
            steps: 0,
        };
        self.claims.begin(name, job);
        self.chains.open.insert(job, chain);
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.job = Some(job);
        }
        let todo = self.with_run(now, job, |run, needs| run.begin(now, needs));
        // From the end of this turn on: a chain that is refused at once is answered like any other.
        self.chains.begun.push_back((job, todo));
        Ok(())
    }

    /// Lets a chain's run decide, with what its steps need now.
    fn with_run<T: Default>(
        &mut self,
        now: Micros,
        job: JobId,
        decide: impl FnOnce(&mut Run, Needs<'_>) -> T,
    ) -> T {
        let Some(chain) = self.chains.open.get_mut(&job) else { return T::default() };
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
    pub(super) fn chain_goes_on(&mut self, now: Micros, wire: &mut dyn Wire, job: JobId, todo: Vec<Do>) {
        for what in todo {
            match what {
                Do::Begin { step, function, until } => self.begin_step(now, job, step, function, until),
                Do::Cancel(step) => {
                    let out = self.chains.open.get_mut(&job).and_then(|c| c.out.remove(&step));
                    out.into_iter().for_each(|of_step| self.abandon(now, wire, of_step));
                }
                Do::End(ended) => self.end_chain(now, wire, job, ended),
                Do::Undo { step, function } => {
                    if let Some(chain) = self.chains.open.get_mut(&job) {
                        chain.undos += 1;
                        self.undo(now, job, step, function, now + UNDO_FOR);
                    }
                }
            }
        }
        let done = |c: &Chain| c.run.has_ended().is_some() && c.undos == 0 && c.out.is_empty();
        if self.chains.open.get(&job).is_some_and(done) {
            self.chains.open.remove(&job);
        }
    }

    /// The job of a step: a name of its own, the chain's attributes and data.
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
            callers: Vec::new(),
            then: Some(then),
        }
    }

    fn begin_step(&mut self, now: Micros, job: JobId, step: StepId, function: String, until: Micros) {
        let paid = self.with_run(now, job, |run, needs| run.paid(now, needs));
        let Some(chain) = self.chains.open.get(&job) else { return };
        let id = FunctionId::named(&function);
        let then: Then = Box::new(move |g, now, wire, end| g.step_ended(now, wire, job, step, id, &end));
        let wanted = self.wanted(chain, step, function, until.saturating_sub(now), then);
        self.chains.counts.steps += 1;
        let of_step = self.begin(now, Wanted { paid, ..wanted });
        if let Some(chain) = self.chains.open.get_mut(&job) {
            chain.steps += 1;
            chain.out.insert(step, of_step);
        }
    }

    fn step_ended(
        &mut self,
        now: Micros,
        wire: &mut dyn Wire,
        job: JobId,
        step: StepId,
        function: FunctionId,
        end: &StepEnd,
    ) {
        if end.told.ending == Ending::Finished {
            self.chains.times.finished(now, function, end.took, end.stood);
        }
        let Some(chain) = self.chains.open.get_mut(&job) else { return };
        chain.out.remove(&step);
        chain.answers.insert(step, end.told.clone());
        let told = end.told.clone();
        let read = move |name: &str| field(&told.body, name);
        let ending = how(end.told.ending);
        let todo = self.with_run(now, job, |run, needs| run.ended(now, step, ending, &read, needs));
        self.chain_goes_on(now, wire, job, todo);
    }

    /// Ends a step's job from this side: nobody waits for it any more.
    fn abandon(&mut self, now: Micros, wire: &mut dyn Wire, job: JobId) {
        let Some(task) = self.tasks.get_mut(&job) else { return };
        task.ended = true;
        task.then = None;
        let executions = task.executions.len();
        if task.out() == 0 {
            self.tasks.remove(&job);
            self.control.clock(now);
            self.control.left(job);
            return;
        }
        (0..executions).for_each(|n| self.drop_execution(now, wire, job, n, Outcome::Cancelled));
    }

    /// Begins an undo, and again until it has finished.
    fn undo(&mut self, now: Micros, job: JobId, step: StepId, function: String, last: Micros) {
        let Some(chain) = self.chains.open.get(&job) else { return };
        let left = self.deployment.workloads[chain.run.plan().step(step).workload].time_limit;
        let again = function.clone();
        let then: Then = Box::new(move |g, now, wire, end| {
            if end.told.ending != Ending::Finished && now < last {
                let wait = end.told.come_back.unwrap_or(UNDO_AGAIN).max(UNDO_AGAIN);
                g.after(now, wire, wait, Box::new(move |g, now, _| g.undo(now, job, step, again, last)));
                return;
            }
            if end.told.ending != Ending::Finished
                && let Some(chain) = g.chains.open.get(&job)
            {
                let (id, step) = (&chain.name.1, &chain.run.plan().step(step).name);
                tracing::error!(%id, %step, reason = "undo-given-up", "a step was not taken back");
            }
            if let Some(chain) = g.chains.open.get_mut(&job) {
                chain.undos -= 1;
            }
            g.chain_goes_on(now, wire, job, Vec::new());
        });
        self.chains.counts.undos += 1;
        let wanted = self.wanted(chain, step, function, left, then);
        self.begin(now, wanted);
    }

    /// The one place where a chain is answered.
    fn end_chain(&mut self, now: Micros, wire: &mut dyn Wire, job: JobId, ended: Ended) {
        let Some(chain) = self.chains.open.get_mut(&job) else { return };
        let id = chain.name.1.clone();
        let failed = |step: StepId, why: Why| {
            let name = &chain.run.plan().step(step).name;
            match why {
                Why::NoTime => ("no-time", format!("step '{name}' cannot finish in the time left")),
                Why::NoFunction => ("no-function", format!("no result names the function of step '{name}'")),
                Why::StepFailed => ("step-failed", format!("step '{name}' did not finish")),
            }
        };
        let counts = &mut self.chains.counts;
        let told = match ended {
            Ended::Finished(step) => {
                counts.finished += 1;
                let answer = chain.answers.get(&step);
                let (lines, body) =
                    answer.map_or_else(Default::default, |a| (a.lines.clone(), a.body.clone()));
                let mut told = Told {
                    ending: Ending::Finished,
                    status: 200,
                    reason: "finished",
                    lines,
                    body,
                    come_back: None,
                };
                told.lines.field("applepond-steps", &chain.steps.to_string());
                Rc::new(told)
            }
            Ended::PushedBack(step, why) => {
                counts.pushed_back += 1;
                counts.refused_for_time += u64::from(why == Why::NoTime);
                let (reason, detail) = failed(step, why);
                let wait = chain.answers.get(&step).and_then(|a| a.come_back);
                let wait = wait.or(Some(COME_BACK)).filter(|_| self.deployment.rows.permits.come_back);
                let fault = Fault::new(503, reason, format!("{detail}; a retry does no harm"));
                front::problem(Ending::PushedBack, &fault, Some(&id), wait)
            }
            Ended::Failed(step, why) => {
                counts.failed += 1;
                let (reason, detail) = failed(step, why);
                let status = if why == Why::NoTime { 504 } else { 502 };
                let fault = Fault::new(status, reason, format!("{detail}; steps before it may have run"));
                front::problem(Ending::Killed, &fault, Some(&id), None)
            }
        };
        match told.ending {
            Ending::Finished => self.counts.finished += 1,
            Ending::PushedBack => self.counts.pushed_back += 1,
            Ending::Killed => self.counts.killed += 1,
        }
        self.gate.ended(now, told.ending == Ending::Finished, told.ending == Ending::PushedBack);
        // What may have run must not run again here, whatever the effect of the step that failed.
        self.claims.end(now, &chain.name, told.ending, Effect::RunOnce, told.clone(), told.bytes());
        tracing::info!(
            id = %id,
            source = %chain.name.0,
            chain = %chain.run.plan().name,
            reason = told.reason,
            status = told.status,
            steps = chain.steps,
            exchanges = chain.callers.len(),
            took_us = now - chain.came,
            left_us = chain.run.deadline().saturating_sub(now),
            "chain ended"
        );
        for conn in std::mem::take(&mut chain.callers) {
            if let Some(caller) = self.callers.get_mut(&conn) {
                caller.answer(now, wire, conn, &told);
                self.ready.push_back(conn);
            }
        }
    }
}
