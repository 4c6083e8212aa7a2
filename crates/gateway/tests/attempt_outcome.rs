//! What happened on a connection says whether an attempt may have run.
use applepond::interface::Outcome;
use applepond_gateway::attempt_outcome::{
    SendProgress, from_response, may_resend, on_disconnect, send_progress,
};
use applepond_reactor::Closed;
use test_case::test_case;

#[test_case(false, 0, 0, Outcome::ConnectFailed; "never open")]
#[test_case(true, 0, 0, Outcome::ConnectFailed; "open, nothing written")]
#[test_case(true, 700, 700, Outcome::ConnectFailed; "kept, nothing of this one written")]
#[test_case(true, 700, 701, Outcome::ConnectionLost; "kept, one byte written")]
#[test_case(true, 0, 9000, Outcome::ConnectionLost; "all written")]
fn an_attempt_ran_only_if_a_byte_was_sent(open: bool, before: u64, sent: u64, want: Outcome) {
    assert_eq!(on_disconnect(send_progress(open, before, sent)), want);
}

#[test_case(SendProgress::NothingSent, true, Closed::Reset, true; "kept and closed meanwhile")]
#[test_case(SendProgress::NothingSent, false, Closed::Reset, false; "a new one: the worker fails")]
#[test_case(SendProgress::Sent, true, Closed::Reset, false; "a byte has left: it may have run")]
#[test_case(SendProgress::NotConnected, false, Closed::NotEstablished, false; "refused")]
fn only_an_unsent_attempt_on_a_reused_connection_is_resent(
    progress: SendProgress,
    kept: bool,
    why: Closed,
    want: bool,
) {
    assert_eq!(may_resend(progress, kept, why), want);
}

#[test_case(200, None, true, Outcome::Finished; "finished")]
#[test_case(200, None, false, Outcome::Error; "garbage with a good status")]
#[test_case(503, Some("full"), false, Outcome::Overloaded; "full, by the worker's own mark")]
#[test_case(503, None, false, Outcome::Error; "503 of who knows whom proves nothing")]
#[test_case(404, Some("missing"), false, Outcome::NotLoaded; "missing")]
#[test_case(404, None, false, Outcome::Error; "404 without the mark")]
#[test_case(500, Some("full"), false, Outcome::Error; "a mark that does not fit its status")]
fn only_the_workers_verdict_proves_that_nothing_ran(
    status: u16,
    mark: Option<&str>,
    event: bool,
    want: Outcome,
) {
    assert_eq!(from_response(status, mark, event), want);
}
