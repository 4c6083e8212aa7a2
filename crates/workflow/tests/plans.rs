//! Plans looked at as a whole.
mod common;

use applepond::interface::RetrySafety::AtMostOnce;
use applepond_workflow::{Function, Step, StepId};
use common::*;
use test_case::test_case;

#[test_case(vec![], "no step"; "empty")]
#[test_case(vec![free("a").next(&[to(1)]), free("b").next(&[to(0)])],
    "step \"b\" leads back to one before it";
    "a loop")]
#[test_case(vec![free("a").or_else(&[to(0)])], "step \"a\" leads back"; "a step that repeats itself")]
#[test_case(vec![free("a"), free("b")], "step \"b\" that nothing leads to"; "not reached")]
#[test_case(vec![step("a", AtMostOnce).or_else(&[to(1)]), step("b", AtMostOnce).function_from(0, "x")],
    "function from \"a.x\""; "a result that is not there after a failure")]
#[test_case(vec![free("a").next(&[when("x", "1", 1), to(2)]), free("b").next(&[to(2)]),
    free("c").function_from(1, "x")],
    "function from \"b.x\""; "a result that is there on one way only")]
#[test_case(vec![free("a").optional().next(&[to(1)]), free("b").function_from(0, "x")],
    "function from \"a.x\"";
    "a result of what may be left out")]
#[test_case(vec![free("a").next(&[first(&[1, 2], Some(3))]), free("b"), free("c"),
    free("d").function_from(1, "x")],
    "function from \"b.x\""; "a result of one of several")]
#[test_case(vec![step("a", AtMostOnce).or_else(&[to(1)]), Step { function: Function::Named("a".into()),
    ..step("b", AtMostOnce) }],
    "\"b\" repeats the run-once \"a\""; "a repeat of what may have run")]
#[test_case(vec![free("a").undone_by(1), free("u")], "an undo of the idempotent \"a\""; "nothing to undo")]
#[test_case(vec![free("a").undone_by(1), step("u", AtMostOnce)], "undo \"u\" in a run-once workload";
    "an undo that runs once")]
#[test_case(vec![free("a").undone_by(1).next(&[to(1)]), free("u")],
    "step \"u\" both on the way and as an undo";
    "an undo on the way")]
#[test_case(vec![free("a").undone_by(1), free("u").next(&[to(2)]), free("b")], "undo \"u\" that leads on";
    "an undo that leads on")]
#[test_case(vec![free("a").next(&[to(1), when("x", "1", 2)]), free("b"), free("c")],
    "1 branch(es) after one without a test";
    "branches never looked at")]
#[test_case(vec![free("a").next(&[all(&[1], None)]), free("b")], "a fork of 1 arm(s)"; "a fork of one")]
#[test_case(vec![free("a").next(&[all(&[1, 2], None)]), free("b").next(&[to(3)]), free("c"), free("d")],
    "arm \"b\" that leads on by itself"; "an arm that leads on")]
#[test_case(vec![free("a").next(&[first(&[1, 2], None)]), step("b", AtMostOnce), free("c")],
    "run-once \"b\" among the first of several"; "an at-most-once step that may run in vain")]
#[test_case((0..60).map(|n| free(&n.to_string()).next(&[to((n + 1) % 60)])).collect(), "60 steps";
    "without end")]
#[test_case((0..30).map(|n| Step { at_least: 500 * MS,
    ..free(&n.to_string()) }.next(&if n < 29 { vec![to(n + 1)] } else { vec![] })).collect(),
    "15000 ms at the least, 4000 ms in all"; "longer than its limit")]
fn a_plan_with_a_fault_is_not_valid(steps: Vec<Step>, want: &str) {
    let faults = plan(steps).check();
    assert!(faults.iter().any(|f| f.found.contains(want)), "{faults:?}");
}

#[test_case(vec![free("a")]; "one step")]
#[test_case(vec![free("a").next(&[when("x", "1", 1), to(2)]), free("b").next(&[to(2)]),
    free("c").function_from(0, "x")]; "a way round")]
#[test_case(vec![free("a").next(&[all(&[1, 2], Some(3))]), free("b"), free("c"), free("d").function_from(1,
    "x")]; "all of several")]
#[test_case(vec![free("a").next(&[first(&[1, 2], Some(3))]), free("b"), free("c"), free("d")];
    "the first of several")]
#[test_case(vec![step("a", AtMostOnce).or_else(&[to(1)]).undone_by(2), step("b", AtMostOnce),
    free("u").function_from(0, "place")]; "another hut, and an undo")]
#[test_case(vec![free("a").next(&[to(1)]), Step { at_least: 9 * S, ..free("b").optional() }];
    "long but optional")]
fn a_plan_without_faults_is_valid(steps: Vec<Step>) {
    assert_eq!(plan(steps).check(), Vec::new());
}

// The shortest way: of branches the quickest, of all arms the slowest, of the first the quickest.
#[test_case(vec![free("a").next(&[when("x", "1", 1), to(2)]), Step { at_least: 700 * MS, ..free("b") },
    free("c")], 200; "of branches")]
#[test_case(vec![free("a").next(&[when("x", "1", 1)]), free("b")], 100; "none may hold")]
#[test_case(vec![free("a").next(&[all(&[1, 2], Some(3))]), Step { at_least: 700 * MS, ..free("b") },
    free("c"), free("d")], 900; "of all")]
#[test_case(vec![free("a").next(&[first(&[1, 2], Some(3))]), Step { at_least: 700 * MS, ..free("b") },
    free("c"), free("d")], 300; "of the first")]
fn the_shortest_way(steps: Vec<Step>, ms: u64) {
    let plan = plan(steps);
    assert_eq!(plan.shortest(StepId(0), &|id| plan.step(id).at_least) / MS, ms);
}
