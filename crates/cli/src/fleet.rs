//! `fleet`: what a running router says of its fleet, and that part of `serve`.
use applepond::interface::{FunctionId, WorkerHistory, WorkerId, WorkerStatus};
use applepond_fleet::disk::{DiskConfig, DiskFault, DiskThreads};
use applepond_fleet::envelope::FleetKey;
use applepond_fleet::{
    FleetMachine, FleetMachineConfig, FleetView, PrefixGuards, SharedState, SharedStateConfig, page, query,
};
use applepond_gateway::deployment::{FleetConfig, PrefixCacheConfig};
use applepond_gateway::errors::ReloadError;
use applepond_gateway::reload::merge;
use applepond_gateway::{
    ConfigSource, Deployment, HistoryStore, PrefixTracker, PromisedRetry, RestoredTraffic, RestoredWorker,
    StatusSection, TrafficBaseline,
};
use applepond_membership::{DampedCount, Safeguards};
use applepond_membership::{InstanceId, RouterId};
use applepond_prefix_cache::Terms;
use applepond_reactor::Micros;
use applepond_recovery::ObservationStore;
use clap::Subcommand;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

#[derive(Subcommand)]
pub enum What {
    /// The routers that it knows, and what it takes them for.
    Members {
        /// Where the router listens for events.
        #[arg(long)]
        at: SocketAddr,
        /// Prints its view as one JSON object.
        #[arg(long)]
        json: bool,
    },
}

pub fn run(what: What) -> ExitCode {
    let What::Members { at, json } = what;
    let fleet = match query(at) {
        Ok(fleet) => fleet,
        Err(why) => {
            crate::told("", &why);
            return ExitCode::FAILURE;
        }
    };
    if json {
        println!("{fleet}");
        return ExitCode::SUCCESS;
    }
    println!("{:<24} {:<12} {:<22} {:<22} {:>8}  lame  by", "name", "zone", "address", "standing", "for s");
    for row in fleet["members"].as_array().into_iter().flatten() {
        let text = |key: &str| row[key].as_str().unwrap_or("").to_owned();
        let by: Vec<&str> = row["by"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let seconds = row["for-us"].as_u64().unwrap_or(0) / 1_000_000;
        println!(
            "{:<24} {:<12} {:<22} {:<22} {seconds:>8}  {:<4}  {}",
            text("name"),
            text("zone"),
            text("address"),
            text("standing"),
            text("lame"),
            by.join(",")
        );
    }
    println!("{} live, view {:x}", fleet["live"], fleet["view"].as_u64().unwrap_or(0));
    ExitCode::SUCCESS
}

fn keys(row: &FleetConfig) -> Result<Vec<FleetKey>, ReloadError> {
    let key = |file: &std::path::PathBuf| {
        let at = |why| ReloadError::KeyFile { file: file.display().to_string(), reason: why };
        let secret = std::fs::read(file).map_err(|e| at(e.to_string()))?;
        let short = || at("a key of 16 bytes at least is wanted".to_owned());
        FleetKey::from_secret(&secret).ok_or_else(short)
    };
    row.key_files.iter().map(key).collect()
}

/// A disk's fault as a drill names it.
pub fn disk_fault(word: &str) -> Result<DiskFault, clap::Error> {
    let late = |ms: &str| ms.parse().ok().map(|ms| DiskFault::Late(std::time::Duration::from_millis(ms)));
    match word {
        "lies" => Ok(DiskFault::Lies),
        "full" => Ok(DiskFault::Full),
        _ => word
            .strip_prefix("late-")
            .and_then(late)
            .ok_or_else(|| clap::Error::raw(clap::error::ErrorKind::InvalidValue, "late-MS, lies or full\n")),
    }
}

/// What a rig does to the fleet's part of a process: its datagrams go there, a guard is taken out.
pub struct Rig {
    pub through: Option<SocketAddr>,
    pub guards: Safeguards,
    /// What its disks do.
    pub disk: DiskFault,
    /// How it comes back.
    pub comeback: Return,
    /// How openings are counted.
    pub openings: PrefixGuards,
}

/// What a drill takes out of how a router comes back.
#[derive(Clone, Copy)]
pub struct Return {
    pub guards: applepond_recovery::Guards,
    /// Nobody is asked.
    pub alone: bool,
    pub keeps_drains: bool,
}

impl Return {
    /// By the plant's name; none that has to do with it.
    pub fn without(plant: Option<&str>) -> Option<Return> {
        use applepond_recovery::Guards;
        let all = Return::ALL;
        match plant? {
            "no-peers" => Some(Return { alone: true, ..all }),
            "forgets-drains" => Some(Return { keeps_drains: false, ..all }),
            "empty-is-zero" => Some(Return { guards: Guards { reports_empty: false, ..Guards::ALL }, ..all }),
            "all-ask-one" => {
                let guards = Guards { random_peers: false, spreads_retries: false, ..Guards::ALL };
                Some(Return { guards, ..all })
            }
            _ => None,
        }
    }

    pub const ALL: Return =
        Return { guards: applepond_recovery::Guards::ALL, alone: false, keeps_drains: true };
}

/// One number for a fleet's founding: votes of another one are foreign.
fn founding(row: &FleetConfig) -> u64 {
    row.bootstrap_epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0xacc0_4d00
}

fn named(keepers: &[String]) -> Vec<RouterId> {
    keepers.iter().map(|k| RouterId::named(k)).collect()
}

fn terms(row: PrefixCacheConfig) -> Terms {
    Terms {
        prepare: row.prepare_time as f64,
        bytes: 1.0,
        workers: 1.0,
        price: row.price,
        memory: row.pinned_units as f64,
        keeps: row.retention as f64,
    }
}

/// The fleet's counts of openings as the gateway uses them.
pub struct Counter(pub Rc<RefCell<FleetView>>);

impl PrefixTracker for Counter {
    fn record_use(&mut self, name: &str, size: u32) {
        self.0.borrow_mut().shared.iter_mut().for_each(|s| s.record_prefix_use(name, size));
    }
    fn pin_lease(&self, now: Micros, name: &str) -> Option<Micros> {
        self.0.borrow().shared.as_ref().and_then(|s| s.prefix_lease(now, name))
    }
    fn set_ready_workers(&mut self, ready: usize) {
        self.0.borrow_mut().shared.iter_mut().for_each(|s| s.set_ready_workers(ready));
    }
}

/// The memory of a router as its gateway uses it.
pub struct Shelf(pub Rc<RefCell<ObservationStore>>, pub Return);

impl HistoryStore for Shelf {
    fn record_worker(&mut self, now: Micros, worker: WorkerId, up_since: Micros, history: &WorkerHistory) {
        self.0.borrow_mut().record_worker(now, worker, up_since, history);
    }
    fn record_load_time(&mut self, now: Micros, function: FunctionId, load_time: Micros) {
        self.0.borrow_mut().record_load_time(now, function, load_time);
    }
    fn record_baseline(&mut self, now: Micros, baseline: TrafficBaseline) {
        let TrafficBaseline { first_attempts_per_second, connections_per_second, pace } = baseline;
        self.0.borrow_mut().record_baseline(now, [first_attempts_per_second, connections_per_second, pace]);
    }
    fn record_promised_retry(&mut self, now: Micros, retry: PromisedRetry) {
        self.0.borrow_mut().record_scheduled_retry(now, retry.request, retry.wait);
    }
    fn take_restored_traffic(&mut self, now: Micros) -> Option<RestoredTraffic> {
        let (usual, promises) = self.0.borrow_mut().take_router_history(now)?;
        let baseline = usual.map(|[first_attempts_per_second, connections_per_second, pace]| {
            TrafficBaseline { first_attempts_per_second, connections_per_second, pace }
        });
        let promised = promises.into_iter().map(|(request, wait)| PromisedRetry { request, wait });
        Some(RestoredTraffic { baseline, promised_retries: promised.collect() })
    }
    fn pending_workers(&mut self, now: Micros) -> Vec<RestoredWorker> {
        let recalled = self.0.borrow_mut().pending_worker_history(now).into_iter();
        recalled.map(|(worker, up_since, history)| RestoredWorker { worker, up_since, history }).collect()
    }
    fn worker_restored(&mut self, worker: WorkerId, up_since: Micros) {
        self.0.borrow_mut().mark_restored(worker, up_since);
    }
    fn effective_status(
        &mut self,
        now: Micros,
        worker: WorkerId,
        up_since: Micros,
        listed: WorkerStatus,
    ) -> WorkerStatus {
        let status = self.0.borrow_mut().apply_listed_status(now, worker, up_since, listed);
        if self.1.keeps_drains { status } else { listed }
    }
    fn full_list_received(&mut self, named: &[(WorkerId, Micros)]) {
        self.0.borrow_mut().apply_complete_list(named);
    }
    fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros> {
        self.0.borrow().load_time(now, function)
    }
}

/// The machine of a `fleet` block, what others of the process look at, and the router's memory; an error
/// names the file at fault.
#[allow(clippy::type_complexity)] // three things that are made together
pub fn of(
    row: &FleetConfig,
    now: Micros,
    rig: &Rig,
) -> Result<(FleetMachine, Rc<RefCell<FleetView>>, Rc<RefCell<ObservationStore>>), ReloadError> {
    let random = || getrandom::u64().map_err(|e| ReloadError::NoRandomNumbers(e.to_string()));
    let (seed, fresh) = (random()?, InstanceId(random()?));
    let config = FleetMachineConfig {
        name: row.name.clone(),
        zone: row.zone.clone(),
        listen: row.listen,
        seeds: row.seeds.clone(),
        keys: keys(row)?,
        proxy: rig.through,
        safeguards: rig.guards,
    };
    let (fleet, view) = FleetMachine::new(now, config, seed);
    let memory = Rc::new(RefCell::new(ObservationStore::default()));
    let (me, instance_id) = (RouterId::named(&row.name), view.borrow().members.local_record().instance_id);
    let disks = DiskThreads::new(DiskConfig {
        router: me,
        fleet: founding(row),
        new_file: fresh,
        votes: row.votes_file.clone(),
        snapshot: row.snapshot_file.clone(),
        fault: rig.disk,
    });
    let config = SharedStateConfig {
        router: me,
        instance_id,
        incarnation: view.borrow().members.local_record().incarnation,
        replicas: named(&row.voters),
        bootstrap: founding(row),
        is_replica: row.votes_file.is_some(),
        has_snapshot: row.snapshot_file.is_some(),
        prefix_terms: row.prefix_cache.map(terms),
    };
    let shared = SharedState::new(now, config, memory.clone(), Box::new(disks), seed.rotate_left(31));
    let shared = shared.with_guards(rig.comeback.guards, rig.comeback.alone);
    let shared = shared.with_prefix_guards(rig.openings);
    view.borrow_mut().shared = Some(shared);
    Ok((fleet, view, memory))
}

/// The view as a part of the state page.
pub fn shown(view: Rc<RefCell<FleetView>>) -> StatusSection {
    Box::new(move |now| page(&view.borrow(), now))
}

/// The live count as new settings, by the same way as those of the file. With those of a file come its seeds
/// and keys; where a key cannot be read, or another part needs a restart, nothing of the file is taken.
pub fn counted(view: Rc<RefCell<FleetView>>, mut held: Deployment, mut news: ConfigSource) -> ConfigSource {
    let begun = Instant::now();
    let mut most = held.startup.router_count;
    let mut count = DampedCount::new(most as usize);
    Box::new(move || {
        let mut told = false;
        match news() {
            None => {}
            Some(Err(why)) => return Some(Err(why)),
            // What cannot be merged is refused by the gateway in its own words.
            Some(Ok(new)) => match merge(&held, new.clone()) {
                Err(_) => return Some(Ok(new)),
                Ok(merged) => {
                    if let Some(row) = &merged.fleet {
                        match keys(row) {
                            Ok(keys) => {
                                let mut view = view.borrow_mut();
                                view.reconfigure(row.seeds.clone(), keys);
                                view.shared.iter_mut().for_each(|s| s.set_replicas(&named(&row.voters)));
                            }
                            Err(why) => return Some(Err(why)),
                        }
                    }
                    most = merged.startup.router_count;
                    held = merged;
                    told = true;
                }
            },
        }
        let was = held.startup.router_count;
        let live = view.borrow().members.live_count();
        let now = begun.elapsed().as_micros() as Micros;
        held.startup.router_count = count.share_count(now, live, most as usize) as u64;
        (told || was != held.startup.router_count).then(|| Ok(held.clone()))
    })
}
