//! What a router knows of one worker.

use crate::averages::FadingCount;
use crate::interface::{CustomerId, FunctionId, Micros, RackId, ZoneId};
use std::collections::BTreeMap;

/// What a router knows of one function at one worker.
#[derive(Clone, Default)]
pub(crate) struct FunctionAtWorker {
    /// This router's attempts in flight there.
    pub in_flight: u32,
    /// Requests of other routers for the function there, as reported or as expected from this router's own.
    pub others_in_flight: FadingCount,
    /// Until when the function is assumed to be loaded.
    pub loaded_until: Micros,
    /// Since when this router waits for a load that it caused.
    pub loading_since: Option<Micros>,
    /// Until when the worker counts as overloaded for the function.
    pub overloaded_until: Micros,
}

impl FunctionAtWorker {
    /// When the entry says nothing more, where no attempt is in flight and no load in progress.
    pub(crate) fn expires_at(&self) -> Micros {
        self.loaded_until.max(self.overloaded_until)
    }

    /// Whether nothing of this router's is going on there.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.loading_since.is_none()
    }
}

/// What is known of functions at one worker. Boxed, as most workers have one or two and a node of the map
/// has room for many.
pub(crate) type FunctionsAtWorker = BTreeMap<FunctionId, Box<FunctionAtWorker>>;

/// The adaptive limit on the requests of all routers at a worker.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Requests of all routers; 0 until a throughput is known.
    pub limit: f64,
    /// Response times as a multiple of the latency objective, as a moving average.
    pub queueing_delay: f64,
    /// When the limit may be decreased again.
    pub next_decrease_at: Micros,
}

/// What outlier ejection knows of a worker.
#[derive(Clone, Debug, Default)]
pub struct OutlierState {
    /// Share of errors among responses, as a moving average.
    pub error_rate: f64,
    /// When a connection was last lost under a request.
    pub last_connection_loss: Micros,
    /// Until when the worker is ejected.
    pub ejected_until: Option<Micros>,
    /// Length of the next ejection.
    pub backoff: Micros,
    /// Requests at once during the recovery ramp: set from the ejection on, none once the ramp has ended.
    pub recovery_limit: Option<u32>,
}

impl OutlierState {
    /// Whether the worker is ejected at `now`.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }
}

/// Work that was sent to a worker while it was warming up.
pub(crate) struct WarmupWork {
    /// When it leaves the window over which work is counted.
    pub expires_at: Micros,
    /// In requests of mean service time.
    pub amount: f64,
}

/// What a router knows of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    /// The endpoint list has it as ready.
    pub ready: bool,
    /// When it started; identifies the incarnation.
    pub up_since: Micros,
    pub zone: Option<ZoneId>,
    pub rack: RackId,
    /// Capacity relative to other workers.
    pub weight: f64,
    /// This router's attempts in flight there.
    pub in_flight: u32,
    /// Those of them that wait for a load.
    pub awaiting_load: u32,
    /// Requests of other routers there.
    pub others_in_flight: FadingCount,
    pub concurrency: ConcurrencyLimit,
    pub outlier: OutlierState,
    /// When a response last came; before the first, when this router learned of the incarnation.
    pub last_response_at: Micros,
    /// When the latest sent of the answered attempts was sent.
    pub last_answered_sent_at: Micros,
    /// What it was sent while it was warming up, oldest first.
    pub warmup_work: Vec<WarmupWork>,
    /// Customers that it rejects though it has capacity, and until when that is assumed.
    pub rejects_customer_until: BTreeMap<CustomerId, Micros>,
    pub functions: FunctionsAtWorker,
    /// When the next of what expires by itself does; maintained by the worker table.
    pub next_expiry: Micros,
}

impl Worker {
    /// This router's requests there that run or are about to: those that wait for a load use no core.
    pub(crate) fn running(&self) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.awaiting_load))
    }

    /// Requests of all routers there. With many routers the own ones say little, so reports of the others'
    /// count.
    pub(crate) fn total_in_flight(&self, tick: u64) -> f64 {
        self.running() + self.others_in_flight.at(tick)
    }

    /// Whether the function is assumed to be loaded at `now`.
    pub(crate) fn has_loaded(&self, now: Micros, function: FunctionId) -> bool {
        self.functions.get(&function).is_some_and(|known| known.loaded_until > now)
    }

    /// Replaces an earlier incarnation, of which only the attempts in flight remain. Returns the functions
    /// that are lost with it.
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

    /// When the next of what expires by itself does: a function's entry, or work sent while warming up.
    pub(crate) fn earliest_expiry(&self) -> Micros {
        let functions = self.functions.values().filter(|known| known.is_idle());
        let functions = functions.map(|known| known.expires_at());
        let work = self.warmup_work.first().map(|work| work.expires_at);
        functions.chain(work).min().unwrap_or(Micros::MAX)
    }
}
