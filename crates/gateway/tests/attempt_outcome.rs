//! Classification of attempts by the events on their connections.
use applepond::interface::Outcome;
use applepond_gateway::attempt_outcome::{
    SendProgress, from_response, may_resend, on_disconnect, send_progress,
};
use applepond_reactor::Closed;
use test_case::test_case;

#[test_case(false, 0, 0, Outcome::ConnectFailed; "not connected")]
#[test_case(true, 0, 0, Outcome::ConnectFailed; "connected, nothing sent")]
#[test_case(true, 700, 700, Outcome::ConnectFailed; "reused, nothing of this request sent")]
#[test_case(true, 700, 701, Outcome::ConnectionLost; "reused, one byte sent")]
#[test_case(true, 0, 9000, Outcome::ConnectionLost; "all sent")]
fn an_attempt_may_have_run_only_if_a_byte_was_sent(
    connected: bool,
    sent_before: u64,
    sent: u64,
    expected: Outcome,
) {
    assert_eq!(on_disconnect(send_progress(connected, sent_before, sent)), expected);
}

#[test_case(SendProgress::NothingSent, true, Closed::Reset, true; "closed by the worker while idle")]
#[test_case(SendProgress::NothingSent, false, Closed::Reset, false; "new connection: the worker fails")]
#[test_case(SendProgress::Sent, true, Closed::Reset, false; "a byte was sent: it may have run")]
#[test_case(SendProgress::NotConnected, false, Closed::NotEstablished, false; "refused")]
fn only_an_unsent_attempt_on_a_reused_connection_is_resent(
    progress: SendProgress,
    reused: bool,
    reason: Closed,
    expected: bool,
) {
    assert_eq!(may_resend(progress, reused, reason), expected);
}

#[test_case(200, None, true, Outcome::Finished; "finished")]
#[test_case(200, None, false, Outcome::Error; "not an event, despite status 200")]
#[test_case(503, Some("full"), false, Outcome::Overloaded; "full, as reported by the worker")]
#[test_case(503, None, false, Outcome::Error; "503 without a reported outcome, possibly by a proxy")]
#[test_case(404, Some("missing"), false, Outcome::NotLoaded; "missing")]
#[test_case(404, None, false, Outcome::Error; "404 without a reported outcome")]
#[test_case(500, Some("full"), false, Outcome::Error; "reported outcome that does not match the status")]
fn only_the_outcome_reported_by_the_worker_proves_that_nothing_ran(
    status: u16,
    reported: Option<&str>,
    is_event: bool,
    expected: Outcome,
) {
    assert_eq!(from_response(status, reported, is_event), expected);
}
