//! Whether an attempt may have run, judged by what really happened on its connection.
use applepond::interface::Outcome;
use applepond_reactor::Closed;

/// How far a request got before its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// The connection never stood.
    NotOpen,
    /// It stood, and the kernel took no byte of the request.
    NothingWritten,
    /// The kernel took some of it: the worker may have seen as much, or all.
    Written,
}

pub fn reached(open: bool, sent_before: u64, sent: u64) -> Reached {
    match (open, sent > sent_before) {
        (false, _) => Reached::NotOpen,
        (true, false) => Reached::NothingWritten,
        (true, true) => Reached::Written,
    }
}

/// What an ended connection means for the attempt on it. A request of which no byte left has never run,
/// whatever the end looked like; one of which any byte left may have run, though the peer may never have read
/// it.
pub fn of_end(reached: Reached) -> Outcome {
    match reached {
        Reached::NotOpen | Reached::NothingWritten => Outcome::ConnectFailed,
        Reached::Written => Outcome::ConnectionLost,
    }
}

/// What this side's end means for a request of which nothing has left: it never ran. A connection that took
/// nothing until the time was up is as good as none.
pub fn of_unsent(outcome: Outcome) -> Outcome {
    if outcome == Outcome::TimedOut { Outcome::ConnectFailed } else { Outcome::Superseded }
}

/// Whether the same attempt may go out once more on a new connection, without a word to the module: only
/// where a kept connection had been closed by the worker while it lay idle, and nothing of the request had
/// left.
pub fn again(reached: Reached, kept: bool, why: Closed) -> bool {
    reached == Reached::NothingWritten && kept && why != Closed::Overflow
}

/// What a whole answer means. Only the worker's own mark proves that the request has not run: any other peer
/// on the way may answer 503 or 404 to a request that has.
pub fn of_answer(status: u16, mark: Option<&str>, event: bool) -> Outcome {
    match (status, mark) {
        (200, None) if event => Outcome::Finished,
        (503, Some("full")) => Outcome::Overloaded,
        (404, Some("missing")) => Outcome::NotLoaded,
        _ => Outcome::Error,
    }
}
