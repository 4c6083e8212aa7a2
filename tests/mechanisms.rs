//! Unit tests of the individual mechanisms; `routing.rs`, `rules.rs` and `slow_start.rs` test complete
//! routers.
use applepond::control::concurrency_limit::{ConcurrencyLimit, Throughput, bounded_load};
use applepond::control::load_limiter::LoadLimiter;
use applepond::control::outlier_ejection::OutlierState;
use applepond::control::quota::CustomerQuotas;
use applepond::control::retry::AttemptBudget;
use applepond::control::slow_start::capacity_share;
use applepond::interface::{CustomerConfig, CustomerId, FunctionId, Micros, SlowStartRules, WorkerId};
use test_case::test_case;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Start time: late enough for any earlier state to have expired.
const START: Micros = 100 * S;

// ---- Quotas ----------------------------------------------------------------------------

/// One customer with ten requests per second, shared by two routers.
fn quotas() -> CustomerQuotas {
    CustomerQuotas::new(START, &[CustomerConfig { requests_per_second: 10.0 }])
}

fn taken_at_once(quotas: &mut CustomerQuotas, now: Micros) -> usize {
    (0..100).take_while(|_| quotas.try_take(now, CustomerId(0), 2)).count()
}

#[test]
fn a_quota_bursts_to_two_seconds_of_this_routers_share() {
    let mut quotas = quotas();
    assert_eq!(taken_at_once(&mut quotas, START), 10);
    assert_eq!(taken_at_once(&mut quotas, START + S), 5, "refilled at five a second");
    assert_eq!(taken_at_once(&mut quotas, START + 60 * S), 10, "idle time adds no tokens beyond the burst");
}

#[test]
fn a_changed_quota_keeps_the_tokens_that_are_there() {
    let mut quotas = quotas();
    taken_at_once(&mut quotas, START);
    quotas
        .reconfigure(START, &[100.0, 20.0].map(|requests_per_second| CustomerConfig { requests_per_second }));
    assert_eq!(taken_at_once(&mut quotas, START), 0);
    assert_eq!(taken_at_once(&mut quotas, START + S), 50);
    assert!(quotas.try_take(START, CustomerId(1), 2), "a new customer begins with a full bucket");
    assert!((quotas.total_rate() - 120e-6).abs() < 1e-12);
}

// ---- Loads -----------------------------------------------------------------------------

fn begin_loads(limiter: &mut LoadLimiter, loads: u64) {
    (0..loads).for_each(|n| limiter.begin(FunctionId(n), WorkerId(n % 3)));
}

#[test]
fn loads_are_limited_and_freed_by_function_or_worker() {
    let mut limiter = LoadLimiter::new(START);
    begin_loads(&mut limiter, 11);
    assert!(limiter.allows_another());
    begin_loads(&mut limiter, 12);
    assert!(!limiter.allows_another(), "initially twelve");
    limiter.end(FunctionId(0), WorkerId(0));
    assert!(limiter.allows_another() && !limiter.is_loading(FunctionId(0), WorkerId(0)));
    limiter.end_all_at(WorkerId(1));
    assert_eq!(limiter.in_progress().count(), 7);
    assert!(limiter.workers_loading(FunctionId(2)).eq([WorkerId(2)]));
}

// Loads that fail together count as one failure. The limit never falls below three.
#[test]
fn slow_loads_lower_the_limit_once_in_half_a_second() {
    let mut limiter = LoadLimiter::new(START);
    assert!(!limiter.record_finished(START, 2_600 * MS, S), "over two and a half times the usual");
    let once = limiter.limit();
    limiter.record_slow(START + 499 * MS);
    assert_eq!((once, limiter.limit()), (12.0 * 0.7, once));
    (1..20).for_each(|n| limiter.record_slow(START + n * S));
    assert_eq!(limiter.limit(), 3.0);
    assert!(limiter.record_finished(START, S, S));
    assert_eq!(limiter.limit(), 3.5);
}

#[test]
fn congestion_needs_reports_of_many_responses() {
    let mut limiter = LoadLimiter::new(START);
    (0..20).for_each(|_| limiter.record_report(Some(2.0)));
    assert!(!limiter.is_congested());
    (0..20).for_each(|_| limiter.record_report(Some(2.0)));
    assert!(limiter.is_congested());
    (0..40).for_each(|_| limiter.record_report(None));
    assert!(!limiter.is_congested(), "no report counts as no load");
}

// ---- Concurrency limit -----------------------------------------------------------------

const THROUGHPUT: Throughput = Throughput { per_weight: 40e-6, mean_service_time: 100e3 };

#[test_case(1.0, 2.0, 10.0; "minimum from busy cores, initial from half an objective")]
#[test_case(0.1, 1.0, 1.0; "a small worker has one")]
#[test_case(100.0, 64.0, 64.0; "a huge one has 64")]
fn limits_follow_throughput(weight: f64, least: f64, first: f64) {
    assert!((THROUGHPUT.min_limit(weight) - least).abs() < 1e-9);
    assert!((THROUGHPUT.initial_limit(weight, 500e3) - first).abs() < 1e-9);
}

#[test]
fn a_limit_shrinks_with_delay_once_per_objective_and_grows_if_used() {
    let mut limit = ConcurrencyLimit { limit: 10.0, ..ConcurrencyLimit::new(START) };
    limit.record_delay(1.0, 0.5);
    limit.adapt(START, S, 10.0, 2.0);
    assert_eq!((limit.limit, limit.queueing_delay), (7.5, 0.2));
    limit.record_delay(1.0, 0.5);
    limit.adapt(START + S / 2, S, 10.0, 2.0);
    assert_eq!(limit.limit, 7.5, "once per latency objective");
    limit.record_delay(1.0, 0.1);
    limit.adapt(START + 2 * S, S, 5.0, 2.0);
    assert_eq!(limit.limit, 7.5, "limit not reached, so it does not grow");
    limit.adapt(START + 2 * S, S, 6.0, 2.0);
    assert_eq!(limit.limit, 7.5 + 1.0 / 7.5);
    (0..20).for_each(|n| limit.decrease(START + (3 + n) * S, S, 0.0, 2.0));
    assert_eq!(limit.limit, 2.0, "never below the minimum");
}

#[test]
fn a_restored_limit_gives_no_more_than_a_new_worker_has() {
    let mut limit = ConcurrencyLimit { limit: 10.0, ..ConcurrencyLimit::new(START) };
    limit.restore(64.0, 0.1, 2.0);
    assert_eq!((limit.limit, limit.queueing_delay), (10.0, 0.1));
    limit.restore(0.5, 0.0, 2.0);
    assert_eq!((limit.limit, limit.queueing_delay), (2.0, 0.1));
}

#[test]
fn bounded_load_is_a_multiple_of_the_mean_above_a_fixed_minimum() {
    assert_eq!(bounded_load(0.0, 1.0), 5.0);
    assert_eq!(bounded_load(4.0, 2.0), 17.0);
}

// ---- Outliers --------------------------------------------------------------------------

#[test]
fn two_errors_close_together_eject_and_one_does_not() {
    let mut outlier = OutlierState::healthy();
    assert!(!outlier.record_error(0.15));
    assert!(outlier.record_error(0.15));
}

#[test]
fn connections_lost_at_one_moment_are_one_error() {
    let mut outlier = OutlierState::healthy();
    assert!((0..10).all(|_| !outlier.record_connection_loss(START, 0.15)));
    assert!(outlier.record_connection_loss(START + 1, 0.15));
}

#[test]
fn ejections_double_up_to_eight_seconds() {
    let mut outlier = OutlierState::healthy();
    let mut lengths = Vec::new();
    for n in 0..6 {
        outlier.eject(START + n * 10 * S);
        lengths.push(outlier.ejected_until.expect("ejected") - (START + n * 10 * S));
    }
    assert_eq!(lengths, [S / 2, S, 2 * S, 4 * S, 8 * S, 8 * S]);
}

#[test]
fn the_recovery_ramp_doubles_with_each_success_and_ends() {
    let mut outlier = OutlierState::healthy();
    outlier.eject(START);
    assert!(outlier.is_ejected(START) && outlier.allows_another(0) && !outlier.allows_another(1));
    let mut limits = Vec::new();
    for _ in 0..4 {
        outlier.record_success(START + 100 * MS, 0.15);
        limits.push(outlier.recovery_limit);
    }
    assert_eq!(limits, [Some(2), Some(4), Some(8), None]);
    assert!(!outlier.is_ejected(START + 100 * MS), "a success ends the ejection");
    assert!(outlier.allows_another(1_000));
    assert_eq!(outlier.backoff, S / 2, "the next ejection is as short as the first");
}

#[test]
fn a_relapse_in_the_recovery_ramp_ejects_at_once() {
    let mut outlier = OutlierState::healthy();
    outlier.restore(0.0, true);
    assert!(outlier.is_recovering() && outlier.record_error(0.15));
}

// ---- Attempts and slow start -----------------------------------------------------------

#[test]
fn only_first_tries_earn_attempts() {
    let mut budget = AttemptBudget::default();
    (0..10).for_each(|_| budget.spend());
    assert!(!budget.has_token(), "initially half of twenty");
    (0..100).for_each(|_| budget.earn(true));
    assert!(!budget.has_token(), "a client's retries earn nothing");
    (0..21).for_each(|_| budget.earn(false));
    assert!(budget.has_token(), "one token per twenty requests");
}

#[test_case(0, START, 1.0; "started long ago")]
#[test_case(START, START, 0.2; "just started")]
#[test_case(START, START + 5 * S, 0.6; "half way")]
#[test_case(START, START + 10 * S, 1.0; "warm")]
#[test_case(START, START - S, 0.2; "by a clock that is behind")]
fn capacity_rises_linearly_while_a_worker_warms_up(up_since: Micros, now: Micros, share: f64) {
    let rules = SlowStartRules {
        initial_capacity: 0.2,
        warmup_time: 10 * S,
        overload_factor: 2.0,
        overload_window: S,
    };
    assert!((capacity_share(&rules, up_since, now) - share).abs() < 1e-9);
}
