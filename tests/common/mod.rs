//! A recording implementation of `Actions`, a default configuration, and helpers to create events.
#![allow(dead_code)] // each table of cases uses its own part
use applepond::control::Control;
use applepond::interface::*;
use std::collections::BTreeMap;

/// An action issued by `Control`.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(RequestId, WorkerId),
    Cancel(RequestId, usize),
    Reject(RequestId),
    Fail(RequestId),
}

#[derive(Default)]
pub struct Record {
    pub did: Vec<Action>,
    pub timers: Vec<(Micros, TimerToken)>,
    /// The `not_after` time of the latest attempt of a request at a worker.
    pub begin: BTreeMap<(RequestId, WorkerId), Micros>,
    pub now: Micros,
}

impl Actions for Record {
    fn send(&mut self, request: RequestId, worker: WorkerId, _patience: Micros, begin: Micros) {
        self.begin.insert((request, worker), begin);
        self.did.push(Action::Send(request, worker));
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.did.push(Action::Cancel(request, attempt));
    }
    fn reject(&mut self, request: RequestId, _come_back: Option<Micros>) {
        self.did.push(Action::Reject(request));
    }
    fn fail(&mut self, request: RequestId) {
        self.did.push(Action::Fail(request));
    }
    fn set_timer(&mut self, delay: Micros, token: TimerToken) {
        self.timers.push((self.now + delay, token));
    }
    fn log(&mut self, _text: &str) {}
    fn watch_endpoints(&mut self) {}
}

pub const MS: Micros = 1000;

/// One workload of the given retry safety, one customer, one router.
pub fn rows(effect: RetrySafety) -> StartupConfig {
    StartupConfig {
        seed: 7,
        router_index: 0,
        router_count: 1,
        workloads: vec![WorkloadConfig {
            retry_safety: effect,
            latency_objective: 500 * MS,
            priority_weight: 1.0,
            late_priority_factor: 0.2,
        }],
        customers: vec![CustomerConfig { requests_per_second: 1000.0 }],
        attempt_policy: AttemptPolicy {
            max_attempts: 4,
            cancel_allowed: true,
            hedging_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 1000 * MS,
        },
        slow_start: SlowStartRules {
            initial_capacity: 0.2,
            warmup_time: 10_000 * MS,
            overload_factor: 2.0,
            overload_window: 1000 * MS,
        },
        over_quota_factor: 0.1,
        cache_lifetime: 10_000 * MS,
        reports_same_function: false,
        weights_shared: true,
        timeouts_shared: false,
        watches_endpoints: false,
    }
}

pub fn worker(n: u64) -> WorkerId {
    WorkerId::named(&format!("server.{n}"))
}

pub fn endpoint(n: u64, standing: WorkerStatus, up_since: Micros) -> Endpoint {
    let rack = RackId(n as i64 / 2);
    Endpoint { worker: worker(n), status: standing, up_since, zone: Some(ZoneId(0)), rack, weight: 1.0 }
}

pub fn request(n: u8) -> RequestId {
    RequestId([n; 36])
}

pub fn answer(outcome: Outcome) -> AttemptResult {
    let closed = outcome == Outcome::Finished;
    let copy = if closed { LoadState::Loaded } else { LoadState::Unreported };
    AttemptResult {
        outcome,
        request_ended: closed,
        elapsed: 50 * MS,
        load_state: copy,
        same_function_in_flight: 0,
        reported_in_flight: None,
        reported_loads: None,
    }
}

/// A router under test, with its recorded actions and its clock.
pub struct TestRouter {
    pub control: Control,
    pub record: Record,
    /// Whether arriving requests are marked as retries.
    pub retry: bool,
    /// Customer of arriving requests.
    pub customer: Option<usize>,
    /// Workload of arriving requests.
    pub workload: usize,
}

impl TestRouter {
    /// A router with this many warm workers.
    pub fn new(rows: StartupConfig, servers: u64) -> Self {
        let mut record = Record { now: 100_000 * MS, ..Record::default() };
        let mut control = Control::new(record.now, rows, &mut record);
        let list: Vec<Endpoint> = (0..servers).map(|n| endpoint(n, WorkerStatus::Ready, 0)).collect();
        control.endpoints_updated(&mut record, EndpointListKind::Saved, &list);
        TestRouter { control, record, retry: false, customer: Some(0), workload: 0 }
    }

    pub fn list(&mut self, entries: &[Endpoint]) {
        self.control.endpoints_updated(&mut self.record, EndpointListKind::Changes, entries);
    }

    pub fn request_arrives(&mut self, n: u8, function: &str, left: Micros) {
        let arrival = RequestArrival {
            request: request(n),
            function: FunctionId::named(function),
            workload: WorkloadId(self.workload),
            customer: self.customer.map(CustomerId),
            time_left: left,
            concurrency: 2,
            retry: self.retry,
            load_time: Some(1000 * MS),
            priority_factor: 1.0,
        };
        self.control.request_arrived(&mut self.record, &arrival);
    }

    pub fn attempt_ends(&mut self, n: u8, attempt: usize, answer: &AttemptResult) {
        self.control.attempt_finished(&mut self.record, request(n), attempt, answer);
    }

    /// Advances the clock and fires every timer that becomes due.
    pub fn advance(&mut self, time: Micros) {
        let end = self.record.now + time;
        while let Some(at) = (0..self.record.timers.len())
            .filter(|i| self.record.timers[*i].0 <= end)
            .min_by_key(|i| self.record.timers[*i])
        {
            let (due, token) = self.record.timers.swap_remove(at);
            self.record.now = due;
            self.control.advance_to(due);
            self.control.timer_fired(&mut self.record, token);
        }
        self.record.now = end;
        self.control.advance_to(end);
    }

    pub fn sent_to(&self, n: u8) -> Vec<WorkerId> {
        let sent =
            |d: &Action| if let Action::Send(j, s) = d { (*j == request(n)).then_some(*s) } else { None };
        self.record.did.iter().filter_map(sent).collect()
    }

    pub fn final_responses(&self, n: u8) -> Vec<Action> {
        self.record
            .did
            .iter()
            .filter(|d| **d == Action::Fail(request(n)) || **d == Action::Reject(request(n)))
            .cloned()
            .collect()
    }

    /// Completes one request of the function, so that its home has it loaded. Returns the home.
    pub fn warm(&mut self, function: &str) -> WorkerId {
        self.request_arrives(250, function, 5000 * MS);
        let home = self.sent_to(250)[0];
        self.attempt_ends(250, 0, &answer(Outcome::Finished));
        self.record.did.clear();
        home
    }
}
