//! The digest that identifies the plan of a stored workflow.
//!
//! It is part of each workflow record, so the hashed text is part of the storage format: it keeps the
//! original names of types and fields when these are renamed in the code. `tests/golden.rs` guards it.

use crate::deployment::WorkloadEvents;
use applepond::interface::{FunctionId, IdempotencyScope, RetrySafety};
use applepond_workflow::{Branch, Function, Plan, Step, StepId, Target, Test};

/// Returns the digest of a plan, which differs once the plan has been changed. Workloads enter it by name, as
/// their indices may differ after a reload and after a restart.
pub(super) fn plan_digest(plan: &Plan, workloads: &[WorkloadEvents]) -> u64 {
    let steps = list(&plan.steps, step_text);
    let names: Vec<&str> = plan.steps.iter().map(|step| workloads[step.workload].name.as_str()).collect();
    let text = format!("Plan {{ name: {:?}, limit: {}, steps: {steps} }}{names:?}", plan.name, plan.limit);
    FunctionId::named(&text).0
}

/// Formats a list in brackets.
fn list<T>(items: &[T], text: impl Fn(&T) -> String) -> String {
    let items: Vec<String> = items.iter().map(text).collect();
    format!("[{}]", items.join(", "))
}

/// Formats an optional item.
fn optional<T>(item: Option<&T>, text: impl Fn(&T) -> String) -> String {
    item.map_or("None".to_owned(), |item| format!("Some({})", text(item)))
}

fn step_text(step: &Step) -> String {
    // A constant takes the place of the workload's index; `plan_digest` hashes its name.
    let fields = [
        format!("name: {:?}", step.name),
        "workload: 0".to_owned(),
        format!("effect: {}", retry_safety_text(step.effect)),
        format!("function: {}", function_text(&step.function)),
        format!("at_least: {}", step.at_least),
        format!("optional: {}", step.optional),
        format!("undo: {}", optional(step.undo.as_ref(), step_id_text)),
        format!("next: {}", list(&step.next, branch_text)),
        format!("or_else: {}", list(&step.or_else, branch_text)),
    ];
    format!("Step {{ {} }}", fields.join(", "))
}

fn retry_safety_text(retry_safety: RetrySafety) -> String {
    match retry_safety {
        RetrySafety::Idempotent => "Idempotent".to_owned(),
        RetrySafety::AtMostOnce => "AtMostOnce".to_owned(),
        RetrySafety::Keyed { scope, window } => {
            let scope = match scope {
                IdempotencyScope::Everywhere => "Everywhere",
                IdempotencyScope::Zone => "Zone",
                IdempotencyScope::Rack => "Rack",
            };
            format!("Keyed {{ within: {scope}, window: {window} }}")
        }
    }
}

fn function_text(function: &Function) -> String {
    match function {
        Function::Named(name) => format!("Named({name:?})"),
        Function::OfEvent => "OfEvent".to_owned(),
        Function::From(step, field) => format!("From({}, {field:?})", step_id_text(step)),
    }
}

fn step_id_text(step: &StepId) -> String {
    format!("StepId({})", step.0)
}

fn branch_text(branch: &Branch) -> String {
    let test = optional(branch.test.as_ref(), test_text);
    format!("Branch {{ test: {test}, go: {} }}", target_text(&branch.target))
}

fn test_text(test: &Test) -> String {
    format!("Test {{ field: {:?}, is: {:?} }}", test.field, test.is)
}

fn target_text(target: &Target) -> String {
    let arms = |name: &str, steps: &[StepId], join: Option<&StepId>| {
        format!("{name}({}, {})", list(steps, step_id_text), optional(join, step_id_text))
    };
    match target {
        Target::End => "End".to_owned(),
        Target::One(step) => format!("One({})", step_id_text(step)),
        Target::All(steps, join) => arms("All", steps, join.as_ref()),
        Target::First(steps, join) => arms("First", steps, join.as_ref()),
    }
}
