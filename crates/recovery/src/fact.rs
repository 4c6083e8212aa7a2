//! Facts that took time to learn: what each is about, how old it is, and how much it still says.
use crate::Micros;
use serde::{Deserialize, Serialize};

/// How long a drain of unknown age is kept, in µs: endpoint lists that come late are there by then.
const UNKNOWN_AGE_DRAIN_RETENTION: Micros = 40_000_000;

/// What a fact says. It is stored and sent by its number, which never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FactKind {
    /// How many requests a worker could take at a time.
    ConcurrencyLimit,
    /// The queueing delay of a worker, as part of the target for starting.
    QueueingDelay,
    /// The part of a worker's answers that were errors.
    ErrorRate,
    /// A worker was ejected, or in its recovery ramp after that.
    Ejected,
    /// A worker was told to drain. There is no fact of the contrary.
    Draining,
    /// The time that a function takes to load, in µs.
    LoadTime,
    /// What is usual at this router, by subject: first attempts and connections a second, and its pace. It is
    /// never shared.
    TrafficBaseline,
    /// A request, by its digest, was told to come back after so many ms. It is never shared.
    ScheduledRetry,
}

/// How long a fact counts, by its age in µs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// Up to this age it counts in full, then evenly less.
    pub full_weight: Micros,
    /// From this age on it counts nothing.
    pub expiry: Micros,
}

const fn lifetime(full_weight_s: Micros, expiry_s: Micros) -> Lifetime {
    Lifetime { full_weight: full_weight_s * 1_000_000, expiry: expiry_s * 1_000_000 }
}

impl FactKind {
    /// All kinds, by their numbers.
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

    /// How long a fact of this kind counts.
    pub fn lifetime(self) -> Lifetime {
        match self {
            // What a worker can take follows its load of the moment.
            FactKind::ConcurrencyLimit | FactKind::QueueingDelay => lifetime(5, 30),
            FactKind::ErrorRate | FactKind::Ejected => lifetime(10, 60),
            // In full to its end: the endpoint list says it anew, and lists that come late are there by then.
            FactKind::Draining => lifetime(60, 60),
            FactKind::LoadTime => lifetime(600, 3_600),
            FactKind::TrafficBaseline => lifetime(60, 600),
            // Longer than any time to come back.
            FactKind::ScheduledRetry => lifetime(30, 30),
        }
    }

    /// Whether other routers may say it too.
    pub fn is_shared(self) -> bool {
        !matches!(self, FactKind::TrafficBaseline | FactKind::ScheduledRetry)
    }
}

/// What a fact is about. The order of the fields is part of snapshots and messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FactKey {
    /// What the fact says.
    pub kind: FactKind,
    /// The worker, function or request, by its number.
    pub subject: u64,
    /// Of a worker: when this life of it began. Else 0.
    pub incarnation: u64,
}

/// One fact, as old as it is when it is handed over. The order of the fields is part of snapshots and
/// messages.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// What it is about.
    pub key: FactKey,
    /// The value, in the unit of its kind.
    pub value: f32,
    /// How long ago it was observed, in µs.
    pub age: Micros,
}

impl Fact {
    /// 1 while it counts in full, then evenly less, 0 when it says nothing any more.
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

    /// The same fact as old as it may be while it still counts, since its age cannot be known. A drain stays
    /// for as long as it takes to hear of it again.
    #[must_use]
    pub(crate) fn with_unknown_age(mut self) -> Self {
        let remaining = if self.key.kind == FactKind::Draining { UNKNOWN_AGE_DRAIN_RETENTION } else { 1 };
        self.age = self.age.max(self.key.kind.lifetime().expiry - remaining);
        self
    }
}
