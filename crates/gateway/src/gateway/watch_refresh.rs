//! Decides when a silent endpoint list is requested again, on a second connection. A watch that nothing
//! arrives on may have no changes to report, or its connection may be half-open.
use applepond::interface::Micros;
use oorandom::Rand32;

/// Minimum silence after which the list is requested again.
const MIN_SILENCE: Micros = 4_000_000;
/// Bytes of refreshed lists per second, on average: a fifth of the 20 kB/s that a router may use for control.
const REFRESH_BYTES_PER_S: u64 = 4_000;
/// Maximum time that a second connection waits for its first line.
const MAX_RESPONSE_TIMEOUT: Micros = 60_000_000;

/// When to request the list again.
pub(super) struct WatchRefresh {
    rng: Rand32,
    /// When bytes last arrived from the list's server.
    last_received: Micros,
    /// Size of the last full list.
    list_bytes: u64,
    /// When the next refresh begins if nothing arrives until then, or when the one in progress is given up.
    due_at: Micros,
    /// Response timeout of the next refresh. It doubles while there is no response.
    response_timeout: Micros,
}

impl WatchRefresh {
    /// Creates the schedule of one router. The seed differs between routers, so that they do not all request
    /// the list at the same time.
    pub(super) fn new(now: Micros, seed: u64) -> Self {
        let mut refresh = WatchRefresh {
            rng: Rand32::new(seed),
            last_received: now,
            list_bytes: 0,
            due_at: 0,
            response_timeout: MIN_SILENCE,
        };
        refresh.received(now);
        refresh
    }

    /// Time since bytes last arrived.
    pub(super) fn silence(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_received)
    }

    /// Whether a refresh should begin, or the one in progress be given up.
    pub(super) fn is_due(&self, now: Micros) -> bool {
        now >= self.due_at
    }

    /// Notes that bytes have arrived.
    pub(super) fn received(&mut self, now: Micros) {
        self.last_received = now;
        self.response_timeout = MIN_SILENCE;
        self.wait_for_silence(now);
    }

    /// Notes the size of a full list.
    pub(super) fn full_list_received(&mut self, now: Micros, bytes: usize) {
        self.list_bytes = bytes as u64;
        self.wait_for_silence(now);
    }

    /// Notes that a refresh has begun. It is given up after its response timeout.
    pub(super) fn begun(&mut self, now: Micros) {
        self.due_at = now + self.response_timeout;
        self.response_timeout = (self.response_timeout * 2).min(MAX_RESPONSE_TIMEOUT);
    }

    /// Notes that a refresh has ended without a list.
    pub(super) fn failed(&mut self, now: Micros) {
        self.wait_for_silence(now);
    }

    /// Schedules the next refresh, by up to a half later than necessary.
    fn wait_for_silence(&mut self, now: Micros) {
        let by_size = self.list_bytes * 1_000_000 / REFRESH_BYTES_PER_S;
        let silence = MIN_SILENCE.max(by_size);
        let jitter = f64::from(self.rng.rand_float()) / 2.0;
        self.due_at = now + silence + (silence as f64 * jitter) as Micros;
    }
}
