//! `fleet`: what a running router says of its fleet, and that part of `serve`.
use applepond::interface::{FunctionId, WorkerHistory, WorkerId, WorkerStatus};
use applepond_fleet::disk::{DiskConfig, DiskFault, DiskThreads};
use applepond_fleet::envelope::FleetKey;
use applepond_fleet::{
    FleetConfig, FleetMachine, FleetView, PrefixGuards, SharedState, SharedStateConfig, page, query,
};
use applepond_gateway::deployment::{FleetRow, OpeningsRow};
use applepond_gateway::fault::NotTaken;
use applepond_gateway::switch::merge;
use applepond_gateway::{Deployment, Memory as Remembers, News, Openings as Counts, Page};
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

fn keys(row: &FleetRow) -> Result<Vec<FleetKey>, NotTaken> {
    let key = |file: &std::path::PathBuf| {
        let at = |why| NotTaken::KeyFile { file: file.display().to_string(), why };
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
fn founding(row: &FleetRow) -> u64 {
    row.founding.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0xacc0_4d00
}

fn named(keepers: &[String]) -> Vec<RouterId> {
    keepers.iter().map(|k| RouterId::named(k)).collect()
}

fn terms(row: OpeningsRow) -> Terms {
    Terms {
        prepare: row.prepare as f64,
        bytes: 1.0,
        workers: 1.0,
        price: row.price,
        memory: row.memory as f64,
        keeps: row.keeps as f64,
    }
}

/// The fleet's counts of openings as the gateway uses them.
pub struct Counter(pub Rc<RefCell<FleetView>>);

impl Counts for Counter {
    fn uses(&mut self, name: &str, size: u32) {
        self.0.borrow_mut().shared.iter_mut().for_each(|s| s.record_prefix_use(name, size));
    }
    fn rides(&self, now: Micros, name: &str) -> Option<Micros> {
        self.0.borrow().shared.as_ref().and_then(|s| s.prefix_lease(now, name))
    }
    fn workers(&mut self, ready: usize) {
        self.0.borrow_mut().shared.iter_mut().for_each(|s| s.set_ready_workers(ready));
    }
}

/// The memory of a router as its gateway uses it.
pub struct Shelf(pub Rc<RefCell<ObservationStore>>, pub Return);

impl Remembers for Shelf {
    fn saw(&mut self, now: Micros, server: WorkerId, up_since: Micros, seen: &WorkerHistory) {
        self.0.borrow_mut().record_worker(now, server, up_since, seen);
    }
    fn saw_load_time(&mut self, now: Micros, function: FunctionId, took: Micros) {
        self.0.borrow_mut().record_load_time(now, function, took);
    }
    fn saw_usual(&mut self, now: Micros, usual: [f64; 3]) {
        self.0.borrow_mut().record_baseline(now, usual);
    }
    fn promised(&mut self, now: Micros, request: u64, wait: Micros) {
        self.0.borrow_mut().record_scheduled_retry(now, request, wait);
    }
    fn own(&mut self, now: Micros) -> Option<applepond_recovery::RouterHistory> {
        self.0.borrow_mut().take_router_history(now)
    }
    fn recalls(&mut self, now: Micros) -> Vec<(WorkerId, Micros, WorkerHistory)> {
        self.0.borrow_mut().pending_worker_history(now)
    }
    fn recalled(&mut self, server: WorkerId, up_since: Micros) {
        self.0.borrow_mut().mark_restored(server, up_since);
    }
    fn listed(&mut self, now: Micros, server: WorkerId, up_since: Micros, is: WorkerStatus) -> WorkerStatus {
        let made = self.0.borrow_mut().apply_listed_status(now, server, up_since, is);
        if self.1.keeps_drains { made } else { is }
    }
    fn whole(&mut self, named: &[(WorkerId, Micros)]) {
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
    row: &FleetRow,
    now: Micros,
    rig: &Rig,
) -> Result<(FleetMachine, Rc<RefCell<FleetView>>, Rc<RefCell<ObservationStore>>), NotTaken> {
    let random = || getrandom::u64().map_err(|e| NotTaken::NoRandom(e.to_string()));
    let (seed, fresh) = (random()?, InstanceId(random()?));
    let config = FleetConfig {
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
        votes: row.votes.clone(),
        snapshot: row.snapshot.clone(),
        fault: rig.disk,
    });
    let config = SharedStateConfig {
        router: me,
        instance_id,
        incarnation: view.borrow().members.local_record().incarnation,
        replicas: named(&row.keepers),
        bootstrap: founding(row),
        is_replica: row.votes.is_some(),
        has_snapshot: row.snapshot.is_some(),
        prefix_terms: row.openings.map(terms),
    };
    let shared = SharedState::new(now, config, memory.clone(), Box::new(disks), seed.rotate_left(31));
    let shared = shared.with_guards(rig.comeback.guards, rig.comeback.alone);
    let shared = shared.with_prefix_guards(rig.openings);
    view.borrow_mut().shared = Some(shared);
    Ok((fleet, view, memory))
}

/// The view as a part of the state page.
pub fn shown(view: Rc<RefCell<FleetView>>) -> Page {
    Box::new(move |now| page(&view.borrow(), now))
}

/// The live count as new settings, by the same way as those of the file. With those of a file come its seeds
/// and keys; where a key cannot be read, or another part needs a restart, nothing of the file is taken.
pub fn counted(view: Rc<RefCell<FleetView>>, mut held: Deployment, mut news: News) -> News {
    let begun = Instant::now();
    let mut most = held.rows.router_count;
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
                                view.shared.iter_mut().for_each(|s| s.set_replicas(&named(&row.keepers)));
                            }
                            Err(why) => return Some(Err(why)),
                        }
                    }
                    most = merged.rows.router_count;
                    held = merged;
                    told = true;
                }
            },
        }
        let was = held.rows.router_count;
        let live = view.borrow().members.live_count();
        let now = begun.elapsed().as_micros() as Micros;
        held.rows.router_count = count.share_count(now, live, most as usize) as u64;
        (told || was != held.rows.router_count).then(|| Ok(held.clone()))
    })
}
