//! Conversion of a settings file to the `Deployment` of an instance.
use crate::fleet::fleet;
use crate::section::{Fault, Section, SettingsFile};
use crate::workflow::workflow;
use crate::workload::{Workload, function, workload};
use applepond::interface::{
    AttemptPolicy, CustomerConfig, Micros, RackId, SlowStartRules, StartupConfig, WorkerId,
};
use applepond_gateway::Deployment;
use applepond_gateway::deployment::{AnswerRetention, FunctionConfig, StaticWorker, WorkflowConfig};
use hcl_edit::structure::Body;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

pub(crate) const SECOND: Micros = 1_000_000;
/// Expected form of an address, for fault messages.
pub(crate) const ADDRESS_FORMAT: &str = "an address with a port, as \"127.0.0.1:8080\"";

/// Parses the text of a settings file.
///
/// # Errors
/// All faults of the file, ordered by position.
pub fn deployment(text: &str) -> Result<Deployment, Vec<Fault>> {
    let settings = SettingsFile::new(text);
    let deployment = settings.parse().and_then(|body| {
        let file = Section::root(&settings, &body);
        let deployment = read_deployment(&file);
        file.report_unknown();
        deployment
    });
    let faults = settings.faults();
    match deployment {
        Some(deployment) if faults.is_empty() => Ok(deployment),
        _ => Err(faults),
    }
}

/// Reads the whole file. All parts are read before a missing one ends the function, as otherwise the
/// remaining parts would not be checked.
fn read_deployment(file: &Section<'_>) -> Option<Deployment> {
    let listen: Option<SocketAddr> = file.parsed("listen", ADDRESS_FORMAT, None);
    // The default only suppresses the fault of an absent key; it is not used.
    let endpoint_list = file.parsed("hosts", ADDRESS_FORMAT, listen).filter(|_| file.has("hosts"));
    let zones = file.strings("zones", Some(Vec::new()));
    let limits = read_block(file, "bounds", limits);
    let mut types = EventTypes::default();
    let workloads = workloads(file, &mut types);
    let workflow_store = file.string("record", Some("")).filter(|_| file.has("record")).map(PathBuf::from);
    let workflows = workflows(file, workloads.as_deref().unwrap_or_default(), &mut types);
    let customers = read_labelled(file, "customer", customer);
    let functions = read_labelled(file, "function", |name, section| Some((name, function(section)?)));
    let workers = workers(file, zones.as_deref().unwrap_or_default());
    let fleet = file.block("fleet").map(|section| {
        let fleet = fleet(&section);
        section.report_unknown();
        fleet
    });
    let storm_shedding = file.boolean("damping", Some(true));
    let connect_timeout = file.time("connect_limit", Some(SECOND / 4));
    let customer_attribute = file.string("customer_by", Some("customer"));
    let startup = startup(file);
    let (customers, customer_configs) = customers?.into_iter().unzip();
    let (workload_configs, workloads) =
        workloads?.into_iter().map(|workload| (workload.config, workload.events)).unzip();
    let limits = limits?;
    Some(Deployment {
        startup: StartupConfig { workloads: workload_configs, customers: customer_configs, ..startup? },
        listen: listen?,
        workloads,
        workflows: workflows?,
        workflow_store,
        customers,
        customer_attribute: customer_attribute?,
        zones: zones?,
        functions: functions?.into_iter().collect::<BTreeMap<String, FunctionConfig>>(),
        workers: workers?,
        endpoint_list,
        fleet: match fleet {
            Some(fleet) => Some(fleet?),
            None => None,
        },
        connect_timeout: connect_timeout?,
        storm_shedding: storm_shedding?,
        max_clients: limits.clients,
        max_event_bytes: limits.event_bytes,
        answer_retention: limits.answer_retention,
    })
}

/// Reads the startup configuration, except for workloads and customers.
fn startup(file: &Section<'_>) -> Option<StartupConfig> {
    let routers = file.integer("routers", 1..100_000, Some(1));
    let router = file.integer("router", 0..99_999, Some(0));
    if let (Some(router), Some(routers)) = (router, routers)
        && router >= routers
    {
        let found = format!("router = {router} of {routers}");
        file.fault(&file.span_of("router"), found, "a number below routers");
    }
    let attempt_policy = read_block(file, "permits", attempt_policy);
    let slow_start = read_block(file, "rules", slow_start);
    let seed = file.integer("seed", 0..u64::MAX, Some(0));
    let over_quota_factor = file.number("over_share", 0.0..1.0, Some(0.1));
    let cache_lifetime = file.time("keep", Some(10 * SECOND));
    let reports_same_function = file.boolean("tells_company", Some(false));
    let weights_shared = file.boolean("weights_shared", Some(true));
    let timeouts_shared = file.boolean("limits_shared", Some(false));
    Some(StartupConfig {
        seed: seed?,
        router_index: router?,
        router_count: routers?,
        workloads: Vec::new(),
        customers: Vec::new(),
        attempt_policy: attempt_policy?,
        slow_start: slow_start?,
        over_quota_factor: over_quota_factor?,
        cache_lifetime: cache_lifetime?,
        reports_same_function: reports_same_function?,
        weights_shared: weights_shared?,
        timeouts_shared: timeouts_shared?,
        watches_endpoints: false,
    })
}

fn attempt_policy(section: &Section<'_>) -> Option<AttemptPolicy> {
    let max_attempts = section.integer("executions", 1..100, Some(4));
    let cancel_allowed = section.boolean("cancel", Some(true));
    let hedging_allowed = section.boolean("second_copies", Some(true));
    let retry_after_allowed = section.boolean("come_back", Some(true));
    let max_retry_after = section.time("come_back_max", Some(SECOND));
    Some(AttemptPolicy {
        max_attempts: max_attempts? as usize,
        cancel_allowed: cancel_allowed?,
        hedging_allowed: hedging_allowed?,
        retry_after_allowed: retry_after_allowed?,
        max_retry_after: max_retry_after?,
    })
}

fn slow_start(section: &Section<'_>) -> Option<SlowStartRules> {
    let initial_capacity = section.number("cold_share", 0.01..1.0, None);
    let warmup_time = section.time("warm_within", None);
    let overload_factor = section.number("fall_multiple", 1.0..1000.0, None);
    let overload_window = section.time("fall_span", None);
    Some(SlowStartRules {
        initial_capacity: initial_capacity?,
        warmup_time: warmup_time?,
        overload_factor: overload_factor?,
        overload_window: overload_window?,
    })
}

/// Resource limits of one instance.
struct Limits {
    clients: usize,
    event_bytes: u64,
    answer_retention: AnswerRetention,
}

fn limits(section: &Section<'_>) -> Option<Limits> {
    let clients = section.integer("clients", 1..1_000_000, Some(10_000));
    let event_bytes = section.integer("event_bytes", 1..1 << 30, Some(1 << 20));
    let time = section.time("remember_for", Some(60 * SECOND));
    let max_answers = section.integer("remember", 0..10_000_000, Some(20_000));
    let max_bytes = section.integer("remember_bytes", 0..1 << 40, Some(64 << 20));
    Some(Limits {
        clients: clients? as usize,
        event_bytes: event_bytes?,
        answer_retention: AnswerRetention {
            time: time?,
            max_answers: max_answers? as usize,
            max_bytes: max_bytes? as usize,
        },
    })
}

/// Event types in use, each with the name of its workload or workflow.
#[derive(Default)]
struct EventTypes(BTreeMap<String, String>);

impl EventTypes {
    /// Assigns a type to its owner. Returns the previous owner if the type is already in use.
    fn claim(&mut self, event_type: &str, owner: &str) -> Option<String> {
        self.0.insert(event_type.to_owned(), owner.to_owned())
    }
}

fn workloads(file: &Section<'_>, types: &mut EventTypes) -> Option<Vec<Workload>> {
    let workloads = read_labelled(file, "workload", |name, section| {
        let workload = workload(&name, section)?;
        for event_type in &workload.events.types {
            if let Some(other) = types.claim(event_type, &name) {
                let found = format!("type \"{event_type}\", already used by workload \"{other}\"");
                section.fault(&section.span_of("types"), found, "each type in one workload only");
            }
        }
        Some(workload)
    });
    if workloads.as_ref().is_some_and(Vec::is_empty) {
        file.fault(&file.span.clone(), "no workload", "at least one workload \"NAME\" { ... }");
    }
    workloads
}

/// Reads the workflows. If the workloads have faults, plans cannot be checked and are skipped.
fn workflows(
    file: &Section<'_>,
    workloads: &[Workload],
    types: &mut EventTypes,
) -> Option<Vec<WorkflowConfig>> {
    if workloads.is_empty() {
        file.labelled_blocks("chain");
        return Some(Vec::new());
    }
    read_labelled(file, "chain", |name, section| {
        let workflow = workflow(&name, section, workloads)?;
        for event_type in &workflow.types {
            if let Some(other) = types.claim(event_type, &name) {
                let found = format!("type \"{event_type}\", already used by \"{other}\"");
                section.fault(&section.span_of("types"), found, "each type in one workload or chain only");
            }
        }
        Some(workflow)
    })
}

fn customer(name: String, section: &Section<'_>) -> Option<(String, CustomerConfig)> {
    let requests_per_second = section.number("jobs_per_s", 0.001..1e9, None)?;
    Some((name, CustomerConfig { requests_per_second }))
}

fn workers(file: &Section<'_>, zones: &[String]) -> Option<Vec<StaticWorker>> {
    let workers = read_labelled(file, "worker", |name, section| worker(name, section, zones));
    if workers.as_ref().is_some_and(Vec::is_empty) && !file.has("hosts") {
        let wanted = "hosts = \"ADDRESS\" or worker \"NAME\" { ... }";
        file.fault(&file.span.clone(), "no source of workers", wanted);
    }
    workers
}

fn worker(name: String, section: &Section<'_>, zones: &[String]) -> Option<StaticWorker> {
    let address = section.parsed("address", ADDRESS_FORMAT, None);
    let zone_name = section.string("zone", Some(""));
    let zone = zone_name.as_ref().and_then(|zone| zones.iter().position(|known| known == zone));
    if section.has("zone") && zone.is_none() {
        let found = format!("zone {zone_name:?}");
        section.fault(&section.span_of("zone"), found, format!("one of zones = {zones:?}"));
    }
    let rack = section.integer("rack", 0..1 << 40, Some(0));
    let weight = section.number("weight", 0.001..1e6, Some(1.0));
    let rack =
        if section.has("rack") { RackId(rack? as i64) } else { RackId::unshared(WorkerId::named(&name)) };
    Some(StaticWorker { name, address: address?, zone, rack, weight: weight? })
}

/// Reads all labelled blocks of this name; `None` if one of them has a fault.
fn read_labelled<T>(
    file: &Section<'_>,
    kind: &'static str,
    mut read: impl FnMut(String, &Section<'_>) -> Option<T>,
) -> Option<Vec<T>> {
    let read_all = file.labelled_blocks(kind).into_iter().map(|(name, section)| {
        let value = read(name, &section);
        section.report_unknown();
        value
    });
    let all: Vec<Option<T>> = read_all.collect();
    all.into_iter().collect()
}

/// Reads the only block of this name. If the block is absent and has required keys, each is reported as a
/// fault.
fn read_block<T>(
    file: &Section<'_>,
    name: &'static str,
    read: impl Fn(&Section<'_>) -> Option<T>,
) -> Option<T> {
    if let Some(section) = file.block(name) {
        let value = read(&section);
        section.report_unknown();
        return value;
    }
    // An absent block is read like an empty one, which is valid if all keys have defaults.
    let empty = Body::new();
    let settings = SettingsFile::new("");
    let value = read(&Section::root(&settings, &empty));
    for fault in settings.faults() {
        let found = format!("no block '{name}' ({})", fault.found);
        file.fault(&file.span.clone(), found, fault.wanted);
    }
    value
}
