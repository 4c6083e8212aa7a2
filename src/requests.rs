//! Requests that a router has taken and not ended, and their attempts. State only, no decision.
use crate::interface::*;

/// What is known of one attempt with regard to a repeat.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    /// It is out.
    Out,
    /// It is over and may have had its effect.
    MayHaveRun,
    /// It is over and had none.
    NeverRan,
}

/// One attempt at a server.
pub(crate) struct Tried {
    pub server: WorkerId,
    pub rack: RackId,
    pub zone: Option<ZoneId>,
    pub sent: Micros,
    pub closed: Micros,
    pub fate: Fate,
}

/// One request.
pub(crate) struct Job {
    pub function: FunctionId,
    pub workload: WorkloadId,
    /// By the terms that it was taken under.
    pub effect: RetrySafety,
    pub customer: Option<CustomerId>,
    pub came: Micros,
    pub deadline: Micros,
    pub value: u64,
    /// The request's own draw, the same at each look.
    pub chance: u64,
    pub tried: Vec<Tried>,
    /// The answer is being passed on.
    pub streaming: bool,
    /// It has lost its start target.
    pub late: bool,
}
