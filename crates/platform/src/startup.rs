//! The start-up configuration from the operators' settings, read alike for the simulator's first message and
//! for a real router's configuration.
use crate::errors::InputError;
use crate::fields::{InputResult, array, flag, number_or, object, optional, text, time, time_or_zero};
use applepond::interface::{
    AttemptPolicy, CustomerConfig, IdempotencyScope, LoadState, RetrySafety, SlowStartRules, StartupConfig,
    WorkloadConfig,
};
use serde_json::Value;

/// The names that the indices of the configuration stand for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigNames {
    /// Names of the workloads, by `WorkloadId`.
    pub workloads: Vec<String>,
    /// Names of the customers, by `CustomerId`.
    pub customers: Vec<String>,
    /// Names of the zones, by `ZoneId`.
    pub zones: Vec<String>,
}

impl ConfigNames {
    /// Reads them from the settings; a list that is absent is empty.
    ///
    /// # Errors
    /// A row without a name, or a name that is no text.
    pub fn read(setup: &Value) -> InputResult<Self> {
        let texts = |list| -> InputResult<Vec<String>> {
            let wanted = || InputError::field(list, "texts are wanted");
            rows(setup, list).map(|row| row.as_str().map(str::to_owned).ok_or_else(wanted)).collect()
        };
        let names = |list| -> InputResult<Vec<String>> {
            rows(setup, list).map(|row| text(row, "name").map(str::to_owned)).collect()
        };
        Ok(ConfigNames { workloads: names("lanes")?, customers: names("projects")?, zones: texts("zones")? })
    }
}

/// The rows of a list in the settings; none where it is absent.
fn rows<'a>(setup: &'a Value, list: &str) -> impl Iterator<Item = &'a Value> {
    optional(setup, list).and_then(Value::as_array).into_iter().flatten()
}

/// Reads the start-up configuration of one router; `seed` is that of its random generator.
///
/// # Errors
/// A field that is absent or not valid.
pub fn startup_config(setup: &Value, seed: u64) -> InputResult<StartupConfig> {
    let allowed = object(setup, "allowed")?;
    let rules = object(setup, "rules")?;
    let specifics = optional(setup, "specifics").unwrap_or(&Value::Null);
    Ok(StartupConfig {
        seed,
        router_index: number_or(setup, "self-index", 0.0)? as u64,
        router_count: (number_or(setup, "group-size", 1.0)? as u64).max(1),
        workloads: array(setup, "lanes")?.iter().map(workload).collect::<InputResult<_>>()?,
        customers: rows(setup, "projects").map(customer).collect::<InputResult<_>>()?,
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

fn customer(row: &Value) -> InputResult<CustomerConfig> {
    Ok(CustomerConfig { requests_per_second: number_or(row, "quota-per-s", 0.0)? })
}

fn workload(row: &Value) -> InputResult<WorkloadConfig> {
    let retry_safety = match text(row, "idempotency")? {
        "idempotent" => RetrySafety::Idempotent,
        "at_most_once" => RetrySafety::AtMostOnce,
        "deduplicated" => RetrySafety::Keyed {
            scope: match text(row, "group")? {
                "all" => IdempotencyScope::Everywhere,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Rack,
                other => return Err(InputError::field("group", format!("'{other}' is not known"))),
            },
            window: time(row, "window")?,
        },
        other => return Err(InputError::field("idempotency", format!("'{other}' is not known"))),
    };
    Ok(WorkloadConfig {
        retry_safety,
        latency_objective: time(row, "on-time")?,
        priority_weight: number_or(row, "worth", 1.0)?,
        late_priority_factor: number_or(row, "late-worth", 0.0)?,
    })
}

/// What a note in the simulator's protocol says of the function's copy on a worker.
pub fn load_state_from_code(note: u32) -> LoadState {
    match note {
        1 => LoadState::Loaded,
        2 => LoadState::LoadStarted,
        3 => LoadState::LoadPending,
        4 => LoadState::LoadFailed,
        _ => LoadState::Unreported,
    }
}
