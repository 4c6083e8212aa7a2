//! Validation of plans, and the shortest time through them.
mod common;

use applepond::interface::RetrySafety::AtMostOnce;
use applepond_workflow::{Function, Step, StepId};
use common::*;
use test_case::test_case;

#[test_case(vec![], "no step"; "empty")]
#[test_case(vec![idempotent("a").next(&[to(1)]), idempotent("b").next(&[to(0)])],
    "step \"b\" leads back to an earlier step";
    "a cycle")]
#[test_case(vec![idempotent("a").or_else(&[to(0)])], "step \"a\" leads back to an earlier step";
    "a step that repeats itself")]
#[test_case(vec![idempotent("a"), idempotent("b")], "unreachable step \"b\""; "unreachable")]
#[test_case(vec![step("a", AtMostOnce).or_else(&[to(1)]), step("b", AtMostOnce).function_from(0, "x")],
    "function from \"a.x\""; "a result that is missing after a failure")]
#[test_case(vec![idempotent("a").next(&[when("x", "1", 1), to(2)]), idempotent("b").next(&[to(2)]),
    idempotent("c").function_from(1, "x")],
    "function from \"b.x\""; "a result that is available on one path only")]
#[test_case(vec![idempotent("a").optional().next(&[to(1)]), idempotent("b").function_from(0, "x")],
    "function from \"a.x\"";
    "a result of a step that may be skipped")]
#[test_case(vec![idempotent("a").next(&[first(&[1, 2], Some(3))]), idempotent("b"), idempotent("c"),
    idempotent("d").function_from(1, "x")],
    "function from \"b.x\""; "a result of one arm of a first fork")]
#[test_case(vec![step("a", AtMostOnce).or_else(&[to(1)]), Step { function: Function::Named("a".into()),
    ..step("b", AtMostOnce) }],
    "step \"b\" that repeats the run-once step \"a\""; "a repetition of a step that may have run")]
#[test_case(vec![idempotent("a").undone_by(1), idempotent("u")], "undo of the idempotent step \"a\"";
    "nothing to undo")]
#[test_case(vec![idempotent("a").undone_by(1), step("u", AtMostOnce)], "undo \"u\" in a run-once workload";
    "an undo that runs once")]
#[test_case(vec![idempotent("a").undone_by(1).next(&[to(1)]), idempotent("u")],
    "step \"u\" both as an undo and as an ordinary step";
    "an undo that is also an ordinary step")]
#[test_case(vec![idempotent("a").undone_by(1), idempotent("u").next(&[to(2)]), idempotent("b")],
    "undo \"u\" with next, else or undo";
    "an undo with branches")]
#[test_case(vec![idempotent("a").next(&[to(1), when("x", "1", 2)]), idempotent("b"), idempotent("c")],
    "1 branch(es) after an unconditional one";
    "branches that are never evaluated")]
#[test_case(vec![idempotent("a").next(&[all(&[1], None)]), idempotent("b")], "a fork of 1 arm(s)";
    "a fork with one arm")]
#[test_case(vec![idempotent("a").next(&[all(&[1, 2], None)]), idempotent("b").next(&[to(3)]),
    idempotent("c"), idempotent("d")],
    "arm \"b\" with next or else"; "an arm with branches")]
#[test_case(vec![idempotent("a").next(&[first(&[1, 2], None)]), step("b", AtMostOnce), idempotent("c")],
    "run-once step \"b\" as an arm of a first fork"; "an at-most-once step that may be cancelled")]
#[test_case((0..60).map(|n| idempotent(&n.to_string()).next(&[to((n + 1) % 60)])).collect(), "60 steps";
    "too many steps")]
#[test_case((0..30).map(|n| Step { at_least: 500 * MS,
    ..idempotent(&n.to_string()) }.next(&if n < 29 { vec![to(n + 1)] } else { vec![] })).collect(),
    "at least 15000 ms for a time limit of 4000 ms"; "longer than its time limit")]
fn a_plan_with_a_fault_is_not_valid(steps: Vec<Step>, want: &str) {
    let faults = plan(steps).check();
    assert!(faults.iter().any(|f| f.found.contains(want)), "{faults:?}");
}

#[test_case(vec![idempotent("a")]; "one step")]
#[test_case(vec![idempotent("a").next(&[when("x", "1", 1), to(2)]), idempotent("b").next(&[to(2)]),
    idempotent("c").function_from(0, "x")]; "an optional detour")]
#[test_case(vec![idempotent("a").next(&[all(&[1, 2], Some(3))]), idempotent("b"), idempotent("c"),
    idempotent("d").function_from(1, "x")]; "a fork that waits for all arms")]
#[test_case(vec![idempotent("a").next(&[first(&[1, 2], Some(3))]), idempotent("b"), idempotent("c"),
    idempotent("d")];
    "a fork that waits for the first arm")]
#[test_case(vec![step("a", AtMostOnce).or_else(&[to(1)]).undone_by(2), step("b", AtMostOnce),
    idempotent("u").function_from(0, "place")]; "a fallback after a failure, and an undo")]
#[test_case(vec![idempotent("a").next(&[to(1)]), Step { at_least: 9 * S, ..idempotent("b").optional() }];
    "long but optional")]
fn a_plan_without_faults_is_valid(steps: Vec<Step>) {
    assert_eq!(plan(steps).check(), Vec::new());
}

// The shortest time takes the fastest branch, the slowest arm of an `All` fork and the fastest of a `First`
// fork.
#[test_case(vec![idempotent("a").next(&[when("x", "1", 1), to(2)]), Step { at_least: 700 * MS,
    ..idempotent("b") },
    idempotent("c")], 200; "fastest branch")]
#[test_case(vec![idempotent("a").next(&[when("x", "1", 1)]), idempotent("b")], 100;
    "no condition may hold")]
#[test_case(vec![idempotent("a").next(&[all(&[1, 2], Some(3))]), Step { at_least: 700 * MS,
    ..idempotent("b") },
    idempotent("c"), idempotent("d")], 900; "slowest of all arms")]
#[test_case(vec![idempotent("a").next(&[first(&[1, 2], Some(3))]), Step { at_least: 700 * MS,
    ..idempotent("b") },
    idempotent("c"), idempotent("d")], 300; "fastest arm")]
fn the_shortest_time(steps: Vec<Step>, ms: u64) {
    let plan = plan(steps);
    assert_eq!(plan.shortest_time(StepId(0), &|id| plan.step(id).at_least) / MS, ms);
}
