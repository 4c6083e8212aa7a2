//! Rule 4 for a whole fleet: what all routers together send to a newly started worker. Each router is a
//! `Control` with its own events; workers respond after a simulated service time, which is longer while
//! they warm up.
mod common;
use applepond::control::Control;
use applepond::interface::*;
use common::{Action, MS, Record, answer, endpoint, rows, worker};
use oorandom::Rand64;
use std::collections::BTreeMap;
use test_case::test_case;

const STEP: Micros = 5 * MS;
const WORKERS: u64 = 12;
/// Service time of a request at a warm worker.
const WORK: Micros = 60 * MS;

/// What happens to the fleet while the new worker starts.
#[derive(Clone, Copy, Default)]
struct Day {
    routers: u64,
    /// Requests per second that one warm worker completes.
    pace: f64,
    /// Arriving requests as a fraction of the throughput of all workers.
    load: f64,
    /// Every n-th router restarts when the worker starts; 0 for none.
    restarted: u64,
    /// Maximum delay until a router receives the new endpoint list.
    late: Micros,
    /// Errors in ten responses of the new worker, which lead to further attempts.
    errors: u64,
    /// Number of other workers that begin to drain, or are gone, when the new one starts; their requests
    /// move elsewhere.
    drain: usize,
    gone: usize,
    /// Half of the functions are replaced, when the worker starts, by new versions that no worker has
    /// loaded.
    versions: bool,
}

struct Router {
    control: Control,
    record: Record,
    /// Arrival rate relative to the mean over all routers.
    part: f64,
    told: bool,
    born: bool,
    late: Micros,
    answers: BTreeMap<(Micros, RequestId, usize), WorkerId>,
    sent: BTreeMap<RequestId, usize>,
}

impl Router {
    fn start(day: &Day, me: u64, now: Micros, list: &[Endpoint]) -> (Control, Record) {
        let effect = RetrySafety::Idempotent;
        let mut rows =
            StartupConfig { router_index: me, seed: me + 1, router_count: day.routers, ..rows(effect) };
        rows.customers = vec![CustomerConfig { requests_per_second: day.pace * WORKERS as f64 }];
        let mut record = Record { now, ..Record::default() };
        let mut control = Control::new(now, rows, &mut record);
        control.endpoints_updated(&mut record, EndpointListKind::Full, list);
        (control, record)
    }

    /// Simulates the attempts sent, and records when each one at the new worker began.
    fn settle(&mut self, fresh: WorkerId, warmth: f64, rng: &mut Rand64, began: &mut Vec<Micros>) {
        for did in std::mem::take(&mut self.record.did) {
            let Action::Send(request, to) = did else { continue };
            let n = self.sent.entry(request).or_default();
            let slow = if to == fresh { warmth } else { 1.0 };
            let work = -(rng.rand_float().max(1e-9)).ln() * WORK as f64 / slow;
            self.answers.insert((self.record.now + work as Micros, request, *n), to);
            *n += 1;
            if to == fresh {
                began.push(self.record.now);
            }
        }
    }

    fn wake(&mut self, until: Micros) {
        while let Some(at) = (0..self.record.timers.len())
            .filter(|i| self.record.timers[*i].0 <= until)
            .min_by_key(|i| self.record.timers[*i])
        {
            let (_, token) = self.record.timers.swap_remove(at);
            self.control.timer_fired(&mut self.record, token);
        }
    }
}

/// The worst window of the new worker's first seconds: work received relative to what was allowed, the
/// number of attempts received, and the number allowed.
fn worst(day: Day, seed: u64) -> (f64, usize, f64) {
    let rules = rows(RetrySafety::Idempotent).slow_start;
    let mut rng = Rand64::new(u128::from(seed));
    let begin = 100_000 * MS;
    let instance_id = begin + 20_000 * MS;
    let fresh = worker(WORKERS);
    let old: Vec<Endpoint> = (0..WORKERS).map(|n| endpoint(n, WorkerStatus::Ready, 0)).collect();
    let mut new = old.clone();
    new.push(endpoint(WORKERS, WorkerStatus::Ready, instance_id));
    new[..day.drain].iter_mut().for_each(|entry| entry.status = WorkerStatus::Draining);
    new.drain(..day.gone);
    let mut routers: Vec<Router> = (0..day.routers)
        .map(|me| {
            let (control, record) = Router::start(&day, me, begin, &old);
            // Uneven: some routers get several times the mean.
            let part = [0.3, 0.5, 0.7, 1.0, 2.5][me as usize % 5];
            let late = rng.rand_range(0..day.late.max(1));
            let (answers, sent) = (BTreeMap::new(), BTreeMap::new());
            Router { control, record, part, told: false, born: false, late, answers, sent }
        })
        .collect();
    let mut began = Vec::new();
    let mut next = 0u64;
    let mut now = begin;
    while now < instance_id + 6_000 * MS {
        now += STEP;
        let warm = now.saturating_sub(instance_id) as f64 / rules.warmup_time as f64;
        let warmth = rules.initial_capacity + (1.0 - rules.initial_capacity) * warm;
        for (me, r) in routers.iter_mut().enumerate() {
            if day.restarted > 0 && now >= instance_id && (me as u64).is_multiple_of(day.restarted) && !r.born
            {
                let (control, record) = Router::start(&day, me as u64, now, &new);
                (r.control, r.record, r.born, r.told) = (control, record, true, true);
                r.answers.clear();
                r.sent.clear();
            }
            r.record.now = now;
            r.control.advance_to(now);
            if !r.told && now >= instance_id + r.late {
                r.told = true;
                r.control.endpoints_updated(&mut r.record, EndpointListKind::Full, &new);
            }
            while let Some((&(at, request, n), &from)) = r.answers.first_key_value()
                && at <= now
            {
                r.answers.pop_first();
                let fails = from == fresh && rng.rand_range(0..10) < day.errors;
                let outcome = if fails { Outcome::Error } else { Outcome::Finished };
                let elapsed = (WORK as f64 / if from == fresh { warmth } else { 1.0 }) as Micros;
                r.control.attempt_finished(
                    &mut r.record,
                    request,
                    n,
                    &AttemptResult { elapsed, ..answer(outcome) },
                );
                r.settle(fresh, warmth, &mut rng, &mut began);
            }
            r.wake(now);
            r.settle(fresh, warmth, &mut rng, &mut began);
            let rate = day.pace * WORKERS as f64 * day.load * r.part / day.routers as f64;
            let mut due = rate * STEP as f64 / 1e6;
            while due > 0.0 {
                if rng.rand_float() < due {
                    next += 1;
                    let mut id = [0; 36];
                    id[..8].copy_from_slice(&next.to_le_bytes());
                    // A few functions account for most requests.
                    let function = (rng.rand_float().powi(3) * 60.0) as u64;
                    let version = u64::from(day.versions && now >= instance_id && function.is_multiple_of(2));
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
                    r.control.request_arrived(&mut r.record, &arrival);
                    r.settle(fresh, warmth, &mut rng, &mut began);
                }
                due -= 1.0;
            }
        }
    }
    let allowed = |at: Micros| {
        let warm = at.saturating_sub(rules.overload_window).max(instance_id) - instance_id;
        let warmth =
            rules.initial_capacity + (1.0 - rules.initial_capacity) * warm as f64 / rules.warmup_time as f64;
        let n = rules.overload_factor * warmth * day.pace * rules.overload_window as f64 / 1e6;
        n + 2.0 * n.sqrt() + 2.0
    };
    began.sort_unstable();
    let within = |at: Micros| began.iter().filter(|b| **b + rules.overload_window > at && **b <= at).count();
    let moments = began.iter().map(|at| (within(*at), allowed(*at)));
    let most = moments.map(|(n, most)| (n as f64 / most, n, most));
    most.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0, 1.0))
}

const EVEN: Day = Day {
    routers: 0,
    pace: 0.0,
    load: 0.9,
    restarted: 0,
    late: 0,
    errors: 0,
    drain: 0,
    gone: 0,
    versions: false,
};

#[test_case(EVEN; "uneven traffic")]
#[test_case(Day { load: 2.5, ..EVEN }; "two and a half times what fits")]
#[test_case(Day { restarted: 2, ..EVEN }; "half of the routers restarted with it")]
#[test_case(Day { restarted: 1, load: 2.5, ..EVEN }; "all of them, and too much work")]
#[test_case(Day { late: 1_500 * MS, restarted: 3, ..EVEN }; "told up to a second and a half apart")]
#[test_case(Day { errors: 5, load: 1.5, ..EVEN }; "errors, and further attempts")]
#[test_case(Day { drain: 9, ..EVEN }; "nine of twelve others leave")]
#[test_case(Day { drain: 9, load: 2.5, restarted: 1, late: 500 * MS, ..EVEN }; "and all routers restarted")]
#[test_case(Day { gone: 4, restarted: 1, ..EVEN }; "a third is gone at once, and all restarted")]
#[test_case(Day { gone: 6, load: 2.5, restarted: 1, ..EVEN }; "half is gone at once, and all restarted")]
#[test_case(Day { versions: true, ..EVEN }; "new versions on a quiet day")]
fn the_sum_of_all_routers(day: Day) {
    for routers in [1, 2, 5, 12, 20, 24, 30, 36, 300] {
        for pace in [5.0, 7.5, 15.0, 30.0, 75.0, 100.0, 150.0] {
            let (part, got, most) = worst(Day { routers, pace, ..day }, 7 + routers);
            assert!(part <= 1.0, "{routers} routers, pace {pace}: {got} within a span, {most:.1} allowed");
        }
    }
}
