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
        Completion { outcome, retry_safety, answer: Rc::new("answer"), bytes: 6, resend_until: None },
    );
    let expected = if replayed { Lookup::Completed(Rc::new("answer")) } else { Lookup::New };
    assert_eq!(table.look_up(1009, &event(1)), expected);
    assert_eq!(table.look_up(1010, &event(1)), Lookup::New, "expired");
}

// A keyed request that was rejected although it may have run: its own event may be sent again as long as
// workers recognise it, and not after that. Another one with its key is refused.
#[test]
fn a_rejected_request_that_may_have_run_is_sent_again_inside_its_window() {
    let mut table = table(1000, 10, 1000);
    let other = event_with(1, b"[]");
    end_rejected(&mut table, KEYED, Some(13));
    assert_eq!(table.look_up(12, &event(1)), Lookup::MayBeSentAgain { until: 13 });
    assert_eq!(table.look_up(13, &event(1)), Lookup::MayHaveRun);
    assert_eq!(table.look_up(1012, &event(1)), Lookup::MayHaveRun);
    assert_eq!(table.look_up(1012, &other), Lookup::OtherEvent);
    assert_eq!(table.look_up(1013, &other), Lookup::New);
}

// Where none may have run, the key is free.
#[test_case(KEYED; "keyed, never ran")]
#[test_case(RetrySafety::AtMostOnce; "at-most-once, never ran")]
#[test_case(RetrySafety::Idempotent; "idempotent: workers know no keys")]
fn the_key_of_a_rejected_request_is_free(retry_safety: RetrySafety) {
    let mut table = table(1000, 10, 1000);
    end_rejected(&mut table, retry_safety, None);
    assert_eq!(table.look_up(10, &event(1)), Lookup::New);
    assert_eq!(table.look_up(10, &event_with(1, b"[]")), Lookup::New);
}

// A retry that is rejected without having been sent leaves what is known of the attempt before it.
#[test]
fn a_rejected_retry_does_not_free_the_key() {
    let mut table = table(1000, 10, 1000);
    end_rejected(&mut table, KEYED, Some(13));
    end_rejected(&mut table, KEYED, Some(13));
    assert_eq!(table.look_up(12, &event(1)), Lookup::MayBeSentAgain { until: 13 });
    assert_eq!((table.look_up(14, &event(1)), table.retained()), (Lookup::MayHaveRun, 1));
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
        resend_until: None,
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
            resend_until: None,
        };
        table.complete(u64::from(number), &key(number), request(number as u8), completion);
        assert!(table.retained() <= 4);
    }
    assert_eq!(
        (table.look_up(100, &event(99)), table.look_up(100, &event(0))),
        (Lookup::Completed(Rc::new(())), Lookup::New)
    );
    assert!(table.retained() >= 3 && table.in_progress.is_empty());
    table.look_up(5000, &event(1));
    assert_eq!((table.retained(), table.ended.bytes()), (0, 0));
}

/// Ends the request of an event at `now`, with an answer of 6 bytes.
fn end(table: &mut IdempotencyTable<&str>, now: Micros, number: u32, retry_safety: RetrySafety) {
    table.start(event(number), request(number as u8));
    let completion = Completion {
        outcome: FinalOutcome::Finished,
        retry_safety,
        answer: Rc::new("answer"),
        bytes: 6,
        resend_until: None,
    };
    table.complete(now, &key(number), request(number as u8), completion);
}

/// Rejects the request of an event at 10; `resend_until` is given if it may have run.
fn end_rejected(table: &mut IdempotencyTable<&str>, retry_safety: RetrySafety, resend_until: Option<Micros>) {
    table.start(event(1), request(1));
    let (outcome, answer) = (FinalOutcome::Rejected, Rc::new("rejected"));
    let completion = Completion { outcome, retry_safety, answer, bytes: 8, resend_until };
    table.complete(10, &key(1), request(1), completion);
}

const LONG_WINDOW: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 50 };

// Where workers know a key for longer than its answer is kept, the key alone is kept, at the size of a key.
#[test]
fn the_key_outlives_the_answer() {
    let mut table = table(20, 10, 1000);
    end(&mut table, 10, 1, LONG_WINDOW);
    let other = event_with(1, b"[]");
    assert_eq!(table.look_up(29, &event(1)), Lookup::Completed(Rc::new("answer")));
    assert_eq!(table.look_up(30, &event(1)), Lookup::New);
    assert_eq!(table.ended.bytes(), key(1).len() + EventContent::SIZE_BYTES);
    assert!(table.is_known_to_workers(59, &key(1)) && !table.is_known_to_workers(60, &key(1)));
    assert_eq!(table.look_up(59, &other), Lookup::OtherEvent);
    assert_eq!((table.look_up(60, &other), table.ended.bytes()), (Lookup::New, 0));
}

// Keys that are kept from other events do not push out answers, without which a retry of an
// at-most-once request would run twice.
#[test]
fn keys_alone_are_dropped_before_answers() {
    let mut table = table(20, 3, 1000);
    for number in 1..=3 {
        end(&mut table, u64::from(number), number, LONG_WINDOW);
    }
    table.look_up(23, &event(1));
    assert_eq!(table.retained(), 3, "three keys alone");
    for number in 4..=6 {
        end(&mut table, 23, number, RetrySafety::AtMostOnce);
        assert_eq!(table.retained(), 3);
    }
    for number in 4..=6 {
        assert_eq!(table.look_up(24, &event(number)), Lookup::Completed(Rc::new("answer")));
    }
}

// An answer that is larger than all that may be kept: what must not run again does not.
#[test_case(RetrySafety::Idempotent, Lookup::New, Lookup::New; "idempotent")]
#[test_case(KEYED, Lookup::MayHaveRun, Lookup::OtherEvent; "keyed")]
#[test_case(RetrySafety::AtMostOnce, Lookup::MayHaveRun, Lookup::OtherEvent; "at most once")]
fn an_answer_that_is_too_large(retry_safety: RetrySafety, same: Lookup<&str>, other: Lookup<&str>) {
    let mut table = table(20, 10, 100);
    table.start(event(1), request(1));
    let outcome = FinalOutcome::Finished;
    let answer = Rc::new("answer");
    let completion = Completion { outcome, retry_safety, answer, bytes: 101, resend_until: None };
    table.complete(10, &key(1), request(1), completion);
    assert_eq!(table.look_up(29, &event(1)), same);
    assert_eq!(table.look_up(29, &event_with(1, b"[]")), other);
    assert_eq!(table.look_up(30, &event_with(1, b"[]")), Lookup::New);
}

// A request that has not got the key, as it was in use, leaves it to the one that has it.
#[test]
fn a_key_is_given_up_by_its_own_request_alone() {
    let mut table = table::<&str>(20, 10, 100);
    table.start(event(1), request(1));
    table.abandon(&key(1), request(2));
    assert_eq!(table.look_up(0, &event(1)), Lookup::InProgress(request(1)));
    table.abandon(&key(1), request(1));
    assert_eq!(table.look_up(0, &event(1)), Lookup::New);
}
