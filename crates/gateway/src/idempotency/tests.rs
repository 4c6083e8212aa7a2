//! Replay of cached answers, and the limits of the cache.
use super::{Completion, FinalOutcome, IdempotencyKey, IdempotencyTable, Lookup};
use crate::deployment::AnswerRetention;
use crate::event_identity::{EventContent, EventIdentity};
use applepond::interface::{IdempotencyScope, Micros, RequestId, RetrySafety};
use applepond_http::encode::HeaderLines;
use std::rc::Rc;
use test_case::test_case;

const WINDOW: Micros = 5;
const KEYED: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: WINDOW };

fn key(number: u32) -> IdempotencyKey {
    IdempotencyKey::new("/desk", &number.to_string())
}

/// An event with the key of this number and this data.
fn event_with(number: u32, data: &[u8]) -> EventIdentity {
    let content = EventContent::new(Some("quote"), &HeaderLines::default(), None, data);
    EventIdentity { key: key(number), content }
}

fn event(number: u32) -> EventIdentity {
    event_with(number, b"{}")
}

fn request(number: u8) -> RequestId {
    RequestId([number; 36])
}

fn table<A>(time: Micros, max_answers: usize, max_bytes: usize) -> IdempotencyTable<A> {
    IdempotencyTable::new(AnswerRetention { time, max_answers, max_bytes })
}

#[test_case(FinalOutcome::Finished, RetrySafety::Idempotent, true; "finished idempotent")]
#[test_case(FinalOutcome::Finished, RetrySafety::AtMostOnce, true; "finished at-most-once")]
#[test_case(FinalOutcome::Rejected, RetrySafety::AtMostOnce, false; "rejected may be retried")]
#[test_case(FinalOutcome::Failed, RetrySafety::Idempotent, false; "failed idempotent may run again")]
#[test_case(FinalOutcome::Failed, KEYED, true; "failed keyed may have run")]
#[test_case(FinalOutcome::Failed, RetrySafety::AtMostOnce, true; "failed at-most-once may have run")]
fn answers_are_replayed_where_a_repeat_could_do_harm(
    outcome: FinalOutcome,
    retry_safety: RetrySafety,
    replayed: bool,
) {
    let mut table = table(1000, 10, 1000);
    assert_eq!(table.look_up(0, &event(1)), Lookup::New);
    table.start(event(1), request(1));
    assert_eq!(table.look_up(5, &event(1)), Lookup::InProgress(request(1)), "while it runs");
    table.complete(
        10,
        &key(1),
        request(1),
        Completion { outcome, retry_safety, answer: Rc::new("answer"), bytes: 6, may_have_run: false },
    );
    let expected = if replayed { Lookup::Completed(Rc::new("answer")) } else { Lookup::New };
    assert_eq!(table.look_up(1009, &event(1)), expected);
    assert_eq!(table.look_up(1010, &event(1)), Lookup::New, "expired");
}

// A keyed request that was rejected although it may have run: its own event runs again, another one with its
// key does not, as long as workers know the key.
#[test_case(KEYED, true, Lookup::OtherEvent; "keyed, may have run")]
#[test_case(KEYED, false, Lookup::New; "keyed, never ran")]
#[test_case(RetrySafety::AtMostOnce, false, Lookup::New; "at-most-once, never ran")]
#[test_case(RetrySafety::Idempotent, true, Lookup::New; "idempotent: workers know no keys")]
fn the_key_of_a_rejected_request_is_reserved_while_workers_know_it(
    retry_safety: RetrySafety,
    may_have_run: bool,
    expected: Lookup<&str>,
) {
    let mut table = table(1000, 10, 1000);
    table.start(event(1), request(1));
    let answer = Rc::new("rejected");
    let completion =
        Completion { outcome: FinalOutcome::Rejected, retry_safety, answer, bytes: 8, may_have_run };
    table.complete(10, &key(1), request(1), completion);
    assert_eq!(table.look_up(10, &event(1)), Lookup::New);
    assert_eq!(table.look_up(10 + WINDOW - 1, &event_with(1, b"[]")), expected);
    assert_eq!(table.look_up(10 + WINDOW, &event_with(1, b"[]")), Lookup::New);
}

// An event with the key of another one finds neither its request nor its answer, until the key is free.
#[test]
fn another_event_with_the_same_key_is_told_apart() {
    let mut table = table(1000, 10, 1000);
    let other = event_with(1, b"[]");
    table.start(event(1), request(1));
    assert_eq!(table.look_up(5, &other), Lookup::OtherEvent);
    let completion = Completion {
        outcome: FinalOutcome::Finished,
        retry_safety: KEYED,
        answer: Rc::new("answer"),
        bytes: 6,
        may_have_run: true,
    };
    table.complete(10, &key(1), request(1), completion);
    assert_eq!(table.look_up(1009, &other), Lookup::OtherEvent);
    assert_eq!(table.look_up(1010, &other), Lookup::New);
}

#[test_case(4, 100_000; "by number")]
#[test_case(1000, 4 * (16 + EventContent::SIZE_BYTES); "by bytes")]
fn cached_answers_are_bounded(max_answers: usize, max_bytes: usize) {
    let mut table = table(1000, max_answers, max_bytes);
    for number in 0..100 {
        table.start(event(number), request(number as u8));
        let completion = Completion {
            outcome: FinalOutcome::Finished,
            retry_safety: RetrySafety::AtMostOnce,
            answer: Rc::new(()),
            bytes: 9,
            may_have_run: true,
        };
        table.complete(u64::from(number), &key(number), request(number as u8), completion);
        assert!(table.cached_answers() <= 4);
    }
    assert_eq!(
        (table.look_up(100, &event(99)), table.look_up(100, &event(0))),
        (Lookup::Completed(Rc::new(())), Lookup::New)
    );
    assert!(table.cached_answers() >= 3 && table.in_progress.is_empty());
    table.look_up(5000, &event(1));
    assert_eq!((table.cached_answers(), table.cached_bytes, table.by_expiry.len()), (0, 0, 0));
}
