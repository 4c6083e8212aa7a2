//! Merges a new configuration into the running one: checks which settings may change without a restart, and
//! maps the indices of the new configuration to those of the old one.
//!
//! Requests in flight refer to workloads, customers and zones by index, so an entry never moves. An entry
//! that the new configuration omits remains, without event types for clients (workloads) or with a quota of
//! zero (customers), and is reused if a later configuration names it again.
use crate::deployment::{Deployment, FleetConfig, WorkloadEvents};
use applepond::interface::{CustomerConfig, WorkloadConfig};

/// Maximum number of names of workloads, customers or zones, each accumulated over all reloads. Switching
/// back to an earlier configuration adds none. Far more than any deployment has, so more indicate a mistake.
const MAX_NAMES: usize = 10_000;

/// Changed keys of the settings file that require a restart.
pub type RestartOnlyKeys = Vec<&'static str>;

/// The names of both configurations.
struct MergedNames {
    /// The old names in order, followed by those that are only in the new configuration.
    all: Vec<String>,
    /// Index into `all` of each name of the new configuration, in its order.
    indices: Vec<usize>,
}

impl MergedNames {
    fn new<'a>(old: impl Iterator<Item = &'a String>, new: impl Iterator<Item = &'a String>) -> Self {
        let mut all: Vec<String> = old.cloned().collect();
        let mut index_of = |name: &String| {
            all.iter().position(|known| known == name).unwrap_or_else(|| {
                all.push(name.clone());
                all.len() - 1
            })
        };
        let indices = new.map(&mut index_of).collect();
        MergedNames { all, indices }
    }
}

/// Merges `new` into `old`.
///
/// # Errors
///
/// Returns the changed keys of the settings file that require a restart; no part of `new` may be applied
/// then.
pub fn merge(old: &Deployment, new: Deployment) -> Result<Deployment, RestartOnlyKeys> {
    let mut refused = changed_restart_only_keys(old, &new);
    let name = |workload: &WorkloadEvents| workload.name.clone();
    let old_names: Vec<String> = old.workloads.iter().map(name).collect();
    let new_names: Vec<String> = new.workloads.iter().map(name).collect();
    let workload_names = MergedNames::new(old_names.iter(), new_names.iter());
    let customers = MergedNames::new(old.customers.iter(), new.customers.iter());
    let zones = MergedNames::new(old.zones.iter(), new.zones.iter());
    for (key, names) in [("workload", &workload_names), ("customer", &customers), ("zones", &zones)] {
        refused.extend((names.all.len() > MAX_NAMES).then_some(key));
    }
    if !refused.is_empty() {
        return Err(refused);
    }
    let mut startup = new.startup;
    let new_configs = std::mem::take(&mut startup.workloads);
    let (workloads, configs) = merge_workloads(old, &workload_names.indices, new.workloads, new_configs);
    startup.workloads = configs;
    startup.customers = merge_customers(&customers, std::mem::take(&mut startup.customers));
    let mut workflows = new.workflows;
    for workflow in &mut workflows {
        let mut plan = (*workflow.plan).clone();
        plan.steps.iter_mut().for_each(|step| step.workload = workload_names.indices[step.workload]);
        workflow.plan = plan.into();
    }
    let mut workers = new.workers;
    workers.iter_mut().for_each(|worker| worker.zone = worker.zone.map(|zone| zones.indices[zone]));
    Ok(Deployment {
        startup,
        workloads,
        customers: customers.all,
        zones: zones.all,
        workflows,
        workers,
        ..new
    })
}

/// Returns the keys of the settings that differ but are fixed for the lifetime of a process.
fn changed_restart_only_keys(old: &Deployment, new: &Deployment) -> RestartOnlyKeys {
    let (old_answers, new_answers) = (&old.answer_retention, &new.answer_retention);
    let same_fleet =
        old.fleet.as_ref().map(FleetConfig::identity) == new.fleet.as_ref().map(FleetConfig::identity);
    let compared = [
        ("listen", old.listen == new.listen),
        ("hosts", old.endpoint_list == new.endpoint_list),
        ("record", old.workflow_store == new.workflow_store),
        ("fleet", same_fleet),
        ("seed", old.startup.seed == new.startup.seed),
        ("router", old.startup.router_index == new.startup.router_index),
        ("bounds.clients", old.max_clients == new.max_clients),
        ("bounds.event_bytes", old.max_event_bytes == new.max_event_bytes),
        ("bounds.remember_for", old_answers.time == new_answers.time),
        ("bounds.remember", old_answers.max_answers == new_answers.max_answers),
        ("bounds.remember_bytes", old_answers.max_bytes == new_answers.max_bytes),
    ];
    compared.iter().filter(|(_, same)| !same).map(|(key, _)| *key).collect()
}

/// Merges workloads by index. Those omitted from the new configuration keep their entry but lose their event
/// types.
fn merge_workloads(
    old: &Deployment,
    indices: &[usize],
    new_events: Vec<WorkloadEvents>,
    new_configs: Vec<WorkloadConfig>,
) -> (Vec<WorkloadEvents>, Vec<WorkloadConfig>) {
    let mut configs = old.startup.workloads.clone();
    let mut workloads = old.workloads.clone();
    workloads.iter_mut().for_each(|workload| workload.types.clear());
    for (index, (config, events)) in indices.iter().zip(new_configs.into_iter().zip(new_events)) {
        if *index == workloads.len() {
            configs.push(config);
            workloads.push(events);
        } else {
            (configs[*index], workloads[*index]) = (config, events);
        }
    }
    (workloads, configs)
}

/// Merges customers by index. Those omitted from the new configuration keep their index with a quota of zero,
/// so that requests of theirs are refused.
fn merge_customers(names: &MergedNames, new_configs: Vec<CustomerConfig>) -> Vec<CustomerConfig> {
    let mut customers = vec![CustomerConfig { requests_per_second: 0.0 }; names.all.len()];
    for (index, config) in names.indices.iter().zip(new_configs) {
        customers[*index] = config;
    }
    customers
}
