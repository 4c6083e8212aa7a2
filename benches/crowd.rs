//! CPU time per request, by number of workers and of waiting requests. Run with `cargo bench --bench
//! crowd`.
//!
//! One router, 10 requests per second and worker, responses after 100 ms, and one function per worker. The
//! waiting requests call functions whose first load never completes. The reported µs per request include
//! all events and ticks.
use applepond::control::Control;
use applepond::interface::*;
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Maximum number of functions called by the waiting requests.
const WAITING_FUNCTIONS: u64 = 100;
/// Maximum measuring time per row, in seconds.
const MAX_MEASURING_TIME_S: f64 = 4.0;

#[derive(Default)]
struct Simulation {
    now: Micros,
    timers: BTreeSet<(Micros, TimerToken)>,
    responses: VecDeque<(Micros, RequestId, usize)>,
    attempts: std::collections::HashMap<[u8; 36], usize>,
    drops_responses: bool,
    ended: u64,
}

impl Actions for Simulation {
    fn send(&mut self, request: RequestId, _: WorkerId, _: Micros, _: Micros) {
        let n = self.attempts.entry(request.0).or_insert(0);
        if !self.drops_responses {
            self.responses.push_back((self.now + 100 * MS, request, *n));
        }
        *n += 1;
    }
    fn cancel(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: Option<Micros>) {
        self.ended += 1;
    }
    fn fail(&mut self, _: RequestId) {
        self.ended += 1;
    }
    fn set_timer(&mut self, delay: Micros, token: TimerToken) {
        self.timers.insert((self.now + delay, token));
    }
    fn log(&mut self, _: &str) {}
    fn watch_endpoints(&mut self) {}
}

fn id(n: u64) -> RequestId {
    let mut id = [b'0'; 36];
    id[..20].copy_from_slice(format!("{n:020}").as_bytes());
    RequestId(id)
}

fn config() -> StartupConfig {
    let workload = |latency_objective| WorkloadConfig {
        retry_safety: RetrySafety::Idempotent,
        latency_objective,
        priority_weight: 1.0,
        late_priority_factor: 0.2,
    };
    StartupConfig {
        seed: 1,
        router_index: 0,
        router_count: 1,
        workloads: vec![workload(500 * MS), workload(600 * S)],
        customers: Vec::new(),
        attempt_policy: AttemptPolicy {
            max_attempts: 4,
            cancel_allowed: true,
            hedging_allowed: true,
            retry_after_allowed: true,
            max_retry_after: S,
        },
        slow_start: SlowStartRules {
            initial_capacity: 0.2,
            warmup_time: 10 * S,
            overload_factor: 2.0,
            overload_window: S,
        },
        over_quota_factor: 0.1,
        cache_lifetime: 60 * S,
        reports_same_function: true,
        weights_shared: true,
        timeouts_shared: false,
        watches_endpoints: false,
    }
}

fn attempt_result() -> AttemptResult {
    AttemptResult {
        outcome: Outcome::Finished,
        request_ended: true,
        elapsed: 100 * MS,
        load_state: LoadState::Loaded,
        same_function_in_flight: 0,
        reported_in_flight: None,
        reported_loads: None,
    }
}

/// Processes all timers and responses that are due by `until`.
fn run_until(control: &mut Control, simulation: &mut Simulation, until: Micros) {
    loop {
        let timer = simulation.timers.first().map(|(at, _)| *at);
        let response_at = simulation.responses.front().map(|(at, _, _)| *at);
        let next = [timer, response_at].into_iter().flatten().min().filter(|at| *at <= until);
        let Some(at) = next else { break };
        simulation.now = simulation.now.max(at);
        control.advance_to(simulation.now);
        if response_at == Some(at) {
            let (_, request, n) = simulation.responses.pop_front().expect("there is one");
            control.attempt_finished(simulation, request, n, &attempt_result());
        } else {
            let (_, token) = simulation.timers.pop_first().expect("there is one");
            control.timer_fired(simulation, token);
        }
    }
    simulation.now = until;
    control.advance_to(until);
}

fn arrival(n: u64, function: &str, workload: usize) -> RequestArrival {
    RequestArrival {
        request: id(n),
        function: FunctionId::named(function),
        workload: WorkloadId(workload),
        customer: None,
        time_left: if workload == 0 { 5 * S } else { 900 * S },
        concurrency: 64,
        retry: false,
        load_time: Some(if workload == 0 { 500 * MS } else { 200 * S }),
        priority_factor: 1.0,
    }
}

/// Returns the µs per request and the number of requests still waiting at the end.
fn cost(workers: u64, waiting: u64) -> (f64, u64) {
    let mut simulation = Simulation { now: 1_000 * S, ..Simulation::default() };
    let mut control = Control::new(simulation.now, config(), &mut simulation);
    let ready_endpoint = |n| Endpoint {
        worker: WorkerId::named(&format!("w{n}")),
        status: WorkerStatus::Ready,
        up_since: 0,
        zone: None,
        rack: RackId(0),
        weight: 1.0,
    };
    control.advance_to(simulation.now);
    control.endpoints_updated(
        &mut simulation,
        EndpointListKind::Full,
        &(0..workers).map(ready_endpoint).collect::<Vec<_>>(),
    );
    let mut next = 0;
    let mut send_request = |control: &mut Control, simulation: &mut Simulation, function: &str, workload| {
        next += 1;
        control.request_arrived(simulation, &arrival(next, function, workload));
    };
    // Loads every function once, in batches of eight because concurrent loads are limited.
    for n in 0..workers {
        send_request(&mut control, &mut simulation, &format!("f{n}"), 0);
        if n % 8 == 7 {
            let until = simulation.now + 200 * MS;
            run_until(&mut control, &mut simulation, until);
        }
    }
    let until = simulation.now + S;
    run_until(&mut control, &mut simulation, until);
    simulation.drops_responses = true;
    let ended = simulation.ended;
    for n in 0..waiting {
        send_request(&mut control, &mut simulation, &format!("held-{}", n % WAITING_FUNCTIONS.min(8)), 1);
    }
    simulation.drops_responses = false;
    let gap = S / (10 * workers);
    let (started, mut requests) = (Instant::now(), 0u64);
    while requests < 40 * workers && started.elapsed().as_secs_f64() < MAX_MEASURING_TIME_S {
        send_request(&mut control, &mut simulation, &format!("f{}", requests * 7 % workers), 0);
        requests += 1;
        let until = simulation.now + gap;
        run_until(&mut control, &mut simulation, until);
    }
    (started.elapsed().as_secs_f64() * 1e6 / requests as f64, waiting - (simulation.ended - ended))
}

fn main() {
    println!("{:>8} {:>8} {:>12} {:>14}", "workers", "waiting", "µs a request", "still waiting");
    for workers in [12, 120, 1000] {
        for waiting in [0, 1_000, 10_000] {
            let (us, still_waiting) = cost(workers, waiting);
            println!("{workers:>8} {waiting:>8} {us:>12.1} {still_waiting:>14}");
        }
    }
}
