//! Classification of the traffic that a router sees: calm, more work, a storm of retries, the loop of one
//! client, or a slow day.
use crate::Micros;

/// Time constant in µs of the quick rates: a storm shows within one.
const QUICK_SPAN: f64 = 2_000_000.0;

/// Time constant in µs with which the usual rates of an hour of the day are learned.
const LEARNING_SPAN: f64 = 300_000_000.0;

/// An hour, in µs.
const HOUR: Micros = 3_600_000_000;

/// Hours of a day.
const HOURS: usize = 24;

/// Time in µs for which an hour must have been observed before its usual rates count.
const MIN_OBSERVED: f64 = QUICK_SPAN * 5.0;

/// Fraction of retries from which on it is a storm or a loop. Clients that retry one lost response in a
/// hundred are far below; when a data hall is cut off, each request comes back at least once.
const RETRY_FRACTION_HIGH: f64 = 0.3;

/// Fraction of retries below which a storm or a loop ends.
const RETRY_FRACTION_LOW: f64 = 0.1;

/// Connections opened, as a multiple of the usual, from which on that indicates a storm. Alone it proves
/// nothing, as more work opens connections too. Each indication lowers the fraction of retries that is
/// needed.
const CONNECTIONS_OVER_USUAL: f64 = 4.0;

/// Fraction of scheduled retries that come early from which on that indicates a storm too.
const EARLY_FRACTION: f64 = 0.5;

/// Arrivals, as a multiple of the usual, from which on it is more work.
const JUMP_OVER_USUAL: f64 = 2.0;

/// Events a second that are needed at least: with fewer, chance decides.
const MIN_RATE: f64 = 5.0;

/// Fraction of the retries that come from one client in a loop.
const ONE_CLIENT_FRACTION: f64 = 0.5;

/// Fraction of arrivals that complete below which a day is slow.
const SLOW_FRACTION: f64 = 0.7;

/// Time in µs for which the indications must be absent before a storm is over: it comes in waves.
const STORM_END_DELAY: Micros = 3_000_000;

/// What the traffic is classified as. The log and the state page print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Nothing unusual.
    Calm,
    /// More work than usual, few retries: no reason to reject any of it.
    Jump,
    /// Many clients retry.
    Storm,
    /// One client retries in a loop.
    Loop,
    /// No more than usual arrives, and much of it does not complete.
    Slow,
}

impl TrafficClass {
    fn is_retry_problem(self) -> bool {
        matches!(self, TrafficClass::Storm | TrafficClass::Loop)
    }
}

/// An exponentially decaying rate of events.
#[derive(Clone, Copy, Default)]
pub struct Rate {
    count: f64,
    at: Micros,
}

impl Rate {
    fn decayed(&self, now: Micros, span: f64) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / span).exp()
    }

    /// Counts one event.
    pub fn add(&mut self, now: Micros) {
        self.count = self.decayed(now, QUICK_SPAN) + 1.0;
        self.at = now;
    }

    /// Events a second.
    pub fn per_s(&self, now: Micros) -> f64 {
        self.decayed(now, QUICK_SPAN) / QUICK_SPAN * 1e6
    }
}

/// What is usual in one hour of the day.
#[derive(Clone, Copy, Default)]
struct UsualTraffic {
    arrivals_per_s: f64,
    connections_per_s: f64,
    /// For how long the hour was observed, in µs.
    observed: f64,
}

impl UsualTraffic {
    /// Moves the usual rates towards those that were observed for `elapsed` µs.
    fn learn(&mut self, arrivals_per_s: f64, connections_per_s: f64, elapsed: f64) {
        // At first a plain mean over the observed time, later an exponential one.
        let mean = elapsed / (self.observed + elapsed);
        let weight = mean.max(1.0 - (-elapsed / LEARNING_SPAN).exp()).min(1.0);
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
    /// Recent retries of the client that has most of them.
    heaviest_client: f64,
    /// Requests that completed.
    pub completed: Rate,
    /// Requests that the routing module rejected.
    pub rejected: Rate,
    /// Connections that were opened.
    pub connections: Rate,
    /// Retries that came when they were told to.
    pub on_time_retries: Rate,
    /// Retries that came before their time.
    pub early_retries: Rate,
    /// By hour of the day, as learned while nothing was unusual.
    usual: [UsualTraffic; HOURS],
    learned_at: Micros,
    /// The classification, and since when it holds.
    class: Option<(TrafficClass, Micros)>,
    /// Since when a storm or a loop shows no indications any more.
    quiet_since: Option<Micros>,
}

impl TrafficMonitor {
    /// Starts without any knowledge of what is usual.
    pub fn new(now: Micros) -> Self {
        TrafficMonitor { started_at: now, learned_at: now, ..TrafficMonitor::default() }
    }

    fn hour(now: Micros) -> usize {
        (now / HOUR) as usize % HOURS
    }

    /// Arrivals and connections a second that are usual now; `None` if this router has not observed enough
    /// of this hour or the one before.
    pub fn usual(&self, now: Micros) -> Option<(f64, f64)> {
        let hour = Self::hour(now);
        let learned =
            |hour: usize| Some(self.usual[hour % HOURS]).filter(|usual| usual.observed >= MIN_OBSERVED);
        let usual = learned(hour).or_else(|| learned(hour + HOURS - 1))?;
        Some((usual.arrivals_per_s, usual.connections_per_s))
    }

    /// Restores what was usual before a restart, unless this process has observed enough of the hour
    /// itself. It counts for as little observation as just suffices, so that what comes soon weighs more.
    pub fn restore_baseline(&mut self, now: Micros, arrivals_per_s: f64, connections_per_s: f64) {
        let usual = &mut self.usual[Self::hour(now)];
        if usual.observed < MIN_OBSERVED {
            *usual = UsualTraffic { arrivals_per_s, connections_per_s, observed: MIN_OBSERVED };
        }
    }

    /// What indicates a storm besides the fraction of retries: far more connections than usual, and
    /// scheduled retries that come early.
    pub fn storm_indications(&self, now: Micros) -> (bool, bool) {
        let opened = self.connections.per_s(now);
        let is_unusual = self.usual(now).is_some_and(|(_, usual)| opened >= CONNECTIONS_OVER_USUAL * usual);
        let (early, followed) = (self.early_retries.per_s(now), self.on_time_retries.per_s(now));
        let many_early = early >= MIN_RATE && early >= EARLY_FRACTION * (early + followed);
        (is_unusual && opened >= MIN_RATE, many_early)
    }

    /// A request arrived; `client_retries`: recent retries of its client.
    pub fn record_arrival(&mut self, now: Micros, retry: bool, client_retries: f64) {
        if retry {
            self.retries.add(now);
            self.heaviest_client = self.heaviest_client.max(client_retries);
        } else {
            self.first_attempts.add(now);
        }
        self.reclassify(now);
    }

    /// First attempts and retries a second.
    pub fn rates(&self, now: Micros) -> (f64, f64) {
        (self.first_attempts.per_s(now), self.retries.per_s(now))
    }

    /// Since when the classification holds.
    pub fn since(&self) -> Micros {
        self.class.map_or(self.started_at, |(_, since)| since)
    }

    /// The classification.
    pub fn class(&self) -> TrafficClass {
        self.class.map_or(TrafficClass::Calm, |(class, _)| class)
    }

    /// The classification by the present rates alone.
    fn classify(&self, now: Micros) -> TrafficClass {
        let (first_attempts, retries) = self.rates(now);
        let arrivals = first_attempts + retries;
        if retries >= MIN_RATE && retries >= self.retry_threshold(now) * arrivals {
            // The quick rate holds about two seconds of retries.
            let is_one_client = self.heaviest_client >= ONE_CLIENT_FRACTION * retries * QUICK_SPAN / 1e6;
            return if is_one_client { TrafficClass::Loop } else { TrafficClass::Storm };
        }
        let Some((usual, _)) = self.usual(now) else { return TrafficClass::Calm };
        if arrivals >= JUMP_OVER_USUAL * usual && arrivals >= MIN_RATE {
            return TrafficClass::Jump;
        }
        let completed = self.completed.per_s(now);
        let rejected = self.rejected.per_s(now);
        if arrivals >= MIN_RATE && completed < SLOW_FRACTION * arrivals && rejected > completed / 2.0 {
            return TrafficClass::Slow;
        }
        TrafficClass::Calm
    }

    /// Fraction of retries from which on it is a storm or a loop.
    fn retry_threshold(&self, now: Micros) -> f64 {
        if self.class().is_retry_problem() {
            return RETRY_FRACTION_LOW;
        }
        let (many_connections, many_early) = self.storm_indications(now);
        let indications = 1.0 + f64::from(u8::from(many_connections)) + f64::from(u8::from(many_early));
        RETRY_FRACTION_HIGH / indications
    }

    fn reclassify(&mut self, now: Micros) {
        let observed = self.classify(now);
        if self.class().is_retry_problem() && !observed.is_retry_problem() {
            // Between two waves of a storm it looks calm for a moment.
            let since = *self.quiet_since.get_or_insert(now);
            if now < since + STORM_END_DELAY {
                return;
            }
        }
        self.quiet_since = None;
        if self.class.is_none_or(|(class, _)| class != observed) {
            self.class = Some((observed, now));
            if !observed.is_retry_problem() {
                self.heaviest_client = 0.0;
            }
        }
        if observed == TrafficClass::Calm {
            self.learn(now);
        }
    }

    /// Learns what is usual, only while nothing is unusual and once the quick rates have settled.
    fn learn(&mut self, now: Micros) {
        let settled_at = self.started_at + QUICK_SPAN as Micros;
        let elapsed = now.saturating_sub(self.learned_at.max(settled_at)) as f64;
        if now < self.started_at + 2 * QUICK_SPAN as Micros || elapsed <= 0.0 {
            return;
        }
        self.learned_at = now;
        let (first_attempts, retries) = self.rates(now);
        let connections = self.connections.per_s(now);
        self.usual[Self::hour(now)].learn(first_attempts + retries, connections, elapsed);
    }
}
