//! Reads the start-up configuration from the operators' settings. The simulator's first message and a real
//! router's configuration file use the same format.
use crate::errors::InputError;
use crate::fields::{InputResult, array, flag, number_or, object, optional, text, time, time_or_zero};
use applepond::interface::{
    AttemptPolicy, CustomerConfig, IdempotencyScope, LoadState, RetrySafety, SlowStartRules, StartupConfig,
    WorkloadConfig,
};
use serde_json::Value;

/// The names behind the indices of the start-up configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigNames {
    /// Workload names, by `WorkloadId`.
    pub workloads: Vec<String>,
    /// Customer names, by `CustomerId`.
    pub customers: Vec<String>,
    /// Zone names, by `ZoneId`.
    pub zones: Vec<String>,
}

impl ConfigNames {
    /// Reads the names from the settings. An absent list counts as empty.
    ///
    /// # Errors
    /// An entry has no name, or its name is not a string.
    pub fn read(setup: &Value) -> InputResult<Self> {
        let strings = |list| -> InputResult<Vec<String>> {
            let not_a_string = || InputError::field(list, "expected strings");
            entries(setup, list)
                .map(|entry| entry.as_str().map(str::to_owned).ok_or_else(not_a_string))
                .collect()
        };
        let names = |list| -> InputResult<Vec<String>> {
            entries(setup, list).map(|entry| text(entry, "name").map(str::to_owned)).collect()
        };
        Ok(ConfigNames {
            workloads: names("lanes")?,
            customers: names("projects")?,
            zones: strings("zones")?,
        })
    }
}

/// The entries of a list in the settings; none if the list is absent.
fn entries<'a>(setup: &'a Value, list: &str) -> impl Iterator<Item = &'a Value> {
    optional(setup, list).and_then(Value::as_array).into_iter().flatten()
}

/// Reads the start-up configuration of one router. `seed` seeds its random number generator.
///
/// # Errors
/// A required field is absent, or a field is invalid.
pub fn startup_config(setup: &Value, seed: u64) -> InputResult<StartupConfig> {
    let allowed = object(setup, "allowed")?;
    let rules = object(setup, "rules")?;
    let specifics = optional(setup, "specifics").unwrap_or(&Value::Null);
    Ok(StartupConfig {
        seed,
        router_index: number_or(setup, "self-index", 0.0)? as u64,
        router_count: (number_or(setup, "group-size", 1.0)? as u64).max(1),
        workloads: array(setup, "lanes")?.iter().map(workload).collect::<InputResult<_>>()?,
        customers: entries(setup, "projects").map(customer).collect::<InputResult<_>>()?,
        attempt_policy: attempt_policy(allowed)?,
        slow_start: slow_start(rules)?,
        over_quota_factor: number_or(setup, "over-share-worth", 1.0)?,
        cache_lifetime: time_or_zero(specifics, "keep")?,
        reports_same_function: flag(specifics, "says-company")?,
        timeouts_shared: true,
        watches_endpoints: optional(setup, "discovery").and_then(Value::as_str) == Some("ask"),
        weights_shared: optional(setup, "weights").and_then(Value::as_str) != Some("live"),
    })
}

fn attempt_policy(allowed: &Value) -> InputResult<AttemptPolicy> {
    Ok(AttemptPolicy {
        max_attempts: number_or(allowed, "attempts-cap", 1.0)? as usize,
        cancel_allowed: flag(allowed, "cancel")?,
        hedging_allowed: flag(allowed, "second-copies")?,
        retry_after_allowed: flag(allowed, "retry-after")?,
        max_retry_after: time_or_zero(allowed, "max-retry-after")?,
    })
}

fn slow_start(rules: &Value) -> InputResult<SlowStartRules> {
    Ok(SlowStartRules {
        initial_capacity: number_or(rules, "cold-from", 1.0)?,
        warmup_time: time_or_zero(rules, "warm-within")?,
        overload_factor: number_or(rules, "fall-multiple", 1.0)?,
        overload_window: time_or_zero(rules, "fall")?,
    })
}

fn customer(entry: &Value) -> InputResult<CustomerConfig> {
    Ok(CustomerConfig { requests_per_second: number_or(entry, "quota-per-s", 0.0)? })
}

fn workload(entry: &Value) -> InputResult<WorkloadConfig> {
    let retry_safety = match text(entry, "idempotency")? {
        "idempotent" => RetrySafety::Idempotent,
        "at_most_once" => RetrySafety::AtMostOnce,
        "deduplicated" => RetrySafety::Keyed {
            scope: match text(entry, "group")? {
                "all" => IdempotencyScope::Everywhere,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Rack,
                other => return Err(InputError::field("group", format!("unknown value '{other}'"))),
            },
            window: time(entry, "window")?,
        },
        other => return Err(InputError::field("idempotency", format!("unknown value '{other}'"))),
    };
    Ok(WorkloadConfig {
        retry_safety,
        latency_objective: time(entry, "on-time")?,
        priority_weight: number_or(entry, "worth", 1.0)?,
        late_priority_factor: number_or(entry, "late-worth", 0.0)?,
    })
}

/// The load state of a function on a worker, from its code in the simulator's protocol.
pub fn load_state_from_code(code: u32) -> LoadState {
    match code {
        1 => LoadState::Loaded,
        2 => LoadState::LoadStarted,
        3 => LoadState::LoadPending,
        4 => LoadState::LoadFailed,
        _ => LoadState::Unreported,
    }
}
