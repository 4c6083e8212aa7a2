//! Classification of the traffic of a router: calm, increased work, a retry storm, one client that retries
//! in a loop, or slow service.
use crate::Micros;

/// Time constant of event rates, in µs: a retry storm is recognized within about this time.
const RATE_TIME_CONSTANT_US: f64 = 2_000_000.0;

/// Time constant, in µs, with which the usual rates of an hour of the day are learned.
const BASELINE_TIME_CONSTANT_US: f64 = 300_000_000.0;

const HOUR_US: Micros = 3_600_000_000;

const HOURS_PER_DAY: usize = 24;

/// Time in µs for which an hour of the day must have been observed before its usual rates are used.
const MIN_OBSERVED_US: f64 = RATE_TIME_CONSTANT_US * 5.0;

/// Fraction of retries among arrivals at which a storm or a loop is recognized. Clients that retry one lost
/// response in a hundred stay far below it; when a data hall is cut off, every request is retried at least
/// once.
const RETRY_FRACTION_HIGH: f64 = 0.3;

/// Fraction of retries among arrivals below which a storm or a loop is over.
const RETRY_FRACTION_LOW: f64 = 0.1;

/// New connections, as a multiple of the usual, that indicate a storm. This is not sufficient alone, as
/// more work opens more connections too. Each indication lowers the fraction of retries at which a storm is
/// recognized.
const CONNECTIONS_OVER_USUAL: f64 = 4.0;

/// Fraction of early retries among scheduled ones that indicates a storm.
const EARLY_FRACTION: f64 = 0.5;

/// Arrivals, as a multiple of the usual, at which increased work is recognized.
const JUMP_OVER_USUAL: f64 = 2.0;

/// Events per second below which fractions are ignored, as they would be dominated by chance.
const MIN_RATE_PER_S: f64 = 5.0;

/// Fraction of all retries at which a single client is regarded as retrying in a loop.
const ONE_CLIENT_FRACTION: f64 = 0.5;

/// Fraction of completions among arrivals below which service is slow.
const SLOW_FRACTION: f64 = 0.7;

/// Time in µs for which there must be no sign of a storm before it is over: storms come in waves.
const STORM_END_DELAY_US: Micros = 3_000_000;

/// Class of the traffic. The log and the state page print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Nothing unusual.
    Calm,
    /// More work than usual and few retries: there is no reason to reject any of it.
    Jump,
    /// Many clients retry.
    Storm,
    /// One client retries in a loop.
    Loop,
    /// No more work than usual, but much of it does not complete.
    Slow,
}

impl TrafficClass {
    fn is_retry_overload(self) -> bool {
        matches!(self, TrafficClass::Storm | TrafficClass::Loop)
    }
}

/// An exponentially decaying rate of events.
#[derive(Clone, Copy, Default)]
pub struct Rate {
    count: f64,
    updated_at: Micros,
}

impl Rate {
    fn decayed(&self, now: Micros, span: f64) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / span).exp()
    }

    /// Counts one event.
    pub fn add(&mut self, now: Micros) {
        self.count = self.decayed(now, RATE_TIME_CONSTANT_US) + 1.0;
        self.updated_at = now;
    }

    /// Events per second.
    pub fn per_s(&self, now: Micros) -> f64 {
        self.decayed(now, RATE_TIME_CONSTANT_US) / RATE_TIME_CONSTANT_US * 1e6
    }
}

/// Usual rates of one hour of the day.
#[derive(Clone, Copy, Default)]
struct UsualTraffic {
    arrivals_per_s: f64,
    connections_per_s: f64,
    /// Time for which the hour was observed, in µs.
    observed: f64,
}

impl UsualTraffic {
    /// Updates the usual rates with those observed during the last `elapsed` µs.
    fn learn(&mut self, arrivals_per_s: f64, connections_per_s: f64, elapsed: f64) {
        // An arithmetic mean over the observed time at first, later an exponential moving average.
        let mean = elapsed / (self.observed + elapsed);
        let weight = mean.max(1.0 - (-elapsed / BASELINE_TIME_CONSTANT_US).exp()).min(1.0);
        self.arrivals_per_s += weight * (arrivals_per_s - self.arrivals_per_s);
        self.connections_per_s += weight * (connections_per_s - self.connections_per_s);
        self.observed += elapsed;
    }
}

/// Observes the traffic and classifies it.
#[derive(Default)]
pub struct TrafficMonitor {
    started_at: Micros,
    first_attempts: Rate,
    retries: Rate,
    /// Highest number of recent retries of a single client.
    max_client_retries: f64,
    /// Requests that completed.
    pub completed: Rate,
    /// Requests rejected by the routing module.
    pub rejected: Rate,
    /// Accepted connections.
    pub connections: Rate,
    /// Retries that arrived at their scheduled time.
    pub on_time_retries: Rate,
    /// Retries that arrived before their scheduled time.
    pub early_retries: Rate,
    /// Usual rates by hour of the day, learned while the traffic is calm.
    baseline: [UsualTraffic; HOURS_PER_DAY],
    learned_at: Micros,
    /// The traffic class, and the time since which it holds.
    class: Option<(TrafficClass, Micros)>,
    /// Time since which there has been no sign of the present storm or loop.
    quiet_since: Option<Micros>,
}

impl TrafficMonitor {
    /// Starts without any usual rates.
    pub fn new(now: Micros) -> Self {
        TrafficMonitor { started_at: now, learned_at: now, ..TrafficMonitor::default() }
    }

    fn hour(now: Micros) -> usize {
        (now / HOUR_US) as usize % HOURS_PER_DAY
    }

    /// Arrivals and connections per second that are usual at this hour; `None` if this router has not
    /// observed enough of this hour or the one before.
    pub fn usual(&self, now: Micros) -> Option<(f64, f64)> {
        let hour = Self::hour(now);
        let learned = |hour: usize| {
            Some(self.baseline[hour % HOURS_PER_DAY]).filter(|usual| usual.observed >= MIN_OBSERVED_US)
        };
        let usual = learned(hour).or_else(|| learned(hour + HOURS_PER_DAY - 1))?;
        Some((usual.arrivals_per_s, usual.connections_per_s))
    }

    /// Restores the usual rates from before a restart, unless this process has itself observed enough of
    /// the hour. They count as observed for the shortest time that suffices, so that new observations soon
    /// prevail.
    pub fn restore_baseline(&mut self, now: Micros, arrivals_per_s: f64, connections_per_s: f64) {
        let usual = &mut self.baseline[Self::hour(now)];
        if usual.observed < MIN_OBSERVED_US {
            *usual = UsualTraffic { arrivals_per_s, connections_per_s, observed: MIN_OBSERVED_US };
        }
    }

    /// Indications of a storm besides the fraction of retries: whether far more connections than usual are
    /// opened, and whether many scheduled retries arrive early.
    pub fn storm_indications(&self, now: Micros) -> (bool, bool) {
        let opened = self.connections.per_s(now);
        let is_unusual = self.usual(now).is_some_and(|(_, usual)| opened >= CONNECTIONS_OVER_USUAL * usual);
        let (early, on_time) = (self.early_retries.per_s(now), self.on_time_retries.per_s(now));
        let many_early = early >= MIN_RATE_PER_S && early >= EARLY_FRACTION * (early + on_time);
        (is_unusual && opened >= MIN_RATE_PER_S, many_early)
    }

    /// Counts an arrival; `client_retries` is the number of recent retries of its client.
    pub fn record_arrival(&mut self, now: Micros, is_retry: bool, client_retries: f64) {
        if is_retry {
            self.retries.add(now);
            self.max_client_retries = self.max_client_retries.max(client_retries);
        } else {
            self.first_attempts.add(now);
        }
        self.reclassify(now);
    }

    /// First attempts and retries per second.
    pub fn rates(&self, now: Micros) -> (f64, f64) {
        (self.first_attempts.per_s(now), self.retries.per_s(now))
    }

    /// Time since which the present class holds.
    pub fn since(&self) -> Micros {
        self.class.map_or(self.started_at, |(_, since)| since)
    }

    /// The present class of the traffic.
    pub fn class(&self) -> TrafficClass {
        self.class.map_or(TrafficClass::Calm, |(class, _)| class)
    }

    /// The class by the present rates, without the delay at the end of a storm.
    fn classify(&self, now: Micros) -> TrafficClass {
        let (first_attempts, retries) = self.rates(now);
        let arrivals = first_attempts + retries;
        if retries >= MIN_RATE_PER_S && retries >= self.retry_threshold(now) * arrivals {
            // The rate covers the retries of about one time constant.
            let is_one_client =
                self.max_client_retries >= ONE_CLIENT_FRACTION * retries * RATE_TIME_CONSTANT_US / 1e6;
            return if is_one_client { TrafficClass::Loop } else { TrafficClass::Storm };
        }
        let Some((usual, _)) = self.usual(now) else { return TrafficClass::Calm };
        if arrivals >= JUMP_OVER_USUAL * usual && arrivals >= MIN_RATE_PER_S {
            return TrafficClass::Jump;
        }
        let completed = self.completed.per_s(now);
        let rejected = self.rejected.per_s(now);
        if arrivals >= MIN_RATE_PER_S && completed < SLOW_FRACTION * arrivals && rejected > completed / 2.0 {
            return TrafficClass::Slow;
        }
        TrafficClass::Calm
    }

    /// Fraction of retries at which the traffic is regarded as a storm or a loop.
    fn retry_threshold(&self, now: Micros) -> f64 {
        if self.class().is_retry_overload() {
            return RETRY_FRACTION_LOW;
        }
        let (many_connections, many_early) = self.storm_indications(now);
        let indications = 1.0 + f64::from(u8::from(many_connections)) + f64::from(u8::from(many_early));
        RETRY_FRACTION_HIGH / indications
    }

    fn reclassify(&mut self, now: Micros) {
        let observed = self.classify(now);
        if self.class().is_retry_overload() && !observed.is_retry_overload() {
            // Traffic looks calm between two waves of a storm.
            let since = *self.quiet_since.get_or_insert(now);
            if now < since + STORM_END_DELAY_US {
                return;
            }
        }
        self.quiet_since = None;
        if self.class.is_none_or(|(class, _)| class != observed) {
            self.class = Some((observed, now));
            if !observed.is_retry_overload() {
                self.max_client_retries = 0.0;
            }
        }
        if observed == TrafficClass::Calm {
            self.learn(now);
        }
    }

    /// Updates the usual rates; called only while traffic is calm. Does nothing until the event rates have
    /// settled.
    fn learn(&mut self, now: Micros) {
        let settled_at = self.started_at + RATE_TIME_CONSTANT_US as Micros;
        let elapsed = now.saturating_sub(self.learned_at.max(settled_at)) as f64;
        if now < self.started_at + 2 * RATE_TIME_CONSTANT_US as Micros || elapsed <= 0.0 {
            return;
        }
        self.learned_at = now;
        let (first_attempts, retries) = self.rates(now);
        let connections = self.connections.per_s(now);
        self.baseline[Self::hour(now)].learn(first_attempts + retries, connections, elapsed);
    }
}
