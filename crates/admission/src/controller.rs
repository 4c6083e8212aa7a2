//! Admission control in front of the routing module: which requests are admitted during a retry storm,
//! which are rejected, and when the rejected ones are to be retried.
use crate::Micros;
use crate::accept_limiter::AcceptLimiter;
use crate::adaptive_limit::AdaptiveLimit;
use crate::retry_after::RetryAfterSchedule;
use crate::scheduled_retry::{RetryTiming, ScheduledRetries};
use crate::sketch::{DecayingCounts, SeenFilter};
use crate::traffic_monitor::{TrafficClass, TrafficMonitor};
use oorandom::Rand64;

/// Half-life of the attempts counted for a client, in µs.
const ATTEMPT_HALF_LIFE_US: Micros = 10_000_000;

/// Time in µs for which request ids are remembered: longer than any deadline.
const SEEN_SPAN_US: Micros = 60_000_000;

/// Retries that every client may send, whatever its number of first attempts.
const FREE_RETRIES: f32 = 3.0;

/// Further retries for each first attempt: 20 %, as is usual for retry budgets.
const RETRIES_PER_FIRST_ATTEMPT: f32 = 0.2;

/// Capacity of the token bucket, in µs of the admission rate.
const BURST_US: f64 = 500_000.0;

/// Fraction of the bucket that retries must leave for first attempts.
const RESERVED_FOR_FIRST_ATTEMPTS: f64 = 0.5;

/// The same for a retry that arrives at its scheduled time: it was promised that slot.
const RESERVED_FROM_SCHEDULED_RETRIES: f64 = 0.25;

/// Fraction of the bucket that requests of less than mean importance must leave for the others.
const RESERVED_FOR_IMPORTANT: f64 = 0.2;

/// Fraction of the bucket that low-priority requests (of a client over its retry budget, or retried too
/// early) must leave for all others. They are admitted after the others rather than never: a request that
/// is rejected although there is capacity is retried again and prolongs the storm (29 s instead of 11 s).
const RESERVED_FROM_LOW_PRIORITY: f64 = 0.3;

/// Fraction of the capacity for which retries are scheduled; the rest is for requests that arrive
/// unscheduled.
const SCHEDULED_FRACTION: f64 = 0.7;

/// Initial admission rate as a multiple of the completion rate: the completion rate before the storm was
/// limited by demand, so the capacity may be higher.
const PROBING_FACTOR: f64 = 1.5;

/// Fraction of the admission rate that low-priority requests may use: anything they use beyond the capacity
/// is taken from clients that follow their schedule.
const LOW_PRIORITY_FRACTION: f64 = 0.7;

/// Capacity of the token bucket for low-priority requests, in µs of the rate. It is small because such
/// clients retry continuously and would use up a full bucket at once.
const LOW_PRIORITY_BURST_US: f64 = 50_000.0;

/// Fraction by which the best completion rate decays in a second. It is slow because the rate before the
/// storm is the best estimate of the fleet's capacity.
const COMPLETION_RATE_DECAY_PER_S: f64 = 0.005;

/// Completions per second that are assumed until a request has completed.
const DEFAULT_COMPLETION_RATE: f64 = 50.0;

/// Weight of one request in the moving average of importance.
const IMPORTANCE_WEIGHT: f64 = 0.01;

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Hash of the client's id.
    pub client: u64,
    /// Hash of the request's id.
    pub request_id: u64,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Importance of the request; it is compared with the mean over all requests.
    pub importance: f64,
    /// Time in µs until the client's deadline.
    pub remaining: Micros,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The request is admitted.
    Admitted {
        /// Whether it is a retry: marked as such, or with an id that was seen before.
        is_retry: bool,
    },
    /// The request is rejected.
    Rejected {
        /// Time in µs after which it should be retried; `None` if its deadline is too near.
        retry_after: Option<Micros>,
        /// Reason code for the response and the log.
        reason: &'static str,
    },
}

/// What determines the priority of a request during a storm.
#[derive(Clone, Copy)]
struct Priority {
    is_retry: bool,
    /// Whether its client has used up its retry budget.
    is_over_budget: bool,
    timing: RetryTiming,
}

impl Priority {
    /// Whether the request is admitted only after all others.
    fn is_low(self) -> bool {
        match self.timing {
            // A retry at its scheduled time was promised that slot, even if its client is over the budget.
            RetryTiming::OnTime => false,
            RetryTiming::Unscheduled => self.is_over_budget,
            RetryTiming::Early => true,
        }
    }

    /// Fraction of the token bucket that the request must leave for others.
    fn reserved_fraction(self, is_less_important: bool) -> f64 {
        let for_first_attempts = match self.timing {
            RetryTiming::OnTime => RESERVED_FROM_SCHEDULED_RETRIES,
            RetryTiming::Unscheduled | RetryTiming::Early => RESERVED_FOR_FIRST_ATTEMPTS,
        };
        let fraction_if = |applies: bool, fraction: f64| if applies { fraction } else { 0.0 };
        fraction_if(self.is_retry, for_first_attempts)
            + fraction_if(is_less_important, RESERVED_FOR_IMPORTANT)
            + fraction_if(self.is_low(), RESERVED_FROM_LOW_PRIORITY)
    }
}

/// Admission control of one router.
pub struct AdmissionController {
    rng: Rand64,
    traffic_monitor: TrafficMonitor,
    /// Ids of recent requests, by which retries are recognized that are not marked as such.
    seen_requests: SeenFilter,
    /// Recent first attempts, by client.
    first_attempts: DecayingCounts,
    /// Recent retries, by client.
    retries: DecayingCounts,
    /// Recent retries before their scheduled time, by client.
    early_retries: DecayingCounts,
    scheduled: ScheduledRetries,
    accept_limiter: AcceptLimiter,
    retry_after: RetryAfterSchedule,
    /// Tokens in the bucket, one for each admission.
    tokens: f64,
    /// Tokens that low-priority requests may use. Each admission takes one, so the count can be negative.
    low_priority_tokens: f64,
    refilled_at: Micros,
    /// Admission rate during a storm, adapted to the rejections by the routing module.
    admission_rate: AdaptiveLimit,
    /// Best completion rate per second, as of `completion_rate_at`.
    completion_rate: f64,
    completion_rate_at: Micros,
    mean_importance: f64,
    admitted: u64,
    rejected: u64,
}

impl AdmissionController {
    /// Starts without any knowledge of the traffic. `seed` seeds the random number generator.
    pub fn new(now: Micros, seed: u64) -> Self {
        let counts = || DecayingCounts::new(now, ATTEMPT_HALF_LIFE_US);
        AdmissionController {
            rng: Rand64::new(u128::from(seed)),
            traffic_monitor: TrafficMonitor::new(now),
            seen_requests: SeenFilter::new(now, SEEN_SPAN_US),
            first_attempts: counts(),
            retries: counts(),
            early_retries: counts(),
            scheduled: ScheduledRetries::default(),
            accept_limiter: AcceptLimiter::new(now),
            retry_after: RetryAfterSchedule::default(),
            tokens: 0.0,
            low_priority_tokens: 0.0,
            refilled_at: now,
            admission_rate: AdaptiveLimit::default(),
            completion_rate: 0.0,
            completion_rate_at: now,
            mean_importance: 0.0,
            admitted: 0,
            rejected: 0,
        }
    }

    /// The best recent completion rate, decayed to `now`.
    fn aged_completion_rate(&self, now: Micros) -> f64 {
        let seconds = (now - self.completion_rate_at) as f64 / 1e6;
        self.completion_rate * (1.0 - COMPLETION_RATE_DECAY_PER_S).powf(seconds)
    }

    /// Best recent completion rate of the fleet in requests per second, as observed by this router.
    pub fn best_completion_rate(&self, now: Micros) -> f64 {
        let rate = self.aged_completion_rate(now).max(self.traffic_monitor.completed.per_s(now));
        if rate > 0.0 { rate } else { DEFAULT_COMPLETION_RATE }
    }

    /// Decides whether a request is admitted.
    pub fn decide(&mut self, now: Micros, arrival: &Arrival) -> Decision {
        let was_seen = self.seen_requests.insert(now, arrival.request_id);
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
                // Only the first time: a client that has retried early is given no slot of the queue.
                if self.early_retries.add(now, client) < 2.0 {
                    let rate = self.scheduling_rate(now);
                    self.retry_after.release_slot(now, rate);
                }
            }
        }
    }

    /// Number of recent retries that a client may have.
    fn retry_budget(&mut self, now: Micros, client: u64) -> f32 {
        FREE_RETRIES + RETRIES_PER_FIRST_ATTEMPT * self.first_attempts.estimate(now, client)
    }

    /// Rate per second at which retries are scheduled.
    fn scheduling_rate(&self, now: Micros) -> f64 {
        let is_current = self.admission_rate.in_use(now);
        let adapted = if is_current { self.admission_rate.current() / PROBING_FACTOR } else { 0.0 };
        adapted.max(self.best_completion_rate(now)) * SCHEDULED_FRACTION
    }

    /// Admits requests at the rate at which the fleet completes them: first attempts before retries,
    /// clients that follow their schedule before those that do not, important requests before the rest.
    fn admit_in_storm(&mut self, now: Micros, arrival: &Arrival, priority: Priority) -> Decision {
        let burst = self.refill(now);
        let is_less_important = arrival.importance < self.mean_importance;
        let reserved = priority.reserved_fraction(is_less_important);
        let has_token = self.tokens >= (1.0 + burst * reserved).min(burst);
        if has_token && (!priority.is_low() || self.low_priority_tokens >= 1.0) {
            self.tokens -= 1.0;
            self.low_priority_tokens -= 1.0;
            return Decision::Admitted { is_retry: priority.is_retry };
        }
        self.admission_rate.record_unmet_demand();
        self.reject(now, arrival, if priority.is_over_budget { "retry-budget" } else { "storm" })
    }

    /// Adds tokens at the admission rate; returns the capacity of the bucket.
    fn refill(&mut self, now: Micros) -> f64 {
        let completion_rate = self.best_completion_rate(now);
        let seconds = (now - self.refilled_at) as f64 / 1e6;
        let rate = self.admission_rate.allowed(now, completion_rate, PROBING_FACTOR, 1.0);
        let burst = (rate * BURST_US / 1e6).max(1.0);
        self.tokens = (self.tokens + rate * seconds).min(burst);
        let low_priority_burst = (rate * LOW_PRIORITY_BURST_US / 1e6).max(1.0);
        let low_priority_tokens = self.low_priority_tokens + LOW_PRIORITY_FRACTION * rate * seconds;
        self.low_priority_tokens = low_priority_tokens.clamp(-low_priority_burst, low_priority_burst);
        self.refilled_at = now;
        burst
    }

    /// Rejects a request and schedules its retry.
    fn reject(&mut self, now: Micros, arrival: &Arrival, reason: &'static str) -> Decision {
        Decision::Rejected {
            retry_after: self.schedule_retry(now, arrival.client, arrival.request_id, arrival.remaining),
            reason,
        }
    }

    /// Schedules the retry of a request that was rejected here or by the routing module. Returns the wait
    /// in µs; `None` if the deadline, `remaining` µs from now, is too near.
    pub fn schedule_retry(
        &mut self,
        now: Micros,
        client: u64,
        request_id: u64,
        remaining: Micros,
    ) -> Option<Micros> {
        let early_retries = self.early_retries.estimate(now, client).floor() as u32;
        let rate = self.scheduling_rate(now);
        let random = self.rng.rand_float();
        let wait = self.retry_after.next_wait(now, rate, remaining, early_retries, random)?;
        self.scheduled.schedule(request_id, now + wait);
        Some(wait)
    }

    /// Notes a retry that the routing module itself has scheduled for a request that it rejected.
    pub fn note_scheduled_retry(&mut self, request_id: u64, until: Micros) {
        self.scheduled.schedule(request_id, until);
    }

    /// Counts an accepted connection. If the limit is reached, returns the time in µs for which no further
    /// connection is to be accepted.
    pub fn connection_accepted(&mut self, now: Micros) -> Option<Micros> {
        self.traffic_monitor.connections.add(now);
        self.accept_limiter.connection_accepted(now)
    }

    /// The rate limiter for accepted connections.
    pub fn accept_limiter(&self) -> &AcceptLimiter {
        &self.accept_limiter
    }

    /// Records the end of an admitted request: it completed, or was rejected by the routing module; for a
    /// failure both are false.
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

    /// Restores after a restart the usual arrivals and connections per second, and the completion rate of
    /// the fleet, unless this process has observed its own.
    pub fn restore_baseline(&mut self, now: Micros, usual: (f64, f64), completion_rate: f64) {
        let (arrivals_per_s, connections_per_s) = usual;
        self.traffic_monitor.restore_baseline(now, arrivals_per_s, connections_per_s);
        if self.completion_rate == 0.0 {
            self.completion_rate = completion_rate;
            self.completion_rate_at = now;
        }
    }

    /// The traffic monitor: the traffic class and the rates behind it.
    pub fn traffic_monitor(&self) -> &TrafficMonitor {
        &self.traffic_monitor
    }

    /// Requests admitted and rejected since the start, and the time in µs until the last scheduled retry is
    /// due.
    pub fn totals(&self, now: Micros) -> (u64, u64, Micros) {
        (self.admitted, self.rejected, self.retry_after.backlog(now))
    }
}
