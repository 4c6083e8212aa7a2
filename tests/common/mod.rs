//! A recording `Actions`, start-up rows and short ways to make events.
#![allow(dead_code)] // each table of cases uses its own part
use applepond::control::Control;
use applepond::interface::*;
use std::collections::BTreeMap;

/// What the module ordered, in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum Did {
    Send(RequestId, WorkerId),
    Cancel(RequestId, usize),
    PushBack(RequestId),
    Kill(RequestId),
}

#[derive(Default)]
pub struct Record {
    pub did: Vec<Did>,
    pub timers: Vec<(Micros, TimerToken)>,
    /// From when on each last attempt at a worker may not begin any more.
    pub begin: BTreeMap<(RequestId, WorkerId), Micros>,
    pub now: Micros,
}

impl Actions for Record {
    fn send(&mut self, job: RequestId, server: WorkerId, _patience: Micros, begin: Micros) {
        self.begin.insert((job, server), begin);
        self.did.push(Did::Send(job, server));
    }
    fn cancel(&mut self, job: RequestId, attempt: usize) {
        self.did.push(Did::Cancel(job, attempt));
    }
    fn push_back(&mut self, job: RequestId, _come_back: Option<Micros>) {
        self.did.push(Did::PushBack(job));
    }
    fn kill(&mut self, job: RequestId) {
        self.did.push(Did::Kill(job));
    }
    fn wake_after(&mut self, delay: Micros, token: TimerToken) {
        self.timers.push((self.now + delay, token));
    }
    fn note(&mut self, _text: &str) {}
    fn watch(&mut self) {}
}

pub const MS: Micros = 1000;

/// One idempotent workload, no orders to load, one router.
pub fn rows(effect: RetrySafety) -> StartupConfig {
    StartupConfig {
        seed: 7,
        me: 0,
        routers: 1,
        workloads: vec![WorkloadConfig { effect, start_target: 500 * MS, importance: 1.0, late_part: 0.2 }],
        customers: vec![CustomerConfig { jobs_per_s: 1000.0 }],
        permits: AttemptPolicy {
            attempts: 4,
            cancel: true,
            second_copies: true,
            come_back: true,
            come_back_max: 1000 * MS,
        },
        rules: SlowStartRules {
            cold_share: 0.2,
            warm_within: 10_000 * MS,
            fall_multiple: 2.0,
            fall_span: 1000 * MS,
        },
        over_share: 0.1,
        keep: 10_000 * MS,
        tells_company: false,
        weights_shared: true,
        limits_shared: false,
        list_by_asking: false,
    }
}

pub fn server(n: u64) -> WorkerId {
    WorkerId::named(&format!("server.{n}"))
}

pub fn listed(n: u64, standing: WorkerStatus, up_since: Micros) -> Endpoint {
    let rack = RackId(n as i64 / 2);
    Endpoint { server: server(n), standing, up_since, zone: Some(ZoneId(0)), rack, weight: 1.0 }
}

pub fn job(n: u8) -> RequestId {
    RequestId([n; 36])
}

pub fn answer(outcome: Outcome) -> AttemptResult {
    let closed = outcome == Outcome::Finished;
    let copy = if closed { LoadState::Stood } else { LoadState::Unsaid };
    AttemptResult { outcome, closed, elapsed: 50 * MS, copy, company: 0, held: None, loads: None }
}

/// One instance with its record and its clock.
pub struct Bench {
    pub control: Control,
    pub record: Record,
    /// Jobs that arrive now are second tries.
    pub retry: bool,
    /// The customer that asks now.
    pub customer: Option<usize>,
    /// The workload that is asked for now.
    pub workload: usize,
}

impl Bench {
    /// An instance that knows this many warm workers.
    pub fn new(rows: StartupConfig, servers: u64) -> Self {
        let mut record = Record { now: 100_000 * MS, ..Record::default() };
        let mut control = Control::new(record.now, rows, &mut record);
        let list: Vec<Endpoint> = (0..servers).map(|n| listed(n, WorkerStatus::Ready, 0)).collect();
        control.list(&mut record, EndpointListKind::Saved, &list);
        Bench { control, record, retry: false, customer: Some(0), workload: 0 }
    }

    pub fn list(&mut self, entries: &[Endpoint]) {
        self.control.list(&mut self.record, EndpointListKind::Changes, entries);
    }

    pub fn arrive(&mut self, n: u8, function: &str, left: Micros) {
        let arrival = RequestArrival {
            job: job(n),
            function: FunctionId::named(function),
            workload: WorkloadId(self.workload),
            customer: self.customer.map(CustomerId),
            left,
            lanes: 2,
            retry: self.retry,
            load_time: Some(1000 * MS),
            paid: 1.0,
        };
        self.control.job(&mut self.record, &arrival);
    }

    pub fn close(&mut self, n: u8, attempt: usize, answer: &AttemptResult) {
        self.control.answered(&mut self.record, job(n), attempt, answer);
    }

    /// Lets time pass, with every timer that falls due.
    pub fn pass(&mut self, time: Micros) {
        let end = self.record.now + time;
        while let Some(at) = (0..self.record.timers.len())
            .filter(|i| self.record.timers[*i].0 <= end)
            .min_by_key(|i| self.record.timers[*i])
        {
            let (due, token) = self.record.timers.swap_remove(at);
            self.record.now = due;
            self.control.clock(due);
            self.control.wake(&mut self.record, token);
        }
        self.record.now = end;
        self.control.clock(end);
    }

    pub fn sends(&self, n: u8) -> Vec<WorkerId> {
        let sent = |d: &Did| if let Did::Send(j, s) = d { (*j == job(n)).then_some(*s) } else { None };
        self.record.did.iter().filter_map(sent).collect()
    }

    pub fn ends(&self, n: u8) -> Vec<Did> {
        self.record
            .did
            .iter()
            .filter(|d| **d == Did::Kill(job(n)) || **d == Did::PushBack(job(n)))
            .cloned()
            .collect()
    }

    /// Sends a job of the function to its home and has it finish there, so that the home serves it.
    pub fn warm(&mut self, function: &str) -> WorkerId {
        self.arrive(250, function, 5000 * MS);
        let home = self.sends(250)[0];
        self.close(250, 0, &answer(Outcome::Finished));
        self.record.did.clear();
        home
    }
}
