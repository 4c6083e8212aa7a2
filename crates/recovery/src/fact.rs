//! Learned facts: their subject, age and weight.
use crate::Micros;
use serde::{Deserialize, Serialize};

/// How long a drain of unknown age is kept, in µs. Even late endpoint lists have arrived by then.
const UNKNOWN_AGE_DRAIN_RETENTION: Micros = 40_000_000;

/// The kind of a fact. It is encoded by its index, so variants must not be reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FactKind {
    /// The number of requests that a worker could process concurrently.
    ConcurrencyLimit,
    /// The queueing delay of a worker, as a fraction of the start target.
    QueueingDelay,
    /// The fraction of a worker's responses that were errors.
    ErrorRate,
    /// The worker was ejected, or was in the recovery ramp after an ejection.
    Ejected,
    /// The worker was draining. The absence of a drain is not recorded as a fact.
    Draining,
    /// The load time of a function, in µs.
    LoadTime,
    /// The normal traffic of this router, by subject: first attempts per second, connections per second, and
    /// the fleet's completion rate. Never shared.
    TrafficBaseline,
    /// A request, identified by its digest, was told to retry after this many ms. Never shared.
    ScheduledRetry,
}

/// The weight of a fact by its age, in µs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// Up to this age a fact has full weight. After that its weight decreases linearly.
    pub full_weight: Micros,
    /// From this age on a fact has no weight.
    pub expiry: Micros,
}

const fn lifetime(full_weight_s: Micros, expiry_s: Micros) -> Lifetime {
    Lifetime { full_weight: full_weight_s * 1_000_000, expiry: expiry_s * 1_000_000 }
}

impl FactKind {
    /// All kinds, in the order of their indexes.
    pub const EACH: [FactKind; 8] = [
        FactKind::ConcurrencyLimit,
        FactKind::QueueingDelay,
        FactKind::ErrorRate,
        FactKind::Ejected,
        FactKind::Draining,
        FactKind::LoadTime,
        FactKind::TrafficBaseline,
        FactKind::ScheduledRetry,
    ];

    /// The lifetime of facts of this kind.
    pub fn lifetime(self) -> Lifetime {
        match self {
            // A worker's capacity changes quickly with its current load.
            FactKind::ConcurrencyLimit | FactKind::QueueingDelay => lifetime(5, 30),
            FactKind::ErrorRate | FactKind::Ejected => lifetime(10, 60),
            // Full weight until expiry: the endpoint list repeats the drain, and even late lists have arrived
            // by then.
            FactKind::Draining => lifetime(60, 60),
            FactKind::LoadTime => lifetime(600, 3_600),
            FactKind::TrafficBaseline => lifetime(60, 600),
            // Longer than any retry delay.
            FactKind::ScheduledRetry => lifetime(30, 30),
        }
    }

    /// Whether facts of this kind are exchanged with other routers.
    pub fn is_shared(self) -> bool {
        !matches!(self, FactKind::TrafficBaseline | FactKind::ScheduledRetry)
    }
}

/// The key of a fact. The order of the fields is part of the snapshot and message formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FactKey {
    /// The kind of the fact.
    pub kind: FactKind,
    /// The id of the worker, function or request that the fact is about.
    pub subject: u64,
    /// The start time of the worker's process if the subject is a worker, else 0.
    pub incarnation: u64,
}

/// A fact with its current age. The order of the fields is part of the snapshot and message formats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// The key.
    pub key: FactKey,
    /// The value, in the unit of the kind.
    pub value: f32,
    /// The time since the observation, in µs.
    pub age: Micros,
}

impl Fact {
    /// The weight by age: 1 at first, then linearly decreasing to 0 at expiry.
    pub fn weight(&self) -> f64 {
        let Lifetime { full_weight, expiry } = self.key.kind.lifetime();
        if self.age >= expiry {
            return 0.0;
        }
        if self.age <= full_weight {
            return 1.0;
        }
        1.0 - (self.age - full_weight) as f64 / (expiry - full_weight) as f64
    }

    /// The fact with the highest age at which it still has weight, for facts of unknown age. A drain is kept
    /// long enough for the endpoint list to repeat it.
    #[must_use]
    pub(crate) fn with_unknown_age(mut self) -> Self {
        let remaining = if self.key.kind == FactKind::Draining { UNKNOWN_AGE_DRAIN_RETENTION } else { 1 };
        self.age = self.age.max(self.key.kind.lifetime().expiry - remaining);
        self
    }
}
