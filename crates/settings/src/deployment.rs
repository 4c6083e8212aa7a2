//! The settings of one instance as its `Deployment`.
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

/// µs in a second, for defaults.
pub(crate) const SECOND: Micros = 1_000_000;
/// What an address looks like, for faults.
pub(crate) const ADDRESS: &str = "an address with a port, as \"127.0.0.1:8080\"";

/// Reads a file's text.
///
/// # Errors
/// All faults of the file, by their place.
pub fn deployment(text: &str) -> Result<Deployment, Vec<Fault>> {
    let settings = SettingsFile::new(text);
    let deployment = settings.parse().and_then(|body| {
        let file = Section::whole(&settings, &body);
        let deployment = read(&file);
        file.done();
        deployment
    });
    let faults = settings.faults();
    match deployment {
        Some(deployment) if faults.is_empty() => Ok(deployment),
        _ => Err(faults),
    }
}

/// Reads the whole file. Each part is read before any is missed, or the rest would go unchecked; the function
/// is long as it names each part twice.
fn read(file: &Section<'_>) -> Option<Deployment> {
    let listen: Option<SocketAddr> = file.parsed("listen", ADDRESS, None);
    // Where there is no such key nothing is wanted of it.
    let endpoint_list = file.parsed("hosts", ADDRESS, listen).filter(|_| file.has("hosts"));
    let zones = file.texts("zones", Some(Vec::new()));
    let limits = block(file, "bounds", limits);
    let mut types = EventTypes::default();
    let workloads = workloads(file, &mut types);
    let workflow_store = file.text("record", Some("")).filter(|_| file.has("record")).map(PathBuf::from);
    let workflows = workflows(file, workloads.as_deref().unwrap_or_default(), &mut types);
    let customers = named(file, "customer", customer);
    let functions = named(file, "function", |name, section| Some((name, function(section)?)));
    let workers = workers(file, zones.as_deref().unwrap_or_default());
    let fleet = file.block("fleet").map(|section| {
        let fleet = fleet(&section);
        section.done();
        fleet
    });
    let storm_shedding = file.mark("damping", Some(true));
    let connect_timeout = file.time("connect_limit", Some(SECOND / 4));
    let customer_attribute = file.text("customer_by", Some("customer"));
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

/// Reads what the decisions start with, workloads and customers aside.
fn startup(file: &Section<'_>) -> Option<StartupConfig> {
    let routers = file.whole_number("routers", 1..100_000, Some(1));
    let router = file.whole_number("router", 0..99_999, Some(0));
    if let (Some(router), Some(routers)) = (router, routers)
        && router >= routers
    {
        let found = format!("router = {router} of {routers}");
        file.fault(&file.place_of("router"), found, "a number below routers");
    }
    let attempt_policy = block(file, "permits", attempt_policy);
    let slow_start = block(file, "rules", slow_start);
    let seed = file.whole_number("seed", 0..u64::MAX, Some(0));
    let over_quota_factor = file.number("over_share", 0.0..1.0, Some(0.1));
    let cache_lifetime = file.time("keep", Some(10 * SECOND));
    let reports_same_function = file.mark("tells_company", Some(false));
    let weights_shared = file.mark("weights_shared", Some(true));
    let timeouts_shared = file.mark("limits_shared", Some(false));
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
    let max_attempts = section.whole_number("executions", 1..100, Some(4));
    let cancel_allowed = section.mark("cancel", Some(true));
    let hedging_allowed = section.mark("second_copies", Some(true));
    let retry_after_allowed = section.mark("come_back", Some(true));
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

/// Limits of one instance.
struct Limits {
    clients: usize,
    event_bytes: u64,
    answer_retention: AnswerRetention,
}

fn limits(section: &Section<'_>) -> Option<Limits> {
    let clients = section.whole_number("clients", 1..1_000_000, Some(10_000));
    let event_bytes = section.whole_number("event_bytes", 1..1 << 30, Some(1 << 20));
    let time = section.time("remember_for", Some(60 * SECOND));
    let max_answers = section.whole_number("remember", 0..10_000_000, Some(20_000));
    let max_bytes = section.whole_number("remember_bytes", 0..1 << 40, Some(64 << 20));
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

/// The types of events that are in use, each with the name of its workload or workflow.
#[derive(Default)]
struct EventTypes(BTreeMap<String, String>);

impl EventTypes {
    /// Takes a type down; the name of its owner where it has one already.
    fn claim(&mut self, event_type: &str, owner: &str) -> Option<String> {
        self.0.insert(event_type.to_owned(), owner.to_owned())
    }
}

fn workloads(file: &Section<'_>, types: &mut EventTypes) -> Option<Vec<Workload>> {
    let workloads = named(file, "workload", |name, section| {
        let workload = workload(&name, section)?;
        for event_type in &workload.events.types {
            if let Some(other) = types.claim(event_type, &name) {
                let found = format!("type \"{event_type}\" again, it is workload \"{other}\"'s");
                section.fault(&section.place_of("types"), found, "each type in one workload");
            }
        }
        Some(workload)
    });
    if workloads.as_ref().is_some_and(Vec::is_empty) {
        file.fault(&file.place.clone(), "no workload", "at least one workload \"NAME\" { ... }");
    }
    workloads
}

/// Reads the workflows; where the workloads have faults plans cannot be checked, and are passed over.
fn workflows(
    file: &Section<'_>,
    workloads: &[Workload],
    types: &mut EventTypes,
) -> Option<Vec<WorkflowConfig>> {
    if workloads.is_empty() {
        file.named("chain");
        return Some(Vec::new());
    }
    named(file, "chain", |name, section| {
        let workflow = workflow(&name, section, workloads)?;
        for event_type in &workflow.types {
            if let Some(other) = types.claim(event_type, &name) {
                let found = format!("type \"{event_type}\" again, it is \"{other}\"'s");
                section.fault(&section.place_of("types"), found, "each type in one workload or chain");
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
    let workers = named(file, "worker", |name, section| worker(name, section, zones));
    if workers.as_ref().is_some_and(Vec::is_empty) && !file.has("hosts") {
        let wanted = "hosts = \"ADDRESS\" or worker \"NAME\" { ... }";
        file.fault(&file.place.clone(), "no source of workers", wanted);
    }
    workers
}

fn worker(name: String, section: &Section<'_>, zones: &[String]) -> Option<StaticWorker> {
    let address = section.parsed("address", ADDRESS, None);
    let zone_name = section.text("zone", Some(""));
    let zone = zone_name.as_ref().and_then(|zone| zones.iter().position(|known| known == zone));
    if section.has("zone") && zone.is_none() {
        let found = format!("zone {zone_name:?}");
        section.fault(&section.place_of("zone"), found, format!("one of zones = {zones:?}"));
    }
    let rack = section.whole_number("rack", 0..1 << 40, Some(0));
    let weight = section.number("weight", 0.001..1e6, Some(1.0));
    let rack =
        if section.has("rack") { RackId(rack? as i64) } else { RackId::unshared(WorkerId::named(&name)) };
    Some(StaticWorker { name, address: address?, zone, rack, weight: weight? })
}

/// Reads all blocks of this name; none where one of them has a fault.
fn named<T>(
    file: &Section<'_>,
    kind: &'static str,
    mut read: impl FnMut(String, &Section<'_>) -> Option<T>,
) -> Option<Vec<T>> {
    let read_all = file.named(kind).into_iter().map(|(name, section)| {
        let value = read(name, &section);
        section.done();
        value
    });
    let all: Vec<Option<T>> = read_all.collect();
    all.into_iter().collect()
}

/// Reads the one block of this name; the fault of a file without it says what it would have to hold.
fn block<T>(file: &Section<'_>, name: &'static str, read: impl Fn(&Section<'_>) -> Option<T>) -> Option<T> {
    if let Some(section) = file.block(name) {
        let value = read(&section);
        section.done();
        return value;
    }
    // Without required keys an absent block is an empty one.
    let empty = Body::new();
    let settings = SettingsFile::new("");
    let value = read(&Section::whole(&settings, &empty));
    for fault in settings.faults() {
        let found = format!("no block '{name}' ({})", fault.found);
        file.fault(&file.place.clone(), found, fault.wanted);
    }
    value
}
