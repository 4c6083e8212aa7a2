//! A recording implementation of `Actions`, a default configuration, and helpers to create events.
#![allow(dead_code)] // each test file uses only some of these helpers
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
pub struct ActionRecorder {
    pub actions: Vec<Action>,
    pub timers: Vec<(Micros, TimerToken)>,
    /// The `not_after` time of the latest attempt of a request at a worker.
    pub not_after: BTreeMap<(RequestId, WorkerId), Micros>,
    pub now: Micros,
}

impl Actions for ActionRecorder {
    fn send(&mut self, request: RequestId, worker: WorkerId, _timeout: Micros, not_after: Micros) {
        self.not_after.insert((request, worker), not_after);
        self.actions.push(Action::Send(request, worker));
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.actions.push(Action::Cancel(request, attempt));
    }
    fn reject(&mut self, request: RequestId, _retry_after: Option<Micros>) {
        self.actions.push(Action::Reject(request));
    }
    fn fail(&mut self, request: RequestId) {
        self.actions.push(Action::Fail(request));
    }
    fn set_timer(&mut self, delay: Micros, token: TimerToken) {
        self.timers.push((self.now + delay, token));
    }
    fn log(&mut self, _text: &str) {}
    fn watch_endpoints(&mut self) {}
}

pub const MS: Micros = 1000;

/// One workload of the given retry safety, one customer, one router.
pub fn config(retry_safety: RetrySafety) -> StartupConfig {
    StartupConfig {
        seed: 7,
        router_index: 0,
        router_count: 1,
        workloads: vec![WorkloadConfig {
            retry_safety,
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

pub fn endpoint(n: u64, status: WorkerStatus, up_since: Micros) -> Endpoint {
    let rack = RackId(n as i64 / 2);
    Endpoint { worker: worker(n), status, up_since, zone: Some(ZoneId(0)), rack, weight: 1.0 }
}

pub fn request(n: u8) -> RequestId {
    RequestId([n; 36])
}

pub fn attempt_result(outcome: Outcome) -> AttemptResult {
    let finished = outcome == Outcome::Finished;
    let load_state = if finished { LoadState::Loaded } else { LoadState::Unreported };
    AttemptResult {
        outcome,
        request_ended: finished,
        elapsed: 50 * MS,
        load_state,
        same_function_in_flight: 0,
        reported_in_flight: None,
        reported_loads: None,
    }
}

/// A router under test, with its recorded actions and its clock.
pub struct TestRouter {
    pub control: Control,
    pub recorder: ActionRecorder,
    /// Whether arriving requests are marked as retries.
    pub retry: bool,
    /// Customer of arriving requests.
    pub customer: Option<usize>,
    /// Workload of arriving requests.
    pub workload: usize,
}

impl TestRouter {
    /// A router with this many warm workers.
    pub fn new(config: StartupConfig, worker_count: u64) -> Self {
        let mut recorder = ActionRecorder { now: 100_000 * MS, ..ActionRecorder::default() };
        let mut control = Control::new(recorder.now, config, &mut recorder);
        let endpoints: Vec<Endpoint> =
            (0..worker_count).map(|n| endpoint(n, WorkerStatus::Ready, 0)).collect();
        control.endpoints_updated(&mut recorder, EndpointListKind::Saved, &endpoints);
        TestRouter { control, recorder, retry: false, customer: Some(0), workload: 0 }
    }

    pub fn update_endpoints(&mut self, entries: &[Endpoint]) {
        self.control.endpoints_updated(&mut self.recorder, EndpointListKind::Changes, entries);
    }

    pub fn request_arrives(&mut self, n: u8, function: &str, time_left: Micros) {
        let arrival = RequestArrival {
            request: request(n),
            function: FunctionId::named(function),
            workload: WorkloadId(self.workload),
            customer: self.customer.map(CustomerId),
            time_left,
            concurrency: 2,
            retry: self.retry,
            load_time: Some(1000 * MS),
            priority_factor: 1.0,
        };
        self.control.request_arrived(&mut self.recorder, &arrival);
    }

    pub fn attempt_ends(&mut self, n: u8, attempt: usize, attempt_result: &AttemptResult) {
        self.control.attempt_finished(&mut self.recorder, request(n), attempt, attempt_result);
    }

    /// Advances the clock and fires every timer that becomes due.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.recorder.now + duration;
        while let Some(at) = (0..self.recorder.timers.len())
            .filter(|i| self.recorder.timers[*i].0 <= end)
            .min_by_key(|i| self.recorder.timers[*i])
        {
            let (due, token) = self.recorder.timers.swap_remove(at);
            self.recorder.now = due;
            self.control.advance_to(due);
            self.control.timer_fired(&mut self.recorder, token);
        }
        self.recorder.now = end;
        self.control.advance_to(end);
    }

    pub fn sent_to(&self, n: u8) -> Vec<WorkerId> {
        let sent = |action: &Action| {
            if let Action::Send(id, worker) = action { (*id == request(n)).then_some(*worker) } else { None }
        };
        self.recorder.actions.iter().filter_map(sent).collect()
    }

    pub fn final_responses(&self, n: u8) -> Vec<Action> {
        self.recorder
            .actions
            .iter()
            .filter(|action| **action == Action::Fail(request(n)) || **action == Action::Reject(request(n)))
            .cloned()
            .collect()
    }

    /// Completes one request of the function, so that its home has it loaded. Returns the home.
    pub fn load_at_home(&mut self, function: &str) -> WorkerId {
        self.request_arrives(250, function, 5000 * MS);
        let home = self.sent_to(250)[0];
        self.attempt_ends(250, 0, &attempt_result(Outcome::Finished));
        self.recorder.actions.clear();
        home
    }
}
