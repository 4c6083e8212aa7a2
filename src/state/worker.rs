//! State of one worker.

use crate::averages::DecayingAmount;
use crate::interface::{CustomerId, FunctionId, Micros, RackId, ZoneId};
use std::collections::BTreeMap;

/// State of one function at one worker.
#[derive(Clone, Default)]
pub(crate) struct FunctionAtWorker {
    /// This router's attempts in flight.
    pub in_flight: u32,
    /// Other routers' requests for the function, as reported or as estimated from this router's own.
    pub others_in_flight: DecayingAmount,
    /// Time until which the function is assumed to be loaded.
    pub loaded_until: Micros,
    /// Start of a load that this router triggered and waits for.
    pub loading_since: Option<Micros>,
    /// Time until which the worker counts as overloaded for this function.
    pub overloaded_until: Micros,
}

impl FunctionAtWorker {
    /// When the entry becomes obsolete, provided that it is idle.
    pub(crate) fn expires_at(&self) -> Micros {
        self.loaded_until.max(self.overloaded_until)
    }

    /// Whether no attempt is in flight and no load in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.loading_since.is_none()
    }
}

/// Functions at one worker. Values are boxed because most workers have only one or two functions, while a
/// map node allocates space for many.
pub(crate) type FunctionsAtWorker = BTreeMap<FunctionId, Box<FunctionAtWorker>>;

/// Adaptive limit on the requests of all routers at a worker.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Maximum concurrent requests, over all routers; 0 until the throughput is known.
    pub limit: f64,
    /// Moving average of response times, as a multiple of the latency objective.
    pub queueing_delay: f64,
    /// Earliest time of the next decrease.
    pub next_decrease_at: Micros,
}

/// Outlier ejection state of a worker.
#[derive(Clone, Debug, Default)]
pub struct OutlierState {
    /// Moving average of the share of errors among responses.
    pub error_rate: f64,
    /// When a connection was last lost under a request.
    pub last_connection_loss: Micros,
    /// End of the current ejection, if any.
    pub ejected_until: Option<Micros>,
    /// Duration of the next ejection.
    pub backoff: Micros,
    /// Concurrent requests allowed during the recovery ramp; set by an ejection, `None` once the ramp has
    /// ended.
    pub recovery_limit: Option<u32>,
}

impl OutlierState {
    /// Whether the worker is ejected at `now`.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }
}

/// Work sent to a worker while it was warming up.
pub(crate) struct WarmupWork {
    /// When it drops out of the window over which work is summed.
    pub expires_at: Micros,
    /// In units of the mean service time.
    pub amount: f64,
}

/// State of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    /// Whether the endpoint list marks it as ready.
    pub ready: bool,
    /// Start time, which identifies the incarnation.
    pub up_since: Micros,
    pub zone: Option<ZoneId>,
    pub rack: RackId,
    /// Capacity relative to other workers.
    pub weight: f64,
    /// This router's attempts in flight.
    pub in_flight: u32,
    /// The attempts in flight that wait for a load.
    pub awaiting_load: u32,
    /// Other routers' requests.
    pub others_in_flight: DecayingAmount,
    pub concurrency: ConcurrencyLimit,
    pub outlier: OutlierState,
    /// Time of the last response, or of learning about the incarnation if there was none.
    pub last_response_at: Micros,
    /// The latest send time of any answered attempt.
    pub last_answered_sent_at: Micros,
    /// Work sent during warm-up, oldest first.
    pub warmup_work: Vec<WarmupWork>,
    /// Customers that it rejects although it has capacity, and until when this is assumed.
    pub rejects_customer_until: BTreeMap<CustomerId, Micros>,
    pub functions: FunctionsAtWorker,
    /// Earliest expiry of any of its entries; maintained by the worker table.
    pub next_expiry: Micros,
}

impl Worker {
    /// This router's requests that are running or about to run. Requests that wait for a load use no core.
    pub(crate) fn running(&self) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.awaiting_load))
    }

    /// Requests of all routers at the worker. With many routers, this router's own requests are a small
    /// part, so the others' requests, as reported or estimated, are included.
    pub(crate) fn total_in_flight(&self, tick: u64) -> f64 {
        self.running() + self.others_in_flight.at(tick)
    }

    /// Whether the function is assumed to be loaded at `now`.
    pub(crate) fn has_loaded(&self, now: Micros, function: FunctionId) -> bool {
        self.functions.get(&function).is_some_and(|known| known.loaded_until > now)
    }

    /// Replaces an earlier incarnation; only its attempts in flight are kept. Returns the functions that
    /// are lost.
    pub(crate) fn replace_incarnation(&mut self, new: Worker) -> FunctionsAtWorker {
        let old = std::mem::replace(self, new);
        self.in_flight = old.in_flight;
        self.awaiting_load = old.awaiting_load;
        self.next_expiry = old.next_expiry;
        let (kept, lost): (FunctionsAtWorker, FunctionsAtWorker) =
            old.functions.into_iter().partition(|(_, known)| known.in_flight > 0);
        let only_in_flight = |known: &FunctionAtWorker| {
            Box::new(FunctionAtWorker { in_flight: known.in_flight, ..FunctionAtWorker::default() })
        };
        self.functions = kept.iter().map(|(id, known)| (*id, only_in_flight(known))).collect();
        lost
    }

    /// Earliest expiry of a function's entry or of warm-up work.
    pub(crate) fn earliest_expiry(&self) -> Micros {
        let functions = self.functions.values().filter(|known| known.is_idle());
        let functions = functions.map(|known| known.expires_at());
        let work = self.warmup_work.first().map(|work| work.expires_at);
        functions.chain(work).min().unwrap_or(Micros::MAX)
    }
}
