//! Retry safety at the connection: whether an attempt may have run, judged only by what happened on its
//! connection. `Control` decides from the [`Outcome`] given here whether the request may run again, so an
//! attempt of which any byte has left must never be reported as one that did not run.
//!
//! Pure functions without state, shared by the gateway and the platform's node.
use applepond::interface::Outcome;
use applepond_reactor::Closed;

/// How far a request had been sent when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// The connection was never established.
    NotConnected,
    /// It was established, and the kernel has taken no byte of the request.
    NothingSent,
    /// The kernel has taken some of it: the worker may have read any part of it, or all.
    Sent,
}

/// The progress of a request on a connection that is, or is not, established. `sent_before` and `sent` count
/// the bytes that the kernel had taken on it before the request, and has taken now.
pub fn send_progress(connected: bool, sent_before: u64, sent: u64) -> SendProgress {
    match (connected, sent > sent_before) {
        (false, _) => SendProgress::NotConnected,
        (true, false) => SendProgress::NothingSent,
        (true, true) => SendProgress::Sent,
    }
}

/// What the end of its connection means for an attempt. A request of which no byte has left has never run,
/// however the connection ended; one of which any byte has left may have run, though the peer may never have
/// read it.
pub fn on_disconnect(progress: SendProgress) -> Outcome {
    match progress {
        SendProgress::NotConnected | SendProgress::NothingSent => Outcome::ConnectFailed,
        SendProgress::Sent => Outcome::ConnectionLost,
    }
}

/// What it means that this side ends an attempt of which nothing has been sent: it never ran. A connection
/// that took nothing until the attempt's timeout counts as one that was never established.
pub fn on_local_end_unsent(outcome: Outcome) -> Outcome {
    if outcome == Outcome::TimedOut { Outcome::ConnectFailed } else { Outcome::Superseded }
}

/// Whether the same attempt may be sent on a new connection without reporting the first failure to `Control`:
/// only where a reused connection had been closed by the worker while it was idle, and nothing of the request
/// has been sent.
pub fn may_resend(progress: SendProgress, reused: bool, closed: Closed) -> bool {
    progress == SendProgress::NothingSent && reused && closed != Closed::Overflow
}

/// What a complete response means. Only the worker's own verdict, from its `applepond-outcome` header, proves
/// that the request has not run: a proxy on the way may answer 503 or 404 to a request that has run.
pub fn from_response(status: u16, verdict: Option<&str>, is_event: bool) -> Outcome {
    match (status, verdict) {
        (200, None) if is_event => Outcome::Finished,
        (503, Some("full")) => Outcome::Overloaded,
        (404, Some("missing")) => Outcome::NotLoaded,
        _ => Outcome::Error,
    }
}
