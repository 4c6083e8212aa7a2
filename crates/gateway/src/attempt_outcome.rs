//! Classification of attempts: whether an attempt may have run, judged only by the events on its connection.
//! From the [`Outcome`] determined here, `Control` decides whether the request may run again. An attempt of
//! which any byte has been sent must therefore never be reported as one that did not run.
//!
//! Pure functions, shared by the gateway and the platform's node.
use applepond::interface::Outcome;
use applepond_reactor::Closed;

/// How much of a request had been sent when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// The connection was never established.
    NotConnected,
    /// The connection was established, but the kernel has accepted no byte of the request for sending.
    NothingSent,
    /// The kernel has accepted some bytes of the request; the worker may have read any part of it, or all.
    Sent,
}

/// Returns the progress of a request. `connected` is whether its connection was established; `sent_before`
/// and `sent` are the bytes that the kernel had accepted on the connection before the request, and until now.
pub fn send_progress(connected: bool, sent_before: u64, sent: u64) -> SendProgress {
    match (connected, sent > sent_before) {
        (false, _) => SendProgress::NotConnected,
        (true, false) => SendProgress::NothingSent,
        (true, true) => SendProgress::Sent,
    }
}

/// Returns the outcome of an attempt whose connection has ended. If no byte was sent, the request has not
/// run, however the connection ended. If any byte was sent, it may have run, even if the peer never read it.
pub fn on_disconnect(progress: SendProgress) -> Outcome {
    match progress {
        SendProgress::NotConnected | SendProgress::NothingSent => Outcome::ConnectFailed,
        SendProgress::Sent => Outcome::ConnectionLost,
    }
}

/// Returns the outcome of an attempt that this side ends, with `outcome` as the cause, before anything was
/// sent: it never ran. A connection that accepted no byte until the attempt's timeout counts as never
/// established.
pub fn on_local_end_unsent(outcome: Outcome) -> Outcome {
    if outcome == Outcome::TimedOut { Outcome::ConnectFailed } else { Outcome::Superseded }
}

/// Whether an attempt may be sent again on a new connection without reporting the failure to `Control`: only
/// if the worker had closed a reused connection while it was idle, and nothing of the request was sent.
pub fn may_resend(progress: SendProgress, reused: bool, closed: Closed) -> bool {
    progress == SendProgress::NothingSent && reused && closed != Closed::Overflow
}

/// Returns the outcome of an attempt with a complete response. Only the outcome that the worker reports in
/// its header `applepond-outcome` proves that the request has not run: an intermediate proxy may respond with
/// 503 or 404 to a request that has run.
pub fn from_response(status: u16, reported: Option<&str>, is_event: bool) -> Outcome {
    match (status, reported) {
        (200, None) if is_event => Outcome::Finished,
        (503, Some("full")) => Outcome::Overloaded,
        (404, Some("missing")) => Outcome::NotLoaded,
        _ => Outcome::Error,
    }
}
