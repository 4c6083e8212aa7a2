//! Workflow runs step by step: which steps are started, skipped, rejected, cancelled and undone.
mod common;

use applepond::interface::RetrySafety::AtMostOnce;
use applepond_workflow::{Command, Step, StepId, StepStatus};
use common::*;
use std::collections::BTreeMap;
use test_case::test_case;

/// Asks for a price, then for beds at the hut that the price names or, if it has none, at a second hut;
/// then confirms. Beds are released if the confirmation fails.
fn booking() -> Vec<Step> {
    vec![
        idempotent("price").next(&[to(1)]),
        step("beds", KEYED)
            .function_from(0, "hut")
            .undone_by(4)
            .next(&[when("free", "yes", 3), to(2)])
            .or_else(&[to(2)]),
        step("beds-2", KEYED).undone_by(5).next(&[to(3)]),
        step("confirm", AtMostOnce),
        step("release", KEYED).function_from(0, "hut"),
        step("release-2", KEYED),
    ]
}

#[test]
fn a_booking_from_beginning_to_end() {
    let mut b = Harness::new(booking());
    assert_eq!(b.begin(), ["begin price"]);
    assert_eq!(b.end_step(50, 0, StepStatus::Finished, &[("hut", "luční")]), ["begin beds of luční"]);
    assert_eq!(b.end_step(50, 1, StepStatus::Finished, &[("free", "yes")]), ["begin confirm"]);
    assert_eq!(b.finish_step(50, 3), ["finished by confirm"]);
    assert_eq!(b.finish_step(50, 3), Vec::<String>::new(), "a repeated end is ignored");
}

#[test_case(StepStatus::Finished, "no"; "the first hut is full")]
#[test_case(StepStatus::NeverRan, ""; "its step was rejected")]
#[test_case(StepStatus::MayHaveRun, ""; "its step may have run")]
fn the_second_hut_is_the_fallback(status: StepStatus, free: &str) {
    let mut b = Harness::new(booking());
    b.begin();
    b.end_step(50, 0, StepStatus::Finished, &[("hut", "luční")]);
    assert_eq!(b.end_step(50, 1, status, &[("free", free)]), ["begin beds-2"]);
    assert_eq!(b.finish_step(50, 2), ["begin confirm"]);
}

// Undos run in reverse order, also for steps that only may have run.
#[test_case(StepStatus::NeverRan,
    &["failed at confirm: StepFailed", "undo by release-2", "undo by release"];
    "rejected")]
#[test_case(StepStatus::MayHaveRun,
    &["failed at confirm: StepFailed", "undo by release-2", "undo by release"];
    "failed")]
fn what_may_have_been_done_is_undone_last_first(status: StepStatus, want: &[&str]) {
    let mut b = Harness::new(booking());
    b.begin();
    b.end_step(50, 0, StepStatus::Finished, &[("hut", "luční")]);
    b.end_step(50, 1, StepStatus::MayHaveRun, &[]);
    b.finish_step(50, 2);
    // Late enough that a rejected step is not retried.
    assert_eq!(b.end_step(3_820, 3, status, &[]), want);
}

// As long as no step can have had a lasting effect, the run is rejected and the client may retry.
#[test_case(0, StepStatus::MayHaveRun, "rejected at price: StepFailed"; "an idempotent step may have run")]
#[test_case(0, StepStatus::NeverRan, "rejected at price: StepFailed"; "it never ran")]
fn a_run_without_effect_is_rejected(n: usize, status: StepStatus, want: &str) {
    let mut b = Harness::new(booking());
    b.begin();
    assert_eq!(b.end_step(50, n, status, &[]), [want]);
}

#[test]
fn a_missing_function_name_counts_as_a_rejection() {
    let mut b = Harness::new(booking());
    b.begin();
    assert_eq!(b.finish_step(50, 0), ["begin beds-2"], "the step never ran, so its else branch is taken");
    let mut b = Harness::new(vec![idempotent("a").next(&[to(1)]), idempotent("b").function_from(0, "x")]);
    b.begin();
    assert_eq!(b.finish_step(50, 0), ["rejected at b: NoFunction"]);
}

// The function of the last step is not loaded and needs 2.1 s.
#[test_case(2_500, "rejected at beds-2: NoTime"; "1.5 s left")]
#[test_case(1_500, "begin beds-2"; "2.5 s left")]
fn a_step_is_started_only_if_it_can_finish(spent_ms: u64, want: &str) {
    let steps = vec![idempotent("price").next(&[to(1)]), idempotent("beds-2")];
    let mut b = Harness::new(steps);
    b.begin();
    b.step_times.insert("beds-2", 2_100 * MS);
    assert_eq!(b.finish_step(spent_ms, 0), [want]);
}

// The time of later steps is considered before the first one starts, so that no work is wasted.
#[test]
fn a_run_that_cannot_finish_is_rejected_before_its_first_step() {
    let mut b = Harness::new(vec![idempotent("price").next(&[to(1)]), idempotent("beds")]);
    b.step_times.insert("beds", 3_950 * MS);
    assert_eq!(b.begin(), ["rejected at price: NoTime"]);
}

#[test_case(1_000, "begin photos"; "enough time")]
#[test_case(3_850, "begin confirm"; "time is short")]
fn optional_steps_are_skipped_when_time_is_short(spent_ms: u64, want: &str) {
    let steps = vec![
        idempotent("price").next(&[to(1)]),
        idempotent("photos").optional().next(&[to(2)]),
        step("confirm", AtMostOnce),
    ];
    let mut b = Harness::new(steps);
    b.begin();
    assert_eq!(b.finish_step(spent_ms, 0), [want]);
}

#[test]
fn an_optional_step_may_fail() {
    let steps = vec![
        idempotent("price").next(&[to(1)]),
        idempotent("photos").optional().next(&[to(2)]),
        step("confirm", AtMostOnce),
    ];
    let mut b = Harness::new(steps);
    b.begin();
    b.finish_step(50, 0);
    assert_eq!(b.end_step(50, 1, StepStatus::MayHaveRun, &[]), ["begin confirm"]);
}

// The deadline of a step leaves enough time for the steps after it and for the response.
#[test]
fn the_deadline_of_a_step_leaves_time_for_the_rest() {
    let mut b = Harness::new(vec![idempotent("price").next(&[to(1)]), idempotent("beds")]);
    let until = |commands: &[Command]| match commands {
        [Command::Begin { until, .. }] => *until,
        other => panic!("{other:?}"),
    };
    let step_times = |step: &Step, _: &str, _: u64| step.at_least;
    let first = until(&b.run.begin(b.now, &step_times));
    assert_eq!(first, 104 * S - 5 * MS - 100 * MS);
    let second = b.run.step_ended(b.now + 10 * MS, id(0), StepStatus::Finished, None, &|_| None, &step_times);
    assert_eq!(
        until(&second),
        104 * S - 5 * MS,
        "time that the first step did not use is left to the second"
    );
}

#[test]
fn a_fork_waits_for_all_arms() {
    let steps = vec![
        idempotent("a").next(&[all(&[1, 2], Some(3))]),
        idempotent("b"),
        idempotent("c"),
        idempotent("d"),
    ];
    let mut b = Harness::new(steps.clone());
    b.begin();
    assert_eq!(b.finish_step(50, 0), ["begin b", "begin c"]);
    assert_eq!(b.finish_step(50, 2), Vec::<String>::new());
    assert_eq!(b.finish_step(50, 1), ["begin d"]);
    assert_eq!(b.finish_step(50, 3), ["finished by d"]);
    let mut b = Harness::new(steps);
    b.begin();
    b.finish_step(50, 0);
    assert_eq!(b.end_step(50, 1, StepStatus::MayHaveRun, &[]), ["cancel c", "rejected at b: StepFailed"]);
}

#[test]
fn a_fork_waits_for_the_first_arm() {
    let steps = vec![
        idempotent("a").next(&[first(&[1, 2], Some(3))]),
        idempotent("b"),
        idempotent("c"),
        idempotent("d"),
    ];
    let mut b = Harness::new(steps.clone());
    b.begin();
    b.finish_step(50, 0);
    assert_eq!(b.finish_step(50, 2), ["cancel b", "begin d"]);
    let mut b = Harness::new(steps);
    b.begin();
    b.finish_step(50, 0);
    assert_eq!(
        b.end_step(50, 2, StepStatus::MayHaveRun, &[]),
        Vec::<String>::new(),
        "the other arm may still finish"
    );
    assert_eq!(b.end_step(50, 1, StepStatus::MayHaveRun, &[]), ["rejected at b: StepFailed"]);
}

// A run is interrupted in the middle: recorded steps are not sent again.
#[test]
fn an_interrupted_run_is_resumed() {
    let field = |n: &str, v: &str| BTreeMap::from([(n.to_owned(), v.to_owned())]);
    let mut recorded = BTreeMap::from([
        (id(0), (StepStatus::Finished, field("hut", "luční"))),
        (id(1), (StepStatus::Finished, field("free", "yes"))),
    ]);
    assert_eq!(Harness::resumed(booking(), recorded.clone()).begin(), ["begin confirm"]);
    recorded.insert(id(3), (StepStatus::MayHaveRun, BTreeMap::new()));
    let mut b = Harness::resumed(booking(), recorded);
    assert_eq!(
        b.begin(),
        ["failed at confirm: StepFailed", "undo by release"],
        "an at-most-once step is not repeated"
    );
}

#[test]
fn priority_grows_with_the_time_spent() {
    let mut b = Harness::new(booking());
    let step_times = |step: &Step, _: &str, _: u64| step.at_least;
    b.begin();
    let fresh = b.run.priority_factor(b.now, &step_times);
    b.end_step(300, 0, StepStatus::Finished, &[("hut", "luční")]);
    b.end_step(300, 1, StepStatus::Finished, &[("free", "yes")]);
    let near = b.run.priority_factor(b.now, &step_times);
    assert!(fresh < 1.1 && near > 3.0, "{fresh} {near}");
}

// A rejected step is retried while there is time, as the work of the steps before it would be lost. A run
// without a finished step is rejected as a whole.
#[test_case(50, Some(200), "wait 200 ms for beds-2"; "the given delay")]
#[test_case(50, None, "wait 100 ms for beds-2"; "no delay given")]
#[test_case(50, Some(1), "wait 30 ms for beds-2"; "a delay below the minimum")]
#[test_case(3_000, Some(900), "wait 186 ms for beds-2"; "a delay above the spare time")]
#[test_case(3_830, Some(200), "rejected at beds-2: StepFailed"; "no time left")]
fn a_step_rejected_in_the_middle_is_retried(ms: u64, retry_after_ms: Option<u64>, want: &str) {
    let mut b = Harness::new(vec![
        idempotent("price").next(&[to(1)]),
        idempotent("beds-2").next(&[to(2)]),
        idempotent("confirm"),
    ]);
    b.begin();
    b.finish_step(50, 0);
    b.retry_after = retry_after_ms.map(|ms| ms * MS);
    assert_eq!(b.end_step(ms, 1, StepStatus::NeverRan, &[]), [want]);
    if want.starts_with("wait") {
        assert_eq!(b.retry_step(200, 1), ["begin beds-2"]);
        assert_eq!(b.retry_step(0, 1), Vec::<String>::new(), "a repeated call is ignored");
        assert_eq!(b.finish_step(50, 1), ["begin confirm"]);
    }
}

// If an optional last step is skipped or fails, the response is the result of the step that finished last.
// Without one the run is rejected.
#[test]
fn an_optional_last_step() {
    let steps = vec![idempotent("price").next(&[to(1)]), idempotent("photos").optional()];
    let mut b = Harness::new(steps.clone());
    b.begin();
    assert_eq!(b.finish_step(3_950, 0), ["finished by price"], "skipped");
    let mut b = Harness::new(steps);
    b.begin();
    b.finish_step(50, 0);
    assert_eq!(b.end_step(50, 1, StepStatus::MayHaveRun, &[]), ["finished by price"], "failed");
    let mut b = Harness::new(vec![idempotent("photos").optional()]);
    b.begin();
    assert_eq!(b.end_step(50, 0, StepStatus::NeverRan, &[]), ["rejected at photos: StepFailed"]);
}

// A keyed step that was rejected although an attempt of it may have run is retried. Regression: if the run
// then failed for another reason, the step was taken for one that never ran, and was not undone.
#[test_case(true, &["failed at beds-2: NoTime", "undo by release-2"]; "an attempt may have run")]
#[test_case(false, &["rejected at beds-2: NoTime"]; "no attempt ran")]
fn a_step_that_may_have_run_before_is_undone(may_have_run: bool, want: &[&str]) {
    let mut b = Harness::new(vec![
        idempotent("price").next(&[to(1)]),
        step("beds-2", KEYED).undone_by(2),
        step("release-2", KEYED),
    ]);
    b.begin();
    b.finish_step(50, 0);
    if may_have_run {
        b.run.step_may_have_run(StepId(1));
    }
    let waiting = b.end_step(50, 1, StepStatus::NeverRan, &[]);
    assert!(waiting[0].starts_with("wait "), "{waiting:?}");
    b.step_times.insert("beds-2", 9_000 * MS);
    assert_eq!(b.retry_step(100, 1), want);
}

/// Two arms that hold beds, of which the first one to finish is enough, and a confirmation.
fn booking_with_two_arms() -> Vec<Step> {
    vec![
        idempotent("price").next(&[first(&[1, 2], Some(3))]),
        step("beds", KEYED).undone_by(4),
        step("beds-2", KEYED).undone_by(5),
        step("confirm", AtMostOnce),
        step("release", KEYED),
        step("release-2", KEYED),
    ]
}

// Regression: when a run was resumed after its first arm had finished, the other arm, on record as well, was
// taken for one that was skipped, and was not undone when the run failed.
#[test_case(Some(StepStatus::Finished); "it finished")]
#[test_case(Some(StepStatus::MayHaveRun); "it may have run")]
#[test_case(None; "it may have run, and could be sent again")]
fn an_arm_on_record_that_is_no_longer_needed_is_undone(other: Option<StepStatus>) {
    let mut recorded = BTreeMap::from([
        (id(0), (StepStatus::Finished, BTreeMap::new())),
        (id(1), (StepStatus::Finished, BTreeMap::new())),
        (id(3), (StepStatus::MayHaveRun, BTreeMap::new())),
    ]);
    recorded.extend(other.map(|status| (id(2), (status, BTreeMap::new()))));
    let mut b = Harness::resumed(booking_with_two_arms(), recorded);
    if other.is_none() {
        b.run.step_may_have_run(id(2));
    }
    assert_eq!(b.begin(), ["failed at confirm: StepFailed", "undo by release-2", "undo by release"]);
}

// Regression: of two arms that were both executed, the one that was not needed kept its beds when the run
// finished.
#[test_case(&[("finish", 1)], &["cancel beds-2", "begin confirm"]; "the other one is in flight")]
#[test_case(&[("break", 2), ("finish", 1)], &["begin confirm"]; "the other one broke off")]
fn an_arm_that_was_not_needed_is_undone(ends: &[(&str, usize)], want: &[&str]) {
    let mut b = Harness::new(booking_with_two_arms());
    b.begin();
    assert_eq!(b.finish_step(50, 0), ["begin beds", "begin beds-2"]);
    let mut commands = Vec::new();
    for (end, arm) in ends {
        let status = if *end == "finish" { StepStatus::Finished } else { StepStatus::MayHaveRun };
        commands = b.end_step(50, *arm, status, &[]);
    }
    assert_eq!(commands, want);
    assert_eq!(b.finish_step(50, 3), ["finished by confirm", "undo by release-2"]);
}

// The same after a kill: the other arm is on record, or may be sent again.
#[test_case(Some(StepStatus::Finished); "it finished")]
#[test_case(Some(StepStatus::MayHaveRun); "it may have run")]
#[test_case(None; "it may have run, and could be sent again")]
fn an_arm_on_record_that_was_not_needed_is_undone(other: Option<StepStatus>) {
    let mut recorded = BTreeMap::from([
        (id(0), (StepStatus::Finished, BTreeMap::new())),
        (id(1), (StepStatus::Finished, BTreeMap::new())),
    ]);
    recorded.extend(other.map(|status| (id(2), (status, BTreeMap::new()))));
    let mut b = Harness::resumed(booking_with_two_arms(), recorded);
    if other.is_none() {
        b.run.step_may_have_run(id(2));
    }
    assert_eq!(b.begin(), ["begin confirm"]);
    assert_eq!(b.finish_step(50, 3), ["finished by confirm", "undo by release-2"]);
}

// An arm that never ran is not undone, nor is what the run went on from.
#[test]
fn an_arm_that_never_ran_is_not_undone() {
    let mut b = Harness::new(booking_with_two_arms());
    b.begin();
    b.finish_step(50, 0);
    assert_eq!(b.end_step(3_700, 2, StepStatus::NeverRan, &[]), ["wait 30 ms for beds-2"]);
    assert_eq!(b.finish_step(10, 1), ["begin confirm"]);
    assert_eq!(b.finish_step(50, 3), ["finished by confirm"]);
}

// A step that may have run and whose `else` branch was taken is undone too.
#[test]
fn a_step_that_was_replaced_by_its_else_branch_is_undone() {
    let mut b = Harness::new(vec![
        step("beds", KEYED).or_else(&[to(1)]).undone_by(2),
        step("beds-2", KEYED).undone_by(3),
        step("release", KEYED),
        step("release-2", KEYED),
    ]);
    b.begin();
    assert_eq!(b.end_step(50, 0, StepStatus::MayHaveRun, &[]), ["begin beds-2"]);
    assert_eq!(b.finish_step(50, 1), ["finished by beds-2", "undo by release"]);
}
