//! `chain` blocks as plans, each fault at its line and column.
use crate::sheet::{Part, Place};
use applepond::interface::{Micros, WorkloadConfig};
use applepond_gateway::deployment::{WorkflowConfig, WorkloadEvents};
use applepond_workflow as chain;
use applepond_workflow::{Branch, Function, Go, Plan, Step, StepId, Test};
use std::sync::Arc;

/// What a step is told of when it names no time.
const AT_LEAST: Micros = 1_000;

/// One step as it stands in the file, names not yet looked up.
struct Raw<'a> {
    name: String,
    part: Part<'a>,
    next: Vec<Part<'a>>,
    or_else: Vec<Part<'a>>,
}

impl Raw<'_> {
    fn place(&self, part: chain::Part) -> Place {
        let first = |parts: &[Part<'_>]| parts.first().map(|p| p.place.clone());
        let found = match part {
            chain::Part::Step | chain::Part::AtLeast => None,
            chain::Part::Function => Some(self.part.place_of("function_from")),
            chain::Part::Undo => Some(self.part.place_of("undo")),
            chain::Part::Next => first(&self.next),
            chain::Part::OrElse => first(&self.or_else),
        };
        found.unwrap_or(self.part.place.clone())
    }
}

/// Reads one `chain` block.
pub fn chain(
    name: &str,
    part: &Part<'_>,
    rows: &[WorkloadConfig],
    workloads: &[WorkloadEvents],
) -> Option<WorkflowConfig> {
    let types = part.texts("types", None);
    if types.as_ref().is_some_and(Vec::is_empty) {
        part.fault(&part.place_of("types"), "no type", "at least one");
    }
    let limit = part.time("time_limit", None);
    let function_by = part.text("function_by", Some("subject"));
    let raws: Vec<Raw<'_>> = part
        .named("step")
        .into_iter()
        .map(|(name, part)| Raw { name, next: part.blocks("next"), or_else: part.blocks("else"), part })
        .collect();
    let names: Vec<String> = raws.iter().map(|r| r.name.clone()).collect();
    let steps: Vec<Option<Step>> = raws.iter().map(|raw| step(raw, &names, rows, workloads)).collect();
    let plan = steps.into_iter().collect::<Option<Vec<Step>>>().zip(limit).map(|(steps, limit)| Plan {
        name: name.to_owned(),
        limit,
        steps,
    });
    if let Some(plan) = &plan {
        for fault in plan.check() {
            let place = match fault.step {
                _ if fault.part == chain::Part::AtLeast => part.place_of("time_limit"),
                Some(step) => raws[step.0].place(fault.part),
                None => part.place.clone(),
            };
            part.fault(&place, format!("in chain \"{name}\": {}", fault.found), fault.wanted);
        }
    }
    for raw in raws {
        raw.next.into_iter().chain(raw.or_else).for_each(Part::done);
        raw.part.done();
    }
    Some(WorkflowConfig { types: types?, function_attribute: function_by?, plan: Arc::new(plan?) })
}

fn step(
    raw: &Raw<'_>,
    names: &[String],
    rows: &[WorkloadConfig],
    workloads: &[WorkloadEvents],
) -> Option<Step> {
    let part = &raw.part;
    let workload = part.text("workload", None).and_then(|wanted| {
        let found = workloads.iter().position(|w| w.name == wanted);
        if found.is_none() {
            let known: Vec<&str> = workloads.iter().map(|w| w.name.as_str()).collect();
            let wanted_one = format!("one of {}", known.join(", "));
            part.fault(&part.place_of("workload"), format!("workload \"{wanted}\""), wanted_one);
        }
        found
    });
    let given = ["function", "function_from"].into_iter().filter(|k| part.has(k)).count();
    if given > 1 {
        part.fault(&part.place_of("function_from"), "function and function_from", "one of them");
    }
    let named = part.text("function", Some("")).filter(|_| part.has("function")).map(Function::Named);
    let from = part.text("function_from", Some("")).filter(|_| part.has("function_from"));
    let from = from.and_then(|text| match text.split_once('.') {
        Some((of, field)) if !field.is_empty() => {
            look_up(part, "function_from", of, names).map(|of| Function::From(of, field.to_owned()))
        }
        _ => {
            let found = format!("function_from = \"{text}\"");
            part.fault(&part.place_of("function_from"), found, "a step and a field, as \"price.hut\"");
            None
        }
    });
    let at_least = part.time("at_least", Some(AT_LEAST));
    let optional = part.mark("optional", Some(false));
    let undo = part.text("undo", Some("")).filter(|_| part.has("undo"));
    let undo = undo.and_then(|wanted| look_up(part, "undo", &wanted, names));
    let branches = |parts: &[Part<'_>]| parts.iter().map(|p| branch(p, names)).collect::<Vec<_>>();
    let (next, or_else) = (branches(&raw.next), branches(&raw.or_else));
    let function = if given == 0 { Function::OfEvent } else { named.or(from)? };
    let workload = workload?;
    Some(Step {
        name: raw.name.clone(),
        workload,
        effect: rows.get(workload)?.retry_safety,
        function,
        at_least: at_least?,
        optional: optional?,
        undo,
        next: next.into_iter().collect::<Option<_>>()?,
        or_else: or_else.into_iter().collect::<Option<_>>()?,
    })
}

fn look_up(part: &Part<'_>, key: &str, wanted: &str, names: &[String]) -> Option<StepId> {
    let found = names.iter().position(|n| n == wanted);
    if found.is_none() {
        let known = format!("one of {}", names.join(", "));
        part.fault(&part.place_of(key), format!("step \"{wanted}\""), known);
    }
    found.map(StepId)
}

fn branch(part: &Part<'_>, names: &[String]) -> Option<Branch> {
    let test = match (part.has("when"), part.has("is")) {
        (false, false) => Some(None),
        (true, true) => {
            let (field, is) = (part.text("when", None), part.text("is", None));
            field.zip(is).map(|(field, is)| Some(Test { field, is }))
        }
        _ => {
            part.fault(&part.place.clone(), "when without is, or is without when", "both, or neither");
            None
        }
    };
    // Both keys are known, whichever was given.
    let _ = (part.text("when", Some("")), part.text("is", Some("")));
    let one = part.text("go", Some("")).filter(|_| part.has("go"));
    let one = one.and_then(|to| look_up(part, "go", &to, names)).map(Go::One);
    let join = part.text("join", Some("")).filter(|_| part.has("join"));
    let join = join.map(|to| look_up(part, "join", &to, names));
    let arms = |key: &str| {
        let wanted = part.texts(key, Some(Vec::new())).filter(|_| part.has(key))?;
        wanted.iter().map(|to| look_up(part, key, to, names)).collect::<Option<Vec<_>>>()
    };
    let (all, first) = (arms("all"), arms("first"));
    let end = part.mark("end", Some(false));
    let given = ["go", "all", "first", "end"].into_iter().filter(|k| part.has(k)).count();
    if given != 1 {
        part.fault(&part.place.clone(), format!("{given} ways to go on"), "one of go, all, first, end");
        return None;
    }
    let join = match join {
        Some(None) => return None,
        Some(to) => to,
        None => None,
    };
    let go = one
        .or(all.map(|arms| Go::All(arms, join)))
        .or(first.map(|arms| Go::First(arms, join)))
        .or(end.filter(|end| *end).map(|_| Go::End));
    Some(Branch { test: test?, go: go? })
}
