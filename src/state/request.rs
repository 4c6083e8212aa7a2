//! Requests in progress and their attempts.

use crate::interface::{CustomerId, FunctionId, Micros, RackId, RetrySafety, WorkerId, WorkloadId, ZoneId};

/// An attempt of a request, by its number from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub request: crate::interface::RequestId,
    pub number: usize,
}

/// What is known of an attempt with regard to a repetition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// No result has come yet.
    InFlight,
    /// It is over and may have been executed.
    MayHaveRun,
    /// It is over and was not executed.
    NeverRan,
}

/// An attempt at a worker.
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub rack: RackId,
    pub zone: Option<ZoneId>,
    pub sent_at: Micros,
    /// When its result came; [`Self::sent_at`] while it is in flight.
    pub ended_at: Micros,
    pub state: AttemptState,
}

/// A request that has not got its final response.
pub(crate) struct Request {
    pub function: FunctionId,
    pub workload: WorkloadId,
    /// As configured when the request arrived.
    pub retry_safety: RetrySafety,
    pub customer: Option<CustomerId>,
    /// When it arrived, less the time that it spent elsewhere before.
    pub arrived_at: Micros,
    pub deadline: Micros,
    /// Value in thousandths of a priority weight of 1: higher goes first.
    pub priority: u64,
    /// The request's own random bits, the same at each selection of a worker.
    pub random_bits: u64,
    pub attempts: Vec<Attempt>,
    /// The response is being passed on to the client.
    pub response_started: bool,
    /// It can no longer meet its latency objective.
    pub late: bool,
}

impl Request {
    /// Number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// The attempts that have been executed or may have been, in the order in which they were sent.
    pub(crate) fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverRan)
    }
}
