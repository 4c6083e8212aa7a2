//! Rule 4 for a whole fleet: what all routers together send to a newly started worker. Each router is a
//! `Control` with its own events; workers respond after a simulated service time, which is longer while
//! they warm up.
mod common;
use applepond::control::Control;
use applepond::interface::*;
use common::{Action, ActionRecorder, MS, attempt_result, config, endpoint, worker};
use oorandom::Rand64;
use std::collections::BTreeMap;
use test_case::test_case;

const TIME_STEP: Micros = 5 * MS;
const WORKERS: u64 = 12;
/// Service time of a request at a warm worker.
const SERVICE_TIME: Micros = 60 * MS;

/// What happens to the fleet while the new worker starts.
#[derive(Clone, Copy, Default)]
struct Scenario {
    routers: u64,
    /// Requests per second that one warm worker completes.
    worker_rate: f64,
    /// Arriving requests as a fraction of the throughput of all workers.
    utilization: f64,
    /// Every n-th router restarts when the worker starts; 0 for none.
    restart_every: u64,
    /// Maximum delay until a router receives the new endpoint list.
    update_delay: Micros,
    /// Errors in ten responses of the new worker, which lead to further attempts.
    errors_in_ten: u64,
    /// Number of other workers that begin to drain, or are gone, when the new one starts; their requests
    /// move elsewhere.
    draining: usize,
    gone: usize,
    /// Half of the functions are replaced, when the worker starts, by new versions that no worker has
    /// loaded.
    new_versions: bool,
}

struct Router {
    control: Control,
    recorder: ActionRecorder,
    /// Arrival rate relative to the mean over all routers.
    traffic_factor: f64,
    updated: bool,
    was_restarted: bool,
    update_delay: Micros,
    responses: BTreeMap<(Micros, RequestId, usize), WorkerId>,
    sent: BTreeMap<RequestId, usize>,
}

impl Router {
    fn start(scenario: &Scenario, index: u64, now: Micros, list: &[Endpoint]) -> (Control, ActionRecorder) {
        let retry_safety = RetrySafety::Idempotent;
        let mut config = StartupConfig {
            router_index: index,
            seed: index + 1,
            router_count: scenario.routers,
            ..config(retry_safety)
        };
        config.customers =
            vec![CustomerConfig { requests_per_second: scenario.worker_rate * WORKERS as f64 }];
        let mut recorder = ActionRecorder { now, ..ActionRecorder::default() };
        let mut control = Control::new(now, config, &mut recorder);
        control.endpoints_updated(&mut recorder, EndpointListKind::Full, list);
        (control, recorder)
    }

    /// Simulates the attempts sent, and records when each one at the new worker began.
    fn simulate_attempts(
        &mut self,
        new_worker: WorkerId,
        speed: f64,
        rng: &mut Rand64,
        started_at: &mut Vec<Micros>,
    ) {
        for action in std::mem::take(&mut self.recorder.actions) {
            let Action::Send(request, to) = action else { continue };
            let n = self.sent.entry(request).or_default();
            let relative_speed = if to == new_worker { speed } else { 1.0 };
            let service_time = -(rng.rand_float().max(1e-9)).ln() * SERVICE_TIME as f64 / relative_speed;
            self.responses.insert((self.recorder.now + service_time as Micros, request, *n), to);
            *n += 1;
            if to == new_worker {
                started_at.push(self.recorder.now);
            }
        }
    }

    fn fire_timers(&mut self, until: Micros) {
        while let Some(at) = (0..self.recorder.timers.len())
            .filter(|i| self.recorder.timers[*i].0 <= until)
            .min_by_key(|i| self.recorder.timers[*i])
        {
            let (_, token) = self.recorder.timers.swap_remove(at);
            self.control.timer_fired(&mut self.recorder, token);
        }
    }
}

/// The worst window of the new worker's first seconds: work received relative to what was allowed, the
/// number of attempts received, and the number allowed.
fn worst_window(scenario: Scenario, seed: u64) -> (f64, usize, f64) {
    let rules = config(RetrySafety::Idempotent).slow_start;
    let mut rng = Rand64::new(u128::from(seed));
    let start_time = 100_000 * MS;
    let worker_start = start_time + 20_000 * MS;
    let new_worker = worker(WORKERS);
    let initial_list: Vec<Endpoint> = (0..WORKERS).map(|n| endpoint(n, WorkerStatus::Ready, 0)).collect();
    let mut updated_list = initial_list.clone();
    updated_list.push(endpoint(WORKERS, WorkerStatus::Ready, worker_start));
    updated_list[..scenario.draining].iter_mut().for_each(|entry| entry.status = WorkerStatus::Draining);
    updated_list.drain(..scenario.gone);
    let mut routers: Vec<Router> = (0..scenario.routers)
        .map(|index| {
            let (control, recorder) = Router::start(&scenario, index, start_time, &initial_list);
            // Uneven: some routers get several times the mean.
            let traffic_factor = [0.3, 0.5, 0.7, 1.0, 2.5][index as usize % 5];
            let update_delay = rng.rand_range(0..scenario.update_delay.max(1));
            let (responses, sent) = (BTreeMap::new(), BTreeMap::new());
            Router {
                control,
                recorder,
                traffic_factor,
                updated: false,
                was_restarted: false,
                update_delay,
                responses,
                sent,
            }
        })
        .collect();
    let mut started_at = Vec::new();
    let mut next_id = 0u64;
    let mut now = start_time;
    while now < worker_start + 6_000 * MS {
        now += TIME_STEP;
        let warmup_progress = now.saturating_sub(worker_start) as f64 / rules.warmup_time as f64;
        let speed = rules.initial_capacity + (1.0 - rules.initial_capacity) * warmup_progress;
        for (index, router) in routers.iter_mut().enumerate() {
            if scenario.restart_every > 0
                && now >= worker_start
                && (index as u64).is_multiple_of(scenario.restart_every)
                && !router.was_restarted
            {
                let (control, recorder) = Router::start(&scenario, index as u64, now, &updated_list);
                (router.control, router.recorder, router.was_restarted, router.updated) =
                    (control, recorder, true, true);
                router.responses.clear();
                router.sent.clear();
            }
            router.recorder.now = now;
            router.control.advance_to(now);
            if !router.updated && now >= worker_start + router.update_delay {
                router.updated = true;
                router.control.endpoints_updated(&mut router.recorder, EndpointListKind::Full, &updated_list);
            }
            while let Some((&(at, request, n), &responder)) = router.responses.first_key_value()
                && at <= now
            {
                router.responses.pop_first();
                let fails = responder == new_worker && rng.rand_range(0..10) < scenario.errors_in_ten;
                let outcome = if fails { Outcome::Error } else { Outcome::Finished };
                let elapsed =
                    (SERVICE_TIME as f64 / if responder == new_worker { speed } else { 1.0 }) as Micros;
                router.control.attempt_finished(
                    &mut router.recorder,
                    request,
                    n,
                    &AttemptResult { elapsed, ..attempt_result(outcome) },
                );
                router.simulate_attempts(new_worker, speed, &mut rng, &mut started_at);
            }
            router.fire_timers(now);
            router.simulate_attempts(new_worker, speed, &mut rng, &mut started_at);
            let rate = scenario.worker_rate * WORKERS as f64 * scenario.utilization * router.traffic_factor
                / scenario.routers as f64;
            let mut expected_arrivals = rate * TIME_STEP as f64 / 1e6;
            while expected_arrivals > 0.0 {
                if rng.rand_float() < expected_arrivals {
                    next_id += 1;
                    let mut id = [0; 36];
                    id[..8].copy_from_slice(&next_id.to_le_bytes());
                    // A few functions account for most requests.
                    let function = (rng.rand_float().powi(3) * 60.0) as u64;
                    let version =
                        u64::from(scenario.new_versions && now >= worker_start && function.is_multiple_of(2));
                    let arrival = RequestArrival {
                        request: RequestId(id),
                        function: FunctionId::named(&format!("hut-{function}-{version}")),
                        workload: WorkloadId(0),
                        customer: Some(CustomerId(0)),
                        time_left: 3000 * MS,
                        concurrency: 8,
                        retry: rng.rand_range(0..10) == 0,
                        load_time: Some(200 * MS),
                        priority_factor: 1.0,
                    };
                    router.control.request_arrived(&mut router.recorder, &arrival);
                    router.simulate_attempts(new_worker, speed, &mut rng, &mut started_at);
                }
                expected_arrivals -= 1.0;
            }
        }
    }
    let allowed = |at: Micros| {
        let warmup_progress = at.saturating_sub(rules.overload_window).max(worker_start) - worker_start;
        let speed = rules.initial_capacity
            + (1.0 - rules.initial_capacity) * warmup_progress as f64 / rules.warmup_time as f64;
        let n = rules.overload_factor * speed * scenario.worker_rate * rules.overload_window as f64 / 1e6;
        n + 2.0 * n.sqrt() + 2.0
    };
    started_at.sort_unstable();
    let within = |at: Micros| {
        started_at.iter().filter(|start| **start + rules.overload_window > at && **start <= at).count()
    };
    let moments = started_at.iter().map(|at| (within(*at), allowed(*at)));
    let windows = moments.map(|(received, allowed)| (received as f64 / allowed, received, allowed));
    windows.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0, 1.0))
}

const BASE: Scenario = Scenario {
    routers: 0,
    worker_rate: 0.0,
    utilization: 0.9,
    restart_every: 0,
    update_delay: 0,
    errors_in_ten: 0,
    draining: 0,
    gone: 0,
    new_versions: false,
};

#[test_case(BASE; "uneven traffic")]
#[test_case(Scenario { utilization: 2.5, ..BASE }; "two and a half times the capacity")]
#[test_case(Scenario { restart_every: 2, ..BASE }; "half of the routers restart with the worker")]
#[test_case(Scenario { restart_every: 1, utilization: 2.5, ..BASE }; "all routers restart, under overload")]
#[test_case(Scenario { update_delay: 1_500 * MS, restart_every: 3, ..BASE };
    "endpoint updates up to 1.5 s apart")]
#[test_case(Scenario { errors_in_ten: 5, utilization: 1.5, ..BASE }; "errors and further attempts")]
#[test_case(Scenario { draining: 9, ..BASE }; "nine of twelve other workers drain")]
#[test_case(Scenario { draining: 9, utilization: 2.5, restart_every: 1, update_delay: 500 * MS, ..BASE };
    "nine drain, all routers restart, overload")]
#[test_case(Scenario { gone: 4, restart_every: 1, ..BASE };
    "a third of the workers gone, all routers restart")]
#[test_case(Scenario { gone: 6, utilization: 2.5, restart_every: 1, ..BASE };
    "half of the workers gone, all routers restart, overload")]
#[test_case(Scenario { new_versions: true, ..BASE }; "new function versions")]
fn all_routers_together_stay_within_the_warmup_budget(scenario: Scenario) {
    for routers in [1, 2, 5, 12, 20, 24, 30, 36, 300] {
        for worker_rate in [5.0, 7.5, 15.0, 30.0, 75.0, 100.0, 150.0] {
            let (ratio, received, allowed) =
                worst_window(Scenario { routers, worker_rate, ..scenario }, 7 + routers);
            assert!(
                ratio <= 1.0,
                "{routers} routers, {worker_rate} requests/s per worker: {received} attempts in a window, \
                 {allowed:.1} allowed"
            );
        }
    }
}
