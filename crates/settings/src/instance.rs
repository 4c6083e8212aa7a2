//! The settings of one instance as its `Deployment`.
use crate::sheet::{Fault, Part, Sheet};
use applepond::interface::*;
use applepond_gateway::Deployment;
use applepond_gateway::deployment::{
    AnswerRetention, FleetConfig, FunctionConfig, FunctionSource, PrefixAttributes, PrefixCacheConfig,
    StaticWorker, WorkloadEvents,
};
use applepond_membership::MAX_NAME_BYTES;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// µs in a second, for defaults below.
const S: Micros = 1_000_000;
/// What an address looks like, for faults.
const ADDRESS: &str = "an address with a port, as \"127.0.0.1:8080\"";

/// Reads a file's text; on any fault, all of them.
pub fn deployment(text: &str) -> Result<Deployment, Vec<Fault>> {
    let sheet = Sheet::new(text);
    let read = sheet.parse().and_then(|body| {
        let file = Part::whole(&sheet, &body);
        let read = read(&file);
        file.done();
        read
    });
    let faults = sheet.faults();
    match read {
        Some(deployment) if faults.is_empty() => Ok(deployment),
        _ => Err(faults),
    }
}

/// Limits of one instance.
struct Bounds {
    clients: usize,
    event_bytes: u64,
    answer_retention: AnswerRetention,
}

fn read(file: &Part<'_>) -> Option<Deployment> {
    let listen: Option<SocketAddr> = file.parsed("listen", ADDRESS, None);
    // Where there is no such key nothing is wanted of it.
    let hosts = file.parsed("hosts", ADDRESS, listen).filter(|_| file.has("hosts"));
    let routers = file.whole_number("routers", 1..100_000, Some(1));
    let me = file.whole_number("router", 0..99_999, Some(0));
    if let (Some(me), Some(routers)) = (me, routers)
        && me >= routers
    {
        file.fault(&file.place_of("router"), format!("router = {me} of {routers}"), "a number below routers");
    }
    let zones = file.texts("zones", Some(Vec::new()));
    // All keys are read before any is missed, or the rest of a block would go unchecked.
    let permits = block(file, "permits", |p| {
        let attempts = p.whole_number("executions", 1..100, Some(4));
        let cancel = p.mark("cancel", Some(true));
        let second_copies = p.mark("second_copies", Some(true));
        let come_back = p.mark("come_back", Some(true));
        let come_back_max = p.time("come_back_max", Some(S));
        Some(AttemptPolicy {
            max_attempts: attempts? as usize,
            cancel_allowed: cancel?,
            hedging_allowed: second_copies?,
            retry_after_allowed: come_back?,
            max_retry_after: come_back_max?,
        })
    });
    let rules = block(file, "rules", |p| {
        let cold_share = p.number("cold_share", 0.01..1.0, None);
        let warm_within = p.time("warm_within", None);
        let fall_multiple = p.number("fall_multiple", 1.0..1000.0, None);
        let fall_span = p.time("fall_span", None);
        Some(SlowStartRules {
            initial_capacity: cold_share?,
            warmup_time: warm_within?,
            overload_factor: fall_multiple?,
            overload_window: fall_span?,
        })
    });
    let bounds = block(file, "bounds", |p| {
        let clients = p.whole_number("clients", 1..1_000_000, Some(10_000));
        let event_bytes = p.whole_number("event_bytes", 1..1 << 30, Some(1 << 20));
        let remember_for = p.time("remember_for", Some(60 * S));
        let remember = p.whole_number("remember", 0..10_000_000, Some(20_000));
        let remember_bytes = p.whole_number("remember_bytes", 0..1 << 40, Some(64 << 20));
        Some(Bounds {
            clients: clients? as usize,
            event_bytes: event_bytes?,
            answer_retention: AnswerRetention {
                time: remember_for?,
                max_answers: remember? as usize,
                max_bytes: remember_bytes? as usize,
            },
        })
    });
    let mut workloads = Vec::new();
    let mut types = BTreeMap::new();
    for (name, part) in file.named("workload") {
        let row = workload(&name, &part);
        for kind in row.iter().flat_map(|(_, names)| &names.types) {
            if let Some(other) = types.insert(kind.clone(), name.clone()) {
                let found = format!("type \"{kind}\" again, it is workload \"{other}\"'s");
                part.fault(&part.place_of("types"), found, "each type in one workload");
            }
        }
        workloads.push(row);
        part.done();
    }
    if workloads.is_empty() {
        file.fault(&file.place.clone(), "no workload", "at least one workload \"NAME\" { ... }");
    }
    let (workload_rows, workloads): (Vec<_>, Vec<_>) = match workloads.into_iter().collect::<Option<Vec<_>>>()
    {
        Some(all) => all.into_iter().unzip(),
        // A plan cannot be looked at where a workload has faults.
        None => {
            file.named("chain");
            (Vec::new(), Vec::new())
        }
    };
    let record = file.text("record", Some("")).filter(|_| file.has("record")).map(PathBuf::from);
    let mut chains = Vec::new();
    for (name, part) in file.named("chain").into_iter().filter(|_| !workloads.is_empty()) {
        let row = crate::chains::chain(&name, &part, &workload_rows, &workloads);
        for kind in row.iter().flat_map(|row| &row.types) {
            if let Some(other) = types.insert(kind.clone(), name.clone()) {
                let found = format!("type \"{kind}\" again, it is \"{other}\"'s");
                part.fault(&part.place_of("types"), found, "each type in one workload or chain");
            }
        }
        chains.push(row);
        part.done();
    }
    let customers = file.named("customer").into_iter().map(|(name, part)| {
        let rate = part.number("jobs_per_s", 0.001..1e9, None);
        part.done();
        rate.map(|jobs_per_s| (name, CustomerConfig { requests_per_second: jobs_per_s }))
    });
    let customers: Vec<_> = customers.collect();
    let functions = file.named("function").into_iter().map(|(name, part)| {
        let row = function(&part);
        part.done();
        row.map(|row| (name, row))
    });
    let functions: Vec<_> = functions.collect();
    let workers = file.named("worker").into_iter().map(|(name, part)| {
        let worker = worker(name, &part, zones.as_deref().unwrap_or_default());
        part.done();
        worker
    });
    let workers: Vec<_> = workers.collect();
    if workers.is_empty() && !file.has("hosts") {
        let wanted = "hosts = \"ADDRESS\" or worker \"NAME\" { ... }";
        file.fault(&file.place.clone(), "no source of workers", wanted);
    }
    let fleet = file.block("fleet").map(|part| {
        let row = fleet(&part);
        part.done();
        row
    });
    let seed = file.whole_number("seed", 0..u64::MAX, Some(0));
    let over_share = file.number("over_share", 0.0..1.0, Some(0.1));
    let keep = file.time("keep", Some(10 * S));
    let tells_company = file.mark("tells_company", Some(false));
    let weights_shared = file.mark("weights_shared", Some(true));
    let limits_shared = file.mark("limits_shared", Some(false));
    let damping = file.mark("damping", Some(true));
    let connect_limit = file.time("connect_limit", Some(S / 4));
    let customer_by = file.text("customer_by", Some("customer"));
    let (customers, customer_rows) = customers.into_iter().collect::<Option<Vec<_>>>()?.into_iter().unzip();
    let bounds = bounds?;
    let startup = StartupConfig {
        seed: seed?,
        router_index: me?,
        router_count: routers?,
        workloads: workload_rows,
        customers: customer_rows,
        attempt_policy: permits?,
        slow_start: rules?,
        over_quota_factor: over_share?,
        cache_lifetime: keep?,
        reports_same_function: tells_company?,
        weights_shared: weights_shared?,
        timeouts_shared: limits_shared?,
        watches_endpoints: false,
    };
    let deployment = Deployment {
        startup,
        listen: listen?,
        workloads,
        workflows: chains.into_iter().collect::<Option<_>>()?,
        workflow_store: record,
        customers,
        customer_attribute: customer_by?,
        zones: zones?,
        functions: functions.into_iter().collect::<Option<_>>()?,
        workers: workers.into_iter().collect::<Option<_>>()?,
        endpoint_list: hosts,
        fleet: match fleet {
            Some(row) => Some(row?),
            None => None,
        },
        connect_timeout: connect_limit?,
        storm_shedding: damping?,
        max_clients: bounds.clients,
        max_event_bytes: bounds.event_bytes,
        answer_retention: bounds.answer_retention,
    };
    Some(deployment)
}

/// Reads the one block of this name; a file without it is told what it would have to hold.
fn block<T>(file: &Part<'_>, name: &'static str, read: impl Fn(&Part<'_>) -> Option<T>) -> Option<T> {
    match file.block(name) {
        Some(part) => {
            let got = read(&part);
            part.done();
            got
        }
        None => {
            // Without required keys an absent block is an empty one.
            let empty = hcl_edit::structure::Body::new();
            let sheet = Sheet::new("");
            let got = read(&Part::whole(&sheet, &empty));
            for fault in sheet.faults() {
                let found = format!("no block '{name}' ({})", fault.found);
                file.fault(&file.place.clone(), found, fault.wanted);
            }
            got
        }
    }
}

fn workload(name: &str, part: &Part<'_>) -> Option<(WorkloadConfig, WorkloadEvents)> {
    let kind = part.one_of("effect", &["restartable", "fingerprinted", "run-once"], None);
    let keyed = kind.as_deref() == Some("fingerprinted");
    let (within, window) = if keyed {
        (part.one_of("within", &["everywhere", "zone", "rack"], None), part.time("window", None))
    } else {
        for key in ["within", "window"].into_iter().filter(|k| part.has(k)) {
            part.fault(
                &part.place_of(key),
                format!("{key} of a workload that carries no idempotency key"),
                "no such key",
            );
        }
        (part.one_of("within", &["everywhere", "zone", "rack"], Some("rack")), part.time("window", Some(0)))
    };
    let start_target = part.time("start_target", None);
    let time_limit = part.time("time_limit", None);
    if let (Some(target), Some(limit)) = (start_target, time_limit)
        && target > limit
    {
        part.fault(&part.place_of("start_target"), "a start target past the deadline", "one within it");
    }
    let importance = part.number("importance", 0.001..1e6, Some(1.0));
    let late_part = part.number("late_part", 0.0..1.0, Some(0.0));
    let types = part.texts("types", None);
    if types.as_ref().is_some_and(Vec::is_empty) {
        part.fault(&part.place_of("types"), "no type", "at least one");
    }
    let function_by = match (part.has("function"), part.has("function_by")) {
        (true, true) => {
            part.fault(&part.place_of("function_by"), "function and function_by", "one of them");
            None
        }
        (true, false) => part.text("function", None).map(FunctionSource::Named),
        _ => part.text("function_by", Some("subject")).map(FunctionSource::Attribute),
    };
    // Both keys are known, whichever was given.
    let _ = (part.text("function", Some("")), part.text("function_by", Some("")));
    let opening_by = part.text("opening_by", Some("")).filter(|_| part.has("opening_by"));
    let size_by = part.text("opening_size_by", Some("")).filter(|_| part.has("opening_size_by"));
    if opening_by.is_some() != size_by.is_some() {
        let key = if opening_by.is_some() { "opening_by" } else { "opening_size_by" };
        part.fault(&part.place_of(key), "one of opening_by and opening_size_by", "both, or neither");
    }
    let row = function(part);
    let effect = match kind?.as_str() {
        "restartable" => RetrySafety::Idempotent,
        "run-once" => RetrySafety::AtMostOnce,
        _ => RetrySafety::Keyed {
            scope: match within?.as_str() {
                "everywhere" => IdempotencyScope::Everywhere,
                "zone" => IdempotencyScope::Zone,
                _ => IdempotencyScope::Rack,
            },
            window: window?,
        },
    };
    let rows = WorkloadConfig {
        retry_safety: effect,
        latency_objective: start_target?,
        priority_weight: importance?,
        late_priority_factor: late_part?,
    };
    let names = WorkloadEvents {
        name: name.to_owned(),
        types: types?,
        function_source: function_by?,
        prefix_attributes: opening_by.zip(size_by).map(|(name, size)| PrefixAttributes { name, size }),
        deadline: time_limit?,
        default_function: row?,
    };
    Some((rows, names))
}

/// A name or a zone of a router: what others read of it in their own logs.
fn nameable(part: &Part<'_>, key: &str) -> Option<String> {
    let text = part.text(key, None)?;
    let good = applepond_membership::message::is_valid_name(&text);
    if !good {
        part.fault(
            &part.place_of(key),
            format!("{key} = {text:?}"),
            format!("1 to {MAX_NAME_BYTES} printed characters, no blanks"),
        );
    }
    good.then_some(text)
}

fn fleet(part: &Part<'_>) -> Option<FleetConfig> {
    let name = nameable(part, "name");
    let zone = nameable(part, "zone");
    let listen: Option<SocketAddr> = part.parsed("listen", ADDRESS, None);
    if listen.is_some_and(|at| at.port() == 0 || at.ip().is_unspecified()) {
        let wanted = "the address and port at which the other routers reach this one";
        part.fault(&part.place_of("listen"), "a listen that others cannot reach", wanted);
    }
    let seeds = part.texts("seeds", None).and_then(|seeds| {
        let read = |seed: &String| {
            let at = seed.parse().ok();
            if at.is_none() {
                part.fault(&part.place_of("seeds"), format!("seed \"{seed}\""), ADDRESS);
            }
            at
        };
        seeds.iter().map(read).collect::<Vec<_>>().into_iter().collect::<Option<Vec<SocketAddr>>>()
    });
    if seeds.as_ref().is_some_and(Vec::is_empty) {
        part.fault(&part.place_of("seeds"), "no seed", "at least one; this router's own begins a fleet");
    }
    let key_files = part.texts("key_files", None);
    if key_files.as_ref().is_some_and(|files| files.is_empty() || files.len() > 2) {
        part.fault(
            &part.place_of("key_files"),
            "no key, or more than two",
            "one, or two during a change of keys",
        );
    }
    let keepers = part.texts("keepers", Some(Vec::new()));
    if let Some(keepers) = &keepers
        && (![0, 1, 3, 5].contains(&keepers.len())
            || (1..keepers.len()).any(|n| keepers[..n].contains(&keepers[n])))
    {
        let found = format!("{} keepers: {}", keepers.len(), keepers.join(", "));
        part.fault(&part.place_of("keepers"), found, "the names of one, three or five routers, each once");
    }
    let path = |key: &'static str| part.text(key, Some("")).filter(|_| part.has(key)).map(PathBuf::from);
    let (votes, snapshot) = (path("votes"), path("snapshot"));
    let keeps = keepers.iter().flatten().any(|k| Some(k) == name.as_ref());
    if keeps && votes.is_none() {
        let wanted = "votes = \"FILE\": a keeper's vote outlasts its process";
        part.fault(&part.place, "a keeper without a file for its vote", wanted);
    }
    if votes.is_some() && votes == snapshot {
        part.fault(&part.place_of("snapshot"), "one file for votes and snapshot", "two files");
    }
    let openings = part.block("openings").map(|p| {
        let prepare = p.time("prepare", None);
        let memory = p.whole_number("memory", 1..1 << 32, None);
        let price = p.number("price", 0.0..1e9, Some(0.0));
        let keeps = p.time("keeps", Some(10 * S));
        p.done();
        Some(PrefixCacheConfig {
            prepare_time: prepare?,
            pinned_units: memory?,
            price: price?,
            retention: keeps?,
        })
    });
    if openings.is_some() && keepers.iter().flatten().next().is_none() {
        part.fault(&part.place, "openings without keepers", "keepers = [...]: the list is agreed on");
    }
    let founding = part.whole_number("founding", 1..1 << 32, Some(1));
    let key_files = key_files?.into_iter().map(PathBuf::from).collect();
    Some(FleetConfig {
        name: name?,
        zone: zone?,
        listen: listen?,
        seeds: seeds?,
        key_files,
        voters: keepers?,
        votes_file: votes,
        bootstrap_epoch: founding?,
        snapshot_file: snapshot,
        prefix_cache: match openings {
            Some(row) => Some(row?),
            None => None,
        },
    })
}

fn function(part: &Part<'_>) -> Option<FunctionConfig> {
    let lanes = part.whole_number("lanes", 1..10_000, Some(1));
    let memory_mb = part.whole_number("memory_mb", 1..10_000_000, Some(256));
    let load_time = part.time("load_time", Some(0)).map(|t| (t > 0).then_some(t));
    Some(FunctionConfig { concurrency: lanes? as u32, memory_mb: memory_mb? as u32, load_time: load_time? })
}

fn worker(name: String, part: &Part<'_>, zones: &[String]) -> Option<StaticWorker> {
    let address = part.parsed("address", ADDRESS, None);
    let zone = part.text("zone", Some(""));
    let place = zone.as_ref().and_then(|z| zones.iter().position(|known| known == z));
    if part.has("zone") && place.is_none() {
        part.fault(&part.place_of("zone"), format!("zone {zone:?}"), format!("one of zones = {zones:?}"));
    }
    let rack = part.whole_number("rack", 0..1 << 40, Some(0));
    let weight = part.number("weight", 0.001..1e6, Some(1.0));
    let rack = if part.has("rack") { RackId(rack? as i64) } else { RackId::unshared(WorkerId::named(&name)) };
    Some(StaticWorker { name, address: address?, zone: place, rack, weight: weight? })
}
