//! Environment of the scenarios with clients: the test doubles run in this process, each router in its own.
use crate::audit::Outage;
use crate::errors::ScenarioError;
use crate::fleet_settings::ports;
use crate::plan::{self, Plan};
use crate::process::{Router, Setup, start};
use applepond_fakes::client::{Client, PlannedRequest, Results};
use applepond_fakes::endpoint_list::EndpointList;
use applepond_fakes::ledger::Ledger;
use applepond_fakes::store::Store;
use applepond_reactor::{Micros, Reactor};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Base duration in µs of a fetch from the model store.
const FETCH_TIME: Micros = 150_000;
/// Limit of concurrent fetches at the model store.
const MAX_FETCHES: usize = 24;

/// Test doubles and routers of a scenario.
pub(crate) struct Testbed<'a> {
    setup: Setup,
    folder: &'a Path,
    reactor: Reactor,
    /// Time of the first request.
    pub(crate) begin: Micros,
    /// Address of the model store.
    pub(crate) store: SocketAddr,
    /// Address of the endpoint list.
    pub(crate) endpoint_list: SocketAddr,
    /// Observations of the test doubles.
    pub(crate) ledger: Ledger,
    /// The routers, `None` for those that are dead.
    pub(crate) routers: Vec<Option<Router>>,
    /// Client addresses of the routers, including dead ones.
    addresses: Vec<SocketAddr>,
}

impl<'a> Testbed<'a> {
    /// Creates a testbed without routers. Requests begin `settling_time` µs from now, which gives the routers
    /// time to connect to their peers.
    pub(crate) fn new(setup: Setup, folder: &'a Path, settling_time: Micros) -> Result<Self, ScenarioError> {
        std::fs::create_dir_all(folder).map_err(|error| ScenarioError::machine(folder.display(), error))?;
        let reactor = Reactor::new().map_err(|error| ScenarioError::machine("epoll", error))?;
        let begin = reactor.now() + settling_time;
        Ok(Testbed {
            setup,
            folder,
            reactor,
            begin,
            store: plan::address(0, 250),
            endpoint_list: plan::address(0, 251),
            ledger: Ledger::default(),
            routers: Vec::new(),
            addresses: Vec::new(),
        })
    }

    /// Adds the model store, the workers and the endpoint list of the plan. `adjust_list` may change the list
    /// before it starts.
    pub(crate) fn add_fakes(&mut self, plan: &Plan, adjust_list: impl FnOnce(&mut EndpointList)) {
        let mut store = Store::new(self.store, FETCH_TIME, MAX_FETCHES, self.ledger.clone());
        store.outages = plan.store_outage.into_iter().collect();
        self.reactor.add(Box::new(store));
        for worker in plan.workers(&self.ledger) {
            self.reactor.add(Box::new(worker));
        }
        let (endpoints, changes) = plan.list();
        let mut list = EndpointList::new(self.endpoint_list, endpoints, changes, self.ledger.clone());
        adjust_list(&mut list);
        self.reactor.add(Box::new(list));
    }

    /// Writes the key file of the routers' fleet.
    pub(crate) fn write_fleet_key(&self) -> Result<PathBuf, ScenarioError> {
        let key = self.folder.join("key");
        let secret = format!("the secret of a drill's fleet, {}\n", self.setup.seed);
        std::fs::write(&key, secret).map_err(|error| self.folder_error(error))?;
        Ok(key)
    }

    /// Returns a free datagram port for each router.
    pub(crate) fn fleet_ports(&self) -> Result<Vec<SocketAddr>, ScenarioError> {
        ports(self.setup.routers).map_err(|error| self.folder_error(error))
    }

    /// Starts the next router with these settings.
    pub(crate) fn start_router(&mut self, settings: &str) -> Result<(), ScenarioError> {
        let file = self.settings_file(self.routers.len());
        std::fs::write(&file, settings).map_err(|error| self.folder_error(error))?;
        let router = start(&self.setup, file)?;
        self.addresses.push(router.address);
        self.routers.push(Some(router));
        Ok(())
    }

    /// Adds clients that make the requests.
    pub(crate) fn add_clients(&mut self, requests: &[PlannedRequest]) -> Rc<RefCell<Results>> {
        let addresses = Rc::new(RefCell::new(self.addresses.clone()));
        let (client, results) = Client::new(requests.to_vec(), addresses, self.ledger.clone());
        self.reactor.add(Box::new(client));
        results
    }

    /// Kills a router, including its requests in flight. Returns `None` if it is dead already. Its settings
    /// are changed so that it listens on the same address after a restart, as its clients know no other.
    pub(crate) fn kill(&mut self, index: usize) -> Result<Option<Outage>, ScenarioError> {
        let now = self.now();
        if self.routers[index].take().is_none() {
            return Ok(None);
        }
        let file = self.settings_file(index);
        let text = std::fs::read_to_string(&file).map_err(|error| self.folder_error(error))?;
        let listen = format!("listen = \"{}\"", self.addresses[index]);
        let replace = |line: &str| {
            if line.starts_with("listen") { listen.clone() } else { line.to_owned() }
        };
        let lines: Vec<String> = text.lines().map(replace).collect();
        std::fs::write(&file, lines.join("\n")).map_err(|error| self.folder_error(error))?;
        Ok(Some(Outage { router: index as u64, from: now, until: Micros::MAX }))
    }

    /// Restarts a router that was killed. Returns the time at which it listens.
    pub(crate) fn restart(&mut self, index: usize) -> Result<Micros, ScenarioError> {
        self.routers[index] = Some(start(&self.setup, self.settings_file(index))?);
        Ok(self.now())
    }

    /// Runs the test doubles until something has happened, for at most `max_wait_ms`.
    pub(crate) fn poll(&mut self, max_wait_ms: u64) -> Result<(), ScenarioError> {
        let polled = self.reactor.turn(Duration::from_millis(max_wait_ms));
        polled.map_err(|error| ScenarioError::machine("epoll", error))
    }

    /// Runs for up to another half second, so that late and duplicate responses are observed.
    pub(crate) fn observe_late_responses(&mut self) -> Result<(), ScenarioError> {
        (0..25).try_for_each(|_| self.poll(20))
    }

    pub(crate) fn now(&self) -> Micros {
        self.reactor.now()
    }

    /// Returns the path of a file of this scenario.
    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn settings_file(&self, index: usize) -> PathBuf {
        self.file(&format!("router-{index}.hcl"))
    }

    fn folder_error(&self, error: std::io::Error) -> ScenarioError {
        ScenarioError::machine(self.folder.display(), error)
    }
}
