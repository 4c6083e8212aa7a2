//! Prompt prefixes: this router's counts of their uses, and the agreed list of pinned ones.
use super::SharedState;
use applepond::interface::FunctionId;
use applepond_gossip::{Gossip, Key, Kind};
use applepond_prefix_cache::{CostModel, PANES, PaneCounter, PinList, PinPlanner, PrefixId};
use applepond_reactor::Micros;
use std::collections::BTreeMap;

/// Gossip: a router's counts of prefixes in one window of time, by the window's number modulo those that
/// count.
pub(super) const COUNTS: Kind = Kind(2);
/// µs between two evaluations of the counts of all routers, at the leader.
const EVALUATION_INTERVAL: Micros = 1_000_000;
/// Limit of prefixes whose size is known; a further one is never pinned.
const MAX_SIZES: usize = 8_192;

/// Guards that a fault-injection scenario can disable.
#[derive(Clone, Copy, Debug)]
pub struct PrefixGuards {
    /// No router accounts for more than its part of the uses.
    pub several: bool,
}

impl PrefixGuards {
    /// All guards enabled.
    pub const ALL: PrefixGuards = PrefixGuards { several: true };
}

/// What this router knows of prefixes.
pub(super) struct Prefixes {
    /// Its own counts.
    counts: PaneCounter,
    /// Decides which prefixes are pinned.
    pins: PinPlanner,
    /// Sizes of prefixes, in the unit that the requests use.
    sizes: BTreeMap<PrefixId, u32>,
    /// The agreed list as of its last reading.
    list: PinList,
    /// Version of the agreed state that holds it.
    version: u64,
    /// When the counts of all routers were last evaluated.
    evaluated: Micros,
    guards: PrefixGuards,
}

impl Prefixes {
    pub(super) fn new(now: Micros, terms: CostModel) -> Self {
        Prefixes {
            counts: PaneCounter::new(now),
            pins: PinPlanner::new(now, terms),
            sizes: BTreeMap::new(),
            list: PinList::default(),
            version: 0,
            evaluated: now,
            guards: PrefixGuards::ALL,
        }
    }

    /// When the present window of the counts ends.
    pub(super) fn next_wakeup(&self) -> Micros {
        self.counts.next_deadline()
    }

    /// Prefixes that the agreed list pins.
    pub(super) fn pinned(&self) -> usize {
        self.list.pins.len()
    }

    /// The next list, where the counts of all routers call for a change.
    fn next_list(&mut self, now: Micros, gossip: &Gossip) -> Option<PinList> {
        let counts = gossip.entries(now, COUNTS).filter_map(|entry| {
            PaneCounter::read(entry.key.0, entry.value).ok().map(|counts| (entry.origin, counts))
        });
        let counted = if self.guards.several {
            PaneCounter::fleet_usage(counts)
        } else {
            PaneCounter::unbounded_fleet_usage(counts)
        };
        let sizes = &self.sizes;
        self.pins.next_list(now, &self.list, &counted, |id| sizes.get(&id).copied())
    }
}

impl SharedState {
    /// Counts a request that was accepted and begins with this prefix; 0 where its size is not known.
    pub fn record_prefix_use(&mut self, name: &str, size: u32) {
        let Some(prefixes) = &mut self.prefixes else { return };
        let id = prefix_id(name);
        prefixes.counts.record_use(id);
        if size > 0 && (prefixes.sizes.len() < MAX_SIZES || prefixes.sizes.contains_key(&id)) {
            prefixes.sizes.insert(id, size);
        }
    }

    /// For how many µs the worker of a request that is sent now may keep this prefix; none where it is not
    /// pinned.
    pub fn prefix_lease(&self, now: Micros, name: &str) -> Option<Micros> {
        let prefixes = self.prefixes.as_ref()?;
        let lease = self.register.as_ref()?.lease(now)?;
        // Guards against a list that is not the one agreed on now.
        let is_current = lease.state.version == prefixes.version;
        let list = if is_current { &prefixes.list } else { &PinList::read(&lease.state.value).ok()? };
        list.lease_duration(now, lease.expires_at, prefix_id(name))
    }

    /// Sets how many workers there are, which decides how many prefixes are worth a pin.
    pub fn set_ready_workers(&mut self, ready: usize) {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.pins.cost_model_mut().workers = ready.max(1) as f64;
        }
    }

    /// The same with these guards alone, for scenarios.
    pub fn with_prefix_guards(mut self, guards: PrefixGuards) -> Self {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.guards = guards;
        }
        self
    }

    /// Publishes counts whose window has ended, and proposes the next list where this router is the leader.
    pub(super) fn update_prefixes(&mut self, now: Micros) {
        let Some(prefixes) = &mut self.prefixes else { return };
        if let Some(counts) = prefixes.counts.take_finished(now) {
            let key = Key(counts.pane % PANES);
            // Counts never grow beyond the size for which gossip has room.
            let _ = self.gossip.publish(now, COUNTS, key, &PaneCounter::write(&counts));
        }
        let Some(register) = &mut self.register else { return };
        let Some(lease) = register.lease(now) else { return };
        if lease.state.version != prefixes.version {
            prefixes.version = lease.state.version;
            prefixes.list = PinList::read(&lease.state.value).unwrap_or_default();
        }
        // An evaluation reads all counts of all routers, and this is called every other millisecond.
        if !register.is_leader(now) || now < prefixes.evaluated + EVALUATION_INTERVAL {
            return;
        }
        prefixes.evaluated = now;
        if let Some(list) = prefixes.next_list(now, &self.gossip) {
            let pins = list.pins.len();
            tracing::info!(reason = "openings", pins, "prefix cache: another list of pins is proposed");
            register.propose(now, prefixes.version, list.write());
        }
    }
}

fn prefix_id(name: &str) -> PrefixId {
    PrefixId(FunctionId::named(name).0)
}
