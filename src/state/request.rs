//! Requests in progress and their attempts.

use crate::interface::{CustomerId, FunctionId, Micros, RackId, RetrySafety, WorkerId, WorkloadId, ZoneId};

/// Identifies an attempt: its request and its zero-based number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub request: crate::interface::RequestId,
    pub number: usize,
}

/// Whether an attempt may have been executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// No result yet.
    InFlight,
    /// Ended, and may have been executed.
    MayHaveRun,
    /// Ended without having been executed.
    NeverRan,
}

pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub rack: RackId,
    pub zone: Option<ZoneId>,
    pub sent_at: Micros,
    /// When its result arrived; equal to [`Self::sent_at`] while in flight.
    pub ended_at: Micros,
    pub state: AttemptState,
}

/// A request without a final response.
pub(crate) struct Request {
    pub function: FunctionId,
    pub workload: WorkloadId,
    /// Retry safety that was configured when the request arrived.
    pub retry_safety: RetrySafety,
    pub customer: Option<CustomerId>,
    /// Arrival time, less the time already spent elsewhere.
    pub arrived_at: Micros,
    pub deadline: Micros,
    /// Priority weight in thousandths; higher values are dispatched first.
    pub priority: u64,
    /// Random bits drawn once per request, so that repeated selections make the same draws.
    pub random_bits: u64,
    pub attempts: Vec<Attempt>,
    /// Whether the response is being streamed to the client.
    pub response_started: bool,
    /// Whether it can no longer meet its latency objective.
    pub late: bool,
}

impl Request {
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// The attempts that were or may have been executed, in the order sent.
    pub(crate) fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverRan)
    }
}
