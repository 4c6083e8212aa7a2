//! Start-up rows from the operators' settings: the same reading for the simulator's first message and for a
//! real router's configuration.
use crate::fault::Unfit;
use crate::fields::*;
use applepond::interface::*;
use serde_json::Value;

/// The names behind the positions in the rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Words {
    pub workloads: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
}

impl Words {
    pub fn read(setup: &Value) -> Read<Self> {
        let plain = |name| -> Read<Vec<String>> {
            let list = maybe(setup, name).and_then(Value::as_array).into_iter().flatten();
            list.map(|v| v.as_str().map(str::to_owned).ok_or_else(|| Unfit::field(name, "texts are wanted")))
                .collect()
        };
        let rows = |name| -> Read<Vec<String>> {
            let list = maybe(setup, name).and_then(Value::as_array).into_iter().flatten();
            list.map(|row| text(row, "name").map(str::to_owned)).collect()
        };
        Ok(Words { workloads: rows("lanes")?, customers: rows("projects")?, zones: plain("zones")? })
    }
}

pub fn startup(setup: &Value, seed: u64) -> Read<StartupConfig> {
    let allowed = object(setup, "allowed")?;
    let rules = object(setup, "rules")?;
    let own = maybe(setup, "specifics").unwrap_or(&Value::Null);
    Ok(StartupConfig {
        seed,
        router_index: number_or(setup, "self-index", 0.0)? as u64,
        router_count: (number_or(setup, "group-size", 1.0)? as u64).max(1),
        workloads: array(setup, "lanes")?.iter().map(workload).collect::<Read<_>>()?,
        customers: maybe(setup, "projects")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
            .map(|row| {
                number_or(row, "quota-per-s", 0.0)
                    .map(|jobs_per_s| CustomerConfig { requests_per_second: jobs_per_s })
            })
            .collect::<Read<_>>()?,
        attempt_policy: AttemptPolicy {
            max_attempts: number_or(allowed, "attempts-cap", 1.0)? as usize,
            cancel_allowed: mark(allowed, "cancel")?,
            hedging_allowed: mark(allowed, "second-copies")?,
            retry_after_allowed: mark(allowed, "retry-after")?,
            max_retry_after: time_or_none(allowed, "max-retry-after")?,
        },
        slow_start: SlowStartRules {
            initial_capacity: number_or(rules, "cold-from", 1.0)?,
            warmup_time: time_or_none(rules, "warm-within")?,
            overload_factor: number_or(rules, "fall-multiple", 1.0)?,
            overload_window: time_or_none(rules, "fall")?,
        },
        over_quota_factor: number_or(setup, "over-share-worth", 1.0)?,
        cache_lifetime: time_or_none(own, "keep")?,
        reports_same_function: mark(own, "says-company")?,
        timeouts_shared: true,
        watches_endpoints: maybe(setup, "discovery").and_then(Value::as_str) == Some("ask"),
        weights_shared: maybe(setup, "weights").and_then(Value::as_str) != Some("live"),
    })
}

fn workload(row: &Value) -> Read<WorkloadConfig> {
    let effect = match text(row, "idempotency")? {
        "idempotent" => RetrySafety::Idempotent,
        "at_most_once" => RetrySafety::AtMostOnce,
        "deduplicated" => RetrySafety::Keyed {
            scope: match text(row, "group")? {
                "all" => IdempotencyScope::Everywhere,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Rack,
                other => return Err(Unfit::field("group", format!("'{other}' is not known"))),
            },
            window: time(row, "window")?,
        },
        other => return Err(Unfit::field("idempotency", format!("'{other}' is not known"))),
    };
    Ok(WorkloadConfig {
        retry_safety: effect,
        latency_objective: time(row, "on-time")?,
        priority_weight: number_or(row, "worth", 1.0)?,
        late_priority_factor: number_or(row, "late-worth", 0.0)?,
    })
}

/// What a note of the simulator says of the function's copy.
pub fn copy_note(note: u32) -> LoadState {
    match note {
        1 => LoadState::Loaded,
        2 => LoadState::LoadStarted,
        3 => LoadState::LoadPending,
        4 => LoadState::LoadFailed,
        _ => LoadState::Unreported,
    }
}
