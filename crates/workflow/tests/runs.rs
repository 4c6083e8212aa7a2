//! Chains step by step: what is begun, left out, refused, cancelled and taken back.
mod common;

use applepond::interface::RetrySafety::AtMostOnce;
use applepond_workflow::{Command, Step, StepStatus};
use common::*;
use std::collections::BTreeMap;
use test_case::test_case;

/// Price, then free beds at the hut that the price names, then, if there are none, at the second hut; then
/// confirm. Beds are released when the confirmation fails.
fn booking() -> Vec<Step> {
    vec![
        free("price").next(&[to(1)]),
        step("beds", MARKED)
            .function_from(0, "hut")
            .undone_by(4)
            .next(&[when("free", "yes", 3), to(2)])
            .or_else(&[to(2)]),
        step("beds-2", MARKED).undone_by(5).next(&[to(3)]),
        step("confirm", AtMostOnce),
        step("release", MARKED).function_from(0, "hut"),
        step("release-2", MARKED),
    ]
}

#[test]
fn a_booking_from_beginning_to_end() {
    let mut b = Bench::new(booking());
    assert_eq!(b.begin(), ["begin price"]);
    assert_eq!(b.ends(50, 0, StepStatus::Finished, &[("hut", "luční")]), ["begin beds of luční"]);
    assert_eq!(b.ends(50, 1, StepStatus::Finished, &[("free", "yes")]), ["begin confirm"]);
    assert_eq!(b.finishes(50, 3), ["finished by confirm"]);
    assert_eq!(b.finishes(50, 3), Vec::<String>::new(), "an end told twice");
}

#[test_case(StepStatus::Finished, "no"; "the first hut is full")]
#[test_case(StepStatus::NeverRan, ""; "it could not be asked")]
#[test_case(StepStatus::MayHaveRun, ""; "it may have been asked")]
fn the_second_hut(how: StepStatus, free: &str) {
    let mut b = Bench::new(booking());
    b.begin();
    b.ends(50, 0, StepStatus::Finished, &[("hut", "luční")]);
    assert_eq!(b.ends(50, 1, how, &[("free", free)]), ["begin beds-2"]);
    assert_eq!(b.finishes(50, 2), ["begin confirm"]);
}

// What has been done is taken back, the last first, also what only may have been done.
#[test_case(StepStatus::NeverRan,
    &["failed at confirm: StepFailed", "undo by release-2", "undo by release"];
    "pushed back")]
#[test_case(StepStatus::MayHaveRun,
    &["failed at confirm: StepFailed", "undo by release-2", "undo by release"];
    "killed")]
fn what_may_have_been_done_is_undone_last_first(how: StepStatus, want: &[&str]) {
    let mut b = Bench::new(booking());
    b.begin();
    b.ends(50, 0, StepStatus::Finished, &[("hut", "luční")]);
    b.ends(50, 1, StepStatus::MayHaveRun, &[]);
    b.finishes(50, 2);
    // Late, so that a pushback is not tried again.
    assert_eq!(b.ends(3_820, 3, how, &[]), want);
}

// As long as nothing can have had an effect that lasts, the client may ask again.
#[test_case(0, StepStatus::MayHaveRun, "pushed back at price: StepFailed"; "an idempotent step may have run")]
#[test_case(0, StepStatus::NeverRan, "pushed back at price: StepFailed"; "it never ran")]
fn a_chain_without_effect_is_rejected(n: usize, how: StepStatus, want: &str) {
    let mut b = Bench::new(booking());
    b.begin();
    assert_eq!(b.ends(50, n, how, &[]), [want]);
}

#[test]
fn a_result_that_does_not_name_the_function() {
    let mut b = Bench::new(booking());
    b.begin();
    assert_eq!(b.finishes(50, 0), ["begin beds-2"], "it never ran, so the other way is taken");
    let mut b = Bench::new(vec![free("a").next(&[to(1)]), free("b").function_from(0, "x")]);
    b.begin();
    assert_eq!(b.finishes(50, 0), ["pushed back at b: NoFunction"]);
}

// The second hut's model is cold and takes 2 s.
#[test_case(2_500, "pushed back at beds-2: NoTime"; "1.5 s left")]
#[test_case(1_500, "begin beds-2"; "2.5 s left")]
fn a_cold_model(spent_ms: u64, want: &str) {
    let steps = vec![free("price").next(&[to(1)]), free("beds-2")];
    let mut b = Bench::new(steps);
    b.begin();
    b.needs.insert("beds-2", 2_100 * MS);
    assert_eq!(b.finishes(spent_ms, 0), [want]);
}

// What a later step needs is seen before the first begins: nothing is done in vain.
#[test]
fn a_chain_that_cannot_finish_is_refused_before_its_first_step() {
    let mut b = Bench::new(vec![free("price").next(&[to(1)]), free("beds")]);
    b.needs.insert("beds", 3_950 * MS);
    assert_eq!(b.begin(), ["pushed back at price: NoTime"]);
}

#[test_case(1_000, "begin photos"; "time enough")]
#[test_case(3_850, "begin confirm"; "time is short")]
fn optional_steps_go_first(spent_ms: u64, want: &str) {
    let steps = vec![
        free("price").next(&[to(1)]),
        free("photos").optional().next(&[to(2)]),
        step("confirm", AtMostOnce),
    ];
    let mut b = Bench::new(steps);
    b.begin();
    assert_eq!(b.finishes(spent_ms, 0), [want]);
}

#[test]
fn an_optional_step_may_fail() {
    let steps = vec![
        free("price").next(&[to(1)]),
        free("photos").optional().next(&[to(2)]),
        step("confirm", AtMostOnce),
    ];
    let mut b = Bench::new(steps);
    b.begin();
    b.finishes(50, 0);
    assert_eq!(b.ends(50, 1, StepStatus::MayHaveRun, &[]), ["begin confirm"]);
}

// A step's request is told the time left, less what those after it need and the way back.
#[test]
fn one_clock() {
    let mut b = Bench::new(vec![free("price").next(&[to(1)]), free("beds")]);
    let until = |todo: &[Command]| match todo {
        [Command::Begin { until, .. }] => *until,
        other => panic!("{other:?}"),
    };
    let needs = |step: &Step, _: &str, _: u64| step.at_least;
    let first = until(&b.run.begin(b.now, &needs));
    assert_eq!(first, 104 * S - 5 * MS - 100 * MS);
    let second = b.run.step_ended(b.now + 10 * MS, id(0), StepStatus::Finished, None, &|_| None, &needs);
    assert_eq!(until(&second), 104 * S - 5 * MS, "what the first did not use is there for the second");
}

#[test]
fn all_of_several() {
    let steps = vec![free("a").next(&[all(&[1, 2], Some(3))]), free("b"), free("c"), free("d")];
    let mut b = Bench::new(steps.clone());
    b.begin();
    assert_eq!(b.finishes(50, 0), ["begin b", "begin c"]);
    assert_eq!(b.finishes(50, 2), Vec::<String>::new());
    assert_eq!(b.finishes(50, 1), ["begin d"]);
    assert_eq!(b.finishes(50, 3), ["finished by d"]);
    let mut b = Bench::new(steps);
    b.begin();
    b.finishes(50, 0);
    assert_eq!(b.ends(50, 1, StepStatus::MayHaveRun, &[]), ["cancel c", "pushed back at b: StepFailed"]);
}

#[test]
fn the_first_of_several() {
    let steps = vec![free("a").next(&[first(&[1, 2], Some(3))]), free("b"), free("c"), free("d")];
    let mut b = Bench::new(steps.clone());
    b.begin();
    b.finishes(50, 0);
    assert_eq!(b.finishes(50, 2), ["cancel b", "begin d"]);
    let mut b = Bench::new(steps);
    b.begin();
    b.finishes(50, 0);
    assert_eq!(b.ends(50, 2, StepStatus::MayHaveRun, &[]), Vec::<String>::new(), "the other may still");
    assert_eq!(b.ends(50, 1, StepStatus::MayHaveRun, &[]), ["pushed back at b: StepFailed"]);
}

// Cut off in the middle: what is on record is not begun again.
#[test]
fn resumed() {
    let field = |n: &str, v: &str| BTreeMap::from([(n.to_owned(), v.to_owned())]);
    let mut recorded = BTreeMap::from([
        (id(0), (StepStatus::Finished, field("hut", "luční"))),
        (id(1), (StepStatus::Finished, field("free", "yes"))),
    ]);
    assert_eq!(Bench::resumed(booking(), recorded.clone()).begin(), ["begin confirm"]);
    recorded.insert(id(3), (StepStatus::MayHaveRun, BTreeMap::new()));
    let mut b = Bench::resumed(booking(), recorded);
    assert_eq!(b.begin(), ["failed at confirm: StepFailed", "undo by release"], "never a second time");
}

#[test]
fn importance_grows_with_what_is_paid_for() {
    let mut b = Bench::new(booking());
    let needs = |step: &Step, _: &str, _: u64| step.at_least;
    b.begin();
    let fresh = b.run.priority_factor(b.now, &needs);
    b.ends(300, 0, StepStatus::Finished, &[("hut", "luční")]);
    b.ends(300, 1, StepStatus::Finished, &[("free", "yes")]);
    let near = b.run.priority_factor(b.now, &needs);
    assert!(fresh < 1.1 && near > 3.0, "{fresh} {near}");
}

// A step that was pushed back is begun again while there is time: what was before it is paid for. A chain
// that has done nothing yet is pushed back as a whole.
#[test_case(50, Some(200), "wait 200 ms for beds-2"; "as named")]
#[test_case(50, None, "wait 100 ms for beds-2"; "nothing named")]
#[test_case(50, Some(1), "wait 30 ms for beds-2"; "hardly anything named")]
#[test_case(3_000, Some(900), "wait 186 ms for beds-2"; "more named than there is time for")]
#[test_case(3_830, Some(200), "pushed back at beds-2: StepFailed"; "no time left")]
fn a_step_rejected_in_the_middle_is_retried(ms: u64, retry_after_ms: Option<u64>, want: &str) {
    let mut b =
        Bench::new(vec![free("price").next(&[to(1)]), free("beds-2").next(&[to(2)]), free("confirm")]);
    b.begin();
    b.finishes(50, 0);
    b.retry_after = retry_after_ms.map(|ms| ms * MS);
    assert_eq!(b.ends(ms, 1, StepStatus::NeverRan, &[]), [want]);
    if want.starts_with("wait") {
        assert_eq!(b.again(200, 1), ["begin beds-2"]);
        assert_eq!(b.again(0, 1), Vec::<String>::new(), "told twice");
        assert_eq!(b.finishes(50, 1), ["begin confirm"]);
    }
}

// The last step may be left out, or fail: the answer is that of the one that finished last. Where none did
// there is none.
#[test]
fn an_optional_last_step() {
    let steps = vec![free("price").next(&[to(1)]), free("photos").optional()];
    let mut b = Bench::new(steps.clone());
    b.begin();
    assert_eq!(b.finishes(3_950, 0), ["finished by price"], "left out");
    let mut b = Bench::new(steps);
    b.begin();
    b.finishes(50, 0);
    assert_eq!(b.ends(50, 1, StepStatus::MayHaveRun, &[]), ["finished by price"], "failed");
    let mut b = Bench::new(vec![free("photos").optional()]);
    b.begin();
    assert_eq!(b.ends(50, 0, StepStatus::NeverRan, &[]), ["pushed back at photos: StepFailed"]);
}
