//! Limit on new chains under load: as many are begun as come to their end, so that work is spent on whole
//! chains and not on many first steps.
use applepond::interface::Micros;
use applepond_admission::adaptive_limit::AdaptiveLimit;
use applepond_admission::traffic_monitor::Rate;

/// Chains a second that may begin whatever the load.
const MIN_CHAINS_PER_S: f64 = 2.0;
/// The limit sets in once chains that failed with steps done are more than this part of those that finished.
const WASTED_SHARE: f64 = 0.1;
/// The limit sets in only from so many wasted chains a second on, as one or two say nothing.
const MIN_WASTED_PER_S: f64 = 3.0;
/// Chains that may begin for each that finishes, when the limit sets in.
const INITIAL_FACTOR: f64 = 1.2;
/// The same at the least: a little less than goes out drains what waits at workers and makes each step late.
/// With 0.6 workers stood idle (scenario, load 2: 506 whole chains instead of 588), without any bound a fifth
/// of the work went into chains that failed (543).
const MIN_FACTOR: f64 = 0.9;
/// µs without a rejection after which the limit is lifted.
const CALM_TIME: Micros = 3_000_000;
/// Part of a second's chains that may begin at once.
const BURST_SHARE: f64 = 0.2;

/// Token bucket for new chains, whose rate follows the chains that finish. It has no effect while few fail.
#[derive(Default)]
pub struct RunLimiter {
    /// Finds the rate.
    adaptive_limit: AdaptiveLimit,
    /// Chains that finished.
    finished: Rate,
    /// Chains that failed with steps done.
    wasted: Rate,
    /// Chains that may begin now.
    tokens: f64,
    /// When tokens were last added.
    refilled: Micros,
    /// When the limit set in, or last rejected a chain; none while there is no limit.
    limited: Option<Micros>,
}

impl RunLimiter {
    /// Whether a new chain may begin.
    pub fn admit(&mut self, now: Micros) -> bool {
        let (finished, wasted) = (self.finished.per_s(now), self.wasted.per_s(now));
        if self.limited.is_none() && wasted >= MIN_WASTED_PER_S && wasted > WASTED_SHARE * finished {
            self.limited = Some(now);
            self.refilled = now;
        }
        let Some(last_rejection) = self.limited else { return true };
        let allowed =
            self.adaptive_limit.allowed(now, finished.max(MIN_CHAINS_PER_S), INITIAL_FACTOR, MIN_FACTOR);
        let max_tokens = (allowed * BURST_SHARE).max(1.0);
        self.tokens = (self.tokens + allowed * (now - self.refilled) as f64 / 1e6).min(max_tokens);
        self.refilled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.limited = (now < last_rejection + CALM_TIME).then_some(last_rejection);
            return true;
        }
        self.limited = Some(now);
        self.adaptive_limit.record_unmet_demand();
        false
    }

    /// A chain has come to its end: `finished`, or `wasted` where it failed with steps done.
    pub fn run_ended(&mut self, now: Micros, finished: bool, wasted: bool) {
        self.adaptive_limit.record_result(finished, wasted);
        if finished {
            self.finished.add(now);
        }
        if wasted {
            self.wasted.add(now);
        }
    }

    /// Chains a second that may begin, while there is a limit.
    pub fn allowed(&self) -> Option<f64> {
        self.limited.map(|_| self.adaptive_limit.current())
    }
}
