//! `chain` blocks, each of which defines the plan of a workflow.
use crate::section::{Section, Span};
use crate::workload::{Workload, event_types};
use applepond::interface::Micros;
use applepond_gateway::deployment::WorkflowConfig;
use applepond_workflow::{Branch, Function, Plan, PlanFault, Step, StepId, StepPart, Target, Test};
use std::sync::Arc;

/// Estimated time of a step without `at_least`, in µs.
const DEFAULT_STEP_TIME_US: Micros = 1_000;

/// The blocks of one step, whose references to other steps are not resolved yet.
struct StepSection<'a> {
    name: String,
    section: Section<'a>,
    next: Vec<Section<'a>>,
    or_else: Vec<Section<'a>>,
}

impl StepSection<'_> {
    /// Span of a part of the step.
    fn span(&self, part: StepPart) -> Span {
        let first = |sections: &[Section<'_>]| sections.first().map(|section| section.span.clone());
        let found = match part {
            StepPart::Step | StepPart::AtLeast => None,
            StepPart::Function => Some(self.section.span_of("function_from")),
            StepPart::Undo => Some(self.section.span_of("undo")),
            StepPart::Next => first(&self.next),
            StepPart::OrElse => first(&self.or_else),
        };
        found.unwrap_or(self.section.span.clone())
    }

    /// Reports unknown keys and blocks of the step.
    fn report_unknown(self) {
        self.next.into_iter().chain(self.or_else).for_each(Section::report_unknown);
        self.section.report_unknown();
    }
}

/// Reads one `chain` block.
pub(crate) fn workflow(name: &str, section: &Section<'_>, workloads: &[Workload]) -> Option<WorkflowConfig> {
    let types = event_types(section);
    let limit = section.time("time_limit", None);
    let function_attribute = section.string("function_by", Some("subject"));
    let steps: Vec<StepSection<'_>> = section
        .labelled_blocks("step")
        .into_iter()
        .map(|(name, section)| {
            let (next, or_else) = (section.unlabelled_blocks("next"), section.unlabelled_blocks("else"));
            StepSection { name, section, next, or_else }
        })
        .collect();
    let plan = plan(name, &steps, limit, workloads);
    for fault in plan.iter().flat_map(Plan::check) {
        let span = span_of_fault(&fault, section, &steps);
        section.fault(&span, format!("in chain \"{name}\": {}", fault.found), fault.wanted);
    }
    steps.into_iter().for_each(StepSection::report_unknown);
    Some(WorkflowConfig { types: types?, function_attribute: function_attribute?, plan: Arc::new(plan?) })
}

fn plan(
    name: &str,
    sections: &[StepSection<'_>],
    limit: Option<Micros>,
    workloads: &[Workload],
) -> Option<Plan> {
    let names: Vec<String> = sections.iter().map(|step| step.name.clone()).collect();
    let steps: Vec<Option<Step>> = sections.iter().map(|section| step(section, &names, workloads)).collect();
    let steps: Vec<Step> = steps.into_iter().collect::<Option<_>>()?;
    Some(Plan { name: name.to_owned(), limit: limit?, steps })
}

fn span_of_fault(fault: &PlanFault, section: &Section<'_>, steps: &[StepSection<'_>]) -> Span {
    match fault.step {
        _ if fault.part == StepPart::AtLeast => section.span_of("time_limit"),
        Some(step) => steps[step.0].span(fault.part),
        None => section.span.clone(),
    }
}

fn step(step: &StepSection<'_>, names: &[String], workloads: &[Workload]) -> Option<Step> {
    let section = &step.section;
    let workload = workload_index(section, workloads);
    let function = function(section, names);
    let at_least = section.time("at_least", Some(DEFAULT_STEP_TIME_US));
    let optional = section.boolean("optional", Some(false));
    let undo = section.string("undo", Some("")).filter(|_| section.has("undo"));
    let undo = undo.and_then(|wanted| find_step(section, "undo", &wanted, names));
    let (next, or_else) = (branches(&step.next, names), branches(&step.or_else, names));
    let workload = workload?;
    Some(Step {
        name: step.name.clone(),
        workload,
        effect: workloads[workload].config.retry_safety,
        function: function?,
        at_least: at_least?,
        optional: optional?,
        undo,
        next: next?,
        or_else: or_else?,
    })
}

fn workload_index(section: &Section<'_>, workloads: &[Workload]) -> Option<usize> {
    let wanted = section.string("workload", None)?;
    let found = workloads.iter().position(|workload| workload.events.name == wanted);
    if found.is_none() {
        let known: Vec<&str> = workloads.iter().map(|workload| workload.events.name.as_str()).collect();
        let known = format!("one of {}", known.join(", "));
        section.fault(&section.span_of("workload"), format!("workload \"{wanted}\""), known);
    }
    found
}

/// Reads where the name of a step's function comes from.
fn function(section: &Section<'_>, names: &[String]) -> Option<Function> {
    let given = ["function", "function_from"].into_iter().filter(|key| section.has(key)).count();
    if given > 1 {
        let span = section.span_of("function_from");
        section.fault(&span, "function and function_from", "one of them");
    }
    let named = section.string("function", Some("")).filter(|_| section.has("function"));
    let from = section.string("function_from", Some("")).filter(|_| section.has("function_from"));
    let from = from.and_then(|text| function_from(section, &text, names));
    if given == 0 { Some(Function::OfEvent) } else { named.map(Function::Named).or(from) }
}

/// Parses a reference to a field of an earlier step's result, `STEP.FIELD`, that names the function.
fn function_from(section: &Section<'_>, text: &str, names: &[String]) -> Option<Function> {
    match text.split_once('.') {
        Some((step, field)) if !field.is_empty() => {
            let step = find_step(section, "function_from", step, names)?;
            Some(Function::From(step, field.to_owned()))
        }
        _ => {
            let found = format!("function_from = \"{text}\"");
            let wanted = "a step and a field, as \"price.hut\"";
            section.fault(&section.span_of("function_from"), found, wanted);
            None
        }
    }
}

/// Finds a step by its name.
fn find_step(section: &Section<'_>, key: &str, wanted: &str, names: &[String]) -> Option<StepId> {
    let found = names.iter().position(|name| name == wanted);
    if found.is_none() {
        let known = format!("one of {}", names.join(", "));
        section.fault(&section.span_of(key), format!("step \"{wanted}\""), known);
    }
    found.map(StepId)
}

/// Reads all branches; `None` if one of them has a fault.
fn branches(sections: &[Section<'_>], names: &[String]) -> Option<Vec<Branch>> {
    let branches: Vec<Option<Branch>> = sections.iter().map(|section| branch(section, names)).collect();
    branches.into_iter().collect()
}

fn branch(section: &Section<'_>, names: &[String]) -> Option<Branch> {
    let condition = condition(section);
    let target = target(section, names);
    Some(Branch { test: condition?, target: target? })
}

/// Reads the condition of a branch. The result is `None` after a fault, and `Some(None)` for an
/// unconditional branch.
fn condition(section: &Section<'_>) -> Option<Option<Test>> {
    let condition = match (section.has("when"), section.has("is")) {
        (false, false) => Some(None),
        (true, true) => {
            let (field, is) = (section.string("when", None), section.string("is", None));
            field.zip(is).map(|(field, is)| Some(Test { field, is }))
        }
        _ => {
            let found = "when without is, or is without when";
            section.fault(&section.span.clone(), found, "both, or neither");
            None
        }
    };
    // Requests both keys, so that neither is reported as unknown.
    let _ = (section.string("when", Some("")), section.string("is", Some("")));
    condition
}

/// Reads the target of a branch.
fn target(section: &Section<'_>, names: &[String]) -> Option<Target> {
    let one = section.string("go", Some("")).filter(|_| section.has("go"));
    let one = one.and_then(|to| find_step(section, "go", &to, names)).map(Target::One);
    let join = section.string("join", Some("")).filter(|_| section.has("join"));
    let join = join.map(|to| find_step(section, "join", &to, names));
    let arms = |key: &str| {
        let wanted = section.strings(key, Some(Vec::new())).filter(|_| section.has(key))?;
        wanted.iter().map(|to| find_step(section, key, to, names)).collect::<Option<Vec<_>>>()
    };
    let (all, first) = (arms("all"), arms("first"));
    let end = section.boolean("end", Some(false));
    let given = ["go", "all", "first", "end"].into_iter().filter(|key| section.has(key)).count();
    if given != 1 {
        let found = format!("{given} targets");
        section.fault(&section.span.clone(), found, "one of go, all, first, end");
        return None;
    }
    let join = match join {
        Some(None) => return None,
        Some(to) => to,
        None => None,
    };
    one.or(all.map(|arms| Target::All(arms, join)))
        .or(first.map(|arms| Target::First(arms, join)))
        .or(end.filter(|end| *end).map(|_| Target::End))
}
