//! Prompt prefixes: usage counts of this router, and the replicated list of pinned prefixes.
use super::SharedState;
use applepond::interface::FunctionId;
use applepond_gossip::{Gossip, Key, Kind};
use applepond_prefix_cache::{CostModel, PANES, PaneCounter, PinList, PinPlanner, PrefixId};
use applepond_reactor::Micros;
use std::collections::BTreeMap;

/// Gossip kind for a router's usage counts in one time window. The key is the window number modulo the number
/// of windows in use.
pub(super) const COUNTS: Kind = Kind(2);
/// Interval in µs at which the leader evaluates the counts of all routers.
const EVALUATION_INTERVAL: Micros = 1_000_000;
/// Maximum number of prefixes whose size is recorded. A prefix of unknown size is never pinned.
const MAX_SIZES: usize = 8_192;

/// Guards that a fault-injection scenario can disable.
#[derive(Clone, Copy, Debug)]
pub struct PrefixGuards {
    /// Bounds the fraction of the total usage that a single router can account for.
    pub bounds_router_fraction: bool,
}

impl PrefixGuards {
    /// All guards enabled.
    pub const ALL: PrefixGuards = PrefixGuards { bounds_router_fraction: true };
}

/// State of the prefix cache on this router.
pub(super) struct Prefixes {
    /// Usage counts of this router.
    counts: PaneCounter,
    /// Decides which prefixes are pinned.
    planner: PinPlanner,
    /// Sizes of prefixes, in the unit that requests use.
    sizes: BTreeMap<PrefixId, u32>,
    /// The agreed list of pins, as last decoded.
    list: PinList,
    /// Version of the agreed state from which `list` was decoded.
    version: u64,
    /// When the counts of all routers were last evaluated.
    evaluated: Micros,
    guards: PrefixGuards,
}

impl Prefixes {
    pub(super) fn new(now: Micros, cost_model: CostModel) -> Self {
        Prefixes {
            counts: PaneCounter::new(now),
            planner: PinPlanner::new(now, cost_model),
            sizes: BTreeMap::new(),
            list: PinList::default(),
            version: 0,
            evaluated: now,
            guards: PrefixGuards::ALL,
        }
    }

    /// When the current count window ends.
    pub(super) fn next_wakeup(&self) -> Micros {
        self.counts.next_deadline()
    }

    /// Number of prefixes that the agreed list pins.
    pub(super) fn pinned(&self) -> usize {
        self.list.pins.len()
    }

    /// Returns the list to propose, if the counts of all routers call for a change.
    fn next_list(&mut self, now: Micros, gossip: &Gossip) -> Option<PinList> {
        let counts = gossip.entries(now, COUNTS).filter_map(|entry| {
            PaneCounter::read(entry.key.0, entry.value).ok().map(|counts| (entry.origin, counts))
        });
        let usage = if self.guards.bounds_router_fraction {
            PaneCounter::fleet_usage(counts)
        } else {
            PaneCounter::unbounded_fleet_usage(counts)
        };
        let sizes = &self.sizes;
        self.planner.next_list(now, &self.list, &usage, |id| sizes.get(&id).copied())
    }
}

impl SharedState {
    /// Counts an accepted request that begins with this prefix. A `size` of 0 means unknown.
    pub fn record_prefix_use(&mut self, name: &str, size: u32) {
        let Some(prefixes) = &mut self.prefixes else { return };
        let id = prefix_id(name);
        prefixes.counts.record_use(id);
        if size > 0 && (prefixes.sizes.len() < MAX_SIZES || prefixes.sizes.contains_key(&id)) {
            prefixes.sizes.insert(id, size);
        }
    }

    /// Returns for how many µs the worker of a request sent now may keep this prefix, or `None` if the prefix
    /// is not pinned.
    pub fn prefix_lease(&self, now: Micros, name: &str) -> Option<Micros> {
        let prefixes = self.prefixes.as_ref()?;
        let lease = self.register.as_ref()?.lease(now)?;
        // The decoded list may be older than the agreed state.
        let is_current = lease.state.version == prefixes.version;
        let list = if is_current { &prefixes.list } else { &PinList::read(&lease.state.value).ok()? };
        list.lease_duration(now, lease.expires_at, prefix_id(name))
    }

    /// Sets the number of ready workers, on which the number of prefixes worth pinning depends.
    pub fn set_ready_workers(&mut self, ready: usize) {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.planner.cost_model_mut().workers = ready.max(1) as f64;
        }
    }

    /// Replaces the prefix guards, for fault-injection scenarios.
    pub fn with_prefix_guards(mut self, guards: PrefixGuards) -> Self {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.guards = guards;
        }
        self
    }

    /// Publishes the counts of a window that has ended and, on the leader, proposes a new list of pins if
    /// needed.
    pub(super) fn update_prefixes(&mut self, now: Micros) {
        let Some(prefixes) = &mut self.prefixes else { return };
        if let Some(counts) = prefixes.counts.take_finished(now) {
            let key = Key(counts.pane % PANES);
            // Cannot fail: the encoded counts never exceed the size limit of a gossip value.
            let _ = self.gossip.publish(now, COUNTS, key, &PaneCounter::write(&counts));
        }
        let Some(register) = &mut self.register else { return };
        let Some(lease) = register.lease(now) else { return };
        if lease.state.version != prefixes.version {
            prefixes.version = lease.state.version;
            prefixes.list = PinList::read(&lease.state.value).unwrap_or_default();
        }
        // An evaluation reads the counts of all routers, and this function may be called every 2 ms.
        if !register.is_leader(now) || now < prefixes.evaluated + EVALUATION_INTERVAL {
            return;
        }
        prefixes.evaluated = now;
        if let Some(list) = prefixes.next_list(now, &self.gossip) {
            let pins = list.pins.len();
            tracing::info!(reason = "openings", pins, "prefix cache: proposing a new list of pins");
            register.propose(now, prefixes.version, list.write());
        }
    }
}

fn prefix_id(name: &str) -> PrefixId {
    PrefixId(FunctionId::named(name).0)
}
