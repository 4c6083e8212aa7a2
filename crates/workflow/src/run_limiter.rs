//! Limit on new workflow runs under overload: runs are started about as fast as runs finish, so that work
//! is spent on runs that finish and not on the first steps of runs that fail.
use applepond::interface::Micros;
use applepond_admission::adaptive_limit::AdaptiveLimit;
use applepond_admission::traffic_monitor::Rate;

/// Lower bound on the assumed rate of finished runs, so that some runs may start under any load.
const MIN_RUNS_PER_S: f64 = 2.0;
/// The limit takes effect when the wasted runs (failed after steps had finished) exceed this fraction of
/// the finished ones.
const WASTED_FRACTION: f64 = 0.1;
/// Wasted runs per second below which the limit does not take effect, as one or two are no sign of
/// overload.
const MIN_WASTED_PER_S: f64 = 3.0;
/// Runs that may start for each that finishes, when the limit takes effect.
const INITIAL_FACTOR: f64 = 1.2;
/// Lower bound on the runs that may start for each that finishes. Slightly less than one drains the queues
/// at the workers, which delay every step. In a scenario at twice the capacity 588 runs finished; with 0.6
/// it was 506, as workers were idle, and without any limit on new runs 543, as a fifth of the work was
/// spent on runs that failed.
const MIN_FACTOR: f64 = 0.9;
/// Time without a rejection after which the limit is lifted, in µs.
const CALM_TIME_US: Micros = 3_000_000;
/// Capacity of the token bucket, in seconds of the permitted rate.
const BURST_S: f64 = 0.2;

/// Token bucket for new runs, whose rate follows the rate of finished runs. It has no effect while few runs
/// fail.
#[derive(Default)]
pub struct RunLimiter {
    /// Adapts the permitted rate.
    adaptive_limit: AdaptiveLimit,
    /// Runs that finished.
    finished: Rate,
    /// Runs that failed after steps had finished.
    wasted: Rate,
    /// Runs that may start now.
    tokens: f64,
    /// Time at which tokens were last added.
    refilled_at: Micros,
    /// Time at which the limit took effect, or last rejected a run; `None` while there is no limit.
    last_rejection: Option<Micros>,
}

impl RunLimiter {
    /// Whether a new run may start.
    pub fn admit(&mut self, now: Micros) -> bool {
        let (finished, wasted) = (self.finished.per_s(now), self.wasted.per_s(now));
        if self.last_rejection.is_none() && wasted >= MIN_WASTED_PER_S && wasted > WASTED_FRACTION * finished
        {
            self.last_rejection = Some(now);
            self.refilled_at = now;
        }
        let Some(last_rejection) = self.last_rejection else { return true };
        let allowed =
            self.adaptive_limit.allowed(now, finished.max(MIN_RUNS_PER_S), INITIAL_FACTOR, MIN_FACTOR);
        let max_tokens = (allowed * BURST_S).max(1.0);
        self.tokens = (self.tokens + allowed * (now - self.refilled_at) as f64 / 1e6).min(max_tokens);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.last_rejection = (now < last_rejection + CALM_TIME_US).then_some(last_rejection);
            return true;
        }
        self.last_rejection = Some(now);
        self.adaptive_limit.record_unmet_demand();
        false
    }

    /// Records the end of a run; `wasted` if it failed after steps had finished.
    pub fn run_ended(&mut self, now: Micros, finished: bool, wasted: bool) {
        self.adaptive_limit.record_result(finished, wasted);
        if finished {
            self.finished.add(now);
        }
        if wasted {
            self.wasted.add(now);
        }
    }

    /// Runs per second that may start, while there is a limit.
    pub fn allowed(&self) -> Option<f64> {
        self.last_rejection.map(|_| self.adaptive_limit.current())
    }
}
