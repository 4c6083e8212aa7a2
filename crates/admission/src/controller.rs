//! Admission of requests before they reach the routing module: who is admitted while a retry storm lasts,
//! who is told to come back, and when.
use crate::Micros;
use crate::accept_limiter::AcceptLimiter;
use crate::adaptive_limit::AdaptiveLimit;
use crate::retry_after::RetryAfterSchedule;
use crate::scheduled_retry::{RetryTiming, ScheduledRetries};
use crate::sketch::{DecayingCounts, SeenFilter};
use crate::traffic_monitor::{TrafficClass, TrafficMonitor};
use oorandom::Rand64;

/// Time in µs in which a client's attempts lose half their weight.
const ATTEMPT_HALF_LIFE: Micros = 10_000_000;

/// Time in µs for which a request's name is remembered: longer than any deadline.
const SEEN_SPAN: Micros = 60_000_000;

/// Retries that a client has in any case.
const FREE_RETRIES: f32 = 3.0;

/// Retries that a first attempt earns on top: the usual fifth of retry budgets.
const RETRIES_PER_FIRST_ATTEMPT: f32 = 0.2;

/// Admissions that may be saved up, in µs of the admission rate.
const BURST: f64 = 500_000.0;

/// Fraction of the burst that retries leave to first attempts.
const RESERVED_FOR_FIRST_ATTEMPTS: f64 = 0.5;

/// The same for a retry that comes when it was told to: its turn was promised.
const RESERVED_FROM_SCHEDULED_RETRIES: f64 = 0.25;

/// Fraction of the burst that less important requests leave to the others.
const RESERVED_FOR_IMPORTANT: f64 = 0.2;

/// Fraction of the burst that a client over its budget, or before its time, leaves to all others. It is
/// admitted behind them rather than never: a request that could be done and is not keeps coming back, and
/// the storm lasts (measured: 29 s instead of 11).
const RESERVED_FOR_FOLLOWERS: f64 = 0.3;

/// Fraction of the capacity for which retries are scheduled: the rest is for those that come of themselves.
const SCHEDULED_FRACTION: f64 = 0.7;

/// The admission rate at first, as a multiple of the completion rate: what completed before was what was
/// asked for, and there may be more capacity.
const PROBING_FACTOR: f64 = 1.5;

/// Fraction of the admission rate that is open to those behind all others: what they would probe with is
/// taken from those that follow their schedule.
const FRACTION_FOR_LAST: f64 = 0.7;

/// Admissions that may be saved up for those behind all others, in µs of the rate: they come whenever they
/// can, and all of it would be a burst.
const BURST_FOR_LAST: f64 = 50_000.0;

/// Fraction a second by which the best completion rate is forgotten: what the fleet did before the storm is
/// what it can do.
const FORGETTING: f64 = 0.005;

/// Completions a second that are assumed before any request has completed.
const UNKNOWN_COMPLETION_RATE: f64 = 50.0;

/// Weight of one request in the mean importance.
const IMPORTANCE_WEIGHT: f64 = 0.01;

/// One request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Digest of the client.
    pub client: u64,
    /// Digest of the request's name.
    pub request_id: u64,
    /// The client says that this is a retry.
    pub is_retry: bool,
    /// Importance of the request, compared with the mean of all.
    pub importance: f64,
    /// Time in µs until the client's deadline.
    pub remaining: Micros,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is admitted.
    Admitted {
        /// Whether it counts as a retry.
        is_retry: bool,
    },
    /// It is rejected.
    Rejected {
        /// Time in µs after which it should come back; `None` if its deadline is too near.
        retry_after: Option<Micros>,
        /// The reason, as the response and the log name it.
        reason: &'static str,
    },
}

/// How a request stands against others that want to be admitted.
#[derive(Clone, Copy)]
struct Priority {
    is_retry: bool,
    /// Its client has used up its budget of retries.
    is_over_budget: bool,
    timing: RetryTiming,
}

impl Priority {
    /// Whether the request is admitted behind all others only.
    fn is_last(self) -> bool {
        match self.timing {
            // Whoever comes when told to is within any budget.
            RetryTiming::OnTime => false,
            RetryTiming::Unscheduled => self.is_over_budget,
            RetryTiming::Early => true,
        }
    }

    /// Fraction of the burst that the request leaves to others.
    fn reserved_fraction(self, is_less_important: bool) -> f64 {
        let for_first_attempts = match self.timing {
            RetryTiming::OnTime => RESERVED_FROM_SCHEDULED_RETRIES,
            RetryTiming::Unscheduled | RetryTiming::Early => RESERVED_FOR_FIRST_ATTEMPTS,
        };
        let if_applies = |applies: bool, fraction: f64| if applies { fraction } else { 0.0 };
        if_applies(self.is_retry, for_first_attempts)
            + if_applies(is_less_important, RESERVED_FOR_IMPORTANT)
            + if_applies(self.is_last(), RESERVED_FOR_FOLLOWERS)
    }
}

/// Admission control of one router.
pub struct AdmissionController {
    rng: Rand64,
    traffic_monitor: TrafficMonitor,
    /// Names of recent requests: one that comes again is a retry.
    seen_names: SeenFilter,
    /// Recent first attempts, by client.
    first_attempts: DecayingCounts,
    /// Recent retries, by client.
    retries: DecayingCounts,
    /// Recent retries before their time, by client.
    early_retries: DecayingCounts,
    scheduled: ScheduledRetries,
    accept_limiter: AcceptLimiter,
    retry_after: RetryAfterSchedule,
    /// Admissions that are saved up.
    tokens: f64,
    /// Those of them that are open to requests behind all others.
    tokens_for_last: f64,
    refilled_at: Micros,
    /// The admission rate, adapted to what the routing module rejects.
    admission_rate: AdaptiveLimit,
    /// The best completion rate, as of `completion_rate_at`.
    completion_rate: f64,
    completion_rate_at: Micros,
    mean_importance: f64,
    admitted: u64,
    rejected: u64,
}

impl AdmissionController {
    /// Starts without any knowledge of the traffic. `seed` seeds the generator of random numbers.
    pub fn new(now: Micros, seed: u64) -> Self {
        let counts = || DecayingCounts::new(now, ATTEMPT_HALF_LIFE);
        AdmissionController {
            rng: Rand64::new(u128::from(seed)),
            traffic_monitor: TrafficMonitor::new(now),
            seen_names: SeenFilter::new(now, SEEN_SPAN),
            first_attempts: counts(),
            retries: counts(),
            early_retries: counts(),
            scheduled: ScheduledRetries::default(),
            accept_limiter: AcceptLimiter::new(now),
            retry_after: RetryAfterSchedule::default(),
            tokens: 0.0,
            tokens_for_last: 0.0,
            refilled_at: now,
            admission_rate: AdaptiveLimit::default(),
            completion_rate: 0.0,
            completion_rate_at: now,
            mean_importance: 0.0,
            admitted: 0,
            rejected: 0,
        }
    }

    /// The best recent completion rate as it counts now: it is forgotten slowly.
    fn aged_completion_rate(&self, now: Micros) -> f64 {
        let seconds = (now - self.completion_rate_at) as f64 / 1e6;
        self.completion_rate * (1.0 - FORGETTING).powf(seconds)
    }

    /// Requests a second that the fleet has lately completed at its best, as far as this router sees.
    pub fn best_completion_rate(&self, now: Micros) -> f64 {
        let rate = self.aged_completion_rate(now).max(self.traffic_monitor.completed.per_s(now));
        if rate > 0.0 { rate } else { UNKNOWN_COMPLETION_RATE }
    }

    /// Decides whether a request that arrives is admitted.
    pub fn decide(&mut self, now: Micros, arrival: &Arrival) -> Decision {
        let was_seen = self.seen_names.insert(now, arrival.request_id);
        let is_retry = arrival.is_retry || was_seen;
        let client = arrival.client;
        let counts = if is_retry { &mut self.retries } else { &mut self.first_attempts };
        let attempts = counts.add(now, client);
        let timing = self.scheduled.observe(now, arrival.request_id);
        self.record_timing(now, client, timing);
        self.traffic_monitor.record_arrival(now, is_retry, if is_retry { f64::from(attempts) } else { 0.0 });
        self.mean_importance += IMPORTANCE_WEIGHT * (arrival.importance - self.mean_importance);
        let is_over_budget = is_retry && attempts > self.retry_budget(now, client);
        let priority = Priority { is_retry, is_over_budget, timing };
        let decision = match self.traffic_monitor.class() {
            TrafficClass::Calm | TrafficClass::Jump | TrafficClass::Slow => Decision::Admitted { is_retry },
            TrafficClass::Loop if is_over_budget => self.reject(now, arrival, "retry-budget"),
            TrafficClass::Loop => Decision::Admitted { is_retry },
            TrafficClass::Storm => self.admit_in_storm(now, arrival, priority),
        };
        match decision {
            Decision::Admitted { .. } => self.admitted += 1,
            Decision::Rejected { .. } => self.rejected += 1,
        }
        decision
    }

    fn record_timing(&mut self, now: Micros, client: u64, timing: RetryTiming) {
        match timing {
            RetryTiming::Unscheduled => {}
            RetryTiming::OnTime => self.traffic_monitor.on_time_retries.add(now),
            RetryTiming::Early => {
                self.traffic_monitor.early_retries.add(now);
                // The first time only: at later times it had no slot.
                if self.early_retries.add(now, client) < 2.0 {
                    let rate = self.scheduling_rate(now);
                    self.retry_after.release_slot(now, rate);
                }
            }
        }
    }

    /// Recent retries that a client may have.
    fn retry_budget(&mut self, now: Micros, client: u64) -> f32 {
        FREE_RETRIES + RETRIES_PER_FIRST_ATTEMPT * self.first_attempts.estimate(now, client)
    }

    /// Retries a second that are scheduled.
    fn scheduling_rate(&self, now: Micros) -> f64 {
        let is_known = self.admission_rate.in_use(now);
        let found = if is_known { self.admission_rate.current() / PROBING_FACTOR } else { 0.0 };
        found.max(self.best_completion_rate(now)) * SCHEDULED_FRACTION
    }

    /// In a storm as many are admitted as the fleet completes: first attempts before retries, those that
    /// follow their schedule before those that do not, important requests before the rest.
    fn admit_in_storm(&mut self, now: Micros, arrival: &Arrival, priority: Priority) -> Decision {
        let burst = self.refill(now);
        let is_less_important = arrival.importance < self.mean_importance;
        let reserved = priority.reserved_fraction(is_less_important);
        let has_token = self.tokens >= (1.0 + burst * reserved).min(burst);
        if has_token && (!priority.is_last() || self.tokens_for_last >= 1.0) {
            self.tokens -= 1.0;
            self.tokens_for_last -= 1.0;
            return Decision::Admitted { is_retry: priority.is_retry };
        }
        self.admission_rate.record_unmet_demand();
        self.reject(now, arrival, if priority.is_over_budget { "retry-budget" } else { "storm" })
    }

    /// Refills the tokens by the admission rate; returns how many may be saved up.
    fn refill(&mut self, now: Micros) -> f64 {
        let completion_rate = self.best_completion_rate(now);
        let seconds = (now - self.refilled_at) as f64 / 1e6;
        let rate = self.admission_rate.allowed(now, completion_rate, PROBING_FACTOR, 1.0);
        let burst = (rate * BURST / 1e6).max(1.0);
        self.tokens = (self.tokens + rate * seconds).min(burst);
        let burst_for_last = (rate * BURST_FOR_LAST / 1e6).max(1.0);
        let tokens_for_last = self.tokens_for_last + FRACTION_FOR_LAST * rate * seconds;
        self.tokens_for_last = tokens_for_last.clamp(-burst_for_last, burst_for_last);
        self.refilled_at = now;
        burst
    }

    fn reject(&mut self, now: Micros, arrival: &Arrival, reason: &'static str) -> Decision {
        Decision::Rejected {
            retry_after: self.schedule_retry(now, arrival.client, arrival.request_id, arrival.remaining),
            reason,
        }
    }

    /// Schedules the retry of the request `name`, rejected here or by the routing module. Returns the wait
    /// in µs; `None` if its deadline, `left` µs from now, is too near.
    pub fn schedule_retry(&mut self, now: Micros, client: u64, name: u64, left: Micros) -> Option<Micros> {
        let early_retries = self.early_retries.estimate(now, client).floor() as u32;
        let rate = self.scheduling_rate(now);
        let random = self.rng.rand_float();
        let wait = self.retry_after.next_wait(now, rate, left, early_retries, random)?;
        self.scheduled.schedule(name, now + wait);
        Some(wait)
    }

    /// The routing module itself scheduled the retry of a request that it rejected.
    pub fn note_scheduled_retry(&mut self, name: u64, until: Micros) {
        self.scheduled.schedule(name, until);
    }

    /// A connection was accepted. Returns for how long, in µs, none is to be accepted now, if the limit is
    /// reached.
    pub fn connection_accepted(&mut self, now: Micros) -> Option<Micros> {
        self.traffic_monitor.connections.add(now);
        self.accept_limiter.connection_accepted(now)
    }

    /// The limiter of accepted connections.
    pub fn accept_limiter(&self) -> &AcceptLimiter {
        &self.accept_limiter
    }

    /// A request has ended: it completed, or was rejected by the routing module; a failure is neither.
    pub fn request_ended(&mut self, now: Micros, completed: bool, rejected: bool) {
        if completed {
            self.traffic_monitor.completed.add(now);
            self.completion_rate =
                self.aged_completion_rate(now).max(self.traffic_monitor.completed.per_s(now));
            self.completion_rate_at = now;
        }
        self.admission_rate.record_result(completed, rejected);
        if rejected {
            self.traffic_monitor.rejected.add(now);
        }
    }

    /// Restores, after a restart, the usual arrivals and connections a second and the completion rate of
    /// the fleet, unless this process knows better.
    pub fn restore_baseline(&mut self, now: Micros, usual: (f64, f64), completion_rate: f64) {
        let (arrivals_per_s, connections_per_s) = usual;
        self.traffic_monitor.restore_baseline(now, arrivals_per_s, connections_per_s);
        if self.completion_rate == 0.0 {
            self.completion_rate = completion_rate;
            self.completion_rate_at = now;
        }
    }

    /// The classification of the traffic and the rates behind it.
    pub fn traffic_monitor(&self) -> &TrafficMonitor {
        &self.traffic_monitor
    }

    /// Requests admitted and rejected since the start, and µs to the end of the queue of scheduled retries.
    pub fn totals(&self, now: Micros) -> (u64, u64, Micros) {
        (self.admitted, self.rejected, self.retry_after.backlog(now))
    }
}
