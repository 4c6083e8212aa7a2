//! Set-up of the fleet runtime for `serve`, and the `fleet` command.
mod adapters;
mod injection;
mod live_count;
mod query;

pub(crate) use injection::{FaultInjection, disk_fault};
pub(crate) use live_count::with_live_count;
pub(crate) use query::{FleetCommand, run};

use adapters::{FleetPrefixes, ObservedHistory};
use applepond_fleet::disk::{DiskConfig, DiskThreads};
use applepond_fleet::envelope::FleetKey;
use applepond_fleet::{FleetMachine, FleetMachineConfig, FleetView, SharedState, SharedStateConfig, page};
use applepond_gateway::Gateway;
use applepond_gateway::deployment::{FleetConfig, PrefixCacheConfig};
use applepond_gateway::errors::ReloadError;
use applepond_membership::{InstanceId, RouterId};
use applepond_prefix_cache::CostModel;
use applepond_reactor::Micros;
use applepond_recovery::ObservationStore;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

/// Fleet runtime of one process.
pub(crate) struct FleetParts {
    /// The machine to add to the reactor.
    pub(crate) machine: FleetMachine,
    /// State that the machine shares with the rest of the process.
    pub(crate) view: Rc<RefCell<FleetView>>,
    /// Observations of workers and functions that survive a restart.
    observations: Rc<RefCell<ObservationStore>>,
}

impl FleetParts {
    /// Connects the gateway to the fleet.
    pub(crate) fn attach(&self, gateway: Gateway, faults: &FaultInjection) -> Gateway {
        let view = self.view.clone();
        let history = ObservedHistory {
            observations: self.observations.clone(),
            keeps_drains: faults.recovery.keeps_drains,
        };
        gateway
            .with_status_section("fleet", Box::new(move |now| page(&view.borrow(), now)))
            .with_history(Box::new(history))
            .with_prefix_tracker(Box::new(FleetPrefixes(self.view.clone())))
    }
}

/// Creates the fleet runtime from its settings.
///
/// # Errors
/// Returns an error if a key cannot be read or the kernel provides no random numbers.
pub(crate) fn start(
    config: &FleetConfig,
    now: Micros,
    faults: &FaultInjection,
) -> Result<FleetParts, ReloadError> {
    let random = || getrandom::u64().map_err(|error| ReloadError::NoRandomNumbers(error.to_string()));
    let (seed, new_file) = (random()?, InstanceId(random()?));
    let machine_config = FleetMachineConfig {
        name: config.name.clone(),
        zone: config.zone.clone(),
        listen: config.listen,
        seeds: config.seeds.clone(),
        keys: keys(config)?,
        proxy: faults.proxy,
        safeguards: faults.safeguards,
    };
    let (machine, view) = FleetMachine::new(now, machine_config, seed);
    let observations = Rc::new(RefCell::new(ObservationStore::default()));
    let disks = DiskThreads::new(DiskConfig {
        router: RouterId::named(&config.name),
        fleet: bootstrap_number(config),
        new_file,
        votes: config.votes_file.clone(),
        snapshot: config.snapshot_file.clone(),
        fault: faults.disk,
    });
    let shared_config = shared_state_config(config, &view.borrow());
    let disks = Box::new(disks);
    let shared = SharedState::new(now, shared_config, observations.clone(), disks, seed.rotate_left(31))
        .with_recovery_guards(faults.recovery.peers, faults.recovery.without_peers)
        .with_prefix_guards(faults.prefixes);
    view.borrow_mut().shared = Some(shared);
    Ok(FleetParts { machine, view, observations })
}

fn shared_state_config(config: &FleetConfig, view: &FleetView) -> SharedStateConfig {
    let record = view.members.local_record();
    SharedStateConfig {
        router: RouterId::named(&config.name),
        instance_id: record.instance_id,
        incarnation: record.incarnation,
        replicas: replicas(config),
        bootstrap: bootstrap_number(config),
        is_replica: config.votes_file.is_some(),
        has_snapshot: config.snapshot_file.is_some(),
        prefix_cost_model: config.prefix_cache.as_ref().map(prefix_cost_model),
    }
}

/// Reads the keys of the fleet from their files.
fn keys(config: &FleetConfig) -> Result<Vec<FleetKey>, ReloadError> {
    config.key_files.iter().map(|file| key(file)).collect()
}

fn key(file: &Path) -> Result<FleetKey, ReloadError> {
    let invalid = |reason| ReloadError::KeyFile { file: file.display().to_string(), reason };
    let secret = std::fs::read(file).map_err(|error| invalid(error.to_string()))?;
    let too_short = || invalid("the key must have at least 16 bytes".to_owned());
    FleetKey::from_secret(&secret).ok_or_else(too_short)
}

/// Derives the number that identifies the fleet's bootstrap. Votes of another bootstrap are rejected.
fn bootstrap_number(config: &FleetConfig) -> u64 {
    config.bootstrap_epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0xacc0_4d00
}

/// Replicas of the agreed state that the settings name.
fn replicas(config: &FleetConfig) -> Vec<RouterId> {
    config.voters.iter().map(|name| RouterId::named(name)).collect()
}

fn prefix_cost_model(config: &PrefixCacheConfig) -> CostModel {
    CostModel {
        prepare_time: config.prepare_time as f64,
        bytes_per_unit: 1.0,
        workers: 1.0,
        price_per_byte: config.price,
        memory_limit: config.pinned_units as f64,
        retention: config.retention as f64,
    }
}
