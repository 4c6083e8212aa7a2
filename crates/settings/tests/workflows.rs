//! `chain` blocks: the plan of a valid one, and the reported position of each fault.
use applepond_settings::deployment;
use applepond_workflow::{Function, StepId, Target};
use test_case::test_case;

const VALID: &str = r#"listen = "127.0.0.1:0"
rules {
  cold_share = 0.2
  warm_within = "10s"
  fall_multiple = 2.5
  fall_span = "1s"
}
workload "quote" {
  types = ["quote"]
  effect = "restartable"
  start_target = "500ms"
  time_limit = "5s"
}
workload "confirm" {
  types = ["confirm"]
  effect = "run-once"
  start_target = "500ms"
  time_limit = "5s"
}
worker "w1" {
  address = "127.0.0.1:9001"
}
chain "book" {
  types = ["book"]
  time_limit = "4s"
  step "price" {
    workload = "quote"
    at_least = "20ms"
    next { go = "beds" }
  }
  step "beds" {
    workload = "quote"
    function_from = "price.hut"
    next {
      when = "free"
      is = "yes"
      go = "confirm"
    }
    next {
      all = ["second", "third"]
      join = "confirm"
    }
    else { go = "confirm" }
  }
  step "second" { workload = "quote" }
  step "third" { workload = "quote" }
  step "confirm" {
    workload = "confirm"
    function = "confirm-hut"
  }
}
"#;

#[test]
fn a_valid_workflow() {
    let d = deployment(VALID).expect("no fault");
    let (workflow, plan) = (&d.workflows[0], &d.workflows[0].plan);
    assert_eq!(
        (workflow.types.as_slice(), workflow.function_attribute.as_str()),
        (&["book".to_owned()][..], "subject")
    );
    assert_eq!((plan.limit, plan.steps.len(), plan.steps[0].at_least), (4_000_000, 5, 20_000));
    assert_eq!(plan.steps[0].function, Function::OfEvent);
    assert_eq!(plan.steps[1].function, Function::From(StepId(0), "hut".into()));
    let targets: Vec<&Target> = plan.steps[1].next.iter().map(|b| &b.target).collect();
    let fork = Target::All(vec![StepId(2), StepId(3)], Some(StepId(4)));
    assert_eq!(targets, [&Target::One(StepId(4)), &fork]);
}

#[test_case("go = \"beds\"", "go = \"bed\"", "29:17: found step \"bed\"; wanted: one of price, beds";
    "no such step")]
#[test_case("\"price.hut\"", "\"price\"",
    "33:21: found function_from = \"price\"; wanted: a step and a field";
    "no field")]
#[test_case("\"price.hut\"", "\"second.hut\"",
    "33:21: found in chain \"book\": function from \"second.hut\"";
    "a result that may be missing")]
#[test_case("workload = \"confirm\"", "workload = \"confrm\"", "48:16: found workload \"confrm\"";
    "workload")]
#[test_case("      is = \"yes\"\n", "", "34:5: found when without is"; "half a condition")]
#[test_case("join = \"confirm\"", "join = \"confirm\"\n      end = true", "39:5: found 2 targets";
    "two targets")]
#[test_case("  step \"third\"", "  step \"fourth\" { workload = \"quote\" }\n  step \"third\"",
    "46:3: found in chain \"book\": unreachable step \"fourth\""; "unreachable")]
#[test_case("step \"third\" { workload = \"quote\" }",
    "step \"third\" {\n workload = \"quote\"\n next { go = \"price\" }\n}",
    "leads back to an earlier step"; "a cycle")]
#[test_case("\"4s\"", "\"10ms\"",
    "25:16: found in chain \"book\": at least 22 ms for a time limit of 10 ms";
    "too long for its limit")]
#[test_case("types = [\"book\"]", "types = [\"quote\"]",
    "24:11: found type \"quote\", already used by \"quote\""; "type twice")]
#[test_case("at_least", "at_last", "28:5: found 'at_last' in block 'step'"; "misspelt")]
#[test_case("go = \"beds\"", "goes = \"beds\"", "found 'goes' in block 'next'"; "misspelt in a branch")]
fn each_fault_is_reported_at_its_place(old: &str, new: &str, expected: &str) {
    assert!(VALID.contains(old), "nothing replaced");
    let faults = deployment(&VALID.replacen(old, new, 1)).expect_err("a fault");
    let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(all.iter().any(|f| f.contains(expected)), "{all:#?}");
}
