//! `workload` blocks.
use crate::section::Section;
use applepond::interface::{IdempotencyScope, RetrySafety, WorkloadConfig};
use applepond_gateway::deployment::{FunctionConfig, FunctionSource, PrefixAttributes, WorkloadEvents};

/// Configuration of one workload, for the routing module and for the gateway.
pub(crate) struct Workload {
    pub(crate) config: WorkloadConfig,
    pub(crate) events: WorkloadEvents,
}

/// Reads one `workload` block.
pub(crate) fn workload(name: &str, section: &Section<'_>) -> Option<Workload> {
    let retry_safety = retry_safety(section);
    let start_target = section.time("start_target", None);
    let time_limit = section.time("time_limit", None);
    if let (Some(target), Some(limit)) = (start_target, time_limit)
        && target > limit
    {
        let span = section.span_of("start_target");
        section.fault(
            &span,
            "a start_target later than the time_limit",
            "a start_target of at most the time_limit",
        );
    }
    let importance = section.number("importance", 0.001..1e6, Some(1.0));
    let late_part = section.number("late_part", 0.0..1.0, Some(0.0));
    let types = event_types(section);
    let function_source = function_source(section);
    let prefix_attributes = prefix_attributes(section);
    let default_function = function(section);
    let types = types?;
    Some(Workload {
        config: WorkloadConfig {
            retry_safety: retry_safety?,
            latency_objective: start_target?,
            priority_weight: importance?,
            late_priority_factor: late_part?,
        },
        events: WorkloadEvents {
            name: name.to_owned(),
            step_type: types.first().cloned().unwrap_or_default(),
            types,
            function_source: function_source?,
            prefix_attributes,
            deadline: time_limit?,
            default_function: default_function?,
        },
    })
}

fn retry_safety(section: &Section<'_>) -> Option<RetrySafety> {
    const SCOPES: [&str; 3] = ["everywhere", "zone", "rack"];
    let effect = section.one_of("effect", &["restartable", "fingerprinted", "run-once"], None);
    let is_keyed = effect.as_deref() == Some("fingerprinted");
    if !is_keyed {
        for key in ["within", "window"].into_iter().filter(|key| section.has(key)) {
            let found = format!("{key} of a workload that carries no idempotency key");
            section.fault(&section.span_of(key), found, "this key only with effect = \"fingerprinted\"");
        }
    }
    // Both keys are requested for every workload, as they are known keys; they are required in keyed ones.
    let scope = section.one_of("within", &SCOPES, (!is_keyed).then_some("rack"));
    let window = section.time("window", (!is_keyed).then_some(0));
    Some(match effect?.as_str() {
        "restartable" => RetrySafety::Idempotent,
        "run-once" => RetrySafety::AtMostOnce,
        _ => RetrySafety::Keyed {
            scope: match scope?.as_str() {
                "everywhere" => IdempotencyScope::Everywhere,
                "zone" => IdempotencyScope::Zone,
                _ => IdempotencyScope::Rack,
            },
            window: window?,
        },
    })
}

/// Reads `types`, which must not be empty.
pub(crate) fn event_types(section: &Section<'_>) -> Option<Vec<String>> {
    let types = section.strings("types", None);
    if types.as_ref().is_some_and(Vec::is_empty) {
        section.fault(&section.span_of("types"), "no type", "at least one");
    }
    types
}

fn function_source(section: &Section<'_>) -> Option<FunctionSource> {
    let source = match (section.has("function"), section.has("function_by")) {
        (true, true) => {
            let span = section.span_of("function_by");
            section.fault(&span, "function and function_by", "one of them");
            None
        }
        (true, false) => section.string("function", None).map(FunctionSource::Named),
        _ => section.string("function_by", Some("subject")).map(FunctionSource::Attribute),
    };
    // Requests both keys, so that neither is reported as unknown.
    let _ = (section.string("function", Some("")), section.string("function_by", Some("")));
    source
}

fn prefix_attributes(section: &Section<'_>) -> Option<PrefixAttributes> {
    let name = section.string("opening_by", Some("")).filter(|_| section.has("opening_by"));
    let size = section.string("opening_size_by", Some("")).filter(|_| section.has("opening_size_by"));
    if name.is_some() != size.is_some() {
        let key = if name.is_some() { "opening_by" } else { "opening_size_by" };
        let found = "one of opening_by and opening_size_by";
        section.fault(&section.span_of(key), found, "both, or neither");
    }
    name.zip(size).map(|(name, size)| PrefixAttributes { name, size })
}

/// Reads the configuration of a function, from a `function` block or as the default of a workload.
pub(crate) fn function(section: &Section<'_>) -> Option<FunctionConfig> {
    let concurrency = section.integer("lanes", 1..10_000, Some(1));
    let memory_mb = section.integer("memory_mb", 1..10_000_000, Some(256));
    let load_time = section.time("load_time", Some(0)).map(|time| (time > 0).then_some(time));
    Some(FunctionConfig {
        concurrency: concurrency? as u32,
        memory_mb: memory_mb? as u32,
        load_time: load_time?,
    })
}
